package gateway

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"savoryweir/platform"
)

// refuse answers that the request has not run and never will.
func (c *call) refuse(status int, retryAfter time.Duration, reason string) {
	if c.mayHaveRun {
		c.answer(http.StatusBadGateway, reason)
		return
	}
	c.gateway.Metrics.CountRefusal(reason)
	if retryAfter > 0 {
		spread := time.Duration(float64(retryAfter) * (1 + retrySpread*rand.Float64()))
		c.writer.Header().Set("Retry-After", strconv.FormatFloat(spread.Seconds(), 'f', 3, 64))
	}
	c.answer(status, reason)
}

// retrySpread keeps callers that were refused together from coming back together.
const retrySpread = 0.25

// answer sends an answer of the system's own.
func (c *call) answer(status int, reason string) {
	c.outcome, c.status = reason, status
	if c.wire.ID != "" {
		platform.SetRequestID(c.writer.Header(), c.wire.ID)
	}
	c.writer.Header().Set("Content-Type", "text/plain; charset=utf-8")
	c.writer.WriteHeader(status)
	_, _ = io.WriteString(c.writer, reason+"\n")
}

// giveUp answers a request that no upstream has served.
func (c *call) giveUp(ctx context.Context, reason string) {
	switch {
	case c.hasLeft():
		c.outcome = outcomeLeft
		panic(http.ErrAbortHandler)
	case !c.mayHaveRun:
		c.refuse(http.StatusServiceUnavailable, retryUnserved, reason)
	case ctx.Err() != nil:
		c.answer(http.StatusGatewayTimeout, reason)
	default:
		c.answer(http.StatusBadGateway, reason)
	}
}

// retryUnserved is the time after which a request that met no sound upstream is
// asked back: an upstream that failed is avoided for about as long.
const retryUnserved = 300 * time.Millisecond

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
	if c.mayHaveExecuted {
		c.respond(http.StatusBadGateway, reason)
		return
	}
	c.gateway.Metrics.CountRefusal(reason)
	if retryAfter > 0 {
		jittered := time.Duration(float64(retryAfter) * (1 + retryAfterJitter*rand.Float64()))
		c.writer.Header().Set("Retry-After", strconv.FormatFloat(jittered.Seconds(), 'f', 3, 64))
	}
	c.respond(status, reason)
}

// retryAfterJitter keeps callers that were refused together from coming back together.
const retryAfterJitter = 0.25

// respond sends an respond of the system's own.
func (c *call) respond(status int, reason string) {
	c.outcome, c.status = reason, status
	if c.params.ID != "" {
		platform.SetRequestID(c.writer.Header(), c.params.ID)
	}
	c.writer.Header().Set("Content-Type", "text/plain; charset=utf-8")
	c.writer.WriteHeader(status)
	_, _ = io.WriteString(c.writer, reason+"\n")
}

// respondUnserved answers a request that no upstream has served.
func (c *call) respondUnserved(ctx context.Context, reason string) {
	switch {
	case c.callerDisconnected():
		c.outcome = outcomeCallerDisconnected
		panic(http.ErrAbortHandler)
	case !c.mayHaveExecuted:
		c.refuse(http.StatusServiceUnavailable, unservedRetryAfter, reason)
	case ctx.Err() != nil:
		c.respond(http.StatusGatewayTimeout, reason)
	default:
		c.respond(http.StatusBadGateway, reason)
	}
}

// unservedRetryAfter is the time after which a request that met no sound upstream is
// asked back: an upstream that failed is avoided for about as long.
const unservedRetryAfter = 300 * time.Millisecond

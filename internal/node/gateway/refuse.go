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

// refuse responds that the request was not executed and never will be. If the request may
// have been executed, it responds with 502 instead. The header Retry-After is set if
// retryAfter is positive.
func (c *call) refuse(status int, retryAfter time.Duration, reason string) {
	if c.possiblyExecuted() {
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

// retryAfterJitter is the largest share of a Retry-After that is added at random, so that
// callers that were refused together do not retry together.
const retryAfterJitter = 0.25

// truthfulStatus returns the status with which a response may be sent: 502 instead of one which promises that
// the request was not executed, unless that is known. All responses, of upstreams and of the gateway itself, get
// their status here. An upstream's refusal without Not-Executed proves nothing, as it may come after the
// request was executed. It is forwarded where the request may be repeated.
func (c *call) truthfulStatus(status int, fromUpstream bool) int {
	if !platform.PromisesNotExecuted(status) || !c.possiblyExecuted() || fromUpstream && c.route.IsRepeatable() {
		return status
	}
	return http.StatusBadGateway
}

// beginResponse prepares the status and headers of an upstream's response. If the status would make a
// promise that may be false, it responds with 502 instead and returns false.
func (c *call) beginResponse(a *attempt) bool {
	status := a.exchange.Response.StatusCode
	if c.truthfulStatus(status, true) != status {
		c.gateway.Log.Info().Str("event", "request.refusal_unproven").Str("request", c.params.ID).Str("upstream", string(a.tracked.upstream.ID)).
			Int("status", status).Msg("upstream refused the request without stating that it was not executed")
		c.respond(status, "upstream refused the request, which may have been executed")
		return false
	}
	c.reportWarmup(a, false)
	c.status, c.firstByteAt = status, time.Now()
	c.hasBegun.Store(true)
	platform.CopyResponseHeaders(c.writer.Header(), a.exchange.Response.Header)
	c.encodeForwardedResponse(false, false)
	return true
}

// respond sends a response that the gateway generates itself, with the reason as its
// body.
func (c *call) respond(status int, reason string) {
	status = c.truthfulStatus(status, false)
	c.outcome, c.status = reason, status
	c.encodeForwardedResponse(true, c.tryOther && !c.possiblyExecuted())
	if c.params.ID != "" {
		platform.SetRequestID(c.writer.Header(), c.params.ID)
	}
	c.writer.Header().Set("Content-Type", "text/plain; charset=utf-8")
	c.writer.WriteHeader(status)
	_, _ = io.WriteString(c.writer, reason+"\n")
}

// respondUnserved sends the final response to a request that no upstream has served: a
// refusal with 503 if the request was certainly not executed, else 504 after its context
// has ended and 502 before. If the caller has disconnected, it aborts the handler.
func (c *call) respondUnserved(ctx context.Context, reason string) {
	switch {
	case c.callerDisconnected():
		c.abandon()
	case !c.possiblyExecuted():
		c.refuse(http.StatusServiceUnavailable, unservedRetryAfter, reason)
	case ctx.Err() != nil:
		c.respond(http.StatusGatewayTimeout, reason)
	default:
		c.respond(http.StatusBadGateway, reason)
	}
}

// unservedRetryAfter is the Retry-After for a request that no healthy upstream could
// serve. An upstream that failed once is avoided for about as long.
const unservedRetryAfter = 300 * time.Millisecond

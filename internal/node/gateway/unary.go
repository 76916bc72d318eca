package gateway

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	"savoryweir/internal/state/fleet"
	"savoryweir/platform"
)

const (
	// maxBufferedBodyBytes is the size up to which a response body is buffered before it is
	// forwarded, so that the request can be retried if the body is incomplete.
	maxBufferedBodyBytes = 256 << 10
	// attemptTimeoutTargets is the multiple of the route's target latency after which a
	// safe request without a response is sent to another upstream.
	attemptTimeoutTargets = 2.5
	// minAttemptTimeout is the lower bound of that time: two round trips between zones with
	// one lost packet.
	minAttemptTimeout = 250 * time.Millisecond
)

// serveUnary serves a request that has a single response instead of a stream of events.
func (c *call) serveUnary(ctx context.Context) {
	for {
		tracked, wait := c.chooseUnaryUpstream()
		switch {
		case wait > 0:
			c.refusePaused(wait)
			return
		case tracked == nil:
			c.respondUnserved(ctx, "no upstream")
			return
		}
		retryNeeded, reason := c.attemptUnary(ctx, tracked)
		if !retryNeeded {
			return
		}
		if ctx.Err() != nil || !c.acquireRetry(reason) {
			c.respondUnserved(ctx, reason)
			return
		}
	}
}

// chooseUnaryUpstream chooses an upstream that the request has not been sent to. If there
// is none, a repeatable request may go to the same upstream again. It returns nil if no
// upstream is known, and the time until one is available if all have asked for a pause.
func (c *call) chooseUnaryUpstream() (*trackedRequest, time.Duration) {
	g := c.gateway
	usable, wait := g.pauses.available(g.Registry.View().Usable(c.service, "", ""))
	if wait > 0 {
		return nil, wait
	}
	candidates := c.untried(usable)
	if c.route.IsRepeatable() {
		candidates = c.retryCandidates(usable)
	}
	tracked, _ := g.Tracker.choose(c, candidates, g.Zone)
	return tracked, 0
}

// attemptUnary sends the request once. It returns true and the reason if the request has
// to be sent again, and false if the response has been forwarded to the caller.
func (c *call) attemptUnary(ctx context.Context, tracked *trackedRequest) (bool, string) {
	attemptCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	timer := c.startAttemptTimer(cancel)
	defer c.endHandover(timer)
	a := c.send(attemptCtx, tracked, "")
	if a.failure != failureNone {
		return true, a.failure.String()
	}
	defer a.exchange.Close()
	defer tracked.finish()
	if a.exchange.Response.ContentLength > maxBufferedBodyBytes {
		return c.relayLongResponse(a, a.exchange, timer)
	}
	body, err := io.ReadAll(io.LimitReader(a.exchange, maxBufferedBodyBytes+1))
	switch {
	case err != nil:
		tracked.recordUnserved()
		c.gateway.Metrics.CountBreak(breakCause(attemptCtx))
		c.logBrokenResponse(a, err)
		c.reportCrash(tracked, err)
		return true, "answer broke off"
	case len(body) > maxBufferedBodyBytes:
		return c.relayLongResponse(a, io.MultiReader(bytes.NewReader(body), a.exchange), timer)
	}
	if a.exchange.Response.StatusCode >= http.StatusInternalServerError {
		tracked.recordFault()
	} else {
		tracked.recordFirstByte()
	}
	if c.isRetryableResponse(a) && c.canRetryFailedResponse() {
		return true, "upstream failed"
	}
	c.writeResponse(a, body)
	return false, ""
}

// relayLongResponse forwards a response whose body is too long to be buffered. From then on the
// request can't be sent again, so the timer stops. It returns true and the reason if the
// timer has ended the attempt before.
func (c *call) relayLongResponse(a attempt, body io.Reader, timer *handoverTimer) (bool, string) {
	if c.endHandover(timer) {
		return true, errAttemptTimeout.Error()
	}
	a.tracked.recordFirstByte()
	c.copyResponse(a, body)
	return false, ""
}

// startAttemptTimer starts a timer that ends one attempt early, so that another upstream can
// still respond before the deadline. It returns nil for requests that are not safe or have
// less than twice the timeout left.
func (c *call) startAttemptTimer(cancel context.CancelCauseFunc) *handoverTimer {
	timeout := max(time.Duration(attemptTimeoutTargets*float64(c.route.TargetLatency)), minAttemptTimeout)
	if c.route.Kind != fleet.KindSafe || time.Until(c.deadline) < 2*timeout {
		return nil
	}
	return c.startHandoverTimer(cancel, errAttemptTimeout, timeout, timeout)
}

// isRetryableResponse reports whether a response is a server error, which may be a failure
// of that one upstream rather than of the request, and the request may be repeated.
func (c *call) isRetryableResponse(a attempt) bool {
	return a.exchange.Response.StatusCode >= http.StatusInternalServerError && c.route.IsRepeatable()
}

// canRetryFailedResponse reports whether an attempt and an untried upstream are left. If
// not, the failed response is forwarded to the caller.
func (c *call) canRetryFailedResponse() bool {
	available, _ := c.gateway.pauses.available(c.gateway.Registry.View().Usable(c.service, "", ""))
	return c.attempts < c.route.MaxAttempts && len(c.untried(available)) > 0
}

// logBrokenResponse logs that the response body of an upstream was incomplete.
func (c *call) logBrokenResponse(a attempt, err error) {
	c.gateway.Log.Info().Str("event", "request.broke_off").Str("request", c.params.ID).Str("upstream", string(a.tracked.upstream.ID)).
		Err(err).Dur("took", time.Since(a.tracked.startedAt)).Msg("response body incomplete; reading from the upstream failed")
}

// writeResponse forwards a response with a buffered body to the caller. Content-Length is
// kept for HEAD alone, where no body follows from which it could be set.
func (c *call) writeResponse(a attempt, body []byte) {
	c.outcome, c.status = "answered", a.exchange.Response.StatusCode
	c.firstByteAt = time.Now()
	platform.CopyResponseHeaders(c.writer.Header(), a.exchange.Response.Header)
	c.writer.Header().Del("Content-Length")
	if a.exchange.Response.ContentLength >= 0 && c.request.Method == http.MethodHead {
		c.writer.Header()["Content-Length"] = a.exchange.Response.Header["Content-Length"]
	}
	c.writer.WriteHeader(a.exchange.Response.StatusCode)
	if _, err := c.writer.Write(body); err != nil {
		c.outcome = outcomeCallerDisconnected
	}
}

// copyResponse forwards a response whose body is too long to be buffered. If the copy
// fails, it closes the caller's connection, so that the response does not look complete.
func (c *call) copyResponse(a attempt, body io.Reader) {
	c.outcome, c.status = "answered", a.exchange.Response.StatusCode
	c.firstByteAt = time.Now()
	platform.CopyResponseHeaders(c.writer.Header(), a.exchange.Response.Header)
	c.writer.WriteHeader(a.exchange.Response.StatusCode)
	if _, err := io.Copy(c.writer, body); err != nil {
		c.outcome = "broke off: " + err.Error()
		panic(http.ErrAbortHandler)
	}
}

package gateway

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	"savoryweir/internal/state/fleet"
	"savoryweir/internal/transport/upstreamconn"
)

const (
	// maxBufferedBodyBytes is the size up to which a response body is buffered before it is
	// forwarded, so that the request can be retried if the body is incomplete.
	maxBufferedBodyBytes = 256 << 10
	// attemptTimeoutTargets is the multiple of the route's target latency after which a
	// safe request without a response is sent to another upstream.
	attemptTimeoutTargets = 2.5
	// minAttemptTimeout is the lower bound of that time: longer than opening a connection may
	// take, and than two round trips between zones with one lost packet.
	minAttemptTimeout = upstreamconn.DialTimeout + 50*time.Millisecond
)

// serveUnary serves a request that has a single response instead of a stream of events.
func (c *call) serveUnary(ctx context.Context) {
	for a := (*attempt)(nil); ; {
		if a == nil {
			tracked, end := c.chooseUnaryUpstream(ctx)
			switch {
			case end != nil:
				end()
				return
			case tracked == nil:
				c.respondUnserved(ctx, "no upstream")
				return
			}
			a = c.newAttempt(ctx, tracked)
		}
		result := c.attemptUnary(ctx, a)
		if result.isFinal {
			return
		}
		if a = result.next; a == nil && (ctx.Err() != nil || !c.acquireRetry(result.reason)) {
			c.respondUnserved(ctx, result.reason)
			return
		}
	}
}

// chooseUnaryUpstream chooses an upstream that the request has not been sent to. If there
// is none, a repeatable request may go to the same upstream again. It returns nil if no
// upstream is known, and what ends the request if all have asked for a pause, have no permit left or
// are out of reach.
func (c *call) chooseUnaryUpstream(ctx context.Context) (tracked *trackedRequest, end func()) {
	g := c.gateway
	listed := g.Registry.View().Usable(c.service, "", "")
	usable, wait := g.pauses.available(listed)
	if wait > 0 {
		return nil, func() { c.refusePaused(wait) }
	}
	if usable = g.reach.reachable(usable); len(usable) == 0 && len(listed) > 0 {
		return nil, func() { c.serveThroughPeers(ctx, reasonUnreachable) }
	}
	candidates := c.untried(usable)
	if c.route.IsRepeatable() {
		candidates = c.retryCandidates(usable)
	}
	if candidates, wait = c.admitWarming(ctx, candidates); wait > 0 {
		return nil, func() { c.refuseLimited(wait) }
	}
	tracked, wait, isDenied := c.choosePermitted(ctx, candidates, true, nil)
	c.keepWarmupSlot(tracked)
	if isDenied {
		return nil, func() { c.refuseLimited(wait) }
	}
	return tracked, nil
}

// attemptUnary sends the request once, unless it has been sent already, and forwards the
// response.
func (c *call) attemptUnary(ctx context.Context, a *attempt) attemptResult {
	defer a.cancel(nil)
	timeout := c.attemptTimeout()
	h := c.startHedge(ctx, a, hedgeRules{
		first: timeout, gap: timeout, cause: errAttemptTimeout, choose: c.chooseNextUpstream,
		accepts: func(next *attempt) bool { return !c.isRetryableResponse(next) },
	})
	defer h.end(true)
	c.sendOrAwait(a, "")
	if a.failure != failureNone {
		return attemptResult{reason: a.failure.String(), next: h.end(false)}
	}
	defer a.exchange.Close()
	defer a.tracked.finish()
	const reason = "upstream failed"
	if c.isRetryableResponse(a) && c.canRetryFailedResponse() && c.acquireRetry(reason) {
		a.tracked.recordFault()
		return attemptResult{reason: reason, next: h.end(false)} // the body is not read, because it may have no end
	}
	body, isWhole, err := c.bufferResponse(a)
	switch {
	case err != nil:
		a.tracked.recordUnserved()
		c.gateway.Metrics.CountBreak(breakCause(a.ctx))
		c.logBrokenResponse(a, err)
		c.reportCrash(a.tracked, err)
		return attemptResult{reason: "answer broke off", next: h.end(false)}
	case !isWhole:
		return c.relayLongResponse(a, io.MultiReader(bytes.NewReader(body), a.exchange), h)
	}
	if a.exchange.Response.StatusCode >= http.StatusInternalServerError {
		a.tracked.recordFault()
	} else {
		a.tracked.recordFirstByte()
	}
	h.end(true)
	a.tracked.finish() // the caller may read slowly
	a.exchange.Close()
	c.writeResponse(a, body)
	return finalResult
}

// chooseNextUpstream chooses the upstream to which a safe request is sent as well, nil if there is
// none.
func (c *call) chooseNextUpstream(bool) *trackedRequest {
	g := c.gateway
	usable, _ := g.pauses.available(g.withoutLimited(g.reach.reachable(g.Registry.View().Usable(c.service, "", ""))))
	tracked, _, _ := c.choosePermitted(c.request.Context(), c.withoutWarming(c.retryCandidates(usable)), false, nil)
	return tracked
}

// relayLongResponse forwards a response whose body is too long to be buffered. From then on the
// request can't be sent again.
func (c *call) relayLongResponse(a *attempt, body io.Reader, h *hedge) attemptResult {
	if !h.pause() {
		return attemptResult{reason: h.rules.cause.Error(), next: h.end(false)}
	}
	if a.exchange.Response.StatusCode < http.StatusInternalServerError {
		a.tracked.recordFirstByte()
	}
	c.copyResponse(a, body)
	return finalResult
}

// attemptTimeout returns the time after which a request without a response is hedged, so that
// another upstream can still respond before the deadline. It is zero for requests that are
// not safe or have less than twice that time left.
func (c *call) attemptTimeout() time.Duration {
	timeout := max(time.Duration(attemptTimeoutTargets*float64(c.route.TargetLatency)), minAttemptTimeout)
	if c.route.Kind != fleet.KindSafe || time.Until(c.deadline) < 2*timeout {
		return 0
	}
	return timeout
}

// isRetryableResponse reports whether a response is a server error, which may be a failure
// of that one upstream rather than of the request, and the request may be repeated.
func (c *call) isRetryableResponse(a *attempt) bool {
	return a.exchange.Response.StatusCode >= http.StatusInternalServerError && c.route.IsRepeatable()
}

// canRetryFailedResponse reports whether an attempt and an untried upstream are left. If
// not, the failed response is forwarded to the caller.
func (c *call) canRetryFailedResponse() bool {
	available, _ := c.gateway.pauses.available(c.gateway.withoutLimited(c.gateway.reach.reachable(c.gateway.Registry.View().Usable(c.service, "", ""))))
	return c.attemptsLeft() > 0 && len(c.untried(available)) > 0
}

// logBrokenResponse logs that the response body of an upstream was incomplete.
func (c *call) logBrokenResponse(a *attempt, err error) {
	c.gateway.Log.Info().Str("event", "request.broke_off").Str("request", c.params.ID).Str("upstream", string(a.tracked.upstream.ID)).
		Strs("parts", c.sharedPartIDs()).Err(err).Dur("took", time.Since(a.tracked.startedAt)).Msg("response body incomplete; reading from the upstream failed")
}

// writeResponse forwards a response with a buffered body to the caller. Content-Length is
// kept for HEAD alone, where no body follows from which it could be set.
func (c *call) writeResponse(a *attempt, body []byte) {
	if !c.beginResponse(a) {
		return
	}
	c.outcome = "answered"
	c.writer.Header().Del("Content-Length")
	if a.exchange.Response.ContentLength >= 0 && c.request.Method == http.MethodHead {
		c.writer.Header()["Content-Length"] = a.exchange.Response.Header["Content-Length"]
	}
	if len(body) > smallBodyBytes {
		c.limitWrites() // what a caller doesn't read takes up memory
	}
	c.writer.WriteHeader(c.status)
	if _, err := c.writer.Write(body); err != nil {
		c.outcome = outcomeCallerDisconnected
	}
	c.recordCompleted(a.exchange.Response)
}

// copyResponse forwards a response whose body is too long to be buffered. If the copy
// fails, it closes the caller's connection, so that the response does not look complete.
func (c *call) copyResponse(a *attempt, body io.Reader) {
	if !c.beginResponse(a) {
		return
	}
	c.outcome = "answered"
	c.limitWrites()
	c.writer.WriteHeader(c.status)
	if _, err := io.Copy(c.writer, body); err != nil {
		if !c.callerDisconnected() {
			c.gateway.Metrics.CountBreak(breakCause(a.ctx))
		}
		c.outcome = "broke off: " + err.Error()
		panic(http.ErrAbortHandler)
	}
	c.recordCompleted(a.exchange.Response)
}

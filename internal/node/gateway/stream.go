package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"savoryweir/internal/coordination/dispatch"
	"savoryweir/internal/protocol/sseframe"
	"savoryweir/internal/state/fleet"
	"savoryweir/platform"
)

const (
	// Callers abandon a stream after a pause of callerMinPatience, callerPatienceTargets
	// times the route's target latency or callerPatienceGaps times its target event gap,
	// whichever is longest. These figures are part of the platform's contract.
	callerMinPatience     = 2 * time.Second
	callerPatienceTargets = 4
	callerPatienceGaps    = 8
	// stallGaps is the multiple of the target event gap after which a stream without
	// events is resumed at another engine, but not before minStallTimeout. Both are half
	// of what callers tolerate.
	stallGaps       = 4
	minStallTimeout = time.Second
	// firstEventFactor is the multiple of the expected time to the first byte after which
	// a stream without a first event is sent to another engine.
	firstEventFactor = 3
)

// patience returns the route's target latency and how much longer the caller waits for the
// first event.
func (c *call) patience() dispatch.LatencyLimits {
	tolerance := max(callerMinPatience, callerPatienceTargets*c.route.TargetLatency, callerPatienceGaps*c.route.TargetEventGap)
	untilDeadline := time.Until(c.deadline)
	remaining := min(untilDeadline, time.Until(c.arrivedAt.Add(tolerance)))
	return dispatch.LatencyLimits{Target: c.route.TargetLatency, Remaining: remaining, Deadline: untilDeadline}
}

// serveStream serves a request whose response is a stream of events.
func (c *call) serveStream(ctx context.Context) {
	if c.isResumption() && !c.bindToOrigin(ctx) {
		return
	}
	if c.engineClass != nil && c.params.Model != "" {
		c.gateway.RecordDemand(c.service, c.params.Model, c.params.Adapter, c.unsharedPromptTokens()+c.expectedOutputTokens())
	}
	for {
		tracked, ok := c.chooseEngine(ctx)
		if !ok {
			return
		}
		retryNeeded, reason := c.attemptStream(ctx, tracked)
		if !retryNeeded {
			return
		}
		if ctx.Err() != nil || !c.acquireRetry(reason) {
			c.failStream(ctx, reason)
			return
		}
	}
}

// unsharedPromptTokens returns the number of prompt tokens that other requests do not
// share, at least 1. All parts of the prompt but the last count as shared.
func (c *call) unsharedPromptTokens() int {
	tokens := c.params.PromptTokens
	for i := 0; i < len(c.params.Parts)-1; i++ {
		tokens -= c.params.Parts[i].Tokens
	}
	return max(tokens, 1)
}

// expectedOutputTokens returns the expected length of the response in tokens: the caller's
// hint up to the maximum, or half of the maximum without a hint.
func (c *call) expectedOutputTokens() int {
	if c.params.LengthHint > 0 {
		return min(c.params.LengthHint, max(c.params.MaxOutputTokens, 1))
	}
	return c.params.MaxOutputTokens / 2
}

// chooseEngine chooses an engine that holds the model, waiting for a load if necessary, and
// decides on admission unless the response has begun. It returns false if it has already
// sent the final response.
func (c *call) chooseEngine(ctx context.Context) (*trackedRequest, bool) {
	g := c.gateway
	usable, ok := c.awaitLoadedEngines(ctx)
	if !ok {
		return nil, false
	}
	available, wait := g.pauses.available(usable)
	if wait > 0 {
		c.refusePaused(wait)
		return nil, false
	}
	candidates := c.untried(available)
	if len(candidates) == 0 {
		candidates = available
	}
	tracked, ok := g.Tracker.choose(c, candidates, g.Zone)
	if !ok {
		c.failStream(ctx, "no engine")
		return nil, false
	}
	if c.firstByteAt.IsZero() {
		p := c.patience()
		if verdict := dispatch.Admit(tracked.expectedTTFB, p); !verdict.Admitted {
			g.Log.Info().Str("event", "request.shed").Str("request", c.params.ID).Str("route", c.route.Name).
				Str("upstream", string(tracked.upstream.ID)).Str("model", c.params.Model).Dur("expected", tracked.expectedTTFB).Dur("unread", tracked.pendingPrefillAhead).Int("running", tracked.runningAtStart).
				Dur("target", p.Target).Dur("left", p.Remaining).Dur("retry_after", verdict.RetryAfter).Msg("request refused; expected time to the first byte exceeds the limit")
			c.refuse(http.StatusServiceUnavailable, verdict.RetryAfter, "overloaded")
			return nil, false
		}
	}
	return tracked, true
}

// failStream ends a stream that no engine continues. If the response has begun, it closes
// the caller's connection, so that the stream does not look complete.
func (c *call) failStream(ctx context.Context, reason string) {
	if !c.firstByteAt.IsZero() {
		c.abortStream(reason)
	}
	c.respondUnserved(ctx, reason)
}

// abortStream closes the caller's connection in the middle of a response. It does not return.
func (c *call) abortStream(reason string) {
	c.outcome = "broke off: " + reason
	panic(http.ErrAbortHandler)
}

// attemptStream sends the request once and forwards the events of the response. It returns
// true and the reason if another engine has to continue.
func (c *call) attemptStream(ctx context.Context, tracked *trackedRequest) (bool, string) {
	attemptCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	gap := max(stallGaps*c.route.TargetEventGap, minStallTimeout)
	stall := c.startHandoverTimer(cancel, errStalled, max(firstEventFactor*tracked.expectedTTFB, gap), gap)
	defer c.endHandover(stall)
	a := c.send(attemptCtx, tracked, c.lastEventID)
	if a.failure != failureNone {
		return true, a.failure.String()
	}
	defer a.exchange.Close()
	defer tracked.finish()
	if a.exchange.Response.StatusCode != http.StatusOK {
		return c.handleErrorResponse(a)
	}
	return c.relayEvents(attemptCtx, a, stall)
}

// handleErrorResponse handles a response whose status is not 200. It returns true and the
// reason if another engine has to be tried, or else forwards the response.
func (c *call) handleErrorResponse(a attempt) (bool, string) {
	body, err := io.ReadAll(io.LimitReader(a.exchange, maxBufferedBodyBytes))
	a.tracked.recordFault()
	if !c.firstByteAt.IsZero() || err != nil || c.isRetryableResponse(a) && c.attempts < c.route.MaxAttempts {
		a.tracked.recordUnserved()
		return true, "engine failed"
	}
	c.writeResponse(a, body)
	return false, ""
}

// relayEvents forwards the events of a response as they arrive. It returns true and the
// reason if the stream ended early and another engine has to continue.
func (c *call) relayEvents(ctx context.Context, a attempt, stall *handoverTimer) (bool, string) {
	frames := sseframe.NewScanner(a.exchange, isFramed(a.exchange.Response))
	lastEventAt := time.Now()
	for {
		event, err := frames.Next()
		switch {
		case errors.Is(err, io.EOF):
			a.tracked.recordFirstByte()
			if c.firstByteAt.IsZero() {
				c.startResponse(a)
			}
			c.outcome = "answered"
			return false, ""
		case err != nil:
			return c.handleBrokenStream(ctx, a, err)
		}
		if event.IsComment { // an engine that has stalled may send comments for ever
			if !c.firstByteAt.IsZero() && !c.writeEvent(event) {
				return false, ""
			}
			continue
		}
		stall.reset()
		a.tracked.recordFirstByte()
		if event.ID != "" && event.ID == c.lastEventID {
			continue // a resumed stream may repeat the last event
		}
		if !c.firstByteAt.IsZero() {
			c.gateway.Metrics.ObserveEventGap(time.Since(lastEventAt))
		}
		lastEventAt = time.Now()
		if c.firstByteAt.IsZero() {
			c.recordOrigin(a.tracked.upstream)
			c.startResponse(a)
		}
		if !c.writeEvent(event) {
			return false, ""
		}
	}
}

// startResponse sends the status and headers of a stream to the caller.
func (c *call) startResponse(a attempt) {
	c.firstByteAt, c.status = time.Now(), a.exchange.Response.StatusCode
	c.gateway.Metrics.ObserveFirstByte(routeKindLabel(c.route), c.firstByteAt.Sub(c.arrivedAt))
	platform.CopyResponseHeaders(c.writer.Header(), a.exchange.Response.Header)
	c.writer.Header().Del("Content-Length") // a resumed stream may differ in length
	c.writer.WriteHeader(c.status)
}

// writeEvent sends an event to the caller. It returns false if the caller has
// disconnected.
func (c *call) writeEvent(event sseframe.Event) bool {
	_, err := c.writer.Write(event.Raw)
	if err == nil {
		err = http.NewResponseController(c.writer).Flush()
	}
	if err != nil {
		c.outcome = outcomeCallerDisconnected
		return false
	}
	if event.ID != "" {
		c.lastEventID = event.ID
	}
	return true
}

// handleBrokenStream handles a stream that ended early and returns true with the reason for
// a retry. It counts as a possible crash unless the gateway itself canceled the attempt.
// If the caller has disconnected, it aborts the handler instead.
func (c *call) handleBrokenStream(ctx context.Context, a attempt, err error) (bool, string) {
	cause := context.Cause(ctx)
	c.gateway.Metrics.CountBreak(breakCause(ctx))
	c.gateway.Log.Info().Str("event", "stream.broke_off").Str("request", c.params.ID).Str("upstream", string(a.tracked.upstream.ID)).
		Str("last_event", c.lastEventID).AnErr("cause", cause).Err(err).Dur("took", time.Since(a.tracked.startedAt)).Msg("event stream of the engine ended early")
	if c.callerDisconnected() {
		c.outcome = outcomeCallerDisconnected
		panic(http.ErrAbortHandler)
	}
	a.tracked.recordUnserved()
	if cause == nil {
		c.reportCrash(a.tracked, err)
	}
	return true, "stream broke off"
}

// routeKindLabel returns the metric label for the kind of a route, "none" without a route.
func routeKindLabel(r *fleet.Route) string {
	if r == nil {
		return "none"
	}
	return [...]string{"unsafe", "safe", "stream"}[r.Kind]
}

// isFramed reports whether the end of a response body is known from its length or its
// chunks, rather than by the end of the connection.
func isFramed(r *http.Response) bool { return r.ContentLength >= 0 || len(r.TransferEncoding) > 0 }

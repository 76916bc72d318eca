package gateway

import (
	"bytes"
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
	// maxIdleStreamBytes bounds the comments and repeated events between two new events,
	// whatever the size of the last of them.
	maxIdleStreamBytes = 64 << 10
)

var errNoProgress = errors.New("engine sends comments or repeated events without end")

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
	if c.engineClass != nil && c.params.Model != "" && c.forwarded == nil {
		c.gateway.RecordDemand(c.service, c.params.Model, c.params.Adapter, c.unsharedPromptTokens()+c.expectedOutputTokens())
	}
	for a := (*attempt)(nil); ; {
		if a == nil {
			tracked, ok := c.chooseEngine(ctx)
			if !ok {
				return
			}
			a = c.newAttempt(ctx, tracked)
		}
		result := c.attemptStream(ctx, a)
		if result.isFinal {
			return
		}
		if a = result.next; a == nil && (ctx.Err() != nil || !c.acquireRetry(result.reason)) {
			c.failStream(ctx, result.reason)
			return
		}
	}
}

// unsharedPromptTokens returns the number of prompt tokens that other requests do not
// share, at least 1.
func (c *call) unsharedPromptTokens() int {
	tokens := c.params.PromptTokens
	for _, p := range c.sharedParts() {
		tokens -= p.Tokens
	}
	return max(tokens, 1)
}

// sharedParts returns the parts of the prompt that other requests may share: all but the last.
func (c *call) sharedParts() []platform.PromptPart {
	return c.params.Parts[:max(len(c.params.Parts)-1, 0)]
}

// sharedPartIDs returns the IDs of the shared parts of the prompt as callers write them.
func (c *call) sharedPartIDs() []string {
	var ids []string
	for _, trait := range c.traits.Parts {
		ids = append(ids, trait.String())
	}
	return ids
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
	if wait := c.blockedFor(); wait > 0 {
		c.refuseBlocked(wait)
		return nil, false
	}
	available, wait := g.pauses.available(usable)
	if wait > 0 {
		c.refusePaused(wait)
		return nil, false
	}
	if available = g.reach.reachable(available); len(available) == 0 && len(usable) > 0 {
		c.serveThroughPeers(ctx, reasonUnreachable)
		return nil, false
	}
	candidates := c.retryCandidates(available)
	if others := c.withoutNewVersions(candidates); len(others) < len(candidates) {
		if tracked := c.chooseWithRoom(ctx, others, false); tracked != nil {
			return tracked, true
		}
	}
	candidates, wait = c.admitWarming(ctx, candidates)
	if wait > 0 {
		c.refuseLimited(wait)
		return nil, false
	}
	verdict := dispatch.AdmissionDecision{Admitted: true}
	tracked, wait, isDenied := c.choosePermitted(ctx, candidates, true, func(t *trackedRequest) bool {
		if c.firstByteAt.IsZero() {
			verdict = dispatch.Admit(t.expectedTTFB, c.patience())
		}
		return verdict.Admitted
	})
	c.keepWarmupSlot(tracked)
	switch {
	case isDenied:
		c.refuseLimited(wait)
	case tracked == nil:
		c.failStream(ctx, "no engine")
	case !verdict.Admitted:
		c.refuseOverloaded(tracked, verdict)
	default:
		return tracked, true
	}
	return nil, false
}

// refuseOverloaded ends a request whose first byte would come too late.
func (c *call) refuseOverloaded(tracked *trackedRequest, verdict dispatch.AdmissionDecision) {
	p := c.patience()
	c.gateway.Log.Info().Str("event", "request.shed").Str("request", c.params.ID).Str("route", c.route.Name).
		Str("upstream", string(tracked.upstream.ID)).Str("model", c.params.Model).Dur("expected", tracked.expectedTTFB).Dur("unread", tracked.pendingPrefillAhead).Int("running", tracked.runningAtStart).
		Float64("slow", tracked.slowdown).Float64("utilization", tracked.outlook.Utilization).Dur("gap", tracked.outlook.Gap).Dur("others_gap", tracked.outlook.OthersGap).Float64("value", tracked.outlook.Value).Float64("harm", tracked.outlook.Harm).
		Dur("target", p.Target).Dur("left", p.Remaining).Dur("retry_after", verdict.RetryAfter).Msg("request refused; expected time to the first byte exceeds the limit")
	c.refuse(http.StatusServiceUnavailable, verdict.RetryAfter, "overloaded")
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

// attemptResult is how an attempt ended.
type attemptResult struct {
	isFinal bool     // the response has been forwarded, or the caller has disconnected
	reason  string   // why the request has to be sent again
	next    *attempt // continues the request; nil if no other upstream has it
}

var finalResult = attemptResult{isFinal: true}

// attemptStream sends the request once, unless it has been sent already, and forwards the events
// of the response.
func (c *call) attemptStream(ctx context.Context, a *attempt) attemptResult {
	defer a.cancel(nil)
	gap := max(stallGaps*c.route.TargetEventGap, minStallTimeout)
	h := c.startHedge(ctx, a, hedgeRules{
		first: max(firstEventFactor*a.tracked.expectedTTFB, gap), gap: gap, cause: errStalled, choose: c.chooseNextEngine,
		accepts: func(next *attempt) bool { return next.exchange.Response.StatusCode == http.StatusOK },
	})
	defer h.end(true)
	c.sendOrAwait(a, c.lastEventID)
	if a.failure != failureNone {
		return attemptResult{reason: a.failure.String(), next: h.end(false)}
	}
	defer a.exchange.Close()
	defer a.tracked.finish()
	if a.exchange.Response.StatusCode != http.StatusOK {
		return c.handleErrorResponse(a, h)
	}
	return c.relayEvents(a, h)
}

// chooseNextEngine chooses the engine to which a stream is sent as well: one that the request has
// not been sent to, if there is one, from which the rest of the stream is expected in time.
func (c *call) chooseNextEngine(hasBegun bool) *trackedRequest {
	g := c.gateway
	available, _ := g.pauses.available(g.withoutLimited(g.reach.reachable(c.usableEngines(c.params.Model, c.params.Adapter))))
	return c.chooseWithRoom(c.request.Context(), c.withoutNewVersions(c.retryCandidates(available)), hasBegun)
}

// chooseWithRoom chooses one of the candidates from which the stream, or the rest of one that has begun, is expected in time. It returns
// nil if there is none, and waits for nothing.
func (c *call) chooseWithRoom(ctx context.Context, candidates []*fleet.Upstream, hasBegun bool) *trackedRequest {
	isInTime := true
	tracked, _, _ := c.choosePermitted(ctx, c.withoutWarming(candidates), false, func(t *trackedRequest) bool {
		isInTime = t.expectedTTFB <= time.Until(c.deadline) && (hasBegun || dispatch.Admit(t.expectedTTFB, c.patience()).Admitted)
		return isInTime
	})
	if !isInTime {
		return nil
	}
	return tracked
}

const reasonEngineFailed = "engine failed"

// handleErrorResponse handles a response whose status is not 200. It forwards the response
// unless the stream has begun or the request may be sent again.
func (c *call) handleErrorResponse(a *attempt, h *hedge) attemptResult {
	a.tracked.recordFault()
	if !c.firstByteAt.IsZero() || c.isRetryableResponse(a) && c.acquireRetry(reasonEngineFailed) {
		a.tracked.recordUnserved()
		return attemptResult{reason: reasonEngineFailed, next: h.end(false)} // the body is not read, because it may have no end
	}
	body, isWhole, err := c.bufferResponse(a)
	switch {
	case err != nil:
		return c.handleBrokenStream(a, h, err)
	case !isWhole:
		return c.relayLongResponse(a, io.MultiReader(bytes.NewReader(body), a.exchange), h)
	}
	h.end(true)
	c.writeResponse(a, body)
	return finalResult
}

// relayEvents forwards the events of a response as they arrive.
func (c *call) relayEvents(a *attempt, h *hedge) attemptResult {
	frames := sseframe.NewScanner(a.exchange)
	lastEventAt := time.Now()
	idleBytes := 0 // since the last new event
	hasEvents := false
	for {
		event, err := frames.Next()
		switch {
		case errors.Is(err, io.EOF) && !hasEvents && c.isCutBeforeFirstEvent(a):
			return c.handleBrokenStream(a, h, io.ErrUnexpectedEOF)
		case errors.Is(err, io.EOF):
			h.end(true)
			a.tracked.recordFirstByte()
			if c.firstByteAt.IsZero() {
				c.startResponse(a)
			}
			c.outcome = "answered"
			c.recordCompleted(a.exchange.Response)
			return finalResult
		case err != nil:
			return c.handleBrokenStream(a, h, err)
		}
		isRepeated := event.ID != "" && event.ID == c.lastEventID // as a resumed stream may begin
		switch {
		case !event.IsComment && !isRepeated:
			idleBytes = 0
		case idleBytes > maxIdleStreamBytes:
			return c.handleBrokenStream(a, h, errNoProgress)
		default:
			idleBytes += len(event.Raw)
		}
		if event.IsComment { // an engine that has stalled may send comments for ever
			if !c.firstByteAt.IsZero() && !c.writeEvent(event) {
				return finalResult
			}
			continue
		}
		hasEvents = true
		if isRepeated { // a stalled engine may repeat it for ever
			a.tracked.recordFirstByte()
			continue
		}
		if !h.pause() {
			return c.handleBrokenStream(a, h, errStalled)
		}
		a.tracked.recordFirstByte()
		if !c.forwardEvent(a, event, lastEventAt) {
			return finalResult
		}
		lastEventAt = time.Now()
		h.resume()
	}
}

// forwardEvent sends an event to the caller, after the head of the response if it is the first
// one. It returns false if the caller has disconnected.
func (c *call) forwardEvent(a *attempt, event sseframe.Event, lastEventAt time.Time) bool {
	if c.firstByteAt.IsZero() {
		if a.tracked.tracker != nil { // else the other instance records it
			c.recordOrigin(a.tracked.upstream)
		}
		c.startResponse(a)
	} else {
		c.gateway.Metrics.ObserveEventGap(time.Since(lastEventAt))
	}
	return c.writeEvent(event)
}

// startResponse sends the status and headers of a stream to the caller.
func (c *call) startResponse(a *attempt) {
	c.beginResponse(a) // with status 200, which promises nothing
	c.gateway.Metrics.ObserveFirstByte(routeKindLabel(c.route), c.firstByteAt.Sub(c.arrivedAt))
	c.writer.Header().Del("Content-Length") // a resumed stream may differ in length
	c.limitWrites()
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

// handleBrokenStream handles a stream that ended early. It counts as a possible crash unless the
// gateway itself canceled the attempt. If the caller has disconnected, it aborts the handler.
func (c *call) handleBrokenStream(a *attempt, h *hedge, err error) attemptResult {
	cause := context.Cause(a.ctx)
	c.gateway.Metrics.CountBreak(breakCause(a.ctx))
	c.gateway.Log.Info().Str("event", "stream.broke_off").Str("request", c.params.ID).Str("upstream", string(a.tracked.upstream.ID)).
		Str("last_event", c.lastEventID).Strs("parts", c.sharedPartIDs()).AnErr("cause", cause).Err(err).Dur("took", time.Since(a.tracked.startedAt)).Msg("event stream of the engine ended early")
	if c.callerDisconnected() {
		c.abandon()
	}
	a.tracked.recordUnserved()
	if cause == nil {
		c.reportCrash(a.tracked, err)
		c.reportWarmup(a, true)
	}
	return attemptResult{reason: "stream broke off", next: h.end(false)}
}

// routeKindLabel returns the metric label for the kind of a route, "none" without a route.
func routeKindLabel(r *fleet.Route) string {
	if r == nil {
		return "none"
	}
	return [...]string{"unsafe", "safe", "stream"}[r.Kind]
}

// isCutBeforeFirstEvent reports whether a response that has ended without events was broken off. A new
// stream has events, whatever the framing of the body. The rest of a stream may have none: one that its
// caller takes up after its last event, and one that the gateway resumes, if its body is framed.
func (c *call) isCutBeforeFirstEvent(a *attempt) bool {
	if c.firstByteAt.IsZero() {
		return c.params.LastEventID == ""
	}
	return !isFramed(a.exchange.Response)
}

// isFramed reports whether the end of a response body is known from its length or its
// chunks, rather than by the end of the connection.
func isFramed(r *http.Response) bool { return r.ContentLength >= 0 || len(r.TransferEncoding) > 0 }

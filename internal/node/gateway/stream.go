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
	// Callers abandon a stream after a pause of callerMinPatience, callerTargets times
	// the target or callerGaps times the aimed gap, whichever is longest; the
	// platform's contract gives these figures.
	callerMinPatience     = 2 * time.Second
	callerPatienceTargets = 4
	callerPatienceGaps    = 8
	// stallGaps is the multiple of the aimed gap after which a stream without
	// events is taken up at another engine, half of what callers bear.
	stallGaps       = 4
	minStallTimeout = time.Second
	// firstEventFactor is the multiple of the expected time after which a stream
	// without a first event is sent to another engine.
	firstEventFactor = 3
)

// patience returns how long the caller waits for the first event from now on.
func (c *call) patience() dispatch.LatencyLimits {
	tolerance := max(callerMinPatience, callerPatienceTargets*c.route.TargetLatency, callerPatienceGaps*c.route.TargetEventGap)
	remaining := min(time.Until(c.deadline), time.Until(c.arrivedAt.Add(tolerance)))
	return dispatch.LatencyLimits{Target: c.route.TargetLatency, Remaining: remaining}
}

// serveStream serves a request that is answered by events.
func (c *call) serveStream(ctx context.Context) {
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

// unsharedPromptTokens returns the prompt tokens that other requests do not share: all but
// the parts before the last.
func (c *call) unsharedPromptTokens() int {
	tokens := c.params.PromptTokens
	for i := 0; i < len(c.params.Parts)-1; i++ {
		tokens -= c.params.Parts[i].Tokens
	}
	return max(tokens, 1)
}

// expectedOutputTokens returns the tokens that the answer is likely to have.
func (c *call) expectedOutputTokens() int {
	if c.params.LengthHint > 0 {
		return min(c.params.LengthHint, max(c.params.MaxOutputTokens, 1))
	}
	return c.params.MaxOutputTokens / 2
}

// chooseEngine waits for an engine that holds the model and decides on admission.
// It returns false once the caller has an answer.
func (c *call) chooseEngine(ctx context.Context) (*trackedRequest, bool) {
	g := c.gateway
	usable, ok := c.awaitLoadedEngines(ctx)
	if !ok {
		return nil, false
	}
	candidates := c.untried(usable)
	if len(candidates) == 0 {
		candidates = usable
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
				Dur("target", p.Target).Dur("left", p.Remaining).Dur("retry_after", verdict.RetryAfter).Msg("request refused")
			c.refuse(http.StatusServiceUnavailable, verdict.RetryAfter, "overloaded")
			return nil, false
		}
	}
	return tracked, true
}

// failStream ends a stream that no engine goes on with.
func (c *call) failStream(ctx context.Context, reason string) {
	if !c.firstByteAt.IsZero() {
		c.outcome = "broke off: " + reason
		panic(http.ErrAbortHandler)
	}
	c.respondUnserved(ctx, reason)
}

// attemptStream sends the request once and passes its events on. It returns true with
// the reason if another engine has to go on.
func (c *call) attemptStream(ctx context.Context, tracked *trackedRequest) (bool, string) {
	attemptCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	stall := c.startStallTimer(cancel, tracked)
	defer stall.stop()
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

// startStallTimer ends the send when the engine stays silent for too long and another
// could go on. It does nothing where the request can't be repeated.
func (c *call) startStallTimer(cancel context.CancelCauseFunc, tracked *trackedRequest) *stallTimer {
	s := &stallTimer{cancel: cancel, gap: max(stallGaps*c.route.TargetEventGap, minStallTimeout)}
	if c.route.IsRepeatable() && c.attempts+1 < c.route.MaxAttempts {
		s.timer = time.AfterFunc(max(firstEventFactor*tracked.expectedTTFB, s.gap), s.cancelAttempt)
	}
	return s
}

var errStalled = errors.New("the engine sends no events")

type stallTimer struct {
	cancel context.CancelCauseFunc
	timer  *time.Timer // nil if not watched
	gap    time.Duration
}

func (s *stallTimer) cancelAttempt() { s.cancel(errStalled) }

func (s *stallTimer) reset() {
	if s.timer != nil {
		s.timer.Reset(s.gap)
	}
}

// stop ends the watch.
func (s *stallTimer) stop() {
	if s.timer != nil {
		s.timer.Stop()
	}
}

// handleErrorResponse handles an engine's own failure.
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

// relayEvents passes the events of an answer on as they arrive.
func (c *call) relayEvents(ctx context.Context, a attempt, stall *stallTimer) (bool, string) {
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
		stall.reset()
		a.tracked.recordFirstByte()
		if event.ID != "" && event.ID == c.lastEventID {
			continue // the engine goes on from the event before
		}
		if !c.firstByteAt.IsZero() {
			c.gateway.Metrics.ObserveEventGap(time.Since(lastEventAt))
		}
		lastEventAt = time.Now()
		if c.firstByteAt.IsZero() {
			c.startResponse(a)
		}
		if !c.writeEvent(event) {
			return false, ""
		}
	}
}

func (c *call) startResponse(a attempt) {
	c.firstByteAt, c.status = time.Now(), a.exchange.Response.StatusCode
	c.gateway.Metrics.ObserveFirstByte(routeKindLabel(c.route), c.firstByteAt.Sub(c.arrivedAt))
	platform.CopyResponseHeaders(c.writer.Header(), a.exchange.Response.Header)
	c.writer.Header().Del("Content-Length") // a resumed stream may differ in length
	c.writer.WriteHeader(c.status)
}

// writeEvent gives an event to the caller. It reports false if the caller has left.
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

// handleBrokenStream handles a stream that broke off before its end.
func (c *call) handleBrokenStream(ctx context.Context, a attempt, err error) (bool, string) {
	cause := context.Cause(ctx)
	c.gateway.Log.Info().Str("event", "stream.broke_off").Str("request", c.params.ID).Str("upstream", string(a.tracked.upstream.ID)).
		Str("last_event", c.lastEventID).AnErr("cause", cause).Err(err).Dur("took", time.Since(a.tracked.startedAt)).Msg("stream broke off")
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

func routeKindLabel(r *fleet.Route) string {
	if r == nil {
		return "none"
	}
	return [...]string{"unsafe", "safe", "stream"}[r.Kind]
}

// isFramed reports whether the end of an answer's body is marked within it.
func isFramed(r *http.Response) bool { return r.ContentLength >= 0 || len(r.TransferEncoding) > 0 }

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
	// Callers abandon a stream after a pause of callerPause, callerTargets times
	// the target or callerGaps times the aimed gap, whichever is longest; the
	// platform's contract gives these figures.
	callerPause   = 2 * time.Second
	callerTargets = 4
	callerGaps    = 8
	// silentGaps is the multiple of the aimed gap after which a stream without
	// events is taken up at another engine, half of what callers bear.
	silentGaps = 4
	minSilent  = time.Second
	// overdueShare is the multiple of the expected time after which a stream
	// without a first event is sent to another engine.
	overdueShare = 3
)

// patience returns how long the caller waits for the first event from now on.
func (c *call) patience() dispatch.LatencyLimits {
	bears := max(callerPause, callerTargets*c.route.TargetLatency, callerGaps*c.route.TargetEventGap)
	given := min(time.Until(c.due), time.Until(c.arrived.Add(bears)))
	return dispatch.LatencyLimits{Target: c.route.TargetLatency, Remaining: given}
}

// serveStream serves a request that is answered by events.
func (c *call) serveStream(ctx context.Context) {
	if c.engines != nil && c.wire.Model != "" {
		c.gateway.RecordDemand(c.service, c.wire.Model, c.wire.Adapter, c.ownTokens()+c.outputTokens())
	}
	for {
		f, ok := c.chooseEngine(ctx)
		if !ok {
			return
		}
		again, reason := c.tryStream(ctx, f)
		if !again {
			return
		}
		if ctx.Err() != nil || !c.mayRepeat(reason) {
			c.endStream(ctx, reason)
			return
		}
	}
}

// ownTokens returns the prompt tokens that other requests do not share: all but
// the parts before the last.
func (c *call) ownTokens() int {
	own := c.wire.PromptTokens
	for i := 0; i < len(c.wire.Parts)-1; i++ {
		own -= c.wire.Parts[i].Tokens
	}
	return max(own, 1)
}

// outputTokens returns the tokens that the answer is likely to have.
func (c *call) outputTokens() int {
	if c.wire.LengthHint > 0 {
		return min(c.wire.LengthHint, max(c.wire.MaxOutputTokens, 1))
	}
	return c.wire.MaxOutputTokens / 2
}

// chooseEngine waits for an engine that holds the model and decides on admission.
// It returns false once the caller has an answer.
func (c *call) chooseEngine(ctx context.Context) (*flight, bool) {
	g := c.gateway
	usable, ok := c.awaitEngines(ctx)
	if !ok {
		return nil, false
	}
	from := c.untried(usable)
	if len(from) == 0 {
		from = usable
	}
	f, ok := g.Tracker.choose(c, from, g.Zone)
	if !ok {
		c.endStream(ctx, "no engine")
		return nil, false
	}
	if c.firstByteAt.IsZero() {
		p := c.patience()
		if verdict := dispatch.Admit(f.expected, p); !verdict.Admitted {
			g.Log.Info().Str("event", "request.shed").Str("request", c.wire.ID).Str("route", c.route.Name).
				Str("upstream", string(f.upstream.ID)).Str("model", c.wire.Model).Dur("expected", f.expected).Dur("unread", f.ahead).Int("running", f.running).
				Dur("target", p.Target).Dur("left", p.Remaining).Dur("retry_after", verdict.RetryAfter).Msg("request refused")
			c.refuse(http.StatusServiceUnavailable, verdict.RetryAfter, "overloaded")
			return nil, false
		}
	}
	return f, true
}

// endStream ends a stream that no engine goes on with.
func (c *call) endStream(ctx context.Context, reason string) {
	if !c.firstByteAt.IsZero() {
		c.outcome = "broke off: " + reason
		panic(http.ErrAbortHandler)
	}
	c.giveUp(ctx, reason)
}

// tryStream sends the request once and passes its events on. It returns true with
// the reason if another engine has to go on.
func (c *call) tryStream(ctx context.Context, f *flight) (bool, string) {
	trying, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watch := c.watchSilence(cancel, f)
	defer watch.Stop()
	a := c.send(trying, f, c.lastEvent)
	if a.failure != failureNone {
		return true, a.failure.String()
	}
	defer a.exchange.Close()
	defer f.end()
	if a.exchange.Response.StatusCode != http.StatusOK {
		return c.failedStream(a)
	}
	return c.relay(trying, a, watch)
}

// watchSilence ends the send when the engine stays silent for too long and another
// could go on. It does nothing where the request can't be repeated.
func (c *call) watchSilence(cancel context.CancelCauseFunc, f *flight) *silence {
	s := &silence{cancel: cancel, gap: max(silentGaps*c.route.TargetEventGap, minSilent)}
	if c.route.IsRepeatable() && c.sends+1 < c.route.MaxAttempts {
		s.timer = time.AfterFunc(max(overdueShare*f.expected, s.gap), s.expired)
	}
	return s
}

var errSilent = errors.New("the engine sends no events")

type silence struct {
	cancel context.CancelCauseFunc
	timer  *time.Timer // nil if not watched
	gap    time.Duration
}

func (s *silence) expired() { s.cancel(errSilent) }

func (s *silence) event() {
	if s.timer != nil {
		s.timer.Reset(s.gap)
	}
}

// Stop ends the watch.
func (s *silence) Stop() {
	if s.timer != nil {
		s.timer.Stop()
	}
}

// failedStream handles an engine's own failure.
func (c *call) failedStream(a attempt) (bool, string) {
	body, err := io.ReadAll(io.LimitReader(a.exchange, heldAnswerBytes))
	a.flight.erred()
	if !c.firstByteAt.IsZero() || err != nil || c.worthRepeat(a) && c.sends < c.route.MaxAttempts {
		a.flight.failed()
		return true, "engine failed"
	}
	c.passOn(a, body)
	return false, ""
}

// relay passes the events of an answer on as they arrive.
func (c *call) relay(ctx context.Context, a attempt, watch *silence) (bool, string) {
	frames := sseframe.NewScanner(a.exchange, isFramed(a.exchange.Response))
	last := time.Now()
	for {
		event, err := frames.Next()
		switch {
		case errors.Is(err, io.EOF):
			a.flight.answered()
			if c.firstByteAt.IsZero() {
				c.startAnswer(a)
			}
			c.outcome = "answered"
			return false, ""
		case err != nil:
			return c.broken(ctx, a, err)
		}
		watch.event()
		a.flight.answered()
		if event.ID != "" && event.ID == c.lastEvent {
			continue // the engine goes on from the event before
		}
		if !c.firstByteAt.IsZero() {
			c.gateway.Metrics.ObserveEventGap(time.Since(last))
		}
		last = time.Now()
		if c.firstByteAt.IsZero() {
			c.startAnswer(a)
		}
		if !c.pass(event) {
			return false, ""
		}
	}
}

func (c *call) startAnswer(a attempt) {
	c.firstByteAt, c.status = time.Now(), a.exchange.Response.StatusCode
	c.gateway.Metrics.ObserveFirstByte(kindName(c.route), c.firstByteAt.Sub(c.arrived))
	platform.CopyResponseHeaders(c.writer.Header(), a.exchange.Response.Header)
	c.writer.Header().Del("Content-Length") // a resumed stream may differ in length
	c.writer.WriteHeader(c.status)
}

// pass gives an event to the caller. It reports false if the caller has left.
func (c *call) pass(event sseframe.Event) bool {
	_, err := c.writer.Write(event.Raw)
	if err == nil {
		err = http.NewResponseController(c.writer).Flush()
	}
	if err != nil {
		c.outcome = outcomeLeft
		return false
	}
	if event.ID != "" {
		c.lastEvent = event.ID
	}
	return true
}

// broken handles a stream that broke off before its end.
func (c *call) broken(ctx context.Context, a attempt, err error) (bool, string) {
	cause := context.Cause(ctx)
	c.gateway.Log.Info().Str("event", "stream.broke_off").Str("request", c.wire.ID).Str("upstream", string(a.flight.upstream.ID)).
		Str("last_event", c.lastEvent).AnErr("cause", cause).Err(err).Dur("took", time.Since(a.flight.began)).Msg("stream broke off")
	if c.hasLeft() {
		c.outcome = outcomeLeft
		panic(http.ErrAbortHandler)
	}
	a.flight.failed()
	if cause == nil {
		c.brokeOff(a.flight, err)
	}
	return true, "stream broke off"
}

func kindName(r *fleet.Route) string {
	if r == nil {
		return "none"
	}
	return [...]string{"unsafe", "safe", "stream"}[r.Kind]
}

// isFramed reports whether the end of an answer's body is marked within it.
func isFramed(r *http.Response) bool { return r.ContentLength >= 0 || len(r.TransferEncoding) > 0 }

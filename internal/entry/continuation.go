package entry

import (
	"context"
	"time"

	"savoryweir/internal/coordination/routing"
	"savoryweir/internal/coordination/suspect"
	"savoryweir/internal/pause"
)

// continuation is the decision to end an attempt whose upstream is silent, made once another
// attempt is certain to follow.
type continuation struct {
	granted bool     // the attempt ends, and the next one is allowed
	next    *attempt // place at another upstream; nil if the same one gets a new connection
}

// tolerateSilence decides whether an attempt goes on whose upstream is silent, and returns for how
// long. It returns zero once a new connection, or else a place at another upstream, is certain.
// mayRepeat is asked last, since it may spend a retry.
func (s *Server) tolerateSilence(ctx context.Context, a *attempt, w *watchdog, mayRepeat func() bool) time.Duration {
	reads := w.reads.Load()
	isReachable := !s.table.isDown(a) && s.probe(ctx, a.upstream) == nil
	if isReachable {
		pause.For(ctx, s.settings.Upstreams.ProbeTimeout) // an upstream that has just gone on may answer the probe first
	}
	if ctx.Err() != nil || w.reads.Load() != reads {
		return w.idle
	}
	if !isReachable {
		s.recordFault(a.call, a.upstream.ID, true, &upstreamFault{kind: faultSilent, err: errUpstreamIdle})
	}
	next, ok := s.table.reserve(s.now(), a, isReachable)
	switch {
	case !ok && !isReachable && w.silence() > s.settings.Queue.MaxWait:
		return 0 // the call waits no longer than one without an upstream
	case !ok:
		return w.idle
	}
	if !mayRepeat() {
		s.table.cancelReservation(s.now(), next)
		return w.idle
	}
	a.continuation = continuation{granted: true, next: next}
	return 0
}

// recordContinuation records the fault of an attempt that ends for another one. It reports whether the
// call must not be sent to that upstream again.
func (s *Server) recordContinuation(c *call, a *attempt, fault *upstreamFault) bool {
	s.recordFault(c, a.upstream.ID, false, fault)
	return a.continuation.next != nil
}

// nextAttempt ends a failed attempt and returns the next one of its call, before waiting requests can
// take its place. It returns nil if the call has to wait for an upstream.
func (s *Server) nextAttempt(ctx context.Context, a *attempt, r attemptResult) *attempt {
	next := s.table.nextAttempt(s.now(), a, r)
	s.reportRefuted(a.call)
	if next != nil {
		s.ensureSentinel(ctx, next.upstream)
	}
	return next
}

// isDown reports whether the upstream of an attempt could not be reached and has not answered since.
func (t *upstreamTable) isDown(a *attempt) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !t.state(a.upstream.ID).downSince.IsZero()
}

// hasEvents reports whether an attempt has received events of its stream.
func (t *upstreamTable) hasEvents(a *attempt) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return a.stream != nil && a.stream.received.Load() > 0
}

// reserve reports whether the call of a silent attempt can go on elsewhere. If its upstream is
// reachable and takes the call on a new connection, it needs no other place; otherwise reserve
// returns a place at another upstream.
func (t *upstreamTable) reserve(now time.Time, a *attempt, isReachable bool) (*attempt, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if isReachable && t.canReconnect(now, a, a.call.request) {
		return nil, true
	}
	next := t.assignUpstream(now, &waiter{call: a.call}).attempt
	if next != nil && next.upstream.ID != a.upstream.ID {
		return next, true
	}
	if next != nil {
		t.abandon(now, next)
	}
	unrestricted := a.call.request
	unrestricted.Excluded = nil
	return nil, isReachable && t.canReconnect(now, a, unrestricted)
}

// cancelReservation gives back a place that reserve returned, if it did.
func (t *upstreamTable) cancelReservation(now time.Time, next *attempt) {
	if next == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.abandon(now, next)
	t.dispatch(now, t.service(next.call))
}

// abandon ends an attempt that was never sent. The caller holds mu.
func (t *upstreamTable) abandon(now time.Time, a *attempt) {
	state := t.state(a.upstream.ID)
	state.sentSinceReport = max(state.sentSinceReport-1, 0)
	t.end(now, a, attemptResult{abandoned: true})
}

// canReconnect reports whether the upstream of an attempt would take the request again in the same
// place. The caller holds mu.
func (t *upstreamTable) canReconnect(now time.Time, a *attempt, request routing.Request) bool {
	if t.suspects.Decide(now, a.call.suspectID()).Verdict >= suspect.Hold {
		return false
	}
	u, ok := a.call.view.byID[a.upstream.ID]
	if !ok {
		return false
	}
	candidate := t.candidate(now, a.call, t.views.View(), u)
	candidate.InFlight--
	return len(routing.Usable(request, []routing.Candidate{candidate})) > 0
}

// nextAttempt ends an attempt and starts the next one of its call at once, if that was granted or
// the upstream is to be reached on a new connection.
func (t *upstreamTable) nextAttempt(now time.Time, a *attempt, r attemptResult) *attempt {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := a.call
	t.end(now, a, r)
	next := a.continuation.next
	switch {
	case next != nil:
	case a.continuation.granted:
		c.reconnectUpstream = a.upstream.ID
		next = t.startAttempt(now, c, a.upstream.ID)
	case c.reconnectUpstream != "":
		next = t.assignUpstream(now, &waiter{call: c}).attempt
	}
	s := t.service(c)
	if next == nil {
		s.queue.Done(c.queueID)
	}
	t.dispatch(now, s)
	return next
}

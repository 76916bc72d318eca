package entry

import (
	"time"

	"savoryweir/internal/coordination/limit"
	"savoryweir/internal/coordination/outlier"
	"savoryweir/internal/coordination/suspect"
)

// release ends an attempt, updates what is known of its upstream and dispatches waiting requests.
func (t *upstreamTable) release(now time.Time, a *attempt, r attemptResult) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if a.continuation.next != nil {
		t.abandon(now, a.continuation.next)
	}
	t.end(now, a, r)
	s := t.service(a.call)
	s.queue.Done(a.call.queueID)
	t.dispatch(now, s)
}

// end ends an attempt and updates what is known of its upstream. The caller holds mu.
func (t *upstreamTable) end(now time.Time, a *attempt, r attemptResult) {
	state := t.state(a.upstream.ID)
	delete(state.attempts, a)
	if !state.processEndedAt.After(a.started) {
		completed := !r.failed && !r.overloaded && !r.deadlineMissed && !r.abandoned
		if record, changed := t.suspects.AttemptEnded(now, a.call.suspectID(), a.upstream.ID, completed); changed {
			a.call.refutedSuspects = append(a.call.refutedSuspects, record)
		}
	}
	t.updateEstimates(now, t.service(a.call), state, a, r)
}

// updateEstimates feeds the result of an attempt to the concurrency limiter, the outlier detector and
// the mean durations. Only streams have an expected duration to compare with, the one per token.
// The caller holds mu.
func (t *upstreamTable) updateEstimates(now time.Time, s *serviceState, state *upstreamState, a *attempt, r attemptResult) {
	duration := now.Sub(a.started)
	if r.deadlineMissed && !t.isSlow(s, duration) {
		r.abandoned = true
	}
	if r.abandoned {
		return
	}
	r.failed = r.failed || r.deadlineMissed
	sample := limit.Sample{Duration: duration, ExpectedDuration: duration, InFlight: a.inFlightAtStart + 1, Refused: r.overloaded}
	result := outlier.Result{Failed: r.failed}
	if expected := s.perToken.scaled(r.tokens); expected > 0 {
		sample.ExpectedDuration = expected
		result.Slowness = duration.Seconds() / expected.Seconds()
	}
	state.limiter.Observe(now, sample)
	s.detector.Observe(now, a.upstream.ID, result)
	switch {
	case r.failed || r.overloaded:
	case r.tokens > 0:
		s.perToken = s.perToken.add(duration / time.Duration(r.tokens))
	case a.call.request.Model == "":
		s.perCall = s.perCall.add(duration)
	}
}

// isSlow reports whether a missed deadline is a fault of the upstream, rather than a deadline that
// was too short for any upstream. The caller holds mu.
func (t *upstreamTable) isSlow(s *serviceState, duration time.Duration) bool {
	usual := s.perCall.scaled(slowCallFactor)
	return duration >= t.settings.Upstreams.IdleTimeout || usual > 0 && duration > usual
}

// recordCrash records the end of an upstream's process once and returns the suspect records to
// report. It returns nil if the end was recorded after the attempt had started.
func (t *upstreamTable) recordCrash(now time.Time, a *attempt) []suspect.Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	state := t.state(a.upstream.ID)
	if state.processEndedAt.After(a.started) {
		return nil
	}
	state.processEndedAt = now
	if state.downSince.IsZero() {
		state.downSince = now
	}
	return t.suspects.UpstreamCrashed(now, a.upstream.ID)
}

// isSuspect reports whether the call is held or refused as a suspect. Such a call goes back to
// acquire also without retries left, so that its caller is told that it is a suspect instead of
// being asked to send it again soon.
func (t *upstreamTable) isSuspect(now time.Time, c *call) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.suspects.Decide(now, c.suspectID()).Verdict >= suspect.Hold
}

// mergeSuspects merges the suspect records of other instances into the registry.
func (t *upstreamTable) mergeSuspects(now time.Time, records []suspect.Record) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range records {
		t.suspects.Merge(now, r)
	}
}

// expire refuses waiting requests that can no longer meet their deadline and dispatches requests
// to capacity that became free with time.
func (t *upstreamTable) expire(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.checkStreams(now)
	for _, s := range t.services {
		for _, refusal := range s.queue.Expire(now) {
			w := s.waiters[refusal.Request.ID]
			delete(s.waiters, refusal.Request.ID)
			w.result <- grant{err: &queueRefusedError{refusal}}
		}
		t.dispatch(now, s)
	}
}

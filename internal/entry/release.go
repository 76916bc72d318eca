package entry

import (
	"time"

	"savoryweir/internal/coordination/limit"
	"savoryweir/internal/coordination/outlier"
	"savoryweir/internal/coordination/suspect"
)

// release ends a request at its upstream and gives the place to the next one.
func (t *upstreamTable) release(now time.Time, f *attempt, r attemptResult) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.service(f.call)
	state := t.state(f.upstream.ID)
	delete(state.attempts, f)
	s.queue.Done(f.call.queueID)
	if !state.diedAt.After(f.started) {
		completed := !r.failed && !r.overloaded && !r.deadlineMissed && !r.abandoned
		if record, changed := t.suspects.Ended(now, f.call.suspectID(), f.upstream.ID, completed); changed {
			f.call.refutedSuspects = append(f.call.refutedSuspects, record)
		}
	}
	t.updateEstimates(now, s, state, f, r)
	t.dispatch(now, s)
}

// updateEstimates adapts limits and the judgement of the upstream. Only streams have a
// time that answers can be compared by. The caller holds mu.
func (t *upstreamTable) updateEstimates(now time.Time, s *serviceState, state *upstreamState, f *attempt, r attemptResult) {
	duration := now.Sub(f.started)
	if r.deadlineMissed && !t.isSlow(s, duration) {
		r.abandoned = true
	}
	if r.abandoned {
		return
	}
	r.failed = r.failed || r.deadlineMissed
	sample := limit.Sample{Took: duration, Expected: duration, InFlight: f.inFlightAtStart + 1, Refused: r.overloaded}
	result := outlier.Result{Failed: r.failed}
	if expected := s.perToken.scaled(r.tokens); expected > 0 {
		sample.Expected = expected
		result.Slowness = duration.Seconds() / expected.Seconds()
	}
	state.limiter.Observe(now, sample)
	s.detector.Observe(now, f.upstream.ID, result)
	switch {
	case r.failed || r.overloaded:
	case r.tokens > 0:
		s.perToken = s.perToken.add(duration / time.Duration(r.tokens))
	case f.call.request.Model == "":
		s.perCall = s.perCall.add(duration)
	}
}

// isSlow tells an upstream that does not answer from a deadline that was too short for it. The caller holds mu.
func (t *upstreamTable) isSlow(s *serviceState, duration time.Duration) bool {
	usual := s.perCall.scaled(slowCallFactor)
	return duration >= t.settings.Upstreams.IdleTimeout || usual > 0 && duration > usual
}

// recordDeath notes the end of an upstream's process once and returns the records to share.
func (t *upstreamTable) recordDeath(now time.Time, f *attempt) []suspect.Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	state := t.state(f.upstream.ID)
	if state.diedAt.After(f.started) {
		return nil
	}
	state.diedAt = now
	if state.downSince.IsZero() {
		state.downSince = now
	}
	return t.suspects.Died(now, f.upstream.ID)
}

// isSuspect reports whether the call is held or refused as a suspect. Its
// caller must be told so, and not to send it again soon.
func (t *upstreamTable) isSuspect(now time.Time, c *call) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.suspects.Decide(now, c.suspectID()).Verdict >= suspect.Hold
}

// mergeSuspects takes in the suspects of other instances.
func (t *upstreamTable) mergeSuspects(now time.Time, records []suspect.Record) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range records {
		t.suspects.Merge(now, r)
	}
}

// expire refuses waiting requests that can't meet their deadline any more, and
// gives out places that became free with time.
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

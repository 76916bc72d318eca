package entry

import (
	"time"

	"savoryweir/internal/coordination/limit"
	"savoryweir/internal/coordination/outlier"
	"savoryweir/internal/coordination/suspect"
)

// release ends a request at its upstream and gives the place to the next one.
func (t *upstreamTable) release(now time.Time, f *flight, r attemptResult) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.service(f.call)
	state := t.state(f.upstream.ID)
	delete(state.flights, f)
	s.queue.Done(f.call.queueID)
	if !state.diedAt.After(f.started) {
		completed := !r.failed && !r.refused && !r.late && !r.abandoned
		if record, news := t.suspects.AttemptEnded(now, f.call.suspectID(), f.upstream.ID, completed); news {
			f.call.cleared = append(f.call.cleared, record)
		}
	}
	t.learn(now, s, state, f, r)
	t.dispatch(now, s)
}

// learn adapts limits and the judgement of the upstream. Only streams have a
// time that answers can be compared by. The caller holds mu.
func (t *upstreamTable) learn(now time.Time, s *serviceState, state *upstreamState, f *flight, r attemptResult) {
	took := now.Sub(f.started)
	if r.late && !t.isSlow(s, took) {
		r.abandoned = true
	}
	if r.abandoned {
		return
	}
	r.failed = r.failed || r.late
	sample := limit.Sample{Duration: took, ExpectedDuration: took, InFlight: f.beside + 1, Refused: r.refused}
	result := outlier.Result{Failed: r.failed}
	if expected := s.perToken.times(r.tokens); expected > 0 {
		sample.ExpectedDuration = expected
		result.Slowness = took.Seconds() / expected.Seconds()
	}
	state.limiter.Observe(now, sample)
	s.detector.Observe(now, f.upstream.ID, result)
	switch {
	case r.failed || r.refused:
	case r.tokens > 0:
		s.perToken = s.perToken.with(took / time.Duration(r.tokens))
	case f.call.request.Model == "":
		s.perCall = s.perCall.with(took)
	}
}

// isSlow tells an upstream that does not answer from a deadline that was too short for it. The caller holds mu.
func (t *upstreamTable) isSlow(s *serviceState, took time.Duration) bool {
	usual := s.perCall.times(lateFactor)
	return took >= t.settings.Upstreams.IdleTimeout || usual > 0 && took > usual
}

// died notes the end of an upstream's process once and returns the records to share.
func (t *upstreamTable) died(now time.Time, f *flight) []suspect.Record {
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
	return t.suspects.UpstreamCrashed(now, f.upstream.ID)
}

// awaitsVerdict reports whether the call is held or refused as a suspect. Its
// caller must be told so, and not to send it again soon.
func (t *upstreamTable) awaitsVerdict(now time.Time, c *call) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.suspects.Decide(now, c.suspectID()).Verdict >= suspect.Hold
}

// merge takes in the suspects of other instances.
func (t *upstreamTable) merge(now time.Time, records []suspect.Record) {
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
	t.followStreams(now)
	for _, s := range t.services {
		for _, refusal := range s.queue.Expire(now) {
			w := s.waiters[refusal.Request.ID]
			delete(s.waiters, refusal.Request.ID)
			w.result <- grant{err: &refusedError{refusal}}
		}
		t.dispatch(now, s)
	}
}

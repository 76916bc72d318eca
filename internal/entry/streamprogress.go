package entry

import (
	"context"
	"sync/atomic"
	"time"

	"savoryweir/internal/coordination/progress"
)

// streamProgress is the progress of a stream from an upstream.
type streamProgress struct {
	received atomic.Int64 // events of this attempt
	progress progress.Stream
	expected float64 // events of this attempt, zero when unknown
	cancel   context.CancelCauseFunc
}

// trackStream tracks the progress of a stream that has begun and returns the counter of its
// events. It calls cancel with errDeadlineUnreachable if the stream will miss its deadline.
func (t *upstreamTable) trackStream(a *attempt, cancel context.CancelCauseFunc) *atomic.Int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	a.stream = &streamProgress{expected: a.call.request.Tokens, cancel: cancel}
	return &a.stream.received
}

// checkStreams updates the token rate of each upstream and cancels the streams that will miss
// their deadline. The caller holds mu.
func (t *upstreamTable) checkStreams(now time.Time) {
	for _, state := range t.states {
		for a := range state.attempts {
			if a.stream != nil {
				state.meter.Observe(now, &a.stream.progress, float64(a.stream.received.Load()))
			}
		}
		for a := range state.attempts {
			s := a.stream
			if s != nil && s.expected > 0 && state.meter.IsLate(now, &s.progress, s.expected, a.call.request.Deadline) {
				s.cancel(errDeadlineUnreachable)
			}
		}
	}
}

// expectedDuration returns the expected duration of the call's answer at the fastest upstream
// that can run it, or that of one token if the answer's length or all token rates are unknown.
// The caller holds mu.
func (t *upstreamTable) expectedDuration(now time.Time, s *serviceState, c *call) time.Duration {
	minimum := s.perToken.scaled(1)
	if c.request.Tokens <= 0 {
		return minimum
	}
	var meters []*progress.Meter
	for _, u := range t.candidates(now, c) {
		if u.DownSince.IsZero() {
			meters = append(meters, t.state(u.Upstream).meter)
		}
	}
	fastest := progress.FastestPerToken(now, meters, 0)
	return max(time.Duration(c.request.Tokens*float64(fastest)), minimum)
}

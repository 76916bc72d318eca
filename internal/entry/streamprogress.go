package entry

import (
	"context"
	"sync/atomic"
	"time"

	"savoryweir/internal/coordination/progress"
)

// followedStream is the progress of a stream from an upstream.
type followedStream struct {
	arrived  atomic.Int64 // events of this send
	progress progress.Stream
	expected float64 // events of this send, zero when unknown
	cancel   context.CancelCauseFunc
}

// follow watches the progress of a stream that has begun. It returns the counter of its
// events. Cancel is called with errLate when the stream will miss its deadline.
func (t *upstreamTable) follow(f *flight, cancel context.CancelCauseFunc) *atomic.Int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	f.stream = &followedStream{expected: f.call.request.Tokens, cancel: cancel}
	return &f.stream.arrived
}

// followStreams learns the pace of each upstream and cancels streams that will be late. The caller holds mu.
func (t *upstreamTable) followStreams(now time.Time) {
	for _, state := range t.states {
		for f := range state.flights {
			if f.stream != nil {
				state.meter.Observe(now, &f.stream.progress, float64(f.stream.arrived.Load()))
			}
		}
		for f := range state.flights {
			s := f.stream
			if s != nil && s.expected > 0 && state.meter.IsLate(now, &s.progress, s.expected, f.call.request.Deadline) {
				s.cancel(errLate)
			}
		}
	}
}

// expect returns the time of the call's answer at the fastest upstream that can
// run it, or that of one token when its length or all paces are unknown. The caller holds mu.
func (t *upstreamTable) expect(now time.Time, s *serviceState, c *call) time.Duration {
	least := s.perToken.times(1)
	if c.request.Tokens <= 0 {
		return least
	}
	var meters []*progress.Meter
	for _, u := range t.candidates(now, c) {
		if u.DownSince.IsZero() {
			meters = append(meters, t.state(u.Upstream).meter)
		}
	}
	fastest := progress.FastestPerToken(now, meters, 0)
	return max(time.Duration(c.request.Tokens*float64(fastest)), least)
}

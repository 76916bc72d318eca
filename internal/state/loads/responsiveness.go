package loads

import (
	"time"

	"savoryweir/internal/state/fleet"
)

const (
	// paceWeight is the weight of one observation in the moving averages: ten
	// observations outweigh what was known before.
	paceWeight = 0.2
	// ratioMin and slowMax bound one observation, so that an upstream that is taken
	// to be slow is tried again.
	ratioMin, slowMax = 0.2, 10.0
	// slowFrom is the ratio from which an upstream counts as slow; below it the
	// estimates are as likely to be wrong.
	slowFrom = 2.0
	// slowHalfLife is the time within which an upstream that gets no requests is
	// taken to have half recovered.
	slowHalfLife = 4 * time.Second
	// avoidFirst and avoidMost bound how long an upstream is avoided after
	// failures; the time doubles with each failure in a row.
	avoidFirst = 250 * time.Millisecond
	avoidMost  = 4 * time.Second
)

// Responsiveness is how an upstream answers.
type Responsiveness struct {
	Slowdown   float64 // measured time to the first byte over the expected one, 1 unless clearly above
	AvoidUntil time.Time
	ratio      float64 // moving average of the measured over the expected time
	failures   int     // in a row
	measured   time.Time
}

// ResponsivenessTracker holds the pace of each upstream. It is not safe for concurrent use.
type ResponsivenessTracker struct {
	by map[fleet.UpstreamID]*Responsiveness
}

// NewResponsivenessTracker returns paces that know no upstream.
func NewResponsivenessTracker() *ResponsivenessTracker {
	return &ResponsivenessTracker{by: make(map[fleet.UpstreamID]*Responsiveness)}
}

func (p *ResponsivenessTracker) of(id fleet.UpstreamID) *Responsiveness {
	pace := p.by[id]
	if pace == nil {
		pace = &Responsiveness{Slowdown: 1, ratio: 1}
		p.by[id] = pace
	}
	return pace
}

// Get returns the pace of an upstream at a time.
func (p *ResponsivenessTracker) Get(now time.Time, id fleet.UpstreamID) Responsiveness {
	pace, ok := p.by[id]
	if !ok {
		return Responsiveness{Slowdown: 1}
	}
	got := *pace
	for idle := now.Sub(got.measured); idle > slowHalfLife && got.ratio > 1.01; idle -= slowHalfLife {
		got.ratio = 1 + (got.ratio-1)/2
	}
	if got.Slowdown = 1; got.ratio >= slowFrom {
		got.Slowdown = got.ratio
	}
	return got
}

// RecordAnswer records an answer that began after took, where expected was foreseen.
func (p *ResponsivenessTracker) RecordAnswer(now time.Time, id fleet.UpstreamID, took, expected time.Duration) {
	pace := p.of(id)
	pace.failures = 0
	pace.AvoidUntil = time.Time{}
	ratio := min(max(float64(took)/float64(max(expected, time.Millisecond)), ratioMin), slowMax)
	pace.ratio = p.Get(now, id).ratio*(1-paceWeight) + ratio*paceWeight
	pace.measured = now
}

// RecordFailure records a failure of the upstream. It reports how long it is avoided.
func (p *ResponsivenessTracker) RecordFailure(now time.Time, id fleet.UpstreamID) time.Duration {
	pace := p.of(id)
	avoid := min(avoidFirst<<min(pace.failures, 8), avoidMost)
	pace.failures++
	pace.AvoidUntil = now.Add(avoid)
	return avoid
}

// Forget drops what is known of an upstream.
func (p *ResponsivenessTracker) Forget(id fleet.UpstreamID) { delete(p.by, id) }

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

// Pace is how an upstream answers.
type Pace struct {
	Slow       float64 // measured time to the first byte over the expected one, 1 unless clearly above
	AvoidUntil time.Time
	ratio      float64 // moving average of the measured over the expected time
	failures   int     // in a row
	measured   time.Time
}

// Paces holds the pace of each upstream. It is not safe for concurrent use.
type Paces struct{ by map[fleet.UpstreamID]*Pace }

// NewPaces returns paces that know no upstream.
func NewPaces() *Paces { return &Paces{by: make(map[fleet.UpstreamID]*Pace)} }

func (p *Paces) of(id fleet.UpstreamID) *Pace {
	pace := p.by[id]
	if pace == nil {
		pace = &Pace{Slow: 1, ratio: 1}
		p.by[id] = pace
	}
	return pace
}

// Get returns the pace of an upstream at a time.
func (p *Paces) Get(now time.Time, id fleet.UpstreamID) Pace {
	pace, ok := p.by[id]
	if !ok {
		return Pace{Slow: 1}
	}
	got := *pace
	for idle := now.Sub(got.measured); idle > slowHalfLife && got.ratio > 1.01; idle -= slowHalfLife {
		got.ratio = 1 + (got.ratio-1)/2
	}
	if got.Slow = 1; got.ratio >= slowFrom {
		got.Slow = got.ratio
	}
	return got
}

// Answered records an answer that began after took, where expected was foreseen.
func (p *Paces) Answered(now time.Time, id fleet.UpstreamID, took, expected time.Duration) {
	pace := p.of(id)
	pace.failures = 0
	pace.AvoidUntil = time.Time{}
	ratio := min(max(float64(took)/float64(max(expected, time.Millisecond)), ratioMin), slowMax)
	pace.ratio = p.Get(now, id).ratio*(1-paceWeight) + ratio*paceWeight
	pace.measured = now
}

// Failed records a failure of the upstream. It reports how long it is avoided.
func (p *Paces) Failed(now time.Time, id fleet.UpstreamID) time.Duration {
	pace := p.of(id)
	avoid := min(avoidFirst<<min(pace.failures, 8), avoidMost)
	pace.failures++
	pace.AvoidUntil = now.Add(avoid)
	return avoid
}

// Forget drops what is known of an upstream.
func (p *Paces) Forget(id fleet.UpstreamID) { delete(p.by, id) }

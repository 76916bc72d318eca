package loads

import (
	"time"

	"savoryweir/internal/state/fleet"
)

const (
	// observationWeight is the weight of one observation in the moving average. Ten
	// observations outweigh everything before them.
	observationWeight = 0.2
	// minRatio and maxRatio bound the ratio of one observation, so that an upstream
	// that is considered slow is tried again.
	minRatio, maxRatio = 0.2, 10.0
	// slowThreshold is the ratio from which an upstream counts as slow. A smaller ratio
	// is as likely to stem from a wrong estimate.
	slowThreshold = 2.0
	// recoveryHalfLife is the time in which the excess ratio of an upstream that gets no
	// requests is assumed to halve.
	recoveryHalfLife = 4 * time.Second
	// initialAvoidance and maxAvoidance bound how long an upstream is avoided after a
	// failure. The time doubles with each consecutive failure.
	initialAvoidance = 250 * time.Millisecond
	maxAvoidance     = 4 * time.Second
)

// Responsiveness describes how fast an upstream answers and whether it is avoided
// after failures.
type Responsiveness struct {
	// Slowdown is the ratio of the measured to the expected time to the first byte. It
	// is 1 unless the ratio reaches slowThreshold.
	Slowdown     float64
	AvoidUntil   time.Time // until then the upstream is chosen only if all others are avoided too
	ratio        float64   // moving average of the ratio of measured to expected time
	failureCount int       // consecutive failures
	answeredAt   time.Time // time of the last answer
}

// ResponsivenessTracker tracks the responsiveness of each upstream. It is not safe
// for concurrent use.
type ResponsivenessTracker struct {
	upstreams map[fleet.UpstreamID]*Responsiveness
}

// NewResponsivenessTracker returns an empty tracker.
func NewResponsivenessTracker() *ResponsivenessTracker {
	return &ResponsivenessTracker{upstreams: make(map[fleet.UpstreamID]*Responsiveness)}
}

func (t *ResponsivenessTracker) getOrCreate(id fleet.UpstreamID) *Responsiveness {
	entry := t.upstreams[id]
	if entry == nil {
		entry = &Responsiveness{Slowdown: 1, ratio: 1}
		t.upstreams[id] = entry
	}
	return entry
}

// Get returns the responsiveness of an upstream at now, with its recovery since the
// last answer.
func (t *ResponsivenessTracker) Get(now time.Time, id fleet.UpstreamID) Responsiveness {
	entry, ok := t.upstreams[id]
	if !ok {
		return Responsiveness{Slowdown: 1}
	}
	got := *entry
	for idle := now.Sub(got.answeredAt); idle > recoveryHalfLife && got.ratio > 1.01; idle -= recoveryHalfLife {
		got.ratio = 1 + (got.ratio-1)/2
	}
	if got.Slowdown = 1; got.ratio >= slowThreshold {
		got.Slowdown = got.ratio
	}
	return got
}

// RecordAnswer records an answer whose first byte arrived after took and had been
// expected after the time expected.
func (t *ResponsivenessTracker) RecordAnswer(now time.Time, id fleet.UpstreamID, took, expected time.Duration) {
	entry := t.getOrCreate(id)
	entry.failureCount = 0
	entry.AvoidUntil = time.Time{}
	ratio := min(max(float64(took)/float64(max(expected, time.Millisecond)), minRatio), maxRatio)
	entry.ratio = t.Get(now, id).ratio*(1-observationWeight) + ratio*observationWeight
	entry.answeredAt = now
}

// RecordFailure records a failure of an upstream and returns how long the upstream
// is avoided.
func (t *ResponsivenessTracker) RecordFailure(now time.Time, id fleet.UpstreamID) time.Duration {
	entry := t.getOrCreate(id)
	avoidance := min(initialAvoidance<<min(entry.failureCount, 8), maxAvoidance)
	entry.failureCount++
	entry.AvoidUntil = now.Add(avoidance)
	return avoidance
}

// AvoidFor records that an upstream is to be avoided for d, but not longer than after
// repeated failures.
func (t *ResponsivenessTracker) AvoidFor(now time.Time, id fleet.UpstreamID, d time.Duration) {
	entry := t.getOrCreate(id)
	if until := now.Add(min(d, maxAvoidance)); until.After(entry.AvoidUntil) {
		entry.AvoidUntil = until
	}
}

// Forget drops the responsiveness of an upstream.
func (t *ResponsivenessTracker) Forget(id fleet.UpstreamID) { delete(t.upstreams, id) }

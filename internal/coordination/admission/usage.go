package admission

import (
	"math"
	"time"
)

const (
	// negligibleUsage is the decayed usage in nanoseconds below which a caller is removed.
	negligibleUsage = float64(time.Millisecond)
	// waitingUsage is the least usage in nanoseconds recorded for a caller that has
	// requests in the queue but none dispatched.
	waitingUsage = float64(10 * time.Millisecond)
)

// usage records the recent usage of each caller in nanoseconds of service time, with
// exponential decay.
type usage struct {
	halfLife  time.Duration
	byCaller  map[Caller]float64 // nanoseconds as of decayedAt
	total     float64
	decayedAt time.Time
}

func newUsage(halfLife time.Duration) *usage {
	return &usage{halfLife: halfLife, byCaller: make(map[Caller]float64)}
}

// add charges the expected duration of a dispatched request to its caller.
func (u *usage) add(now time.Time, caller Caller, cost time.Duration) {
	u.decay(now)
	u.byCaller[caller] += float64(cost)
	u.total += float64(cost)
}

// markPresent counts the caller among those that share the service, also before
// any of its requests has been dispatched.
func (u *usage) markPresent(now time.Time, caller Caller) {
	u.decay(now)
	if missing := waitingUsage - u.byCaller[caller]; missing > 0 {
		u.byCaller[caller] += missing
		u.total += missing
	}
}

// exceedsFairShare reports whether the usage of the caller exceeds an equal share by
// more than the slack, which is a fraction of that share.
func (u *usage) exceedsFairShare(now time.Time, caller Caller, slack float64) bool {
	u.decay(now)
	if len(u.byCaller) < 2 {
		return false
	}
	share := u.total / float64(len(u.byCaller))
	return u.byCaller[caller] > share*(1+slack)
}

// decay applies the exponential decay in steps of at least an eighth of the half-life.
func (u *usage) decay(now time.Time) {
	elapsed := now.Sub(u.decayedAt)
	if elapsed < u.halfLife/8 {
		return
	}
	u.decayedAt = now
	factor := math.Exp2(-float64(elapsed) / float64(u.halfLife))
	u.total = 0
	for caller, used := range u.byCaller {
		used *= factor
		if used < negligibleUsage {
			delete(u.byCaller, caller)
			continue
		}
		u.byCaller[caller] = used
	}
	u.total = u.sum()
}

// sum adds whole nanoseconds because the sum of floats would depend on the map order.
func (u *usage) sum() float64 {
	var nanos int64
	for _, used := range u.byCaller {
		nanos += int64(used)
	}
	return float64(nanos)
}

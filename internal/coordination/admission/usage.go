package admission

import (
	"math"
	"time"
)

const (
	// negligibleUse is the decayed use below which a caller is forgotten.
	negligibleUse = float64(time.Millisecond)
	// presence is the use recorded of a caller that only waits.
	presence = float64(10 * time.Millisecond)
)

// usage records what each caller used lately, decayed by half each window.
type usage struct {
	window  time.Duration
	callers map[Caller]float64 // nanoseconds at time "at"
	total   float64
	at      time.Time
}

func newUsage(window time.Duration) *usage {
	return &usage{window: window, callers: make(map[Caller]float64)}
}

func (u *usage) add(now time.Time, caller Caller, cost time.Duration) {
	u.decay(now)
	u.callers[caller] += float64(cost)
	u.total += float64(cost)
}

// see counts the caller among those that share the service.
func (u *usage) see(now time.Time, caller Caller) {
	u.decay(now)
	if missing := presence - u.callers[caller]; missing > 0 {
		u.callers[caller] += missing
		u.total += missing
	}
}

// isOver reports whether caller used more than its equal share and the slack.
func (u *usage) isOver(now time.Time, caller Caller, slack float64) bool {
	u.decay(now)
	if len(u.callers) < 2 {
		return false
	}
	share := u.total / float64(len(u.callers))
	return u.callers[caller] > share*(1+slack)
}

// decay ages the records in steps of an eighth of the window.
func (u *usage) decay(now time.Time) {
	elapsed := now.Sub(u.at)
	if elapsed < u.window/8 {
		return
	}
	u.at = now
	factor := math.Exp2(-float64(elapsed) / float64(u.window))
	u.total = 0
	for caller, used := range u.callers {
		used *= factor
		if used < negligibleUse {
			delete(u.callers, caller)
			continue
		}
		u.callers[caller] = used
	}
	u.total = u.sum()
}

// sum adds whole nanoseconds, so that the result does not depend on map order.
func (u *usage) sum() float64 {
	var nanos int64
	for _, used := range u.callers {
		nanos += int64(used)
	}
	return float64(nanos)
}

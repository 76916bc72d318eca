package quota

import (
	"time"

	"savoryweir/internal/coordination/quota"
)

const (
	// viewLife is how long an owner is kept that was chosen, and the number of instances.
	viewLife = upkeepInterval
	// countPeriod is how long an instance counts that is no longer listed, as it may still serve.
	countPeriod = 10 * time.Second
)

// fleetView is what follows from the instances that are known.
type fleetView struct {
	at     time.Duration
	owners map[quota.Group]string // nil if the view must be made anew
	// peak is the largest number of instances that were known since peakAt, which is countPeriod ago at most.
	peak   int
	peakAt time.Duration
}

func (v *fleetView) forget() { v.owners = nil }

// refresh makes the view anew if it is too old. The caller holds q.mu.
func (q *Quotas) refresh(now time.Duration) *fleetView {
	v := &q.view
	if v.owners != nil && now-v.at < viewLife {
		return v
	}
	v.at, v.owners = now, make(map[quota.Group]string)
	if count := len(q.Others()) + 1; count >= v.peak || now-v.peakAt > countPeriod {
		v.peak, v.peakAt = count, now
	}
	return v
}

// owner returns the instance that should grant the credit of a group. The caller holds q.mu.
func (q *Quotas) owner(now time.Duration, g quota.Group) string {
	v := q.refresh(now)
	owner, ok := v.owners[g]
	if !ok {
		owner = q.inquiries.Owner(time.Now(), g)
		v.owners[g] = owner
	}
	return owner
}

// share returns the share of this instance in all quotas, zero if it doesn't know the other instances yet. The caller
// holds q.mu.
func (q *Quotas) share() float64 {
	if !q.AreListed() {
		return 0
	}
	return 1 / float64(q.refresh(q.Clock()).peak)
}

// Package fairness divides what is short over those who share it: the customers of a service, and the
// kinds of their requests.
package fairness

import (
	"math"
	"time"
)

// Usage records the recent usage of each party, with exponential decay. Its unit is chosen by the user;
// fractions of a unit don't matter. It is not safe for concurrent use.
type Usage[K comparable] struct {
	halfLife   time.Duration
	negligible float64 // usage below which a party is forgotten
	byParty    map[K]float64
	total      float64
	decayedAt  time.Time
}

// NewUsage returns a record without usage. It forgets a party whose usage falls below negligible.
func NewUsage[K comparable](halfLife time.Duration, negligible float64) *Usage[K] {
	return &Usage[K]{halfLife: halfLife, negligible: negligible, byParty: make(map[K]float64)}
}

// Add charges an amount to a party.
func (u *Usage[K]) Add(now time.Time, party K, amount float64) {
	u.decay(now)
	u.byParty[party] += amount
	u.total += amount
}

// MarkPresent counts a party among those that share, with a usage of at least least.
func (u *Usage[K]) MarkPresent(now time.Time, party K, least float64) {
	u.decay(now)
	if missing := least - u.byParty[party]; missing > 0 {
		u.byParty[party] += missing
		u.total += missing
	}
}

// Get returns the usage of a party.
func (u *Usage[K]) Get(now time.Time, party K) float64 {
	u.decay(now)
	return u.byParty[party]
}

// All calls visit for each party with its usage.
func (u *Usage[K]) All(now time.Time, visit func(party K, amount float64)) {
	u.decay(now)
	for party, amount := range u.byParty {
		visit(party, amount)
	}
}

// ExceedsFairShare reports whether the usage of a party exceeds an equal share by more than the slack,
// which is a fraction of that share.
func (u *Usage[K]) ExceedsFairShare(now time.Time, party K, slack float64) bool {
	u.decay(now)
	if len(u.byParty) < 2 {
		return false
	}
	share := u.total / float64(len(u.byParty))
	return u.byParty[party] > share*(1+slack)
}

// decay applies the exponential decay in steps of at least an eighth of the half-life.
func (u *Usage[K]) decay(now time.Time) {
	elapsed := now.Sub(u.decayedAt)
	if elapsed < u.halfLife/8 {
		return
	}
	u.decayedAt = now
	factor := math.Exp2(-float64(elapsed) / float64(u.halfLife))
	for party, used := range u.byParty {
		used *= factor
		if used < u.negligible {
			delete(u.byParty, party)
			continue
		}
		u.byParty[party] = used
	}
	u.total = u.sum()
}

// sum adds whole units because the sum of floats would depend on the map order.
func (u *Usage[K]) sum() float64 {
	var units int64
	for _, used := range u.byParty {
		units += int64(used)
	}
	return float64(units)
}

// Package permits divides the requests per second that an upstream takes from all instances
// together. One instance, the owner, grants a permit for each request. Permits follow the demand, so
// that an instance that gets most of the callers can use most of the limit; fixed parts for each
// instance would leave the rest unused.
package permits

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"savoryweir/internal/state/fleet"
)

const (
	// ownerShare is the share of a limit that the owner grants. The rest is for the instances that stand
	// in for it, halved from one rank to the next: some of them may not reach the owner, or no other
	// instance, while it still grants permits to others. All shares together keep the limit.
	ownerShare = 0.75
	// burstTime is the time whose unused permits are kept for later requests.
	burstTime = 250 * time.Millisecond
	// suspicionPeriod is how long an owner that doesn't reply is passed over.
	suspicionPeriod = 6 * time.Second
)

// Incarnation identifies one start of an upstream.
type Incarnation struct {
	Upstream  fleet.UpstreamID
	StartedAt int64 // Unix milliseconds
}

// IncarnationOf returns the incarnation that an entry describes.
func IncarnationOf(u *fleet.Upstream) Incarnation {
	return Incarnation{Upstream: u.ID, StartedAt: u.StartedAt.UnixMilli()}
}

// budget is the limit of an upstream and the permits that were granted of it.
type budget struct {
	perSecond float64   // zero after the limit has ended
	changedAt time.Time // latest time at which the limit was known to be in force, or to have ended
	next      time.Time // time of the next permit
}

// Budgets holds the limits that upstreams have named, and the permits that this instance has granted
// as their owner. It is not safe for concurrent use.
type Budgets struct {
	budgets map[Incarnation]*budget
}

// NewBudgets returns budgets without limits.
func NewBudgets() *Budgets { return &Budgets{budgets: make(map[Incarnation]*budget)} }

// Limit returns the limit that an upstream has named in requests per second, zero if there is none,
// and the time at which it was last known to be in force.
func (b *Budgets) Limit(of Incarnation) (perSecond float64, namedAt time.Time) {
	if known := b.budgets[of]; known != nil {
		return known.perSecond, known.changedAt
	}
	return 0, time.Time{}
}

// Impose records that an upstream has named a limit, and returns the one before, zero if there was
// none, and whether the limit has changed. It has no effect if the limit is known to have ended after
// namedAt.
func (b *Budgets) Impose(namedAt time.Time, of Incarnation, perSecond float64) (before float64, changed bool) {
	known := b.budgets[of]
	if known == nil {
		known = &budget{}
		b.budgets[of] = known
	}
	if known.perSecond == 0 && !namedAt.After(known.changedAt) {
		return 0, false
	}
	before, known.perSecond, known.changedAt = known.perSecond, perSecond, namedAt
	if perSecond > before && before > 0 {
		left := float64(known.next.Sub(namedAt)) * before / perSecond // as the new rate would have it
		known.next = namedAt.Add(time.Duration(left))
	}
	return before, perSecond != before
}

// Lift records at a time that an upstream named no limit in its response to a request that was sent
// at sentAt, and returns the limit that ends thereby. It has no effect and returns zero if a limit
// was named after sentAt, since responses may overtake each other.
func (b *Budgets) Lift(now time.Time, of Incarnation, sentAt time.Time) (before float64) {
	known := b.budgets[of]
	if known == nil || !sentAt.After(known.changedAt) {
		return 0
	}
	before, known.perSecond, known.changedAt = known.perSecond, 0, now
	return before
}

// Retain forgets the upstreams that are not listed.
func (b *Budgets) Retain(isListed func(Incarnation) bool) {
	for of := range b.budgets {
		if !isListed(of) {
			delete(b.budgets, of)
		}
	}
}

// Decision is the result of a request for a permit.
type Decision struct {
	Granted bool
	// Wait is the time until the request may be sent or, if no permit was granted, until there may
	// be one.
	Wait time.Duration
}

// Reserve grants a permit that is due within maxWait, if there is one. rank is that of this instance
// for the upstream, zero for the owner. Upstreams without a limit need no permit.
func (b *Budgets) Reserve(now time.Time, of Incarnation, rank int, maxWait time.Duration) Decision {
	known := b.budgets[of]
	if known == nil || known.perSecond == 0 {
		return Decision{Granted: true}
	}
	between := interval(share(rank) * known.perSecond)
	earliest := now.Add(-burstTime)
	if rank > 0 {
		earliest = now
		if known.next.IsZero() {
			known.next = now.Add(between) // the owner may have granted a permit just now
		}
	}
	if known.next.Before(earliest) {
		known.next = earliest
	}
	wait := max(known.next.Sub(now), 0)
	if wait > maxWait {
		return Decision{Wait: wait}
	}
	known.next = known.next.Add(between)
	return Decision{Granted: true, Wait: wait}
}

// share returns the share of a limit that the instance of a rank grants.
func share(rank int) float64 {
	if rank == 0 {
		return ownerShare
	}
	return math.Ldexp(1-ownerShare, -rank)
}

// interval returns the time between two permits at a rate per second.
func interval(rate float64) time.Duration {
	return time.Duration(min(float64(time.Second)/rate, float64(time.Hour)))
}

// Owners chooses the instance that grants the permits of an upstream. All instances rank each other
// alike by hash, and each passes over those from which it gets no replies. It is not safe for
// concurrent use.
type Owners struct {
	self         string
	suspectUntil map[string]time.Time
}

// NewOwners returns the owners as seen by one instance, which never suspects itself.
func NewOwners(self string) *Owners {
	return &Owners{self: self, suspectUntil: make(map[string]time.Time)}
}

// Suspect passes over an instance that did not reply.
func (o *Owners) Suspect(now time.Time, instance string) {
	o.suspectUntil[instance] = now.Add(suspicionPeriod)
}

// Choose returns the instance to ask for permits of an upstream, given the other instances.
func (o *Owners) Choose(now time.Time, of fleet.UpstreamID, others []string) string {
	best, bestWeight := o.self, weight(o.self, of)
	for _, instance := range others {
		if w := weight(instance, of); isAbove(instance, w, best, bestWeight) && !now.Before(o.suspectUntil[instance]) {
			best, bestWeight = instance, w
		}
	}
	return best
}

// Rank returns the rank of this instance among all for an upstream, zero for the owner.
func (o *Owners) Rank(of fleet.UpstreamID, others []string) int {
	rank, own := 0, weight(o.self, of)
	for _, instance := range others {
		if isAbove(instance, weight(instance, of), o.self, own) {
			rank++
		}
	}
	return rank
}

func isAbove(a string, weightOfA uint64, b string, weightOfB uint64) bool {
	return weightOfA > weightOfB || weightOfA == weightOfB && a > b
}

func weight(instance string, of fleet.UpstreamID) uint64 {
	return xxhash.Sum64String(instance + "/" + string(of))
}

// Package permits divides what an upstream in need takes from all instances together: the requests
// per second, and those that a brittle upstream can reject. One instance, the owner, grants a permit
// for each request. Permits follow the demand, so that an instance that gets most of the callers can
// use most of the limit; fixed parts for each instance would leave the rest unused.
package permits

import (
	"math"
	"time"

	"savoryweir/internal/coordination/owners"
	"savoryweir/internal/state/fleet"
)

const (
	// ownerShare is the share of a limit that the owner grants. The rest is for the instances that stand
	// in for it, halved from one rank to the next: some of them may not reach the owner, or no other
	// instance, while it still grants permits to others. All shares together keep the limit.
	ownerShare = 0.75
	// burstTime is the time whose unused permits are kept for later requests.
	burstTime = 250 * time.Millisecond
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

// Term is what an upstream in need names in its responses.
type Term uint8

const (
	// TermRate is the requests per second that the upstream takes from all instances together.
	TermRate Term = iota
	// TermRejections is the requests per second that a brittle upstream can reject for want of
	// room; it falls over if it has to reject more.
	TermRejections
	termCount
)

// term is the value of a term, as known at a time.
type term struct {
	value     float64   // zero after the term has ended
	changedAt time.Time // latest time at which it was known to be in force, or to have ended
}

// budget is what an upstream has named, and what was granted of it.
type budget struct {
	terms [termCount]term
	next  time.Time // time of the next permit within the rate
	// recent holds the permits of which it is not known yet whether the upstream rejects the request,
	// rejected the requests that it rejected within rejectionWindow; both ascending.
	recent, rejected []time.Time
}

const (
	// rejectionWindow is the time for which a rejection counts: a second, and the delay of reports.
	rejectionWindow = 1200 * time.Millisecond
	// rejectionDelay is the time within which a rejection is known to the owner. An upstream rejects at
	// once, and another instance reports it.
	rejectionDelay = 100 * time.Millisecond
)

// Budgets holds the terms that upstreams have named, and the permits that this instance has granted
// as their owner. It is not safe for concurrent use.
type Budgets struct {
	budgets map[Incarnation]*budget
}

// NewBudgets returns budgets without terms.
func NewBudgets() *Budgets { return &Budgets{budgets: make(map[Incarnation]*budget)} }

// Value returns the value of a term that an upstream has named, zero if there is none, and the time at
// which it was last known to be in force.
func (b *Budgets) Value(of Incarnation, t Term) (value float64, namedAt time.Time) {
	if known := b.budgets[of]; known != nil {
		return known.terms[t].value, known.terms[t].changedAt
	}
	return 0, time.Time{}
}

// NeedsPermit reports whether requests to an upstream need a permit.
func (b *Budgets) NeedsPermit(of Incarnation) bool {
	known := b.budgets[of]
	return known != nil && (known.terms[TermRate].value > 0 || known.terms[TermRejections].value > 0)
}

// Impose records that an upstream has named a term, and returns the value before, zero if there was
// none, and whether it has changed. It has no effect if the term is known to have ended after
// namedAt.
func (b *Budgets) Impose(namedAt time.Time, of Incarnation, t Term, value float64) (before float64, changed bool) {
	known := b.budgets[of]
	if known == nil {
		known = &budget{}
		b.budgets[of] = known
	}
	current := &known.terms[t]
	if current.value == 0 && !namedAt.After(current.changedAt) {
		return 0, false
	}
	before, current.value, current.changedAt = current.value, value, namedAt
	if t == TermRate && value > before && before > 0 {
		left := float64(known.next.Sub(namedAt)) * before / value // as the new rate would have it
		known.next = namedAt.Add(time.Duration(left))
	}
	return before, value != before
}

// Lift records at a time that an upstream did not name a term in its response to a request that was sent
// at sentAt, and returns the value that ends thereby. It has no effect and returns zero if the term
// was named after sentAt, since responses may overtake each other.
func (b *Budgets) Lift(now time.Time, of Incarnation, t Term, sentAt time.Time) (before float64) {
	known := b.budgets[of]
	if known == nil || !sentAt.After(known.terms[t].changedAt) {
		return 0
	}
	before = known.terms[t].value
	known.terms[t] = term{changedAt: now}
	return before
}

// RecordRejected records that an upstream has rejected a request for want of room.
func (b *Budgets) RecordRejected(now time.Time, of Incarnation) {
	if known := b.budgets[of]; known != nil && known.terms[TermRejections].value > 0 {
		known.rejected = append(after(known.rejected, now.Add(-rejectionWindow)), now)
	}
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
// for the upstream, zero for the owner. Upstreams without a term need no permit.
func (b *Budgets) Reserve(now time.Time, of Incarnation, rank int, maxWait time.Duration) Decision {
	known := b.budgets[of]
	if known == nil {
		return Decision{Granted: true}
	}
	if endured := known.terms[TermRejections].value; endured > 0 {
		if wait := known.waitForRoom(now, risk(endured, rank)); wait > 0 {
			return Decision{Wait: wait}
		}
	}
	d := Decision{Granted: true}
	if perSecond := known.terms[TermRate].value; perSecond > 0 {
		d = known.reserveRate(now, perSecond, rank, maxWait)
	}
	if d.Granted && known.terms[TermRejections].value > 0 {
		known.recent = append(known.recent, now.Add(d.Wait))
	}
	return d
}

// reserveRate grants a permit within the rate of an upstream.
func (b *budget) reserveRate(now time.Time, perSecond float64, rank int, maxWait time.Duration) Decision {
	between := interval(share(rank) * perSecond)
	earliest := now.Add(-burstTime)
	if rank > 0 {
		earliest = now
		if b.next.IsZero() {
			b.next = now.Add(between) // the owner may have granted a permit just now
		}
	}
	if b.next.Before(earliest) {
		b.next = earliest
	}
	wait := max(b.next.Sub(now), 0)
	if wait > maxWait {
		return Decision{Wait: wait}
	}
	b.next = b.next.Add(between)
	return Decision{Granted: true, Wait: wait}
}

// waitForRoom returns the time until a brittle upstream may get a further request, of which at most
// most may be rejected in a second. All requests of which it is not known yet count as rejected.
func (b *budget) waitForRoom(now time.Time, most int) time.Duration {
	b.rejected, b.recent = after(b.rejected, now.Add(-rejectionWindow)), after(b.recent, now.Add(-rejectionDelay))
	switch {
	case len(b.rejected)+len(b.recent) < most:
		return 0
	case most == 0:
		return rejectionWindow
	case len(b.rejected) >= most:
		return b.rejected[len(b.rejected)-most].Add(rejectionWindow).Sub(now)
	default:
		return max(b.recent[0].Add(rejectionDelay).Sub(now), time.Millisecond)
	}
}

// after returns the ascending times that are after a time.
func after(times []time.Time, from time.Time) []time.Time {
	for len(times) > 0 && !times[0].After(from) {
		times = times[1:]
	}
	return times
}

// risk returns how many rejections per second the instance of a rank may risk. The first substitute may
// risk one, so that a brittle upstream is not lost with its owner.
func risk(endured float64, rank int) int {
	if rank <= 1 {
		return max(int(share(rank)*endured), 1)
	}
	return int(share(rank) * endured)
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

// SuspicionPeriod is how long an owner that doesn't reply is passed over.
const SuspicionPeriod = 6 * time.Second

// Owners chooses the instance that grants the permits of an upstream.
type Owners = owners.Owners[fleet.UpstreamID]

// NewOwners returns the owners as seen by one instance, which never suspects itself.
func NewOwners(self string) *Owners { return owners.New[fleet.UpstreamID](self, SuspicionPeriod) }

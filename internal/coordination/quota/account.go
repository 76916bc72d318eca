package quota

import (
	"math"
	"time"
)

// Ticket is the credit that a request has taken.
type Ticket struct {
	Owner   string        // that granted it
	AskedAt time.Duration // time at which it was asked for
	Amount  float64
}

// Account is the credit of one customer at one instance. It is not safe for concurrent use.
type Account struct {
	credit    Ticket // granted ahead of its requests
	returned  Ticket // granted, and not used
	spent     float64
	perSecond float64 // what requests have taken lately
	countedAt time.Duration
	latest    float64 // amount of the latest request
}

// demandPeriod is the time over which the demand of a customer is averaged.
const demandPeriod = time.Second

// Count records the demand of a request.
func (a *Account) Count(now time.Duration, amount float64) {
	a.perSecond = a.demand(now) + amount/demandPeriod.Seconds()
	a.countedAt, a.latest = now, amount
}

func (a *Account) demand(now time.Duration) float64 {
	return a.perSecond * math.Exp(-float64(now-a.countedAt)/float64(demandPeriod))
}

// Ahead returns the credit to ask for before its requests arrive, zero if few are expected within its life.
func (a *Account) Ahead(now, life time.Duration) float64 {
	if ahead := a.demand(now)*life.Seconds() - a.credit.Amount; ahead >= 2*a.latest {
		return ahead
	}
	return 0
}

// Take takes the credit of a request from what was granted ahead, if there is enough.
func (a *Account) Take(now time.Duration, amount float64, life time.Duration) (Ticket, bool) {
	a.expire(now, life)
	if a.credit.Amount < amount {
		return Ticket{}, false
	}
	a.credit.Amount -= amount
	return Ticket{Owner: a.credit.Owner, AskedAt: a.credit.AskedAt, Amount: amount}, true
}

// expire ends the life of credit that was granted ahead.
func (a *Account) expire(now, life time.Duration) {
	if a.credit.Amount > 0 && now-a.credit.AskedAt > life {
		a.GiveBack(a.credit)
		a.credit = Ticket{}
	}
}

// Fill adds credit that was granted ahead, to a question that was sent at askedAt.
func (a *Account) Fill(owner string, askedAt time.Duration, amount float64) {
	if amount <= 0 {
		return
	}
	a.GiveBack(a.credit)
	a.credit = Ticket{Owner: owner, AskedAt: askedAt, Amount: amount}
}

// maxReturnSpread is the longest time between the grants of credit that is returned together. An owner takes all of it for as old
// as its oldest part, of which little may be granted again.
const maxReturnSpread = time.Second

// GiveBack returns credit of which no upstream has run anything. Only its owner can grant it again. What was granted long
// before the rest is not returned.
func (a *Account) GiveBack(t Ticket) {
	if t.Amount <= 0 {
		return
	}
	if a.returned.Owner != t.Owner {
		if a.returned.Amount > 0 && a.returned.AskedAt > t.AskedAt {
			return
		}
		a.returned = Ticket{Owner: t.Owner, AskedAt: t.AskedAt}
	}
	switch spread := t.AskedAt - a.returned.AskedAt; {
	case spread < -maxReturnSpread:
		return
	case spread > maxReturnSpread:
		a.returned = Ticket{Owner: t.Owner, AskedAt: t.AskedAt}
	}
	a.returned.Amount += t.Amount
	a.returned.AskedAt = min(a.returned.AskedAt, t.AskedAt)
}

// Spend records that upstreams have run more than the credit of a request, as it was sent again.
func (a *Account) Spend(amount float64) { a.spent += amount }

// Claim returns a claim for the needs of requests, which also tells an owner what was returned and spent. These then
// count as told.
func (a *Account) Claim(now time.Duration, customer, owner string, l Limits, needs []float64, life time.Duration) Claim {
	a.expire(now, life)
	c := Claim{Customer: customer, Limits: l, Needs: needs, Ahead: a.Ahead(now, life), Spent: a.spent}
	if a.returned.Owner == owner {
		c.Returned, c.ReturnedAge = a.returned.Amount, now-a.returned.AskedAt
	}
	a.returned, a.spent = Ticket{}, 0
	return c
}

// HasNews reports whether there is something to tell the owner without a request that waits.
func (a *Account) HasNews(now, life time.Duration) bool {
	a.expire(now, life)
	return a.returned.Amount > 0 || a.spent > 0
}

package quota

import (
	"math"
	"time"
)

// pool is what an instance grants as the owner of a group: the shares that it has been lent, and a bucket for each
// customer. Its times are those of a clock that includes suspended time.
type pool struct {
	leases   map[string]loan // by lender
	share    float64         // sum of the loans that are valid
	earliest time.Duration   // time at which the first of them ends
	at       time.Duration   // time up to which integral holds
	integral float64         // integral of share over time, in seconds
	buckets  map[string]*bucket
}

// loan is the share that an instance has lent.
type loan struct {
	process int64 // start of the lender's process
	lastID  uint64
	share   float64
	until   time.Duration
}

func newPool() *pool {
	return &pool{leases: make(map[string]loan), earliest: math.MaxInt64, buckets: make(map[string]*bucket)}
}

// advance ends the loans that are over. Time that has passed since the last call counts with the share that is left.
func (p *pool) advance(now time.Duration) {
	if now >= p.earliest {
		p.sum(now)
	}
	p.integral += p.share * max(now-p.at, 0).Seconds()
	p.at = max(now, p.at)
}

// sum adds up the loans that are valid. If they have become fewer, the stocks shrink at once, because another owner
// may build up its own.
func (p *pool) sum(now time.Duration) {
	before := p.share
	p.share, p.earliest = 0, math.MaxInt64
	for lender, l := range p.leases {
		if l.until <= now {
			delete(p.leases, lender)
			continue
		}
		p.share += l.share
		p.earliest = min(p.earliest, l.until)
	}
	p.share = min(p.share, 1)
	if p.share >= before {
		return
	}
	for _, b := range p.buckets {
		b.level = min(b.level, b.stock*p.share)
	}
}

// setLoan records what an instance lends, or that it lends nothing. A message that was sent before one that has been
// received changes nothing.
func (p *pool) setLoan(now time.Duration, lender string, l loan) (isNew bool) {
	p.advance(now)
	known := p.leases[lender]
	if l.process < known.process || l.process == known.process && l.lastID <= known.lastID {
		return false
	}
	for _, b := range p.buckets { // so that time before the loan doesn't count with it
		b.refill(p)
	}
	p.leases[lender] = l
	if l.share == known.share { // a renewal; the sum is made anew when the first loan ends
		p.earliest = min(p.earliest, l.until)
		return true
	}
	p.sum(now)
	return true
}

// shareKept is how long the message IDs of an instance are kept that lends nothing.
const shareKept = time.Minute

// bucket is what may be granted to a customer.
type bucket struct {
	limits           Limits
	perSecond, stock float64 // of all owners together
	level            float64 // negative if more was spent than granted
	filledAt         float64 // integral of the pool's share up to which level holds
	unmet            float64 // what was asked for lately and not granted
	unmetAt          time.Duration
	peaks            []peak // levels since which there may be returns, descending
	usedAt           time.Duration
}

// peak is the highest level before a grant from a time on.
type peak struct {
	at    time.Duration
	level float64
}

// unmetDecay is the time after which what was asked for and not granted no longer counts. Callers come back or not.
const unmetDecay = 500 * time.Millisecond

// bucketOf returns the bucket of a customer, refilled. It is empty if it is new. perSecond and stock follow from
// the limits in force.
func (p *pool) bucketOf(now time.Duration, customer string, l Limits, bounds Bounds) *bucket {
	p.advance(now)
	b := p.buckets[customer]
	if b == nil {
		b = &bucket{filledAt: p.integral}
		p.buckets[customer] = b
	}
	b.refill(p)
	if l != b.limits {
		b.limits = l
		b.perSecond, b.stock = bounds.rate(l)
	}
	b.level = min(b.level, b.stock*p.share)
	b.usedAt = now
	b.recordPeak(now, bounds.Window)
	return b
}

func (b *bucket) refill(p *pool) {
	b.level = min(b.level+b.perSecond*(p.integral-b.filledAt), b.stock*p.share)
	b.filledAt = p.integral
}

// recordPeak records the level for the returns of later times, in slots of peakSlot.
func (b *bucket) recordPeak(now, window time.Duration) {
	for len(b.peaks) > 0 && b.peaks[0].at < now-window-peakSlot {
		b.peaks = b.peaks[1:]
	}
	latest := peak{now, b.level}
	for len(b.peaks) > 0 {
		last := b.peaks[len(b.peaks)-1]
		if isSameSlot := now-last.at < peakSlot; isSameSlot {
			latest = peak{last.at, max(last.level, latest.level)}
		} else if last.level > latest.level {
			break
		}
		b.peaks = b.peaks[:len(b.peaks)-1]
	}
	b.peaks = append(b.peaks, latest)
}

// peakSlot is the time of which one level is kept.
const peakSlot = 50 * time.Millisecond

// giveBack returns credit that was granted at a time, or later, and not used. It adds as much as there would be more if
// it had not been granted: nothing where the stock has been full since.
func (b *bucket) giveBack(now, grantedAt, window time.Duration, amount, share float64) {
	if grantedAt < now-window {
		return
	}
	highest := b.level
	for _, p := range b.peaks {
		if p.at+peakSlot >= grantedAt {
			highest = max(highest, p.level)
			break // the others are lower
		}
	}
	given := max(min(amount, b.stock*share-highest), 0)
	b.level += given
	for n := range b.peaks {
		b.peaks[n].level += given
	}
}

// Claim asks for credit of a customer.
type Claim struct {
	Customer string
	Limits   Limits    // as the sender knows them
	Needs    []float64 // of the requests that wait, in their order
	Ahead    float64   // for the requests that are expected soon
	// Returned is credit of the receiver that was not used, granted ReturnedAge ago at most.
	Returned    float64
	ReturnedAge time.Duration
	Spent       float64 // what upstreams have run beyond the credit granted
}

// Grant answers a claim.
type Grant struct {
	Customer string
	Granted  int           // number of needs that are granted
	Ahead    float64       // granted beside
	Wait     time.Duration // time until the next need may be granted; zero if all are
	// PerSecond is the rate at which this owner grants credit of the customer to all instances.
	PerSecond float64
	Left      float64 // credit that is left after this grant
}

// grant answers a claim.
func (p *pool) grant(now time.Duration, c Claim, limits Limits, bounds Bounds) Grant {
	b := p.bucketOf(now, c.Customer, limits, bounds)
	b.level -= c.Spent
	b.giveBack(now, now-c.ReturnedAge, bounds.Window, c.Returned, p.share)
	g := Grant{Customer: c.Customer, PerSecond: b.perSecond * p.share}
	for _, need := range c.Needs {
		if !b.covers(need, p.share) {
			break
		}
		b.level -= need
		g.Granted++
	}
	if g.Granted < len(c.Needs) {
		g.Left, g.Wait = b.level, b.waitFor(now, c.Needs[g.Granted:], p.share)
		return g
	}
	if half := b.stock * p.share / 2; b.level-c.Ahead > half {
		b.level -= c.Ahead
		g.Ahead = c.Ahead
	}
	g.Left = b.level
	return g
}

// covers reports whether a need can be granted. One that is larger than the stock is granted from a full one if most
// of the instances stand behind it, so that there can't be two such grants.
func (b *bucket) covers(need, share float64) bool {
	full := b.stock * share
	return b.level >= need || need > full && share > 0.5 && full > 0 && b.level >= full*(1-1e-9)
}

// waitFor returns the time until the first of the needs may be granted, given that others are asked for as well.
func (b *bucket) waitFor(now time.Duration, needs []float64, share float64) time.Duration {
	b.unmet *= max(1-float64(now-b.unmetAt)/float64(unmetDecay), 0)
	b.unmetAt = now
	missing := b.unmet + needs[0] - b.level
	for _, need := range needs {
		b.unmet += need
	}
	perSecond := b.perSecond * share
	if perSecond <= 0 || needs[0] > b.stock*share && share <= 0.5 {
		return LeaseTime(max(share, minShare)) // more shares may be lent by then
	}
	return max(time.Duration(min(missing/perSecond, maxWait.Seconds())*float64(time.Second)), time.Millisecond)
}

const (
	// maxWait is the longest wait that is told.
	maxWait = 30 * time.Second
	// minShare stands for that of the other instances where few shares are lent.
	minShare = 0.01
)

// bucketKept is how long the bucket of a customer without a quota or without claims is kept.
const bucketKept = time.Minute

// prune forgets what is no longer used.
func (p *pool) prune(now time.Duration) {
	p.advance(now)
	for customer, b := range p.buckets {
		if now-b.usedAt > bucketKept { // it starts empty again
			delete(p.buckets, customer)
		}
	}
}

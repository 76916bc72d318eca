package quota

import "time"

const (
	// leastLeaseTime is the shortest time for which a share is lent, and leaseTimePerInstance lengthens it in
	// proportion to the number of instances, so that an owner receives as many renewals whatever their number. All
	// builds that serve side by side must have the same. An instance that loses its owner has no credit for this time.
	leastLeaseTime       = 1200 * time.Millisecond
	leaseTimePerInstance = 14 * time.Millisecond
	// renewalsPerLease is the number of loans to the same owner within the time of one.
	renewalsPerLease = 3
	// settleTime is how long after the end of a lease a process lends nothing after its start. A former process of the same
	// instance may have lent the share until then, and the other instances learn of a new one.
	settleTime = 300 * time.Millisecond
	// heardTime is how lately an instance must have replied for a share to be taken from another one.
	heardTime = 400 * time.Millisecond
	// replyTime is the time after which a message counts as not replied to.
	replyTime = 100 * time.Millisecond
)

// LeaseTime returns how long a share is lent that each instance has.
func LeaseTime(share float64) time.Duration {
	return max(leastLeaseTime, time.Duration(float64(leaseTimePerInstance)/share))
}

// Loan is what the sender of a message lends to its receiver. It is valid for its LeaseTime by the receiver's own clock,
// from the time that the receiver named in a reply which the sender had received before it lent.
type Loan struct {
	Share   float64
	Process int64 // start of the receiver's process that named Clock
	Clock   time.Duration
}

// Ask is a message to an owner.
type Ask struct {
	ID       uint64 // rises with each message of a process
	Process  int64  // start of the sender's process
	Group    Group
	Loan     Loan // zero share: nothing is lent
	Releases bool // a former loan ends with the reply
	Claims   []Claim
}

// Reply answers an Ask.
type Reply struct {
	ID      uint64
	Process int64
	Clock   time.Duration
	// IsLeaving states that the owner is about to end and has given up all loans.
	IsLeaving bool
	Grants    []Grant
}

// Member is what one instance lends, and what it grants as an owner. It is not safe for concurrent use. Its times are
// those of a clock that includes suspended time, so that nothing that was held before a suspension is valid after it.
type Member struct {
	self      string
	process   int64
	startedAt time.Duration
	lastID    uint64
	lending   map[Group]*lending
	contacts  map[string]contact
	pools     map[Group]*pool
	isLeaving bool
}

// lending is to whom the share of a group is lent.
type lending struct {
	holder    string // empty if it is not lent
	process   int64  // of the holder
	until     time.Duration
	sentAt    time.Duration // time of the latest loan
	isPending bool          // no reply to it yet
	releaseID uint64        // ask by which it was released; zero if it was not
}

// contact is the latest reply of another instance.
type contact struct {
	process int64
	clock   time.Duration
	heardAt time.Duration
}

// NewMember returns the state of an instance whose process has just started.
func NewMember(self string, process int64, now time.Duration) *Member {
	return &Member{
		self: self, process: process, startedAt: now, lending: make(map[Group]*lending), contacts: make(map[string]contact), pools: make(map[Group]*pool),
	}
}

func (m *Member) lendingOf(g Group) *lending {
	if m.lending[g] == nil {
		m.lending[g] = &lending{}
	}
	return m.lending[g]
}

func (m *Member) poolOf(g Group) *pool {
	if m.pools[g] == nil {
		m.pools[g] = newPool()
	}
	return m.pools[g]
}

// expire ends a loan that is over.
func (l *lending) expire(now time.Duration) {
	if l.holder != "" && now >= l.until {
		*l = lending{}
	}
}

// OwnerToAsk returns the instance to ask for credit: the one to which the share is lent, unless it is suspected, else the
// one that should be the owner.
func (m *Member) OwnerToAsk(now time.Duration, g Group, owner string, isSuspected func(instance string) bool) string {
	l := m.lendingOf(g)
	l.expire(now)
	if l.holder != "" && !isSuspected(l.holder) {
		return l.holder
	}
	return owner
}

// Ask returns a message to another instance, or to this one. It lends the share of this instance if that is free or
// lent to the receiver, and the receiver replies.
func (m *Member) Ask(now time.Duration, g Group, to string, share float64) Ask {
	m.lastID++
	a := Ask{ID: m.lastID, Process: m.process, Group: g}
	l := m.lendingOf(g)
	l.expire(now)
	known, isKnown := m.contacts[to]
	if to == m.self {
		known, isKnown = contact{process: m.process, clock: now}, true
	}
	isSilent := l.holder == to && l.isPending && now-l.sentAt > replyTime
	if share <= 0 || now < m.startedAt+LeaseTime(share)+settleTime || !isKnown || l.holder != "" && l.holder != to || l.releaseID > 0 || isSilent {
		return a
	}
	l.holder, l.process, l.sentAt, l.isPending = to, known.process, now, to != m.self
	l.until = max(l.until, now+LeaseTime(share)) // a longer loan before this one may be all that has arrived
	a.Loan = Loan{Share: share, Process: known.process, Clock: known.clock}
	return a
}

// Upkeep returns the message that keeps the share of a group lent to its owner, if one is due. to may be this instance.
func (m *Member) Upkeep(now time.Duration, g Group, owner string, share float64) (ask Ask, to string, isDue bool) {
	l := m.lendingOf(g)
	l.expire(now)
	if l.holder != "" && l.holder != owner && m.isHeard(now, owner) {
		if l.releaseID > 0 && now-l.sentAt < replyTime {
			return Ask{}, "", false
		}
		m.lastID++
		l.releaseID, l.sentAt = m.lastID, now
		return Ask{ID: m.lastID, Process: m.process, Group: g, Releases: true}, l.holder, true
	}
	isOwn := owner == m.self && l.holder == m.self
	if l.holder == owner && now-l.sentAt < LeaseTime(share)/renewalsPerLease && !l.isPending && !isOwn {
		return Ask{}, "", false
	}
	if l.holder == owner && l.isPending && now-l.sentAt <= replyTime {
		return Ask{}, "", false
	}
	return m.Ask(now, g, owner, share), owner, true
}

// isHeard reports whether another instance has replied lately.
func (m *Member) isHeard(now time.Duration, instance string) bool {
	return instance == m.self || m.contacts[instance] != (contact{}) && now-m.contacts[instance].heardAt < heardTime
}

// Learn processes the reply of an instance to an ask. It reports whether the instance is leaving.
func (m *Member) Learn(now time.Duration, from string, a Ask, r Reply) (isLeaving bool) {
	if from != m.self {
		m.contacts[from] = contact{process: r.Process, clock: r.Clock, heardAt: now}
	}
	l := m.lendingOf(a.Group)
	if l.holder != from {
		return r.IsLeaving
	}
	l.isPending = false
	if r.IsLeaving || l.process != r.Process || l.releaseID > 0 && a.ID == l.releaseID {
		*l = lending{}
	}
	return r.IsLeaving
}

// Answer processes the ask of an instance, and grants what the shares lent to this one allow. limitsOf returns the
// quota of a customer as this instance knows it; while the two know different ones, the lower one holds. An ask that was
// sent before one that has been answered gets no reply.
func (m *Member) Answer(now time.Duration, from string, a Ask, bounds Bounds, limitsOf func(customer string) (Limits, bool)) (r Reply, isReply bool) {
	r = Reply{ID: a.ID, Process: m.process, Clock: now, IsLeaving: m.isLeaving}
	if m.isLeaving {
		return r, true
	}
	p := m.poolOf(a.Group)
	given := loan{process: a.Process, lastID: a.ID, until: now + shareKept}
	if until, isValid := m.validUntil(now, a.Loan); isValid {
		given.share, given.until = a.Loan.Share, until
	} else if known, ok := p.leases[from]; ok && !a.Releases && known.process == a.Process && a.Loan.Share == 0 {
		given.share, given.until = known.share, known.until // an ask without a loan leaves the former one
	}
	if !p.setLoan(now, from, given) {
		return r, false
	}
	for _, c := range a.Claims {
		limits := c.Limits
		if own, ok := limitsOf(c.Customer); ok {
			limits = own.min(limits)
		}
		r.Grants = append(r.Grants, p.grant(now, c, limits, bounds))
	}
	return r, true
}

// validUntil returns the end of a loan to this process, and whether it is valid.
func (m *Member) validUntil(now time.Duration, l Loan) (until time.Duration, isValid bool) {
	isShare := l.Share > 0 && l.Share <= 1
	if !isShare || l.Process != m.process || l.Clock > now {
		return 0, false
	}
	until = l.Clock + LeaseTime(l.Share)
	return until, until > now
}

// Open lets credit of a customer collect from now on if this instance is the owner, not only from the first claim.
func (m *Member) Open(now time.Duration, customer string, l Limits, bounds Bounds) {
	if p := m.poolOf(GroupOf(customer)); !m.isLeaving && p.share > 0 {
		p.bucketOf(now, customer, l, bounds)
	}
}

// Share returns the sum of the shares that this instance has been lent for a group.
func (m *Member) Share(now time.Duration, g Group) float64 {
	p := m.poolOf(g)
	p.advance(now)
	return p.share
}

// Leave gives up all loans to this instance, which is about to end.
func (m *Member) Leave() {
	m.isLeaving = true
	clear(m.pools)
}

// Prune forgets what is no longer used.
func (m *Member) Prune(now time.Duration) {
	for _, p := range m.pools {
		p.prune(now)
	}
	for instance, c := range m.contacts {
		if now-c.heardAt > shareKept {
			delete(m.contacts, instance)
		}
	}
}

// Package quota keeps the quotas of customers together with the other instances: it obtains credit for the requests of
// this instance, lends the share of this instance to the owners of quotas, and grants credit as the owner of some.
package quota

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	pb "savoryweir/api/savoryweir/v1"
	"savoryweir/internal/coordination/quota"
	"savoryweir/internal/node/inquiry"
	"savoryweir/internal/pause"
	"savoryweir/internal/state/fleet"
)

const (
	// upkeepInterval is the time between two looks at what has to be told to owners.
	upkeepInterval = 100 * time.Millisecond
	// collectTime is the longest time after a refusal for which the requests of a customer wait together for the
	// next question.
	collectTime = 100 * time.Millisecond
	// leavingPause is the time between the reply of an owner that is leaving and the question to the next one.
	leavingPause = 10 * time.Millisecond
	// suspicionPeriod is how long an owner that doesn't reply is passed over. An instance alone that passes it over gets little
	// credit, as the others lend their shares to that owner.
	suspicionPeriod = time.Second
	// maxNeeds limits the requests that one question is about.
	maxNeeds = 256
	// pruneTicks is the number of upkeeps between two removals of what is no longer used.
	pruneTicks = 50
)

// Options holds the dependencies of Quotas.
type Options struct {
	Instance string // ID of this instance
	Log      zerolog.Logger
	// Others returns the IDs of the other instances.
	Others func() []string
	// AreListed reports whether Others has been listed since the start. Until then nothing is lent.
	AreListed func() bool
	// Send sends a message to another instance. Messages may be lost.
	Send func(instance string, m *pb.FleetMessage)
	// Clock returns the time of a clock that includes suspended time.
	Clock  func() time.Duration
	Bounds func() quota.Bounds
	Config func() *fleet.Config // nil if none is known
	// Count counts the requests of a customer by result.
	Count func(customer, result string)
}

// Quotas obtains and grants credit for the requests of customers. It is safe for concurrent use.
type Quotas struct {
	Options
	inquiries *inquiry.Inquiries[quota.Group, quota.Reply]

	mu       sync.Mutex // guards all fields below, and keeps messages in the order of their IDs
	member   *quota.Member
	accounts map[string]*account
	view     fleetView
	limits   limitTable
	lentTo   map[quota.Group]string
}

// account is the credit of a customer, and the requests that wait for it.
type account struct {
	quota.Account
	customer  string
	limits    quota.Limits
	waiting   []*waiter
	isAsking  bool    // a goroutine serves the requests that wait
	perSecond float64 // rate at which the owner grants, as it last told
	refused   refusals
}

// waiter is a request that waits for credit.
type waiter struct {
	amount  float64
	until   time.Duration
	hasLeft bool
	result  chan result
}

// result tells a request that waits whether it has credit, or else the time until there may be some.
type result struct {
	ticket    quota.Ticket
	isGranted bool
	wait      time.Duration
}

// New returns quotas without credit.
func New(o Options) *Quotas {
	q := &Quotas{
		Options: o, member: quota.NewMember(o.Instance, time.Now().UnixMilli(), o.Clock()), accounts: make(map[string]*account), lentTo: make(map[quota.Group]string),
	}
	q.inquiries = inquiry.New[quota.Group, quota.Reply](o.Instance, suspicionPeriod, o.Others, q.logSilent)
	return q
}

func (q *Quotas) logSilent(owner string) {
	q.Log.Info().Str("event", "quota.owner_silent").Str("owner", owner).Msg("instance does not reply to requests for credit of customers; another one is asked")
}

func limitsOf(c fleet.Quota) quota.Limits {
	return quota.Limits{PerSecond: c.PerSecond, Burst: c.Burst}
}

// Acquire obtains credit for a request of a customer that has a quota, and waits for it where it is expected within
// maxWait. If it returns false, there is none, or ctx has ended; wait is the time after which there may be some.
func (q *Quotas) Acquire(ctx context.Context, c *fleet.Customer, amount float64, maxWait time.Duration) (ticket quota.Ticket, isGranted bool, wait time.Duration) {
	w, immediate := q.enqueue(c, amount, maxWait)
	if w == nil {
		return immediate.ticket, immediate.isGranted, immediate.wait
	}
	select {
	case r := <-w.result:
		return r.ticket, r.isGranted, r.wait
	case <-ctx.Done():
	}
	q.leave(c.Name, w)
	return quota.Ticket{}, false, 0
}

// enqueue takes credit that is at hand. If there is none, it returns a waiter, or nil if too many requests wait.
func (q *Quotas) enqueue(c *fleet.Customer, amount float64, maxWait time.Duration) (*waiter, result) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.Clock()
	a := q.account(c.Name)
	a.limits = limitsOf(c.Quota)
	a.Count(now, amount)
	if len(a.waiting) == 0 {
		if ticket, ok := a.Take(now, amount, q.Bounds().CreditLife()); ok {
			q.Count(c.Name, "granted ahead")
			return nil, result{ticket: ticket, isGranted: true}
		}
	}
	if wait := a.waitBehind(amount); wait > maxWait {
		q.refuse(now, a, 0, "", wait)
		return nil, result{wait: wait}
	}
	w := &waiter{amount: amount, until: now + maxWait, result: make(chan result, 1)}
	a.waiting = append(a.waiting, w)
	if !a.isAsking {
		a.isAsking = true
		go q.serve(a)
	}
	return w, result{}
}

// waitBehind returns the expected wait behind the requests that wait already, zero if there are none.
func (a *account) waitBehind(amount float64) time.Duration {
	if len(a.waiting) == 0 || a.perSecond <= 0 {
		return 0
	}
	for _, w := range a.waiting {
		amount += w.amount
	}
	return time.Duration(amount / a.perSecond * float64(time.Second))
}

// leave withdraws a request whose caller no longer waits. Credit that it got meanwhile goes back.
func (q *Quotas) leave(customer string, w *waiter) {
	q.mu.Lock()
	defer q.mu.Unlock()
	w.hasLeft = true
	select {
	case r := <-w.result:
		q.account(customer).GiveBack(r.ticket)
	default:
	}
}

// account returns the account of a customer. The caller holds q.mu.
func (q *Quotas) account(customer string) *account {
	a := q.accounts[customer]
	if a == nil {
		a = &account{customer: customer}
		q.accounts[customer] = a
	}
	return a
}

// serve asks for the credit of the requests that wait until none is left.
func (q *Quotas) serve(a *account) {
	for {
		ask, to, replies, sentAt := q.askFor(a)
		if replies == nil {
			return
		}
		reply, ok := q.await(to, ask, replies)
		pause.For(context.Background(), q.settle(a, to, ask, reply, ok, sentAt))
	}
}

// askFor sends a question for the requests that wait. It returns no channel if there are none.
func (q *Quotas) askFor(a *account) (ask quota.Ask, to string, replies <-chan quota.Reply, sentAt time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	waiting := a.waiting[:0]
	for _, w := range a.waiting {
		if !w.hasLeft {
			waiting = append(waiting, w)
		}
	}
	clear(a.waiting[len(waiting):])
	if a.waiting = waiting; len(waiting) == 0 {
		a.isAsking = false
		return ask, "", nil, 0
	}
	needs := make([]float64, 0, min(len(waiting), maxNeeds))
	for _, w := range waiting[:cap(needs)] {
		needs = append(needs, w.amount)
	}
	ask, to, replies = q.claim(a, needs)
	return ask, to, replies, q.Clock()
}

// claim sends a question about a customer to the instance that grants its credit. The caller holds q.mu.
func (q *Quotas) claim(a *account, needs []float64) (ask quota.Ask, to string, replies <-chan quota.Reply) {
	now, g := q.Clock(), quota.GroupOf(a.customer)
	to = q.member.OwnerToAsk(now, g, q.owner(now, g), q.isSuspected)
	ask = q.member.Ask(now, g, to, q.share())
	ask.Claims = []quota.Claim{a.Claim(now, a.customer, to, a.limits, needs, q.Bounds().CreditLife())}
	return ask, to, q.send(now, to, ask)
}

func (q *Quotas) isSuspected(instance string) bool {
	return q.inquiries.IsSuspected(time.Now(), instance)
}

// send sends a question, or answers it if it is to this instance. The caller holds q.mu.
func (q *Quotas) send(now time.Duration, to string, ask quota.Ask) <-chan quota.Reply {
	replies := q.inquiries.Expect(ask.ID)
	if to != q.Instance {
		q.Send(to, encodeAsk(ask))
		return replies
	}
	if reply, ok := q.member.Answer(now, q.Instance, ask, q.Bounds(), q.limitsOf); ok {
		q.inquiries.Deliver(ask.ID, reply)
	}
	return replies
}

// await waits for the reply to a question and records it.
func (q *Quotas) await(to string, ask quota.Ask, replies <-chan quota.Reply) (quota.Reply, bool) {
	reply, ok := q.inquiries.Await(context.Background(), to, ask.ID, replies)
	q.mu.Lock()
	defer q.mu.Unlock()
	if !ok {
		q.view.forget()
		return reply, false
	}
	if q.member.Learn(q.Clock(), to, ask, reply) {
		q.inquiries.Suspect(time.Now(), to)
		q.view.forget()
	}
	return reply, true
}

// settle gives the requests that a question was about what was granted, refuses those that can't be served in time,
// and returns the time until the next question.
func (q *Quotas) settle(a *account, owner string, ask quota.Ask, reply quota.Reply, isReply bool, sentAt time.Duration) time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	now, claim := q.Clock(), ask.Claims[0]
	if !isReply {
		a.Spend(claim.Spent)
	}
	if len(reply.Grants) == 0 { // none, or by an owner that is leaving
		q.refuseLate(now, a, owner)
		if isReply {
			return leavingPause // all may be leaving
		}
		return 0
	}
	g := reply.Grants[0]
	a.perSecond = g.PerSecond
	a.Fill(owner, sentAt, g.Ahead)
	granted := min(g.Granted, len(claim.Needs))
	for _, w := range a.waiting[:granted] {
		ticket := quota.Ticket{Owner: owner, AskedAt: sentAt, Amount: w.amount}
		if w.hasLeft {
			a.GiveBack(ticket)
			continue
		}
		q.Count(a.customer, "granted")
		w.result <- result{ticket: ticket, isGranted: true}
	}
	kept, wait := a.waiting[len(claim.Needs):], g.Wait
	var late []*waiter
	for _, w := range a.waiting[granted:len(claim.Needs)] {
		if now+wait <= w.until {
			late = append(late, w)
		} else {
			q.refuse(now, a, g.Left, owner, wait)
			w.result <- result{wait: wait}
		}
		if g.PerSecond > 0 {
			wait += time.Duration(w.amount / g.PerSecond * float64(time.Second))
		}
	}
	a.waiting = append(late, kept...)
	return min(g.Wait, collectTime)
}

// refuseLate refuses the requests that have waited long enough for an owner that doesn't reply. The caller holds q.mu.
func (q *Quotas) refuseLate(now time.Duration, a *account, owner string) {
	var kept []*waiter
	for _, w := range a.waiting {
		if now < w.until {
			kept = append(kept, w)
			continue
		}
		wait := quota.LeaseTime(1 / float64(q.refresh(now).peak))
		q.refuse(now, a, 0, owner, wait)
		w.result <- result{wait: wait}
	}
	a.waiting = kept
}

// GiveBack returns the credit of a request that no upstream has run.
func (q *Quotas) GiveBack(customer string, t quota.Ticket) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.account(customer).GiveBack(t)
	q.Count(customer, "given back")
}

// Spend records that a further upstream may have run a request.
func (q *Quotas) Spend(customer string, amount float64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.account(customer).Spend(amount)
	q.Count(customer, "run again")
}

// Receive processes what another instance asks and replies.
func (q *Quotas) Receive(m *pb.FleetMessage) {
	for _, r := range m.QuotaRequests {
		if reply, ok := q.answer(m.Instance, decodeAsk(r)); ok {
			q.Send(m.Instance, encodeReply(reply))
		}
	}
	for _, r := range m.QuotaReplies {
		q.inquiries.Deliver(r.Id, decodeReply(r))
	}
}

func (q *Quotas) answer(from string, a quota.Ask) (quota.Reply, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.member.Answer(q.Clock(), from, a, q.Bounds(), q.limitsOf)
}

// Leave gives up what other instances have lent to this one, which is about to end.
func (q *Quotas) Leave() {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.Others()) == 0 {
		return // no other instance can grant credit; the next process of this one waits until all leases have ended
	}
	q.member.Leave()
	q.inquiries.Suspect(time.Now(), q.Instance)
	q.view.forget()
}

// Share returns the sum of the shares that this instance has been lent for a group of customers.
func (q *Quotas) Share(g quota.Group) float64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.member.Share(q.Clock(), g)
}

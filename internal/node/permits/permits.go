// Package permits keeps the limits that upstreams name, together with the other instances: it asks
// the owner of an upstream for permits, and grants those of the upstreams that this instance owns.
package permits

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	pb "savoryweir/api/savoryweir/v1"
	"savoryweir/internal/coordination/permits"
	"savoryweir/internal/pause"
	"savoryweir/internal/state/fleet"
)

const (
	// replyTimeout is the time within which an owner replies: several round trips between regions.
	replyTimeout = 60 * time.Millisecond
	// missedReplies is the number of successive requests without a reply after which another
	// instance is asked. Datagrams may be lost.
	missedReplies = 2
)

// Options holds the dependencies of Permits.
type Options struct {
	Instance string // ID of this instance
	Log      zerolog.Logger
	// Others returns the IDs of the other instances.
	Others func() []string
	// Send sends a message to another instance, Broadcast to all of them. Messages may be lost.
	Send      func(instance string, m *pb.FleetMessage)
	Broadcast func(m *pb.FleetMessage)
}

// Permits is safe for concurrent use.
type Permits struct {
	Options

	mu      sync.Mutex // guards all fields below
	budgets *permits.Budgets
	owners  *permits.Owners
	lastID  uint64
	pending map[uint64]chan *pb.PermitReply
	missed  map[string]int                    // successive requests without a reply, by instance
	denied  map[permits.Incarnation]time.Time // time of the next permit, as the owner told
}

// New returns permits without limits.
func New(o Options) *Permits {
	return &Permits{
		Options: o, budgets: permits.NewBudgets(), owners: permits.NewOwners(o.Instance), pending: make(map[uint64]chan *pb.PermitReply),
		missed: make(map[string]int), denied: make(map[permits.Incarnation]time.Time),
	}
}

// Impose records the limit that an upstream names in a response. The first limit is told to all other
// instances, later ones to the owner.
func (p *Permits) Impose(u *fleet.Upstream, perSecond float64) {
	of, now := permits.IncarnationOf(u), time.Now()
	p.mu.Lock()
	before, changed := p.budgets.Impose(now, of, perSecond)
	p.mu.Unlock()
	if !changed {
		return
	}
	p.logChange(of.Upstream, before, perSecond, "")
	notice := &pb.UpstreamNotice{Limit: perSecond}
	if before == 0 {
		p.Broadcast(message(of, notice))
		return
	}
	p.tellOwner(now, of, notice)
}

// Lift records that an upstream named no limit in its response to a request that was sent at a time.
// The end of a limit is told to the owner, from which the other instances hear it when they ask.
func (p *Permits) Lift(u *fleet.Upstream, sentAt time.Time) {
	of, now := permits.IncarnationOf(u), time.Now()
	p.mu.Lock()
	before := p.lift(now, of, sentAt)
	p.mu.Unlock()
	if before == 0 {
		return
	}
	p.logChange(of.Upstream, before, 0, "")
	p.tellOwner(now, of, &pb.UpstreamNotice{Unlimited: true, SentAgoMicros: uint64(max(now.Sub(sentAt), 0).Microseconds())})
}

// lift ends a limit and returns it, zero if there was none. The caller holds p.mu.
func (p *Permits) lift(now time.Time, of permits.Incarnation, sentAt time.Time) (before float64) {
	if before = p.budgets.Lift(now, of, sentAt); before > 0 {
		delete(p.denied, of)
	}
	return before
}

func message(of permits.Incarnation, notice *pb.UpstreamNotice) *pb.FleetMessage {
	notice.Upstream, notice.StartedAt = string(of.Upstream), of.StartedAt
	return &pb.FleetMessage{Notices: []*pb.UpstreamNotice{notice}}
}

func (p *Permits) tellOwner(now time.Time, of permits.Incarnation, notice *pb.UpstreamNotice) {
	if owner := p.owner(now, of.Upstream); owner != p.Instance {
		p.Send(owner, message(of, notice))
	}
}

func (p *Permits) logChange(upstream fleet.UpstreamID, before, limit float64, from string) {
	p.Log.Info().Str("event", "upstream.limit").Str("upstream", string(upstream)).Float64("limit", limit).Float64("before", before).Str("from", from).
		Msg("upstream names another limit of requests per second, or none if it is zero")
}

// IsLimited reports whether an upstream has named a limit.
func (p *Permits) IsLimited(u *fleet.Upstream) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	perSecond, _ := p.budgets.Limit(permits.IncarnationOf(u))
	return perSecond > 0
}

// Acquire obtains a permit to send one request to an upstream, and waits until it is due, for maxWait
// at most. If it returns false, no permit was granted, or ctx has ended; wait is the time after which
// there may be one. Upstreams without a limit need no permit.
func (p *Permits) Acquire(ctx context.Context, u *fleet.Upstream, maxWait time.Duration) (granted bool, wait time.Duration) {
	of := permits.IncarnationOf(u)
	p.mu.Lock()
	limit, namedAt := p.budgets.Limit(of)
	next := p.denied[of]
	p.mu.Unlock()
	if limit == 0 {
		return true, 0
	}
	if left := time.Until(next); left > maxWait {
		return false, left
	}
	decision := p.ask(ctx, of, &pb.PermitRequest{
		Upstream: string(of.Upstream), StartedAt: of.StartedAt, Limit: limit, NamedAgoMicros: uint64(time.Since(namedAt).Microseconds()), MaxWaitMicros: uint64(max(maxWait, 0).Microseconds()),
	})
	if !decision.Granted {
		p.mu.Lock()
		p.denied[of] = time.Now().Add(decision.Wait)
		p.mu.Unlock()
		return false, decision.Wait
	}
	return decision.Wait == 0 || pause.For(ctx, decision.Wait), 0
}

// ask asks the owner for a permit. One that doesn't reply counts as having none.
func (p *Permits) ask(ctx context.Context, of permits.Incarnation, request *pb.PermitRequest) permits.Decision {
	now := time.Now()
	owner := p.owner(now, of.Upstream)
	if owner == p.Instance {
		return p.reserve(now, of, time.Duration(request.MaxWaitMicros)*time.Microsecond)
	}
	replies := make(chan *pb.PermitReply, 1)
	p.mu.Lock()
	p.lastID++
	request.Id = p.lastID
	p.pending[request.Id] = replies
	p.mu.Unlock()
	defer p.forget(request.Id)
	p.Send(owner, &pb.FleetMessage{PermitRequests: []*pb.PermitRequest{request}})
	timeout := time.NewTimer(replyTimeout)
	defer timeout.Stop()
	select {
	case reply := <-replies:
		p.recordReply(owner, of, now, reply)
		return permits.Decision{Granted: reply.Granted, Wait: time.Duration(reply.WaitMicros) * time.Microsecond}
	case <-timeout.C:
		p.recordMissed(owner)
	case <-ctx.Done():
	}
	return permits.Decision{}
}

func (p *Permits) forget(id uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.pending, id)
}

// recordReply records the reply of an owner to a request for a permit that was sent at a time.
func (p *Permits) recordReply(owner string, of permits.Incarnation, askedAt time.Time, reply *pb.PermitReply) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.missed, owner)
	if reply.Unlimited {
		if before := p.lift(time.Now(), of, askedAt); before > 0 {
			p.logChange(of.Upstream, before, 0, owner)
		}
	}
}

// recordMissed records that an owner did not reply.
func (p *Permits) recordMissed(owner string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.missed[owner]++
	if p.missed[owner] < missedReplies {
		return
	}
	delete(p.missed, owner)
	p.owners.Suspect(time.Now(), owner)
	p.Log.Info().Str("event", "permits.owner_silent").Str("owner", owner).Msg("instance does not reply to requests for permits; another one is asked")
}

// owner returns the instance to ask for permits of an upstream.
func (p *Permits) owner(now time.Time, of fleet.UpstreamID) string {
	others := p.Others()
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.owners.Choose(now, of, others)
}

// reserve grants a permit as the owner of an upstream, or in its place.
func (p *Permits) reserve(now time.Time, of permits.Incarnation, maxWait time.Duration) permits.Decision {
	others := p.Others()
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.budgets.Reserve(now, of, p.owners.Rank(of.Upstream, others), maxWait)
}

// Receive processes what another instance tells of limits, asks for and replies.
func (p *Permits) Receive(m *pb.FleetMessage) {
	for _, notice := range m.Notices {
		p.receiveNotice(m.Instance, notice)
	}
	for _, request := range m.PermitRequests {
		p.Send(m.Instance, &pb.FleetMessage{PermitReplies: []*pb.PermitReply{p.reply(m.Instance, request)}})
	}
	for _, reply := range m.PermitReplies {
		p.mu.Lock()
		replies := p.pending[reply.Id]
		delete(p.pending, reply.Id)
		p.mu.Unlock()
		if replies != nil {
			replies <- reply
		}
	}
}

func (p *Permits) receiveNotice(from string, notice *pb.UpstreamNotice) {
	of, now := permits.Incarnation{Upstream: fleet.UpstreamID(notice.Upstream), StartedAt: notice.StartedAt}, time.Now()
	switch {
	case notice.Limit > 0:
		p.impose(from, now, of, notice.Limit)
	case notice.Unlimited:
		p.mu.Lock()
		before := p.lift(now, of, now.Add(-time.Duration(notice.SentAgoMicros)*time.Microsecond))
		p.mu.Unlock()
		if before > 0 {
			p.logChange(of.Upstream, before, 0, from)
		}
	}
}

// impose records a limit that another instance knows.
func (p *Permits) impose(from string, namedAt time.Time, of permits.Incarnation, perSecond float64) {
	p.mu.Lock()
	before, changed := p.budgets.Impose(namedAt, of, perSecond)
	p.mu.Unlock()
	if changed {
		p.logChange(of.Upstream, before, perSecond, from)
	}
}

// reply returns the reply to another instance's request for a permit. The sender may know a limit
// that this instance has not heard of, or not that it has ended.
func (p *Permits) reply(from string, request *pb.PermitRequest) *pb.PermitReply {
	of, now := permits.Incarnation{Upstream: fleet.UpstreamID(request.Upstream), StartedAt: request.StartedAt}, time.Now()
	p.mu.Lock()
	known, _ := p.budgets.Limit(of)
	p.mu.Unlock()
	if known == 0 && request.Limit > 0 {
		p.impose(from, now.Add(-time.Duration(request.NamedAgoMicros)*time.Microsecond), of, request.Limit)
	}
	decision := p.reserve(now, of, time.Duration(request.MaxWaitMicros)*time.Microsecond)
	p.mu.Lock()
	known, _ = p.budgets.Limit(of)
	p.mu.Unlock()
	return &pb.PermitReply{Id: request.Id, Granted: decision.Granted, WaitMicros: uint64(decision.Wait.Microseconds()), Unlimited: known == 0}
}

// Retain forgets the upstreams that are not listed.
func (p *Permits) Retain(find func(fleet.UpstreamID) *fleet.Upstream) {
	p.mu.Lock()
	defer p.mu.Unlock()
	isListed := func(of permits.Incarnation) bool {
		u := find(of.Upstream)
		return u != nil && permits.IncarnationOf(u) == of
	}
	p.budgets.Retain(isListed)
	for of := range p.denied {
		if !isListed(of) {
			delete(p.denied, of)
		}
	}
}

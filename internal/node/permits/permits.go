// Package permits keeps the limits that upstreams in need name, together with the other instances:
// it asks the owner of an upstream for permits, and grants those of the upstreams that this instance
// owns.
package permits

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	pb "savoryweir/api/savoryweir/v1"
	"savoryweir/internal/coordination/permits"
	"savoryweir/internal/node/inquiry"
	"savoryweir/internal/pause"
	"savoryweir/internal/state/fleet"
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

// Permits obtains and grants permits for requests to upstreams in need. It is safe for concurrent use.
type Permits struct {
	Options
	inquiries *inquiry.Inquiries[fleet.UpstreamID, *pb.PermitReply]

	mu      sync.Mutex // guards all fields below
	budgets *permits.Budgets
	denied  map[permits.Incarnation]time.Time // time of the next permit, as the owner told
}

// New returns permits without limits.
func New(o Options) *Permits {
	p := &Permits{Options: o, budgets: permits.NewBudgets(), denied: make(map[permits.Incarnation]time.Time)}
	p.inquiries = inquiry.New[fleet.UpstreamID, *pb.PermitReply](o.Instance, permits.SuspicionPeriod, o.Others, p.logSilent)
	return p
}

// Impose records what an upstream names in a response. The first value of a term is told to all other
// instances, later ones to the owner.
func (p *Permits) Impose(u *fleet.Upstream, t permits.Term, value float64) {
	of, now := permits.IncarnationOf(u), time.Now()
	p.mu.Lock()
	before, changed := p.budgets.Impose(now, of, t, value)
	p.mu.Unlock()
	if !changed {
		return
	}
	p.logChange(of.Upstream, t, before, value, "")
	notice := encodeTerm(t, value)
	if before == 0 {
		p.Broadcast(message(of, notice))
		return
	}
	p.tellOwner(now, of, notice)
}

// Lift records that an upstream did not name a term in its response to a request that was sent at a
// time. That is told to the owner, from which the other instances hear it when they ask.
func (p *Permits) Lift(u *fleet.Upstream, t permits.Term, sentAt time.Time) {
	of, now := permits.IncarnationOf(u), time.Now()
	if !p.lift(now, of, t, sentAt, "") {
		return
	}
	notice := encodeEnd(t)
	notice.SentAgoMicros = uint64(max(now.Sub(sentAt), 0).Microseconds())
	p.tellOwner(now, of, notice)
}

// lift ends a term and reports whether it was in force.
func (p *Permits) lift(now time.Time, of permits.Incarnation, t permits.Term, sentAt time.Time, from string) bool {
	p.mu.Lock()
	before := p.budgets.Lift(now, of, t, sentAt)
	if before > 0 {
		delete(p.denied, of)
	}
	p.mu.Unlock()
	if before > 0 {
		p.logChange(of.Upstream, t, before, 0, from)
	}
	return before > 0
}

// RecordRejected records that an upstream has rejected a request for want of room, and tells the owner.
func (p *Permits) RecordRejected(u *fleet.Upstream) {
	of, now := permits.IncarnationOf(u), time.Now()
	p.mu.Lock()
	endured, _ := p.budgets.Value(of, permits.TermRejections)
	p.budgets.RecordRejected(now, of)
	p.mu.Unlock()
	if endured > 0 {
		p.tellOwner(now, of, &pb.UpstreamNotice{Rejected: true})
	}
}

func encodeTerm(t permits.Term, value float64) *pb.UpstreamNotice {
	if t == permits.TermRate {
		return &pb.UpstreamNotice{Limit: value}
	}
	return &pb.UpstreamNotice{Rejections: value}
}

func encodeEnd(t permits.Term) *pb.UpstreamNotice {
	return &pb.UpstreamNotice{Unlimited: t == permits.TermRate, Robust: t == permits.TermRejections}
}

func message(of permits.Incarnation, notice *pb.UpstreamNotice) *pb.FleetMessage {
	notice.Upstream, notice.StartedAt = string(of.Upstream), of.StartedAt
	return &pb.FleetMessage{Notices: []*pb.UpstreamNotice{notice}}
}

func (p *Permits) tellOwner(now time.Time, of permits.Incarnation, notice *pb.UpstreamNotice) {
	if owner := p.inquiries.Owner(now, of.Upstream); owner != p.Instance {
		p.Send(owner, message(of, notice))
	}
}

func (p *Permits) logChange(upstream fleet.UpstreamID, t permits.Term, before, value float64, from string) {
	entry := p.Log.Info().Str("upstream", string(upstream)).Float64("limit", value).Float64("before", before).Str("from", from)
	if t == permits.TermRejections {
		entry.Str("event", "upstream.brittle").Msg("upstream names another number of rejections per second that it endures, or none if it is zero")
		return
	}
	entry.Str("event", "upstream.limit").Msg("upstream names another limit of requests per second, or none if it is zero")
}

// IsLimited reports whether an upstream has named a limit of requests.
func (p *Permits) IsLimited(u *fleet.Upstream) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	perSecond, _ := p.budgets.Value(permits.IncarnationOf(u), permits.TermRate)
	return perSecond > 0
}

// Acquire obtains a permit to send one request to an upstream, and waits until it is due, for maxWait
// at most. If it returns false, no permit was granted, or ctx has ended; wait is the time after which
// there may be one. Upstreams that have named nothing need no permit.
func (p *Permits) Acquire(ctx context.Context, u *fleet.Upstream, maxWait time.Duration) (granted bool, wait time.Duration) {
	of, end := permits.IncarnationOf(u), time.Now().Add(maxWait)
	for {
		left := max(time.Until(end), 0)
		request, next := p.newRequest(of, left)
		if request == nil {
			return true, 0
		}
		if wait = time.Until(next); wait <= left {
			decision := p.ask(ctx, of, request)
			if decision.Granted {
				return decision.Wait == 0 || pause.For(ctx, decision.Wait), 0
			}
			wait = decision.Wait
			p.mu.Lock()
			p.denied[of] = time.Now().Add(wait)
			p.mu.Unlock()
		}
		if wait <= 0 || wait > left || !pause.For(ctx, wait) {
			return false, wait
		}
	}
}

// newRequest returns a request for a permit, nil if the upstream needs none, and the time before which
// there is none.
func (p *Permits) newRequest(of permits.Incarnation, maxWait time.Duration) (request *pb.PermitRequest, next time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.budgets.NeedsPermit(of) {
		return nil, time.Time{}
	}
	request = &pb.PermitRequest{Upstream: string(of.Upstream), StartedAt: of.StartedAt, MaxWaitMicros: uint64(max(maxWait, 0).Microseconds())}
	var namedAt time.Time
	request.Limit, namedAt = p.budgets.Value(of, permits.TermRate)
	request.NamedAgoMicros = uint64(time.Since(namedAt).Microseconds())
	request.Rejections, namedAt = p.budgets.Value(of, permits.TermRejections)
	request.RejectionsNamedAgoMicros = uint64(time.Since(namedAt).Microseconds())
	return request, p.denied[of]
}

// ask asks the owner for a permit. One that doesn't reply counts as having none.
func (p *Permits) ask(ctx context.Context, of permits.Incarnation, request *pb.PermitRequest) permits.Decision {
	now := time.Now()
	owner := p.inquiries.Owner(now, of.Upstream)
	if owner == p.Instance {
		return p.reserve(now, of, time.Duration(request.MaxWaitMicros)*time.Microsecond)
	}
	request.Id = p.inquiries.NextID()
	replies := p.inquiries.Expect(request.Id)
	p.Send(owner, &pb.FleetMessage{PermitRequests: []*pb.PermitRequest{request}})
	reply, ok := p.inquiries.Await(ctx, owner, request.Id, replies)
	if !ok {
		return permits.Decision{}
	}
	p.recordReply(owner, of, now, reply)
	return permits.Decision{Granted: reply.Granted, Wait: time.Duration(reply.WaitMicros) * time.Microsecond}
}

// recordReply records the reply of an owner to a request for a permit that was sent at a time.
func (p *Permits) recordReply(owner string, of permits.Incarnation, askedAt time.Time, reply *pb.PermitReply) {
	if reply.Unlimited {
		p.lift(time.Now(), of, permits.TermRate, askedAt, owner)
	}
	if reply.Robust {
		p.lift(time.Now(), of, permits.TermRejections, askedAt, owner)
	}
}

func (p *Permits) logSilent(owner string) {
	p.Log.Info().Str("event", "permits.owner_silent").Str("owner", owner).Msg("instance does not reply to requests for permits; another one is asked")
}

// reserve grants a permit as the owner of an upstream, or in its place.
func (p *Permits) reserve(now time.Time, of permits.Incarnation, maxWait time.Duration) permits.Decision {
	rank := p.inquiries.Rank(of.Upstream)
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.budgets.Reserve(now, of, rank, maxWait)
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
		p.inquiries.Deliver(reply.Id, reply)
	}
}

func (p *Permits) receiveNotice(from string, notice *pb.UpstreamNotice) {
	of, now := permits.Incarnation{Upstream: fleet.UpstreamID(notice.Upstream), StartedAt: notice.StartedAt}, time.Now()
	sentAt := now.Add(-time.Duration(notice.SentAgoMicros) * time.Microsecond)
	if notice.Limit > 0 {
		p.impose(from, now, of, permits.TermRate, notice.Limit)
	}
	if notice.Rejections > 0 {
		p.impose(from, now, of, permits.TermRejections, notice.Rejections)
	}
	if notice.Unlimited {
		p.lift(now, of, permits.TermRate, sentAt, from)
	}
	if notice.Robust {
		p.lift(now, of, permits.TermRejections, sentAt, from)
	}
	if notice.Rejected {
		p.mu.Lock()
		p.budgets.RecordRejected(now, of)
		p.mu.Unlock()
	}
}

// impose records a term that another instance knows.
func (p *Permits) impose(from string, namedAt time.Time, of permits.Incarnation, t permits.Term, value float64) {
	p.mu.Lock()
	before, changed := p.budgets.Impose(namedAt, of, t, value)
	p.mu.Unlock()
	if changed {
		p.logChange(of.Upstream, t, before, value, from)
	}
}

// adopt records a term that the sender of a request for a permit knows, unless this instance knows its
// value, and reports whether the term has ended.
func (p *Permits) adopt(from string, of permits.Incarnation, t permits.Term, value float64, namedAt time.Time) (hasEnded bool) {
	known := p.value(of, t)
	if known == 0 && value > 0 {
		p.impose(from, namedAt, of, t, value)
		known = p.value(of, t)
	}
	return known == 0
}

func (p *Permits) value(of permits.Incarnation, t permits.Term) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	value, _ := p.budgets.Value(of, t)
	return value
}

// reply returns the reply to another instance's request for a permit. The sender may know a term that
// this instance has not heard of, or not that it has ended.
func (p *Permits) reply(from string, request *pb.PermitRequest) *pb.PermitReply {
	of, now := permits.Incarnation{Upstream: fleet.UpstreamID(request.Upstream), StartedAt: request.StartedAt}, time.Now()
	ago := func(micros uint64) time.Time { return now.Add(-time.Duration(micros) * time.Microsecond) }
	isUnlimited := p.adopt(from, of, permits.TermRate, request.Limit, ago(request.NamedAgoMicros))
	isRobust := p.adopt(from, of, permits.TermRejections, request.Rejections, ago(request.RejectionsNamedAgoMicros))
	decision := p.reserve(now, of, time.Duration(request.MaxWaitMicros)*time.Microsecond)
	return &pb.PermitReply{Id: request.Id, Granted: decision.Granted, WaitMicros: uint64(decision.Wait.Microseconds()), Unlimited: isUnlimited, Robust: isRobust}
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

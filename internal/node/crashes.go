package node

import (
	"time"

	pb "savoryweir/api/savoryweir/v1"
	"savoryweir/internal/coordination/quarantine"
	"savoryweir/internal/state/fleet"
)

// broadcastBroken informs the other instances that an upstream broke off a request.
func (r *reporter) broadcastBroken(broken quarantine.BrokenRequest) {
	r.node.mesh.Broadcast(&pb.FleetMessage{Breaks: []*pb.RequestBreak{encodeBroken(time.Now(), broken)}})
}

// broadcastRelease informs the other instances that a request with a blocked trait has completed.
func (r *reporter) broadcastRelease(trait quarantine.Trait) {
	r.node.mesh.Broadcast(&pb.FleetMessage{Quarantines: []*pb.QuarantineNotice{{Trait: uint64(trait)}}})
}

const (
	// startedPeriod is how long after the first message of a process it is told what is blocked.
	startedPeriod = 3 * time.Second
	// startedTellInterval is the interval at which it is told, because datagrams may be lost.
	startedTellInterval = 500 * time.Millisecond
)

// startedPeers tracks which instances have started lately, as they don't know what is blocked and which streams have begun. It is
// not safe for concurrent use.
type startedPeers map[string]*startedPeer

type startedPeer struct {
	incarnation int64
	seenAt      time.Time // time of the first message of the incarnation
	toldAt      time.Time
}

// isDue reports whether the sender of a message has to be told what is blocked, and takes it as
// told then. isFirst is true if the message is the first one of its process.
func (s startedPeers) isDue(now time.Time, instance string, incarnation int64) (isDue, isFirst bool) {
	p := s[instance]
	if p == nil || incarnation > p.incarnation {
		p, isFirst = &startedPeer{incarnation: incarnation, seenAt: now}, true
		s[instance] = p
	}
	if now.Sub(p.seenAt) > startedPeriod || now.Sub(p.toldAt) < startedTellInterval {
		return false, isFirst
	}
	p.toldAt = now
	return true, isFirst
}

// tellStarted tells an instance that has started lately what is blocked and, in a small fleet, which streams have begun. In a large one
// it asks the aggregators for streams that are taken up.
func (r *reporter) tellStarted(m *pb.FleetMessage) {
	r.mu.Lock()
	isDue, isFirst := r.startedPeers.isDue(time.Now(), m.Instance, m.Incarnation)
	r.mu.Unlock()
	if isFirst && !r.aggregatesLoads() {
		r.node.mesh.Send(m.Instance, r.currentReport().beacon()) // so that it answers with what this instance may lack
		for _, o := range r.node.streams.shared() {
			r.node.mesh.Send(m.Instance, &pb.FleetMessage{StreamOrigins: []*pb.StreamOrigin{o}})
		}
	}
	if !isDue {
		return
	}
	notice := &pb.FleetMessage{}
	for trait, left := range r.node.gateway.Quarantined() {
		notice.Quarantines = append(notice.Quarantines, &pb.QuarantineNotice{Trait: uint64(trait), LeftMillis: uint64(max(left.Milliseconds(), 1))})
	}
	if len(notice.Quarantines) > 0 {
		r.node.mesh.Send(m.Instance, notice)
	}
}

// receiveCrashes records the requests that upstreams broke off at another instance, and what it
// says of quarantines.
func (r *reporter) receiveCrashes(m *pb.FleetMessage) {
	now := time.Now()
	for _, b := range m.Breaks {
		r.node.gateway.RecordBroken(decodeBroken(now, b))
	}
	for _, q := range m.Quarantines {
		trait, left := quarantine.Trait(q.Trait), time.Duration(q.LeftMillis)*time.Millisecond
		if left > 0 {
			r.node.gateway.AdoptQuarantine(trait, left)
		} else {
			r.node.gateway.Release(trait)
		}
	}
}

func encodeBroken(now time.Time, broken quarantine.BrokenRequest) *pb.RequestBreak {
	m := &pb.RequestBreak{Fingerprint: uint64(broken.Content), Upstream: string(broken.Upstream)}
	for _, p := range broken.Parts {
		part := &pb.SharedPart{Id: uint64(p.Trait)}
		if !p.CompletedAt.IsZero() {
			part.CompletedAgoMillis = uint64(max(now.Sub(p.CompletedAt).Milliseconds(), 1))
		}
		m.Parts = append(m.Parts, part)
	}
	return m
}

func decodeBroken(now time.Time, m *pb.RequestBreak) quarantine.BrokenRequest {
	broken := quarantine.BrokenRequest{Upstream: fleet.UpstreamID(m.Upstream), Content: quarantine.Trait(m.Fingerprint)}
	for _, p := range m.Parts {
		part := quarantine.Part{Trait: quarantine.Trait(p.Id)}
		if p.CompletedAgoMillis > 0 {
			part.CompletedAt = now.Add(-time.Duration(p.CompletedAgoMillis) * time.Millisecond)
		}
		broken.Parts = append(broken.Parts, part)
	}
	return broken
}

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

// receiveCrashes records the requests that upstreams broke off at another instance, and what it
// says of quarantines.
func (r *reporter) receiveCrashes(m *pb.FleetMessage) {
	now := time.Now()
	for _, b := range m.Breaks {
		r.node.gateway.RecordBroken(decodeBroken(now, b))
	}
	for _, q := range m.Quarantines {
		if q.LeftMillis == 0 {
			r.node.gateway.Release(quarantine.Trait(q.Trait))
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

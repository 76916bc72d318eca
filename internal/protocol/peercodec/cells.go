package peercodec

import (
	"time"

	pb "savoryweir/api/savoryweir/v1"
	"savoryweir/internal/state/bundle"
	"savoryweir/internal/state/demand"
	"savoryweir/internal/state/news"
	"savoryweir/internal/state/replica"
)

// EncodeReplicas returns the messages of replicas.
func EncodeReplicas(replicas []replica.Replica) []*pb.Replica {
	encoded := make([]*pb.Replica, 0, len(replicas))
	for _, r := range replicas {
		encoded = append(encoded, &pb.Replica{
			Upstream: string(r.Upstream), Model: string(r.Model), Adapter: string(r.Adapter), Ready: r.Ready,
		})
	}
	return encoded
}

// DecodeReplicas returns the replicas in messages.
func DecodeReplicas(replicas []*pb.Replica) []replica.Replica {
	decoded := make([]replica.Replica, 0, len(replicas))
	for _, r := range replicas {
		decoded = append(decoded, replica.Replica{
			Upstream: bundle.UpstreamID(r.GetUpstream()),
			Model:    bundle.ModelID(r.GetModel()),
			Adapter:  bundle.AdapterID(r.GetAdapter()),
			Ready:    r.GetReady(),
		})
	}
	return decoded
}

// EncodeDelta returns the message of the changes to the replicas of a cell.
func EncodeDelta(d replica.Delta) *pb.CellReplicas {
	removed := make([]replica.Replica, 0, len(d.Removed))
	for _, key := range d.Removed {
		removed = append(removed, replica.Replica{Upstream: key.Upstream, Model: key.Model, Adapter: key.Adapter})
	}
	return &pb.CellReplicas{
		Head:        EncodeCellHead(d.Cell.Head),
		Replicas:    EncodeReplicas(d.Cell.Replicas),
		BaseVersion: d.Base,
		Gone:        EncodeReplicas(removed),
		Digest:      d.Digest,
	}
}

// DecodeDelta returns the changes to the replicas of a cell in a message.
func DecodeDelta(c *pb.CellReplicas) replica.Delta {
	d := replica.Delta{
		Cell:   replica.Cell{Head: DecodeCellHead(c.GetHead()), Replicas: DecodeReplicas(c.GetReplicas())},
		Base:   c.GetBaseVersion(),
		Digest: c.GetDigest(),
	}
	for _, r := range DecodeReplicas(c.GetGone()) {
		d.Removed = append(d.Removed, r.Key())
	}
	return d
}

// EncodeCellHead returns the message of the head of a cell.
func EncodeCellHead(head news.CellHead) *pb.CellHead {
	return &pb.CellHead{Cell: string(head.Cell), Version: head.Version}
}

// DecodeCellHead returns the head of a cell in a message.
func DecodeCellHead(head *pb.CellHead) news.CellHead {
	return news.CellHead{Cell: news.CellID(head.GetCell()), Version: head.GetVersion()}
}

// EncodeCellHeads returns the messages of the heads of cells.
func EncodeCellHeads(heads []news.CellHead) []*pb.CellHead {
	encoded := make([]*pb.CellHead, 0, len(heads))
	for _, head := range heads {
		encoded = append(encoded, EncodeCellHead(head))
	}
	return encoded
}

// DecodeCellHeads returns the heads of cells in messages.
func DecodeCellHeads(heads []*pb.CellHead) []news.CellHead {
	decoded := make([]news.CellHead, 0, len(heads))
	for _, head := range heads {
		decoded = append(decoded, DecodeCellHead(head))
	}
	return decoded
}

// EncodeDemand returns the messages of the demand for models and adapters.
func EncodeDemand(models []demand.Model) []*pb.ModelDemand {
	encoded := make([]*pb.ModelDemand, 0, len(models))
	for _, m := range models {
		encoded = append(encoded, &pb.ModelDemand{
			Model: string(m.Model), Adapter: string(m.Adapter),
			Requests: m.Requests, Tokens: m.Tokens, MissedDeadlines: m.MissedDeadlines, Completed: m.Completed,
		})
	}
	return encoded
}

// DecodeDemand returns the demand report of one instance for an interval in milliseconds.
func DecodeDemand(instance string, intervalMillis int64, models []*pb.ModelDemand) demand.Report {
	report := demand.Report{Instance: instance, Interval: time.Duration(intervalMillis) * time.Millisecond}
	for _, m := range models {
		report.Models = append(report.Models, demand.Model{
			Model:           bundle.ModelID(m.GetModel()),
			Adapter:         bundle.AdapterID(m.GetAdapter()),
			Requests:        m.GetRequests(),
			Tokens:          m.GetTokens(),
			MissedDeadlines: m.GetMissedDeadlines(),
			Completed:       m.GetCompleted(),
		})
	}
	return report
}

package peercodec

import (
	"time"

	pb "savoryweir/api/savoryweir/v1"
	"savoryweir/internal/state/bundle"
	"savoryweir/internal/state/demand"
	"savoryweir/internal/state/news"
	"savoryweir/internal/state/replica"
)

// EncodeReplicas turns replicas into their messages.
func EncodeReplicas(replicas []replica.Replica) []*pb.Replica {
	encoded := make([]*pb.Replica, 0, len(replicas))
	for _, r := range replicas {
		encoded = append(encoded, &pb.Replica{
			Upstream: string(r.Upstream), Model: string(r.Model), Adapter: string(r.Adapter), Ready: r.Ready,
		})
	}
	return encoded
}

// DecodeReplicas turns messages into replicas.
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

// EncodeCell turns a cell into its message.
func EncodeCell(c replica.Cell) *pb.CellReplicas {
	return &pb.CellReplicas{
		Head:     &pb.CellHead{Cell: string(c.Head.Cell), Version: c.Head.Version},
		Replicas: EncodeReplicas(c.Replicas),
	}
}

// DecodeCell turns a message into a cell.
func DecodeCell(c *pb.CellReplicas) replica.Cell {
	return replica.Cell{
		Head:     news.CellHead{Cell: news.CellID(c.GetHead().GetCell()), Version: c.GetHead().GetVersion()},
		Replicas: DecodeReplicas(c.GetReplicas()),
	}
}

// EncodeDemand turns the traffic of models into its messages.
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

// DecodeDemand turns messages into a report of one instance.
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

package node

import (
	"time"

	pb "savoryweir/api/savoryweir/v1"
	"savoryweir/internal/coordination/aggregation"
	"savoryweir/internal/coordination/fairness"
)

// ticksPerWorkReport is the number of ticks of the report loop between two reports of what customers use.
const ticksPerWorkReport = 5

// reportWork tells the other instances what customers use here while room is short anywhere: directly in
// a small fleet, through the aggregators in a large one.
func (r *reporter) reportWork(tick int) {
	if tick%ticksPerWorkReport != 0 {
		return
	}
	rows := r.node.gateway.CustomerWork()
	if r.aggregatesLoads() {
		r.aggregator.exchangeWork(rows)
		return
	}
	if rows != nil {
		r.node.mesh.Broadcast(workMessage("", false, rows))
	}
}

// exchangeWork sends the work of this instance to the aggregators of its zone and, as an aggregator that
// leads, the sums to its members and to the aggregators of the other zones.
func (a *aggregator) exchangeWork(rows map[fairness.Row]fairness.Work) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now, own := time.Now(), a.node.settings.Instance
	zones := a.candidates(now)
	if rows != nil {
		for _, c := range a.selector(own.Zone).Select(now, zones[own.Zone]) {
			if c.Instance != own.ID {
				a.node.mesh.Send(c.Instance, workMessage("", false, rows))
			}
		}
		a.work.SetMember(now, own.ID, rows)
	}
	if !a.leads {
		return
	}
	if zoneSum := a.work.ZoneSum(now); len(zoneSum) > 0 {
		for zone, candidates := range zones {
			if zone != own.Zone {
				a.sendWorkToAggregators(now, zone, candidates, workMessage(own.Zone, true, zoneSum))
			}
		}
	}
	sum := a.work.Sum(now)
	if len(sum) == 0 {
		return
	}
	for _, member := range a.aggregate.Members(now) {
		if member != own.ID {
			a.node.mesh.Send(member, workMessage("", true, a.work.WithoutMember(sum, member)))
		}
	}
	a.node.gateway.RecordFleetWork(a.work.WithoutMember(sum, own.ID))
}

// sendWorkToAggregators sends a sum to the aggregators of another zone. The caller holds a.mu.
func (a *aggregator) sendWorkToAggregators(now time.Time, zone string, candidates []aggregation.Candidate, m *pb.FleetMessage) {
	for _, c := range a.selector(zone).Select(now, candidates) {
		a.node.mesh.Send(c.Instance, m)
	}
}

// receiveWork records what another instance tells of the work of customers.
func (r *reporter) receiveWork(m *pb.FleetMessage) {
	if m.CustomerWork == nil {
		return
	}
	rows, a, now := decodeWork(m.CustomerWork.Usages), r.aggregator, time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	switch {
	case m.CustomerWork.Zone != "":
		a.work.SetZone(now, m.CustomerWork.Zone, rows)
	case m.CustomerWork.Summed:
		r.node.gateway.RecordFleetWork(rows)
	case r.aggregatesLoads():
		a.work.SetMember(now, m.Instance, rows)
	default:
		r.node.gateway.RecordPeerWork(m.Instance, rows)
	}
}

func workMessage(zone string, isSum bool, rows map[fairness.Row]fairness.Work) *pb.FleetMessage {
	work := &pb.CustomerWork{Zone: zone, Summed: isSum}
	for row, w := range rows {
		work.Usages = append(work.Usages, &pb.CustomerUsage{Service: row.Service, Customer: row.Customer, Route: row.Kind, Admitted: toTokens(w.Admitted), Refused: toTokens(w.Refused)})
	}
	return &pb.FleetMessage{CustomerWork: work}
}

func toTokens(work float64) uint64 { return uint64(max(work, 0) + 0.5) }

func decodeWork(usages []*pb.CustomerUsage) map[fairness.Row]fairness.Work {
	rows := make(map[fairness.Row]fairness.Work, len(usages))
	for _, u := range usages {
		rows[fairness.Row{Service: u.Service, Customer: u.Customer, Kind: u.Route}] = fairness.Work{Admitted: float64(u.Admitted), Refused: float64(u.Refused)}
	}
	return rows
}

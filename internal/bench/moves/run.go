package moves

import (
	"time"

	"savoryweir/internal/coordination/placement"
)

// reportLag is the age in seconds of the demand that policies see.
const reportLag = 2

// Policy is a named placement policy of the bench.
type Policy struct {
	Name string
	New  func() placement.Policy
}

// DefaultSettings are the defaults of the steady policy.
func DefaultSettings() placement.Settings {
	return placement.Settings{
		MoveCost: 20, Horizon: 2 * time.Minute, Hold: 3 * time.Second, Decay: 10 * time.Minute,
		Headroom: 0.05, Spares: true, Reserve: 0.1, ZoneWeight: 0.05,
	}
}

// Policies returns the baselines, the policy in use, and the same at twice the cost of a move.
func Policies() []Policy {
	return []Policy{
		{"static", func() placement.Policy { return placement.NewStatic(DefaultSettings()) }},
		{"greedy", func() placement.Policy {
			return &placement.Greedy{Utilization: 0.7, Interval: 10 * time.Second, Eager: true}
		}},
		{"greedy-lazy", func() placement.Policy {
			return &placement.Greedy{Utilization: 0.7, Interval: 10 * time.Second}
		}},
		{"sparing", func() placement.Policy {
			settings := DefaultSettings()
			settings.MoveCost *= 2
			return placement.NewSteady(settings)
		}},
		{"steady", func() placement.Policy { return placement.NewSteady(DefaultSettings()) }},
	}
}

// Run measures one policy on one scenario. The same seed gives the same result.
func Run(s Scenario, p Policy, seed uint64) Result {
	total := Result{Policy: p.Name, Engines: s.Engines()}
	var cells []*cell
	var demands []*demand
	var history [][][]float64 // per service and second
	for _, service := range s.Services {
		cells = append(cells, newCell(s, service, p.New()))
		demands = append(demands, newDemand(service, s.Utilization, seed))
		history = append(history, nil)
	}
	start := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	for at := time.Duration(0); at < s.WarmUp+s.Duration; at += time.Second {
		measured := at >= s.WarmUp
		for i, c := range cells {
			now := demands[i].step(at)
			history[i] = append(history[i], now)
			seen := history[i][max(0, len(history[i])-1-reportLag)]
			c.step(start, at, seen, now, demands[i].adapters, measured)
		}
		if measured && (at-s.WarmUp)%time.Minute == time.Minute-time.Second {
			total.addMinute(cells)
		}
	}
	for _, c := range cells {
		total.LedgerBytes += c.ledgerBytes()
	}
	return total
}

// addMinute adds up the cells and notes the last minute.
func (r *Result) addMinute(cells []*cell) {
	before := *r
	r.Demand, r.Served, r.Bound = 0, 0, 0
	r.ModelMoves, r.AdapterMoves, r.StoreWrites = 0, 0, 0
	for _, c := range cells {
		r.Demand += c.result.Demand
		r.Served += c.result.Served
		r.Bound += c.result.Bound
		r.ModelMoves += c.result.ModelMoves
		r.AdapterMoves += c.result.AdapterMoves
		r.StoreWrites += c.result.StoreWrites
	}
	r.Series = append(r.Series, Point{
		Minute:     len(before.Series),
		Attainment: (r.Served - before.Served) / (r.Demand - before.Demand),
		Moves:      r.Moves(),
	})
}

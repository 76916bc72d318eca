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
			return placement.NewCostAware(settings)
		}},
		{"steady", func() placement.Policy { return placement.NewCostAware(DefaultSettings()) }},
	}
}

// Run measures one policy on one scenario. The same seed gives the same result.
func Run(s Scenario, p Policy, seed uint64) Result {
	total := Result{Policy: p.Name, Engines: s.Engines()}
	placing := NewPlacing(s, p, seed)
	var history [][][]float64 // per second and service
	for at := time.Duration(0); at < s.WarmUp+s.Duration; at += time.Second {
		now := placing.Demand(at)
		history = append(history, now)
		placing.Decide(at, history[max(0, len(history)-1-reportLag)])
		if at < s.WarmUp {
			continue
		}
		for i, c := range placing.cells {
			c.measure(now[i])
		}
		if (at-s.WarmUp)%time.Minute == time.Minute-time.Second {
			total.addMinute(placing.cells)
		}
	}
	total.LedgerBytes = placing.Count().LedgerBytes
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

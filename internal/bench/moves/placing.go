package moves

import (
	"slices"
	"time"

	"savoryweir/internal/coordination/placement"
	"savoryweir/internal/state/ledger"
)

// start is the wall time of the first decision.
var start = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

// Placing runs the cells of a scenario under one policy, second by second.
type Placing struct {
	scenario Scenario
	cells    []*cell
	demands  []*demand
}

// NewPlacing returns empty engines. The same seed gives the same demand to all policies.
func NewPlacing(s Scenario, p Policy, seed uint64) *Placing {
	placing := &Placing{scenario: s}
	for _, service := range s.Services {
		placing.cells = append(placing.cells, newCell(s, service, p.New()))
		placing.demands = append(placing.demands, newDemand(service, s.Utilization, seed))
	}
	return placing
}

// Demand advances the demand by a second and returns it per service and model, in engines.
func (p *Placing) Demand(at time.Duration) [][]float64 {
	now := make([][]float64, 0, len(p.demands))
	for _, d := range p.demands {
		now = append(now, d.step(at))
	}
	return now
}

// Decide lets the policy act on the demand that it sees, per service and model. Moves
// from the end of the warm-up on are counted.
func (p *Placing) Decide(at time.Duration, seen [][]float64) {
	for i, c := range p.cells {
		c.decide(at, seen[i], p.demands[i].adapters, at >= p.scenario.WarmUp)
	}
}

// Ready reports whether a model of a service is usable on an engine.
func (p *Placing) Ready(service, model, engine int) bool {
	c := p.cells[service]
	m := c.models[model]
	return isReady(c.engines[engine], ledger.Slot{Model: m.ID, Version: m.Version})
}

// Count returns the moves and writes of all cells.
func (p *Placing) Count() Result {
	r := Result{Engines: p.scenario.Engines()}
	for _, c := range p.cells {
		r.ModelMoves += c.result.ModelMoves
		r.AdapterMoves += c.result.AdapterMoves
		r.StoreWrites += c.result.StoreWrites
		r.LedgerBytes += c.ledgerBytes()
	}
	return r
}

// isReady reports whether the slot is usable on the engine.
func isReady(e placement.Engine, slot ledger.Slot) bool {
	return slices.ContainsFunc(e.Replicas, func(i placement.Replica) bool {
		return i.State == placement.Ready && i.Slot == slot
	})
}

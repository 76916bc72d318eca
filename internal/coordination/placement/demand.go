package placement

import (
	"cmp"
	"slices"
	"time"

	"savoryweir/internal/state/bundle"
	"savoryweir/internal/state/ledger"
)

// meetDemand adds replicas where they serve the most demand that is unmet for a while.
func (p *CostAware) meetDemand(now time.Time, v *view) {
	demand := make([]float64, len(v.Models))
	for m, model := range v.Models {
		demand[m] = model.Demand * (1 + p.settings.Headroom)
	}
	a := v.assignment(demand)
	if a.TotalUnmet() <= smallestFlow {
		p.unmetAt = time.Time{}
		return
	}
	if p.unmetAt.IsZero() {
		p.unmetAt = now
	}
	if now.Sub(p.unmetAt) < p.settings.Hold {
		return
	}
	for v.loads > 0 && p.addReplica(v, a) {
	}
}

// addReplica starts the one move that serves the most demand. It reports whether a load was added.
func (p *CostAware) addReplica(v *view, a *Assignment) bool {
	starved, unmet := a.Starved(), a.TotalUnmet()
	dispensable := newDispensable(a)
	var list []Candidate
	for m := range v.Models {
		for e := range v.Engines {
			gain := a.Gain(m, e, starved, unmet)
			if gain <= smallestFlow {
				continue
			}
			evict, ok := p.roomBy(v, m, e, func(other int) bool { return dispensable.check(other, e) })
			if ok {
				list = append(list, Candidate{Model: m, Engine: e, Gain: gain, Evict: evict})
			}
		}
	}
	c, ok := p.chain.pick(v, list)
	if !ok || p.place(v, p.chain, []Candidate{c}, ReasonDemand) != placed {
		return false
	}
	a.Add(c.Model, c.Engine)
	return true
}

// dispensable remembers which replicas can go at no loss of served demand.
type dispensable struct {
	assignment *Assignment
	known      map[[2]int]bool // by model and engine
}

func newDispensable(a *Assignment) dispensable {
	return dispensable{assignment: a, known: make(map[[2]int]bool)}
}

func (d dispensable) check(m, e int) bool {
	key := [2]int{m, e}
	free, ok := d.known[key]
	if !ok {
		free = d.assignment.Loss(m, e) <= smallestFlow
		d.known[key] = free
	}
	return free
}

// makeRoom returns the replicas that have to leave engine e for model m, whatever they serve.
func (p *CostAware) makeRoom(v *view, m, e int) ([]ledger.Slot, bool) {
	return p.roomBy(v, m, e, func(int) bool { return true })
}

// roomBy chooses evictions among the replicas that may go: those of models that
// stay ready elsewhere, the least remembered demand for each replica first.
func (p *CostAware) roomBy(v *view, m, e int, mayGo func(other int) bool) ([]ledger.Slot, bool) {
	need := v.Models[m].Memory - v.free[e] - v.freeing[e]
	if need <= 0 {
		return nil, true
	}
	engine := v.Engines[e]
	if !engine.Usable || !engine.FreesMemory {
		return nil, false
	}
	var evict []ledger.Slot
	for _, i := range p.byWorth(v, engine.Replicas) {
		if need <= 0 {
			break
		}
		if p.isSpare(v, i, m) && mayGo(v.index(i.Slot.Model)) {
			evict = append(evict, i.Slot)
			need -= i.Memory
		}
	}
	return evict, need <= 0
}

// isSpare reports whether a replica may go: its model has more ready ones than it must keep.
// Replicas in the version in force don't go in favor of outdated ones.
func (p *CostAware) isSpare(v *view, i Replica, m int) bool {
	at := v.index(i.Slot.Model)
	if i.State != Ready || i.Slot.Adapter != "" || at < 0 || i.Slot == slotOf(v.Models[m]) {
		return false
	}
	other := v.Models[at]
	ready := v.readyReplicas(other.ID)
	if i.Slot == slotOf(other) {
		ready = v.count(func(e Engine) bool { return e.ready(i.Slot) })
	}
	return ready > max(1, other.MinReplicas)
}

func (v *view) index(id bundle.ModelID) int {
	return slices.IndexFunc(v.Models, func(m Model) bool { return m.ID == id })
}

// byWorth sorts items by the remembered demand for each replica of their model.
func (p *CostAware) byWorth(v *view, items []Replica) []Replica {
	worth := func(i Replica) float64 {
		return p.memory[i.Slot.Model] / float64(1+v.readyReplicas(i.Slot.Model))
	}
	sorted := slices.Clone(items)
	slices.SortStableFunc(sorted, func(a, b Replica) int { return cmp.Compare(worth(a), worth(b)) })
	return sorted
}

// placeAdapters loads adapters in demand beside a ready replica of their model, the
// most wanted first, and makes room by adapters without demand.
func placeAdapters(v *view) {
	wanted := slices.Clone(v.Adapters)
	slices.SortStableFunc(wanted, func(a, b Adapter) int { return cmp.Compare(b.Demand, a.Demand) })
	for _, adapter := range wanted {
		if v.adapters <= 0 || adapter.Demand <= 0 {
			return
		}
		placeAdapter(v, adapter)
	}
}

func placeAdapter(v *view, adapter Adapter) {
	m := v.index(adapter.Model)
	if m < 0 {
		return
	}
	model := slotOf(v.Models[m])
	slot := model
	slot.Adapter = adapter.ID
	if v.count(func(e Engine) bool { return e.Usable && e.holds(slot) }) > 0 {
		return
	}
	for e, engine := range v.Engines {
		if !engine.ready(model) || engine.mentions(slot) {
			continue
		}
		if v.free[e] >= adapter.Memory {
			v.load(e, slot, adapter.Memory, ReasonAdapter)
			return
		}
		if unloadIdleAdapter(v, e) {
			return
		}
	}
}

// unloadIdleAdapter makes room by one adapter that nobody asks for.
func unloadIdleAdapter(v *view, e int) bool {
	if !v.Engines[e].FreesMemory {
		return false
	}
	for _, i := range v.Engines[e].Replicas {
		if i.Slot.Adapter == "" || i.State != Ready {
			continue
		}
		idle := slices.ContainsFunc(v.Adapters, func(a Adapter) bool { return a.ID == i.Slot.Adapter && a.Demand <= 0 })
		if idle {
			v.unload(e, i.Slot, false, ReasonMemoryNeeded)
			return true
		}
	}
	return false
}

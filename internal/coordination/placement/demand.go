package placement

import (
	"cmp"
	"slices"
	"time"

	"savoryweir/internal/state/bundle"
	"savoryweir/internal/state/ledger"
)

// meetDemand adds the replicas that serve the most unmet demand, once demand has been unmet
// for the configured hold time.
func (p *CostAware) meetDemand(now time.Time, v *view) {
	demand := make([]float64, len(v.Models))
	for m, model := range v.Models {
		demand[m] = model.Demand * (1 + p.settings.Headroom)
	}
	a := v.assignment(demand)
	if a.TotalUnmet() <= flowEpsilon {
		p.unmetSince = time.Time{}
		return
	}
	if p.unmetSince.IsZero() {
		p.unmetSince = now
	}
	if now.Sub(p.unmetSince) < p.settings.Hold {
		return
	}
	for v.loadsLeft > 0 && p.addReplica(v, a) {
	}
}

// addReplica places the candidate with the highest score. It reports whether a load was
// added; a candidate that needs evictions only starts those.
func (p *CostAware) addReplica(v *view, a *Assignment) bool {
	starved, unmet := a.Starved(), a.TotalUnmet()
	losses := newLossCache(a)
	var list []Candidate
	for m := range v.Models {
		for e := range v.Engines {
			gain := a.Gain(m, e, starved, unmet)
			if gain <= flowEpsilon {
				continue
			}
			evict, ok := p.chooseEvictions(v, m, e, func(other int) bool { return losses.hasNoLoss(other, e) })
			if ok {
				list = append(list, Candidate{Model: m, Engine: e, Gain: gain, Evict: evict})
			}
		}
	}
	c, ok := p.demandPipeline.pick(v, list)
	if !ok || p.place(v, p.demandPipeline, []Candidate{c}, ReasonDemand) != placed {
		return false
	}
	a.Add(c.Model, c.Engine)
	return true
}

// lossCache caches which replicas can be evicted without a loss of served demand.
type lossCache struct {
	assignment *Assignment
	known      map[[2]int]bool // by model and engine
}

func newLossCache(a *Assignment) lossCache {
	return lossCache{assignment: a, known: make(map[[2]int]bool)}
}

func (c lossCache) hasNoLoss(m, e int) bool {
	key := [2]int{m, e}
	noLoss, ok := c.known[key]
	if !ok {
		noLoss = c.assignment.Loss(m, e) <= flowEpsilon
		c.known[key] = noLoss
	}
	return noLoss
}

// evictionsFor returns the replicas that must leave engine e for model m, regardless of the
// demand that they serve. It reports whether these free enough memory.
func (p *CostAware) evictionsFor(v *view, m, e int) ([]ledger.Slot, bool) {
	return p.chooseEvictions(v, m, e, func(int) bool { return true })
}

// chooseEvictions chooses evictions among the evictable replicas for which mayEvict, called
// with the index of their model, is true. Models with the least recent demand per replica
// come first. It reports whether the evictions free enough memory.
func (p *CostAware) chooseEvictions(v *view, m, e int, mayEvict func(other int) bool) ([]ledger.Slot, bool) {
	need := v.Models[m].Memory - v.freeMemory[e] - v.memoryBeingFreed[e]
	if need <= 0 {
		return nil, true
	}
	engine := v.Engines[e]
	if !engine.Usable || !engine.FreesMemory {
		return nil, false
	}
	var evict []ledger.Slot
	for _, r := range p.byDemandPerReplica(v, engine.Replicas) {
		if need <= 0 {
			break
		}
		if p.isEvictable(v, r, m) && mayEvict(v.modelIndex(r.Slot.Model)) {
			evict = append(evict, r.Slot)
			need -= r.Memory
		}
	}
	return evict, need <= 0
}

// isEvictable reports whether replica r may be evicted for model m. Its model must keep its
// minimum of ready replicas, and at least one. If r is of the version in force, outdated
// replicas do not count, so that they do not displace the version in force.
func (p *CostAware) isEvictable(v *view, r Replica, m int) bool {
	index := v.modelIndex(r.Slot.Model)
	if r.State != Ready || r.Slot.Adapter != "" || index < 0 || r.Slot == modelSlot(v.Models[m]) {
		return false
	}
	other := v.Models[index]
	ready := v.readyReplicas(other.ID)
	if r.Slot == modelSlot(other) {
		ready = v.countEngines(func(e Engine) bool { return e.ready(r.Slot) })
	}
	return ready > max(1, other.MinReplicas)
}

func (v *view) modelIndex(id bundle.ModelID) int {
	return slices.IndexFunc(v.Models, func(m Model) bool { return m.ID == id })
}

// byDemandPerReplica returns the replicas in ascending order of their model's recent demand
// per replica.
func (p *CostAware) byDemandPerReplica(v *view, replicas []Replica) []Replica {
	demandPerReplica := func(r Replica) float64 {
		return p.recentDemand[r.Slot.Model] / float64(1+v.readyReplicas(r.Slot.Model))
	}
	sorted := slices.Clone(replicas)
	slices.SortStableFunc(sorted, func(a, b Replica) int { return cmp.Compare(demandPerReplica(a), demandPerReplica(b)) })
	return sorted
}

// placeAdapters loads adapters in demand next to a ready replica of their model, those with
// the highest demand first. It unloads adapters without demand to free memory.
func placeAdapters(v *view) {
	byDemand := slices.Clone(v.Adapters)
	slices.SortStableFunc(byDemand, func(a, b Adapter) int { return cmp.Compare(b.Demand, a.Demand) })
	for _, adapter := range byDemand {
		if v.adapterLoadsLeft <= 0 || adapter.Demand <= 0 {
			return
		}
		placeAdapter(v, adapter)
	}
}

func placeAdapter(v *view, adapter Adapter) {
	m := v.modelIndex(adapter.Model)
	if m < 0 {
		return
	}
	model := modelSlot(v.Models[m])
	slot := model
	slot.Adapter = adapter.ID
	if v.countEngines(func(e Engine) bool { return e.Usable && e.holds(slot) }) > 0 {
		return
	}
	for e, engine := range v.Engines {
		if !engine.ready(model) || engine.hasSlot(slot) {
			continue
		}
		if v.freeMemory[e] >= adapter.Memory {
			v.load(e, slot, adapter.Memory, ReasonAdapter)
			return
		}
		if unloadIdleAdapter(v, e) {
			return
		}
	}
}

// unloadIdleAdapter unloads one adapter without demand from engine e. It reports whether
// there was one.
func unloadIdleAdapter(v *view, e int) bool {
	if !v.Engines[e].FreesMemory {
		return false
	}
	for _, r := range v.Engines[e].Replicas {
		if r.Slot.Adapter == "" || r.State != Ready {
			continue
		}
		idle := slices.ContainsFunc(v.Adapters, func(a Adapter) bool { return a.ID == r.Slot.Adapter && a.Demand <= 0 })
		if idle {
			v.unload(e, r.Slot, false, ReasonMemoryNeeded)
			return true
		}
	}
	return false
}

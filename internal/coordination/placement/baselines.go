package placement

import (
	"cmp"
	"math"
	"slices"
	"time"

	"savoryweir/internal/state/bundle"
)

// Static places every model once, fills the remaining memory with spare replicas and never
// moves a replica because of demand. It is a baseline for benchmarks.
type Static struct{ costAware *CostAware }

// NewStatic returns a static policy.
func NewStatic(s Settings) *Static { return &Static{costAware: NewCostAware(s)} }

// Decide implements Policy.
func (p *Static) Decide(_ time.Time, s Snapshot) []Action {
	v := newView(s)
	p.costAware.restoreMissing(v)
	p.costAware.addSpares(v)
	placeAdapters(v)
	return v.actions
}

// Greedy gives each model the replicas that its current demand needs. It is a baseline for
// benchmarks.
type Greedy struct {
	// Utilization is the share of an engine that one replica is planned to use.
	Utilization float64
	// Interval is the shortest time between two decisions.
	Interval time.Duration
	// Eager unloads surplus replicas and idle adapters immediately instead of when their
	// memory is needed.
	Eager bool

	nextDecision time.Time
}

// Decide implements Policy.
func (p *Greedy) Decide(now time.Time, s Snapshot) []Action {
	v := newView(s)
	if now.Before(p.nextDecision) {
		return nil
	}
	p.nextDecision = now.Add(p.Interval)
	for _, m := range p.modelsByPriority(v) {
		for p.surplus(v, m) < 0 && v.loadsLeft > 0 && p.addReplica(v, m) {
		}
	}
	if p.Eager {
		p.unloadSurplus(v)
	}
	placeAdapters(v)
	if p.Eager {
		unloadIdleAdapters(v)
	}
	return v.actions
}

func (p *Greedy) modelsByPriority(v *view) []Model {
	sorted := slices.Clone(v.Models)
	slices.SortStableFunc(sorted, func(a, b Model) int {
		return cmp.Compare(p.priority(v, b), p.priority(v, a))
	})
	return sorted
}

// priority returns the model's demand, or infinity for a model without a replica, which
// comes first.
func (p *Greedy) priority(v *view, m Model) float64 {
	if v.replicas(m) == 0 {
		return math.Inf(1)
	}
	return m.Demand
}

// surplus returns the number of replicas that the model has in excess of its demand; it is
// negative if replicas are missing.
func (p *Greedy) surplus(v *view, m Model) int {
	needed := max(1, m.MinReplicas, int(math.Ceil(m.Demand/p.Utilization)))
	usable := v.countEngines(func(e Engine) bool { return e.Usable })
	return v.replicas(m) - min(needed, usable)
}

// addReplica loads one replica on the engine with the most obtainable memory, or evicts
// surplus replicas there first. It reports whether a load was added.
func (p *Greedy) addReplica(v *view, m Model) bool {
	best := -1
	for e, engine := range v.Engines {
		if !engine.Usable || engine.hasSlot(modelSlot(m)) {
			continue
		}
		if best < 0 || p.obtainableMemory(v, e) > p.obtainableMemory(v, best) {
			best = e
		}
	}
	if best < 0 || p.obtainableMemory(v, best) < m.Memory {
		return false
	}
	if v.freeMemory[best] >= m.Memory {
		v.load(best, modelSlot(m), m.Memory, ReasonDemand)
		return true
	}
	p.evict(v, best, m.Memory)
	return false
}

// obtainableMemory returns the memory of engine e that is free, being freed, or held by
// surplus replicas.
func (p *Greedy) obtainableMemory(v *view, e int) bundle.MiB {
	sum := v.freeMemory[e] + v.memoryBeingFreed[e]
	for _, r := range v.Engines[e].Replicas {
		if p.isSurplus(v, r) {
			sum += r.Memory
		}
	}
	return sum
}

func (p *Greedy) isSurplus(v *view, r Replica) bool {
	m := v.modelIndex(r.Slot.Model)
	return r.State == Ready && r.Slot.Adapter == "" && m >= 0 &&
		p.surplus(v, v.Models[m]) > 0 && v.readyReplicas(r.Slot.Model) > 1
}

// evict unloads surplus replicas of engine e until the given memory will be free.
func (p *Greedy) evict(v *view, e int, memory bundle.MiB) {
	for _, r := range slices.Clone(v.Engines[e].Replicas) {
		if v.freeMemory[e]+v.memoryBeingFreed[e] >= memory {
			return
		}
		if p.isSurplus(v, r) {
			v.unload(e, r.Slot, false, ReasonMemoryNeeded)
		}
	}
}

func (p *Greedy) unloadSurplus(v *view) {
	for e := range v.Engines {
		for _, r := range slices.Clone(v.Engines[e].Replicas) {
			if p.isSurplus(v, r) {
				v.unload(e, r.Slot, false, ReasonDemand)
			}
		}
	}
}

func unloadIdleAdapters(v *view) {
	for e := range v.Engines {
		for unloadIdleAdapter(v, e) {
		}
	}
}

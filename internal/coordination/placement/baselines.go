package placement

import (
	"cmp"
	"math"
	"slices"
	"time"

	"savoryweir/internal/state/bundle"
)

// Static places every model once, fills the rest of the memory with spare replicas and
// never moves for demand. It is a baseline of the benchmarks.
type Static struct{ steady *CostAware }

// NewStatic returns the static baseline.
func NewStatic(s Settings) *Static { return &Static{steady: NewCostAware(s)} }

// Decide implements Policy.
func (p *Static) Decide(_ time.Time, s Snapshot) []Action {
	v := newView(s)
	p.steady.restore(v)
	p.steady.addSpares(v)
	placeAdapters(v)
	return v.actions
}

// Greedy follows present demand: each model gets the replicas that its demand needs.
// It is a baseline of the benchmarks.
type Greedy struct {
	// Utilization is the share of an engine that one replica is meant to use.
	Utilization float64
	// Interval is the time between two decisions.
	Interval time.Duration
	// Eager unloads surplus replicas at once instead of when their memory is needed.
	Eager bool

	next time.Time
}

// Decide implements Policy.
func (p *Greedy) Decide(now time.Time, s Snapshot) []Action {
	v := newView(s)
	if now.Before(p.next) {
		return nil
	}
	p.next = now.Add(p.Interval)
	for _, m := range p.byDemand(v) {
		for p.surplus(v, m) < 0 && v.loads > 0 && p.load(v, m) {
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

func (p *Greedy) byDemand(v *view) []Model {
	sorted := slices.Clone(v.Models)
	slices.SortStableFunc(sorted, func(a, b Model) int {
		return cmp.Compare(p.priority(v, b), p.priority(v, a))
	})
	return sorted
}

// priority puts models without a replica first.
func (p *Greedy) priority(v *view, m Model) float64 {
	if v.replicas(m) == 0 {
		return math.Inf(1)
	}
	return m.Demand
}

// surplus returns how many replicas the model has beyond what its demand needs.
func (p *Greedy) surplus(v *view, m Model) int {
	wanted := max(1, m.MinReplicas, int(math.Ceil(m.Demand/p.Utilization)))
	usable := v.count(func(e Engine) bool { return e.Usable })
	return v.replicas(m) - min(wanted, usable)
}

// load places one replica on the engine with the most room, or frees memory of surplus ones.
func (p *Greedy) load(v *view, m Model) bool {
	best := -1
	for e, engine := range v.Engines {
		if !engine.Usable || engine.mentions(slotOf(m)) {
			continue
		}
		if best < 0 || p.room(v, e) > p.room(v, best) {
			best = e
		}
	}
	if best < 0 || p.room(v, best) < m.Memory {
		return false
	}
	if v.free[best] >= m.Memory {
		v.load(best, slotOf(m), m.Memory, ReasonDemand)
		return true
	}
	p.evict(v, best, m.Memory)
	return false
}

// room returns the memory that is free, being freed, or held by surplus replicas.
func (p *Greedy) room(v *view, e int) bundle.MiB {
	sum := v.free[e] + v.freeing[e]
	for _, i := range v.Engines[e].Replicas {
		if p.isSurplus(v, i) {
			sum += i.Memory
		}
	}
	return sum
}

func (p *Greedy) isSurplus(v *view, i Replica) bool {
	m := v.index(i.Slot.Model)
	return i.State == Ready && i.Slot.Adapter == "" && m >= 0 &&
		p.surplus(v, v.Models[m]) > 0 && v.readyReplicas(i.Slot.Model) > 1
}

// evict unloads surplus replicas until the memory will be enough.
func (p *Greedy) evict(v *view, e int, memory bundle.MiB) {
	for _, i := range slices.Clone(v.Engines[e].Replicas) {
		if v.free[e]+v.freeing[e] >= memory {
			return
		}
		if p.isSurplus(v, i) {
			v.unload(e, i.Slot, false, ReasonMemoryNeeded)
		}
	}
}

func (p *Greedy) unloadSurplus(v *view) {
	for e := range v.Engines {
		for _, i := range slices.Clone(v.Engines[e].Replicas) {
			if p.isSurplus(v, i) {
				v.unload(e, i.Slot, false, ReasonDemand)
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

package placement

import (
	"slices"

	"savoryweir/internal/state/bundle"
)

// relocate makes room for model m where free memory is in too small pieces: it loads another
// model of one engine a second time elsewhere. Once that is ready, the first replica can go.
func (p *CostAware) relocate(v *view, m int) placing {
	best, smallest := -1, bundle.MiB(0)
	for e := range v.Engines {
		other, underWay := p.obstacle(v, m, e)
		if underWay {
			return waiting
		}
		if other >= 0 && (best < 0 || v.Models[other].Memory < smallest) {
			best, smallest = other, v.Models[other].Memory
		}
	}
	if best < 0 || v.loads <= 0 {
		return impossible
	}
	return p.place(v, p.spare, p.candidates(v, best), ReasonMemoryNeeded)
}

// obstacle returns the smallest model whose replica on engine e has to go for model m and
// that another engine can take, or -1. It reports whether that has begun already.
func (p *CostAware) obstacle(v *view, m, e int) (other int, underWay bool) {
	engine := v.Engines[e]
	if !engine.Usable || !engine.FreesMemory || engine.mentions(slotOf(v.Models[m])) {
		return -1, false
	}
	other = -1
	need := v.Models[m].Memory - v.free[e] - v.freeing[e] - p.spareMemory(v, m, e)
	for _, i := range engine.Replicas {
		at := v.index(i.Slot.Model)
		isObstacle := i.State == Ready && i.Slot.Adapter == "" && at >= 0 && at != m && i.Memory >= need && !p.isSpare(v, i, m)
		if !isObstacle {
			continue
		}
		if v.hasPending(v.Models[at], e) {
			return -1, true
		}
		fits := slices.ContainsFunc(p.candidates(v, at), func(c Candidate) bool {
			return c.Engine != e && UsableFilter{}.Filter(v, c)
		})
		if fits && (other < 0 || i.Memory < v.Models[other].Memory) {
			other = at
		}
	}
	return other, false
}

// spareMemory returns the memory of the replicas on engine e that may go for model m.
func (p *CostAware) spareMemory(v *view, m, e int) bundle.MiB {
	var sum bundle.MiB
	for _, i := range v.Engines[e].Replicas {
		if p.isSpare(v, i, m) {
			sum += i.Memory
		}
	}
	return sum
}

// hasPending reports whether a replica of the model is loading on an engine other than e.
func (v *view) hasPending(m Model, e int) bool {
	for other, engine := range v.Engines {
		isLoading := slices.ContainsFunc(engine.Replicas, func(i Replica) bool { return i.Slot == slotOf(m) && i.State == Pending })
		if other != e && engine.Usable && isLoading {
			return true
		}
	}
	return false
}

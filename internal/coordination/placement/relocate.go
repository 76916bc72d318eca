package placement

import (
	"slices"

	"savoryweir/internal/state/bundle"
)

// relocate makes room for model m when free memory is fragmented, so that no engine has
// enough of it. It loads another model of one engine a second time elsewhere; once that
// replica is ready, the first one can be evicted. It prefers the smallest such model.
func (p *CostAware) relocate(v *view, m int) placeResult {
	best, smallestMemory := -1, bundle.MiB(0)
	for e := range v.Engines {
		other, inProgress := p.blockingModel(v, m, e)
		if inProgress {
			return waiting
		}
		if other >= 0 && (best < 0 || v.Models[other].Memory < smallestMemory) {
			best, smallestMemory = other, v.Models[other].Memory
		}
	}
	if best < 0 || v.loadsLeft <= 0 {
		return impossible
	}
	return p.place(v, p.sparePipeline, p.allCandidates(v, best), ReasonMemoryNeeded)
}

// blockingModel returns the smallest model whose replica must leave engine e to make room
// for model m and that another engine can take, or -1. inProgress reports whether a second
// replica of such a model is already loading elsewhere.
func (p *CostAware) blockingModel(v *view, m, e int) (other int, inProgress bool) {
	engine := v.Engines[e]
	if !engine.Usable || !engine.FreesMemory || engine.hasSlot(modelSlot(v.Models[m])) {
		return -1, false
	}
	other = -1
	need := v.Models[m].Memory - v.freeMemory[e] - v.memoryBeingFreed[e] - p.evictableMemory(v, m, e)
	for _, r := range engine.Replicas {
		index := v.modelIndex(r.Slot.Model)
		isBlocking := r.State == Ready && r.Slot.Adapter == "" && index >= 0 && index != m && r.Memory >= need && !p.isEvictable(v, r, m)
		if !isBlocking {
			continue
		}
		if v.hasPending(v.Models[index], e) {
			return -1, true
		}
		fits := slices.ContainsFunc(p.allCandidates(v, index), func(c Candidate) bool {
			return c.Engine != e && UsableFilter{}.Filter(v, c)
		})
		if fits && (other < 0 || r.Memory < v.Models[other].Memory) {
			other = index
		}
	}
	return other, false
}

// evictableMemory returns the memory of the replicas on engine e that may be evicted for model m.
func (p *CostAware) evictableMemory(v *view, m, e int) bundle.MiB {
	var sum bundle.MiB
	for _, r := range v.Engines[e].Replicas {
		if p.isEvictable(v, r, m) {
			sum += r.Memory
		}
	}
	return sum
}

// hasPending reports whether a replica of the model is loading on an engine other than e.
func (v *view) hasPending(m Model, e int) bool {
	for i, engine := range v.Engines {
		isLoading := slices.ContainsFunc(engine.Replicas, func(r Replica) bool { return r.Slot == modelSlot(m) && r.State == Pending })
		if i != e && engine.Usable && isLoading {
			return true
		}
	}
	return false
}

package rebalance

import (
	"cmp"
	"slices"
)

// placeAdapters loads adapters that have demand and no replica, then fills free slots
// with further replicas of the busiest adapters.
func (p *planner) placeAdapters() {
	replicas := make(map[AdapterKey]int)
	for i := range p.engines {
		for _, key := range p.engines[i].adapters() {
			if p.countsAsReplica(i, key) {
				replicas[key]++
			}
		}
	}
	byDemand := p.adaptersByDemand()
	for _, key := range byDemand {
		if replicas[key] == 0 && p.loadAdapter(key, replicas, true) {
			replicas[key]++
		}
	}
	for _, key := range byDemand {
		if replicas[key] > 0 && replicas[key] < p.replicaCount[key.Model] && p.loadAdapter(key, replicas, false) {
			replicas[key]++
		}
	}
}

// adapters returns the adapters that the engine holds or is loading, without those that it is about to unload.
func (st *engineState) adapters() []AdapterKey {
	var keys []AdapterKey
	for _, r := range st.Upstream.Models {
		for _, a := range r.Adapters {
			if key := (AdapterKey{Model: r.Model, Adapter: a}); !st.DrainingAdapters[key] {
				keys = append(keys, key)
			}
		}
	}
	return keys
}

// usedAdapterSlots returns the slots of adapters that the engine holds or is loading.
func (st *engineState) usedAdapterSlots() int {
	used := len(st.Upstream.LoadingAdapters)
	for _, r := range st.Upstream.Models {
		used += len(r.Adapters)
	}
	return used
}

// adaptersByDemand returns the adapters with demand: those with waiting requests first,
// then by descending request rate.
func (p *planner) adaptersByDemand() []AdapterKey {
	var keys []AdapterKey
	for key := range p.AdapterRates {
		keys = append(keys, key)
	}
	for key := range p.HasWaitingRequests {
		if _, counted := p.AdapterRates[key]; key.Adapter != "" && !counted {
			keys = append(keys, key)
		}
	}
	slices.SortFunc(keys, func(a, b AdapterKey) int {
		return cmp.Or(
			cmp.Compare(p.waitingPriority(b), p.waitingPriority(a)), cmp.Compare(p.AdapterRates[b], p.AdapterRates[a]),
			cmp.Compare(a.Model, b.Model), cmp.Compare(a.Adapter, b.Adapter),
		)
	})
	return keys
}

// waitingPriority returns 1 if requests wait for the adapter and 0 otherwise.
func (p *planner) waitingPriority(key AdapterKey) int {
	if p.HasWaitingRequests[key] {
		return 1
	}
	return 0
}

// loadAdapter plans the load of an adapter on the least utilized engine that holds its
// model and has a free slot. If there is none and mayEvict is set, it plans the unload of
// the adapter with the lowest eviction cost instead. It reports whether a load was planned.
func (p *planner) loadAdapter(key AdapterKey, replicas map[AdapterKey]int, mayEvict bool) bool {
	best, lowestUtilization := -1, 0.0
	for i := range p.engines {
		if !p.canLoadAdapter(i, key) || p.freeAdapterSlots(i) <= 0 {
			continue
		}
		if utilization := p.levels.utilization(i); best < 0 || utilization < lowestUtilization {
			best, lowestUtilization = i, utilization
		}
	}
	if best >= 0 {
		reason := ReasonFreeAdapterSlot
		if mayEvict {
			reason = ReasonNotResident
		}
		if p.HasWaitingRequests[key] {
			reason = ReasonRequestsWaiting
		}
		p.addAction(best, Action{Load: true, Model: key.Model, Adapter: key.Adapter, Reason: reason})
		return true
	}
	if mayEvict {
		p.evictAdapter(key, replicas)
	}
	return false
}

// canLoadAdapter reports whether engine i can accept an order to load the adapter now: it
// holds the model but not the adapter, and has memory for it.
func (p *planner) canLoadAdapter(i int, key AdapterKey) bool {
	st := &p.engines[i]
	if st.ordersBlocked || !st.models[key.Model] || !st.Upstream.Holds(key.Model, "") || st.Upstream.Holds(key.Model, key.Adapter) {
		return false
	}
	m := p.modelsByName[key.Model]
	return m != nil && st.freeMB >= m.AdapterMB
}

// freeAdapterSlots returns the adapter slots of engine i that are neither used nor
// reserved by an adapter that is being loaded.
func (p *planner) freeAdapterSlots(i int) int {
	return p.Class.AdapterSlots - p.engines[i].usedAdapterSlots()
}

// evictAdapter plans the unload of the adapter with the lowest eviction cost on an engine
// that holds the model of key. It plans nothing if that cost exceeds the demand for key,
// unless requests wait for key, or if a slot on such an engine is being freed.
func (p *planner) evictAdapter(key AdapterKey, replicas map[AdapterKey]int) {
	best, lowestCost := -1, 0.0
	var victim AdapterKey
	for i := range p.engines {
		if !p.canLoadAdapter(i, key) {
			continue
		}
		if p.engines[i].FreesAdapterSlot {
			return
		}
		for _, held := range p.engines[i].adapters() {
			evictionCost := p.AdapterRates[held] / float64(max(replicas[held], 1))
			if replicas[held] < 2 {
				evictionCost *= 2 // requests for the last replica would have to wait
			}
			if best < 0 || evictionCost < lowestCost {
				best, lowestCost, victim = i, evictionCost, held
			}
		}
	}
	if best < 0 || lowestCost > p.AdapterRates[key] && !p.HasWaitingRequests[key] {
		return
	}
	p.addAction(best, Action{Model: victim.Model, Adapter: victim.Adapter, Reason: ReasonMakeRoom})
	replicas[victim]--
}

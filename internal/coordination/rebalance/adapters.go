package rebalance

import (
	"cmp"
	"slices"
)

// placeAdapters loads adapters that are asked for and held nowhere, then fills
// free slots with further replicas of the busiest.
func (p *planner) placeAdapters() {
	replicas := make(map[AdapterKey]int)
	for i := range p.states {
		for _, key := range p.states[i].adapters() {
			replicas[key]++
		}
	}
	wanted := p.adaptersByDemand()
	for _, key := range wanted {
		if replicas[key] == 0 && p.loadAdapter(key, replicas, true) {
			replicas[key]++
		}
	}
	for _, key := range wanted {
		if replicas[key] > 0 && replicas[key] < p.replica[key.Model] && p.loadAdapter(key, replicas, false) {
			replicas[key]++
		}
	}
}

// adapters returns the adapters that the engine holds or is fetching.
func (st *engineState) adapters() []AdapterKey {
	var keys []AdapterKey
	for _, r := range st.Upstream.Models {
		for _, a := range r.Adapters {
			keys = append(keys, AdapterKey{Model: r.Model, Adapter: a})
		}
	}
	return keys
}

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
			cmp.Compare(p.urgency(b), p.urgency(a)), cmp.Compare(p.AdapterRates[b], p.AdapterRates[a]),
			cmp.Compare(a.Model, b.Model), cmp.Compare(a.Adapter, b.Adapter),
		)
	})
	return keys
}

func (p *planner) urgency(key AdapterKey) int {
	if p.HasWaitingRequests[key] {
		return 1
	}
	return 0
}

// loadAdapter orders an adapter on the engine with the least work that holds its
// model and has a free slot; mayEvict lets it unload the least used adapter first.
func (p *planner) loadAdapter(key AdapterKey, replicas map[AdapterKey]int, mayEvict bool) bool {
	best, bestLoad := -1, 0.0
	for i := range p.states {
		if !p.fitsAdapter(i, key) || p.freeSlots(i) <= 0 {
			continue
		}
		if load := p.load(i); best < 0 || load < bestLoad {
			best, bestLoad = i, load
		}
	}
	if best >= 0 {
		why := ReasonFreeAdapterSlot
		if mayEvict {
			why = ReasonNotResident
		}
		if p.HasWaitingRequests[key] {
			why = ReasonRequestsWaiting
		}
		p.act(best, Action{Load: true, Model: key.Model, Adapter: key.Adapter, Reason: why})
		return true
	}
	if mayEvict {
		p.evictAdapter(key, replicas)
	}
	return false
}

// fitsAdapter reports whether the engine takes an order for an adapter now.
func (p *planner) fitsAdapter(i int, key AdapterKey) bool {
	st := &p.states[i]
	if st.used || !st.models[key.Model] || !st.Upstream.Holds(key.Model, "") || st.Upstream.Holds(key.Model, key.Adapter) {
		return false
	}
	m := p.byName[key.Model]
	return m != nil && st.free >= m.AdapterMB
}

func (p *planner) freeSlots(i int) int {
	return p.Class.AdapterSlots - len(p.states[i].adapters()) - len(p.states[i].Upstream.LoadingAdapters)
}

// evictAdapter unloads the adapter that is missed least on an engine that holds
// the model of key.
func (p *planner) evictAdapter(key AdapterKey, replicas map[AdapterKey]int) {
	best, leastMissed := -1, 0.0
	var victim AdapterKey
	for i := range p.states {
		if !p.fitsAdapter(i, key) {
			continue
		}
		for _, held := range p.states[i].adapters() {
			missed := p.AdapterRates[held] / float64(max(replicas[held], 1))
			if replicas[held] < 2 {
				missed *= 2 // the last replica: its requests would wait
			}
			if best < 0 || missed < leastMissed {
				best, leastMissed, victim = i, missed, held
			}
		}
	}
	if best < 0 || leastMissed > p.AdapterRates[key] && !p.HasWaitingRequests[key] {
		return
	}
	p.act(best, Action{Model: victim.Model, Adapter: victim.Adapter, Reason: ReasonMakeRoom})
	replicas[victim]--
}

package rebalance

import (
	"cmp"
	"iter"
	"math"
	"slices"
	"time"

	"savoryweir/internal/state/fleet"
)

const (
	// minGainFromStore and minGainFromDisk are the minimum gains for which a further replica
	// is loaded, in squared utilization of an engine. A load from the store needs a higher
	// gain: it takes seconds, during which demand shifts, and counts against the rate
	// limit of all engines.
	minGainFromStore = 0.12
	minGainFromDisk  = 0.08
	// storeLoadPenalty is the cost that ranks a load from the weight store behind one from
	// disk where requests wait for a model. A load from the store takes five times as long.
	storeLoadPenalty = 0.5
	// busyThreshold is the utilization above which requests wait noticeably for one
	// another. busyExcessWeight is the weight of the squared excess in the cost.
	busyThreshold    = 0.5
	busyExcessWeight = 4.0
	// maxReplicaCandidates limits the models for which one search considers a further
	// replica, so that the search does not grow with the models.
	maxReplicaCandidates = 16
	// minUtilization is the utilization assumed for a model without requests, so that
	// idle models do not lose all their replicas.
	minUtilization = 0.0005
	// idleThreshold is the utilization up to which a model counts as idle: that of one
	// request about ten seconds ago.
	idleThreshold = 0.005
	// lastReplicaCost is the cost of evicting the last replica of an idle model, in
	// squared utilization: the next request for the model waits for a load from disk.
	lastReplicaCost = 0.2
	// absentUtilizationWeight is the cost per utilization of a model whose last replica
	// is evicted: each of its requests waits for about a second, which is several times
	// its latency target.
	absentUtilizationWeight = 4.0
	// adapterSlotTime is how long a request occupies an adapter slot: the duration of a
	// long response.
	adapterSlotTime = 2 * time.Second
	// demandHorizon is the time for which the demand of the moment is counted on. A load pays
	// off only in the part of it that is left when the replica serves.
	demandHorizon = 20 * time.Second
	// drainTime is the time in which the requests that run on a model in use end, so that it
	// can be unloaded.
	drainTime = 3 * time.Second
	// fullSlotsUtilization is the utilization assumed for an engine whose adapter slots
	// are all in use.
	fullSlotsUtilization = 0.4
)

// modelUtilization returns the share of one engine's capacity that a model's requests
// need. It exceeds 1 if the model needs more than one engine.
func (p *planner) modelUtilization(model string) float64 {
	return max(p.TokenRates[model]/max(p.PrefillRates[model], 1), p.adapterUtilization[model], minUtilization)
}

// computeAdapterUtilization computes the adapter slots that each model's requests occupy, and
// the utilization by them.
func (p *planner) computeAdapterUtilization() {
	p.adapterUtilization, p.adaptersInUse = make(map[string]float64), make(map[string]float64)
	for key, rate := range p.AdapterRates {
		occupied := 1 - math.Exp(-rate*adapterSlotTime.Seconds())
		p.adaptersInUse[key.Model] += occupied
		p.adapterUtilization[key.Model] += occupied * fullSlotsUtilization / float64(max(p.Class.AdapterSlots, 1))
	}
}

// utilizationCost returns the cost of an engine's utilization. It grows with the square of
// the utilization, and faster above busyThreshold.
func utilizationCost(utilization float64) float64 {
	excess := max(utilization-busyThreshold, 0)
	return utilization*utilization + busyExcessWeight*excess*excess
}

// placeModels loads the missing models that have demand, then further replicas of busy
// models, then the missing models without demand unless engines are still being discovered.
func (p *planner) placeModels() {
	missing := p.missingModels()
	for _, m := range missing {
		if p.hasDemand(m) {
			p.loadMissing(m, p.displacesBusierModel)
		}
	}
	for p.addReplica() {
	}
	for _, m := range missing {
		if !p.EnginesIncomplete && !p.hasDemand(m) && p.StoreLoadBudget > p.reservedStoreLoads() {
			p.loadMissing(m, p.displacesUsefulModel)
		}
	}
}

// displacesBusierModel reports whether the load evicts the last replica of a model with at
// least as much demand, so that only a different model would be missing.
func (p *planner) displacesBusierModel(opt loadOption, m *fleet.Model) bool {
	return opt.evict != "" && p.residentCount[opt.evict] < 2 && p.TokenRates[opt.evict] >= p.TokenRates[m.Name]
}

// displacesUsefulModel reports whether the load of a model without demand evicts the last
// replica of a model or a model in use, or takes the weight store or another model's place
// although some engine could load m from its own copy within a second.
func (p *planner) displacesUsefulModel(opt loadOption, m *fleet.Model) bool {
	if (opt.evict != "" || !opt.fromDisk) && p.hasLocalCopyAnywhere(m.Name) {
		return true
	}
	return opt.evict != "" && (p.residentCount[opt.evict] < 2 || p.modelUtilization(opt.evict) > idleThreshold || p.leavesAdaptersWithoutSlots(opt.evict))
}

// leavesAdaptersWithoutSlots reports whether the other replicas of a model have too few slots
// for its adapters in use once one is evicted.
func (p *planner) leavesAdaptersWithoutSlots(model string) bool {
	left := float64((p.residentCount[model] - 1) * p.Class.AdapterSlots)
	return p.adaptersInUse[model] > left
}

// hasLocalCopyAnywhere reports whether some engine can load a model from its own copy.
func (p *planner) hasLocalCopyAnywhere(model string) bool {
	for i := range p.engines {
		if p.engines[i].Upstream.HasLocalCopy(model) {
			return true
		}
	}
	return false
}

// hasDemand reports whether a model has demand or requests wait for it.
func (p *planner) hasDemand(m *fleet.Model) bool {
	return p.TokenRates[m.Name] > 0 || p.HasWaitingRequests[AdapterKey{Model: m.Name}]
}

// reservedStoreLoads returns the number of loads from the weight store that are kept for
// models with demand: the loads of one second.
func (p *planner) reservedStoreLoads() int { return int(math.Ceil(p.Class.LoadsPerSecond)) }

// missingModels returns the models that no engine holds or loads: those with waiting
// requests first, then by descending demand.
func (p *planner) missingModels() []*fleet.Model {
	var missing []*fleet.Model
	for i := range p.Class.Models {
		if m := &p.Class.Models[i]; p.replicaCount[m.Name] == 0 {
			missing = append(missing, m)
		}
	}
	waitingRank := func(m *fleet.Model) int {
		if p.HasWaitingRequests[AdapterKey{Model: m.Name}] {
			return 0
		}
		return 1
	}
	slices.SortStableFunc(missing, func(a, b *fleet.Model) int {
		return cmp.Or(cmp.Compare(waitingRank(a), waitingRank(b)), cmp.Compare(p.TokenRates[b.Name], p.TokenRates[a.Name]))
	})
	return missing
}

// loadOption is a way to load a model: on which engine, and after evicting which model.
type loadOption struct {
	engine   int
	evict    string
	fromDisk bool
	gain     float64
}

// loadMissing plans the load of a model that no engine holds. It takes the option with the
// highest gain of those that isExcluded does not exclude.
func (p *planner) loadMissing(m *fleet.Model, isExcluded func(loadOption, *fleet.Model) bool) {
	best, found := loadOption{}, false
	for i := range p.engines {
		for opt := range p.loadOptions(i, m) {
			if isExcluded(opt, m) {
				continue
			}
			adding, evicting := p.levels.gain(opt, m.Name)
			opt.gain = adding + evicting
			if !opt.fromDisk {
				opt.gain -= storeLoadPenalty
			}
			if !found || opt.gain > best.gain {
				best, found = opt, true
			}
		}
	}
	if !found {
		return
	}
	reason := ReasonNotResident
	if p.HasWaitingRequests[AdapterKey{Model: m.Name}] {
		reason = ReasonRequestsWaiting
	}
	p.apply(best, m, reason)
}

// loadOptions yields the options to load a model on engine i: without an eviction if the
// engine has enough free memory, otherwise one for each model whose eviction frees enough.
func (p *planner) loadOptions(i int, m *fleet.Model) iter.Seq[loadOption] {
	return func(yield func(loadOption) bool) {
		st := &p.engines[i]
		if st.IsLimited || st.ordersBlocked || st.modelOrdersBlocked || st.LoadingModel != "" || st.models[m.Name] || st.Upstream.Holds(m.Name, "") {
			return
		}
		fromDisk := st.Upstream.HasLocalCopy(m.Name)
		if !fromDisk && p.StoreLoadBudget <= 0 {
			return
		}
		p.evaluatedEngines++
		freeMB := st.freeMB - p.adapterReserveMB
		if freeMB >= m.WeightsMB {
			yield(loadOption{engine: i, fromDisk: fromDisk})
			return
		}
		for _, r := range st.Upstream.Models {
			evicted := p.modelsByName[r.Model]
			if evicted == nil || st.RecentlyLoaded[r.Model] || !st.models[r.Model] || freeMB+evicted.WeightsMB < m.WeightsMB {
				continue
			}
			if !yield(loadOption{engine: i, evict: r.Model, fromDisk: fromDisk}) {
				return
			}
		}
	}
}

// addReplica plans the further replica with the highest gain after the minimum gain is
// subtracted. It reports whether there was one with a positive remainder.
func (p *planner) addReplica() bool {
	var best loadOption
	var bestModel *fleet.Model
	for _, m := range p.busiestModels() {
		for i := range p.engines {
			for opt := range p.loadOptions(i, m) {
				if opt.evict != "" && !p.mayYield(opt) {
					continue
				}
				opt.gain = p.replicaGain(opt, m)
				if opt.gain > best.gain {
					best, bestModel = opt, m
				}
			}
		}
	}
	if bestModel == nil {
		return false
	}
	p.apply(best, bestModel, ReasonRebalance)
	return true
}

// replicaGain returns the gain of a load option for a further replica of a model, less the
// minimum gain. The eviction counts for all of demandHorizon, the replica from its load on.
func (p *planner) replicaGain(opt loadOption, m *fleet.Model) float64 {
	delay, minGain := m.LoadTime, minGainFromStore
	if opt.fromDisk {
		delay, minGain = m.DiskLoadTime, minGainFromDisk
	}
	if opt.evict != "" {
		if _, moved, _ := p.levels.othersServing(opt); moved > idleThreshold {
			delay += drainTime
		}
	}
	adding, evicting := p.levels.gain(opt, m.Name)
	return adding*max(1-delay.Seconds()/demandHorizon.Seconds(), 0) + evicting - minGain
}

// mayYield reports whether the model that a load option evicts may make room for a further
// replica of another one.
func (p *planner) mayYield(opt loadOption) bool {
	if p.residentCount[opt.evict] < 2 {
		return p.canEvictLastReplica(opt.engine, opt.evict)
	}
	if _, moved, _ := p.levels.othersServing(opt); moved > idleThreshold && p.levels.levelWithout(opt) > p.levels.mean {
		return false
	}
	return !p.leavesAdaptersWithoutSlots(opt.evict)
}

// canEvictLastReplica reports whether the last replica of a model may be evicted from an
// engine: the model is idle and the engine can load it again from its own copy within
// about a second.
func (p *planner) canEvictLastReplica(engine int, model string) bool {
	return p.modelUtilization(model) <= idleThreshold && !p.HasWaitingRequests[AdapterKey{Model: model}] && p.engines[engine].Upstream.HasLocalCopy(model)
}

// busiestModels returns up to maxReplicaCandidates models whose further replica promises the
// highest gain, in descending order.
func (p *planner) busiestModels() []*fleet.Model {
	var busy []*fleet.Model
	promise := make(map[*fleet.Model]float64)
	for i := range p.Class.Models {
		m := &p.Class.Models[i]
		if p.replicaCount[m.Name] == 0 || p.modelUtilization(m.Name) <= minUtilization {
			continue
		}
		if promise[m] = p.levels.bestGain(m.Name); promise[m] > minGainFromDisk {
			busy = append(busy, m)
		}
	}
	slices.SortStableFunc(busy, func(a, b *fleet.Model) int { return cmp.Compare(promise[b], promise[a]) })
	return busy[:min(len(busy), maxReplicaCandidates)]
}

// apply plans the load of an option, or the unload that frees memory for it; in that case
// the load follows in a later plan, once the memory is free.
func (p *planner) apply(opt loadOption, m *fleet.Model, reason Reason) {
	st := &p.engines[opt.engine]
	if opt.evict != "" {
		p.addAction(opt.engine, Action{Model: opt.evict, MakesRoomFor: m.Name, Reason: ReasonMakeRoom})
		delete(st.models, opt.evict)
		p.replicaCount[opt.evict]--
		p.residentCount[opt.evict]--
	} else {
		p.addAction(opt.engine, Action{Load: true, Model: m.Name, FromDisk: opt.fromDisk, Reason: reason})
	}
	if !opt.fromDisk {
		p.StoreLoadBudget--
	}
	st.models[m.Name] = true
	p.replicaCount[m.Name]++
	p.levels.replace(opt, m.Name)
}

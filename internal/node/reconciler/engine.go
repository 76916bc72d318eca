package reconciler

import (
	"slices"
	"time"

	"savoryweir/internal/coordination/rebalance"
	"savoryweir/internal/node/registry"
	"savoryweir/internal/state/fleet"
	"savoryweir/platform"
)

// engineState is what the reconciler knows about one incarnation of an engine. Orders
// to an engine are sent one after another; each is conditional on the number of orders
// that the engine has accepted before.
type engineState struct {
	upstream          fleet.Upstream       // as last reported by the engine, with the orders accepted since
	confirmed         bool                 // the state was read from the engine in this term
	inFlight          bool                 // an order or a report request is in progress
	backoffUntil      time.Time            // no order is sent before this time
	unreachableSince  time.Time            // time of the first failed report; zero while reports succeed
	reportRequestedAt time.Time            // time of the last report request
	lastOrderAt       time.Time            // time of the last order that increased the engine's order count
	maybeAccepted     uint64               // order count if the last order was counted, zero if that is known
	loading           string               // model that is being loaded, or for which memory is being freed
	pending           *rebalance.Action    // order for a model that the engine is carrying out
	pendingDeadline   time.Time            // time by which the pending order should be complete
	drainingModels    map[string]time.Time // time at which the unload of a model was announced
	loadOrderedAt     map[string]time.Time // time at which the load of a resident or loading model was ordered
	// unresolvedUnloads are unloads of which only a report can show whether the engine carries
	// them out. Until then they stay announced.
	unresolvedUnloads map[registry.ResidentKey]unresolvedUnload
	// unloadingAdapters are adapters whose unload the engine has accepted and not completed: they keep their slots
	// until no request uses them.
	unloadingAdapters map[rebalance.AdapterKey]time.Time // time of the order
	// unloadedBefore are adapters that an earlier order may be unloading, which reports do not show.
	unloadedBefore map[rebalance.AdapterKey]bool
	loadedInTerm   map[rebalance.AdapterKey]bool // adapters loaded by orders of this term, so that no earlier one unloads them
	entryModels    []fleet.ResidentModel         // in the last entry that was merged
	changedAt      time.Time                     // when an entry last listed other models than known
}

// unresolvedUnload is an unload that conflicted, or whose response was lost.
type unresolvedUnload struct {
	mayBeAccepted  bool      // an attempt got no response
	expectedOrders uint64    // number of orders that the engine must have accepted before
	sentAt         time.Time // time of the last attempt
}

// modelUnloadDelay is the delay between the announcement that a model will be unloaded
// from an engine and the unload order, so that requests already on their way to the
// engine still find the model.
const modelUnloadDelay = 150 * time.Millisecond

// adapterUnloadDelay is the same delay for adapters. It covers the delivery of the
// announcement datagram only, since adapters receive few requests.
const adapterUnloadDelay = 10 * time.Millisecond

// orderGracePeriod is the time beyond the load time of a model after which the engine
// is asked for the outcome of the order.
const orderGracePeriod = time.Second

// minResidency is the shortest time for which a loaded model stays on its engine: twice
// the duration of a load from the weight store.
const minResidency = 8 * time.Second

// adapterReleaseTime is how long an adapter that is being unloaded may be in use before another one is unloaded for
// its slot: about the time until a report shows that it still is.
const adapterReleaseTime = 500 * time.Millisecond

// formerOrderPeriod is the time after the start of a term in which orders of an earlier holder may still be carried
// out or be in progress: an order may be late by seconds, and an unload waits for the requests in progress.
const formerOrderPeriod = 30 * time.Second

const (
	// unreachableGracePeriod is how long an engine that does not report is still included
	// in plans: a crashed engine usually restarts within this time and loads its models
	// from its own copies.
	unreachableGracePeriod = 2500 * time.Millisecond
	// suspectFailureRatio is the share of failed requests above which an engine is asked
	// for its state, at most once per suspectCheckInterval.
	suspectFailureRatio  = 0.5
	suspectCheckInterval = time.Second
)

// isUnreachable reports whether an engine is considered gone although its store entry
// still exists.
func (e *engineState) isUnreachable(now time.Time) bool {
	return !e.unreachableSince.IsZero() && now.Sub(e.unreachableSince) > unreachableGracePeriod
}

// mergeEntry applies a newer version of the engine's store entry. What reports and orders have shown is kept: an entry
// may have been written before the orders that the engine has accepted, and room that it shows free may be taken. A
// model that is being loaded is there once an entry lists it after one that did not. If other models differ, the engine
// has to report before its next order.
func (e *engineState) mergeEntry(entry *fleet.Upstream, now time.Time) {
	if entry.EntryVersion <= e.upstream.EntryVersion || e.inFlight {
		return
	}
	known, isConfirmed, listedBefore := e.upstream, e.confirmed, e.entryModels
	isSameEra := entry.EntryVersion.Era() == known.EntryVersion.Era()
	e.upstream, e.entryModels = *entry, entry.Models
	e.upstream.AcceptedOrders, e.upstream.LoadingAdapters, e.upstream.OrderInProgress = known.AcceptedOrders, known.LoadingAdapters, known.OrderInProgress
	if isConfirmed {
		e.upstream.Models = known.Models
	}
	if isConfirmed && isSameEra && e.pending != nil && e.pending.Load && !lists(listedBefore, e.pending.Model) && lists(entry.Models, e.pending.Model) {
		e.upstream.Models = append(slices.Clone(known.Models), fleet.ResidentModel{Model: e.pending.Model})
		e.upstream.OrderInProgress = false
		e.clearCompleted()
	}
	if !isSameEra || !listSameModels(entry.Models, e.upstream.Models) {
		e.confirmed, e.changedAt = false, now
	}
}

// lists reports whether a list has a model.
func lists(models []fleet.ResidentModel, name string) bool {
	return slices.ContainsFunc(models, func(m fleet.ResidentModel) bool { return m.Model == name })
}

// listSameModels reports whether two lists name the same models, with whatever adapters.
func listSameModels(a, b []fleet.ResidentModel) bool {
	names := func(models []fleet.ResidentModel) []string {
		var list []string
		for _, m := range models {
			list = append(list, m.Model)
		}
		slices.Sort(list)
		return list
	}
	return slices.Equal(names(a), names(b))
}

// clearCompleted removes the pending order, the load and the unloads that the engine's
// state shows to be complete.
func (e *engineState) clearCompleted() {
	if e.pending != nil && e.upstream.Holds(e.pending.Model, "") == e.pending.Load {
		e.pending = nil
	}
	if e.loading != "" && e.upstream.Holds(e.loading, "") {
		e.loading = ""
	}
	for model := range e.drainingModels {
		if !e.upstream.Holds(model, "") {
			delete(e.drainingModels, model)
		}
	}
}

// snapshot returns the engine's state as input for a plan.
func (e *engineState) snapshot(now time.Time) rebalance.Engine {
	engine := rebalance.Engine{
		Upstream:      &e.upstream,
		AcceptsOrders: e.confirmed && !e.inFlight && !e.upstream.Draining && now.After(e.backoffUntil),
		HasModelOrder: e.pending != nil || e.upstream.OrderInProgress,
		LoadingModel:  e.loading, Draining: make(map[string]bool, len(e.drainingModels)),
	}
	for model := range e.drainingModels {
		engine.Draining[model] = true
	}
	engine.DrainingAdapters = make(map[rebalance.AdapterKey]bool, len(e.unloadingAdapters))
	for key, at := range e.unloadingAdapters {
		engine.DrainingAdapters[key] = true
		engine.FreesAdapterSlot = engine.FreesAdapterSlot || now.Sub(at) < adapterReleaseTime
	}
	engine.RecentlyLoaded = make(map[string]bool)
	for model, at := range e.loadOrderedAt {
		if now.Sub(at) < minResidency {
			engine.RecentlyLoaded[model] = true
		}
	}
	return engine
}

// recordAdapterChange records that the engine has loaded or unloaded an adapter.
func (e *engineState) recordAdapterChange(model, adapter string, load bool) {
	for i := range e.upstream.Models {
		r := &e.upstream.Models[i]
		if r.Model != model {
			continue
		}
		adapters := slices.DeleteFunc(slices.Clone(r.Adapters), func(a string) bool { return a == adapter })
		if load {
			adapters = append(adapters, adapter)
		}
		models := slices.Clone(e.upstream.Models)
		models[i].Adapters = adapters
		e.upstream.Models = models
		return
	}
}

// isCounted reports whether an order that the engine has accepted has raised its order count for certain. An engine accepts
// the unload of an adapter once more while it carries out an earlier one, of this holder or a former one, without
// counting it; all other orders in progress are in its reports. Nobody unloads an adapter that this holder has loaded.
func (e *engineState) isCounted(a rebalance.Action, mayHaveFormerOrders bool) bool {
	isAdapterUnload := a.Adapter != "" && !a.Load
	key := a.AdapterKey()
	return !isAdapterUnload || !e.unloadedBefore[key] && (!mayHaveFormerOrders || e.loadedInTerm[key])
}

// recordAdapterUnload records the result of an order to unload an adapter.
func (e *engineState) recordAdapterUnload(key rebalance.AdapterKey, result platform.OrderResult, now time.Time) {
	if e.unloadedBefore == nil {
		e.unloadedBefore, e.unloadingAdapters = make(map[rebalance.AdapterKey]bool), make(map[rebalance.AdapterKey]time.Time)
	}
	e.unloadedBefore[key] = true
	switch result {
	case platform.OrderAccepted:
		e.unloadingAdapters[key] = now
	case platform.OrderAlreadyApplied:
		e.forgetUnload(key)
		e.recordAdapterChange(key.Model, key.Adapter, false)
	case platform.OrderUnknown, platform.OrderConflict, platform.OrderRejected:
	}
}

// recordLoadInTerm records that an order of this term has loaded an adapter.
func (e *engineState) recordLoadInTerm(key rebalance.AdapterKey) {
	if e.loadedInTerm == nil {
		e.loadedInTerm = make(map[rebalance.AdapterKey]bool)
	}
	e.loadedInTerm[key] = true
}

// forgetUnload records that the engine no longer holds an adapter.
func (e *engineState) forgetUnload(key rebalance.AdapterKey) {
	delete(e.unloadingAdapters, key)
	delete(e.unloadedBefore, key)
	delete(e.loadedInTerm, key)
}

// addUnresolvedUnload records an unload without a known outcome. The model doesn't count as a
// replica meanwhile.
func (e *engineState) addUnresolvedUnload(key registry.ResidentKey, u unresolvedUnload, now time.Time) {
	if e.unresolvedUnloads == nil {
		e.unresolvedUnloads = make(map[registry.ResidentKey]unresolvedUnload)
	}
	e.unresolvedUnloads[key] = u
	if key.Adapter == "" {
		e.drainingModels[key.Model] = u.sentAt
	}
	e.backoffUntil = now.Add(orderBackoff / 2)
}

// resolveUnloads decides the unloads without a known outcome by a report that was applied, and
// returns the models and adapters that stay loaded. If the report may be older than one of the
// unloads, the engine has to report again before its next order.
func (e *engineState) resolveUnloads(report fleet.Upstream, requestedAt, now time.Time) []registry.ResidentKey {
	var loaded []registry.ResidentKey
	for key, u := range e.unresolvedUnloads {
		// Once the engine has accepted an order with the same expected count, it accepts this one no more.
		isCounted := report.AcceptedOrders > u.expectedOrders
		switch {
		case !report.Holds(key.Model, key.Adapter):
			delete(e.unresolvedUnloads, key)
		case !isCounted && requestedAt.Sub(u.sentAt) < maxReportAge:
			e.confirmed = false
			e.backoffUntil = now.Add(orderBackoff / 2)
		case isCounted && u.mayBeAccepted && report.OrderInProgress && key.Adapter == "":
			e.pending = &rebalance.Action{Model: key.Model} // the order in progress may be the unload
		default:
			delete(e.unresolvedUnloads, key)
			if key.Adapter == "" {
				delete(e.drainingModels, key.Model)
			}
			loaded = append(loaded, key)
		}
	}
	return loaded
}

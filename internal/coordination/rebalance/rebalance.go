// Package rebalance decides which models and adapters engines load and unload as
// demand shifts between models. It adds replicas of busy models so that more engines
// share their load, keeps every model available, and keeps loads from the weight
// store below the store's rate limit.
package rebalance

import (
	"time"

	"savoryweir/internal/state/fleet"
)

// AdapterKey names an adapter of a model.
type AdapterKey struct{ Model, Adapter string }

// Engine is the state of one engine as known to the instance that may send orders.
type Engine struct {
	Upstream      *fleet.Upstream
	AcceptsOrders bool   // the engine is not draining and none of our orders to it is in flight
	IsLimited     bool   // the engine limits its requests, so that it serves a part of the demand only
	HasModelOrder bool   // an order for a model is in progress; adapter orders are still possible
	LoadingModel  string // model that is being loaded or that memory is being freed for; empty for none
	// Draining holds the models that are about to be unloaded. Instances no longer
	// send requests for them to this engine.
	Draining map[string]bool
	// DrainingAdapters holds the adapters that the engine unloads as soon as no request uses them. They keep their
	// slots until then.
	DrainingAdapters map[AdapterKey]bool
	FreesAdapterSlot bool // one of them is expected to be gone within moments
	// RecentlyLoaded holds the models that were loaded a short time ago. They are not
	// evicted, so that noise in the demand does not cause repeated loads and unloads.
	RecentlyLoaded map[string]bool
	// Slowness is the time that work takes on the engine against the mean of its service. Zero
	// stands for 1.
	Slowness float64
}

// Snapshot is the input of Plan: the engines of one service and the demand for its models.
type Snapshot struct {
	Class              *fleet.EngineClass
	Engines            []Engine
	TokenRates         map[string]float64     // demand in prompt tokens per second, by model
	AdapterRates       map[AdapterKey]float64 // demand in requests per second, by adapter
	HasWaitingRequests map[AdapterKey]bool    // models (with an empty adapter) and adapters that requests wait for
	StoreLoadBudget    int                    // number of loads from the weight store that may start now
	// EnginesIncomplete says that engines are still being discovered: a model that no known
	// engine holds may be on one of the others.
	EnginesIncomplete bool
	PrefillRates      map[string]float64 // prompt tokens per second that one engine can process, by model
}

// Action is an order to one engine to load or unload a model or an adapter.
type Action struct {
	Upstream     fleet.UpstreamID
	Load         bool // load if true, unload if false
	Model        string
	Adapter      string // empty if the action applies to the model itself
	MakesRoomFor string // model that an unload frees memory for
	FromDisk     bool   // the engine has its own copy, so the load does not count against the weight store
	Reason       Reason
}

// AdapterKey returns the key of the adapter that the action applies to.
func (a Action) AdapterKey() AdapterKey { return AdapterKey{Model: a.Model, Adapter: a.Adapter} }

// Reason explains why an action is taken.
type Reason string

// The reasons for actions.
const (
	ReasonRequestsWaiting Reason = "requests wait for it"
	ReasonNotResident     Reason = "no engine holds it"
	ReasonRebalance       Reason = "its engines have more work than others"
	ReasonMakeRoom        Reason = "makes room"
	ReasonFreeAdapterSlot Reason = "free adapter slot"
)

// DemandRetention is how long after its last request a model or adapter still has demand.
const DemandRetention = 20 * time.Second

// Plan returns the actions to take now, at most one per engine.
func Plan(s Snapshot) []Action {
	p := newPlanner(s)
	p.continueStartedLoads()
	p.placeModels()
	p.placeAdapters()
	return p.actions
}

// planner holds the working state of one call of Plan.
type planner struct {
	Snapshot
	engines            []engineState
	replicaCount       map[string]int     // engines that hold or load the model and do not drain it
	residentCount      map[string]int     // engines that hold the model now and do not drain it
	adapterUtilization map[string]float64 // utilization caused by the adapters of a model
	adaptersInUse      map[string]float64 // mean number of adapters of a model that requests use at once
	actions            []Action
	modelsByName       map[string]*fleet.Model
	adapterReserveMB   float64 // memory kept free for adapters
	evaluatedEngines   int     // engines considered for loads so far
	levels             *levels
}

// engineState is an engine with the effect of the actions planned so far.
type engineState struct {
	Engine
	models             map[string]bool // models held or loading after the planned actions
	freeMB             float64         // unused weights memory
	ordersBlocked      bool            // has an action in this plan or can't accept an order
	modelOrdersBlocked bool            // can't accept an order for a model
}

func newPlanner(s Snapshot) *planner {
	p := &planner{
		Snapshot: s, replicaCount: make(map[string]int), residentCount: make(map[string]int),
		modelsByName: make(map[string]*fleet.Model, len(s.Class.Models)),
	}
	p.indexModels()
	for _, e := range s.Engines {
		p.engines = append(p.engines, p.newEngineState(e))
	}
	for i := range p.engines {
		for m := range p.engines[i].models {
			if !p.countsAsReplica(i, AdapterKey{Model: m}) {
				continue
			}
			p.replicaCount[m]++
			if p.engines[i].Upstream.Holds(m, "") {
				p.residentCount[m]++
			}
		}
	}
	p.computeAdapterUtilization()
	p.levels = newLevels(p)
	return p
}

// countsAsReplica reports whether engine i serves the requests for what it holds. One that limits its
// requests does not while requests wait.
func (p *planner) countsAsReplica(i int, key AdapterKey) bool {
	return !p.engines[i].IsLimited || !p.HasWaitingRequests[key]
}

// newEngineState computes the free memory and the models of an engine. A draining model
// still takes memory but does not count as a replica.
func (p *planner) newEngineState(e Engine) engineState {
	st := engineState{Engine: e, models: make(map[string]bool), freeMB: p.Class.WeightsMB, ordersBlocked: !e.AcceptsOrders, modelOrdersBlocked: e.HasModelOrder}
	subtractWeights := func(name string) {
		if m := p.modelsByName[name]; m != nil {
			st.freeMB -= m.WeightsMB
		}
	}
	for _, r := range e.Upstream.Models {
		subtractWeights(r.Model)
		if m := p.modelsByName[r.Model]; m != nil {
			st.freeMB -= m.AdapterMB * float64(len(r.Adapters))
		}
		if !e.Draining[r.Model] {
			st.models[r.Model] = true
		}
	}
	if e.LoadingModel != "" && !e.Upstream.Holds(e.LoadingModel, "") {
		subtractWeights(e.LoadingModel)
		st.models[e.LoadingModel] = true
	}
	return st
}

// indexModels indexes the models by name and computes the memory to keep free for
// the adapters that an engine may load in addition to its models.
func (p *planner) indexModels() {
	largest := 0.0
	for i := range p.Class.Models {
		m := &p.Class.Models[i]
		p.modelsByName[m.Name] = m
		largest = max(largest, m.AdapterMB)
	}
	p.adapterReserveMB = largest * float64(p.Class.AdapterSlots)
}

// addAction plans an action for engine i, which gets no further action in this plan.
func (p *planner) addAction(i int, a Action) {
	a.Upstream = p.engines[i].Upstream.ID
	p.engines[i].ordersBlocked = true
	p.actions = append(p.actions, a)
}

// continueStartedLoads continues loads that earlier plans started: it unloads the models
// that are draining and loads the models that memory was freed for.
func (p *planner) continueStartedLoads() {
	for i := range p.engines {
		st := &p.engines[i]
		if st.ordersBlocked || st.modelOrdersBlocked {
			continue
		}
		if draining := st.firstDrainingModel(); draining != "" {
			p.addAction(i, Action{Model: draining, MakesRoomFor: st.LoadingModel, Reason: ReasonMakeRoom})
			continue
		}
		if st.LoadingModel == "" || st.Upstream.Holds(st.LoadingModel, "") {
			continue
		}
		st.modelOrdersBlocked = true // its memory is reserved for LoadingModel
		fromDisk := st.Upstream.HasLocalCopy(st.LoadingModel)
		if st.freeMB < 0 || !fromDisk && p.StoreLoadBudget <= 0 {
			continue
		}
		if !fromDisk {
			p.StoreLoadBudget--
		}
		p.addAction(i, Action{Load: true, Model: st.LoadingModel, FromDisk: fromDisk, Reason: ReasonRebalance})
	}
}

// firstDrainingModel returns the first model on the engine that is draining, or "".
func (st *engineState) firstDrainingModel() string {
	for _, r := range st.Upstream.Models {
		if st.Draining[r.Model] {
			return r.Model
		}
	}
	return ""
}

// Package steering decides which models and adapters engines load and unload. It
// answers demand that moves between models: engines that hold a busy model share
// its work, every model stays reachable, and loads from the weight store keep
// below its ceiling.
package rebalance

import (
	"time"

	"savoryweir/internal/state/fleet"
)

// AdapterKey names an adapter of a model.
type AdapterKey struct{ Model, Adapter string }

// Engine is one engine as the holder of orders knows it.
type Engine struct {
	Upstream      *fleet.Upstream
	AcceptsOrders bool   // takes orders: not leaving, and none of ours is under way
	HasModelOrder bool   // an order for a model is under way; adapters may still be ordered
	LoadingModel  string // model that is being loaded, or for which room is made; empty for none
	// Draining are models that no instance sends requests for any more, as they
	// are about to be unloaded.
	Draining map[string]bool
	// RecentlyLoaded are models that were loaded a short while ago; they are not evicted, so
	// that noise in the demand does not move models to and fro.
	RecentlyLoaded map[string]bool
}

// Snapshot is what a plan is made from.
type Snapshot struct {
	Class              *fleet.EngineClass
	Engines            []Engine
	TokenRates         map[string]float64     // prompt tokens a second, by model
	AdapterRates       map[AdapterKey]float64 // requests a second
	HasWaitingRequests map[AdapterKey]bool    // requests wait for these; an empty adapter names the model
	StoreLoadBudget    int                    // loads from the weight store that may begin now
	PrefillRates       map[string]float64     // prompt tokens that an engine reads in a second, by model
}

// Action is one order to an engine.
type Action struct {
	Upstream     fleet.UpstreamID
	Load         bool
	Model        string
	Adapter      string // empty for the model
	MakesRoomFor string // model for which an unload makes room
	FromDisk     bool   // the load does not count against the weight store
	Reason       Reason
}

// Reason tells why an action is taken.
type Reason string

// The reasons of actions.
const (
	ReasonRequestsWaiting Reason = "requests wait for it"
	ReasonNotResident     Reason = "no engine holds it"
	ReasonRebalance       Reason = "its engines have more work than others"
	ReasonMakeRoom        Reason = "makes room"
	ReasonFreeAdapterSlot Reason = "free adapter slot"
)

// DemandRetention is how long a model or adapter without requests counts as asked for.
const DemandRetention = 20 * time.Second

// Plan returns the orders to give now, at most one for each engine.
func Plan(s Snapshot) []Action {
	p := newPlanner(s)
	p.finishMoves()
	p.placeModels()
	p.placeAdapters()
	return p.actions
}

type planner struct {
	Snapshot
	states      []engineState
	replica     map[string]int     // engines that hold or load the model and take requests
	resident    map[string]int     // engines that hold the model now and take requests
	adapterWork map[string]float64 // utilization by the adapters of a model
	actions     []Action
	byName      map[string]*fleet.Model
	reserveMB   float64 // kept free for adapters
	weighed     int     // engines weighed for a load
}

type engineState struct {
	Engine
	models map[string]bool // that count as held after the actions planned so far
	free   float64         // MB
	used   bool            // has an order in this plan, or can't take one
	moving bool            // can't take an order for a model
}

func newPlanner(s Snapshot) *planner {
	p := &planner{
		Snapshot: s, replica: make(map[string]int), resident: make(map[string]int),
		byName: make(map[string]*fleet.Model, len(s.Class.Models)),
	}
	p.indexModels()
	for _, e := range s.Engines {
		p.states = append(p.states, p.state(e))
	}
	for i := range p.states {
		for m := range p.states[i].models {
			p.replica[m]++
			if p.states[i].Upstream.Holds(m, "") {
				p.resident[m]++
			}
		}
	}
	p.addAdapterWork()
	return p
}

func (p *planner) state(e Engine) engineState {
	st := engineState{Engine: e, models: make(map[string]bool), free: p.Class.WeightsMB, used: !e.AcceptsOrders, moving: e.HasModelOrder}
	add := func(name string) {
		if m := p.byName[name]; m != nil {
			st.free -= m.WeightsMB
		}
	}
	for _, r := range e.Upstream.Models {
		add(r.Model)
		if m := p.byName[r.Model]; m != nil {
			st.free -= m.AdapterMB * float64(len(r.Adapters))
		}
		if !e.Draining[r.Model] {
			st.models[r.Model] = true
		}
	}
	if e.LoadingModel != "" && !e.Upstream.Holds(e.LoadingModel, "") {
		add(e.LoadingModel)
		st.models[e.LoadingModel] = true
	}
	return st
}

// indexModels makes models known by name, and finds the room to keep for the
// adapters that an engine may load besides its models.
func (p *planner) indexModels() {
	largest := 0.0
	for i := range p.Class.Models {
		m := &p.Class.Models[i]
		p.byName[m.Name] = m
		largest = max(largest, m.AdapterMB)
	}
	p.reserveMB = largest * float64(p.Class.AdapterSlots)
}

func (p *planner) act(i int, a Action) {
	a.Upstream = p.states[i].Upstream.ID
	p.states[i].used = true
	p.actions = append(p.actions, a)
}

// finishMoves goes on with the moves that were begun: it unloads the models that
// are announced as leaving, and loads what room was made for.
func (p *planner) finishMoves() {
	for i := range p.states {
		st := &p.states[i]
		if st.used || st.moving {
			continue
		}
		if retired := st.retiredResident(); retired != "" {
			p.act(i, Action{Model: retired, MakesRoomFor: st.LoadingModel, Reason: ReasonMakeRoom})
			continue
		}
		if st.LoadingModel == "" || st.Upstream.Holds(st.LoadingModel, "") {
			continue
		}
		st.moving = true // reserved for the model that is coming
		disk := st.Upstream.HasLocalCopy(st.LoadingModel)
		if st.free < 0 || !disk && p.StoreLoadBudget <= 0 {
			continue
		}
		if !disk {
			p.StoreLoadBudget--
		}
		p.act(i, Action{Load: true, Model: st.LoadingModel, FromDisk: disk, Reason: ReasonRebalance})
	}
}

func (st *engineState) retiredResident() string {
	for _, r := range st.Upstream.Models {
		if st.Draining[r.Model] {
			return r.Model
		}
	}
	return ""
}

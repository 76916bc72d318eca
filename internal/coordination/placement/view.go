package placement

import (
	"slices"

	"savoryweir/internal/state/bundle"
	"savoryweir/internal/state/ledger"
)

// view is a snapshot to which the actions decided so far have been applied.
type view struct {
	Snapshot
	loadsLeft        int          // model loads that may still start
	adapterLoadsLeft int          // adapter loads that may still start
	freeMemory       []bundle.MiB // per engine
	memoryBeingFreed []bundle.MiB // per engine, memory that unloads in progress will free
	actions          []Action
}

func newView(s Snapshot) *view {
	v := &view{Snapshot: s, loadsLeft: s.Limits.ModelLoads, adapterLoadsLeft: s.Limits.AdapterLoads}
	for e := range s.Engines {
		engine := &v.Engines[e]
		engine.Replicas = slices.Clone(engine.Replicas)
		v.freeMemory = append(v.freeMemory, engine.Memory-engine.Allocated)
		v.memoryBeingFreed = append(v.memoryBeingFreed, 0)
		for _, r := range engine.Replicas {
			v.accountReplica(e, r)
		}
	}
	return v
}

func (v *view) accountReplica(e int, r Replica) {
	switch {
	case !v.Engines[e].isLive():
		// A load on a lost engine does not count against the limits of the weight store.
	case r.State == Unloading:
		v.memoryBeingFreed[e] += r.Memory
	case r.State == Pending && r.Slot.Adapter == "":
		v.loadsLeft--
	case r.State == Pending:
		v.adapterLoadsLeft--
	}
}

// load adds a load to the actions and applies it to the view.
func (v *view) load(e int, slot ledger.Slot, memory bundle.MiB, reason Reason) {
	engine := &v.Engines[e]
	engine.Replicas = append(engine.Replicas, Replica{Slot: slot, Memory: memory, State: Pending})
	v.freeMemory[e] -= memory
	if slot.Adapter == "" {
		v.loadsLeft--
	} else {
		v.adapterLoadsLeft--
	}
	v.actions = append(v.actions, Action{Action: ledger.Load, Engine: engine.ID, Slot: slot, Memory: memory, Reason: reason})
}

// unload adds an unload to the actions. Its memory becomes free only when the engine
// confirms the unload.
func (v *view) unload(e int, slot ledger.Slot, retired bool, reason Reason) {
	engine := &v.Engines[e]
	for i := range engine.Replicas {
		if engine.Replicas[i].Slot == slot {
			engine.Replicas[i].State = Unloading
			v.memoryBeingFreed[e] += engine.Replicas[i].Memory
		}
	}
	v.actions = append(v.actions, Action{Action: ledger.Unload, Engine: engine.ID, Slot: slot, Retired: retired, Reason: reason})
}

// holds reports whether the engine has a replica of the slot that is ready or loading.
func (e Engine) holds(slot ledger.Slot) bool {
	return slices.ContainsFunc(e.Replicas, func(r Replica) bool { return r.Slot == slot && r.State != Unloading })
}

// hasSlot reports whether the engine has a replica of the slot in any state, also one
// that is being unloaded.
func (e Engine) hasSlot(slot ledger.Slot) bool {
	return slices.ContainsFunc(e.Replicas, func(r Replica) bool { return r.Slot == slot })
}

// isLive reports whether the engine is usable or only briefly unresponsive, so that its
// replicas count as existing.
func (e Engine) isLive() bool { return e.Usable || e.Unresponsive }

// ready reports whether the engine is usable and has the slot ready.
func (e Engine) ready(slot ledger.Slot) bool {
	return e.Usable && slices.ContainsFunc(e.Replicas, func(r Replica) bool { return r.Slot == slot && r.State == Ready })
}

func modelSlot(m Model) ledger.Slot { return ledger.Slot{Model: m.ID, Version: m.Version} }

// replicas counts the live engines on which the version in force of a model is ready or loading.
func (v *view) replicas(m Model) int {
	return v.countEngines(func(e Engine) bool { return e.isLive() && e.holds(modelSlot(m)) })
}

// readyReplicas counts the engines on which any version of the model is ready.
func (v *view) readyReplicas(id bundle.ModelID) int {
	return v.countEngines(func(e Engine) bool {
		return e.Usable && slices.ContainsFunc(e.Replicas, func(r Replica) bool {
			return r.Slot.Model == id && r.Slot.Adapter == "" && r.State == Ready
		})
	})
}

// outdatedReplicas counts the engines on which a version of the model other than the one
// in force is ready.
func (v *view) outdatedReplicas(m Model) int {
	return v.countEngines(func(e Engine) bool {
		return e.Usable && slices.ContainsFunc(e.Replicas, func(r Replica) bool {
			return r.Slot.Model == m.ID && r.Slot.Adapter == "" && r.Slot.Version != m.Version && r.State == Ready
		})
	})
}

func (v *view) countEngines(match func(Engine) bool) int {
	n := 0
	for _, e := range v.Engines {
		if match(e) {
			n++
		}
	}
	return n
}

// assignment distributes demand, per model, over the replicas that are ready or pending.
func (v *view) assignment(demand []float64) *Assignment {
	compute := make([]float64, len(v.Engines))
	for e, engine := range v.Engines {
		if engine.isLive() {
			compute[e] = engine.Compute
		}
	}
	holds := make([][]bool, len(v.Models))
	for m, model := range v.Models {
		holds[m] = make([]bool, len(v.Engines))
		for e, engine := range v.Engines {
			holds[m][e] = engine.isLive() && engine.holds(modelSlot(model))
		}
	}
	return Assign(demand, compute, holds)
}

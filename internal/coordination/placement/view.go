package placement

import (
	"slices"

	"savoryweir/internal/state/bundle"
	"savoryweir/internal/state/ledger"
)

// view is a snapshot with the actions decided so far applied to it.
type view struct {
	Snapshot
	loads    int // model loads that may still begin
	adapters int // adapter loads that may still begin
	free     []bundle.MiB
	freeing  []bundle.MiB // memory that unloads under way will free
	actions  []Action
}

func newView(s Snapshot) *view {
	v := &view{Snapshot: s, loads: s.Limits.ModelLoads, adapters: s.Limits.AdapterLoads}
	for e := range s.Engines {
		engine := &v.Engines[e]
		engine.Replicas = slices.Clone(engine.Replicas)
		v.free = append(v.free, engine.Memory-engine.Allocated)
		v.freeing = append(v.freeing, 0)
		for _, i := range engine.Replicas {
			v.countItem(e, i)
		}
	}
	return v
}

func (v *view) countItem(e int, i Replica) {
	switch {
	case !v.Engines[e].counts():
		// a load on a lost engine takes no slot of the weight store
	case i.State == Unloading:
		v.freeing[e] += i.Memory
	case i.State == Pending && i.Slot.Adapter == "":
		v.loads--
	case i.State == Pending:
		v.adapters--
	}
}

// load adds a load to the actions.
func (v *view) load(e int, slot ledger.Slot, memory bundle.MiB, why Reason) {
	engine := &v.Engines[e]
	engine.Replicas = append(engine.Replicas, Replica{Slot: slot, Memory: memory, State: Pending})
	v.free[e] -= memory
	if slot.Adapter == "" {
		v.loads--
	} else {
		v.adapters--
	}
	v.actions = append(v.actions, Action{Action: ledger.Load, Engine: engine.ID, Slot: slot, Memory: memory, Reason: why})
}

// unload adds an unload to the actions. The memory is free when the engine confirms it.
func (v *view) unload(e int, slot ledger.Slot, retired bool, why Reason) {
	engine := &v.Engines[e]
	for i := range engine.Replicas {
		if engine.Replicas[i].Slot == slot {
			engine.Replicas[i].State = Unloading
			v.freeing[e] += engine.Replicas[i].Memory
		}
	}
	v.actions = append(v.actions, Action{Action: ledger.Unload, Engine: engine.ID, Slot: slot, Retired: retired, Reason: why})
}

// holds reports whether an engine has or gets the slot to stay.
func (e Engine) holds(slot ledger.Slot) bool {
	return slices.ContainsFunc(e.Replicas, func(i Replica) bool { return i.Slot == slot && i.State != Unloading })
}

// mentions reports whether an engine has any item of the slot, also one that is leaving.
func (e Engine) mentions(slot ledger.Slot) bool {
	return slices.ContainsFunc(e.Replicas, func(i Replica) bool { return i.Slot == slot })
}

// counts reports whether the engine's replicas still count.
func (e Engine) counts() bool { return e.Usable || e.Unresponsive }

// ready reports whether the slot is usable on the engine.
func (e Engine) ready(slot ledger.Slot) bool {
	return e.Usable && slices.ContainsFunc(e.Replicas, func(i Replica) bool { return i.Slot == slot && i.State == Ready })
}

func slotOf(m Model) ledger.Slot { return ledger.Slot{Model: m.ID, Version: m.Version} }

// replicas counts the engines that have or get the version in force of a model.
func (v *view) replicas(m Model) int {
	return v.count(func(e Engine) bool { return e.counts() && e.holds(slotOf(m)) })
}

// readyReplicas counts the engines on which any version of the model is ready.
func (v *view) readyReplicas(id bundle.ModelID) int {
	return v.count(func(e Engine) bool {
		return e.Usable && slices.ContainsFunc(e.Replicas, func(i Replica) bool {
			return i.Slot.Model == id && i.Slot.Adapter == "" && i.State == Ready
		})
	})
}

// outdated counts the engines on which another version of the model is ready.
func (v *view) outdated(m Model) int {
	return v.count(func(e Engine) bool {
		return e.Usable && slices.ContainsFunc(e.Replicas, func(i Replica) bool {
			return i.Slot.Model == m.ID && i.Slot.Adapter == "" && i.Slot.Version != m.Version && i.State == Ready
		})
	})
}

func (v *view) count(match func(Engine) bool) int {
	n := 0
	for _, e := range v.Engines {
		if match(e) {
			n++
		}
	}
	return n
}

// assignment spreads the given demand over the replicas that are ready or pending.
func (v *view) assignment(demand []float64) *Assignment {
	compute := make([]float64, len(v.Engines))
	for e, engine := range v.Engines {
		if engine.counts() {
			compute[e] = engine.Compute
		}
	}
	holds := make([][]bool, len(v.Models))
	for m, model := range v.Models {
		holds[m] = make([]bool, len(v.Engines))
		for e, engine := range v.Engines {
			holds[m][e] = engine.counts() && engine.holds(slotOf(model))
		}
	}
	return Assign(demand, compute, holds)
}

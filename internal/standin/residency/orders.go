package residency

import (
	"slices"
	"time"

	"savoryweir/internal/protocol/enginehttp"
	"savoryweir/internal/standin/weights"
)

// Action is what an order asks for.
type Action string

// The actions of orders.
const (
	Load   Action = "load"
	Unload Action = "unload"
)

// Apply handles one order that has arrived.
func (e *Engine) Apply(now time.Time, action Action, order enginehttp.Order) enginehttp.Outcome {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.apply(now, action, order)
}

func (e *Engine) apply(now time.Time, action Action, order enginehttp.Order) enginehttp.Outcome {
	if e.config.ChecksFence && order.Fence < e.fence {
		return enginehttp.OutcomeOldFence
	}
	e.fence = max(e.fence, order.Fence)
	e.handled = append(e.handled, order.ID)
	e.handled = e.handled[max(0, len(e.handled)-handledLimit):]
	outcome := enginehttp.OutcomeAccepted
	if action == Load {
		outcome = e.load(now, order)
	} else {
		e.unload(order.Slot)
	}
	e.record(now)
	return outcome
}

func (e *Engine) load(now time.Time, order enginehttp.Order) enginehttp.Outcome {
	if e.find(order.Slot) >= 0 {
		return enginehttp.OutcomeAccepted
	}
	kind := weights.Model
	if order.Slot.Adapter != "" {
		kind = weights.Adapter
		if !e.hasModel(order.Slot) {
			return enginehttp.OutcomeNoModel
		}
	}
	if e.account.UsedMiB+order.MemoryMiB > e.config.CapacityMiB {
		e.account.Refused++
		return enginehttp.OutcomeNoMemory
	}
	e.account.Loads++
	e.account.UsedMiB += order.MemoryMiB
	e.account.PeakMiB = max(e.account.PeakMiB, e.account.UsedMiB)
	e.nextLoad++
	load := e.nextLoad
	e.residents = append(e.residents, resident{
		Resident: enginehttp.Resident{Slot: order.Slot, MemoryMiB: order.MemoryMiB, State: enginehttp.StateLoading},
		load:     load,
	})
	e.loader.Start(now, kind, func(at time.Time) { e.finish(at, load) })
	return enginehttp.OutcomeAccepted
}

// finish marks the slot of a load as ready, unless it was unloaded meanwhile.
func (e *Engine) finish(at time.Time, load uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	i := slices.IndexFunc(e.residents, func(r resident) bool { return r.load == load })
	if i < 0 {
		return
	}
	e.residents[i].State = enginehttp.StateReady
	e.record(at)
}

// unload frees the slot and, with a model version, its adapters.
func (e *Engine) unload(slot enginehttp.Slot) {
	e.residents = slices.DeleteFunc(e.residents, func(r resident) bool {
		if !covers(slot, r.Slot) {
			return false
		}
		e.account.UsedMiB -= r.MemoryMiB
		e.account.Unloads++
		return true
	})
}

func covers(unloaded, slot enginehttp.Slot) bool {
	if unloaded.Adapter == "" {
		slot.Adapter = ""
	}
	return unloaded == slot
}

func (e *Engine) hasModel(slot enginehttp.Slot) bool {
	slot.Adapter = ""
	i := e.find(slot)
	return i >= 0 && e.residents[i].State == enginehttp.StateReady
}

package ledger

import (
	"fmt"
	"slices"

	"savoryweir/internal/state/bundle"
)

// maxPendingOrders bounds the loads, and the unloads, of one slot that may still take effect.
const maxPendingOrders = 16

// Action is what an order asks an engine to do.
type Action uint8

// The actions.
const (
	Load Action = iota
	Unload
)

// Order is one order to an engine. It may be sent once, after the ledger that
// records it has been written, on a connection that was opened to Boot.
type Order struct {
	Engine bundle.UpstreamID
	Boot   string
	Action Action
	Slot   Slot
	Memory bundle.MiB
	Fence  Fence
}

// ID returns the identifier of the order at its engine.
func (o Order) ID() string { return orderID(o.Action, o.Slot, o.Fence) }

func orderID(a Action, s Slot, f Fence) string {
	return fmt.Sprintf("%d/%d/%s/%s/%s", a, f, s.Model, s.Version, s.Adapter)
}

// PlanLoad records a load with the fencing number of the coming write. Planning a load
// of the same slot again records another attempt.
func (l *Ledger) PlanLoad(id bundle.UpstreamID, slot Slot, memory bundle.MiB, fence Fence) (Order, error) {
	e := l.Engine(id)
	if e == nil || e.Boot == "" || e.Unreachable {
		return Order{}, ErrUnknownEngine
	}
	if slot.Adapter != "" && !e.isModelStable(slot) {
		return Order{}, ErrNoModel
	}
	allocation := e.Item(slot)
	if allocation != nil && !e.canReload(allocation) {
		return Order{}, ErrOrderPending
	}
	if allocation == nil || !allocation.Charged() {
		if e.ChargedMemory()+memory > e.Memory {
			return Order{}, ErrNoMemory
		}
	}
	if allocation == nil {
		e.Items = append(e.Items, Item{Slot: slot, Memory: memory})
		allocation = &e.Items[len(e.Items)-1]
	}
	allocation.Loads = e.addPendingOrder(allocation.Loads, fence)
	return Order{Engine: id, Boot: e.Boot, Action: Load, Slot: slot, Memory: allocation.Memory, Fence: fence}, nil
}

// canReload reports whether another load may be recorded: the bound of pending loads is
// not reached and no earlier unload can still undo the new load.
func (e *Engine) canReload(allocation *Item) bool {
	if len(allocation.Loads) >= maxPendingOrders {
		return false
	}
	return e.Delivery == DeliveryFenced || len(allocation.Unloads) == 0
}

// isModelStable reports whether the model version of an adapter's slot is ready and no
// pending unload can remove it.
func (e *Engine) isModelStable(slot Slot) bool {
	slot.Adapter = ""
	allocation := e.Item(slot)
	return allocation != nil && allocation.Stable()
}

// PlanUnload records an unload with the fencing number of the coming write. It refuses
// to unload the last ready replica of a model, unless retired is true, which means that
// the bundle no longer lists the model.
func (l *Ledger) PlanUnload(id bundle.UpstreamID, slot Slot, retired bool, fence Fence) (Order, error) {
	e := l.Engine(id)
	if e == nil || e.Boot == "" || e.Unreachable {
		return Order{}, ErrUnknownEngine
	}
	if e.Delivery == DeliveryAtLeastOnce {
		return Order{}, ErrChargeUntilRestart
	}
	allocation := e.Item(slot)
	if allocation == nil || len(allocation.Unloads) >= maxPendingOrders {
		return Order{}, ErrOrderPending
	}
	if slot.Adapter == "" && !retired && !l.hasOtherReadyReplica(id, slot) {
		return Order{}, ErrLastReplica
	}
	allocation.Unloads = e.addPendingOrder(allocation.Unloads, fence)
	return Order{Engine: id, Boot: e.Boot, Action: Unload, Slot: slot, Fence: fence}, nil
}

// hasOtherReadyReplica reports whether the slot's model, in any version, stays ready
// somewhere if the slot is unloaded from the engine.
func (l *Ledger) hasOtherReadyReplica(id bundle.UpstreamID, slot Slot) bool {
	for _, e := range l.Engines {
		if e.Unreachable {
			continue
		}
		for _, a := range e.Items {
			isOther := e.ID != id || a.Slot != slot
			if isOther && a.Slot.Model == slot.Model && a.Slot.Adapter == "" && a.Stable() {
				return true
			}
		}
	}
	return false
}

// addPendingOrder returns the pending fencing numbers with a new one. Only
// DeliveryAtMostOnce settles each order by itself. For the other kinds the highest number
// decides, so it is the only one kept.
func (e *Engine) addPendingOrder(pending []Fence, fence Fence) []Fence {
	if e.Delivery == DeliveryAtMostOnce {
		return append(slices.Clone(pending), fence)
	}
	return []Fence{fence}
}

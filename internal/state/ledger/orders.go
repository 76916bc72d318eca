package ledger

import (
	"fmt"
	"slices"

	"savoryweir/internal/state/bundle"
)

// maxAttempts bounds the orders of one slot that may still take effect.
const maxAttempts = 16

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

// ID identifies the order at its engine.
func (o Order) ID() string { return orderID(o.Action, o.Slot, o.Fence) }

func orderID(a Action, s Slot, f Fence) string {
	return fmt.Sprintf("%d/%d/%s/%s/%s", a, f, s.Model, s.Version, s.Adapter)
}

// PlanLoad records a load with the fencing number of the coming write.
// Planning a load again records a further attempt.
func (l *Ledger) PlanLoad(id bundle.UpstreamID, slot Slot, memory bundle.MiB, fence Fence) (Order, error) {
	e := l.Engine(id)
	if e == nil || e.Boot == "" || e.Unreachable {
		return Order{}, ErrUnknownEngine
	}
	if slot.Adapter != "" && !e.modelStable(slot) {
		return Order{}, ErrNoModel
	}
	item := e.Item(slot)
	if item != nil && !e.mayReload(item) {
		return Order{}, ErrUnsettled
	}
	if item == nil || !item.Charged() {
		if e.Charged()+memory > e.Memory {
			return Order{}, ErrNoMemory
		}
	}
	if item == nil {
		e.Items = append(e.Items, Item{Slot: slot, Memory: memory})
		item = &e.Items[len(e.Items)-1]
	}
	item.Loads = e.addAttempt(item.Loads, fence)
	return Order{Engine: id, Boot: e.Boot, Action: Load, Slot: slot, Memory: item.Memory, Fence: fence}, nil
}

// mayReload reports whether an earlier unload can no longer undo a new load.
func (e *Engine) mayReload(item *Item) bool {
	if len(item.Loads) >= maxAttempts {
		return false
	}
	return e.Delivery == DeliveryFenced || len(item.Unloads) == 0
}

// modelStable reports whether an adapter's model version is ready and stays.
func (e *Engine) modelStable(slot Slot) bool {
	slot.Adapter = ""
	item := e.Item(slot)
	return item != nil && item.Stable()
}

// PlanUnload records an unload with the fencing number of the coming write. The last
// ready replica of a model stays, unless retired tells that the bundle lists the model no more.
func (l *Ledger) PlanUnload(id bundle.UpstreamID, slot Slot, retired bool, fence Fence) (Order, error) {
	e := l.Engine(id)
	if e == nil || e.Boot == "" || e.Unreachable {
		return Order{}, ErrUnknownEngine
	}
	if e.Delivery == DeliveryAny {
		return Order{}, ErrKeepsCharge
	}
	item := e.Item(slot)
	if item == nil || len(item.Unloads) >= maxAttempts {
		return Order{}, ErrUnsettled
	}
	if slot.Adapter == "" && !retired && !l.readyElsewhere(id, slot) {
		return Order{}, ErrLastReplica
	}
	item.Unloads = e.addAttempt(item.Unloads, fence)
	return Order{Engine: id, Boot: e.Boot, Action: Unload, Slot: slot, Fence: fence}, nil
}

// readyElsewhere reports whether the model stays ready without the slot on the engine.
func (l *Ledger) readyElsewhere(id bundle.UpstreamID, slot Slot) bool {
	for _, e := range l.Engines {
		if e.Unreachable {
			continue
		}
		for _, i := range e.Items {
			isOther := e.ID != id || i.Slot != slot
			if isOther && i.Slot.Model == slot.Model && i.Slot.Adapter == "" && i.Stable() {
				return true
			}
		}
	}
	return false
}

// addAttempt adds a fencing number. Where a rule judges by the highest one, only that is kept.
func (e *Engine) addAttempt(attempts []Fence, fence Fence) []Fence {
	if e.Delivery == DeliveryOnce {
		return append(slices.Clone(attempts), fence)
	}
	return []Fence{fence}
}

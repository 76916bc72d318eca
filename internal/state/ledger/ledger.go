// Package ledger keeps the write-ahead account of the accelerator memory of a
// placement cell, which is a group of engines. Every order is recorded before it is
// sent, and memory stays charged for as long as a recorded order may take effect.
//
// A ledger is stored as one object and replaced by conditional updates. The fencing
// number of an order is the object version that the update replaced, plus a base that
// rises when an engine is taken over from another ledger. At most one update succeeds
// on each version, so fencing numbers are unique and increase.
package ledger

import (
	"errors"
	"slices"
	"time"

	"savoryweir/internal/state/bundle"
	"savoryweir/internal/state/object"
)

// Fence is the fencing number of an order.
type Fence uint64

// Delivery is the guarantee that decides when an order can no longer take effect at an
// engine. With every kind, an order cannot outlive the boot that it was sent to,
// because it is sent on a connection that was opened to that boot.
type Delivery uint8

// The kinds of delivery.
const (
	// DeliveryFenced applies to engines that reject a fencing number below the highest
	// that they have seen.
	DeliveryFenced Delivery = iota
	// DeliveryAtMostOnce applies to engines that do not check fencing numbers, but
	// receive each order at most once. An order can no longer take effect when the
	// engine reports that it has handled it.
	DeliveryAtMostOnce
	// DeliveryAtLeastOnce applies to engines that do not check fencing numbers and may
	// receive copies of an order at any time. A slot stays charged until the engine restarts.
	DeliveryAtLeastOnce
)

// Slot identifies what occupies memory: a model version, or an adapter of it.
type Slot struct {
	Model   bundle.ModelID
	Version string
	Adapter bundle.AdapterID // empty for the model itself
}

// Item is the state of a slot that occupies memory on an engine, or may do so
// after a pending order.
type Item struct {
	Slot     Slot
	Memory   bundle.MiB
	Resident bool    // in memory according to the engine's last report
	Ready    bool    // usable according to the engine's last report
	Loads    []Fence // loads that may still take effect
	Unloads  []Fence // unloads that may still take effect
}

// Charged reports whether the slot occupies memory, or may do so after a pending load.
func (a Item) Charged() bool { return a.Resident || len(a.Loads) > 0 }

// Stable reports whether the slot is ready and no pending unload can remove it.
func (a Item) Stable() bool { return a.Ready && len(a.Unloads) == 0 }

// Engine is the account of one engine.
type Engine struct {
	ID          bundle.UpstreamID
	Boot        string // empty before the first report
	Sequence    uint64 // sequence number of the last report within the boot
	Fence       Fence  // highest fencing number that the engine has seen within the boot
	Memory      bundle.MiB
	Delivery    Delivery
	Unreachable bool
	Move        uint64 // sequence number of the handover by which this ledger received the engine
	Items       []Item
}

// AwaitsOrderEffect reports whether the next report may show the effect of a pending
// order. An order that has taken effect may still be recorded, because a copy of it may
// still arrive; such an order does not count.
func (e *Engine) AwaitsOrderEffect() bool {
	return slices.ContainsFunc(e.Items, func(a Item) bool {
		switch {
		case len(a.Unloads) > 0:
			return a.Resident || e.Delivery != DeliveryAtLeastOnce
		case a.Resident:
			return !a.Ready
		default:
			return len(a.Loads) > 0
		}
	})
}

// ChargedMemory returns the memory that is occupied, or may be after pending loads.
func (e *Engine) ChargedMemory() bundle.MiB {
	var sum bundle.MiB
	for _, a := range e.Items {
		if a.Charged() {
			sum += a.Memory
		}
	}
	return sum
}

// Item returns the allocation of a slot, or nil if there is none.
func (e *Engine) Item(slot Slot) *Item {
	at := slices.IndexFunc(e.Items, func(a Item) bool { return a.Slot == slot })
	if at < 0 {
		return nil
	}
	return &e.Items[at]
}

// Ledger is the account of one cell.
type Ledger struct {
	Holder     string
	LeaseUntil time.Time // the lease avoids conflicting writes; safety does not depend on it
	Nonce      uint64    // nonce of the last write, which lets its writer recognize it after a lost response
	Generation bundle.Generation
	Roster     object.Version // version of the roster that the last write followed
	Base       Fence          // added to the replaced object version to form a fencing number
	Engines    []Engine
	Outgoing   []Handover
}

// Errors of planning an order.
var (
	ErrUnknownEngine      = errors.New("engine has not reported yet or is unreachable")
	ErrNoMemory           = errors.New("slot does not fit into the engine's uncharged memory")
	ErrLastReplica        = errors.New("no other replica of the model is ready")
	ErrOrderPending       = errors.New("an earlier order for the slot may still take effect")
	ErrChargeUntilRestart = errors.New("unload would free no memory before the engine restarts")
	ErrNoModel            = errors.New("the adapter's model is not ready on the engine")
)

// Engine returns the account of an engine, or nil if there is none.
func (l *Ledger) Engine(id bundle.UpstreamID) *Engine {
	at := slices.IndexFunc(l.Engines, func(e Engine) bool { return e.ID == id })
	if at < 0 {
		return nil
	}
	return &l.Engines[at]
}

// Clone returns a deep copy.
func (l *Ledger) Clone() *Ledger {
	c := *l
	c.Engines = slices.Clone(l.Engines)
	for e := range c.Engines {
		c.Engines[e] = c.Engines[e].clone()
	}
	c.Outgoing = slices.Clone(l.Outgoing)
	for h := range c.Outgoing {
		c.Outgoing[h].Engine = c.Outgoing[h].Engine.clone()
	}
	return &c
}

func (e Engine) clone() Engine {
	e.Items = slices.Clone(e.Items)
	for i := range e.Items {
		e.Items[i].Loads = slices.Clone(e.Items[i].Loads)
		e.Items[i].Unloads = slices.Clone(e.Items[i].Unloads)
	}
	return e
}

// SetEngine adds an engine, or updates its properties from the bundle. An engine that
// the bundle no longer lists stays in the ledger with its charges.
func (l *Ledger) SetEngine(id bundle.UpstreamID, memory bundle.MiB, delivery Delivery) {
	e := l.Engine(id)
	if e == nil {
		l.Engines = append(l.Engines, Engine{ID: id, Memory: memory, Delivery: delivery})
		return
	}
	e.Memory = memory
	if e.Delivery != delivery && e.hasPendingOrders() {
		// Orders recorded under one kind of delivery cannot be settled by the rule of another.
		delivery = DeliveryAtLeastOnce
	}
	e.Delivery = delivery
}

func (e *Engine) hasPendingOrders() bool {
	return slices.ContainsFunc(e.Items, func(a Item) bool { return len(a.Loads)+len(a.Unloads) > 0 })
}

// ReadyReplicas returns the number of engines that have a stable replica of the model,
// in any version.
func (l *Ledger) ReadyReplicas(model bundle.ModelID) int {
	count := 0
	for _, e := range l.Engines {
		if e.HasStable(model) {
			count++
		}
	}
	return count
}

// HasStable reports whether the engine is reachable and has the model ready, in
// any version, with no pending unload that could remove it.
func (e *Engine) HasStable(model bundle.ModelID) bool {
	return !e.Unreachable && slices.ContainsFunc(e.Items, func(a Item) bool {
		return a.Slot.Model == model && a.Slot.Adapter == "" && a.Stable()
	})
}

// Package ledger keeps the write-ahead account of the accelerator memory of a
// placement cell, a group of engines. Every order is recorded before it is sent,
// and memory stays charged for as long as a recorded order may take effect.
//
// A ledger is stored as one object and replaced by conditional update. The fencing
// number of an order is the object version that the update replaced, plus a base that
// rises when an engine is taken over from another ledger: at most one update succeeds
// on each version, so fencing numbers are unique and increase.
package ledger

import (
	"errors"
	"slices"
	"time"

	"savoryweir/internal/state/bundle"
	"savoryweir/internal/state/object"
)

// Fence is a fencing number.
type Fence uint64

// Delivery tells when an order can no longer take effect at an engine. In every
// case an order dies with the boot that it was sent to, because it is sent on a
// connection that was opened to that boot.
type Delivery uint8

// The kinds of delivery.
const (
	// DeliveryFenced is for engines that refuse a fencing number below the highest seen.
	DeliveryFenced Delivery = iota
	// DeliveryOnce is for engines without the check to which each order arrives at most
	// once. An order is dead when the engine reports that it has handled it.
	DeliveryOnce
	// DeliveryAny is for engines without the check to which copies of an order may
	// arrive at any time. A slot keeps its charge until the engine restarts.
	DeliveryAny
)

// Slot names what takes memory: a model version, or an adapter beside it.
type Slot struct {
	Model   bundle.ModelID
	Version string
	Adapter bundle.AdapterID // empty for the model itself
}

// Item is one slot that takes memory on an engine or may come to do so.
type Item struct {
	Slot     Slot
	Memory   bundle.MiB
	Resident bool    // in memory by the engine's last report
	Ready    bool    // usable by the engine's last report
	Loads    []Fence // loads that may still take effect
	Unloads  []Fence // unloads that may still take effect
}

// Charged reports whether the item takes memory or may come to do so.
func (i Item) Charged() bool { return i.Resident || len(i.Loads) > 0 }

// Stable reports whether the item is ready and no unload can take it away.
func (i Item) Stable() bool { return i.Ready && len(i.Unloads) == 0 }

// Engine is the account of one engine.
type Engine struct {
	ID          bundle.UpstreamID
	Boot        string // empty before the first report
	Sequence    uint64 // of the last report within the boot
	Fence       Fence  // highest that the engine has seen within the boot
	Memory      bundle.MiB
	Delivery    Delivery
	Unreachable bool
	Move        uint64 // hand-over by which this ledger has the engine
	Items       []Item
}

// IsMoving reports whether a next report may show the effect of an order that is waited
// for. An order that has had its effect may still be recorded, because a copy of it may come.
func (e *Engine) IsMoving() bool {
	return slices.ContainsFunc(e.Items, func(i Item) bool {
		switch {
		case len(i.Unloads) > 0:
			return i.Resident || e.Delivery != DeliveryAny
		case i.Resident:
			return !i.Ready
		default:
			return len(i.Loads) > 0
		}
	})
}

// Charged returns the memory that is taken or may come to be taken.
func (e *Engine) Charged() bundle.MiB {
	var sum bundle.MiB
	for _, i := range e.Items {
		if i.Charged() {
			sum += i.Memory
		}
	}
	return sum
}

// Item returns the item of a slot, or nil.
func (e *Engine) Item(slot Slot) *Item {
	at := slices.IndexFunc(e.Items, func(i Item) bool { return i.Slot == slot })
	if at < 0 {
		return nil
	}
	return &e.Items[at]
}

// Ledger is the account of one cell.
type Ledger struct {
	Holder     string
	LeaseUntil time.Time // a lease spares conflicting writes; safety does not depend on it
	Nonce      uint64    // of the last write, to recognize it after a lost answer
	Generation bundle.Generation
	Roster     object.Version // of the roster that the last write followed
	Base       Fence          // what fencing numbers are above the versions that writes replace
	Engines    []Engine
	Outgoing   []Handover
}

// Errors of planning an order.
var (
	ErrUnknownEngine = errors.New("engine has not reported yet")
	ErrNoMemory      = errors.New("slot does not fit beside what is charged")
	ErrLastReplica   = errors.New("no other ready replica of the model")
	ErrUnsettled     = errors.New("an earlier order of the slot may still take effect")
	ErrKeepsCharge   = errors.New("unload would free nothing before the engine restarts")
	ErrNoModel       = errors.New("adapter's model is not ready on the engine")
)

// Engine returns the account of an engine, or nil.
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

// SetEngine adds an engine or updates what the bundle says of it. An engine that
// the bundle no longer lists stays in the ledger with its charges.
func (l *Ledger) SetEngine(id bundle.UpstreamID, memory bundle.MiB, delivery Delivery) {
	e := l.Engine(id)
	if e == nil {
		l.Engines = append(l.Engines, Engine{ID: id, Memory: memory, Delivery: delivery})
		return
	}
	e.Memory = memory
	if e.Delivery != delivery && e.hasAttempts() {
		delivery = DeliveryAny // orders recorded under one rule can't be settled by another
	}
	e.Delivery = delivery
}

func (e *Engine) hasAttempts() bool {
	return slices.ContainsFunc(e.Items, func(i Item) bool { return len(i.Loads)+len(i.Unloads) > 0 })
}

// ReadyReplicas returns how many engines hold the model ready, in any version,
// where neither an unload nor a lost engine can take it away.
func (l *Ledger) ReadyReplicas(model bundle.ModelID) int {
	count := 0
	for _, e := range l.Engines {
		if e.HasStable(model) {
			count++
		}
	}
	return count
}

// HasStable reports whether the engine holds the model ready, in any version, where
// neither an unload nor the engine's loss can take it away.
func (e *Engine) HasStable(model bundle.ModelID) bool {
	return !e.Unreachable && slices.ContainsFunc(e.Items, func(i Item) bool {
		return i.Slot.Model == model && i.Slot.Adapter == "" && i.Stable()
	})
}

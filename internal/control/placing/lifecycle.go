package placing

import (
	"context"
	"slices"
	"time"

	"github.com/looplab/fsm"

	"savoryweir/internal/state/bundle"
	"savoryweir/internal/state/ledger"
)

// States of a slot on an engine, as the holder tracks them.
const (
	stateAbsent    = "absent"
	stateOrdered   = "ordered"
	stateLoading   = "loading"
	stateReady     = "ready"
	stateUnloading = "unloading"
)

// slotEvents lists the transitions between the states. Each event is named after its target state.
var slotEvents = fsm.Events{
	{Name: stateOrdered, Src: []string{stateAbsent, stateLoading, stateReady, stateUnloading}, Dst: stateOrdered},
	{Name: stateLoading, Src: []string{stateAbsent, stateOrdered, stateUnloading}, Dst: stateLoading},
	{Name: stateReady, Src: []string{stateAbsent, stateOrdered, stateLoading, stateUnloading}, Dst: stateReady},
	{Name: stateUnloading, Src: []string{stateAbsent, stateOrdered, stateLoading, stateReady}, Dst: stateUnloading},
	{Name: stateAbsent, Src: []string{stateOrdered, stateLoading, stateReady, stateUnloading}, Dst: stateAbsent},
}

// slotKey identifies one slot on one engine.
type slotKey struct {
	engine bundle.UpstreamID
	slot   ledger.Slot
}

// slotLifecycle is the lifecycle of one slot on one engine.
type slotLifecycle struct {
	machine *fsm.FSM
	since   time.Time // when the state began, or when its order was last sent
}

// Transitions counts the transitions that the holder has seen.
type Transitions struct {
	Loaded   uint64
	Unloaded uint64
	Resent   uint64
}

// tracker tracks the lifecycles of all slots of a cell.
type tracker struct {
	lifecycles  map[slotKey]*slotLifecycle
	order       []slotKey // in order of first observation
	transitions Transitions
}

func newTracker() *tracker { return &tracker{lifecycles: make(map[slotKey]*slotLifecycle)} }

// observe moves each slot to the state that the ledger shows.
func (t *tracker) observe(now time.Time, l *ledger.Ledger) {
	seen := make(map[slotKey]bool)
	for _, e := range l.Engines {
		for _, i := range e.Items {
			key := slotKey{e.ID, i.Slot}
			seen[key] = true
			t.transitionTo(now, key, lifecycleState(i, e.Delivery))
		}
	}
	t.order = slices.DeleteFunc(t.order, func(key slotKey) bool {
		if seen[key] {
			return false
		}
		t.transitionTo(now, key, stateAbsent)
		delete(t.lifecycles, key)
		return true
	})
}

// lifecycleState returns the state of a slot. A slot that is not in memory and has an unload
// recorded counts as absent, although a lost load may stay charged: another unload would change
// nothing, unless its fencing number makes the engine refuse that load.
func lifecycleState(i ledger.Item, d ledger.Delivery) string {
	isGone := !i.Resident && len(i.Unloads) > 0 && d != ledger.DeliveryFenced
	switch {
	case !i.Charged() || isGone:
		return stateAbsent
	case len(i.Unloads) > 0:
		return stateUnloading
	case i.Ready:
		return stateReady
	case i.Resident:
		return stateLoading
	default:
		return stateOrdered
	}
}

func (t *tracker) transitionTo(now time.Time, key slotKey, state string) {
	lifecycle, ok := t.lifecycles[key]
	if !ok {
		lifecycle = &slotLifecycle{machine: fsm.NewFSM(stateAbsent, slotEvents, nil), since: now}
		t.lifecycles[key] = lifecycle
		t.order = append(t.order, key)
	}
	before := lifecycle.machine.Current()
	if before == state || lifecycle.machine.Event(context.Background(), state) != nil {
		return
	}
	lifecycle.since = now
	switch {
	case state == stateReady && before != stateUnloading:
		t.transitions.Loaded++
	case state == stateAbsent && before == stateUnloading:
		t.transitions.Unloaded++
	}
}

// overdue lists the slots whose order has had no effect for at least the given time.
func (t *tracker) overdue(now time.Time, after time.Duration) []slotKey {
	var late []slotKey
	for _, key := range t.order {
		lifecycle := t.lifecycles[key]
		waiting := lifecycle.machine.Is(stateOrdered) || lifecycle.machine.Is(stateUnloading)
		if waiting && now.Sub(lifecycle.since) >= after {
			late = append(late, key)
		}
	}
	return late
}

func (t *tracker) recordResend(key slotKey, now time.Time) {
	t.lifecycles[key].since = now
	t.transitions.Resent++
}

// Transitions returns the transitions that this holder has seen.
func (c *Cell) Transitions() Transitions { return c.tracker.transitions }

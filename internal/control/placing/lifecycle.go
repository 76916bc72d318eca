package placing

import (
	"context"
	"slices"
	"time"

	"github.com/looplab/fsm"

	"savoryweir/internal/state/bundle"
	"savoryweir/internal/state/ledger"
)

// The states of a slot on an engine, as the holder follows it.
const (
	stateAbsent    = "absent"
	stateOrdered   = "ordered"
	stateLoading   = "loading"
	stateReady     = "ready"
	stateUnloading = "unloading"
)

// slotEvents lists each transition as state and target; the event is named after its target.
var slotEvents = fsm.Events{
	{Name: stateOrdered, Src: []string{stateAbsent, stateLoading, stateReady, stateUnloading}, Dst: stateOrdered},
	{Name: stateLoading, Src: []string{stateAbsent, stateOrdered, stateUnloading}, Dst: stateLoading},
	{Name: stateReady, Src: []string{stateAbsent, stateOrdered, stateLoading, stateUnloading}, Dst: stateReady},
	{Name: stateUnloading, Src: []string{stateAbsent, stateOrdered, stateLoading, stateReady}, Dst: stateUnloading},
	{Name: stateAbsent, Src: []string{stateOrdered, stateLoading, stateReady, stateUnloading}, Dst: stateAbsent},
}

// slotKey names one slot on one engine.
type slotKey struct {
	engine bundle.UpstreamID
	slot   ledger.Slot
}

// slotLife is the lifecycle of one slot on one engine.
type slotLife struct {
	machine *fsm.FSM
	since   time.Time // start of the state, or the last time its order was sent
}

// Transitions counts the transitions that the holder has seen.
type Transitions struct {
	Loaded   uint64
	Unloaded uint64
	Resent   uint64
}

// tracker follows the lifecycle of all slots of a cell.
type tracker struct {
	lives map[slotKey]*slotLife
	order []slotKey // in order of first sight
	moves Transitions
}

func newTracker() *tracker { return &tracker{lives: make(map[slotKey]*slotLife)} }

// observe moves each slot to the state that the ledger shows.
func (t *tracker) observe(now time.Time, l *ledger.Ledger) {
	seen := make(map[slotKey]bool)
	for _, e := range l.Engines {
		for _, i := range e.Items {
			key := slotKey{e.ID, i.Slot}
			seen[key] = true
			t.enter(now, key, lifeState(i, e.Delivery))
		}
	}
	t.order = slices.DeleteFunc(t.order, func(key slotKey) bool {
		if seen[key] {
			return false
		}
		t.enter(now, key, stateAbsent)
		delete(t.lives, key)
		return true
	})
}

// lifeState returns the state of a slot. One that is not in memory and has an unload
// recorded counts as absent, although a lost load may stay charged: another unload
// would change nothing, unless its fencing number makes the engine refuse that load.
func lifeState(i ledger.Item, d ledger.Delivery) string {
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

func (t *tracker) enter(now time.Time, key slotKey, state string) {
	life, ok := t.lives[key]
	if !ok {
		life = &slotLife{machine: fsm.NewFSM(stateAbsent, slotEvents, nil), since: now}
		t.lives[key] = life
		t.order = append(t.order, key)
	}
	before := life.machine.Current()
	if before == state || life.machine.Event(context.Background(), state) != nil {
		return
	}
	life.since = now
	switch {
	case state == stateReady && before != stateUnloading:
		t.moves.Loaded++
	case state == stateAbsent && before == stateUnloading:
		t.moves.Unloaded++
	}
}

// overdue lists the slots whose order has had no effect for the given time.
func (t *tracker) overdue(now time.Time, after time.Duration) []slotKey {
	var late []slotKey
	for _, key := range t.order {
		life := t.lives[key]
		waiting := life.machine.Is(stateOrdered) || life.machine.Is(stateUnloading)
		if waiting && now.Sub(life.since) >= after {
			late = append(late, key)
		}
	}
	return late
}

func (t *tracker) sentAgain(key slotKey, now time.Time) {
	t.lives[key].since = now
	t.moves.Resent++
}

// Transitions returns the transitions that this holder has seen.
func (c *Cell) Transitions() Transitions { return c.tracker.moves }

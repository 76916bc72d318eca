package journal

import (
	"context"

	"github.com/looplab/fsm"

	"savoryweir/internal/state/order"
)

// State is the lifecycle state of a recorded order.
type State string

// The lifecycle states. An order without a record is in StateAbsent.
const (
	StateAbsent   State = "absent"
	StateClaimed  State = "claimed"
	StateFinished State = "finished"
	StateReleased State = "released"
	StateUnknown  State = "unknown"
)

// lifecycleEvent is an event that changes the state of an order.
type lifecycleEvent string

const (
	eventClaim     lifecycleEvent = "claim"
	eventSupersede lifecycleEvent = "supersede" // a claim whose claimant has abandoned its earlier claim
	eventRan       lifecycleEvent = "ran"
	eventNotRun    lifecycleEvent = "not_run"
	eventLost      lifecycleEvent = "lost" // the claimant does not know whether the order ran
)

// lifecycle is the state machine of orders. It is not safe for concurrent use.
type lifecycle struct{ machine *fsm.FSM }

func newLifecycle() lifecycle {
	return lifecycle{machine: fsm.NewFSM(string(StateAbsent), fsm.Events{
		{Name: string(eventClaim), Src: stateNames(StateAbsent, StateReleased), Dst: string(StateClaimed)},
		{Name: string(eventSupersede), Src: stateNames(StateClaimed), Dst: string(StateClaimed)},
		{Name: string(eventRan), Src: stateNames(StateClaimed, StateUnknown, StateReleased), Dst: string(StateFinished)},
		{Name: string(eventNotRun), Src: stateNames(StateClaimed, StateUnknown), Dst: string(StateReleased)},
		{Name: string(eventLost), Src: stateNames(StateClaimed), Dst: string(StateUnknown)},
	}, nil)}
}

func stateNames(list ...State) []string {
	names := make([]string, len(list))
	for i, s := range list {
		names[i] = string(s)
	}
	return names
}

// next returns the state after the event. It returns false if the transition table does
// not allow the event in the state.
func (l lifecycle) next(from State, event lifecycleEvent) (State, bool) {
	l.machine.SetState(string(from))
	if !l.machine.Can(string(event)) {
		return from, false
	}
	err := l.machine.Event(context.Background(), string(event))
	if _, sameState := err.(fsm.NoTransitionError); err != nil && !sameState {
		return from, false
	}
	return State(l.machine.Current()), true
}

// finishEvent returns the event that corresponds to the outcome of a finish.
func finishEvent(o order.Outcome) lifecycleEvent {
	switch o {
	case order.OutcomeRan:
		return eventRan
	case order.OutcomeNotRun:
		return eventNotRun
	default:
		return eventLost
	}
}

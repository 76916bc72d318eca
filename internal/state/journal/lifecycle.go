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

// lifecycleEvent is a cause of a transition.
type lifecycleEvent string

const (
	eventClaim     lifecycleEvent = "claim"
	eventSupersede lifecycleEvent = "supersede" // a claim after its claimant gave up an earlier one
	eventRan       lifecycleEvent = "ran"
	eventNotRun    lifecycleEvent = "not_run"
	eventLost      lifecycleEvent = "lost" // the claimant cannot tell whether the order ran
)

// lifecycle applies the transition table of orders. It is not safe for concurrent use.
type lifecycle struct{ machine *fsm.FSM }

func newLifecycle() lifecycle {
	return lifecycle{machine: fsm.NewFSM(string(StateAbsent), fsm.Events{
		{Name: string(eventClaim), Src: states(StateAbsent, StateReleased), Dst: string(StateClaimed)},
		{Name: string(eventSupersede), Src: states(StateClaimed), Dst: string(StateClaimed)},
		{Name: string(eventRan), Src: states(StateClaimed, StateUnknown, StateReleased), Dst: string(StateFinished)},
		{Name: string(eventNotRun), Src: states(StateClaimed, StateUnknown), Dst: string(StateReleased)},
		{Name: string(eventLost), Src: states(StateClaimed), Dst: string(StateUnknown)},
	}, nil)}
}

func states(list ...State) []string {
	names := make([]string, len(list))
	for i, s := range list {
		names[i] = string(s)
	}
	return names
}

// next returns the state after event, and whether the table allows the event.
func (l lifecycle) next(from State, event lifecycleEvent) (State, bool) {
	l.machine.SetState(string(from))
	if !l.machine.Can(string(event)) {
		return from, false
	}
	err := l.machine.Event(context.Background(), string(event))
	if _, unchanged := err.(fsm.NoTransitionError); err != nil && !unchanged {
		return from, false
	}
	return State(l.machine.Current()), true
}

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

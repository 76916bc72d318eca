// Package rollout is the lifecycle of one generation at one process, from the
// first time it is heard of until a later one replaces it.
package rollout

import (
	"context"

	"github.com/looplab/fsm"

	"savoryweir/internal/state/bundle"
)

// State is a state of the lifecycle.
type State string

// The states.
const (
	Heard      State = "heard"      // a peer or the store named the generation
	Fetching   State = "fetching"   // approval and sections are being fetched
	Waiting    State = "waiting"    // the fetch failed and is repeated later
	Verifying  State = "verifying"  // all data is here and is checked
	InForce    State = "in_force"   // requests that start now run under it
	Refused    State = "refused"    // hashes, signatures or content are not valid
	Superseded State = "superseded" // a later generation is in force
)

// Event moves the lifecycle from one state to another.
type Event string

// The events.
const (
	Fetch     Event = "fetch"
	Fail      Event = "fail"
	Complete  Event = "complete"
	Accept    Event = "accept"
	Refuse    Event = "refuse"
	Supersede Event = "supersede"
)

// Transition is one line of the table of states.
type Transition struct {
	Event Event
	From  []State
	To    State
}

// Table returns all transitions. Refused and superseded are final.
func Table() []Transition {
	return []Transition{
		{Fetch, []State{Heard, Waiting}, Fetching},
		{Fail, []State{Fetching}, Waiting},
		{Complete, []State{Fetching}, Verifying},
		{Accept, []State{Verifying}, InForce},
		{Refuse, []State{Fetching, Verifying}, Refused},
		{Supersede, []State{Heard, Fetching, Waiting, Verifying, InForce}, Superseded},
	}
}

// Rollout is the lifecycle of one head.
type Rollout struct {
	Head    bundle.Head
	machine *fsm.FSM
}

// New returns the lifecycle of a head that was just heard of.
func New(head bundle.Head) *Rollout {
	var events fsm.Events
	for _, t := range Table() {
		var from []string
		for _, s := range t.From {
			from = append(from, string(s))
		}
		events = append(events, fsm.EventDesc{Name: string(t.Event), Src: from, Dst: string(t.To)})
	}
	return &Rollout{Head: head, machine: fsm.NewFSM(string(Heard), events, nil)}
}

// State returns the present state.
func (r *Rollout) State() State { return State(r.machine.Current()) }

// Apply moves the lifecycle, or returns an error if the event does not fit the state.
func (r *Rollout) Apply(event Event) error {
	return r.machine.Event(context.Background(), string(event))
}

// Package rollout is the state machine of one generation in one process, from the first
// notice of the generation until a later one replaces it.
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
	Heard      State = "heard"      // a peer or the store announced the generation
	Fetching   State = "fetching"   // the approval and the sections are being fetched
	Waiting    State = "waiting"    // the fetch failed and will be retried
	Verifying  State = "verifying"  // all data has been fetched and is being verified
	InForce    State = "in_force"   // the generation is active and applies to new requests
	Refused    State = "refused"    // hashes, signatures or content are invalid
	Superseded State = "superseded" // a later generation is active
)

// Event causes a transition from one state to another.
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

// Transition is one row of the transition table.
type Transition struct {
	Event Event
	From  []State
	To    State
}

// Table returns the transition table. Refused and Superseded are final states.
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

// Rollout is the state machine of one head.
type Rollout struct {
	Head    bundle.Head
	machine *fsm.FSM
}

// New returns the state machine of a newly announced head, in state Heard.
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

// State returns the current state.
func (r *Rollout) State() State { return State(r.machine.Current()) }

// Apply makes the transition that the event causes. It returns an error, and the state does
// not change, if the event has no transition from the current state.
func (r *Rollout) Apply(event Event) error {
	return r.machine.Event(context.Background(), string(event))
}

// Package timeline records the events of a process in a ring buffer, and merges the
// events of several processes into one timeline in causal order.
package timeline

import (
	"sync"

	"savoryweir/internal/state/hlc"
)

// Kind is the type of an event.
type Kind string

// Kinds of events. Each component adds its kinds here, grouped by subject.
const (
	KindProcessStarted  Kind = "process.started"
	KindProcessStopping Kind = "process.stopping"

	KindRequestReceived Kind = "request.received"
	KindRequestRouted   Kind = "request.routed"
	KindRequestRetried  Kind = "request.retried"
	KindRequestRefused  Kind = "request.refused"
	KindRequestFinished Kind = "request.finished"

	KindOrderClaimed  Kind = "order.claimed"
	KindOrderFinished Kind = "order.finished"
	KindOrderUnknown  Kind = "order.unknown"

	KindBundleHeard      Kind = "bundle.heard"
	KindBundleAccepted   Kind = "bundle.accepted" // signatures and content are valid
	KindBundleInForce    Kind = "bundle.in_force"
	KindBundleRefused    Kind = "bundle.refused"
	KindBundleSuperseded Kind = "bundle.superseded"

	KindMemberJoined    Kind = "member.joined"
	KindMemberSuspected Kind = "member.suspected"
	KindMemberLeft      Kind = "member.left"

	KindLoadIntended  Kind = "load.intended"
	KindLoadSent      Kind = "load.sent"
	KindLoadConfirmed Kind = "load.confirmed"
	KindLoadSettled   Kind = "load.settled"

	KindUpstreamEjected  Kind = "upstream.ejected"
	KindUpstreamRestored Kind = "upstream.restored"
	KindUpstreamLeaving  Kind = "upstream.leaving"
)

// Event is one entry of a timeline. Fields that do not apply to its kind are empty.
type Event struct {
	Time       hlc.Timestamp `json:"time"`
	Process    string        `json:"process"`
	Instance   string        `json:"instance"`
	Zone       string        `json:"zone,omitempty"`
	Kind       Kind          `json:"kind"`
	Request    string        `json:"request,omitempty"`
	Order      string        `json:"order,omitempty"`
	Upstream   string        `json:"upstream,omitempty"`
	Model      string        `json:"model,omitempty"`
	Generation uint64        `json:"generation,omitempty"`
	Note       string        `json:"note,omitempty"`
}

// Recorder keeps the most recent events of a process. It is safe for concurrent use.
type Recorder struct {
	clock  *hlc.Clock
	origin Event // process, instance and availability zone of all events

	mu     sync.Mutex // guards events, next and full
	events []Event    // ring buffer
	next   int        // index that the next event is written to
	full   bool       // the oldest event is at next
}

// NewRecorder returns a recorder that keeps the last capacity events and sets the
// process, instance and availability zone of each.
func NewRecorder(clock *hlc.Clock, process, instance, zone string, capacity int) *Recorder {
	return &Recorder{
		clock:  clock,
		origin: Event{Process: process, Instance: instance, Zone: zone},
		events: make([]Event, max(capacity, 1)),
	}
}

// Clock returns the clock that the events get their timestamps from.
func (r *Recorder) Clock() *hlc.Clock { return r.clock }

// Record sets the origin and time of an event and stores it. If the buffer is full,
// the oldest event is overwritten.
func (r *Recorder) Record(e Event) {
	e.Process, e.Instance, e.Zone = r.origin.Process, r.origin.Instance, r.origin.Zone
	r.mu.Lock()
	defer r.mu.Unlock()
	e.Time = r.clock.Now()
	r.events[r.next] = e
	r.next++
	if r.next == len(r.events) {
		r.next = 0
		r.full = true
	}
}

// Events returns the stored events, oldest first.
func (r *Recorder) Events() []Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.full {
		return append([]Event(nil), r.events[:r.next]...)
	}
	return append(append([]Event(nil), r.events[r.next:]...), r.events[:r.next]...)
}

// Package timeline records the typed events of a process in a bounded ring.
package timeline

import (
	"sync"

	"savoryweir/internal/state/hlc"
)

// Kind is the type of an event.
type Kind string

// The kinds of events. Each part of the system adds its own here, in groups.
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

// Event is one entry of the time line. Empty fields do not apply.
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

// Recorder keeps the last events of a process. It is safe for concurrent use.
type Recorder struct {
	clock  *hlc.Clock
	origin Event

	mu     sync.Mutex // guards events, next and full
	events []Event
	next   int
	full   bool
}

// NewRecorder returns a recorder that keeps capacity events and stamps each
// with the process, instance and availability zone given.
func NewRecorder(clock *hlc.Clock, process, instance, zone string, capacity int) *Recorder {
	return &Recorder{
		clock:  clock,
		origin: Event{Process: process, Instance: instance, Zone: zone},
		events: make([]Event, max(capacity, 1)),
	}
}

// Clock returns the clock that stamps the events.
func (r *Recorder) Clock() *hlc.Clock { return r.clock }

// Record stamps and stores one event. The oldest event is dropped when the ring is full.
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

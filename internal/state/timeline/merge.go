package timeline

import (
	"cmp"
	"slices"
)

// Lane identifies the process that recorded an event. A timeline shows the events of
// each process in a lane of their own.
type Lane struct {
	Zone     string
	Instance string
	Process  string
}

// Lane returns the lane of the process that recorded the event.
func (e Event) Lane() Lane { return Lane{Zone: e.Zone, Instance: e.Instance, Process: e.Process} }

// Compare compares lanes by availability zone, then instance, then process.
func (l Lane) Compare(other Lane) int {
	return cmp.Or(cmp.Compare(l.Zone, other.Zone), cmp.Compare(l.Instance, other.Instance), cmp.Compare(l.Process, other.Process))
}

// String returns the lane as ZONE/INSTANCE/PROCESS, without the zone if that is empty.
func (l Lane) String() string {
	name := l.Instance + "/" + l.Process
	if l.Zone != "" {
		name = l.Zone + "/" + name
	}
	return name
}

// Merge returns the events of several processes in causal order. An event that
// happened before another, in the same process or through messages, comes first,
// because the receiver of a message advances its hybrid logical clock past that of
// the sender. Events with equal timestamps are unrelated and are ordered by lane. An
// event that occurs in several lists is returned once.
func Merge(lists ...[]Event) []Event {
	merged := slices.Concat(lists...)
	slices.SortStableFunc(merged, func(a, b Event) int {
		return cmp.Or(a.Time.Compare(b.Time), a.Lane().Compare(b.Lane()))
	})
	return slices.Compact(merged)
}

// Filter selects events by the values of their fields. An empty field matches every
// event.
type Filter struct {
	Request    string
	Order      string
	Upstream   string
	Model      string
	Generation uint64
}

// Matches reports whether the event has the values of all fields of the filter that
// are not empty.
func (f Filter) Matches(e Event) bool {
	return matches(f.Request, e.Request) && matches(f.Order, e.Order) && matches(f.Upstream, e.Upstream) &&
		matches(f.Model, e.Model) && (f.Generation == 0 || f.Generation == e.Generation)
}

// matches reports whether want is empty or equal to value.
func matches(want, value string) bool { return want == "" || want == value }

// Apply returns the events that match the filter, in their order.
func (f Filter) Apply(events []Event) []Event {
	var selected []Event
	for _, e := range events {
		if f.Matches(e) {
			selected = append(selected, e)
		}
	}
	return selected
}

// Lanes returns the distinct lanes of the events in the order of Lane.Compare.
func Lanes(events []Event) []Lane {
	seen := make(map[Lane]bool)
	var lanes []Lane
	for _, e := range events {
		if !seen[e.Lane()] {
			seen[e.Lane()] = true
			lanes = append(lanes, e.Lane())
		}
	}
	slices.SortFunc(lanes, Lane.Compare)
	return lanes
}

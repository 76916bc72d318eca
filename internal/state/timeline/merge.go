package timeline

import (
	"cmp"
	"slices"
)

// Lane names the process that recorded an event.
type Lane struct {
	Zone     string
	Instance string
	Process  string
}

// Lane returns the process that recorded the event.
func (e Event) Lane() Lane { return Lane{Zone: e.Zone, Instance: e.Instance, Process: e.Process} }

// Compare orders lanes by availability zone, instance and process.
func (l Lane) Compare(other Lane) int {
	return cmp.Or(cmp.Compare(l.Zone, other.Zone), cmp.Compare(l.Instance, other.Instance), cmp.Compare(l.Process, other.Process))
}

// String names the lane in a line.
func (l Lane) String() string {
	name := l.Instance + "/" + l.Process
	if l.Zone != "" {
		name = l.Zone + "/" + name
	}
	return name
}

// Merge returns the events of many processes in causal order: an event that happened
// before another, in one process or along messages, comes first, since the hybrid
// logical clock of each message's receiver has passed that of its sender. Events at
// the same time are unrelated and are ordered by lane. Events that stand in several
// lists are returned once.
func Merge(lists ...[]Event) []Event {
	merged := slices.Concat(lists...)
	slices.SortStableFunc(merged, func(a, b Event) int {
		return cmp.Or(a.Time.Compare(b.Time), a.Lane().Compare(b.Lane()))
	})
	return slices.Compact(merged)
}

// Filter selects events. Empty fields select all.
type Filter struct {
	Request    string
	Order      string
	Upstream   string
	Model      string
	Generation uint64
}

// Matches reports whether the event has all values of the filter.
func (f Filter) Matches(e Event) bool {
	return matches(f.Request, e.Request) && matches(f.Order, e.Order) && matches(f.Upstream, e.Upstream) &&
		matches(f.Model, e.Model) && (f.Generation == 0 || f.Generation == e.Generation)
}

func matches(want, have string) bool { return want == "" || want == have }

// Apply returns the events that match.
func (f Filter) Apply(events []Event) []Event {
	var selected []Event
	for _, e := range events {
		if f.Matches(e) {
			selected = append(selected, e)
		}
	}
	return selected
}

// Lanes returns the lanes of the events in order.
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

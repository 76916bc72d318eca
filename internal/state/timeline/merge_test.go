package timeline

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"savoryweir/internal/state/hlc"
)

// Processes whose physical clocks are off by up to an hour send messages to one
// another. In the merged timeline no event may precede an event that its process
// knew of when it was recorded.
func TestMergeKeepsCausalOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const processes = 4
		now := time.UnixMilli(1_000_000_000)
		var recorders [processes]*Recorder
		var known [processes]map[string]bool // events that each process knows of
		for i := range recorders {
			skew := time.Duration(rapid.IntRange(-3600, 3600).Draw(t, "skew")) * time.Second
			clock := hlc.New(func() time.Time { return now.Add(skew) })
			recorders[i] = NewRecorder(clock, "p", fmt.Sprint(i), "", 100)
			known[i] = make(map[string]bool)
		}
		predecessors := make(map[string][]string)
		for step := range rapid.IntRange(1, 40).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 2).Draw(t, "pause")) * time.Millisecond)
			i := rapid.IntRange(0, processes-1).Draw(t, "process")
			if rapid.Bool().Draw(t, "message") {
				from := rapid.IntRange(0, processes-1).Draw(t, "sender")
				recorders[i].Clock().Observe(recorders[from].Clock().Now())
				for id := range known[from] {
					known[i][id] = true
				}
				continue
			}
			id := fmt.Sprint(step)
			for earlier := range known[i] {
				predecessors[id] = append(predecessors[id], earlier)
			}
			recorders[i].Record(Event{Note: id})
			known[i][id] = true
		}
		var lists [][]Event
		for _, r := range recorders {
			lists = append(lists, r.Events())
		}
		seen := make(map[string]bool)
		for _, e := range Merge(lists...) {
			for _, earlier := range predecessors[e.Note] {
				if !seen[earlier] {
					t.Fatalf("event %s precedes event %s, which its process knew of", e.Note, earlier)
				}
			}
			seen[e.Note] = true
		}
	})
}

func TestMergeReturnsDuplicateEventsOnce(t *testing.T) {
	events := []Event{{Time: hlc.Timestamp{WallMillis: 1}, Instance: "a"}, {Time: hlc.Timestamp{WallMillis: 2}, Instance: "a"}}
	other := []Event{{Time: hlc.Timestamp{WallMillis: 1}, Instance: "b"}}
	assert.DeepEqual(t, Merge(events, other, events[1:]), []Event{events[0], other[0], events[1]})
}

func TestFilterMatchesEventsWithAllItsValues(t *testing.T) {
	event := Event{Request: "r", Order: "o", Upstream: "u", Model: "m", Generation: 3}
	for _, test := range []struct {
		filter Filter
		want   bool
	}{
		{Filter{}, true},
		{Filter{Request: "r", Generation: 3}, true},
		{Filter{Request: "x"}, false},
		{Filter{Order: "x"}, false},
		{Filter{Upstream: "x"}, false},
		{Filter{Model: "x"}, false},
		{Filter{Generation: 4}, false},
	} {
		assert.Equal(t, test.filter.Matches(event), test.want, "%+v", test.filter)
	}
}

func TestLanesAreDistinctAndSorted(t *testing.T) {
	events := []Event{{Zone: "b", Instance: "1", Process: "entry"}, {Zone: "a", Instance: "2", Process: "control"}, {Zone: "b", Instance: "1", Process: "entry"}}
	assert.DeepEqual(t, Lanes(events), []Lane{{"a", "2", "control"}, {"b", "1", "entry"}})
}

package loads

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"savoryweir/internal/state/fleet"
)

func runningAt(id fleet.UpstreamID, n int) Stats {
	return Stats{Loads: map[fleet.UpstreamID]Load{id: {Running: n}}, Outcomes: map[fleet.UpstreamID]OutcomeCounts{id: {Answered: float64(n)}}, Instances: 1}
}

// Each instance must get the loads of all others, neither its own nor any load twice.
func TestEachMemberGetsSumOverAllOthers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(100, 0)
		a := NewAggregate(time.Second)
		members, total, count := map[string]int{}, 0, 0
		for i := range rapid.IntRange(1, 6).Draw(t, "members") {
			name := fmt.Sprint("i", i)
			for range rapid.IntRange(1, 3).Draw(t, "reports") { // a later report replaces the earlier one
				members[name] = rapid.IntRange(0, 9).Draw(t, "running")
				a.SetMember(now, name, runningAt("u", members[name]))
			}
			total += members[name]
			count++
		}
		for i := range rapid.IntRange(0, 3).Draw(t, "zones") {
			n := rapid.IntRange(0, 50).Draw(t, "zone running")
			s := runningAt("u", n)
			s.Instances = 7
			a.SetZone(now, fmt.Sprint("z", i), s)
			total, count = total+n, count+7
		}
		sum := a.FleetSum(now, a.ZoneSum(now))
		for name, own := range members {
			got := a.WithoutMember(sum, name)
			if got.Loads["u"].Running != total-own || got.Instances != count-1 || got.Outcomes["u"].Answered != float64(total-own) {
				t.Fatalf("%s gets %+v of a total of %d, its own %d", name, got, total, own)
			}
		}
	})
}

func TestAggregateDropsOldReports(t *testing.T) {
	now := time.Unix(100, 0)
	a := NewAggregate(time.Second)
	a.SetMember(now, "gone", runningAt("u", 1))
	a.SetZone(now, "cut off", runningAt("u", 10))
	now = now.Add(900 * time.Millisecond)
	a.SetMember(now, "here", runningAt("u", 100))
	assert.Equal(t, a.FleetSum(now, a.ZoneSum(now)).Loads["u"].Running, 111)
	now = now.Add(200 * time.Millisecond)
	assert.Equal(t, a.FleetSum(now, a.ZoneSum(now)).Loads["u"].Running, 100)
	assert.DeepEqual(t, a.Members(now), []string{"here"})
}

func TestSumReplacesReportsOfSingleInstances(t *testing.T) {
	now := time.Unix(100, 0)
	tracker, failures := NewTracker(time.Second), NewFailureTracker(time.Second)
	tracker.SetRemote(now, "i1", map[fleet.UpstreamID]Load{"u": {Running: 5}})
	failures.SetRemote(now, "i1", map[fleet.UpstreamID]OutcomeCounts{"u": {Failed: 5}})
	tracker.ReplaceRemote(now, map[fleet.UpstreamID]Load{"u": {Running: 8}})
	failures.ReplaceRemote(now, map[fleet.UpstreamID]OutcomeCounts{"u": {Failed: 7}}, 15)
	assert.Equal(t, tracker.Total(now, "u").Running, 8)
	assert.Equal(t, failures.FailureRate(now, "u"), 0.7)
	for range 1000 {
		failures.Record(now, "u", true)
	}
	assert.Equal(t, failures.Local(now)["u"].Answered, maxOutcomeWeight/16, "the limit is shared by 16 instances")
}

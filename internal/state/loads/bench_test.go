package loads

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"savoryweir/internal/state/fleet"
)

// BenchmarkTrackersInLargeFleet measures the work of one instance in one second, in a
// fleet of 83 instances and 140 upstreams: it receives 160 reports of 20 loads each and
// makes ten choices among 12 candidates.
func BenchmarkTrackersInLargeFleet(b *testing.B) {
	const instances, upstreams, reports, loadsPerReport, choices, candidates = 83, 140, 160, 20, 10, 12
	random := rand.New(rand.NewPCG(1, 1))
	id := func() fleet.UpstreamID { return fleet.UpstreamID(fmt.Sprintf("i-%010d", random.IntN(upstreams))) }
	tracker, failures := NewTracker(3*time.Second), NewFailureTracker(3*time.Second)
	now := time.Unix(100, 0)
	b.ReportAllocs()
	for range b.N {
		for r := range reports {
			now = now.Add(time.Second / reports)
			remoteLoads, outcomes := make(map[fleet.UpstreamID]Load, loadsPerReport), make(map[fleet.UpstreamID]OutcomeCounts)
			for range loadsPerReport {
				remoteLoads[id()] = Load{PendingPrefill: [PriorityRanks]time.Duration{1: 100 * time.Millisecond}, Running: 1}
			}
			tracker.SetRemote(now, fmt.Sprint(random.IntN(instances)), remoteLoads)
			failures.SetRemote(now, fmt.Sprint(random.IntN(instances)), outcomes)
			if r%(reports/choices) == 0 {
				for range candidates {
					u := id()
					tracker.Total(now, u)
					failures.FailureRate(now, u)
				}
			}
		}
	}
}

package loads

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"savoryweir/internal/state/fleet"
)

// BenchmarkSecondOfALargeFleet plays what an instance hears and asks in a second among
// 83 instances before 140 upstreams: 160 reports of 20 loads, ten choices out of 12.
func BenchmarkSecondOfALargeFleet(b *testing.B) {
	const instances, upstreams, reports, told, choices, candidates = 83, 140, 160, 20, 10, 12
	random := rand.New(rand.NewPCG(1, 1))
	id := func() fleet.UpstreamID { return fleet.UpstreamID(fmt.Sprintf("i-%010d", random.IntN(upstreams))) }
	book, sound := NewTracker(3*time.Second), NewFailureTracker(3*time.Second)
	now := time.Unix(100, 0)
	b.ReportAllocs()
	for range b.N {
		for r := range reports {
			now = now.Add(time.Second / reports)
			l, outcomes := make(map[fleet.UpstreamID]Load, told), make(map[fleet.UpstreamID]OutcomeCounts)
			for range told {
				l[id()] = Load{PendingPrefill: [PriorityRanks]time.Duration{1: 100 * time.Millisecond}, Running: 1}
			}
			book.SetRemote(now, fmt.Sprint(random.IntN(instances)), l)
			sound.SetRemote(now, fmt.Sprint(random.IntN(instances)), outcomes)
			if r%(reports/choices) == 0 {
				for range candidates {
					u := id()
					book.Total(now, u)
					sound.FailureRate(now, u)
				}
			}
		}
	}
}

package membership

import (
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"

	"savoryweir/internal/coordination/gossip"
	"savoryweir/internal/coordination/membership"
	"savoryweir/internal/settings"
)

// DefaultScenario returns a run with the defaults at a size.
func DefaultScenario(instances int, seed uint64, loss float64) Scenario {
	return Scenario{
		Instances:  instances,
		Zones:      6,
		Seed:       seed,
		Loss:       loss,
		Latency:    time.Millisecond,
		Membership: settings.Defaults[membership.Settings](),
		Spread:     settings.Defaults[gossip.Settings](),
	}
}

// Result is what one run showed.
type Result struct {
	Instances        int
	Loss             float64
	CallsPerSecond   float64 // per instance
	BytesPerSecond   float64 // per instance, sent
	FalseDeaths      int
	DetectionMedian  time.Duration // until half of the instances hold a killed one for dead
	DetectionLongest time.Duration // until all do
	HeadLongest      time.Duration // until a new bundle head is in force everywhere
	HeadMissing      int
}

// steadyTime is how long a run is watched without faults.
const steadyTime = 5 * time.Minute

// settleTime is how long a run is watched after a fault or a change.
const settleTime = time.Minute

// Measure runs one scenario: steady state, a new bundle head, then a killed instance.
func Measure(s Scenario) Result {
	n := NewNet(s)
	n.Run(steadyTime)
	steady := n.TotalTraffic()
	falseDeaths := n.FalseDeaths

	accepted := n.Now()
	n.Accept(0, 1)
	n.Run(settleTime)
	delays, missing := n.HeadDelays(1, accepted)

	killed := s.Instances - 1
	n.Stop(killed)
	n.Run(settleTime)
	seen := slices.Sorted(slices.Values(n.DeathsSeen[n.order[killed].id]))

	perInstance := float64(s.Instances) * steadyTime.Seconds()
	r := Result{
		Instances:      s.Instances,
		Loss:           s.Loss,
		CallsPerSecond: float64(steady.Calls) / perInstance,
		BytesPerSecond: float64(steady.Bytes) / perInstance,
		FalseDeaths:    falseDeaths,
		HeadLongest:    slices.Max(delays),
		HeadMissing:    missing,
	}
	if len(seen) == s.Instances-1 {
		r.DetectionMedian, r.DetectionLongest = seen[len(seen)/2], seen[len(seen)-1]
	}
	return r
}

// Sizes are the numbers of instances that are measured.
var Sizes = []int{9, 40, 160, 320}

// Report prints a table over all sizes and two rates of loss.
func Report(w io.Writer, seed uint64) error {
	fmt.Fprintf(w, "membership and spread, seed %d, %s steady\n", seed, steadyTime)
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "instances\tloss\tcalls/s\tsent B/s\tfalse deaths\tdead half\tdead all\thead all\thead missing\t")
	for _, size := range Sizes {
		for _, loss := range []float64{0, 0.05} {
			r := Measure(DefaultScenario(size, seed, loss))
			fmt.Fprintf(table, "%d\t%.2f\t%.2f\t%.0f\t%d\t%s\t%s\t%s\t%d\t\n", r.Instances, r.Loss, r.CallsPerSecond,
				r.BytesPerSecond, r.FalseDeaths, r.DetectionMedian.Round(time.Millisecond),
				r.DetectionLongest.Round(time.Millisecond), r.HeadLongest.Round(time.Millisecond), r.HeadMissing)
		}
	}
	return table.Flush()
}

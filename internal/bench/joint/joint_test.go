package joint

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	// boundShare is the aim for attainment per accelerator, as a share of what
	// perfect knowledge reaches.
	boundShare = 0.95
	boundRun   = 30 * time.Minute
)

func find(t *testing.T, name string) Policy {
	t.Helper()
	for _, p := range Policies() {
		if p.Name == name {
			return p
		}
	}
	t.Fatalf("no policy %s", name)
	return Policy{}
}

// deployment returns the scenario of a seed.
type deployment func(seed uint64) Scenario

// forBothSeeds runs the check with two seeds.
func forBothSeeds(t *testing.T, d deployment, check func(t *testing.T, s Scenario)) {
	t.Helper()
	for seed := uint64(1); seed <= 2; seed++ {
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) {
			t.Parallel()
			check(t, d(seed).Lasting(boundRun))
		})
	}
}

func reachesTheAim(t *testing.T, s Scenario) {
	results := RunAll(s, []Policy{find(t, "steady"), find(t, "perfect-knowledge"), find(t, "perfect-optimist")}, 1)
	share := results[0].PerAccelerator() / Bound(results)
	assert.Assert(t, share >= boundShare, "seed %d: %.4f of the bound", s.Routing.Seed, share)
}

func TestBoundJointAttainmentInKalyvas(t *testing.T) {
	t.Parallel()
	forBothSeeds(t, Kalyvas, reachesTheAim)
}

func TestBoundJointAttainmentInMagnolia(t *testing.T) {
	t.Parallel()
	forBothSeeds(t, Magnolia, reachesTheAim)
}

func TestBoundJointHalfTheMovesOfGreedy(t *testing.T) {
	t.Parallel()
	check := func(t *testing.T, s Scenario) {
		results := RunAll(s, []Policy{find(t, "steady"), find(t, "greedy")}, 1)
		steady, greedy := results[0].MovesAnHour(), results[1].MovesAnHour()
		assert.Assert(t, 2*steady <= greedy, "seed %d: %.0f of %.0f moves an hour", s.Routing.Seed, steady, greedy)
	}
	forBothSeeds(t, Kalyvas, check)
	forBothSeeds(t, Magnolia, check)
}

func TestBoundJointHalfTheMovesOfGreedyLazyAtNoLoss(t *testing.T) {
	check := func(t *testing.T, s Scenario) {
		results := RunAll(s, []Policy{find(t, "steady"), find(t, "greedy-lazy")}, 1)
		steady, lazy := results[0], results[1]
		assert.Assert(t, 2*steady.MovesAnHour() <= lazy.MovesAnHour() && steady.PerAccelerator() >= lazy.PerAccelerator(),
			"seed %d: %.0f of %.0f moves an hour, %.5f of %.5f per accelerator", s.Routing.Seed,
			steady.MovesAnHour(), lazy.MovesAnHour(), steady.PerAccelerator(), lazy.PerAccelerator())
	}
	forBothSeeds(t, Kalyvas, check)
	forBothSeeds(t, Magnolia, check)
}

// Without moves, the shifts of demand cost more than the aim allows: the bench sees them.
func TestStaticPlacementMissesTheBound(t *testing.T) {
	missesTheBound(t, Kalyvas(1).Lasting(10*time.Minute), "static")
}

// The tokens of answers never exceed what the replicas serve, so that a model with too few
// of them is not seen.
func TestDemandByAnswersMissesTheBound(t *testing.T) {
	missesTheBound(t, Magnolia(1).Lasting(10*time.Minute), "steady-answers")
}

func missesTheBound(t *testing.T, s Scenario, name string) {
	t.Helper()
	t.Parallel()
	results := RunAll(s, []Policy{find(t, name), find(t, "perfect-knowledge")}, 1)
	share := results[0].PerAccelerator() / Bound(results)
	assert.Assert(t, share < boundShare, "%.4f of the bound", share)
}

func TestSameSeedGivesTheSameBytes(t *testing.T) {
	s := Kalyvas(7).Lasting(time.Minute)
	s.Placement.WarmUp, s.Routing.Warmup, s.Routing.Duration = 0, 0, time.Minute
	write := func() []byte {
		var out bytes.Buffer
		folder := t.TempDir()
		results := RunAll(s, []Policy{find(t, "steady"), find(t, "perfect-knowledge")}, 2)
		assert.NilError(t, WriteTable(&out, s.Routing.Name, results))
		assert.NilError(t, WritePlots(folder, s, results))
		for _, plot := range []string{"classes", "moves"} {
			data, err := os.ReadFile(filepath.Join(folder, s.Routing.Name+"-"+plot+".svg"))
			assert.NilError(t, err)
			out.Write(data)
		}
		return out.Bytes()
	}
	assert.Assert(t, bytes.Equal(write(), write()))
}

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

func deployments(seed uint64) []Scenario {
	return []Scenario{Kalyvas(seed).Lasting(boundRun), Magnolia(seed).Lasting(boundRun)}
}

// forEachRun runs the check in both deployments with two seeds.
func forEachRun(t *testing.T, check func(t *testing.T, s Scenario)) {
	for seed := uint64(1); seed <= 2; seed++ {
		for _, s := range deployments(seed) {
			t.Run(fmt.Sprintf("%s-%d", s.Placement.Name, seed), func(t *testing.T) {
				t.Parallel()
				check(t, s)
			})
		}
	}
}

func TestBoundJointAttainmentPerAccelerator(t *testing.T) {
	forEachRun(t, func(t *testing.T, s Scenario) {
		results := RunAll(s, []Policy{find(t, "steady"), find(t, "perfect-knowledge"), find(t, "perfect-optimist")}, 1)
		share := results[0].PerAccelerator() / Bound(results)
		assert.Assert(t, share >= boundShare, "seed %d: %.4f of the bound", s.Routing.Seed, share)
	})
}

func TestBoundJointHalfTheMovesOfGreedy(t *testing.T) {
	forEachRun(t, func(t *testing.T, s Scenario) {
		results := RunAll(s, []Policy{find(t, "steady"), find(t, "greedy")}, 1)
		steady, greedy := results[0].MovesAnHour(), results[1].MovesAnHour()
		assert.Assert(t, 2*steady <= greedy, "seed %d: %.0f of %.0f moves an hour", s.Routing.Seed, steady, greedy)
	})
}

func TestBoundJointHalfTheMovesOfGreedyLazyAtNoLoss(t *testing.T) {
	forEachRun(t, func(t *testing.T, s Scenario) {
		results := RunAll(s, []Policy{find(t, "steady"), find(t, "greedy-lazy")}, 1)
		steady, lazy := results[0], results[1]
		assert.Assert(t, 2*steady.MovesAnHour() <= lazy.MovesAnHour() && steady.PerAccelerator() >= lazy.PerAccelerator(),
			"seed %d: %.0f of %.0f moves an hour, %.5f of %.5f per accelerator", s.Routing.Seed,
			steady.MovesAnHour(), lazy.MovesAnHour(), steady.PerAccelerator(), lazy.PerAccelerator())
	})
}

// Without moves, the shifts of demand cost more than the aim allows: the bench sees them.
func TestStaticPlacementMissesTheAim(t *testing.T) {
	s := Kalyvas(1).Lasting(10 * time.Minute)
	results := RunAll(s, []Policy{find(t, "static"), find(t, "perfect-knowledge")}, 1)
	share := results[0].PerAccelerator() / Bound(results)
	assert.Assert(t, share < boundShare, "%.4f of the bound", share)
}

func TestSameSeedGivesTheSameBytes(t *testing.T) {
	s := Kalyvas(7).Lasting(time.Minute)
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

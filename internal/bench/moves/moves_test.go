package moves

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// short returns the scenario with less time, for the tests.
func short(s Scenario) Scenario {
	s.Duration = 30 * time.Minute
	return s
}

func policy(t *testing.T, name string) Policy {
	t.Helper()
	for _, p := range Policies() {
		if p.Name == name {
			return p
		}
	}
	t.Fatalf("no policy %s", name)
	return Policy{}
}

func TestSameSeedGivesTheSameBytes(t *testing.T) {
	s := Kalyvas()
	s.WarmUp, s.Duration = time.Minute, 5*time.Minute
	var tables [2]bytes.Buffer
	var plots [2][]byte
	for i := range tables {
		results := []Result{Run(s, policy(t, "static"), 7), Run(s, policy(t, "steady"), 7)}
		Print(&tables[i], s, 7, results)
		folder := t.TempDir()
		assert.NilError(t, Plot(folder, s, results))
		data, err := os.ReadFile(filepath.Join(folder, "placement-kalyvas-moves.svg"))
		assert.NilError(t, err)
		plots[i] = data
	}
	assert.Equal(t, tables[0].String(), tables[1].String())
	assert.Assert(t, bytes.Equal(plots[0], plots[1]))
}

// TestBoundMovesAndAttainment holds the targets: half the moves of the greedy baseline or
// fewer at no loss of attainment, and 95 % of what perfect knowledge serves at 85 % load.
func TestBoundMovesAndAttainment(t *testing.T) {
	for _, s := range []Scenario{short(Kalyvas()), short(Magnolia())} {
		t.Run(s.Name, func(t *testing.T) {
			greedy, steady := Run(s, policy(t, "greedy"), 1), Run(s, policy(t, "steady"), 1)
			t.Logf("moves %d of %d, attainment %.4f of %.4f", steady.Moves(), greedy.Moves(), steady.Attainment(), greedy.Attainment())
			assert.Assert(t, 2*steady.Moves() <= greedy.Moves())
			assert.Assert(t, steady.Attainment() >= greedy.Attainment())
			assert.Assert(t, steady.Served >= 0.95*steady.Bound)
		})
	}
}

package rosterplan

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"savoryweir/internal/state/bundle"
	"savoryweir/internal/state/roster"
)

func newEngines(n, zones int) []bundle.Upstream {
	var list []bundle.Upstream
	for i := range n {
		list = append(list, bundle.Upstream{ID: bundle.UpstreamID(fmt.Sprintf("e%03d", i)), Zone: bundle.Zone(fmt.Sprint("z", i%zones))})
	}
	return list
}

func allComplete(roster.Entry) bool  { return true }
func noneComplete(roster.Entry) bool { return false }

func cellSizes(r roster.Roster) []int {
	counts := make([]int, r.Ledgers)
	for _, e := range r.Entries {
		counts[e.Cell]++
	}
	return counts
}

func TestCellCountFollowsEnginesWithHysteresis(t *testing.T) {
	s := Settings{CellSize: 18}
	cases := []struct{ cells, engines, want int }{
		{0, 0, 1}, {0, 22, 1}, {0, 710, 39},
		{1, 27, 1}, {1, 28, 2}, {2, 19, 2}, {2, 17, 1},
		{39, 1053, 39}, {39, 1054, 59}, {39, 351, 39}, {39, 350, 19},
	}
	for _, c := range cases {
		assert.Equal(t, cellCount(c.cells, c.engines, s), c.want, "%+v", c)
	}
	assert.Equal(t, cellCount(3, 710, Settings{CellSize: 18, CellCount: 5}), 5)
}

func TestGrowthMovesOnlyAsManyEnginesAsTheNewCellsNeed(t *testing.T) {
	list := newEngines(72, 6)
	first, changed := Next(roster.Roster{}, list, allComplete, Settings{CellSize: 36})
	assert.Assert(t, changed)
	assert.DeepEqual(t, cellSizes(first), []int{36, 36})
	grown, changed := Next(first, list, allComplete, Settings{CellSize: 18})
	assert.Assert(t, changed)
	moved := 0
	for _, e := range grown.Entries {
		before, _ := first.Entry(e.Engine)
		if before.Cell == e.Cell {
			assert.Equal(t, e, before)
			continue
		}
		moved++
		assert.Equal(t, e, roster.Entry{Engine: e.Engine, Cell: e.Cell, From: before.Cell, Move: 1})
	}
	assert.Assert(t, moved <= 36, "%d moved", moved)
	for _, n := range cellSizes(grown) {
		assert.Assert(t, n >= 13 && n <= 23, "%v", cellSizes(grown))
	}
	_, changed = Next(grown, list, allComplete, Settings{CellSize: 18})
	assert.Assert(t, !changed)
}

func TestCellsHaveEnginesOfAllZones(t *testing.T) {
	r, _ := Next(roster.Roster{}, newEngines(72, 6), allComplete, Settings{CellSize: 18})
	zones := make(map[string]int)
	for i, e := range r.Entries {
		zones[fmt.Sprint(e.Cell, "/", i%6)]++
	}
	assert.Equal(t, len(zones), 24)
}

func TestShrinkingMovesEnginesOutOfTheRemovedCells(t *testing.T) {
	list := newEngines(72, 6)
	r, _ := Next(roster.Roster{}, list, allComplete, Settings{CellSize: 18})
	r, changed := Next(r, list[:32], allComplete, Settings{CellSize: 18})
	assert.Assert(t, changed)
	assert.Equal(t, r.Cells, 2)
	assert.Equal(t, r.Ledgers, 4)
	for _, u := range list[:32] {
		e, _ := r.Entry(u.ID)
		assert.Assert(t, e.Cell < 2)
	}
}

func TestEngineWithPendingHandoverIsNotReassigned(t *testing.T) {
	list := newEngines(36, 3)
	r, _ := Next(roster.Roster{}, list, allComplete, Settings{CellSize: 18})
	next, changed := Next(r, list, noneComplete, Settings{CellCount: 1, CellSize: 18})
	assert.Assert(t, changed) // only the number of cells changed
	assert.DeepEqual(t, next.Entries, r.Entries)
	next, _ = Next(next, list, allComplete, Settings{CellCount: 1, CellSize: 18})
	assert.DeepEqual(t, cellSizes(next), []int{36, 0})
}

package roster

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"savoryweir/internal/state/bundle"
)

func TestAddedCellsTakeModelsWithoutMovesBetweenOldCells(t *testing.T) {
	before, after := Roster{Cells: 20}, Roster{Cells: 40}
	moved := 0
	for i := range 770 {
		id := bundle.ModelID(fmt.Sprint("model-", i))
		old, now := before.HomeCell(id), after.HomeCell(id)
		assert.Assert(t, old == now || now >= 20)
		if old != now {
			moved++
		}
	}
	assert.Assert(t, moved > 770*4/10 && moved < 770*6/10, "%d of 770 models changed their home cell", moved)
}

func TestSetKeepsOneAssignmentPerEngineInOrder(t *testing.T) {
	var r Roster
	for _, id := range []bundle.UpstreamID{"c", "a", "b", "a"} {
		r.Set(Entry{Engine: id, Move: uint64(len(r.Entries))})
	}
	assert.Equal(t, len(r.Entries), 3)
	a, ok := r.Entry("a")
	assert.Assert(t, ok)
	assert.Equal(t, a.Move, uint64(3))
	_, ok = r.Entry("d")
	assert.Assert(t, !ok)
}

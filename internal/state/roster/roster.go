// Package roster assigns the engines of a service to its placement cells, and each model
// to the cell that is responsible for keeping it resident. A roster is stored as one
// object and replaced by conditional updates.
package roster

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"savoryweir/internal/state/bundle"
	"savoryweir/internal/state/object"
)

// NoCell is the previous cell of an engine that was in no other cell before.
const NoCell = -1

// Entry assigns one engine to a cell. An assignment with a cell in From is a handover.
// It is in progress until the ledger of Cell has the engine with Move and the
// ledger of From has removed it.
type Entry struct {
	Engine bundle.UpstreamID
	Cell   int
	From   int    // the cell that the engine was in before, or NoCell
	Move   uint64 // number of handovers of the engine so far, including this one
}

// Roster is the assignment of the engines and models of one service.
type Roster struct {
	Cells   int     // number of cells that models are assigned to
	Ledgers int     // number of cells that ever existed; those numbered Cells or above are being emptied
	Entries []Entry // sorted by engine
}

// Stored is a roster with the version of its object in the store.
type Stored struct {
	Roster
	Version object.Version
}

// Entry returns the assignment of an engine, and whether there is one.
func (r Roster) Entry(id bundle.UpstreamID) (Entry, bool) {
	at, ok := slices.BinarySearchFunc(r.Entries, id, compareEngine)
	if !ok {
		return Entry{}, false
	}
	return r.Entries[at], true
}

// Set adds or replaces the assignment of an engine.
func (r *Roster) Set(a Entry) {
	at, ok := slices.BinarySearchFunc(r.Entries, a.Engine, compareEngine)
	if ok {
		r.Entries[at] = a
		return
	}
	r.Entries = slices.Insert(r.Entries, at, a)
}

func compareEngine(a Entry, id bundle.UpstreamID) int { return cmp.Compare(a.Engine, id) }

// Clone returns a deep copy.
func (r Roster) Clone() Roster {
	r.Entries = slices.Clone(r.Entries)
	return r
}

// HomeCell returns the cell that is responsible for keeping a model resident. It is chosen
// by rendezvous hashing, so when cells are added, only the models that are assigned to a
// new cell change their home.
func (r Roster) HomeCell(id bundle.ModelID) int {
	home, highestWeight := 0, uint64(0)
	for i := range r.Cells {
		if weight := xxhash.Sum64String(string(id) + "\x00" + strconv.Itoa(i)); weight > highestWeight {
			home, highestWeight = i, weight
		}
	}
	return home
}

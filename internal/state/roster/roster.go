// Package roster assigns the engines of a service to its placement cells, and
// models to the cells that have the duty to keep them resident. A roster is stored
// as one object and replaced by conditional update.
package roster

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"savoryweir/internal/state/bundle"
	"savoryweir/internal/state/object"
)

// NoCell stands for the origin of an engine that no other cell has had.
const NoCell = -1

// Entry assigns one engine. An entry with an origin is a hand-over: it is under way
// until the ledger of Cell has the engine under Move and that of From has let it go.
type Entry struct {
	Engine bundle.UpstreamID
	Cell   int
	From   int    // the cell that had the engine before, or NoCell
	Move   uint64 // hand-overs of the engine so far, this one included
}

// Roster is the assignment of one service.
type Roster struct {
	Cells   int     // cells that have models
	Ledgers int     // cells that there have ever been; those from Cells on are emptied
	Entries []Entry // in the order of the engines
}

// Stored is a roster with the version of its object.
type Stored struct {
	Roster
	Version object.Version
}

// Entry returns the assignment of an engine.
func (r Roster) Entry(id bundle.UpstreamID) (Entry, bool) {
	at, ok := slices.BinarySearchFunc(r.Entries, id, compare)
	if !ok {
		return Entry{}, false
	}
	return r.Entries[at], true
}

// Set adds or replaces an entry.
func (r *Roster) Set(e Entry) {
	at, ok := slices.BinarySearchFunc(r.Entries, e.Engine, compare)
	if ok {
		r.Entries[at] = e
		return
	}
	r.Entries = slices.Insert(r.Entries, at, e)
}

func compare(e Entry, id bundle.UpstreamID) int { return cmp.Compare(e.Engine, id) }

// Clone returns a deep copy.
func (r Roster) Clone() Roster {
	r.Entries = slices.Clone(r.Entries)
	return r
}

// Home returns the cell that has the duty to keep a model resident, by rendezvous hash:
// when cells are added, only the models that fall to a new cell change theirs.
func (r Roster) Home(id bundle.ModelID) int {
	home, highest := 0, uint64(0)
	for i := range r.Cells {
		if weight := xxhash.Sum64String(string(id) + "\x00" + strconv.Itoa(i)); weight > highest {
			home, highest = i, weight
		}
	}
	return home
}

package placing

import (
	"context"
	"errors"
	"slices"
	"time"

	"savoryweir/internal/state/bundle"
	"savoryweir/internal/state/ledger"
	"savoryweir/internal/state/object"
	"savoryweir/internal/state/roster"
)

// ErrStaleRoster reports that the ledger was written by a newer roster than the one at hand.
// Whoever has the older one may not write: it could take back an engine that was let go.
var ErrStaleRoster = errors.New("roster is older than the cell's ledger")

// Assignment is what the roster says to one cell.
type Assignment struct {
	Service bundle.ServiceName
	Index   int // of the cell
	Roster  roster.Stored
	// Upstreams are all engines of the service.
	Upstreams []bundle.Upstream
	// HomeCells gives the cell of each model of the service.
	HomeCells map[bundle.ModelID]int
}

// cellName returns the name of another cell of the service.
func (a *Assignment) cellName(index int) object.Name { return CellName(a.Service, index) }

// others reads the ledgers of other cells, each at most once in a step.
type others struct {
	cell  *Cell
	known map[object.Name]*ledger.Ledger // nil after a failed read
}

func (c *Cell) newOthers() *others {
	return &others{cell: c, known: make(map[object.Name]*ledger.Ledger)}
}

// read returns a ledger, or nil if it can't be read now.
func (o *others) read(ctx context.Context, name object.Name) *ledger.Ledger {
	if l, ok := o.known[name]; ok {
		return l
	}
	found, err := o.cell.read(ctx, name)
	if err != nil {
		found.ledger = nil
	}
	o.known[name] = found.ledger
	return found.ledger
}

// handOver brings the ledger's engines closer to the roster: it forgets what the other
// ledger has, lets one engine go, and takes in those that were let go for this cell.
// It reports whether the ledger has changed.
func (c *Cell) handOver(ctx context.Context, now time.Time, l *ledger.Ledger, scope Scope, replaced object.Version) (bool, error) {
	a := scope.Assignment
	if a == nil {
		return false, nil
	}
	if l.Roster > a.Roster.Version {
		return false, ErrStaleRoster
	}
	read := c.newOthers()
	forgotten := c.forget(ctx, l, read)
	released := replaced != 0 && release(l, a, l.FenceAt(replaced))
	adopted := c.adopt(ctx, now, l, scope, replaced, read)
	if adopted {
		clear(c.homes) // read before: the replica that they show may be the one adopted
	}
	return forgotten || released || adopted, nil
}

// forget drops the accounts that have arrived at the other ledger.
func (c *Cell) forget(ctx context.Context, l *ledger.Ledger, read *others) bool {
	changed := false
	for _, h := range slices.Clone(l.Outgoing) {
		other := read.read(ctx, h.To)
		if other == nil {
			continue
		}
		if e := other.Engine(h.Engine.ID); e != nil && e.Move == h.Engine.Move {
			l.Forget(h.Engine.ID)
			changed = true
		}
	}
	return changed
}

// release lets one engine go that the roster assigns to another cell, if none is on its way.
func release(l *ledger.Ledger, a *Assignment, fence ledger.Fence) bool {
	if len(l.Outgoing) > 0 {
		return false
	}
	for _, e := range l.Engines {
		entry, ok := a.Roster.Entry(e.ID)
		if ok && entry.Cell != a.Index && entry.From == a.Index && entry.Move > e.Move {
			l.Release(e.ID, a.cellName(entry.Cell), entry.Move, fence)
			return true
		}
	}
	return false
}

// adopt takes in the engines that are assigned here and charged nowhere else any more.
func (c *Cell) adopt(ctx context.Context, now time.Time, l *ledger.Ledger, scope Scope, replaced object.Version, read *others) bool {
	a := scope.Assignment
	changed := false
	for _, entry := range a.Roster.Entries {
		if entry.Cell != a.Index || l.Engine(entry.Engine) != nil {
			continue
		}
		if entry.From == roster.NoCell {
			changed = c.addFresh(l, scope, entry) || changed
			continue
		}
		if other := read.read(ctx, a.cellName(entry.From)); other != nil {
			if h := other.Clone().Handover(entry.Engine, scope.Name, entry.Move); h != nil {
				l.Adopt(*h, replaced)
				c.answered[entry.Engine] = now // it was not lost until now
				changed = true
			}
		}
	}
	return changed
}

// addFresh adds an engine that no ledger has had.
func (c *Cell) addFresh(l *ledger.Ledger, scope Scope, entry roster.Entry) bool {
	at := slices.IndexFunc(scope.Upstreams, func(u bundle.Upstream) bool { return u.ID == entry.Engine })
	if at < 0 {
		return false
	}
	u := scope.Upstreams[at]
	l.SetEngine(u.ID, u.Memory, c.delivery(u))
	l.Engine(u.ID).Move = entry.Move
	return true
}

// owned returns the scope with only those upstreams that the ledger has.
func (s Scope) owned(l *ledger.Ledger) Scope {
	if s.Assignment == nil {
		return s
	}
	s.Upstreams = slices.DeleteFunc(slices.Clone(s.Upstreams), func(u bundle.Upstream) bool { return l.Engine(u.ID) == nil })
	return s
}

// isIdle reports whether a cell has no engines, so that its lease need not be kept.
func (c *Cell) isIdle(current stored, scope Scope) bool {
	if scope.Assignment == nil || !current.ledger.IsEmpty() {
		return false
	}
	return current.version == 0 || current.ledger.Holder == c.instance
}

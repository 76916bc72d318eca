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

// ErrStaleRoster reports that the ledger was written under a newer roster than the known one.
// An instance with the older roster must not write: it could take back a released engine.
var ErrStaleRoster = errors.New("known roster is older than the roster of the cell's ledger")

// Assignment is what the roster assigns to one cell.
type Assignment struct {
	Service bundle.ServiceName
	Index   int // of the cell
	Roster  roster.Stored
	// Upstreams are all engines of the service.
	Upstreams []bundle.Upstream
	// HomeCells maps each model of the service to the index of its home cell.
	HomeCells map[bundle.ModelID]int
}

// cellName returns the name of another cell of the service.
func (a *Assignment) cellName(index int) object.Name { return CellName(a.Service, index) }

// ledgerReader reads the ledgers of other cells, each at most once in a reconciliation.
type ledgerReader struct {
	cell  *Cell
	known map[object.Name]*ledger.Ledger // nil after a failed read
}

func (c *Cell) newLedgerReader() *ledgerReader {
	return &ledgerReader{cell: c, known: make(map[object.Name]*ledger.Ledger)}
}

// read returns a cell's ledger, or nil if it can't be read.
func (o *ledgerReader) read(ctx context.Context, name object.Name) *ledger.Ledger {
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

// advanceHandovers moves the ledger's engines towards the roster: it forgets engines that have
// arrived in the ledger of their new cell, releases one engine, and adopts engines that other
// cells have released to this one. It reports whether the ledger has changed.
func (c *Cell) advanceHandovers(ctx context.Context, now time.Time, l *ledger.Ledger, scope Scope, replacedVersion object.Version) (bool, error) {
	a := scope.Assignment
	if a == nil {
		return false, nil
	}
	if l.Roster > a.Roster.Version {
		return false, ErrStaleRoster
	}
	reader := c.newLedgerReader()
	forgotten := c.forgetArrived(ctx, l, reader)
	released := replacedVersion != 0 && release(l, a, l.FenceAt(replacedVersion))
	adopted := c.adopt(ctx, now, l, scope, replacedVersion, reader)
	if adopted {
		clear(c.homeLedgers) // the replica in a ledger read before may be the one just adopted
	}
	return forgotten || released || adopted, nil
}

// forgetArrived drops the outgoing engines that have arrived in the other cell's ledger.
func (c *Cell) forgetArrived(ctx context.Context, l *ledger.Ledger, reader *ledgerReader) bool {
	changed := false
	for _, h := range slices.Clone(l.Outgoing) {
		other := reader.read(ctx, h.To)
		if other == nil {
			continue
		}
		if e := other.Engine(h.Engine.ID); e != nil && e.Move == h.Engine.Move {
			l.RemoveHandover(h.Engine.ID)
			changed = true
		}
	}
	return changed
}

// release releases one engine that the roster assigns to another cell, unless a handover is in progress.
func release(l *ledger.Ledger, a *Assignment, fence ledger.Fence) bool {
	if len(l.Outgoing) > 0 {
		return false
	}
	for _, e := range l.Engines {
		entry, ok := a.Roster.Entry(e.ID)
		if ok && entry.Cell != a.Index && entry.From == a.Index && entry.Move > e.Move {
			l.StartHandover(e.ID, a.cellName(entry.Cell), entry.Move, fence)
			return true
		}
	}
	return false
}

// adopt takes over the engines that are assigned to this cell and that no other ledger charges any more.
func (c *Cell) adopt(ctx context.Context, now time.Time, l *ledger.Ledger, scope Scope, replacedVersion object.Version, reader *ledgerReader) bool {
	a := scope.Assignment
	changed := false
	for _, entry := range a.Roster.Entries {
		if entry.Cell != a.Index || l.Engine(entry.Engine) != nil {
			continue
		}
		if entry.From == roster.NoCell {
			changed = c.addNewEngine(l, scope, entry) || changed
			continue
		}
		if other := reader.read(ctx, a.cellName(entry.From)); other != nil {
			if h := other.Clone().Handover(entry.Engine, scope.Name, entry.Move); h != nil {
				l.AcceptHandover(*h, replacedVersion)
				c.lastReportAt[entry.Engine] = now // an adopted engine counts as lost only after LostAfter from now
				changed = true
			}
		}
	}
	return changed
}

// addNewEngine adds an engine that no ledger has had before.
func (c *Cell) addNewEngine(l *ledger.Ledger, scope Scope, entry roster.Entry) bool {
	at := slices.IndexFunc(scope.Upstreams, func(u bundle.Upstream) bool { return u.ID == entry.Engine })
	if at < 0 {
		return false
	}
	u := scope.Upstreams[at]
	l.SetEngine(u.ID, u.Memory, c.delivery(u))
	l.Engine(u.ID).Move = entry.Move
	return true
}

// withOwnedEngines returns the scope restricted to the upstreams that the ledger has.
func (s Scope) withOwnedEngines(l *ledger.Ledger) Scope {
	if s.Assignment == nil {
		return s
	}
	s.Upstreams = slices.DeleteFunc(slices.Clone(s.Upstreams), func(u bundle.Upstream) bool { return l.Engine(u.ID) == nil })
	return s
}

// isIdle reports whether a cell has no engines, so that its lease need not be renewed.
func (c *Cell) isIdle(current storedLedger, scope Scope) bool {
	if scope.Assignment == nil || !current.ledger.IsEmpty() {
		return false
	}
	return current.version == 0 || current.ledger.Holder == c.instance
}

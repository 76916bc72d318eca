package rosters

import (
	"context"
	"slices"

	"savoryweir/internal/coordination/rosterplan"
	"savoryweir/internal/errs"
	"savoryweir/internal/protocol/ledgerfile"
	"savoryweir/internal/protocol/rosterfile"
	"savoryweir/internal/state/bundle"
	"savoryweir/internal/state/ledger"
	"savoryweir/internal/state/object"
	"savoryweir/internal/state/roster"
)

// Kind is the kind of the rosters' store objects. Each object is named after its service.
const Kind object.Kind = "placement-rosters"

const (
	stepLedgers errs.Step = "read ledgers for the roster"
	stepWrite   errs.Step = "write roster"
	storePeer   errs.Peer = "store"
)

// Planner writes the rosters. Two concurrent planners do no harm: a roster is replaced by a
// conditional update, and an engine is reassigned only when its last handover is complete, and
// a complete handover stays complete until the roster changes.
type Planner struct {
	store    object.Store
	settings rosterplan.Settings
}

// NewPlanner returns a planner that reads ledgers from and writes rosters to store.
func NewPlanner(store object.Store, s rosterplan.Settings) *Planner {
	return &Planner{store: store, settings: s}
}

// Plan writes the roster that should replace current and reports whether it has written one.
// If there is no roster yet, current is empty and the first roster follows the existing ledgers.
func (p *Planner) Plan(ctx context.Context, service bundle.ServiceName, engines []bundle.Upstream, current roster.Stored) (roster.Stored, bool, error) {
	assumeComplete := func(roster.Entry) bool { return true }
	if _, wanted := rosterplan.Next(current.Roster, engines, assumeComplete, p.settings); !wanted {
		return current, false, nil
	}
	ledgers, err := p.readLedgers(ctx, service)
	if err != nil {
		return current, false, errs.Wrap(err, stepLedgers, storePeer)
	}
	base := current.Roster
	if current.Version == 0 {
		base = rosterFromLedgers(service, ledgers)
	}
	next, changed := rosterplan.Next(base, engines, ledgers.isHandoverComplete, p.settings)
	if !changed && current.Version != 0 {
		return current, false, nil
	}
	version, err := p.write(ctx, service, next, current.Version)
	if err != nil {
		return current, false, errs.Wrap(err, stepWrite, storePeer)
	}
	return roster.Stored{Roster: next, Version: version}, true, nil
}

func (p *Planner) write(ctx context.Context, service bundle.ServiceName, r roster.Roster, expected object.Version) (object.Version, error) {
	data, err := rosterfile.Encode(r)
	if err != nil {
		return 0, err
	}
	if expected == 0 {
		return p.store.Create(ctx, Kind, object.Name(service), data)
	}
	return p.store.Update(ctx, Kind, object.Name(service), data, expected)
}

// ledgers holds the ledgers of a service by the index of their cell. An entry is nil if the cell
// has no ledger.
type ledgers []*ledger.Ledger

func (p *Planner) readLedgers(ctx context.Context, service bundle.ServiceName) (ledgers, error) {
	objects, err := p.store.List(ctx, ledgerfile.Kind, ledgerfile.Prefix(service))
	if err != nil {
		return nil, err
	}
	var found ledgers
	for _, o := range objects {
		index, ok := ledgerfile.Index(service, o.Name)
		if !ok {
			continue
		}
		l, err := ledgerfile.Decode(o.Data)
		if err != nil {
			return nil, err
		}
		found = append(found, make(ledgers, max(0, index+1-len(found)))...)
		found[index] = l
	}
	return found, nil
}

// isHandoverComplete implements rosterplan.HandoverComplete: the engine is in the ledger of its
// cell with the move of the entry, and the ledger of its former cell no longer has the handover.
func (l ledgers) isHandoverComplete(e roster.Entry) bool {
	owner := l.at(e.Cell)
	if owner == nil {
		return false
	}
	account := owner.Engine(e.Engine)
	if account == nil || account.Move != e.Move {
		return false
	}
	from := l.at(e.From)
	return from == nil || !slices.ContainsFunc(from.Outgoing, func(h ledger.Handover) bool { return h.Engine.ID == e.Engine })
}

func (l ledgers) at(index int) *ledger.Ledger {
	if index < 0 || index >= len(l) {
		return nil
	}
	return l[index]
}

// rosterFromLedgers returns a roster that agrees with the ledgers, for a service that has none.
// It contains the engines in each ledger and the engines whose handover is in progress.
func rosterFromLedgers(service bundle.ServiceName, all ledgers) roster.Roster {
	r := roster.Roster{Ledgers: len(all)}
	for index, l := range all {
		if l == nil {
			continue
		}
		for _, e := range l.Engines {
			r.Set(roster.Entry{Engine: e.ID, Cell: index, From: roster.NoCell, Move: e.Move})
			r.Cells = max(r.Cells, index+1)
		}
	}
	for index, l := range all {
		if l == nil {
			continue
		}
		for _, h := range l.Outgoing {
			if to, ok := ledgerfile.Index(service, h.To); ok {
				r.Set(roster.Entry{Engine: h.Engine.ID, Cell: to, From: index, Move: h.Engine.Move})
				r.Cells = max(r.Cells, to+1)
			}
		}
	}
	r.Ledgers = max(r.Ledgers, r.Cells)
	return r
}

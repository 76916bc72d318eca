package placing

import (
	"context"
	"slices"
	"time"

	"savoryweir/internal/state/bundle"
	"savoryweir/internal/state/ledger"
	"savoryweir/internal/state/object"
)

// homeInterval is the time between two reads of the ledger of a model's home cell, and
// the time for which what was read is relied on.
const homeInterval = 5 * time.Second

// homeView is what was read of another cell's ledger.
type homeView struct {
	at     time.Time
	roster object.Version // that this cell followed at the read
	ledger *ledger.Ledger
}

// keep returns the guests of the cell that must not leave: models whose home is another
// cell, on engines that came from there, until that cell's ledger shows them ready. It
// must have been written by this roster or a later one, so that whoever writes it next
// knows of the duty to keep the model.
func (c *Cell) keep(ctx context.Context, now time.Time, l *ledger.Ledger, scope Scope) []bundle.ModelID {
	if scope.Assignment == nil {
		return nil
	}
	var kept []bundle.ModelID
	for _, id := range guests(l, scope) {
		if !c.isReadyAtHome(ctx, now, id, scope) {
			kept = append(kept, id)
		}
	}
	return kept
}

// guests lists the models on the cell's engines that have their home in another cell.
func guests(l *ledger.Ledger, scope Scope) []bundle.ModelID {
	var found []bundle.ModelID
	for _, e := range l.Engines {
		if e.Delivery == ledger.DeliveryAny {
			continue // nothing can be unloaded there
		}
		for _, i := range e.Items {
			home, ok := scope.Assignment.HomeCells[i.Slot.Model]
			if ok && home != scope.Assignment.Index && !slices.Contains(found, i.Slot.Model) {
				found = append(found, i.Slot.Model)
			}
		}
	}
	return found
}

func (c *Cell) isReadyAtHome(ctx context.Context, now time.Time, id bundle.ModelID, scope Scope) bool {
	a := scope.Assignment
	home := c.homeLedger(ctx, now, a.HomeCells[id], id, scope)
	if home == nil || home.Roster < a.Roster.Version {
		return false
	}
	return slices.ContainsFunc(home.Engines, func(e ledger.Engine) bool {
		return e.HasStable(id) && c.reportsReady(ctx, e.ID, id, a)
	})
}

// homeLedger returns the home cell's ledger as it was not long ago, or nil if it is not known.
func (c *Cell) homeLedger(ctx context.Context, now time.Time, index int, id bundle.ModelID, scope Scope) *ledger.Ledger {
	a := scope.Assignment
	home := a.cellName(index)
	view, ok := c.homes[home]
	if ok && now.Sub(view.at) < homeInterval && view.roster == a.Roster.Version {
		return view.ledger
	}
	if scope.IsPublishedReady != nil && !scope.IsPublishedReady(home, id) {
		return nil // spares the read; the news only says when it is worth it
	}
	found, err := c.read(ctx, home)
	if err != nil {
		return nil
	}
	c.homes[home] = homeView{at: now, roster: a.Roster.Version, ledger: found.ledger}
	return found.ledger
}

// reportsReady asks an engine of another cell whether it still has the model, since its
// ledger shows a loss only with the next write.
func (c *Cell) reportsReady(ctx context.Context, engine bundle.UpstreamID, id bundle.ModelID, a *Assignment) bool {
	at := slices.IndexFunc(a.Upstreams, func(u bundle.Upstream) bool { return u.ID == engine })
	if at < 0 {
		return false
	}
	f := c.fetch(ctx, a.Upstreams[at], nil)
	if f.session != nil {
		f.session.Close()
	}
	return f.err == nil && slices.ContainsFunc(f.report.Residents, func(r ledger.Resident) bool {
		return r.Slot.Model == id && r.Slot.Adapter == "" && r.Ready
	})
}

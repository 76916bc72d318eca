package placing

import (
	"context"
	"slices"
	"time"

	"savoryweir/internal/state/bundle"
	"savoryweir/internal/state/ledger"
	"savoryweir/internal/state/object"
)

// homeReadInterval is the time between two reads of the ledger of a model's home cell, and
// the time for which a cached copy of it is used.
const homeReadInterval = 5 * time.Second

// cachedLedger is a copy of another cell's ledger.
type cachedLedger struct {
	at     time.Time
	roster object.Version // roster version that this cell followed when it read the ledger
	ledger *ledger.Ledger
}

// modelsToRetain returns the foreign models of the cell that must not be unloaded yet. A foreign
// model has its home in another cell and is on an engine that came from there. It is retained
// until the home cell's ledger shows it ready. That ledger must have been written under this
// roster or a later one, so that its next writer knows that its cell has to keep the model.
func (c *Cell) modelsToRetain(ctx context.Context, now time.Time, l *ledger.Ledger, scope Scope) []bundle.ModelID {
	if scope.Assignment == nil {
		return nil
	}
	var retained []bundle.ModelID
	for _, id := range foreignModels(l, scope) {
		if !c.isReadyAtHome(ctx, now, id, scope) {
			retained = append(retained, id)
		}
	}
	return retained
}

// foreignModels lists the models on the cell's engines that have their home in another cell.
func foreignModels(l *ledger.Ledger, scope Scope) []bundle.ModelID {
	var found []bundle.ModelID
	for _, e := range l.Engines {
		if e.Delivery == ledger.DeliveryAtLeastOnce {
			continue // nothing can be unloaded on this engine
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

// homeLedger returns the home cell's ledger, at most homeReadInterval old, or nil if it is not known.
func (c *Cell) homeLedger(ctx context.Context, now time.Time, index int, id bundle.ModelID, scope Scope) *ledger.Ledger {
	a := scope.Assignment
	home := a.cellName(index)
	view, ok := c.homeLedgers[home]
	if ok && now.Sub(view.at) < homeReadInterval && view.roster == a.Roster.Version {
		return view.ledger
	}
	if scope.IsPublishedReady != nil && !scope.IsPublishedReady(home, id) {
		return nil // avoids a needless read; published replicas are only a hint when to read
	}
	found, err := c.read(ctx, home)
	if err != nil {
		return nil
	}
	c.homeLedgers[home] = cachedLedger{at: now, roster: a.Roster.Version, ledger: found.ledger}
	return found.ledger
}

// reportsReady asks an engine of another cell whether it still has the model ready, because the
// ledger of that cell shows a loss only after its next write.
func (c *Cell) reportsReady(ctx context.Context, engine bundle.UpstreamID, id bundle.ModelID, a *Assignment) bool {
	at := slices.IndexFunc(a.Upstreams, func(u bundle.Upstream) bool { return u.ID == engine })
	if at < 0 {
		return false
	}
	f := c.fetchReport(ctx, a.Upstreams[at], nil)
	if f.session != nil {
		f.session.Close()
	}
	return f.err == nil && slices.ContainsFunc(f.report.Residents, func(r ledger.Resident) bool {
		return r.Slot.Model == id && r.Slot.Adapter == "" && r.Ready
	})
}

package steward

import (
	"slices"
	"time"

	"savoryweir/internal/coordination/steering"
	"savoryweir/internal/state/fleet"
)

// lane is what the holder knows of one incarnation of an engine. Orders to an
// engine go one after the other, each on condition of the count of those before.
type lane struct {
	upstream  fleet.Upstream   // as the engine reports, with the orders given since
	confirmed bool             // the state was read from the engine in this term
	inFlight  bool             // an order or report is under way
	waitUntil time.Time        // no order before this time
	loading   string           // model that is coming, or for which room is made
	pending   *steering.Action // order for a model that is being carried out
	doneBy    time.Time        // when the pending order should be done
	retired   map[string]time.Time
}

// retireWait is the time between the announcement that a model leaves an engine
// and its unload, so that requests on their way still find it.
const retireWait = 150 * time.Millisecond

// overdueLoad is the time beyond the load time of a model after which the engine
// is asked what became of the order.
const overdueLoad = time.Second

// merge takes the engine's entry in the store, unless the orders of this term are newer.
func (l *lane) merge(entry *fleet.Upstream) {
	draining := entry.Draining
	if entry.Orders >= l.upstream.Orders && !l.inFlight {
		adapters := l.upstream.Models
		same := entry.Orders == l.upstream.Orders
		l.upstream = *entry
		if same && l.confirmed {
			l.keepAdapters(adapters)
		}
	}
	l.upstream.Draining = draining
	l.notice()
}

// notice drops what the engine's state shows to be done.
func (l *lane) notice() {
	if l.pending != nil && l.upstream.Holds(l.pending.Model, "") == l.pending.Load {
		l.pending = nil
	}
	if l.loading != "" && l.upstream.Holds(l.loading, "") {
		l.loading = ""
	}
	for model := range l.retired {
		if !l.upstream.Holds(model, "") {
			delete(l.retired, model)
		}
	}
}

// keepAdapters keeps the adapters ordered in this term, as engines tell of them
// only with their next heartbeat.
func (l *lane) keepAdapters(known []fleet.Resident) {
	for i := range l.upstream.Models {
		for _, r := range known {
			if r.Model == l.upstream.Models[i].Model {
				l.upstream.Models[i].Adapters = r.Adapters
			}
		}
	}
}

// snapshot returns the engine for a plan.
func (l *lane) snapshot(now time.Time) steering.Engine {
	e := steering.Engine{
		Upstream: &l.upstream,
		Ready:    l.confirmed && !l.inFlight && l.pending == nil && !l.upstream.Busy && !l.upstream.Draining && now.After(l.waitUntil),
		Loading:  l.loading, Retired: make(map[string]bool, len(l.retired)),
	}
	for model := range l.retired {
		e.Retired[model] = true
	}
	return e
}

// changeAdapter records an order for an adapter that the engine has carried out.
func (l *lane) changeAdapter(model, adapter string, load bool) {
	for i := range l.upstream.Models {
		r := &l.upstream.Models[i]
		if r.Model != model {
			continue
		}
		kept := slices.DeleteFunc(slices.Clone(r.Adapters), func(a string) bool { return a == adapter })
		if load {
			kept = append(kept, adapter)
		}
		models := slices.Clone(l.upstream.Models)
		models[i].Adapters = kept
		l.upstream.Models = models
		return
	}
}

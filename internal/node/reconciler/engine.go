package reconciler

import (
	"slices"
	"time"

	"savoryweir/internal/coordination/rebalance"
	"savoryweir/internal/state/fleet"
)

// lane is what the holder knows of one incarnation of an engine. Orders to an
// engine go one after the other, each on condition of the count of those before.
type lane struct {
	upstream  fleet.Upstream    // as the engine reports, with the orders given since
	confirmed bool              // the state was read from the engine in this term
	inFlight  bool              // an order or report is under way
	waitUntil time.Time         // no order before this time
	lostSince time.Time         // since when the engine does not report; zero if it does
	checkedAt time.Time         // last report asked for
	orderedAt time.Time         // last order that was counted
	loading   string            // model that is coming, or for which room is made
	pending   *rebalance.Action // order for a model that is being carried out
	doneBy    time.Time         // when the pending order should be done
	retired   map[string]time.Time
	loaded    map[string]time.Time // when models were ordered that are there, or coming
}

// retireWait is the time between the announcement that a model leaves an engine
// and its unload, so that requests on their way still find it.
const retireWait = 150 * time.Millisecond

// adapterRetireWait is the same for adapters, whose requests are few: a datagram's way.
const adapterRetireWait = 10 * time.Millisecond

// overdueLoad is the time beyond the load time of a model after which the engine
// is asked what became of the order.
const overdueLoad = time.Second

// minResidence is how long a model stays at least where it was loaded: twice the
// time of a load from the weight store.
const minResidence = 8 * time.Second

const (
	// lostAfter is how long an engine that does not report counts all the same: a crashed
	// one is mostly back within this time and loads from its own copies.
	lostAfter = 2500 * time.Millisecond
	// doubtShare is the share of requests that an engine fails from which it is asked for
	// its state, at most once in doubtEvery.
	doubtShare = 0.5
	doubtEvery = time.Second
)

// isLost reports whether an engine is taken to be gone, though its entry stands.
func (l *lane) isLost(now time.Time) bool {
	return !l.lostSince.IsZero() && now.Sub(l.lostSince) > lostAfter
}

// merge takes what has changed in the engine's entry in the store.
func (l *lane) merge(entry *fleet.Upstream) {
	if entry.EntryVersion <= l.upstream.EntryVersion || l.inFlight {
		return
	}
	models := entry.Models
	if l.confirmed {
		models = withAdapters(entry.Models, l.upstream.Models)
	}
	orders, coming := l.upstream.AcceptedOrders, l.upstream.LoadingAdapters
	l.upstream = *entry
	l.upstream.Models, l.upstream.AcceptedOrders, l.upstream.LoadingAdapters = models, orders, coming
	l.notice()
}

// withAdapters returns the models with the adapters known of each, as entries tell
// of adapters only with the next heartbeat.
func withAdapters(models, known []fleet.ResidentModel) []fleet.ResidentModel {
	merged := slices.Clone(models)
	for i := range merged {
		for _, r := range known {
			if r.Model == merged[i].Model {
				merged[i].Adapters = r.Adapters
			}
		}
	}
	return merged
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

// snapshot returns the engine for a plan.
func (l *lane) snapshot(now time.Time) rebalance.Engine {
	e := rebalance.Engine{
		Upstream:      &l.upstream,
		AcceptsOrders: l.confirmed && !l.inFlight && !l.upstream.Draining && now.After(l.waitUntil),
		HasModelOrder: l.pending != nil || l.upstream.OrderInProgress,
		LoadingModel:  l.loading, Draining: make(map[string]bool, len(l.retired)),
	}
	for model := range l.retired {
		e.Draining[model] = true
	}
	e.RecentlyLoaded = make(map[string]bool)
	for model, at := range l.loaded {
		if now.Sub(at) < minResidence {
			e.RecentlyLoaded[model] = true
		}
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

package reconciler

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"savoryweir/internal/coordination/rebalance"
	"savoryweir/internal/node/registry"
	"savoryweir/internal/standin/objectapi"
	"savoryweir/internal/state/fleet"
)

// awaitEngine waits until the reconciler holds the lease and knows the engine e1, and takes the engine for an order.
func awaitEngine(t *testing.T, r *Reconciler) fleet.Upstream {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); ; time.Sleep(5 * time.Millisecond) {
		assert.Assert(t, time.Now().Before(end), "no lease")
		r.mu.Lock()
		if state := r.engines["e1"]; state != nil {
			state.inFlight = true
			u := state.upstream
			r.mu.Unlock()
			return u
		}
		r.mu.Unlock()
	}
}

// An engine carries out an order to unload, but is silent for 0.3 s. The repeated order conflicts
// with the first one, which was taken for a refusal: all instances were told that the model
// stays, and sent requests to an engine without it.
func TestModelIsNotAnnouncedAsLoadedWhileItsUnloadIsUnknown(t *testing.T) {
	e := startEngine(t, 1) // accepts the first order, but sends no response
	e.paused.Store(true)   // the reconciler sends no orders and reports of its own, which could come before
	r := startReconciler(t, e)
	u := awaitEngine(t, r)
	r.executeAction(t.Context(), "s", &fleet.EngineClass{}, u, rebalance.Action{Upstream: "e1", Model: "m0"})
	e.mu.Lock()
	accepted := slices.Clone(e.accepted)
	e.mu.Unlock()
	assert.Equal(t, len(accepted), 1, "accepted %v", accepted)
	assert.Equal(t, len(r.registry.View().Usable("s", "m0", "")), 0)
}

// An unload without a known outcome is decided by a report that includes all attempts, and by no
// earlier one. Until then its model stays announced as unloading, and counts as no replica.
func TestReportDecidesUnloadWithoutKnownOutcome(t *testing.T) {
	key := registry.ResidentKey{Upstream: "e1", Model: "m0"}
	adapter := registry.ResidentKey{Upstream: "e1", Model: "m0", Adapter: "a1"}
	m0 := []fleet.ResidentModel{{Model: "m0", Adapters: []string{"a1"}}}
	now := time.Now()
	for name, test := range map[string]struct {
		key        registry.ResidentKey
		unload     unresolvedUnload
		report     fleet.Upstream
		age        time.Duration // time between the last attempt and the request of the report
		loaded     bool
		unresolved bool
		confirmed  bool
	}{
		"report may be older":         {key: key, unload: unresolvedUnload{mayBeAccepted: true}, report: fleet.Upstream{Models: m0}, age: maxReportAge / 2, unresolved: true},
		"never accepted":              {key: key, unload: unresolvedUnload{mayBeAccepted: true}, report: fleet.Upstream{Models: m0}, age: maxReportAge, loaded: true, confirmed: true},
		"unloaded":                    {key: key, unload: unresolvedUnload{mayBeAccepted: true}, report: fleet.Upstream{AcceptedOrders: 1}, confirmed: true},
		"may be in progress":          {key: key, unload: unresolvedUnload{mayBeAccepted: true}, report: fleet.Upstream{AcceptedOrders: 1, OrderInProgress: true, Models: m0}, age: 2 * maxReportAge, unresolved: true, confirmed: true},
		"other order in progress":     {key: key, report: fleet.Upstream{AcceptedOrders: 1, OrderInProgress: true, Models: m0}, loaded: true, confirmed: true},
		"other order accepted":        {key: key, unload: unresolvedUnload{mayBeAccepted: true}, report: fleet.Upstream{AcceptedOrders: 1, Models: m0}, loaded: true, confirmed: true},
		"adapter beside model order":  {key: adapter, unload: unresolvedUnload{mayBeAccepted: true}, report: fleet.Upstream{AcceptedOrders: 2, OrderInProgress: true, Models: m0}, loaded: true, confirmed: true},
		"adapter unloaded":            {key: adapter, unload: unresolvedUnload{mayBeAccepted: true}, report: fleet.Upstream{AcceptedOrders: 1, Models: []fleet.ResidentModel{{Model: "m0"}}}, confirmed: true},
		"conflict, report may be old": {key: key, report: fleet.Upstream{Models: m0}, age: maxReportAge / 2, unresolved: true},
	} {
		t.Run(name, func(t *testing.T) {
			e := &engineState{upstream: fleet.Upstream{ID: "e1", Models: m0}, drainingModels: map[string]time.Time{}, loadOrderedAt: map[string]time.Time{}}
			test.unload.sentAt = now
			e.addUnresolvedUnload(test.key, test.unload, now)
			assert.Equal(t, e.snapshot(now).Draining["m0"], test.key.Adapter == "")
			requestedAt := now.Add(test.age)
			(&Reconciler{}).applyReport(e, test.report, requestedAt)
			loaded := e.resolveUnloads(test.report, requestedAt, requestedAt)
			assert.Equal(t, len(loaded) == 1, test.loaded)
			assert.Equal(t, len(e.unresolvedUnloads) == 1, test.unresolved)
			assert.Equal(t, e.confirmed, test.confirmed)
			snapshot := e.snapshot(requestedAt)
			assert.Equal(t, snapshot.Draining["m0"], test.unresolved)
			assert.Equal(t, snapshot.HasModelOrder, test.report.OrderInProgress)
		})
	}
}

// Another order was accepted before an unload, which conflicts. The model is there, so requests
// must get it as soon as a report shows it. This also holds after the lease is lost.
func TestModelIsAnnouncedAsLoadedOnceReportShowsThatItsUnloadConflicted(t *testing.T) {
	for _, losesLease := range []bool{false, true} {
		t.Run(fmt.Sprint("loses the lease ", losesLease), func(t *testing.T) {
			t.Parallel()
			e := startEngine(t, 0)
			e.paused.Store(true) // the reconciler sends no orders and reports of its own
			r := startReconciler(t, e)
			u := awaitEngine(t, r)
			e.mu.Lock()
			e.accepted = append(e.accepted, "m1/")
			e.mu.Unlock()
			r.executeAction(t.Context(), "s", &fleet.EngineClass{}, u, rebalance.Action{Upstream: "e1", Model: "m0"})
			assert.Equal(t, len(r.registry.View().Usable("s", "m0", "")), 0)
			if losesLease {
				r.leases.store.(*objectapi.Memory).SetFaults(objectapi.Faults{Outage: true})
				for end := time.Now().Add(10 * time.Second); r.leases.HoldsLease(); time.Sleep(5 * time.Millisecond) {
					assert.Assert(t, time.Now().Before(end), "the lease is not lost")
				}
			}
			e.paused.Store(false)
			for end := time.Now().Add(10 * time.Second); len(r.registry.View().Usable("s", "m0", "")) == 0; time.Sleep(5 * time.Millisecond) {
				assert.Assert(t, time.Now().Before(end), "the model is not announced as loaded")
			}
		})
	}
}

package reconciler

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"savoryweir/internal/coordination/rebalance"
	"savoryweir/internal/state/fleet"
)

// An engine carries out an order to unload, but is silent for 0.3 s. The repeated order conflicts
// with the first one, which was taken for a refusal: all instances were told that the model
// stays, and sent requests to an engine without it.
func TestModelIsNotAnnouncedAsLoadedWhileItsUnloadIsUnknown(t *testing.T) {
	e := startEngine(t, 1) // accepts the first order, but sends no response
	r := startReconciler(t, e)
	confirmed := func() bool {
		r.mu.Lock()
		defer r.mu.Unlock()
		state := r.engines["e1"]
		return state != nil && state.confirmed && !state.inFlight
	}
	for end := time.Now().Add(10 * time.Second); !confirmed(); time.Sleep(5 * time.Millisecond) {
		assert.Assert(t, time.Now().Before(end), "engine not confirmed")
	}
	r.mu.Lock()
	state := r.engines["e1"]
	state.inFlight = true
	u := state.upstream
	r.mu.Unlock()
	r.executeAction(t.Context(), "s", &fleet.EngineClass{}, u, rebalance.Action{Upstream: "e1", Model: "m0"})
	e.mu.Lock()
	accepted := len(e.accepted)
	e.mu.Unlock()
	assert.Equal(t, accepted, 1)
	assert.Equal(t, len(r.registry.View().Usable("s", "m0", "")), 0)
}

package gateway

import (
	"context"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"savoryweir/internal/state/fleet"
)

// A model that is on an engine's disk isn't loaded as soon as expected. Its callers must get a refusal, not leave without one.
func TestRequestThatWaitsForLoadIsRefusedBeforeCallerLeaves(t *testing.T) {
	const callerPatience = 2400 * time.Millisecond // of the stream route, by its target event gap
	u := startUpstream(t, "u1", respondWithEvents(1, 2, true))
	h := newHarness(t, u)
	config := *h.gateway.Config()
	class := &fleet.EngineClass{Models: []fleet.Model{{Name: testModel, LoadTime: 10 * time.Second, DiskLoadTime: 900 * time.Millisecond}}}
	config.Version, config.Services = 2, map[string]*fleet.Service{"s": {Name: "s", Engines: class}}
	h.gateway.ApplyConfig(&config)
	h.registry.Replace([]fleet.Upstream{{ID: "u1", Service: "s", Zone: "z", Address: u.listener.Addr().String(), OnDisk: []string{testModel}}}, time.Time{})
	h.gateway.RequestLoad = func(string, string, string) {}
	request := h.newRequest(t, "POST", "/stream/1", "prompt", "Model", testModel, "Token-Count", "100,10", "Prompt-Prefix", "a1:60,b2:40", "Deadline-Ms", "3000")
	ctx, cancel := context.WithTimeout(t.Context(), callerPatience)
	defer cancel()
	got := h.send(t, request.WithContext(ctx))
	assert.NilError(t, got.err)
	assert.Equal(t, got.status, http.StatusServiceUnavailable)
	assert.Equal(t, u.requestCount(), 0)
}

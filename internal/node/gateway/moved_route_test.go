package gateway

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"savoryweir/internal/node/registry"
	"savoryweir/internal/state/fleet"
)

// moveRoutes applies a configuration in which all routes lead to another service. The former
// service and its engines are not part of it.
func moveRoutes(h *harness) {
	next := *h.gateway.Config()
	next.Version++
	next.Routes = testRoutes()
	for i := range next.Routes {
		next.Routes[i].Splits = []fleet.Split{{Service: "next", Weight: 1}}
	}
	next.Services = map[string]*fleet.Service{"next": {Name: "next", Engines: &fleet.EngineClass{}}}
	h.gateway.ApplyConfig(&next)
}

// A stream in flight must go on at its engine while a configuration moves its route and the
// engines of the former service leave or unload the model.
func TestStreamInFlightSurvivesMoveOfItsRoute(t *testing.T) {
	for name, change := range map[string]func(*harness){
		"engines stay":   func(*harness) {},
		"engines leave":  func(h *harness) { h.registry.MarkLeaving("u1", time.Time{}); h.registry.MarkLeaving("u2", time.Time{}) },
		"entries vanish": func(h *harness) { h.registry.Replace(nil, time.Time{}) },
		"model unloads": func(h *harness) {
			for _, id := range []fleet.UpstreamID{"u1", "u2"} {
				h.registry.MarkAbsent(registry.ResidentKey{Upstream: id, Model: testModel})
			}
		},
	} {
		for _, path := range []string{"/stream/1", "/batch/1"} {
			t.Run(name+path, func(t *testing.T) {
				t.Parallel()
				one, two := startUpstream(t, "u1", fallSilent(engineSilence)), startUpstream(t, "u2", fallSilent(engineSilence))
				h := newHarness(t, one, two)
				done := make(chan result, 1)
				go func() { done <- doStream(h, t, path, "Deadline-Ms", "3000") }()
				eventually(t, "the request at an engine", func() bool { return one.requestCount()+two.requestCount() > 0 })
				moveRoutes(h)
				change(h)
				got := <-done
				assert.NilError(t, got.err)
				assert.Equal(t, got.body, eventText(1, 3))
			})
		}
	}
}

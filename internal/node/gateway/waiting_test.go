package gateway

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"savoryweir/internal/node/registry"
)

// The request waits for an adapter while a configuration drops its service and the engines go.
func TestRequestWaitingForLoadIsAnsweredWhenItsRouteMoves(t *testing.T) {
	load := func(h *harness) {
		h.registry.MarkLoaded(registry.ResidentKey{Upstream: "u1", Model: testModel, Adapter: "a2"})
	}
	for name, c := range map[string]struct {
		change func(*harness)
		status int
	}{
		"adapter loads":   {load, http.StatusOK},
		"engine vanishes": {func(h *harness) { h.registry.Replace(nil, time.Time{}) }, http.StatusServiceUnavailable},
		"engine leaves":   {func(h *harness) { h.registry.MarkLeaving("u1", time.Time{}) }, http.StatusServiceUnavailable},
	} {
		for _, path := range []string{"/stream/1", "/batch/1"} {
			t.Run(name+path, func(t *testing.T) {
				t.Parallel()
				h := newHarness(t, startUpstream(t, "u1", respondWithEvents(1, 2, true)))
				done := make(chan result, 1)
				go func() { done <- doStream(h, t, path, "Model", testModel+"/a2") }()
				<-h.loadRequests
				moveRoutes(h)
				moveRoutes(h)
				c.change(h)
				got := <-done
				assert.NilError(t, got.err)
				assert.Equal(t, got.status, c.status)
			})
		}
	}
}

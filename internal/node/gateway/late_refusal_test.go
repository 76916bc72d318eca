package gateway

import (
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A sound engine falls silent, and the engine that shall continue its stream refuses later than maxOverlap.
func TestStreamOfSilentEngineIsKeptIfOtherEngineRefusesLate(t *testing.T) {
	refuseLate := func(u *testUpstream, r *http.Request, body []byte, conn net.Conn) bool {
		time.Sleep(maxOverlap + 100*time.Millisecond)
		return respondNotExecuted(http.StatusServiceUnavailable)(u, r, body, conn)
	}
	silent, late := startUpstream(t, "u1", fallSilent(engineSilence)), startUpstream(t, "u2", refuseLate)
	h := newHarness(t, silent, late)
	h.gateway.Tracker.RecordPeerPause("u2", engineSilence/2) // avoided at first
	done := make(chan result, 1)
	go func() { done <- doStream(h, t, "/stream/1", "Deadline-Ms", "3000") }()
	eventually(t, "the request at the silent engine", func() bool { return silent.requestCount() > 0 })
	h.gateway.Tracker.RecordPeerPause("u1", time.Minute)
	got := <-done
	assert.NilError(t, got.err)
	assert.Equal(t, got.body, eventText(1, 3))
	assert.Equal(t, late.requestCount(), 1)
}

package gateway

import (
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// The silent engine was given up after maxOverlap, and no attempt was left when the next one failed.
func TestStreamIsNotCutIfNextEngineFailsLate(t *testing.T) {
	for name, fail := range map[string]responder{
		"full":                respondNotExecuted(http.StatusTooManyRequests),
		"model has moved":     respondNotExecuted(http.StatusMisdirectedRequest),
		"fails":               respondWith(http.StatusInternalServerError, "x"),
		"connection is reset": resetConnection,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			engine := func(u *testUpstream, r *http.Request, body []byte, conn net.Conn) bool {
				if u.requestCount() == 1 && r.Header.Get("Last-Event-Id") != "" {
					time.Sleep(maxOverlap + 100*time.Millisecond)
					return fail(u, r, body, conn)
				}
				return fallSilent(engineSilence)(u, r, body, conn)
			}
			h := newHarness(t, startUpstream(t, "u1", engine), startUpstream(t, "u2", engine))
			got := doStream(h, t, "/stream/1", "Deadline-Ms", "3000")
			assert.NilError(t, got.err)
			assert.Equal(t, got.body, eventText(1, 3))
		})
	}
}

// The engine sends nothing before it is done pausing, however often it gets the request.
func TestRequestWithoutResponseReturnsToPausedUpstreamIfNextFailsLate(t *testing.T) {
	for path, sound := range map[string]responder{"/stream/1": respondWithEvents(1, 3, true), "/read/1": respondWith(http.StatusOK, eventText(1, 3))} {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			end := time.Now().Add(engineSilence)
			paused := startUpstream(t, "u1", func(u *testUpstream, r *http.Request, body []byte, conn net.Conn) bool {
				time.Sleep(time.Until(end))
				return sound(u, r, body, conn)
			})
			next := startUpstream(t, "u2", func(u *testUpstream, r *http.Request, body []byte, conn net.Conn) bool {
				time.Sleep(maxOverlap + 50*time.Millisecond)
				return resetConnection(u, r, body, conn)
			})
			h := newHarness(t, paused, next)
			h.gateway.Tracker.RecordPeerPause("u2", engineSilence/3) // avoided at first
			got := doStream(h, t, path)
			assert.NilError(t, got.err)
			assert.Equal(t, got.status, http.StatusOK)
			assert.Equal(t, got.body, eventText(1, 3))
			assert.Equal(t, next.requestCount(), 1)
		})
	}
}

// The route allows two upstreams, so that neither the return nor anything after it goes to a third.
func TestReturnToSilentUpstreamIsLastSend(t *testing.T) {
	engine := func(u *testUpstream, r *http.Request, body []byte, conn net.Conn) bool {
		if r.Header.Get("Last-Event-Id") == "" {
			return fallSilent(2*engineSilence)(u, r, body, conn)
		}
		time.Sleep(maxOverlap + 50*time.Millisecond)
		return resetConnection(u, r, body, conn)
	}
	upstreams := []*testUpstream{startUpstream(t, "u1", engine), startUpstream(t, "u2", engine), startUpstream(t, "u3", engine)}
	h := newHarness(t, upstreams...)
	got := doStream(h, t, "/stream/1", "Deadline-Ms", "3000")
	assert.Assert(t, got.err != nil, "%q", got.body)
	used, requests := 0, 0
	for _, u := range upstreams {
		requests += u.requestCount()
		used += min(u.requestCount(), 1)
	}
	assert.Equal(t, used, 2)
	assert.Equal(t, requests, 3)
}

// The return to the silent engine must not send the request to more engines than its route allows.
func TestStreamThatReturnsToSilentEngineReachesNoFurtherEngine(t *testing.T) {
	engine := func(u *testUpstream, r *http.Request, body []byte, conn net.Conn) bool {
		if u.requestCount() == 1 && r.Header.Get("Last-Event-Id") != "" {
			time.Sleep(maxOverlap + 100*time.Millisecond)
			return resetConnection(u, r, body, conn)
		}
		return fallSilent(engineSilence)(u, r, body, conn)
	}
	upstreams := []*testUpstream{startUpstream(t, "u1", engine), startUpstream(t, "u2", engine), startUpstream(t, "u3", engine)}
	h := newHarness(t, upstreams...)
	const allowed = 10
	allowRetries(h, allowed)
	got := doStream(h, t, "/stream/1", "Deadline-Ms", "3000")
	assert.NilError(t, got.err)
	assert.Equal(t, got.body, eventText(1, 3))
	reached, sends := 0, 0
	for _, u := range upstreams {
		sends += u.requestCount()
		reached += min(u.requestCount(), 1)
	}
	assert.Equal(t, reached, 2)
	assert.Equal(t, sends, 3)
	assert.Equal(t, allowed-spendAllRetries(h), 2)
}

// The first silent upstream was left for another one, whose silence was not watched before its response began.
func TestSafeRequestLeavesSecondSilentUpstreamToo(t *testing.T) {
	sound := respondWith(http.StatusOK, "ok")
	silent := func(_ *testUpstream, _ *http.Request, _ []byte, _ net.Conn) bool {
		time.Sleep(4 * time.Second)
		return false
	}
	h := newHarness(t, startUpstream(t, "u1", silent), startUpstream(t, "u2", silent), startUpstream(t, "u3", sound))
	h.gateway.Tracker.RecordPeerPause("u3", time.Minute) // chosen last
	config := *h.gateway.Config()
	config.Routes = testRoutes()
	for i := range config.Routes {
		config.Routes[i].MaxAttempts = 3
	}
	h.gateway.ApplyConfig(&config)
	got := h.do(t, "GET", "/read/1", "", "Deadline-Ms", "3000")
	assert.NilError(t, got.err)
	assert.Equal(t, got.status, http.StatusOK, got.body)
}

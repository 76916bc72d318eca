package gateway

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"savoryweir/internal/standin/rawhttp"
)

// continuationErrors are what an engine responds that was asked to go on with a stream and fails.
func continuationErrors() map[string]responder {
	whole := func(status string) responder {
		return respondRaw(true, func(requestID string) string { return brokenResponse(requestID).WithStatus(status) })
	}
	return map[string]responder{
		"201":                  whole("201"),
		"204":                  respondRaw(true, func(id string) string { return "HTTP/1.1 204 X\r\n" + brokenResponse(id).Fields + "\r\n" }),
		"404":                  whole("404"),
		"500":                  whole("500"),
		"503":                  whole("503"),
		"503, not executed":    respondNotExecuted(http.StatusServiceUnavailable),
		"500 without a length": respondRaw(false, func(id string) string { return "HTTP/1.1 500 X\r\n" + brokenResponse(id).Fields + "\r\nevil" }),
		"500 with a long body": respondWith(http.StatusInternalServerError, strings.Repeat("evil", maxBufferedBodyBytes/2)),
		"unsigned 200": respondRaw(true, func(id string) string {
			return rawhttp.Response{Fields: "Request-Id: " + id + "\r\n", Body: "evil"}.Sound()
		}),
		"invalid status":         respondBroken(true, rawhttp.Response.InvalidStatuses, "status 000"),
		"invalid field":          respondBroken(false, rawhttp.Response.InvalidFields, "blank within name"),
		"head that was cut":      respondBroken(false, rawhttp.Response.CutHeads, "within name"),
		"connection that closes": resetConnection,
	}
}

// assertStreamBreaksOff asserts that a stream does not look complete after its first event, and that nothing
// follows that event.
func assertStreamBreaksOff(t *testing.T, h *harness) {
	t.Helper()
	got := doStream(h, t, "/stream/1")
	assert.Assert(t, got.err != nil, "%.80q looks complete", got.body)
	assert.Equal(t, fmt.Sprintf("%d %.80q", got.status, got.body), fmt.Sprintf("200 %q", eventText(1, 1)))
}

// The engine that is to go on with a stream responds with an error, of which the caller must get nothing.
func TestErrorOfNextEngineDoesNotReachStream(t *testing.T) {
	for name, failure := range continuationErrors() {
		t.Run(name, func(t *testing.T) {
			engine := breakOffAndResumeWith(failure)
			newEngines := func() *harness {
				return newHarness(t, startUpstream(t, "u1", engine), startUpstream(t, "u2", engine))
			}
			forwarding := newHarness(t, closedUpstream(t, "gone"))
			connectPeers(t, forwarding, newEngines())
			assertStreamBreaksOff(t, newEngines())
			assertStreamBreaksOff(t, forwarding)
		})
	}
}

// The instance that has begun a stream reaches no engine any more, and another instance is to go on with it. The
// error of an engine that this one passes on was written into the stream, which then ended as if it were complete.
func TestErrorFromOtherInstanceDoesNotReachStream(t *testing.T) {
	for name, failure := range continuationErrors() {
		t.Run(name, func(t *testing.T) {
			first := startUpstream(t, "u1", func(u *testUpstream, r *http.Request, body []byte, conn net.Conn) bool {
				_ = u.listener.Close()
				return respondWithEvents(1, 1, false)(u, r, body, conn)
			})
			next := startUpstream(t, "u2", failure)
			h, peer := newHarness(t, first), newHarness(t, next)
			connectPeers(t, h, peer)
			peer.gateway.Streams = h.gateway.Streams // as the first instance announces it
			assertStreamBreaksOff(t, h)
			assert.Equal(t, next.requestCount(), 1)
		})
	}
}

// The next instance goes on with the stream after one has passed on an engine's error.
func TestStreamGoesOnAtNextInstanceAfterErrorFromOther(t *testing.T) {
	first := startUpstream(t, "u1", func(u *testUpstream, r *http.Request, body []byte, conn net.Conn) bool {
		_ = u.listener.Close()
		return respondWithEvents(1, 1, false)(u, r, body, conn)
	})
	failing, sound := startUpstream(t, "u2", respondWith(http.StatusNotFound, "evil")), startUpstream(t, "u3", respondWithEvents(2, 3, true))
	h, failingPeer, soundPeer := newHarness(t, first), newHarness(t, failing), newHarness(t, sound)
	for _, each := range []*harness{h, failingPeer, soundPeer} {
		config := *each.gateway.Config()
		config.Routes = testRoutes()
		for i := range config.Routes {
			config.Routes[i].MaxAttempts = 4
		}
		each.gateway.ApplyConfig(&config)
		each.gateway.Streams = h.gateway.Streams
	}
	connectPeers(t, h, failingPeer, soundPeer)
	got := doStream(h, t, "/stream/1")
	assert.NilError(t, got.err)
	assert.Equal(t, got.body, eventText(1, 3))
}

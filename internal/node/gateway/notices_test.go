package gateway

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"savoryweir/internal/state/fleet"
)

// respondLeaving returns a responder that serves the request and says that the upstream is
// leaving.
func respondLeaving(status int, body string) responder {
	return func(_ *testUpstream, r *http.Request, _ []byte, conn net.Conn) bool {
		writeResponseHead(conn, r, status, fmt.Sprintf("Server-Leaving: 1\r\nContent-Length: %d\r\n", len(body)))
		_, err := io.WriteString(conn, body)
		return err == nil
	}
}

// respondPause returns a responder that refuses the request and asks for a pause.
func respondPause(seconds string) responder {
	return func(_ *testUpstream, r *http.Request, _ []byte, conn net.Conn) bool {
		_, err := fmt.Fprintf(conn, "HTTP/1.1 503 X\r\nRequest-Id: %s\r\nNot-Executed: 1\r\nRetry-After: %s\r\nContent-Length: 0\r\n\r\n", r.Header.Get("Request-Id"), seconds)
		return err == nil
	}
}

// An upstream that says in an answer that it is leaving may be gone a moment later, long
// before its entry in the store says so.
func TestLeavingUpstreamGetsNoMoreRequests(t *testing.T) {
	for name, status := range map[string]int{"success": 200, "upstream's own failure": 500, "not found": 404} {
		t.Run(name, func(t *testing.T) {
			leaving := startUpstream(t, "u1", respondLeaving(status, "bye"))
			h := newHarness(t, leaving)
			got := h.do(t, "POST", "/order/1", "")
			assert.Equal(t, got.status, status)
			assert.Equal(t, got.body, "bye")
			assert.Equal(t, got.header.Get("Server-Leaving"), "", "the header is meant for this system")
			assert.Equal(t, <-h.notices, "leaving u1")
			staying := startUpstream(t, "u2", respondWith(200, "ok"))
			h.registry.Put(fleet.Upstream{ID: "u2", Service: "s", Zone: "z", Address: staying.listener.Addr().String()})
			h.registry.Put(fleet.Upstream{ID: "u1", EntryVersion: 9, Service: "s", Zone: "z", Address: leaving.listener.Addr().String()}) // its entry still says ready
			for range 20 {
				assert.Equal(t, h.do(t, "POST", "/order/1", "").body, "ok")
			}
			assert.Equal(t, leaving.requestCount(), 1)
			h.registry.Put(fleet.Upstream{ID: "u1", EntryVersion: 10, StartedAt: time.UnixMilli(5), Service: "s", Zone: "z", Address: leaving.listener.Addr().String()})
			eventually(t, "a request to the new incarnation", func() bool {
				h.do(t, "POST", "/order/1", "")
				return leaving.requestCount() > 1
			})
		})
	}
}

// A stream whose engine says in the head that it is leaving goes on to its end, but a resume
// must not return to that engine.
func TestBrokenStreamOfLeavingEngineIsResumedElsewhere(t *testing.T) {
	breakOff := func(u *testUpstream, r *http.Request, body []byte, conn net.Conn) bool {
		if r.Header.Get("Last-Event-Id") == "3" {
			return respondWithEvents(4, 6, true)(u, r, body, conn)
		}
		writeResponseHead(conn, r, 200, "Server-Leaving: 1\r\nTransfer-Encoding: chunked\r\n")
		part := eventText(1, 3)
		fmt.Fprintf(conn, "%x\r\n%s\r\n", len(part), part)
		time.Sleep(20 * time.Millisecond)
		return resetConnection(nil, nil, nil, conn)
	}
	one, two := startUpstream(t, "u1", breakOff), startUpstream(t, "u2", breakOff)
	h := newHarness(t, one, two)
	got := doStream(h, t, "/stream/1")
	assert.NilError(t, got.err)
	assert.Equal(t, got.body, eventText(1, 6))
	assert.Equal(t, one.requestCount(), 1)
	assert.Equal(t, two.requestCount(), 1)
}

// Engines count what reaches them after they asked for a pause. The request that was refused
// goes elsewhere at once.
func TestPausedUpstreamGetsNothingUntilItsPauseEnds(t *testing.T) {
	for _, path := range []string{"/order/1", "/read/1"} {
		paused, free := startUpstream(t, "u1", respondPause("1.5")), startUpstream(t, "u2", respondWith(200, "ok"))
		h := newHarness(t, paused, free)
		for range 40 {
			assert.Equal(t, h.do(t, "POST", path, "").body, "ok")
		}
		assert.Equal(t, paused.requestCount(), 1, "requests within the pause")
		assert.Equal(t, <-h.notices, "pause u1 1.5s")
		h.bootTime.Store(int64(1600 * time.Millisecond)) // also counts while the process is frozen
		eventually(t, "a request after the pause", func() bool {
			h.do(t, "POST", path, "")
			return paused.requestCount() == 2
		})
	}
}

// If all upstreams have asked for a pause, waiting does not help a caller: it is refused at
// once and told when the first pause ends.
func TestCallersAreRefusedUntilFirstPauseEnds(t *testing.T) {
	one, two := startUpstream(t, "u1", respondPause("1.5")), startUpstream(t, "u2", respondPause("0.9"))
	h := newHarness(t, one, two)
	for _, path := range []string{"/order/1", "/stream/1", "/read/1"} {
		for range 5 {
			start := time.Now()
			got := doStream(h, t, path)
			assert.Equal(t, got.status, http.StatusServiceUnavailable)
			wait, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
			assert.NilError(t, err)
			assert.Assert(t, wait >= 0.9 && wait < 1.2, "Retry-After %v; the first pause ends in 0.9s", wait)
			assert.Assert(t, time.Since(start) < time.Second, "the caller was kept waiting")
		}
	}
	assert.Equal(t, one.requestCount()+two.requestCount(), 2)
}

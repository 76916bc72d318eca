package gateway

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// respondUnframed returns a responder whose response has neither a length nor chunks, and ends with
// the connection, by a reset unless orderly.
func respondUnframed(body string, orderly bool) responder {
	return func(_ *testUpstream, r *http.Request, _ []byte, conn net.Conn) bool {
		writeResponseHead(conn, r, http.StatusOK, "")
		_, _ = io.WriteString(conn, body)
		if !orderly {
			time.Sleep(20 * time.Millisecond) // a reset discards what has not been read
			return resetConnection(nil, nil, nil, conn)
		}
		return false
	}
}

// A response with neither a length nor chunks ends with its connection, also when its engine crashes.
func TestUnframedResponseIsCompleteOnlyAfterOrderlyEndOutsideEvents(t *testing.T) {
	whole, failed := "200 "+eventText(1, 3), "502 stream broke off\n"
	const cut = "cut"
	for name, c := range map[string]struct {
		body          string
		orderly       bool
		stream, batch string // what callers get
		requests      int    // of both engines for a stream
	}{
		"complete":                   {eventText(1, 3), true, whole, whole, 1},
		"end within an event":        {eventText(1, 1) + "id: 2\nda", true, whole, cut, 2},
		"reset after an event":       {eventText(1, 1), false, whole, cut, 2},
		"end before the first event": {"", true, whole, failed, 2},
		"end within the first event": {"id: 1\nda", true, whole, failed, 2},
		"end after a comment":        {": ping\n\n", true, whole, failed, 2},
		"reset before the first":     {"", false, whole, failed, 2},
	} {
		for path, want := range map[string]string{"/stream/1": c.stream, "/batch/1": c.batch} {
			t.Run(name+path, func(t *testing.T) {
				sound := startUpstream(t, "u2", respondWholeOrResumed)
				first := startUpstream(t, "u1", respondUnframed(c.body, c.orderly))
				h := newHarness(t, first, sound)
				h.gateway.Tracker.RecordPeerPause("u2", time.Minute)
				got := doStream(h, t, path)
				if want == cut {
					assert.Assert(t, got.err != nil, "status %d, %q", got.status, got.body)
					return
				}
				assert.NilError(t, got.err)
				assert.Equal(t, fmt.Sprint(got.status, " ", got.body), want)
				if path == "/stream/1" {
					assert.Equal(t, first.requestCount()+sound.requestCount(), c.requests)
				}
			})
		}
	}
}

// The rest of a stream from the next engine, which crashed as it began, passed for complete.
func TestUnframedContinuationWithoutEventsIsNotComplete(t *testing.T) {
	for name, rest := range map[string]string{"no bytes": "", "comment": ": ping\n\n"} {
		t.Run(name, func(t *testing.T) {
			engine := func(u *testUpstream, r *http.Request, body []byte, conn net.Conn) bool {
				if r.Header.Get("Last-Event-Id") != "" {
					return respondUnframed(rest, true)(u, r, body, conn)
				}
				return respondUnframed(eventText(1, 1), false)(u, r, body, conn)
			}
			h := newHarness(t, startUpstream(t, "u1", engine), startUpstream(t, "u2", engine))
			got := doStream(h, t, "/stream/1")
			assert.Assert(t, got.err != nil, "status %d, %q looks complete", got.status, got.body)
		})
	}
}

// A stream that its caller has taken up after the last event has no events left.
func TestUnframedEmptyRestOfStreamIsComplete(t *testing.T) {
	u := startUpstream(t, "u1", respondUnframed("", true))
	h := newHarness(t, u)
	got := doStream(h, t, "/stream/1", "Last-Event-Id", "3")
	assert.NilError(t, got.err)
	assert.Equal(t, got.status, http.StatusOK)
	assert.Equal(t, u.requestCount(), 1)
}

func TestUnframedBodyThatIsResetIsNotForwarded(t *testing.T) {
	for path, want := range map[string]string{"/read/1": "200 whole", "/order/1": "502 answer broke off\n"} {
		t.Run(path, func(t *testing.T) {
			first := startUpstream(t, "u1", respondUnframed("wh", false))
			h := newHarness(t, first, startUpstream(t, "u2", respondUnframed("whole", true)))
			h.gateway.Tracker.RecordPeerPause("u2", time.Minute)
			got := h.do(t, "POST", path, "")
			assert.NilError(t, got.err)
			assert.Equal(t, fmt.Sprint(got.status, " ", got.body), want)
			assert.Equal(t, first.requestCount(), 1)
		})
	}
}

// The gateway closes the connection of the silent attempt, which is not the end of the response.
func TestUnframedStreamOfSilentEngineGoesOn(t *testing.T) {
	engine := func(u *testUpstream, r *http.Request, body []byte, conn net.Conn) bool {
		if r.Header.Get("Last-Event-Id") != "" {
			return respondUnframed(eventText(2, 3), true)(u, r, body, conn)
		}
		writeResponseHead(conn, r, http.StatusOK, "")
		_, _ = io.WriteString(conn, eventText(1, 1))
		time.Sleep(engineSilence)
		_, _ = io.WriteString(conn, eventText(2, 3))
		return false
	}
	for name, retries := range map[string]int{"at the same engine": 0, "at another engine": 5} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			one, two := startUpstream(t, "u1", engine), startUpstream(t, "u2", engine)
			h := newHarness(t, one, two)
			allowRetries(h, retries)
			got := doStream(h, t, "/stream/1", "Deadline-Ms", "3000")
			assert.NilError(t, got.err)
			assert.Equal(t, got.body, eventText(1, 3))
		})
	}
}

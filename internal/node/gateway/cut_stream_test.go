package gateway

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// respondFramed returns a responder that sends a text as a whole body: in chunks, with a length, or up to the
// end of the connection.
func respondFramed(framing, text string) responder {
	return func(_ *testUpstream, r *http.Request, _ []byte, conn net.Conn) bool {
		switch framing {
		case "chunks":
			writeResponseHead(conn, r, http.StatusOK, "Transfer-Encoding: chunked\r\n")
			if text != "" {
				text = fmt.Sprintf("%x\r\n%s\r\n", len(text), text)
			}
			_, err := io.WriteString(conn, text+"0\r\n\r\n")
			return err == nil
		case "length":
			return respondWith(http.StatusOK, text)(nil, r, nil, conn)
		default:
			return respondUnframed(text, true)(nil, r, nil, conn)
		}
	}
}

// An engine that stops within an event may still end the body in order. The half event and the end of the
// stream were passed on, so that the caller took a stream without its last events for complete.
func TestStreamThatEngineEndsWithinAnEventIsResumed(t *testing.T) {
	for _, framing := range []string{"chunks", "length", "connection"} {
		for _, lineBreak := range []string{"\n", "\r\n"} {
			for _, half := range []string{"id: 2", "id: 2\nda", "id: 2\ndata: piece 2\n", ": pi"} {
				text := func(events string) string { return strings.ReplaceAll(events, "\n", lineBreak) }
				engine := func(u *testUpstream, r *http.Request, body []byte, conn net.Conn) bool {
					if r.Header.Get("Last-Event-Id") == "1" {
						return respondFramed(framing, text(eventText(2, 3)))(u, r, body, conn)
					}
					return respondFramed(framing, text(eventText(1, 1)+half))(u, r, body, conn)
				}
				name := fmt.Sprintf("%s %q %q", framing, lineBreak, half)
				direct := newHarness(t, startUpstream(t, "u1", engine), startUpstream(t, "u2", engine))
				forwarding := newHarness(t, closedUpstream(t, "gone"))
				connectPeers(t, forwarding, newHarness(t, startUpstream(t, "u1", engine), startUpstream(t, "u2", engine)))
				for _, h := range []*harness{direct, forwarding} {
					got := doStream(h, t, "/stream/1")
					assert.NilError(t, got.err, name)
					assert.Equal(t, got.body, text(eventText(1, 3)), name)
					got = doStream(h, t, "/batch/1") // may not be resumed
					assert.Assert(t, got.err != nil, "%s: %q looks complete", name, got.body)
				}
			}
		}
	}
}

// An engine that stops before the first event may still end an empty body in order.
func TestNewStreamWithoutEventsIsBrokenOff(t *testing.T) {
	for _, framing := range []string{"chunks", "length", "connection"} {
		empty, sound := startUpstream(t, "u1", respondFramed(framing, "")), startUpstream(t, "u2", respondWholeOrResumed)
		h := newHarness(t, empty, sound)
		h.gateway.Tracker.RecordPeerPause("u2", time.Minute)
		got := doStream(h, t, "/stream/1")
		assert.Equal(t, fmt.Sprint(got.status, " ", got.body), "200 "+eventText(1, 3), framing)
		got = doStream(newHarness(t, startUpstream(t, "u1", respondFramed(framing, ""))), t, "/batch/1")
		assert.Equal(t, fmt.Sprint(got.status, " ", got.body), "502 stream broke off\n", framing)
	}
}

// Another engine has nothing to add to a stream that broke off after its last event.
func TestFramedEmptyContinuationIsComplete(t *testing.T) {
	engine := func(u *testUpstream, r *http.Request, body []byte, conn net.Conn) bool {
		if r.Header.Get("Last-Event-Id") == "3" {
			return respondFramed("chunks", "")(u, r, body, conn)
		}
		return respondWithEvents(1, 3, false)(u, r, body, conn)
	}
	got := doStream(newHarness(t, startUpstream(t, "u1", engine), startUpstream(t, "u2", engine)), t, "/stream/1")
	assert.NilError(t, got.err)
	assert.Equal(t, got.body, eventText(1, 3))
}

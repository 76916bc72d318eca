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

	"savoryweir/internal/standin/rawhttp"
)

// brokenResponse returns the sound parts of a broken response. Its body is an event, so that it would pass in a
// stream too.
func brokenResponse(requestID string) rawhttp.Response {
	return rawhttp.Response{Fields: "Request-Id: " + requestID + "\r\nResponse-Seal: broken\r\n", Body: "id: 2\ndata: evil\n\n"}
}

// respondRaw returns a responder that sends the text that is made for the request's ID, and closes the connection
// after it unless keepOpen is set.
func respondRaw(keepOpen bool, text func(requestID string) string) responder {
	return func(_ *testUpstream, r *http.Request, _ []byte, conn net.Conn) bool {
		_, err := io.WriteString(conn, text(r.Header.Get("Request-Id")))
		return keepOpen && err == nil
	}
}

// respondBroken returns a responder that sends a broken response, one of those that list returns.
func respondBroken(keepOpen bool, list func(rawhttp.Response) map[string]string, name string) responder {
	return respondRaw(keepOpen, func(requestID string) string { return list(brokenResponse(requestID))[name] })
}

// assertNotPassedOn asserts that a caller got a failure of the gateway's own. It comes before the deadline, at which
// the status is 504.
func assertNotPassedOn(t *testing.T, got result) {
	t.Helper()
	assert.NilError(t, got.err)
	assert.Equal(t, got.status, http.StatusBadGateway, "%.80q", got.body)
	assert.Equal(t, got.header.Get("Response-Seal"), "")
	assert.Assert(t, !strings.Contains(got.body, "evil"), "%.80q", got.body)
}

// assertBrokenResponseIsNotPassedOn lets upstreams send a broken response on each way on which responses reach a
// caller.
func assertBrokenResponseIsNotPassedOn(t *testing.T, broken responder) {
	for name, check := range map[string]func(t *testing.T){
		"of the only upstream": func(t *testing.T) {
			for _, path := range []string{"/read/1", "/order/1", "/stream/1", "/batch/1"} {
				assertNotPassedOn(t, doStream(newHarness(t, startUpstream(t, "u1", broken)), t, path))
			}
		},
		"of the first upstream": func(t *testing.T) {
			h, _ := newHarnessWithSpare(t, broken, respondWith(http.StatusOK, "good"))
			got := h.do(t, http.MethodGet, "/read/1", "")
			assert.Equal(t, fmt.Sprint(got.status, " ", got.body), "200 good")
			h, _ = newHarnessWithSpare(t, broken, respondWithEvents(1, 3, true))
			got = doStream(h, t, "/stream/1")
			assert.Equal(t, fmt.Sprint(got.status, " ", got.body), "200 "+eventText(1, 3))
			h, spare := newHarnessWithSpare(t, broken, respondWith(http.StatusOK, "good"))
			assertNotPassedOn(t, h.do(t, http.MethodPost, "/order/1", "x")) // may have run
			assert.Equal(t, spare.requestCount(), 0)
		},
		"of the engine that resumes a stream": func(t *testing.T) {
			engine := breakOffAndResumeWith(broken)
			got := doStream(newHarness(t, startUpstream(t, "u1", engine), startUpstream(t, "u2", engine)), t, "/stream/1")
			assert.Assert(t, got.err != nil, "%.80q looks complete", got.body)
			assert.Equal(t, got.body, eventText(1, 1))
		},
		"of the engine that is asked beside a silent one": func(t *testing.T) {
			engine := resumeWith(broken)
			h := newHarness(t, startUpstream(t, "u1", engine), startUpstream(t, "u2", engine))
			got := doStream(h, t, "/stream/1", "Deadline-Ms", "3000")
			assert.NilError(t, got.err)
			assert.Equal(t, got.body, eventText(1, 3))
		},
		"of the upstream that is asked beside a silent one": func(t *testing.T) {
			responded := make(chan struct{})
			silent := func(u *testUpstream, r *http.Request, body []byte, conn net.Conn) bool {
				select {
				case <-responded:
				case <-t.Context().Done():
				}
				return respondWith(http.StatusOK, "good")(u, r, body, conn)
			}
			h, _ := newHarnessWithSpare(t, silent, func(u *testUpstream, r *http.Request, body []byte, conn net.Conn) bool {
				isOpen := broken(u, r, body, conn)
				time.AfterFunc(100*time.Millisecond, func() { close(responded) })
				return isOpen
			})
			got := h.do(t, http.MethodGet, "/read/1", "", "Deadline-Ms", "3000")
			assert.Equal(t, fmt.Sprint(got.status, " ", got.body), "200 good")
		},
		"of an upstream of another instance": func(t *testing.T) {
			for _, path := range []string{"/read/1", "/order/1", "/stream/1", "/batch/1"} {
				h := newHarness(t, closedUpstream(t, "gone"))
				connectPeers(t, h, newHarness(t, startUpstream(t, "u1", broken)))
				assertNotPassedOn(t, doStream(h, t, path))
			}
		},
		"of another instance": func(t *testing.T) {
			for _, path := range []string{"/read/1", "/order/1", "/stream/1", "/batch/1"} {
				h, other := newHarness(t, closedUpstream(t, "gone")), startUpstream(t, "i2", broken)
				h.gateway.Peers = func() []Peer {
					return []Peer{{Instance: "i2", Address: other.listener.Addr().String()}}
				}
				assertNotPassedOn(t, doStream(h, t, path))
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			check(t)
		})
	}
}

// assertBrokenResponsesAreNotPassedOn does the same for each of a list of broken responses.
func assertBrokenResponsesAreNotPassedOn(t *testing.T, keepOpen bool, list func(rawhttp.Response) map[string]string) {
	for name := range list(brokenResponse("")) {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			assertBrokenResponseIsNotPassedOn(t, respondBroken(keepOpen, list, name))
		})
	}
}

// newHarnessWithSpare starts a gateway that sends requests to one upstream first, and also returns the other one.
func newHarnessWithSpare(t *testing.T, first, spare responder) (*harness, *testUpstream) {
	t.Helper()
	second := startUpstream(t, "u2", spare)
	h := newHarness(t, startUpstream(t, "u1", first), second)
	h.gateway.Tracker.RecordPeerPause("u2", time.Minute)
	return h, second
}

// breakOffAndResumeWith returns a responder that resets the connection after the first event, and responds to
// a resumed request by resumed.
func breakOffAndResumeWith(resumed responder) responder {
	return func(u *testUpstream, r *http.Request, body []byte, conn net.Conn) bool {
		if r.Header.Get("Last-Event-Id") == "" {
			return respondWithEvents(1, 1, false)(u, r, body, conn)
		}
		return resumed(u, r, body, conn)
	}
}

// net/http takes any status of three digits. One below 200 was skipped as that of an informational response, so that
// the caller got what came next as the response, or nothing before its deadline. One above 599 reached the caller.
func TestResponseWithInvalidStatusIsNotPassedOn(t *testing.T) {
	assertBrokenResponsesAreNotPassedOn(t, true, rawhttp.Response.InvalidStatuses)
}

// net/http takes names with blanks, and a line that begins with a blank for the rest of the one before. It sees no
// length and no encoding in such a line, so that callers got a body that was not the upstream's.
func TestResponseWithInvalidFieldNameIsNotPassedOn(t *testing.T) {
	assertBrokenResponsesAreNotPassedOn(t, false, rawhttp.Response.InvalidFields)
}

// net/http ignores the encoding of an HTTP/1.0 response, so that callers got the sizes of its chunks as part of the body.
func TestChunkedResponseInHTTP10IsNotPassedOn(t *testing.T) {
	assertBrokenResponseIsNotPassedOn(t, respondRaw(false, func(requestID string) string {
		return brokenResponse(requestID).ChunkedInHTTP10()
	}))
}

// An upstream that stops within the head and closes the connection has sent no response.
func TestResponseCutWithinHeadIsNotPassedOn(t *testing.T) {
	assertBrokenResponsesAreNotPassedOn(t, false, rawhttp.Response.CutHeads)
	whole := brokenResponse("r-1").Sound()
	head, _, _ := strings.Cut(whole, "id: 2")
	for _, text := range []string{head, "HTTP/1.1 103 X\r\nLink: a\r\n\r\n" + head, strings.ReplaceAll(head, "\r\n", "\n")} {
		for cut := range text {
			h := newHarness(t, startUpstream(t, "u1", respondRaw(false, func(string) string { return text[:cut] })))
			assertNotPassedOn(t, h.do(t, http.MethodPost, "/order/1", "x"))
		}
	}
}

// assertBrokenEndsAreNotPassedOn asserts that a body in chunks with an end that can't be read is no response, and that
// a stream with such an end does not look complete.
func assertBrokenEndsAreNotPassedOn(t *testing.T, list func(rawhttp.Response) map[string]string) {
	for name := range list(brokenResponse("")) {
		t.Run(name, func(t *testing.T) {
			newBroken := func() *harness {
				return newHarness(t, startUpstream(t, "u1", respondBroken(false, list, name)))
			}
			for _, path := range []string{"/read/1", "/order/1"} {
				assertNotPassedOn(t, doStream(newBroken(), t, path))
			}
			forwarding := newHarness(t, closedUpstream(t, "gone"))
			connectPeers(t, forwarding, newBroken())
			for _, h := range []*harness{newBroken(), forwarding} {
				got := doStream(h, t, "/batch/1")
				assert.Assert(t, got.err != nil, "%.80q looks complete", got.body)
			}
		})
	}
}

// net/http takes names with blanks in trailers as well.
func TestResponseWithInvalidTrailerIsNotPassedOn(t *testing.T) {
	assertBrokenEndsAreNotPassedOn(t, rawhttp.Response.InvalidTrailers)
}

func TestResponseWithInvalidChunkLineIsNotPassedOn(t *testing.T) {
	assertBrokenEndsAreNotPassedOn(t, rawhttp.Response.InvalidChunkLines)
}

// What HTTP allows still passes, unusual as it may be.
func TestUnusualSoundResponseIsPassedOn(t *testing.T) {
	const (
		sealedFields = "Request-Id: r-1\r\nResponse-Seal: seal-r-1\r\n"
		sealedHead   = "HTTP/1.1 200 OK\r\n" + sealedFields
		good         = "Content-Length: 4\r\n\r\ngood"
	)
	for name, text := range map[string]string{
		"informational heads":        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early\r\nLink: a\r\n\r\n" + sealedHead + good,
		"line feeds alone":           strings.ReplaceAll(sealedHead+good, "\r\n", "\n"),
		"no reason":                  "HTTP/1.1 200\r\n" + sealedFields + good,
		"no value":                   sealedHead + "X-Note:\r\n" + good,
		"blanks around value":        sealedHead + "X-Note: \t a b\t \r\n" + good,
		"value in another encoding":  sealedHead + "X-Note: \xe4\xff\r\n" + good,
		"name of all bytes":          sealedHead + "x!#$%&'*+-.^_`|~9: a\r\n" + good,
		"long line":                  sealedHead + "X-Note: " + strings.Repeat("a", 32<<10) + "\r\n" + good,
		"no length":                  sealedHead + "\r\ngood",
		"HTTP/1.0":                   "HTTP/1.0 200 OK\r\n" + sealedFields + good,
		"HTTP/1.0 without a length":  "HTTP/1.0 200 OK\r\n" + sealedFields + "\r\ngood",
		"chunk extension":            sealedHead + "Transfer-Encoding: chunked\r\n\r\n4;a=b\r\ngood\r\n0\r\n\r\n",
		"trailer":                    sealedHead + "Transfer-Encoding: chunked\r\n\r\n4\r\ngood\r\n0\r\nX-Note: a\r\n\r\n",
		"highest status of a server": "HTTP/1.1 599 X\r\n" + sealedFields + good,
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, startUpstream(t, "u1", respondRaw(false, func(string) string { return text })))
			got := h.do(t, http.MethodPost, "/order/1", "x")
			assert.NilError(t, got.err)
			assert.Equal(t, got.body, "good")
			assert.Equal(t, got.header.Get("Response-Seal"), "seal-r-1")
		})
	}
}

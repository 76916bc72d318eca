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
	"savoryweir/platform"
)

// earlyUploadBytes is more than the socket buffers of both ends hold, so that the upload to an upstream waits.
const earlyUploadBytes = 8 << 20

// earlyBody is the body of an early response: one event, so that it would pass in a stream too.
var earlyBody = eventText(1, 1)

// startEarlyUpstream starts an upstream that responds to uploads before it has read them, by one of the responses that
// list returns.
func startEarlyUpstream(t *testing.T, id string, body string, list func(rawhttp.Response) map[string]string, name string, end rawhttp.End) *testUpstream {
	t.Helper()
	listener, err := rawhttp.ListenEarly(t.Context())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	u := newTestUpstream(id, listener, nil)
	go rawhttp.Early{End: end, ReadBytes: 64 << 10, Respond: func(r *http.Request) string {
		if r.URL.Path == platform.ReportPath {
			return rawhttp.Response{Body: "{}"}.Sound()
		}
		u.record(r, "")
		requestID := r.Header.Get("Request-Id")
		return list(rawhttp.Response{Fields: "Request-Id: " + requestID + "\r\nResponse-Seal: seal-" + requestID + "\r\n", Body: body})[name]
	}}.Serve(listener)
	return u
}

// upload sends a request with a long body.
func upload(t *testing.T, h *harness, path string, headers ...string) result {
	t.Helper()
	config := *h.gateway.Config()
	config.Limits.MaxBodyBytes = earlyUploadBytes
	h.gateway.ApplyConfig(&config)
	return h.do(t, http.MethodPost, path, strings.Repeat("x", earlyUploadBytes), append([]string{"Model", testModel, "Token-Count", "100,10"}, headers...)...)
}

// viaPeer returns a gateway that forwards its requests to another one, whose upstreams are given.
func viaPeer(t *testing.T, upstreams ...*testUpstream) *harness {
	t.Helper()
	h, peer := newHarness(t, closedUpstream(t, "gone")), newHarness(t, upstreams...)
	config := *peer.gateway.Config()
	config.Limits.MaxBodyBytes = earlyUploadBytes
	peer.gateway.ApplyConfig(&config)
	connectPeers(t, h, peer)
	return h
}

// asPeer returns a gateway that forwards its requests to an instance that responds as an upstream does.
func asPeer(t *testing.T, instance *testUpstream) *harness {
	t.Helper()
	h := newHarness(t, closedUpstream(t, "gone"))
	h.gateway.Peers = func() []Peer {
		return []Peer{{Instance: string(instance.id), Address: instance.listener.Addr().String()}}
	}
	return h
}

// earlyWays are the ways on which a response reaches a caller.
var earlyWays = map[string]func(t *testing.T, u *testUpstream) *harness{
	"of an upstream":                     func(t *testing.T, u *testUpstream) *harness { return newHarness(t, u) },
	"of an upstream of another instance": func(t *testing.T, u *testUpstream) *harness { return viaPeer(t, u) },
	"of another instance":                asPeer,
}

// assertLooksBroken asserts that a caller can't take what it got for a complete response of an upstream.
func assertLooksBroken(t *testing.T, got result) {
	t.Helper()
	if got.err == nil {
		assert.Equal(t, got.status, http.StatusBadGateway, "%d bytes look complete", len(got.body))
		assert.Equal(t, got.header.Get("Response-Seal"), "")
	}
}

// forEachEarlyWay calls check for each way on which a response reaches a caller and each kind of route.
func forEachEarlyWay(t *testing.T, name string, check func(t *testing.T, newGateway func(*testing.T, *testUpstream) *harness, path string)) {
	for way, newGateway := range earlyWays {
		for _, path := range []string{"/read/1", "/order/1", "/stream/1", "/batch/1"} {
			t.Run(fmt.Sprint(name, " ", way, path), func(t *testing.T) {
				t.Parallel()
				check(t, newGateway, path)
			})
		}
	}
}

// A response without a length that is reset while the upload is still sent passed for complete: the write of the upload
// was told of the reset, and the read got the end of the file.
func TestEarlyResponseThatIsResetIsNotPassedOn(t *testing.T) {
	assertNotPassedOn := func(t *testing.T, name, body string, newGateway func(*testing.T, *testUpstream) *harness, path string) {
		u := startEarlyUpstream(t, "u1", body, rawhttp.Response.Unframed, name, rawhttp.ResetAfter(30*time.Millisecond))
		assertLooksBroken(t, upload(t, newGateway(t, u), path))
	}
	for name := range (rawhttp.Response{}).Unframed() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			assertNotPassedOn(t, name, earlyBody, earlyWays["of an upstream"], "/order/1")
		})
	}
	long := eventText(1, 12_000) // is relayed while it is read
	for name, body := range map[string]string{"no length": earlyBody, "head alone": earlyBody, "closing": long} {
		forEachEarlyWay(t, name, func(t *testing.T, newGateway func(*testing.T, *testUpstream) *harness, path string) {
			assertNotPassedOn(t, name, body, newGateway, path)
		})
	}
}

// What may be sent again is, and nothing else is.
func TestEarlyResponseThatIsResetIsReplacedWhereAllowed(t *testing.T) {
	for path, want := range map[string]string{"/read/1": "200 good", "/order/1": "502 answer broke off\n"} {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			spare := startUpstream(t, "u2", respondWith(http.StatusOK, "good"))
			first := startEarlyUpstream(t, "u1", earlyBody, rawhttp.Response.Unframed, "no length", rawhttp.ResetAfter(30*time.Millisecond))
			h := newHarness(t, first, spare)
			h.gateway.Tracker.RecordPeerPause("u2", time.Minute)
			got := upload(t, h, path)
			assert.NilError(t, got.err)
			assert.Equal(t, fmt.Sprint(got.status, " ", got.body), want)
			assert.Equal(t, first.requestCount(), 1)
		})
	}
	t.Run("stream", func(t *testing.T) {
		t.Parallel()
		spare := startUpstream(t, "u2", respondWholeOrResumed)
		first := startEarlyUpstream(t, "u1", earlyBody, rawhttp.Response.Unframed, "events", rawhttp.ResetAfter(30*time.Millisecond))
		h := newHarness(t, first, spare)
		h.gateway.Tracker.RecordPeerPause("u2", time.Minute)
		got := upload(t, h, "/stream/1")
		assert.NilError(t, got.err)
		assert.Equal(t, got.body, eventText(1, 3))
	})
}

// An upstream may respond before it has read an upload, end its response in an orderly way and turn the rest away.
func TestEarlyResponseWithOrderlyEndIsPassedOn(t *testing.T) {
	responses := func(r rawhttp.Response) map[string]string {
		all := r.Unframed()
		for name, text := range r.Framed() {
			all["with "+name] = text
		}
		return all
	}
	assertPassedOn := func(t *testing.T, name string, end rawhttp.End, newGateway func(*testing.T, *testUpstream) *harness, path string, status int) {
		got := upload(t, newGateway(t, startEarlyUpstream(t, "u1", earlyBody, responses, name, end)), path)
		assert.NilError(t, got.err)
		assert.Equal(t, fmt.Sprint(got.status, " ", got.body), fmt.Sprint(status, " ", earlyBody))
		assert.Equal(t, got.header.Get("Response-Seal"), "seal-r-1")
	}
	ends := map[string]rawhttp.End{
		"reset later": rawhttp.CloseThenResetAfter(30 * time.Millisecond), "reset at once": rawhttp.CloseThenResetAfter(0), "upload is read": rawhttp.CloseThenRead,
	}
	for name, status := range map[string]int{
		"no length": 200, "closing": 200, "HTTP/1.0": 200, "HTTP/1.0 kept alive": 200, "informational first": 200, "status 201": 201, "status 404": 404,
		"status 500": 500, "events": 200, "with length": 200, "with chunks": 200,
	} {
		for endName, end := range ends {
			t.Run(name+" "+endName, func(t *testing.T) {
				t.Parallel()
				assertPassedOn(t, name, end, earlyWays["of an upstream"], "/order/1", status)
			})
		}
	}
	for _, name := range []string{"no length", "with length", "with chunks"} {
		forEachEarlyWay(t, name, func(t *testing.T, newGateway func(*testing.T, *testUpstream) *harness, path string) {
			assertPassedOn(t, name, ends["reset later"], newGateway, path, http.StatusOK)
		})
	}
}

// An upstream that reads an upload slowly is sound, and its response reaches the caller before the deadline.
func TestUpstreamThatReadsUploadSlowlyIsAwaited(t *testing.T) {
	for way, newGateway := range map[string]func(t *testing.T, u *testUpstream) *harness{
		"of an upstream": earlyWays["of an upstream"], "of an upstream of another instance": earlyWays["of an upstream of another instance"],
	} {
		for name, begun := range map[string]bool{"begun": true, "not begun": false} {
			t.Run(way+" "+name, func(t *testing.T) {
				t.Parallel()
				whole := "HTTP/1.1 200 OK\r\nRequest-Id: r-1\r\nResponse-Seal: seal-r-1\r\n\r\nwhole"
				sent := 0
				if begun {
					sent = len(whole) - 2
				}
				listener, err := rawhttp.ListenEarly(t.Context())
				assert.NilError(t, err)
				defer func() { _ = listener.Close() }()
				u := newTestUpstream("u1", listener, nil)
				go rawhttp.Early{Respond: func(*http.Request) string { return whole[:sent] }, End: func(conn *net.TCPConn, rest io.Reader) {
					time.Sleep(2500 * time.Millisecond)
					_, _ = io.Copy(io.Discard, rest)
					_, _ = io.WriteString(conn, whole[sent:])
				}}.Serve(listener)
				got := upload(t, newGateway(t, u), "/order/1", "Deadline-Ms", "5000")
				assert.NilError(t, got.err)
				assert.Equal(t, fmt.Sprint(got.status, " ", got.body), "200 whole")
			})
		}
	}
}

// Whether a request was executed is told by the head of a refusal, which is complete, whatever becomes of its body: 421
// and Not-Executed state that it was not, other refusals promise nothing.
func TestEarlyRefusalThatIsResetIsJudgedByItsHead(t *testing.T) {
	for _, status := range []int{408, 421, 429, 503} {
		for field, want := range map[string]int{"": http.StatusBadGateway, "Not-Executed: 1\r\n": http.StatusServiceUnavailable} {
			t.Run(fmt.Sprint(status, " ", field), func(t *testing.T) {
				t.Parallel()
				refusal := func(r rawhttp.Response) map[string]string {
					return map[string]string{"": fmt.Sprintf("HTTP/1.1 %d X\r\n%s%s\r\n%s", status, r.Fields, field, r.Body)}
				}
				u := startEarlyUpstream(t, "u1", "half", refusal, "", rawhttp.ResetAfter(30*time.Millisecond))
				got := upload(t, newHarness(t, u), "/order/1")
				assert.NilError(t, got.err)
				if status == http.StatusMisdirectedRequest {
					want = http.StatusServiceUnavailable
				}
				assert.Equal(t, got.status, want, got.body)
				assert.Equal(t, got.header.Get("Response-Seal"), "")
			})
		}
	}
}

// A caller that speaks HTTP/1.0 gets a long body without a length, too.
func TestBrokenResponseDoesNotLookCompleteInHTTP10(t *testing.T) {
	for path, body := range map[string]string{"/order/1": strings.Repeat("x", 2*maxBufferedBodyBytes), "/batch/1": eventText(1, 3)} {
		for name, end := range map[string]bool{"whole": true, "broken": false} {
			t.Run(path+" "+name, func(t *testing.T) {
				h := newHarness(t, startUpstream(t, "u1", respondUnframed(body, end)))
				conn, err := net.Dial("tcp4", h.server.Listener.Addr().String())
				assert.NilError(t, err)
				defer func() { _ = conn.Close() }()
				_, err = fmt.Fprintf(conn, "POST %s HTTP/1.0\r\nHost: desk.example\r\nRequest-Id: r-1\r\nModel: m1\r\nToken-Count: 100,10\r\nDeadline-Ms: 2000\r\nContent-Length: 1\r\n\r\nx", path)
				assert.NilError(t, err)
				got, err := io.ReadAll(conn)
				assert.Equal(t, err == nil, end, "%d bytes, %v", len(got), err)
				if end {
					assert.Assert(t, strings.HasSuffix(string(got), "\r\n\r\n"+body))
				}
			})
		}
	}
}

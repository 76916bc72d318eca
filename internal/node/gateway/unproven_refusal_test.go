package gateway

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// respondLong returns a responder with a signed body that is too long to be buffered.
func respondLong(status int, chunked bool) responder {
	body := strings.Repeat("x", maxBufferedBodyBytes+1)
	return func(u *testUpstream, r *http.Request, request []byte, conn net.Conn) bool {
		if !chunked {
			return respondWith(status, body)(u, r, request, conn)
		}
		writeResponseHead(conn, r, status, "Transfer-Encoding: chunked\r\n")
		_, err := fmt.Fprintf(conn, "%x\r\n%s\r\n0\r\n\r\n", len(body), body)
		return err == nil
	}
}

// startFormerPeer starts an instance of a former build, which forwards each response of an upstream as it is.
func startFormerPeer(t *testing.T, u *testUpstream) Peer {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		request, err := http.NewRequestWithContext(r.Context(), r.Method, "http://"+u.listener.Addr().String()+r.URL.Path, r.Body)
		assert.Check(t, err)
		request.Header = r.Header.Clone()
		response, err := http.DefaultTransport.RoundTrip(request)
		assert.Check(t, err)
		defer func() { _ = response.Body.Close() }()
		for name, values := range response.Header {
			w.Header()[name] = values
		}
		w.WriteHeader(response.StatusCode)
		_, _ = io.Copy(w, response.Body)
	}))
	t.Cleanup(server.Close)
	return Peer{Instance: "former", Address: server.Listener.Addr().String()}
}

// An upstream may fail a request with 503 after it has executed it. The status was passed on, so that the
// caller asked again for what must run once.
func TestRefusalWithoutProofIsNotPassedOnForRequestsThatRunOnce(t *testing.T) {
	for name, respond := range map[string]func(status int) responder{
		"short body": func(status int) responder { return respondWith(status, "failed") },
		"long body":  func(status int) responder { return respondLong(status, false) },
		"chunks":     func(status int) responder { return respondLong(status, true) },
	} {
		for _, status := range []int{408, 429, 503} {
			for _, path := range []string{"/order/1", "/batch/1"} {
				engine := func() *testUpstream { return startUpstream(t, "u1", respond(status)) }
				u1, u2, u3 := engine(), engine(), engine()
				direct := newHarness(t, u1)
				forwarding := newHarness(t, closedUpstream(t, "gone"))
				connectPeers(t, forwarding, newHarness(t, u2))
				beside := newHarness(t, closedUpstream(t, "gone"))
				beside.gateway.Peers = func() []Peer { return []Peer{startFormerPeer(t, u3)} }
				for which, h := range map[string]*harness{"direct": direct, "forwarded": forwarding, "by a former build": beside} {
					got := doStream(h, t, path)
					assert.NilError(t, got.err)
					assert.Equal(t, got.status, http.StatusBadGateway, "%s, %s, %d %s: %.40q", name, which, status, path, got.body)
					assert.Equal(t, got.header.Get("Response-Seal"), "")
					assert.Equal(t, got.header.Get("Request-Id"), "r-1")
				}
				assert.Equal(t, u1.requestCount()+u2.requestCount()+u3.requestCount(), 3, "%s: a request was sent again", path)
			}
		}
	}
}

// Requests that may be repeated lose nothing if their caller asks again, and other failures promise nothing.
func TestOtherFailuresOfUpstreamAreForwardedUnchanged(t *testing.T) {
	for path, statuses := range map[string][]int{"/read/1": {408, 429, 503, 500}, "/stream/1": {408, 429, 503, 500}, "/order/1": {400, 404, 500, 502, 504}, "/batch/1": {400, 500, 504}} {
		for _, status := range statuses {
			got := doStream(newHarness(t, startUpstream(t, "u1", respondWith(status, "failed"))), t, path)
			assert.NilError(t, got.err)
			assert.Equal(t, fmt.Sprint(got.status, " ", got.body), fmt.Sprint(status, " failed"), path)
			assert.Equal(t, got.header.Get("Response-Seal"), "seal-r-1")
		}
	}
}

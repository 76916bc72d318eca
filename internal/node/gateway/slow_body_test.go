package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// The connection was closed without a response, and only after the rest of the body.
func TestRequestWhoseBodyIsLateIsRefused(t *testing.T) {
	for _, path := range []string{"/order/1", "/read/1", "/stream/1"} {
		for name, framing := range map[string]string{"length": "Content-Length: 4\r\n\r\nab", "chunks": "Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n"} {
			t.Run(path+" "+name, func(t *testing.T) {
				t.Parallel()
				u := startUpstream(t, "u1", respondWith(http.StatusOK, "ok"))
				h := newHarness(t, u)
				config := *h.gateway.Config()
				config.Routes = testRoutes()
				for i := range config.Routes {
					config.Routes[i].Timeout = 300 * time.Millisecond
				}
				h.gateway.ApplyConfig(&config)
				conn, err := net.Dial("tcp4", h.server.Listener.Addr().String())
				assert.NilError(t, err)
				defer func() { _ = conn.Close() }()
				_, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: desk.example\r\nRequest-Id: r-1\r\nModel: m1\r\nDeadline-Ms: 2000\r\n%s", path, framing)
				assert.NilError(t, err)
				assert.NilError(t, conn.SetReadDeadline(time.Now().Add(time.Second)))
				response, err := http.ReadResponse(bufio.NewReader(conn), nil)
				assert.NilError(t, err)
				_, err = io.Copy(io.Discard, response.Body)
				assert.NilError(t, err)
				assert.Equal(t, response.StatusCode, http.StatusRequestTimeout)
				assert.Assert(t, response.Close)
				assert.Equal(t, u.requestCount(), 0)
			})
		}
	}
}

// The response waited without a limit for the body that the gateway does not read.
func TestRefusalDoesNotWaitForBodyWithoutLimit(t *testing.T) {
	for name, c := range map[string]struct {
		path    string
		prepare func(*harness)
		status  int
	}{
		"no route":            {"/none/1", func(*harness) {}, http.StatusNotFound},
		"instance is leaving": {"/order/1", func(h *harness) { h.gateway.RefuseNewRequests() }, http.StatusServiceUnavailable},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			h := newHarness(t)
			c.prepare(h)
			conn, err := net.Dial("tcp4", h.server.Listener.Addr().String())
			assert.NilError(t, err)
			defer func() { _ = conn.Close() }()
			_, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: desk.example\r\nRequest-Id: r-1\r\nDeadline-Ms: 500\r\nContent-Length: 4\r\n\r\nab", c.path)
			assert.NilError(t, err)
			assert.NilError(t, conn.SetReadDeadline(time.Now().Add(3*time.Second)))
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			assert.NilError(t, err)
			_, err = io.Copy(io.Discard, response.Body)
			assert.NilError(t, err)
			assert.Equal(t, response.StatusCode, c.status)
			assert.Assert(t, response.Close)
		})
	}
}

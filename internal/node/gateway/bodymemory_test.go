package gateway

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Large bodies of many callers at once exceeded the memory of the process. One for which no memory is left is refused
// at once; small ones are served all the same, and the memory is free again after the response.
func TestBodiesThatExceedMemoryAreRefused(t *testing.T) {
	const large = 512 << 10
	release := make(chan struct{})
	u := startUpstream(t, "u1", func(u *testUpstream, r *http.Request, body []byte, conn net.Conn) bool {
		if len(body) == large {
			<-release
		}
		return respondWith(http.StatusOK, "done")(u, r, body, conn)
	})
	h := newHarness(t, u)
	h.bodyMemory.Store(large * 3 / 2)
	first := make(chan result, 1)
	go func() { first <- h.do(t, "POST", "/order/1", strings.Repeat("x", large)) }()
	eventually(t, "the first request", func() bool { return u.requestCount() == 1 })
	for name, body := range map[string]io.Reader{"length": strings.NewReader(strings.Repeat("x", large)), "chunks": io.MultiReader(strings.NewReader(strings.Repeat("x", large)))} {
		r := h.newRequest(t, "POST", "/order/1", "")
		r.Body, r.ContentLength = io.NopCloser(body), large
		if name == "chunks" {
			r.ContentLength = -1
		}
		got := h.send(t, r)
		assert.NilError(t, got.err)
		assert.Equal(t, got.status, http.StatusServiceUnavailable, name)
		assert.Assert(t, got.header.Get("Retry-After") != "")
	}
	assert.Equal(t, h.do(t, "POST", "/order/1", strings.Repeat("x", smallBodyBytes-1)).status, http.StatusOK)
	// A caller that announces a large body and sends none takes no memory.
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	slow := h.newRequest(t, "POST", "/order/1", "").WithContext(ctx)
	reader, writer := io.Pipe()
	slow.Body, slow.ContentLength = reader, large
	go func() { h.send(t, slow) }()
	time.Sleep(20 * time.Millisecond)
	assert.Equal(t, h.gateway.bodyMemory.used.Load(), int64(large+1), "the first body and the byte to read to its end")
	_ = writer.Close()
	close(release)
	assert.Equal(t, (<-first).status, http.StatusOK)
	eventually(t, "free memory", func() bool { return h.gateway.bodyMemory.used.Load() == 0 })
	assert.Equal(t, h.do(t, "POST", "/order/1", strings.Repeat("x", large)).status, http.StatusOK)
}

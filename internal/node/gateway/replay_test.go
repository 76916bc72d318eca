package gateway

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"savoryweir/platform"
)

// replayingUpstream executes all requests. From the second one of each connection on, it writes an
// earlier refusal before its response.
type replayingUpstream struct {
	refusal  string
	mu       sync.Mutex
	seen     map[net.Conn]bool
	executed map[string]int // by ID
}

func (p *replayingUpstream) respond(_ *testUpstream, r *http.Request, _ []byte, conn net.Conn) bool {
	p.mu.Lock()
	isKept := p.seen[conn]
	p.seen[conn] = true
	p.executed[r.Header.Get("Request-Id")]++
	p.mu.Unlock()
	if isKept {
		_, _ = io.WriteString(conn, p.refusal)
		time.Sleep(20 * time.Millisecond)
	}
	return respondWith(http.StatusOK, "ok")(nil, r, nil, conn)
}

// An upstream writes an earlier refusal once more on a kept connection, as if it were the response to
// the request that it executes. Callers were told that this one was not executed.
func TestRepeatedRefusalIsNoRefusalOfNextRequest(t *testing.T) {
	withoutID := func(status int) string {
		return strings.Replace(refusalText(status, "x"), "Request-Id: x\r\n", "", 1)
	}
	for name, c := range map[string]struct{ refusal, path string }{
		"of another request":            {refusalText(503, "r-x"), "/order/"},
		"without ID":                    {withoutID(503), "/order/"},
		"misdirected, without ID":       {withoutID(421), "/order/"},
		"too many requests, without ID": {withoutID(429), "/order/"},
		"stream, of another request":    {refusalText(503, "r-x"), "/batch/"},
		"stream, without ID":            {withoutID(503), "/batch/"},
	} {
		t.Run(name, func(t *testing.T) {
			one := &replayingUpstream{refusal: c.refusal, seen: make(map[net.Conn]bool), executed: make(map[string]int)}
			h := newHarness(t, startUpstream(t, "u1", one.respond), startUpstream(t, "u2", one.respond))
			for n := range 8 {
				id := fmt.Sprintf("r-%d", n)
				got := h.do(t, "POST", c.path+id, "x", "Request-Id", id, "Model", testModel, "Token-Count", "10,5")
				one.mu.Lock()
				executed := one.executed[id]
				one.mu.Unlock()
				assert.Assert(t, executed <= 1, "%s was executed %d times", id, executed)
				assert.Assert(t, executed == 0 || !platform.PromisesNotExecuted(got.status), "%s was executed and got %d", id, got.status)
			}
		})
	}
}

// The refusal of the same request carries its ID, so that only a connection which has not carried
// it before tells the two apart.
func TestOnceOnlyRequestReturnsToUpstreamOnAnotherConnection(t *testing.T) {
	var mu sync.Mutex
	conns := make(map[net.Conn]int)
	u := startUpstream(t, "u1", func(_ *testUpstream, r *http.Request, _ []byte, conn net.Conn) bool {
		mu.Lock()
		conns[conn]++
		mu.Unlock()
		_, err := io.WriteString(conn, refusalText(http.StatusServiceUnavailable, r.Header.Get("Request-Id")))
		return err == nil
	})
	h := newHarness(t, u)
	got := h.do(t, "POST", "/batch/1", "x", "Model", testModel, "Token-Count", "10,5")
	assert.Equal(t, got.status, http.StatusServiceUnavailable)
	mu.Lock()
	defer mu.Unlock()
	assert.Equal(t, len(conns), u.requestCount(), "%d sends on %d connections", u.requestCount(), len(conns))
	assert.Assert(t, u.requestCount() > 1, "the request was sent again")
}

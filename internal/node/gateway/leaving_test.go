package gateway

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"savoryweir/internal/node/registry"
	"savoryweir/internal/transport/hangup"
)

// lateListener is the port of an instance that is short of CPU time: while it is held, it accepts
// no connections and reads none.
type lateListener struct {
	net.Listener
	mu     sync.RWMutex // held for writing while the instance does nothing
	closed atomic.Int64 // connections that the server has closed
}

func (l *lateListener) hold() (release func()) {
	l.mu.Lock()
	return l.mu.Unlock
}

func (l *lateListener) awaitRelease() {
	l.mu.RLock()
	defer l.mu.RUnlock()
}

// Accept implements net.Listener.
func (l *lateListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	l.awaitRelease()
	if err != nil {
		return nil, err
	}
	return &lateConn{TCPConn: conn.(*net.TCPConn), listener: l}, nil
}

// lateConn is a connection of a lateListener.
type lateConn struct {
	*net.TCPConn
	listener *lateListener
}

// Read implements net.Conn.
func (c *lateConn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	c.listener.awaitRelease()
	return n, err
}

// serveLate serves the callers of a harness through a lateListener.
func (h *harness) serveLate(t *testing.T) *lateListener {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	late := &lateListener{Listener: listener}
	server := httptest.NewUnstartedServer(h.gateway)
	assert.NilError(t, server.Listener.Close())
	server.Listener = late
	server.Config.ConnContext = hangup.NewContext
	server.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateClosed {
			late.closed.Add(1)
		}
	}
	server.Start()
	t.Cleanup(server.Close)
	return late
}

// openConnections makes the gateway keep open connections to its upstreams.
func (h *harness) openConnections(t *testing.T, count int) {
	t.Helper()
	var group sync.WaitGroup
	for range count {
		group.Go(func() { h.do(t, "GET", "/read/1", "") })
	}
	group.Wait()
}

// leaver is a caller that speaks HTTP by hand, to leave at a stage of its request.
type leaver struct{ *net.TCPConn }

func dialLeaver(t *testing.T, address net.Addr) leaver {
	t.Helper()
	conn, err := net.Dial("tcp4", address.String())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	return leaver{conn.(*net.TCPConn)}
}

// requestText returns a request with a body, or with one in chunks.
func requestText(path, id, body string, inChunks bool) string {
	framing, content := fmt.Sprintf("Content-Length: %d", len(body)), body
	if inChunks {
		framing, content = "Transfer-Encoding: chunked", fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(body), body)
	}
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: desk.example\r\nRequest-Id: %s\r\nDeadline-Ms: 2000\r\nModel: %s\r\nToken-Count: 10,5\r\n%s\r\n\r\n%s", path, id, testModel, framing, content)
}

func (l leaver) write(t *testing.T, text string) {
	t.Helper()
	_, err := io.WriteString(l, text)
	assert.NilError(t, err)
}

// lateNotice is how late an upstream may still learn of a caller's leaving.
const lateNotice = 500 * time.Millisecond

// Callers leave before an instance that is short of CPU time reads their requests. Their requests wait
// in the buffers of the kernel together with the end of their connections.
func TestRequestOfCallerThatLeftBeforeItWasReadIsNotSent(t *testing.T) {
	get := "GET /read/1 HTTP/1.1\r\nHost: desk.example\r\nRequest-Id: r-1\r\nDeadline-Ms: 2000\r\n\r\n"
	cases := []struct {
		name, request string
		reset         bool
		kept          bool // the connection has carried a request before
	}{
		{name: "no body", request: get},
		{name: "body", request: requestText("/stream/1", "r-1", strings.Repeat("x", 2000), false)},
		{name: "body in chunks", request: requestText("/read/1", "r-1", "body", true)},
		{name: "order", request: requestText("/order/1", "r-1", "body", false)},
		{name: "reset", request: get, reset: true},
		{name: "kept connection", request: requestText("/read/1", "r-1", "body", false), kept: true},
		{name: "part of a next request", request: requestText("/read/1", "r-1", "body", false) + "GET /rea"},
	}
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			u := startUpstream(t, "u1", respondWith(http.StatusOK, "ok"))
			h := newHarness(t, u)
			h.openConnections(t, 16)
			late := h.serveLate(t)
			const callers = 30
			leavers := make([]leaver, callers)
			for i := range leavers {
				leavers[i] = dialLeaver(t, late.Addr())
				if c.kept {
					leavers[i].write(t, get)
					_, err := leavers[i].Read(make([]byte, 4096))
					assert.NilError(t, err)
				}
			}
			before := u.requestCount()
			release := late.hold()
			for _, l := range leavers {
				l.write(t, c.request)
				if c.reset {
					assert.NilError(t, l.SetLinger(0))
				}
				assert.NilError(t, l.Close())
			}
			time.Sleep(lateNotice)
			release()
			eventually(t, "the end of all connections", func() bool { return late.closed.Load() == callers })
			assert.Equal(t, u.requestCount()-before, 0, "requests of callers that left reached the upstream")
		})
	}
}

// A caller writes bytes of a next request, and leaves. net/http does not watch a connection on which
// bytes wait.
func TestCallerThatLeavesBehindBytesOfNextRequestIsNoticed(t *testing.T) {
	closed := make(chan time.Time, 1)
	u := startUpstream(t, "u1", holdUntilClosed(1, closed))
	h := newHarness(t, u)
	l := dialLeaver(t, h.server.Listener.Addr())
	l.write(t, requestText("/stream/1", "r-1", "body", false))
	eventually(t, "the request at the upstream", func() bool { return u.requestCount() == 1 })
	l.write(t, requestText("/stream/1", "r-2", "body", false))
	time.Sleep(50 * time.Millisecond)
	left := time.Now()
	assert.NilError(t, l.Close())
	select {
	case at := <-closed:
		assert.Assert(t, at.Sub(left) < lateNotice)
	case <-time.After(2 * lateNotice):
		t.Fatal("the upstream still works for a caller that has left")
	}
	time.Sleep(lateNotice)
	assert.Equal(t, u.requestCount(), 1, "requests at the upstream")
}

// The caller leaves in the instant in which its model is loaded.
func TestRequestOfCallerThatLeftWhileItWaitedForLoadIsNotSent(t *testing.T) {
	for range 40 {
		u := startUpstream(t, "u1", respondWithEvents(1, 2, true))
		h := newHarness(t, u)
		doStream(h, t, "/stream/1")
		ctx, leave := context.WithCancel(t.Context())
		request := httptest.NewRequest("POST", "/stream/1", nil).WithContext(ctx)
		request.Host = "desk.example"
		request.Header = h.newRequest(t, "POST", "/stream/1", "", "Model", testModel+"/a2").Header
		served := make(chan any, 1)
		go func() {
			defer func() { served <- recover() }()
			h.gateway.ServeHTTP(httptest.NewRecorder(), request)
		}()
		<-h.loadRequests
		leave()
		h.registry.MarkLoaded(registry.ResidentKey{Upstream: "u1", Model: testModel, Adapter: "a2"})
		<-served
		assert.Equal(t, u.requestCount(), 1, "requests at the upstream")
	}
}

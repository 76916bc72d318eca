package gateway

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"savoryweir/internal/coordination/retry"
	"savoryweir/internal/state/fleet"
)

// closedUpstream returns an upstream that refuses connections. Its port stays bound, so that nothing else can
// listen there meanwhile.
func closedUpstream(t *testing.T, id string) *testUpstream {
	t.Helper()
	socket, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = syscall.Close(socket) })
	assert.NilError(t, syscall.Bind(socket, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}))
	bound, err := syscall.Getsockname(socket)
	assert.NilError(t, err)
	address := &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: bound.(*syscall.SockaddrInet4).Port}
	return &testUpstream{id: fleet.UpstreamID(id), listener: closedListener{address: address}, respond: respondWith(http.StatusOK, "never")}
}

// closedListener is the address of an upstream that doesn't listen.
type closedListener struct {
	net.Listener
	address net.Addr
}

// Addr implements net.Listener.
func (l closedListener) Addr() net.Addr { return l.address }

// connectPeers lets a gateway forward requests to others, in this order.
func connectPeers(t *testing.T, from *harness, to ...*harness) {
	t.Helper()
	var peers []Peer
	for n, h := range to {
		server := httptest.NewServer(h.gateway.ForwardedHandler())
		t.Cleanup(server.Close)
		peers = append(peers, Peer{Instance: fmt.Sprint("peer", n), Address: server.Listener.Addr().String()})
	}
	from.gateway.Peers = func() []Peer { return peers }
}

// The response of an upstream that only another instance reaches arrives unchanged, for each kind of route.
func TestRequestWithoutReachableUpstreamIsServedByPeer(t *testing.T) {
	for _, path := range []string{"/read/1", "/order/1", "/stream/1", "/batch/1"} {
		respond := respondWith(http.StatusOK, "answer")
		if strings.HasPrefix(path, "/stream") || strings.HasPrefix(path, "/batch") {
			respond = respondWithEvents(1, 3, true)
		}
		sound := startUpstream(t, "sound", respond)
		peer, h := newHarness(t, sound), newHarness(t, closedUpstream(t, "gone"))
		connectPeers(t, h, peer)
		got := h.do(t, http.MethodPost, path, "body", "Model", testModel, "Token-Count", "100,10")
		assert.NilError(t, got.err)
		assert.Equal(t, got.status, http.StatusOK, path)
		assert.Equal(t, got.header.Get("Response-Seal"), "seal-r-1")
		for name := range got.header {
			assert.Assert(t, !strings.HasPrefix(name, "Savoryweir-"), "%s reached the caller", name)
		}
		r := sound.firstRequest()
		assert.Equal(t, sound.requestCount(), 1)
		assert.Equal(t, r.Header.Get("Expect-Instance"), "sound")
		for name := range r.Header {
			assert.Assert(t, !strings.HasPrefix(name, "Savoryweir-"), "%s reached the upstream", name)
		}
		left, err := strconv.Atoi(r.Header.Get("Deadline-Ms"))
		assert.Assert(t, err == nil && left <= 2000 && left > 1000, "deadline %d ms", left)
	}
}

// Two instances that both reach nothing would pass a request to and fro.
func TestForwardedRequestIsNotForwardedAgain(t *testing.T) {
	peer, h := newHarness(t, closedUpstream(t, "gone")), newHarness(t, closedUpstream(t, "gone"))
	connectPeers(t, h, peer)
	var asked atomic.Int64
	peer.gateway.Peers = func() []Peer { asked.Add(1); return nil }
	began := time.Now()
	got := h.do(t, http.MethodGet, "/read/1", "")
	assert.Equal(t, got.status, http.StatusServiceUnavailable)
	assert.Assert(t, got.header.Get("Retry-After") != "" && time.Since(began) < time.Second)
	assert.Equal(t, asked.Load(), int64(0))
}

// One that can't serve the request says so, and the next one is asked; requests that run once included.
func TestRequestGoesToNextPeerIfOneRefusesOrIsGone(t *testing.T) {
	sound := startUpstream(t, "sound", respondWith(http.StatusOK, "answer"))
	cut, leaving, peer, h := newHarness(t, closedUpstream(t, "gone")), newHarness(t, sound), newHarness(t, sound), newHarness(t, closedUpstream(t, "gone"))
	leaving.gateway.RefuseNewRequests()
	connectPeers(t, h, cut, leaving, peer)
	got := h.do(t, http.MethodPost, "/order/1", "body")
	assert.Equal(t, got.status, http.StatusOK, got.body)
	assert.Equal(t, sound.requestCount(), 1)
}

// The headers of forwarded requests mean nothing on a caller's own connection.
func TestForwardHeadersOfCallersAreRemoved(t *testing.T) {
	sound := startUpstream(t, "sound", respondWith(http.StatusOK, "answer"))
	h := newHarness(t, sound)
	got := h.do(t, http.MethodGet, "/read/1", "", "Savoryweir-Forwarded", "2900000,9")
	assert.Equal(t, got.status, http.StatusOK)
	assert.Equal(t, sound.firstRequest().Header.Get("Savoryweir-Forwarded"), "")
}

// A request that may have run at the other instance must neither be sent again nor be said not to have run.
func TestUnsafeRequestIsNotSentAgainAfterPeerIsLost(t *testing.T) {
	arrived := make(chan net.Conn, 1)
	slow := startUpstream(t, "slow", func(_ *testUpstream, _ *http.Request, _ []byte, conn net.Conn) bool {
		arrived <- conn
		time.Sleep(200 * time.Millisecond)
		return false
	})
	sound := startUpstream(t, "sound", respondWith(http.StatusOK, "answer"))
	lost, peer, h := newHarness(t, slow), newHarness(t, sound), newHarness(t, closedUpstream(t, "gone"))
	connectPeers(t, h, lost, peer)
	got := h.do(t, http.MethodPost, "/order/1", "body")
	<-arrived
	assert.Equal(t, got.status, http.StatusBadGateway, got.body)
	assert.Equal(t, sound.requestCount(), 0)
}

// startLostPeer starts an instance that reads each forwarded request and closes its connection.
func startLostPeer(t *testing.T, received *atomic.Int64) Peer {
	t.Helper()
	lost := startUpstream(t, "lost", func(*testUpstream, *http.Request, []byte, net.Conn) bool {
		received.Add(1)
		return false
	})
	return Peer{Instance: "lost", Address: lost.listener.Addr().String()}
}

// Each instance that is lost may have sent the request to an upstream, so that the route's limit of attempts counts it.
func TestForwardsWithoutResponseCountAsAttempts(t *testing.T) {
	var received atomic.Int64
	sound := startUpstream(t, "sound", respondWith(http.StatusOK, "answer"))
	peer, h := newHarness(t, sound), newHarness(t, closedUpstream(t, "gone"))
	connectPeers(t, h, peer)
	peers := append([]Peer{startLostPeer(t, &received), startLostPeer(t, &received)}, h.gateway.Peers()...)
	h.gateway.Peers = func() []Peer { return peers }
	got := h.do(t, http.MethodGet, "/read/1", "")
	assert.Equal(t, got.status, http.StatusBadGateway, got.body)
	assert.Equal(t, received.Load(), int64(2), "the route allows two attempts")
	assert.Equal(t, sound.requestCount(), 0)
}

// A request that is forwarded again after its instance was lost is a retry.
func TestForwardAfterLostPeerIsTakenFromRetryBudget(t *testing.T) {
	var received atomic.Int64
	sound := startUpstream(t, "sound", respondWith(http.StatusOK, "answer"))
	peer, h := newHarness(t, sound), newHarness(t, closedUpstream(t, "gone"))
	h.retryLimits.Store(&retry.WindowSettings{Window: 10 * time.Second})
	connectPeers(t, h, peer)
	peers := append([]Peer{startLostPeer(t, &received)}, h.gateway.Peers()...)
	h.gateway.Peers = func() []Peer { return peers }
	got := h.do(t, http.MethodGet, "/read/1", "")
	assert.Equal(t, got.status, http.StatusBadGateway, got.body)
	assert.Equal(t, sound.requestCount(), 0)
}

// The other instance is lost in the middle of a stream.
func TestStreamGoesOnAtNextPeerAfterLastEvent(t *testing.T) {
	var lostServer *httptest.Server
	first := startUpstream(t, "first", func(_ *testUpstream, r *http.Request, _ []byte, conn net.Conn) bool {
		writeResponseHead(conn, r, http.StatusOK, "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n")
		for i := 1; i <= 2; i++ {
			event := fmt.Sprintf("id: %d\ndata: piece %d\n\n", i, i)
			fmt.Fprintf(conn, "%x\r\n%s\r\n", len(event), event)
		}
		time.Sleep(100 * time.Millisecond)
		lostServer.CloseClientConnections()
		return false
	})
	second := startUpstream(t, "second", respondWithEvents(3, 4, true))
	lost, peer, h := newHarness(t, first), newHarness(t, second), newHarness(t, closedUpstream(t, "gone"))
	connectPeers(t, h, lost, peer)
	lostServer = httptest.NewServer(lost.gateway.ForwardedHandler())
	t.Cleanup(lostServer.Close)
	peers := h.gateway.Peers()
	peers[0].Address = lostServer.Listener.Addr().String()
	peer.gateway.Streams = lost.gateway.Streams // as the first instance announces it
	got := h.do(t, http.MethodPost, "/stream/1", "body", "Model", testModel, "Token-Count", "100,10")
	assert.NilError(t, got.err)
	want := ""
	for i := 1; i <= 4; i++ {
		want += fmt.Sprintf("id: %d\ndata: piece %d\n\n", i, i)
	}
	assert.Equal(t, got.body, want)
	assert.Equal(t, second.firstRequest().Header.Get("Last-Event-Id"), "2")
}

// The upstream must stop its work when the caller of another instance leaves.
func TestCallerThatLeavesEndsForwardedRequest(t *testing.T) {
	arrived, ended := make(chan struct{}), make(chan struct{})
	slow := startUpstream(t, "slow", func(_ *testUpstream, _ *http.Request, _ []byte, conn net.Conn) bool {
		close(arrived)
		_, _ = io.Copy(io.Discard, conn)
		close(ended)
		return false
	})
	peer, h := newHarness(t, slow), newHarness(t, closedUpstream(t, "gone"))
	connectPeers(t, h, peer)
	ctx, cancel := context.WithCancel(t.Context())
	r := h.newRequest(t, http.MethodGet, "/read/1", "").WithContext(ctx)
	go h.send(t, r)
	<-arrived
	cancel()
	select {
	case <-ended:
	case <-time.After(time.Second):
		t.Fatal("the upstream still works a second after the caller has left")
	}
}

// An engine that has crashed is still listed for seconds. Each request dialed it up to eight times.
func TestRequestsDoNotDialUpstreamThatRefusesConnections(t *testing.T) {
	gone := closedUpstream(t, "gone")
	h := newHarness(t, gone)
	var dials atomic.Int64
	dial := h.gateway.Pool.Dial
	h.gateway.Pool.Dial = func(ctx context.Context, address string) (net.Conn, error) {
		dials.Add(1)
		return dial(ctx, address)
	}
	for range 20 {
		got := h.do(t, http.MethodGet, "/read/1", "")
		assert.Equal(t, got.status, http.StatusServiceUnavailable)
	}
	assert.Assert(t, dials.Load() <= 2, "%d dials", dials.Load())
}

// The path of this instance is lost while it serves prompts with a part that all share. That is no crash by the part.
func TestLostPathIsNotBlamedOnPartOfPrompt(t *testing.T) {
	var isCut atomic.Bool
	conns := make(chan net.Conn, 64)
	var engines []*testUpstream
	for i := range 6 {
		engines = append(engines, startUpstream(t, fmt.Sprint("u", i), func(_ *testUpstream, r *http.Request, _ []byte, conn net.Conn) bool {
			writeResponseHead(conn, r, http.StatusOK, "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n")
			conns <- conn
			_, _ = io.Copy(io.Discard, conn)
			return false
		}))
	}
	h := newCrashHarness(t, engines...)
	dial := h.gateway.Pool.Dial
	h.gateway.Pool.Dial = func(ctx context.Context, address string) (net.Conn, error) {
		if isCut.Load() {
			return nil, &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}
		}
		return dial(ctx, address)
	}
	for i := range engines {
		go doPrompt(h, t, i, "a1", "b1")
	}
	var broken []net.Conn
	for range engines {
		broken = append(broken, <-conns)
	}
	isCut.Store(true)
	for _, conn := range broken {
		_ = conn.(*net.TCPConn).SetLinger(0)
		_ = conn.Close()
	}
	time.Sleep(time.Second)
	assert.Equal(t, len(h.gateway.Quarantined()), 0, "%v", h.gateway.Quarantined())
}

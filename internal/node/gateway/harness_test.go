package gateway

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	pb "savoryweir/api/savoryweir/v1"
	"savoryweir/internal/coordination/quarantine"
	"savoryweir/internal/coordination/retry"
	"savoryweir/internal/node/permits"
	"savoryweir/internal/node/registry"
	"savoryweir/internal/node/telemetry"
	"savoryweir/internal/state/fleet"
	"savoryweir/internal/state/loads"
	"savoryweir/internal/state/streams"
	"savoryweir/internal/transport/hangup"
	"savoryweir/internal/transport/upstreamconn"
	"savoryweir/platform"
)

// responder responds to one request on a connection to a test upstream. It returns false
// to close the connection.
type responder func(u *testUpstream, r *http.Request, body []byte, conn net.Conn) bool

// testUpstream is an upstream that records the requests of callers and responds by a responder. It
// answers each request for its report.
type testUpstream struct {
	id       fleet.UpstreamID
	listener net.Listener
	respond  responder
	software string // version of its software

	mu       sync.Mutex
	requests []*http.Request
	bodies   []string
}

// startUpstream starts a test upstream on a free port. It stops accepting connections at
// the end of the test.
func startUpstream(t *testing.T, id string, respond responder) *testUpstream {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	u := newTestUpstream(id, listener, respond)
	t.Cleanup(func() { _ = listener.Close() })
	go u.acceptConnections(listener)
	return u
}

func newTestUpstream(id string, listener net.Listener, respond responder) *testUpstream {
	return &testUpstream{id: fleet.UpstreamID(id), listener: listener, respond: respond}
}

// record records a request of a caller.
func (u *testUpstream) record(r *http.Request, body string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.requests = append(u.requests, r)
	u.bodies = append(u.bodies, body)
}

// acceptConnections serves the connections to a listener until it is closed.
func (u *testUpstream) acceptConnections(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go u.serve(conn)
	}
}

func (u *testUpstream) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		if request.URL.Path == platform.ReportPath {
			if !respondWith(http.StatusOK, "{}")(u, request, body, conn) {
				return
			}
			continue
		}
		u.record(request, string(body))
		if !u.respond(u, request, body, conn) {
			return
		}
	}
}

func (u *testUpstream) requestCount() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return len(u.requests)
}

func (u *testUpstream) firstRequest() *http.Request {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.requests[0]
}

func (u *testUpstream) lastRequest() *http.Request {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.requests[len(u.requests)-1]
}

// writeResponseHead writes the status line and headers of a signed response.
func writeResponseHead(conn net.Conn, r *http.Request, status int, extraHeaders string) {
	fmt.Fprintf(conn, "HTTP/1.1 %d X\r\nRequest-Id: %s\r\nResponse-Seal: seal-%s\r\n%s\r\n", status, r.Header.Get("Request-Id"), r.Header.Get("Request-Id"), extraHeaders)
}

// respondWith returns a responder that sends a complete, signed response.
func respondWith(status int, body string) responder {
	return func(_ *testUpstream, r *http.Request, _ []byte, conn net.Conn) bool {
		writeResponseHead(conn, r, status, fmt.Sprintf("Content-Length: %d\r\n", len(body)))
		_, err := io.WriteString(conn, body)
		return err == nil
	}
}

// respondNotExecuted returns a responder that states that the request was not executed.
func respondNotExecuted(status int) responder {
	return func(_ *testUpstream, r *http.Request, _ []byte, conn net.Conn) bool {
		_, err := fmt.Fprint(conn, refusalText(status, r.Header.Get("Request-Id")))
		return err == nil
	}
}

// refusalText returns the response of an upstream that does not execute a request. Upstreams echo
// the request's ID in all responses.
func refusalText(status int, id string) string {
	return fmt.Sprintf("HTTP/1.1 %d X\r\nRequest-Id: %s\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n", status, id)
}

// resetConnection makes the close of the connection send a TCP reset instead of a FIN.
func resetConnection(_ *testUpstream, _ *http.Request, _ []byte, conn net.Conn) bool {
	_ = conn.(*net.TCPConn).SetLinger(0)
	return false
}

// respondWithEvents returns a responder that streams the events from first to last and then
// ends the stream, or resets the connection unless complete.
func respondWithEvents(first, last int, complete bool) responder {
	return func(_ *testUpstream, r *http.Request, _ []byte, conn net.Conn) bool {
		writeResponseHead(conn, r, http.StatusOK, "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n")
		for i := first; i <= last; i++ {
			event := fmt.Sprintf("id: %d\ndata: piece %d\n\n", i, i)
			fmt.Fprintf(conn, "%x\r\n%s\r\n", len(event), event)
		}
		if !complete {
			_ = conn.(*net.TCPConn).SetLinger(0)
			return false
		}
		_, err := io.WriteString(conn, "0\r\n\r\n")
		return err == nil
	}
}

// harness is a gateway behind an HTTP server, with the registry that it reads.
type harness struct {
	gateway      *Gateway
	registry     *registry.Registry
	server       *httptest.Server
	loadRequests chan string
	notices      chan string  // what the gateway tells the other instances of upstreams
	bootTime     atomic.Int64 // nanoseconds
	bodyMemory   atomic.Int64 // bytes that bodies may take up; 0 for no limit
	retryLimits  atomic.Pointer[retry.WindowSettings]
}

const testModel = "m1"

// testRoutes returns one route of each kind: unsafe, safe, resumable and not resumable.
func testRoutes() []fleet.Route {
	route := func(name string, kind fleet.RouteKind, resumable bool, attempts int) fleet.Route {
		return fleet.Route{
			Name: name, Host: "desk.example", Prefix: "/" + name + "/", Kind: kind, Resumable: resumable, MaxAttempts: attempts,
			Timeout: 3 * time.Second, TargetLatency: 300 * time.Millisecond, TargetEventGap: 300 * time.Millisecond,
			Splits: []fleet.Split{{Service: "s", Weight: 1}},
		}
	}
	return []fleet.Route{
		route("order", fleet.KindUnsafe, false, 3), route("read", fleet.KindSafe, false, 2),
		route("stream", fleet.KindStream, true, 2), route("batch", fleet.KindStream, false, 2),
	}
}

// newHarness starts a gateway whose registry lists the given upstreams, each with the test
// model and the adapter a1 loaded.
func newHarness(t *testing.T, upstreams ...*testUpstream) *harness {
	t.Helper()
	h := &harness{registry: registry.New(zerolog.Nop(), time.Now), loadRequests: make(chan string, 64), notices: make(chan string, 64)}
	h.retryLimits.Store(&retry.WindowSettings{Ratio: 0.2, Slack: 50, Window: 10 * time.Second})
	h.gateway = New(Options{
		Zone: "z", Log: zerolog.Nop(), Metrics: telemetry.New(func() uint64 { return 0 }), Registry: h.registry,
		Tracker: NewUpstreamTracker(time.Now, rand.New(rand.NewPCG(1, 2))), Pool: upstreamconn.NewPool(func() {}),
		RetrySettings:    func() retry.WindowSettings { return *h.retryLimits.Load() },
		InstanceCount:    func() int { return 1 },
		RequestLoad:      func(_, model, adapter string) { h.loadRequests <- model + "/" + adapter },
		RecordDemand:     func(string, string, string, int) {},
		BroadcastBroken:  func(quarantine.BrokenRequest) {},
		BroadcastRelease: func(quarantine.Trait) {},
		Permits:          permits.New(permits.Options{Instance: "i1", Log: zerolog.Nop(), Others: func() []string { return nil }, Broadcast: func(*pb.FleetMessage) {}}),
		MaxBodyMemory:    func() int64 { return h.bodyMemory.Load() },
		PeerPool:         upstreamconn.NewPool(func() {}),
		Peers:            func() []Peer { return nil },
		ReportSilentPeer: func(string) {},
		Streams:          newKnownStreams(h.registry),
		BootTime:         func() time.Duration { return time.Duration(h.bootTime.Load()) },
		BroadcastLeaving: func(u *fleet.Upstream) {
			h.notices <- "leaving " + string(u.ID)
		},
		BroadcastPause: func(u *fleet.Upstream, d time.Duration) {
			h.notices <- fmt.Sprintf("pause %s %v", u.ID, d)
		},
	})
	class := &fleet.EngineClass{Models: []fleet.Model{{Name: testModel, LoadTime: 10 * time.Second, Adapters: 3}}}
	h.gateway.ApplyConfig(&fleet.Config{
		Version: 1, Routes: testRoutes(), Services: map[string]*fleet.Service{"s": {Name: "s", Engines: class}},
		Limits: fleet.Limits{MaxBodyBytes: 1 << 20, MaxHeaderBytes: 16 << 10},
	})
	var list []fleet.Upstream
	for _, u := range upstreams {
		list = append(list, fleet.Upstream{
			ID: u.id, Service: "s", Zone: "z", Address: u.listener.Addr().String(), SoftwareVersion: u.software,
			Models: []fleet.ResidentModel{{Model: testModel, Adapters: []string{"a1"}}},
		})
	}
	h.registry.Replace(list, time.Time{})
	h.server = httptest.NewUnstartedServer(h.gateway)
	h.server.Config.ConnContext = hangup.NewContext
	h.server.Start()
	t.Cleanup(h.server.Close)
	return h
}

// result is what a caller received.
type result struct {
	status int
	header http.Header
	body   string
	err    error // of sending the request or reading the body
}

// newRequest returns a request with an ID and a deadline of 2 s. headers lists names and
// values in turn.
func (h *harness) newRequest(t *testing.T, method, path, body string, headers ...string) *http.Request {
	t.Helper()
	r, err := http.NewRequestWithContext(t.Context(), method, h.server.URL+path, strings.NewReader(body))
	assert.NilError(t, err)
	r.Host = "desk.example"
	r.Header.Set("Request-Id", "r-1")
	r.Header.Set("Deadline-Ms", "2000")
	for i := 0; i+1 < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	return r
}

func (h *harness) send(t *testing.T, r *http.Request) result {
	t.Helper()
	response, err := h.server.Client().Do(r)
	if err != nil {
		return result{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return result{status: response.StatusCode, header: response.Header, body: string(body), err: err}
}

func (h *harness) do(t *testing.T, method, path, body string, headers ...string) result {
	t.Helper()
	return h.send(t, h.newRequest(t, method, path, body, headers...))
}

// inFlight returns the load that the gateway has in flight at each upstream.
func (h *harness) inFlight() map[fleet.UpstreamID]loads.Load {
	own, _ := h.gateway.Tracker.LocalStats()
	return own
}

// eventually waits up to 5 s for a condition that other goroutines bring about.
func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	for !condition() {
		select {
		case <-ctx.Done():
			t.Fatalf("timed out waiting for %s", what)
		case <-time.After(2 * time.Millisecond):
		}
	}
}

// knownStreams is the origins of the streams of one gateway, without other instances.
type knownStreams struct {
	mu       sync.Mutex
	tracker  *streams.Tracker
	registry *registry.Registry

	newVersions []streams.Origin
}

func newKnownStreams(r *registry.Registry) *knownStreams {
	k := &knownStreams{tracker: streams.NewTracker(time.Now()), registry: r}
	k.tracker.LearnPast(time.Now(), nil)
	return k
}

// Record implements StreamOrigins.
func (k *knownStreams) Record(request string, origin streams.Origin) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.tracker.Begin(time.Now(), streams.IDOf(request), origin)
}

// Find implements StreamOrigins.
func (k *knownStreams) Find(_ context.Context, request, service string) (origin streams.Origin, isKnown bool, retryAfter time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.tracker.ObserveServing(time.Now(), k.registry.View().SoftwareVersions())
	if origin, ok := k.tracker.Lookup(streams.IDOf(request)); ok {
		return origin, true, 0
	}
	origin, isKnown = k.tracker.OnlyOrigin(time.Now(), service)
	return origin, isKnown, 0
}

// NewVersions implements StreamOrigins.
func (k *knownStreams) NewVersions() []streams.Origin {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.newVersions
}

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
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"savoryweir/internal/coordination/retry"
	"savoryweir/internal/node/registry"
	"savoryweir/internal/node/telemetry"
	"savoryweir/internal/state/fleet"
	"savoryweir/internal/state/loads"
	"savoryweir/internal/transport/upstreamconn"
)

// script answers one request on a connection to a test upstream. It returns false
// to close the connection.
type script func(u *testUpstream, r *http.Request, body []byte, conn net.Conn) bool

// testUpstream is a scripted upstream.
type testUpstream struct {
	id       fleet.UpstreamID
	listener net.Listener
	answer   script

	mu       sync.Mutex
	requests []*http.Request
	bodies   []string
}

func startUpstream(t *testing.T, id string, answer script) *testUpstream {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	u := &testUpstream{id: fleet.UpstreamID(id), listener: listener, answer: answer}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go u.serve(conn)
		}
	}()
	return u
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
		u.mu.Lock()
		u.requests = append(u.requests, request)
		u.bodies = append(u.bodies, string(body))
		u.mu.Unlock()
		if !u.answer(u, request, body, conn) {
			return
		}
	}
}

func (u *testUpstream) count() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return len(u.requests)
}

func (u *testUpstream) first() *http.Request {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.requests[0]
}

func (u *testUpstream) last() *http.Request {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.requests[len(u.requests)-1]
}

// head writes the head of a sound answer.
func head(conn net.Conn, r *http.Request, status int, extra string) {
	fmt.Fprintf(conn, "HTTP/1.1 %d X\r\nRequest-Id: %s\r\nResponse-Seal: seal-%s\r\n%s\r\n", status, r.Header.Get("Request-Id"), r.Header.Get("Request-Id"), extra)
}

func answerWith(status int, body string) script {
	return func(_ *testUpstream, r *http.Request, _ []byte, conn net.Conn) bool {
		head(conn, r, status, fmt.Sprintf("Content-Length: %d\r\n", len(body)))
		_, err := io.WriteString(conn, body)
		return err == nil
	}
}

func refuseRequest(status int) script {
	return func(_ *testUpstream, _ *http.Request, _ []byte, conn net.Conn) bool {
		_, err := fmt.Fprintf(conn, "HTTP/1.1 %d X\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n", status)
		return err == nil
	}
}

func reset(_ *testUpstream, _ *http.Request, _ []byte, conn net.Conn) bool {
	_ = conn.(*net.TCPConn).SetLinger(0)
	return false
}

// events writes a stream of the events from first to last and ends it if whole.
func events(first, last int, whole bool) script {
	return func(_ *testUpstream, r *http.Request, _ []byte, conn net.Conn) bool {
		head(conn, r, http.StatusOK, "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n")
		for i := first; i <= last; i++ {
			event := fmt.Sprintf("id: %d\ndata: piece %d\n\n", i, i)
			fmt.Fprintf(conn, "%x\r\n%s\r\n", len(event), event)
		}
		if !whole {
			_ = conn.(*net.TCPConn).SetLinger(0)
			return false
		}
		_, err := io.WriteString(conn, "0\r\n\r\n")
		return err == nil
	}
}

// harness is a gateway with its callers' server.
type harness struct {
	gateway  *Gateway
	registry *registry.Registry
	server   *httptest.Server
	asked    chan string
}

const testModel = "m1"

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

func newHarness(t *testing.T, upstreams ...*testUpstream) *harness {
	t.Helper()
	h := &harness{registry: registry.New(zerolog.Nop(), time.Now), asked: make(chan string, 64)}
	h.gateway = New(Options{
		Zone: "z", Log: zerolog.Nop(), Metrics: telemetry.New(func() uint64 { return 0 }), Registry: h.registry,
		Tracker: NewUpstreamTracker(time.Now, rand.New(rand.NewPCG(1, 2))), Pool: upstreamconn.NewPool(func() {}),
		RetrySettings: func() retry.WindowSettings {
			return retry.WindowSettings{Ratio: 0.2, Slack: 50, Window: 10 * time.Second}
		},
		InstanceCount:  func() int { return 1 },
		RequestLoad:    func(_, model, adapter string) { h.asked <- model + "/" + adapter },
		RecordDemand:   func(string, string, string, int) {},
		BroadcastCrash: func(uint64, fleet.UpstreamID) {},
	})
	class := &fleet.EngineClass{Models: []fleet.Model{{Name: testModel, LoadTime: 10 * time.Second, Adapters: 3}}}
	h.gateway.ApplyConfig(&fleet.Config{
		Version: 1, Routes: testRoutes(), Services: map[string]*fleet.Service{"s": {Name: "s", Engines: class}},
		Limits: fleet.Limits{MaxBodyBytes: 1 << 20, MaxHeaderBytes: 16 << 10},
	})
	var list []fleet.Upstream
	for _, u := range upstreams {
		list = append(list, fleet.Upstream{
			ID: u.id, Service: "s", Zone: "z", Address: u.listener.Addr().String(),
			Models: []fleet.ResidentModel{{Model: testModel, Adapters: []string{"a1"}}},
		})
	}
	h.registry.Replace(list, time.Time{})
	h.server = httptest.NewServer(h.gateway)
	t.Cleanup(h.server.Close)
	return h
}

type reply struct {
	status int
	header http.Header
	body   string
	err    error // of reading the body
}

func (h *harness) request(t *testing.T, method, path, body string, headers ...string) *http.Request {
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

func (h *harness) send(t *testing.T, r *http.Request) reply {
	t.Helper()
	response, err := h.server.Client().Do(r)
	if err != nil {
		return reply{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return reply{status: response.StatusCode, header: response.Header, body: string(body), err: err}
}

func (h *harness) do(t *testing.T, method, path, body string, headers ...string) reply {
	t.Helper()
	return h.send(t, h.request(t, method, path, body, headers...))
}

// eventually waits for a condition that other goroutines bring about.
// inFlight returns what the gateway has in flight at each upstream.
func (h *harness) inFlight() map[fleet.UpstreamID]loads.Load {
	own, _ := h.gateway.Tracker.LocalStats()
	return own
}

func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	for !condition() {
		select {
		case <-ctx.Done():
			t.Fatalf("%s did not happen", what)
		case <-time.After(2 * time.Millisecond):
		}
	}
}

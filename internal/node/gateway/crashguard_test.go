package gateway

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"savoryweir/internal/coordination/quarantine"
	"savoryweir/internal/state/fleet"
)

const crashingPart = "dead"

// engineRestartTime is how long a crashed test engine accepts no connections.
const engineRestartTime = 150 * time.Millisecond

// crashingEngines are test engines that crash when they begin to answer a request with a certain
// part in its prompt. A crash resets all connections of the engine and closes its port for a while.
type crashingEngines struct {
	t    *testing.T
	list []*testUpstream
	// begun is what an engine writes before it crashes: the beginning of an event, unless it is set.
	begun string

	mu      sync.Mutex // guards the fields below
	conns   map[*testUpstream]map[net.Conn]bool
	crashes int
}

func startCrashingEngines(t *testing.T, count int) *crashingEngines {
	e := &crashingEngines{t: t, conns: make(map[*testUpstream]map[net.Conn]bool)}
	for i := range count {
		e.list = append(e.list, startUpstream(t, fmt.Sprintf("u%d", i), e.respond))
	}
	return e
}

func (e *crashingEngines) respond(u *testUpstream, r *http.Request, body []byte, conn net.Conn) bool {
	e.mu.Lock()
	if e.conns[u] == nil {
		e.conns[u] = make(map[net.Conn]bool)
	}
	e.conns[u][conn] = true
	e.mu.Unlock()
	if !strings.Contains(r.Header.Get("Prompt-Prefix"), crashingPart+":") {
		time.Sleep(2 * time.Millisecond)
		return respondWithEvents(1, 3, true)(u, r, body, conn)
	}
	if e.begun == "" {
		writeResponseHead(conn, r, http.StatusOK, "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n")
		_, _ = io.WriteString(conn, "9\r\nid: 1\nda")
	}
	_, _ = io.WriteString(conn, e.begun)
	time.Sleep(time.Millisecond)
	e.crash(u)
	return false
}

func (e *crashingEngines) crash(u *testUpstream) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.crashes++
	address := u.listener.Addr().String()
	_ = u.listener.Close()
	time.AfterFunc(engineRestartTime, func() { e.restart(u, address) })
	for conn := range e.conns[u] {
		_ = conn.(*net.TCPConn).SetLinger(0)
		_ = conn.Close()
	}
	e.conns[u] = nil
}

func (e *crashingEngines) restart(u *testUpstream, address string) {
	listener, err := net.Listen("tcp4", address)
	if err != nil || e.t.Context().Err() != nil {
		return // another process has taken the port, or the test has ended
	}
	context.AfterFunc(e.t.Context(), func() { _ = listener.Close() })
	e.mu.Lock()
	u.listener = listener
	e.mu.Unlock()
	u.acceptConnections(listener)
}

func (e *crashingEngines) crashCount() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.crashes
}

// doPrompt sends a stream request of its own content with the given shared parts.
func doPrompt(h *harness, t *testing.T, number int, parts ...string) result {
	t.Helper()
	prefix := strings.Join(append(parts, fmt.Sprintf("%x", 0xf0000+number)), ":30,") + ":30"
	return h.do(t, "POST", fmt.Sprintf("/stream/%d", number), fmt.Sprint("prompt ", number), "Model", testModel, "Token-Count", "100,10", "Prompt-Prefix", prefix)
}

// newCrashHarness returns a harness whose gateway has run for a minute.
func newCrashHarness(t *testing.T, engines ...*testUpstream) *harness {
	t.Helper()
	h := newHarness(t, engines...)
	h.gateway.crashGuard.detector = quarantine.New(time.Now().Add(-time.Minute), rand.N[time.Duration])
	return h
}

func TestDifferentRequestsWithCrashingPartAreBlocked(t *testing.T) {
	engines := startCrashingEngines(t, 8)
	h := newCrashHarness(t, engines.list...)
	for i := range 40 {
		doPrompt(h, t, i, "a1", crashingPart)
		doPrompt(h, t, 100+i, "a1", "b2")
		time.Sleep(25 * time.Millisecond)
	}
	assert.Assert(t, engines.crashCount() <= 5, "%d crashes", engines.crashCount())
	time.Sleep(2 * engineRestartTime)
	for i := range 20 {
		assert.Equal(t, doPrompt(h, t, 200+i, "a1", "b2").status, http.StatusOK)
	}
}

func TestRepeatedCrashesOfFewEnginesBlockRequest(t *testing.T) {
	engines := startCrashingEngines(t, 2)
	h := newHarness(t, engines.list...)
	for range 5 {
		doPrompt(h, t, 1, crashingPart)
		time.Sleep(600 * time.Millisecond)
	}
	assert.Assert(t, engines.crashCount() <= 4, "%d crashes", engines.crashCount())
}

// Engines may crash within any line of the head. Such crashes did not count, so that the request reached engine after
// engine.
func TestRepeatedCrashesWithinHeadBlockRequest(t *testing.T) {
	for _, begun := range []string{"HTTP/1.1 2", "HTTP/1.1 200 OK\r\nRequest-Id: r-1\r\nRespon"} {
		engines := startCrashingEngines(t, 8)
		engines.begun = begun
		h := newHarness(t, engines.list...)
		for range 8 {
			doPrompt(h, t, 1, crashingPart)
		}
		assert.Assert(t, engines.crashCount() <= 4, "%q: %d crashes", begun, engines.crashCount())
	}
}

func TestRequestBlockedDuringItsAttemptIsNotRetried(t *testing.T) {
	isRunning, crash := make(chan struct{}, 2), make(chan struct{})
	slow := func(_ *testUpstream, _ *http.Request, _ []byte, conn net.Conn) bool {
		isRunning <- struct{}{}
		<-crash
		return resetConnection(nil, nil, nil, conn)
	}
	one, two := startUpstream(t, "u1", slow), startUpstream(t, "u2", slow)
	h := newHarness(t, one, two)
	done := make(chan result)
	go func() { done <- h.do(t, "POST", "/stream/1", "prompt", "Model", testModel, "Token-Count", "100,10") }()
	<-isRunning
	same := &call{gateway: h.gateway, request: h.newRequest(t, "POST", "/stream/1", ""), requestURI: "/stream/1", body: []byte("prompt")}
	same.findTraits()
	for i := range 3 {
		h.gateway.RecordBroken(quarantine.BrokenRequest{Upstream: fleet.UpstreamID(fmt.Sprint("other", i)), Content: same.traits.Content})
	}
	close(crash)
	assert.Equal(t, (<-done).status, http.StatusBadGateway)
	assert.Equal(t, one.requestCount()+two.requestCount(), 1)
}

// A crash may close the connection after a whole event. Without a length or chunks the response looks complete.
func TestResponseThatEndsWithItsConnectionReleasesNothing(t *testing.T) {
	engines := startCrashingEngines(t, 6)
	h := newCrashHarness(t, engines.list...)
	for i := range 3 {
		doPrompt(h, t, i, "a1", crashingPart)
		time.Sleep(2 * crashProbeDelay)
	}
	assert.Equal(t, doPrompt(h, t, 3, "a1", crashingPart).status, http.StatusServiceUnavailable)
	c := &call{gateway: h.gateway, traits: quarantine.Traits{Parts: []quarantine.Trait{0xa1, 0xdead}}}
	c.recordCompleted(&http.Response{StatusCode: http.StatusOK, ContentLength: -1})
	assert.Equal(t, doPrompt(h, t, 4, "a1", crashingPart).status, http.StatusServiceUnavailable)
	c.recordCompleted(&http.Response{StatusCode: http.StatusOK, ContentLength: 10})
	time.Sleep(2 * engineRestartTime)
	assert.Assert(t, doPrompt(h, t, 5, "a1", crashingPart).status != http.StatusServiceUnavailable)
}

// Connections may break at sound engines: answers that are lost, resets on the way.
func TestBrokenConnectionsOfSoundEnginesBlockNoPart(t *testing.T) {
	var engines []*testUpstream
	for i := range 6 {
		engines = append(engines, startUpstream(t, fmt.Sprint("u", i), resetConnection))
	}
	h := newCrashHarness(t, engines...)
	for i := range 8 {
		assert.Equal(t, doPrompt(h, t, i, "a1", "b2").status, http.StatusBadGateway)
		time.Sleep(2 * crashProbeDelay)
	}
}

package gateway

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus/testutil"
	"gotest.tools/v3/assert"

	"savoryweir/internal/state/fleet"
	"savoryweir/internal/state/loads"
	"savoryweir/internal/transport/sockbuf"
	"savoryweir/platform"
)

// resumeWith returns a responder that falls silent after the first event for a while, and
// responds to a resumed request by resumed.
func resumeWith(resumed responder) responder {
	silent := fallSilent(engineSilence)
	return func(u *testUpstream, r *http.Request, body []byte, conn net.Conn) bool {
		if r.Header.Get("Last-Event-Id") != "" {
			return resumed(u, r, body, conn)
		}
		return silent(u, r, body, conn)
	}
}

// spendAllRetries takes all retries that are left and returns their number.
func spendAllRetries(h *harness) int {
	spent := 0
	for h.gateway.spendRetry("s") {
		spent++
	}
	return spent
}

// A sound engine falls silent for a while, and the engine that shall continue its stream does
// not. The stream was cut, since the sound engine had been given up before.
func TestStreamOfSilentEngineIsKeptIfOtherEngineDoesNotContinueIt(t *testing.T) {
	for name, resumed := range map[string]responder{
		"full":                respondNotExecuted(http.StatusTooManyRequests),
		"asks for a pause":    respondNotExecuted(http.StatusServiceUnavailable),
		"model has moved":     respondNotExecuted(http.StatusMisdirectedRequest),
		"fails":               respondWith(http.StatusInternalServerError, "x"),
		"connection is reset": resetConnection,
	} {
		t.Run(name, func(t *testing.T) {
			engine := resumeWith(resumed)
			h := newHarness(t, startUpstream(t, "u1", engine), startUpstream(t, "u2", engine))
			got := doStream(h, t, "/stream/1", "Deadline-Ms", "3000")
			assert.NilError(t, got.err)
			assert.Equal(t, got.body, eventText(1, 3))
		})
	}
}

// The silent engine is the only one that holds the model. It gets the request on a new
// connection, and refuses it.
func TestStreamOfSilentEngineIsKeptIfThatEngineRefusesItAgain(t *testing.T) {
	one := startUpstream(t, "u1", resumeWith(respondNotExecuted(http.StatusTooManyRequests)))
	h := newHarness(t, one)
	got := doStream(h, t, "/stream/1", "Deadline-Ms", "3000")
	assert.Assert(t, one.requestCount() <= 2)
	assert.NilError(t, got.err)
	assert.Equal(t, got.body, eventText(1, 3))
}

// The connection to the only engine that holds the model has gone silent for good, while new
// connections to it work.
func TestStreamOnSilentConnectionContinuesOnNewConnection(t *testing.T) {
	h := newHarness(t, startUpstream(t, "u1", fallSilent(time.Hour)))
	start := time.Now()
	got := doStream(h, t, "/stream/1", "Deadline-Ms", "3000")
	assert.NilError(t, got.err)
	assert.Equal(t, got.body, eventText(1, 3))
	assert.Assert(t, time.Since(start) < callerMinPatience, "the caller would have left")
}

// The first event comes after 1.5 s, and the engines have become busy meanwhile. The attempt
// was ended first; then admission refused the retry, so that the caller got 502.
func TestStreamWithoutFirstEventIsKeptIfAdmissionRefusesRetry(t *testing.T) {
	engine := func(u *testUpstream, r *http.Request, body []byte, conn net.Conn) bool {
		time.Sleep(engineSilence)
		return respondWithEvents(1, 3, true)(u, r, body, conn)
	}
	one, two := startUpstream(t, "u1", engine), startUpstream(t, "u2", engine)
	h := newHarness(t, one, two)
	done := make(chan result, 1)
	go func() { done <- doStream(h, t, "/stream/1", "Deadline-Ms", "3000") }()
	eventually(t, "the request at an engine", func() bool { return one.requestCount()+two.requestCount() > 0 })
	var busy loads.Load
	busy.PendingPrefill[0] = time.Second
	h.gateway.Tracker.RecordPeerStats("i2", map[fleet.UpstreamID]loads.Load{"u1": busy, "u2": busy}, nil)
	got := <-done
	assert.NilError(t, got.err)
	assert.Equal(t, got.status, http.StatusOK)
}

// A safe request is sent to another upstream, which refuses it. The caller got 502 although the
// first upstream would have responded.
func TestSafeRequestAtSilentUpstreamIsAnsweredIfOtherRefuses(t *testing.T) {
	var isRepeat atomic.Bool
	respond := func(u *testUpstream, r *http.Request, body []byte, conn net.Conn) bool {
		if isRepeat.Swap(true) {
			return respondNotExecuted(http.StatusServiceUnavailable)(u, r, body, conn)
		}
		time.Sleep(engineSilence)
		return respondWith(http.StatusOK, "ok")(u, r, body, conn)
	}
	h := newHarness(t, startUpstream(t, "u1", respond), startUpstream(t, "u2", respond))
	got := h.do(t, "GET", "/read/1", "")
	assert.NilError(t, got.err)
	assert.Equal(t, got.status, http.StatusOK)
}

// Silent streams ask for a retry ten times a second and took each one that became free, so that
// a stream whose engine had broken off got none and was cut.
func TestSilentStreamsLeaveRetriesToBrokenOnes(t *testing.T) {
	engine := func(u *testUpstream, r *http.Request, body []byte, conn net.Conn) bool {
		switch {
		case r.Header.Get("Last-Event-Id") != "":
			return respondWithEvents(2, 3, true)(u, r, body, conn)
		case r.Header.Get("Request-Id") == "r-breaks":
			time.Sleep(700 * time.Millisecond)
			return respondWithEvents(1, 1, false)(u, r, body, conn)
		default:
			return fallSilent(2200*time.Millisecond)(u, r, body, conn)
		}
	}
	h := newHarness(t, startUpstream(t, "u1", engine), startUpstream(t, "u2", engine))
	allowRetries(h, 0)
	silent := make(chan result, 3)
	for range cap(silent) {
		go func() { silent <- doStream(h, t, "/stream/1", "Deadline-Ms", "3000") }()
	}
	time.Sleep(1400 * time.Millisecond)
	broken := make(chan result, 1)
	go func() { broken <- doStream(h, t, "/stream/1", "Request-Id", "r-breaks", "Deadline-Ms", "3000") }()
	time.Sleep(200 * time.Millisecond)
	allowRetries(h, 2)
	got := <-broken
	for range cap(silent) {
		assert.NilError(t, (<-silent).err)
	}
	assert.NilError(t, got.err)
	assert.Equal(t, got.body, eventText(1, 3))
}

// hangingListener is a listener whose queue is full, so that connection attempts hang.
type hangingListener struct{ address net.Addr }

func (hangingListener) Accept() (net.Conn, error) { return nil, net.ErrClosed }
func (hangingListener) Close() error              { return nil }
func (l hangingListener) Addr() net.Addr          { return l.address }

func startHangingUpstream(t *testing.T, id string) *testUpstream {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = syscall.Close(fd) })
	assert.NilError(t, syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}))
	assert.NilError(t, syscall.Listen(fd, 0))
	bound, err := syscall.Getsockname(fd)
	assert.NilError(t, err)
	address := &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: bound.(*syscall.SockaddrInet4).Port}
	for range 8 { // until the queue is full
		conn, err := net.DialTimeout("tcp4", address.String(), 50*time.Millisecond)
		if err != nil {
			break
		}
		t.Cleanup(func() { _ = conn.Close() })
	}
	return &testUpstream{id: fleet.UpstreamID(id), listener: hangingListener{address}}
}

// With a short target the attempt timeout passes while the connection is being opened. Each
// such attempt took a retry from the budget, though nothing was sent to an upstream.
func TestAttemptThatReachesNoUpstreamTakesNoRetry(t *testing.T) {
	h := newHarness(t, startHangingUpstream(t, "u1"), startHangingUpstream(t, "u2"))
	config := *h.gateway.Config()
	config.Routes = testRoutes()
	for i := range config.Routes {
		config.Routes[i].TargetLatency = 80 * time.Millisecond
	}
	h.gateway.ApplyConfig(&config)
	allowRetries(h, 20)
	got := h.do(t, "GET", "/read/1", "", "Deadline-Ms", "3000")
	assert.NilError(t, got.err)
	assert.Equal(t, spendAllRetries(h), 20)
}

// The request has been handed over. Events that were buffered by then restarted the timer, so
// that a second retry was taken for the same attempt.
func TestAttemptThatWasGivenUpTakesNoSecondRetry(t *testing.T) {
	h := newHarness(t, startUpstream(t, "u1", respondWithEvents(1, 3, true)), startUpstream(t, "u2", respondWithEvents(1, 3, true)))
	allowRetries(h, 5)
	c := &call{
		gateway: h.gateway, request: h.newRequest(t, "POST", "/stream/1", ""), requestURI: "/stream/1", route: &h.gateway.Config().Routes[2], service: "s",
		arrivedAt: time.Now(), deadline: time.Now().Add(3 * time.Second), triedUpstreams: make(map[fleet.UpstreamID]bool), unreachable: make(map[fleet.UpstreamID]bool),
	}
	c.params = platform.Request{ID: "r-1", Model: testModel}
	present := c.newAttempt(t.Context(), c.chooseNextEngine(true))
	c.markTried(present.tracked.upstream.ID)
	hedged := c.startHedge(t.Context(), present, hedgeRules{
		first: 50 * time.Millisecond, gap: 50 * time.Millisecond, cause: errStalled, choose: c.chooseNextEngine, accepts: func(*attempt) bool { return true },
	})
	<-present.ctx.Done()
	assert.Assert(t, !hedged.pause())
	hedged.resume()
	time.Sleep(400 * time.Millisecond)
	next := hedged.end(false)
	assert.Assert(t, next != nil && next.failure == failureNone)
	next.discard()
	assert.Equal(t, spendAllRetries(h), 4)
}

// An event arrives while the timer checks whether a retry is allowed. The check restarted the
// timer at its shorter interval, so that the stream was ended 0.1 s after the event.
func TestEventDuringCheckOfTimerRestartsWholeGap(t *testing.T) {
	engine := func(u *testUpstream, r *http.Request, body []byte, conn net.Conn) bool {
		if r.Header.Get("Last-Event-Id") != "" {
			return respondWithEvents(3, 3, true)(u, r, body, conn)
		}
		writeResponseHead(conn, r, 200, "Transfer-Encoding: chunked\r\n")
		for i, wait := range []time.Duration{0, 1300 * time.Millisecond, 600 * time.Millisecond} {
			time.Sleep(wait)
			event := eventText(i+1, i+1)
			fmt.Fprintf(conn, "%x\r\n%s\r\n", len(event), event)
		}
		_, _ = io.WriteString(conn, "0\r\n\r\n")
		return false
	}
	one, two := startUpstream(t, "u1", engine), startUpstream(t, "u2", engine)
	h := newHarness(t, one, two)
	allowRetries(h, 0)
	h.gateway.InstanceCount = func() int { // the timer asks for it in its check
		time.Sleep(200 * time.Millisecond)
		return 1
	}
	go func() {
		time.Sleep(1350 * time.Millisecond)
		allowRetries(h, 5)
	}()
	got := doStream(h, t, "/stream/1", "Deadline-Ms", "3000")
	assert.NilError(t, got.err)
	assert.Equal(t, got.body, eventText(1, 3))
	assert.Equal(t, one.requestCount()+two.requestCount(), 1)
}

// The silent engine sends an event while another engine has the request, too. The timer restarted
// at the interval of its checks when that one was dropped.
func TestEventDuringOverlapRestartsWholeGap(t *testing.T) {
	engine := func(_ *testUpstream, r *http.Request, _ []byte, conn net.Conn) bool {
		if r.Header.Get("Last-Event-Id") != "" {
			_, _ = conn.Read(make([]byte, 1)) // until the gateway closes the connection
			return false
		}
		writeResponseHead(conn, r, 200, "Transfer-Encoding: chunked\r\n")
		for i, wait := range []time.Duration{0, 1300 * time.Millisecond, 600 * time.Millisecond} {
			time.Sleep(wait)
			fmt.Fprintf(conn, "%x\r\n%s\r\n", len(eventText(i+1, i+1)), eventText(i+1, i+1))
		}
		_, _ = io.WriteString(conn, "0\r\n\r\n")
		return false
	}
	one, two, three := startUpstream(t, "u1", engine), startUpstream(t, "u2", engine), startUpstream(t, "u3", engine)
	h := newHarness(t, one, two, three)
	config := *h.gateway.Config()
	config.Routes = testRoutes()
	for i := range config.Routes {
		config.Routes[i].MaxAttempts = 3
	}
	h.gateway.ApplyConfig(&config)
	got := doStream(h, t, "/stream/1", "Deadline-Ms", "3000")
	assert.NilError(t, got.err)
	assert.Equal(t, got.body, eventText(1, 3))
	assert.Equal(t, one.requestCount()+two.requestCount()+three.requestCount(), 2)
}

// A retry becomes free 0.1 s before the deadline, when another engine can't even read the
// prompt in time. The stream was given up for it.
func TestStreamIsNotHandedOverJustBeforeItsDeadline(t *testing.T) {
	engine := func(u *testUpstream, r *http.Request, body []byte, conn net.Conn) bool {
		if r.Header.Get("Last-Event-Id") != "" {
			time.Sleep(200 * time.Millisecond)
			return respondWithEvents(2, 3, true)(u, r, body, conn)
		}
		return fallSilent(1950*time.Millisecond)(u, r, body, conn)
	}
	h := newHarness(t, startUpstream(t, "u1", engine), startUpstream(t, "u2", engine))
	allowRetries(h, 0)
	go func() {
		time.Sleep(1800 * time.Millisecond)
		allowRetries(h, 5)
	}()
	got := doStream(h, t, "/stream/1", "Deadline-Ms", "2000")
	assert.NilError(t, got.err)
	assert.Equal(t, got.body, eventText(1, 3))
}

// A caller reads nothing for a while, so that the gateway can't read from the engine either.
// The engine counted as silent, and its stream was sent to another one.
func TestSlowCallerIsNoSilenceOfEngine(t *testing.T) {
	padding := strings.Repeat("x", 16<<10)
	engine := func(_ *testUpstream, r *http.Request, _ []byte, conn net.Conn) bool {
		last := 0
		_, _ = fmt.Sscan(r.Header.Get("Last-Event-Id"), &last)
		writeResponseHead(conn, r, 200, "Transfer-Encoding: chunked\r\n")
		for i := last + 1; i <= 400; i++ {
			event := fmt.Sprintf("id: %d\ndata: %s\n\n", i, padding)
			if _, err := fmt.Fprintf(conn, "%x\r\n%s\r\n", len(event), event); err != nil {
				return false
			}
		}
		_, err := io.WriteString(conn, "0\r\n\r\n")
		return err == nil
	}
	one, two := startUpstream(t, "u1", engine), startUpstream(t, "u2", engine)
	h := newHarness(t, one, two)
	dialer := net.Dialer{Control: sockbuf.LimitReceive} // so that the stream exceeds all buffers on its way
	conn, err := dialer.Dial("tcp4", h.server.Listener.Addr().String())
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	fmt.Fprintf(conn, "POST /stream/1 HTTP/1.1\r\nHost: desk.example\r\nRequest-Id: r-1\r\nModel: m1\r\nToken-Count: 100,10\r\nDeadline-Ms: 3000\r\nContent-Length: 2\r\n\r\nxx")
	time.Sleep(1600 * time.Millisecond)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	assert.NilError(t, err)
	_, err = io.Copy(io.Discard, response.Body)
	assert.NilError(t, err)
	assert.Equal(t, one.requestCount()+two.requestCount(), 1)
}

// The upstream's own signed answer was thrown away for a 502 when no retry was allowed.
func TestErrorResponseIsForwardedIfNoRetryIsAllowed(t *testing.T) {
	for _, path := range []string{"/read/1", "/stream/1"} {
		t.Run(path, func(t *testing.T) {
			fail := respondWith(http.StatusInternalServerError, "own words")
			h := newHarness(t, startUpstream(t, "u1", fail), startUpstream(t, "u2", fail))
			allowRetries(h, 0)
			got := h.do(t, "GET", path, "", "Model", testModel)
			assert.NilError(t, got.err)
			assert.Equal(t, fmt.Sprint(got.status, " ", got.body), "500 own words")
		})
	}
}

// A long response that its upstream breaks off ends the caller's connection, but was not counted.
func TestBrokenLongResponseIsCounted(t *testing.T) {
	h := newHarness(t, startUpstream(t, "u1", func(_ *testUpstream, r *http.Request, _ []byte, conn net.Conn) bool {
		writeResponseHead(conn, r, 200, fmt.Sprintf("Content-Length: %d\r\n", maxBufferedBodyBytes+100))
		_, _ = conn.Write(make([]byte, maxBufferedBodyBytes))
		return false
	}))
	assert.ErrorContains(t, h.do(t, "GET", "/read/1", "").err, "unexpected EOF")
	n, err := testutil.GatherAndCount(h.gateway.Metrics.Registry, "savoryweir_node_broken_exchanges_total")
	assert.NilError(t, err)
	assert.Equal(t, n, 1)
}

// holdUntilClosed returns a responder that sends one event and then nothing, and reports when the
// gateway closes the connection.
func holdUntilClosed(event int, closed chan<- time.Time) responder {
	return func(_ *testUpstream, r *http.Request, _ []byte, conn net.Conn) bool {
		writeResponseHead(conn, r, 200, "Transfer-Encoding: chunked\r\n")
		if event > 0 {
			fmt.Fprintf(conn, "%x\r\n%s\r\n", len(eventText(event, event)), eventText(event, event))
		}
		_, _ = conn.Read(make([]byte, 1))
		closed <- time.Now()
		return false
	}
}

// An engine must stop working on a request soon after another one has it, even if that one does
// not respond yet.
func TestSilentEngineIsLeftSoonAfterOtherEngineHasRequest(t *testing.T) {
	closed, received := make(chan time.Time, 2), make(chan time.Time, 2)
	engine := func(u *testUpstream, r *http.Request, body []byte, conn net.Conn) bool {
		if r.Header.Get("Last-Event-Id") == "" {
			return holdUntilClosed(1, closed)(u, r, body, conn)
		}
		received <- time.Now()
		time.Sleep(600 * time.Millisecond)
		return respondWithEvents(2, 3, true)(u, r, body, conn)
	}
	h := newHarness(t, startUpstream(t, "u1", engine), startUpstream(t, "u2", engine))
	got := doStream(h, t, "/stream/1", "Deadline-Ms", "3000")
	assert.NilError(t, got.err)
	assert.Equal(t, got.body, eventText(1, 3))
	overlap := (<-closed).Sub(<-received)
	assert.Assert(t, overlap < 400*time.Millisecond, "both engines had the request for %v", overlap)
}

// The caller leaves while two engines have its request.
func TestCallerDisconnectDuringHedgeCancelsBothEngines(t *testing.T) {
	closed := make(chan time.Time, 2)
	engine := func(u *testUpstream, r *http.Request, body []byte, conn net.Conn) bool {
		if r.Header.Get("Last-Event-Id") == "" {
			return holdUntilClosed(1, closed)(u, r, body, conn)
		}
		_, _ = conn.Read(make([]byte, 1)) // no response
		closed <- time.Now()
		return false
	}
	one, two := startUpstream(t, "u1", engine), startUpstream(t, "u2", engine)
	h := newHarness(t, one, two)
	ctx, disconnect := context.WithCancel(t.Context())
	response, err := h.server.Client().Do(h.newRequest(t, "POST", "/stream/1", "", "Model", testModel, "Token-Count", "10,5").WithContext(ctx))
	assert.NilError(t, err)
	defer func() { _ = response.Body.Close() }()
	eventually(t, "the request at both engines", func() bool { return one.requestCount()+two.requestCount() == 2 })
	left := time.Now()
	disconnect()
	for range 2 {
		assert.Assert(t, (<-closed).Sub(left) < 450*time.Millisecond)
	}
	eventually(t, "the end of the requests in flight", func() bool { return len(h.inFlight()) == 0 })
}

// A retry at a silent engine and the send to a further engine took one retry from the budget together.
func TestHedgeOfRetryTakesRetryOfItsOwn(t *testing.T) {
	var sends atomic.Int64
	engine := func(u *testUpstream, r *http.Request, body []byte, conn net.Conn) bool {
		if sends.Add(1) == 1 {
			return respondNotExecuted(http.StatusTooManyRequests)(u, r, body, conn)
		}
		time.Sleep(engineSilence)
		return respondWithEvents(1, 3, true)(u, r, body, conn)
	}
	h := newHarness(t, startUpstream(t, "u1", engine), startUpstream(t, "u2", engine), startUpstream(t, "u3", engine))
	config := *h.gateway.Config()
	config.Routes = testRoutes()
	for i := range config.Routes {
		config.Routes[i].MaxAttempts = 3
	}
	h.gateway.ApplyConfig(&config)
	const allowed = 10
	allowRetries(h, allowed)
	got := doStream(h, t, "/stream/1", "Deadline-Ms", "3000")
	assert.NilError(t, got.err)
	assert.Equal(t, sends.Load(), int64(3))
	assert.Equal(t, allowed-spendAllRetries(h), 2)
}

package gateway

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus/testutil"
	"gotest.tools/v3/assert"

	"savoryweir/internal/coordination/retry"
	"savoryweir/internal/state/fleet"
	"savoryweir/internal/state/loads"
)

// engineSilence is longer than the stall timeout of the test routes and shorter than callers
// tolerate.
const engineSilence = 1500 * time.Millisecond

// fallSilent returns a responder that sends the first event, nothing for a time, and then the
// rest of the stream. It streams the rest at once if the stream is resumed.
func fallSilent(silence time.Duration) responder {
	return func(u *testUpstream, r *http.Request, body []byte, conn net.Conn) bool {
		if r.Header.Get("Last-Event-Id") == "1" {
			return respondWithEvents(2, 3, true)(u, r, body, conn)
		}
		writeResponseHead(conn, r, 200, "Transfer-Encoding: chunked\r\n")
		for i := 1; i <= 3; i++ {
			event := eventText(i, i)
			fmt.Fprintf(conn, "%x\r\n%s\r\n", len(event), event)
			if i == 1 {
				time.Sleep(silence)
			}
		}
		_, err := io.WriteString(conn, "0\r\n\r\n")
		return err == nil
	}
}

// allowRetries sets the number of retries that the budget of each service allows.
func allowRetries(h *harness, n int) {
	const allowanceShare = 0.8 // of the slack, which instances may use together
	h.retryLimits.Store(&retry.WindowSettings{Slack: (float64(n) + 0.5) / allowanceShare, Window: 10 * time.Second})
}

// A sound engine falls silent for a while. Its stream must not be cut on the mere chance that
// another engine continues it.
func TestStreamOfSilentEngineIsKeptUnlessItCanContinueElsewhere(t *testing.T) {
	for name, prevent := range map[string]func(*harness){
		"no retry is allowed": func(h *harness) { allowRetries(h, 0) },
		"no engine accepts requests": func(h *harness) {
			h.registry.MarkLeaving("u1", time.Time{})
			h.registry.MarkLeaving("u2", time.Time{})
		},
		"all engines asked for a pause": func(h *harness) {
			h.gateway.pauses.record(&fleet.Upstream{ID: "u1"}, time.Minute)
			h.gateway.pauses.record(&fleet.Upstream{ID: "u2"}, time.Minute)
		},
	} {
		t.Run(name, func(t *testing.T) {
			engine := fallSilent(engineSilence)
			one, two := startUpstream(t, "u1", engine), startUpstream(t, "u2", engine)
			h := newHarness(t, one, two)
			done := make(chan result, 1)
			go func() { done <- doStream(h, t, "/stream/1", "Deadline-Ms", "3000") }()
			eventually(t, "the request at an engine", func() bool { return one.requestCount()+two.requestCount() > 0 })
			prevent(h)
			got := <-done
			assert.NilError(t, got.err)
			assert.Equal(t, got.body, eventText(1, 3))
			assert.Equal(t, one.requestCount()+two.requestCount(), 1)
		})
	}
}

// The engine that shall continue a stream can't be reached. Since nothing was sent to it, the
// retry remains for the next engine.
func TestFailedDialDoesNotSpendAnotherRetry(t *testing.T) {
	engine := fallSilent(engineSilence)
	one, two, unreachable := startUpstream(t, "u1", engine), startUpstream(t, "u2", engine), startUpstream(t, "u3", engine)
	assert.NilError(t, unreachable.listener.Close())
	h := newHarness(t, one, two, unreachable)
	allowRetries(h, 2)                                       // one of them for silent upstreams
	h.gateway.Tracker.RecordPeerPause("u3", engineSilence/2) // avoided at first
	done := make(chan result, 1)
	go func() { done <- doStream(h, t, "/stream/1", "Deadline-Ms", "3000") }()
	eventually(t, "the request at an engine", func() bool { return one.requestCount()+two.requestCount() > 0 })
	h.gateway.Tracker.RecordPeerPause("u1", time.Minute)
	h.gateway.Tracker.RecordPeerPause("u2", time.Minute)
	got := <-done
	assert.NilError(t, got.err)
	assert.Equal(t, got.body, eventText(1, 3))
	assert.Equal(t, one.requestCount()+two.requestCount(), 2)
}

// The entry of a crashed engine looks better than the silent engine itself. Since it can't be
// reached, the stream must go on at the engine that can, before its caller leaves.
func TestStreamOfSilentEngineGoesOnIfTheOtherIsUnreachable(t *testing.T) {
	start := time.Now()
	one, unreachable := startUpstream(t, "u1", fallSilent(engineSilence)), startUpstream(t, "u2", fallSilent(0))
	assert.NilError(t, unreachable.listener.Close())
	h := newHarness(t, one, unreachable)
	h.gateway.Tracker.RecordPeerPause("u2", engineSilence/2) // avoided at first
	done := make(chan result, 1)
	go func() { done <- doStream(h, t, "/stream/1", "Deadline-Ms", "3000") }()
	eventually(t, "the request at the engine", func() bool { return one.requestCount() > 0 })
	tracker := h.gateway.Tracker
	tracker.mu.Lock()
	tracker.inFlight.UpdateLocal("u1", func(l *loads.Load) { l.PendingPrefill[0] += time.Hour })
	tracker.mu.Unlock()
	got := <-done
	assert.NilError(t, got.err)
	assert.Equal(t, got.body, eventText(1, 3))
	assert.Assert(t, one.requestCount() <= 2)
	assert.Assert(t, time.Since(start) < callerMinPatience)
}

// The engine that shall continue a stream refuses it: it has unloaded the model or has no slot
// left. The first engine is sound and must get the stream back.
func TestStreamIsContinuedAfterRefusalOfTheNextEngine(t *testing.T) {
	for name, status := range map[string]int{"model unloaded": 421, "no slot": 503} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			engine := fallSilent(engineSilence)
			refuseResumed := func(u *testUpstream, r *http.Request, body []byte, conn net.Conn) bool {
				if r.Header.Get("Last-Event-Id") == "" {
					return engine(u, r, body, conn)
				}
				_, err := io.WriteString(conn, refusalText(status, r.Header.Get("Request-Id")))
				return err == nil
			}
			one, two := startUpstream(t, "u1", engine), startUpstream(t, "u2", refuseResumed)
			h := newHarness(t, one, two)
			h.gateway.Tracker.RecordPeerPause("u2", engineSilence/2) // avoided at first
			done := make(chan result, 1)
			go func() { done <- doStream(h, t, "/stream/1", "Deadline-Ms", "3000") }()
			eventually(t, "the request at the first engine", func() bool { return one.requestCount() > 0 })
			got := <-done
			assert.NilError(t, got.err)
			assert.Equal(t, got.body, eventText(1, 3))
		})
	}
}

// A safe request without a response is sent to another upstream, but the first one may still
// respond if no retry is allowed.
func TestSafeRequestAtSilentUpstreamIsAnsweredIfNoRetryIsAllowed(t *testing.T) {
	respondLate := func(_ *testUpstream, r *http.Request, _ []byte, conn net.Conn) bool {
		time.Sleep(engineSilence)
		writeResponseHead(conn, r, 200, "Content-Length: 2\r\n")
		_, err := io.WriteString(conn, "ok")
		return err == nil
	}
	h := newHarness(t, startUpstream(t, "u1", respondLate), startUpstream(t, "u2", respondLate))
	allowRetries(h, 0)
	got := h.do(t, "GET", "/read/1", "")
	assert.NilError(t, got.err)
	assert.Equal(t, got.status, http.StatusOK)
	assert.Equal(t, got.body, "ok")
}

// The timeout for one attempt must not end a response that is already being forwarded.
func TestLongResponseIsForwardedThroughSilenceOfUpstream(t *testing.T) {
	body := strings.Repeat("x", maxBufferedBodyBytes+100)
	for name, header := range map[string]string{"known length": fmt.Sprintf("Content-Length: %d\r\n", len(body)), "until the connection ends": "Connection: close\r\n"} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, startUpstream(t, "u1", func(_ *testUpstream, r *http.Request, _ []byte, conn net.Conn) bool {
				writeResponseHead(conn, r, 200, header)
				_, _ = io.WriteString(conn, body[:len(body)-10])
				time.Sleep(engineSilence)
				_, _ = io.WriteString(conn, body[len(body)-10:])
				return false
			}))
			got := h.do(t, "GET", "/read/1", "")
			assert.NilError(t, got.err)
			assert.Equal(t, len(got.body), len(body))
		})
	}
}

func TestBrokenExchangesAreCountedByCause(t *testing.T) {
	count := func(cause string) string {
		return fmt.Sprintf("# HELP savoryweir_node_broken_exchanges_total Exchanges with upstreams that ended without a complete response, by cause.\n"+
			"# TYPE savoryweir_node_broken_exchanges_total counter\nsavoryweir_node_broken_exchanges_total{cause=%q} 1\n", cause)
	}
	for name, c := range map[string]struct {
		engine responder
		cause  string
	}{
		"stream broken by the engine": {respondWithEvents(1, 1, false), "upstream"},
		"silent stream":               {fallSilent(engineSilence), "silence"},
	} {
		t.Run(name, func(t *testing.T) {
			resumable := func(u *testUpstream, r *http.Request, body []byte, conn net.Conn) bool {
				if r.Header.Get("Last-Event-Id") == "1" {
					return respondWithEvents(2, 3, true)(u, r, body, conn)
				}
				return c.engine(u, r, body, conn)
			}
			h := newHarness(t, startUpstream(t, "u1", resumable), startUpstream(t, "u2", resumable))
			got := doStream(h, t, "/stream/1", "Deadline-Ms", "3000")
			assert.NilError(t, got.err)
			assert.NilError(t, testutil.GatherAndCompare(h.gateway.Metrics.Registry, strings.NewReader(count(c.cause)), "savoryweir_node_broken_exchanges_total"))
		})
	}
}

package gateway

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"savoryweir/internal/node/registry"
)

// doStream sends a request with a prompt of 100 tokens for the test model.
func doStream(h *harness, t *testing.T, path string, headers ...string) result {
	t.Helper()
	return h.do(t, "POST", path, "prompt", append([]string{"Model", testModel, "Token-Count", "100,10", "Prompt-Prefix", "a1:60,b2:40"}, headers...)...)
}

// eventText returns the events from first to last as respondWithEvents sends them.
func eventText(first, last int) string {
	var b strings.Builder
	for i := first; i <= last; i++ {
		fmt.Fprintf(&b, "id: %d\ndata: piece %d\n\n", i, i)
	}
	return b.String()
}

func TestStreamIsForwardedCompletely(t *testing.T) {
	u := startUpstream(t, "u1", respondWithEvents(1, 5, true))
	h := newHarness(t, u)
	got := doStream(h, t, "/stream/1")
	assert.NilError(t, got.err)
	assert.Equal(t, got.body, eventText(1, 5))
	assert.Equal(t, u.lastRequest().Header.Get("Request-Urgency"), "0")
}

func TestBrokenStreamIsResumedAtAnotherEngine(t *testing.T) {
	breakThenResume := func(u *testUpstream, r *http.Request, body []byte, conn net.Conn) bool {
		if r.Header.Get("Last-Event-Id") == "3" {
			return respondWithEvents(4, 6, true)(u, r, body, conn)
		}
		return respondWithEvents(1, 3, false)(u, r, body, conn)
	}
	one, two := startUpstream(t, "u1", breakThenResume), startUpstream(t, "u2", breakThenResume)
	h := newHarness(t, one, two)
	got := doStream(h, t, "/stream/1")
	assert.NilError(t, got.err)
	assert.Equal(t, got.body, eventText(1, 6))
	assert.Equal(t, one.requestCount(), 1)
	assert.Equal(t, two.requestCount(), 1)
}

// A broken stream that may not be resumed must end with an aborted connection. A clean end
// would make the caller take it for complete.
func TestBrokenNonResumableStreamIsAborted(t *testing.T) {
	one, two := startUpstream(t, "u1", respondWithEvents(1, 3, false)), startUpstream(t, "u2", respondWithEvents(1, 3, false))
	h := newHarness(t, one, two)
	got := doStream(h, t, "/batch/1")
	assert.Assert(t, got.err != nil, "the broken stream ended as if it were complete")
	assert.Equal(t, one.requestCount()+two.requestCount(), 1)
}

// The connection to the engine breaks in the middle of the second event. The caller must get
// that event once and whole, from the engine that resumes the stream.
func TestPartialEventIsNotForwarded(t *testing.T) {
	sendPartialEvent := func(_ *testUpstream, r *http.Request, _ []byte, conn net.Conn) bool {
		if r.Header.Get("Last-Event-Id") == "1" {
			return respondWithEvents(2, 2, true)(nil, r, nil, conn)
		}
		writeResponseHead(conn, r, 200, "Transfer-Encoding: chunked\r\n")
		part := eventText(1, 1) + "id: 2\nda"
		fmt.Fprintf(conn, "%x\r\n%s\r\n", len(part), part)
		time.Sleep(20 * time.Millisecond)
		return resetConnection(nil, nil, nil, conn)
	}
	h := newHarness(t, startUpstream(t, "u1", sendPartialEvent), startUpstream(t, "u2", sendPartialEvent))
	got := doStream(h, t, "/stream/1")
	assert.NilError(t, got.err)
	assert.Equal(t, got.body, eventText(1, 2))
}

func TestEventsAreForwardedAsTheyArrive(t *testing.T) {
	finishResponse := make(chan struct{})
	u := startUpstream(t, "u1", func(_ *testUpstream, r *http.Request, _ []byte, conn net.Conn) bool {
		writeResponseHead(conn, r, 200, "Transfer-Encoding: chunked\r\n")
		event := eventText(1, 1)
		fmt.Fprintf(conn, "%x\r\n%s\r\n", len(event), event)
		<-finishResponse
		_, err := io.WriteString(conn, "0\r\n\r\n")
		return err == nil
	})
	h := newHarness(t, u)
	response, err := h.server.Client().Do(h.newRequest(t, "POST", "/stream/1", "", "Model", testModel, "Token-Count", "10,5"))
	assert.NilError(t, err)
	first := make([]byte, len(eventText(1, 1)))
	_, err = io.ReadFull(response.Body, first)
	assert.NilError(t, err)
	assert.Equal(t, string(first), eventText(1, 1))
	close(finishResponse)
	_ = response.Body.Close()
}

// An engine that keeps generating for a caller that has disconnected wastes its capacity.
func TestCallerDisconnectCancelsEngineRequest(t *testing.T) {
	ended := make(chan struct{})
	u := startUpstream(t, "u1", func(_ *testUpstream, r *http.Request, _ []byte, conn net.Conn) bool {
		writeResponseHead(conn, r, 200, "Transfer-Encoding: chunked\r\n")
		event := eventText(1, 1)
		fmt.Fprintf(conn, "%x\r\n%s\r\n", len(event), event)
		_, _ = conn.Read(make([]byte, 1)) // returns when the gateway closes the connection
		close(ended)
		return false
	})
	h := newHarness(t, u)
	ctx, disconnect := context.WithCancel(t.Context())
	response, err := h.server.Client().Do(h.newRequest(t, "POST", "/stream/1", "", "Model", testModel, "Token-Count", "10,5").WithContext(ctx))
	assert.NilError(t, err)
	_, err = response.Body.Read(make([]byte, 8))
	assert.NilError(t, err)
	disconnect()
	select {
	case <-ended:
	case <-time.After(450 * time.Millisecond):
		t.Fatal("the connection to the engine is still open 450 ms after the caller disconnected")
	}
	eventually(t, "the end of the request in flight", func() bool { return len(h.inFlight()) == 0 })
}

// An engine that hangs keeps the connection open but sends no further events.
func TestStalledStreamIsResumedAtAnotherEngine(t *testing.T) {
	stallAfterFirstEvent := func(u *testUpstream, r *http.Request, body []byte, conn net.Conn) bool {
		if r.Header.Get("Last-Event-Id") == "1" {
			return respondWithEvents(2, 3, true)(u, r, body, conn)
		}
		writeResponseHead(conn, r, 200, "Transfer-Encoding: chunked\r\n")
		event := eventText(1, 1)
		fmt.Fprintf(conn, "%x\r\n%s\r\n", len(event), event)
		_, _ = conn.Read(make([]byte, 1))
		return false
	}
	h := newHarness(t, startUpstream(t, "u1", stallAfterFirstEvent), startUpstream(t, "u2", stallAfterFirstEvent))
	got := doStream(h, t, "/stream/1", "Deadline-Ms", "3000")
	assert.NilError(t, got.err)
	assert.Equal(t, got.body, eventText(1, 3))
}

func TestMissingAdapterIsRequestedAndAwaited(t *testing.T) {
	u := startUpstream(t, "u1", respondWithEvents(1, 2, true))
	h := newHarness(t, u)
	done := make(chan result, 1)
	go func() { done <- doStream(h, t, "/stream/1", "Model", testModel+"/a2") }()
	assert.Equal(t, <-h.loadRequests, testModel+"/a2")
	h.registry.MarkLoaded(registry.ResidentKey{Upstream: "u1", Model: testModel, Adapter: "a2"})
	got := <-done
	assert.NilError(t, got.err)
	assert.Equal(t, got.body, eventText(1, 2))
}

// The only engine unloads the model, and the load takes 10 s, longer than the caller waits.
// The refusal must come immediately and tell the caller when to retry.
func TestRequestIsRefusedIfModelLoadTakesTooLong(t *testing.T) {
	u := startUpstream(t, "u1", respondWithEvents(1, 2, true))
	h := newHarness(t, u)
	h.registry.MarkUnloading(registry.ResidentKey{Upstream: "u1", Model: testModel})
	began := time.Now()
	got := doStream(h, t, "/stream/1")
	assert.Equal(t, got.status, http.StatusServiceUnavailable)
	assert.Assert(t, time.Since(began) < 100*time.Millisecond)
	assert.Assert(t, got.header.Get("Retry-After") >= "10", "the load takes 10 s, but Retry-After is %s", got.header.Get("Retry-After"))
	assert.Equal(t, u.requestCount(), 0)
}

// The registry lists an engine that no longer holds the model. Its 421 must correct the
// registry, else every request is first sent there in vain.
func TestEngineWithoutModelGetsNoFurtherRequests(t *testing.T) {
	lacking, holding := startUpstream(t, "u1", respondNotExecuted(421)), startUpstream(t, "u2", respondWithEvents(1, 2, true))
	h := newHarness(t, lacking, holding)
	for range 6 {
		got := doStream(h, t, "/stream/1")
		assert.Equal(t, got.body, eventText(1, 2))
	}
	assert.Assert(t, lacking.requestCount() <= 1, "%d requests were sent to the engine without the model", lacking.requestCount())
}

// trickle returns a responder that sends the first event, and then a part that completes no
// event every interval until the gateway closes the connection.
func trickle(part string, interval time.Duration) responder {
	return func(u *testUpstream, r *http.Request, body []byte, conn net.Conn) bool {
		if r.Header.Get("Last-Event-Id") == "1" {
			return respondWithEvents(2, 3, true)(u, r, body, conn)
		}
		writeResponseHead(conn, r, 200, "Transfer-Encoding: chunked\r\n")
		for chunk := eventText(1, 1); ; chunk = part {
			if _, err := fmt.Fprintf(conn, "%x\r\n%s\r\n", len(chunk), chunk); err != nil {
				return false
			}
			time.Sleep(interval)
		}
	}
}

// A stalled engine that sends a byte or a comment now and then must not hold its caller: the
// stream goes on elsewhere if it may be resumed, and ends at the deadline if not.
func TestStalledStreamThatTricklesEnds(t *testing.T) {
	for name, part := range map[string]string{"bytes": "d", "comments": ": still here\n\n"} {
		t.Run(name, func(t *testing.T) {
			engine := trickle(part, 100*time.Millisecond)
			one, two := startUpstream(t, "u1", engine), startUpstream(t, "u2", engine)
			h := newHarness(t, one, two)
			start := time.Now()
			got := doStream(h, t, "/stream/1", "Deadline-Ms", "2800")
			assert.NilError(t, got.err)
			assert.Assert(t, strings.HasSuffix(got.body, eventText(2, 3)), got.body)
			assert.Assert(t, time.Since(start) < 2500*time.Millisecond, "the stream was resumed only at its deadline")
			got = doStream(h, t, "/batch/1", "Deadline-Ms", "1500")
			assert.Assert(t, got.err != nil, "a stalled stream ended as if it were complete")
			assert.Assert(t, time.Since(start) < 5*time.Second, "a stalled stream did not end")
		})
	}
}

// Events that are late but come within the time that callers tolerate must not be cut.
func TestSlowStreamIsNotCut(t *testing.T) {
	for _, path := range []string{"/stream/1", "/batch/1"} {
		u := startUpstream(t, "u1", func(_ *testUpstream, r *http.Request, _ []byte, conn net.Conn) bool {
			writeResponseHead(conn, r, 200, "Transfer-Encoding: chunked\r\n")
			for i := 1; i <= 3; i++ {
				event := eventText(i, i)
				fmt.Fprintf(conn, "%x\r\n%s\r\n", len(event), event)
				time.Sleep(900 * time.Millisecond) // three times the target
			}
			_, err := io.WriteString(conn, "0\r\n\r\n")
			return err == nil
		})
		h := newHarness(t, u, startUpstream(t, "u2", respondWithEvents(1, 3, true)))
		for h.gateway.Tracker.RecordPeerPause("u2", time.Minute); u.requestCount() == 0; {
			got := doStream(h, t, path, "Deadline-Ms", "2900")
			assert.NilError(t, got.err)
			assert.Equal(t, got.body, eventText(1, 3))
		}
		assert.Equal(t, u.requestCount(), 1)
	}
}

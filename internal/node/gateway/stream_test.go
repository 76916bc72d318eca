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

func stream(h *harness, t *testing.T, path string, headers ...string) reply {
	t.Helper()
	return h.do(t, "POST", path, "prompt", append([]string{"Model", testModel, "Token-Count", "100,10", "Prompt-Prefix", "a1:60,b2:40"}, headers...)...)
}

func pieces(first, last int) string {
	var b strings.Builder
	for i := first; i <= last; i++ {
		fmt.Fprintf(&b, "id: %d\ndata: piece %d\n\n", i, i)
	}
	return b.String()
}

func TestStreamIsPassedOnWhole(t *testing.T) {
	u := startUpstream(t, "u1", events(1, 5, true))
	h := newHarness(t, u)
	got := stream(h, t, "/stream/1")
	assert.NilError(t, got.err)
	assert.Equal(t, got.body, pieces(1, 5))
	assert.Equal(t, u.last().Header.Get("Request-Urgency"), "0")
}

func TestBrokenStreamGoesOnAtAnotherEngine(t *testing.T) {
	resumed := func(u *testUpstream, r *http.Request, body []byte, conn net.Conn) bool {
		if r.Header.Get("Last-Event-Id") == "3" {
			return events(4, 6, true)(u, r, body, conn)
		}
		return events(1, 3, false)(u, r, body, conn)
	}
	one, two := startUpstream(t, "u1", resumed), startUpstream(t, "u2", resumed)
	h := newHarness(t, one, two)
	got := stream(h, t, "/stream/1")
	assert.NilError(t, got.err)
	assert.Equal(t, got.body, pieces(1, 6))
	assert.Equal(t, one.count(), 1)
	assert.Equal(t, two.count(), 1)
}

func TestAStreamThatMayNotBeResumedDoesNotLookComplete(t *testing.T) {
	one, two := startUpstream(t, "u1", events(1, 3, false)), startUpstream(t, "u2", events(1, 3, false))
	h := newHarness(t, one, two)
	got := stream(h, t, "/batch/1")
	assert.Assert(t, got.err != nil, "the stream ended as if it were complete")
	assert.Equal(t, one.count()+two.count(), 1)
}

func TestAnEventThatIsCutIsNotPassedOn(t *testing.T) {
	cut := func(_ *testUpstream, r *http.Request, _ []byte, conn net.Conn) bool {
		if r.Header.Get("Last-Event-Id") == "1" {
			return events(2, 2, true)(nil, r, nil, conn)
		}
		head(conn, r, 200, "Transfer-Encoding: chunked\r\n")
		part := pieces(1, 1) + "id: 2\nda"
		fmt.Fprintf(conn, "%x\r\n%s\r\n", len(part), part)
		time.Sleep(20 * time.Millisecond)
		return reset(nil, nil, nil, conn)
	}
	h := newHarness(t, startUpstream(t, "u1", cut), startUpstream(t, "u2", cut))
	got := stream(h, t, "/stream/1")
	assert.NilError(t, got.err)
	assert.Equal(t, got.body, pieces(1, 2))
}

func TestEventsArePassedOnAsTheyArrive(t *testing.T) {
	goOn := make(chan struct{})
	u := startUpstream(t, "u1", func(_ *testUpstream, r *http.Request, _ []byte, conn net.Conn) bool {
		head(conn, r, 200, "Transfer-Encoding: chunked\r\n")
		event := pieces(1, 1)
		fmt.Fprintf(conn, "%x\r\n%s\r\n", len(event), event)
		<-goOn
		_, err := io.WriteString(conn, "0\r\n\r\n")
		return err == nil
	})
	h := newHarness(t, u)
	response, err := h.server.Client().Do(h.request(t, "POST", "/stream/1", "", "Model", testModel, "Token-Count", "10,5"))
	assert.NilError(t, err)
	first := make([]byte, len(pieces(1, 1)))
	_, err = io.ReadFull(response.Body, first)
	assert.NilError(t, err)
	assert.Equal(t, string(first), pieces(1, 1))
	close(goOn)
	_ = response.Body.Close()
}

func TestALeavingCallerEndsTheEnginesWork(t *testing.T) {
	ended := make(chan struct{})
	u := startUpstream(t, "u1", func(_ *testUpstream, r *http.Request, _ []byte, conn net.Conn) bool {
		head(conn, r, 200, "Transfer-Encoding: chunked\r\n")
		event := pieces(1, 1)
		fmt.Fprintf(conn, "%x\r\n%s\r\n", len(event), event)
		_, _ = conn.Read(make([]byte, 1)) // returns when the gateway closes the connection
		close(ended)
		return false
	})
	h := newHarness(t, u)
	ctx, leave := context.WithCancel(t.Context())
	response, err := h.server.Client().Do(h.request(t, "POST", "/stream/1", "", "Model", testModel, "Token-Count", "10,5").WithContext(ctx))
	assert.NilError(t, err)
	_, err = response.Body.Read(make([]byte, 8))
	assert.NilError(t, err)
	leave()
	select {
	case <-ended:
	case <-time.After(450 * time.Millisecond):
		t.Fatal("the engine still works half a second after its caller has left")
	}
	eventually(t, "the end of the flight", func() bool { return len(h.inFlight()) == 0 })
}

func TestAnEngineThatFallsSilentIsLeft(t *testing.T) {
	silent := func(u *testUpstream, r *http.Request, body []byte, conn net.Conn) bool {
		if r.Header.Get("Last-Event-Id") == "1" {
			return events(2, 3, true)(u, r, body, conn)
		}
		head(conn, r, 200, "Transfer-Encoding: chunked\r\n")
		event := pieces(1, 1)
		fmt.Fprintf(conn, "%x\r\n%s\r\n", len(event), event)
		_, _ = conn.Read(make([]byte, 1))
		return false
	}
	h := newHarness(t, startUpstream(t, "u1", silent), startUpstream(t, "u2", silent))
	got := stream(h, t, "/stream/1", "Deadline-Ms", "3000")
	assert.NilError(t, got.err)
	assert.Equal(t, got.body, pieces(1, 3))
}

func TestAMissingAdapterIsAskedForAndAwaited(t *testing.T) {
	u := startUpstream(t, "u1", events(1, 2, true))
	h := newHarness(t, u)
	done := make(chan reply, 1)
	go func() { done <- stream(h, t, "/stream/1", "Model", testModel+"/a2") }()
	assert.Equal(t, <-h.asked, testModel+"/a2")
	h.registry.MarkLoaded(registry.ResidentKey{Upstream: "u1", Model: testModel, Adapter: "a2"})
	got := <-done
	assert.NilError(t, got.err)
	assert.Equal(t, got.body, pieces(1, 2))
}

func TestAModelThatCannotBeThereInTimeIsRefusedAtOnce(t *testing.T) {
	u := startUpstream(t, "u1", events(1, 2, true))
	h := newHarness(t, u)
	h.registry.MarkUnloading(registry.ResidentKey{Upstream: "u1", Model: testModel})
	began := time.Now()
	got := stream(h, t, "/stream/1")
	assert.Equal(t, got.status, http.StatusServiceUnavailable)
	assert.Assert(t, time.Since(began) < 100*time.Millisecond)
	assert.Assert(t, got.header.Get("Retry-After") >= "10", "the load takes 10 s, told are %s", got.header.Get("Retry-After"))
	assert.Equal(t, u.count(), 0)
}

func TestAnEngineWithoutTheModelIsNotAskedAgain(t *testing.T) {
	lacks, holds := startUpstream(t, "u1", refuseRequest(421)), startUpstream(t, "u2", events(1, 2, true))
	h := newHarness(t, lacks, holds)
	for range 6 {
		got := stream(h, t, "/stream/1")
		assert.Equal(t, got.body, pieces(1, 2))
	}
	assert.Assert(t, lacks.count() <= 1, "asked %d times", lacks.count())
}

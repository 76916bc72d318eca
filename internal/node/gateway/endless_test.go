package gateway

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	signedHead  = "HTTP/1.1 200 X\r\nRequest-Id: r-1\r\nResponse-Seal: s\r\n"
	chunkedHead = signedHead + "Transfer-Encoding: chunked\r\n\r\n"
)

// chunk returns data as one chunk of a chunked body.
func chunk(data string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(data), data) }

// endlessResponse is a response that begins with begin and goes on with part for ever.
type endlessResponse struct {
	begin, part string
	interval    time.Duration // between two writes; fast writes are of fastWriteBytes
}

const (
	fastWriteBytes    = 32 << 10
	fastWriteInterval = time.Millisecond
	slowWriteInterval = 20 * time.Millisecond
)

func fast(begin, part string) endlessResponse {
	return endlessResponse{begin: begin, part: strings.Repeat(part, fastWriteBytes/len(part)+1), interval: fastWriteInterval}
}

func slow(begin, part string) endlessResponse {
	return endlessResponse{begin: begin, part: part, interval: slowWriteInterval}
}

// endlessUpstream sends an endless response to each request.
type endlessUpstream struct {
	*testUpstream
	written atomic.Int64  // bytes
	closed  chan struct{} // closed when the gateway closes the first connection
}

func startEndless(t *testing.T, id string, e endlessResponse) *endlessUpstream {
	t.Helper()
	u := &endlessUpstream{closed: make(chan struct{})}
	var once sync.Once
	u.testUpstream = startUpstream(t, id, func(_ *testUpstream, _ *http.Request, _ []byte, conn net.Conn) bool {
		go func() {
			_, _ = conn.Read(make([]byte, 1)) // returns when the gateway closes the connection
			once.Do(func() { close(u.closed) })
		}()
		for data := e.begin + e.part; ; data = e.part {
			n, err := io.WriteString(conn, data)
			u.written.Add(int64(n))
			if err != nil {
				return false
			}
			time.Sleep(e.interval)
		}
	})
	return u
}

// assertClosed asserts that the gateway closes the connection soon after the end of the request.
func (u *endlessUpstream) assertClosed(t *testing.T) {
	t.Helper()
	select {
	case <-u.closed:
	case <-time.After(500 * time.Millisecond):
		t.Error("the connection to the upstream is still open 500 ms after the end of the request")
	}
}

// respondWholeOrResumed sends the events 1 to 3, or 2 and 3 if the first was received before.
func respondWholeOrResumed(u *testUpstream, r *http.Request, body []byte, conn net.Conn) bool {
	if r.Header.Get("Last-Event-Id") == "1" {
		return respondWithEvents(2, 3, true)(u, r, body, conn)
	}
	return respondWithEvents(1, 3, true)(u, r, body, conn)
}

// endlessPair is a gateway that sends its first request to an endless upstream, and the next
// one to a sound upstream.
type endlessPair struct {
	*harness
	endless *endlessUpstream
	sound   *testUpstream
}

func newEndlessPair(t *testing.T, e endlessResponse) endlessPair {
	t.Helper()
	p := endlessPair{endless: startEndless(t, "u1", e), sound: startUpstream(t, "u2", respondWholeOrResumed)}
	p.harness = newHarness(t, p.endless.testUpstream, p.sound)
	p.gateway.Tracker.RecordPeerPause("u2", time.Minute)
	t.Cleanup(func() { p.gateway.Pool.CloseIdle(p.sound.listener.Addr().String()) })
	return p
}

// breakCauses returns the causes for which exchanges with upstreams have ended early.
func (h *harness) breakCauses(t *testing.T) []string {
	t.Helper()
	families, err := h.gateway.Metrics.Registry.Gather()
	assert.NilError(t, err)
	var causes []string
	for _, family := range families {
		if family.GetName() != "savoryweir_node_broken_exchanges_total" {
			continue
		}
		for _, metric := range family.GetMetric() {
			causes = append(causes, metric.GetLabel()[0].GetValue())
		}
	}
	return causes
}

// endlessOutcome is what the caller of an endless response gets.
type endlessOutcome string

const (
	recognized endlessOutcome = "recognized"       // at once; elsewhere if it may be repeated, or else 502
	silence    endlessOutcome = "taken as silence" // elsewhere after the timeout of the attempt, or else 504 at the deadline
	aborted    endlessOutcome = "aborted"          // the caller's connection is closed, at the deadline at the latest
)

// An upstream in trouble may send bytes that are no response, or have no end, until its
// connection is closed.
func TestEndlessResponseEndsWithinDeadlineAndIsNoSuccess(t *testing.T) {
	const all, unary, streams = "read order stream batch", "read order", "stream batch"
	fill := strings.Repeat("y", 60)
	event1 := chunk(eventText(1, 1))
	field := "X-Fill: " + fill + "\r\n"
	cases := []struct {
		name     string
		routes   string
		response endlessResponse
		want     endlessOutcome
	}{
		{"garbage", all, fast("", "\x00garbage"), recognized},
		{"header line", all, fast("HTTP/1.1 200 X\r\nX-Fill: ", fill), recognized},
		{"header fields", all, fast("HTTP/1.1 200 X\r\n", field), recognized},
		{"slow header fields", all, slow("HTTP/1.1 200 X\r\n", field), silence},
		{"informational responses", all, fast("", "HTTP/1.1 103 Early\r\n\r\n"), recognized},
		{"slow informational responses", all, slow("", "HTTP/1.1 103 Early\r\n\r\n"), silence},
		{"chunk extension", all, fast(chunkedHead+"5;", fill), recognized},
		{"chunk size", all, fast(chunkedHead, "0000"), recognized},
		{"trailers", all, fast(chunkedHead+event1+"0\r\n", field), recognized},
		{"slow trailers", unary, slow(chunkedHead+event1+"0\r\n", field), silence},
		{"slow body in chunks", all, slow(chunkedHead, chunk(fill)), silence},
		{"body without length", unary, fast(signedHead+"\r\n", fill), aborted},
		{"body with huge length", unary, fast(signedHead+"Content-Length: 1099511627776\r\n\r\n", fill), aborted},
		{"body in chunks", unary, fast(chunkedHead, chunk(fill)), aborted},
		{"event without length", streams, fast(signedHead+"\r\n", fill), recognized},
		{"event with huge length", streams, fast(signedHead+"Content-Length: 1099511627776\r\n\r\n", fill), recognized},
		{"second event", streams, fast(chunkedHead+event1, chunk("data: "+fill+"\n")), recognized},
		{"slow second event", "stream", slow(chunkedHead+event1, chunk("data: "+fill+"\n")), silence},
		{"events without ID", streams, fast(chunkedHead+event1, chunk("data: "+fill+"\n\n")), aborted},
	}
	before := runtime.NumGoroutine()
	t.Run("cases", func(t *testing.T) {
		for _, c := range cases {
			for route := range strings.FieldsSeq(c.routes) {
				t.Run(c.name+", "+route, func(t *testing.T) {
					if c.want == silence { // the others send as fast as they can
						t.Parallel()
					}
					playEndless(t, route, c.response, c.want)
				})
			}
		}
	})
	eventually(t, "the end of all goroutines", func() bool { return runtime.NumGoroutine() <= before+1 })
}

// recognizedDeadline is the deadline of requests that must end by what the upstream sends. It is
// long, so that a busy machine does not end them by their deadline instead.
const recognizedDeadline = 3 * time.Second

// playEndless sends a request whose first upstream responds endlessly, and checks its end.
func playEndless(t *testing.T, route string, e endlessResponse, want endlessOutcome) {
	t.Helper()
	p := newEndlessPair(t, e)
	isRepeatable := route == "read" || route == "stream"
	deadline := 500 * time.Millisecond
	switch {
	case want == recognized:
		deadline = recognizedDeadline
	case isRepeatable && want != aborted:
		deadline = 2 * time.Second
	}
	start := time.Now()
	got := doStream(p.harness, t, "/"+route+"/1", "Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	took := time.Since(start)
	p.endless.assertClosed(t)
	assert.Assert(t, took < deadline+500*time.Millisecond, "the request ended after %v", took)
	forwarded := strings.Contains(e.begin, "data:") && route == "batch"
	switch {
	case want == aborted, forwarded:
		assert.Assert(t, got.err != nil, "an endless response ended as if it were complete")
	case isRepeatable:
		assert.NilError(t, got.err)
		assert.Equal(t, got.body, eventText(1, 3))
	case want == recognized:
		assert.Equal(t, got.status, http.StatusBadGateway)
	default:
		assert.Equal(t, got.status, http.StatusGatewayTimeout)
	}
	if !isRepeatable {
		assert.Equal(t, p.sound.requestCount(), 0)
	}
	if want == recognized {
		const socketBufferBytes = 8 << 20
		assert.DeepEqual(t, p.breakCauses(t), []string{"upstream"})
		assert.Assert(t, p.endless.written.Load() < socketBufferBytes)
	}
}

// A response to a stream request whose status is not 200 must not be cut off and end as if it
// were complete.
func TestEndlessResponseToStreamIsNotCutOff(t *testing.T) {
	for _, status := range []string{"202", "400", "500"} {
		t.Run(status, func(t *testing.T) {
			e := fast(strings.Replace(chunkedHead, "200", status, 1), chunk(strings.Repeat("y", 60)))
			p := newEndlessPair(t, e)
			got := doStream(p.harness, t, "/batch/1", "Deadline-Ms", "500")
			p.endless.assertClosed(t)
			assert.Assert(t, got.err != nil || got.status == http.StatusBadGateway, "status %d with %d bytes", got.status, len(got.body))
		})
	}
}

// The status of a server error is enough to go on elsewhere. Its body may have no end.
func TestRequestGoesOnElsewhereBeforeEndOfErrorBody(t *testing.T) {
	begin, part := strings.Replace(chunkedHead, "200", "500", 1), chunk(strings.Repeat("y", 60))
	for name, e := range map[string]endlessResponse{"fast": fast(begin, part), "slow": slow(begin, part)} {
		for _, route := range []string{"read", "stream"} {
			t.Run(name+", "+route, func(t *testing.T) {
				p := newEndlessPair(t, e)
				got := doStream(p.harness, t, "/"+route+"/1", "Deadline-Ms", "1100") // before the timeouts of attempts
				p.endless.assertClosed(t)
				assert.NilError(t, got.err)
				assert.Equal(t, got.body, eventText(1, 3))
			})
		}
	}
}

// An engine that repeats its last event makes no progress, so that its stream goes on elsewhere.
func TestStreamThatRepeatsItsLastEventIsResumedAtAnotherEngine(t *testing.T) {
	for name, e := range map[string]endlessResponse{
		"fast": fast(chunkedHead, chunk(eventText(1, 1))), "slow": slow(chunkedHead, chunk(eventText(1, 1))),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p := newEndlessPair(t, e)
			got := doStream(p.harness, t, "/stream/1")
			p.endless.assertClosed(t)
			assert.NilError(t, got.err)
			assert.Equal(t, got.body, eventText(1, 3))
		})
	}
}

// Comments keep a connection open; a flood of them is no stream, and must not flood the caller.
func TestFloodOfCommentsIsRecognized(t *testing.T) {
	event1, fill := chunk(eventText(1, 1)), strings.Repeat("y", 60)
	for name, e := range map[string]endlessResponse{
		"before the first event": fast(chunkedHead, chunk(": "+fill+"\n\n")),
		"after an event":         fast(chunkedHead+event1, chunk(": "+fill+"\n\n")),
		"blank lines":            fast(chunkedHead+event1, chunk("\n\n")),
	} {
		for _, route := range []string{"stream", "batch"} {
			t.Run(name+", "+route, func(t *testing.T) {
				p := newEndlessPair(t, e)
				config := *p.gateway.Config()
				config.Routes = testRoutes()
				for i := range config.Routes {
					config.Routes[i].TargetEventGap = recognizedDeadline // the stall timer is not what ends the request
				}
				p.gateway.ApplyConfig(&config)
				got := doStream(p.harness, t, "/"+route+"/1", "Deadline-Ms", fmt.Sprint(recognizedDeadline.Milliseconds()))
				p.endless.assertClosed(t)
				assert.DeepEqual(t, p.breakCauses(t), []string{"upstream"})
				assert.Assert(t, len(got.body) < 128<<10)
				switch {
				case route == "stream":
					assert.NilError(t, got.err)
					assert.Assert(t, strings.HasSuffix(got.body, eventText(2, 3)))
				case strings.Contains(e.begin, event1):
					assert.Assert(t, got.err != nil)
				default:
					assert.Equal(t, got.status, http.StatusBadGateway)
				}
			})
		}
	}
}

// A caller that stops reading blocks the write to it. The request must end nevertheless, or an
// endless response holds it for as long as the caller stays connected.
func TestEndlessResponseToCallerThatStopsReadingEndsAtDeadline(t *testing.T) {
	fill := strings.Repeat("y", 600)
	for route, e := range map[string]endlessResponse{
		"order": fast(signedHead+"\r\n", fill),
		"batch": fast(chunkedHead, chunk("data: "+fill+"\n\n")),
	} {
		t.Run(route, func(t *testing.T) {
			t.Parallel()
			p := newEndlessPair(t, e)
			conn, err := net.Dial("tcp4", p.server.Listener.Addr().String())
			assert.NilError(t, err)
			defer func() { _ = conn.Close() }()
			_, err = fmt.Fprintf(conn, "POST /%s/1 HTTP/1.1\r\nHost: desk.example\r\nRequest-Id: r-1\r\nDeadline-Ms: 1000\r\n"+
				"Model: %s\r\nToken-Count: 100,10\r\nContent-Length: 0\r\n\r\n", route, testModel)
			assert.NilError(t, err)
			_, err = conn.Read(make([]byte, 1))
			assert.NilError(t, err)
			time.Sleep(1500 * time.Millisecond)
			assert.Equal(t, p.gateway.InFlight(), int64(0))
		})
	}
}

// The time limit of writes belongs to one response, not to the connection.
func TestConnectionOfCallerIsReusedAfterDeadlineOfStream(t *testing.T) {
	h := newHarness(t, startUpstream(t, "u1", respondWithEvents(1, 3, true)))
	send := func() (reused bool) {
		r := h.newRequest(t, "POST", "/stream/1", "", "Model", testModel, "Token-Count", "100,10", "Deadline-Ms", "500")
		trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { reused = info.Reused }}
		got := h.send(t, r.WithContext(httptrace.WithClientTrace(r.Context(), trace)))
		assert.NilError(t, got.err)
		assert.Equal(t, got.body, eventText(1, 3))
		return reused
	}
	send()
	time.Sleep(500*time.Millisecond + 2*lateWriteTime)
	assert.Assert(t, send())
}

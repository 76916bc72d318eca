package entry

import (
	"fmt"
	"maps"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"savoryweir/internal/protocol/httpapi"
	"savoryweir/internal/standin/engine"
	"savoryweir/internal/standin/rawhttp"
	"savoryweir/internal/state/bundle"
	"savoryweir/internal/state/order"
)

// faultyResponses returns all responses with a malformed head, or one that is cut off, by the fault.
func faultyResponses(r rawhttp.Response) map[string]string {
	responses := r.MalformedHeads()
	maps.Copy(responses, r.CutHeads())
	return responses
}

// malformedUpstream is an upstream whose responses to requests of callers are faulty.
type malformedUpstream struct {
	testUpstream
	requests atomic.Int32 // of callers
}

// startMalformed starts an upstream whose responses have the fault of the given name and a body for the
// request's ID.
func startMalformed(t *testing.T, id, fault string, body func(requestID string) string) *malformedUpstream {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	u := &malformedUpstream{testUpstream: testUpstream{id: bundle.UpstreamID(id), address: listener.Addr().String()}}
	go rawhttp.Serve(listener, false, func(r *http.Request) string {
		requestID := r.Header.Get(httpapi.HeaderRequestID)
		if requestID == "" {
			return rawhttp.Response{}.Sound() // a probe
		}
		u.requests.Add(1)
		return faultyResponses(rawhttp.Response{Fields: httpapi.HeaderRequestID + ": " + requestID + "\r\n", Body: body(requestID)})[fault]
	})
	return u
}

func evilBody(string) string { return "evil" }

// A malformed response of a plain service reached the caller, or ended the handler with a panic where its status can't
// be sent. Without another upstream, the read fails.
func TestMalformedResponseOfServiceDoesNotReachCaller(t *testing.T) {
	for fault := range faultyResponses(rawhttp.Response{}) {
		t.Run(fault, func(t *testing.T) {
			t.Parallel()
			upstream := startMalformed(t, "s1", fault, evilBody)
			e := startEntry(t, &sharedView{data: viewWithUpstreams(&upstream.testUpstream)}, nil, func(s *Settings) { s.Queue.MaxWait = 300 * time.Millisecond })
			got := e.do(http.MethodGet, "/services/booking/status/7", "")
			assert.NilError(t, got.err)
			assert.Equal(t, got.status, http.StatusBadGateway, got.body)
			assert.Assert(t, !strings.Contains(got.body, "evil"), got.body)
		})
	}
}

// An order whose response is malformed may have run. What was in the response must not be recorded as its result, with
// which resends are answered.
func TestMalformedResponseToOrderIsNotRecorded(t *testing.T) {
	for fault := range faultyResponses(rawhttp.Response{}) {
		t.Run(fault, func(t *testing.T) {
			t.Parallel()
			upstream := startMalformed(t, "s1", fault, evilBody)
			claims := newMemoryClaims()
			e := startEntry(t, &sharedView{data: viewWithUpstreams(&upstream.testUpstream)}, claims, nil)
			got := e.sendOrder("o1", header{httpapi.HeaderIdempotencyKey, "k1"})
			claims.mu.Lock()
			defer claims.mu.Unlock()
			for _, state := range claims.claims {
				assert.Assert(t, state.result.Outcome != order.OutcomeRan, "status %d, %q", state.result.Status, state.result.Body)
			}
			assert.NilError(t, got.err)
			assert.Assert(t, got.status >= http.StatusInternalServerError, "%d %s", got.status, got.body)
			assert.Equal(t, got.failure(t).Outcome, order.OutcomeUnknown)
			assert.Assert(t, !strings.Contains(got.body, "evil"), got.body)
		})
	}
}

// A malformed response of an engine is retried, and the caller gets the whole stream of another one.
func TestMalformedResponseOfEngineIsRetried(t *testing.T) {
	for fault := range faultyResponses(rawhttp.Response{}) {
		t.Run(fault, func(t *testing.T) {
			t.Parallel()
			malformed, sound := startMalformed(t, "e1", fault, evilEvents), startEngine(t, "e2")
			malformed.engine = sound.engine // lists it as an engine
			e := startEntry(t, &sharedView{data: viewWithUpstreams(&malformed.testUpstream, sound)}, nil, nil)
			e.fillRetryBudgets()
			for i := 0; malformed.requests.Load() == 0; i++ {
				assert.Assert(t, i < maxStreams, "no request reached the engine")
				id := fmt.Sprint("r", i)
				assertCompleteStream(t, e.streamChat(t, id, id, 5), id, 5)
			}
		})
	}
}

// maxStreams bounds the streams after which each of two engines has got a request.
const maxStreams = 100

// evilEvents returns a whole stream of one event.
func evilEvents(requestID string) string {
	return fmt.Sprintf("id: 1\ndata: {\"id\":%q,\"choices\":[{\"delta\":{\"content\":\"evil\"}}]}\n\ndata: %s\n\n", requestID, httpapi.DoneMarker)
}

// A stream that broke off goes on at an engine that responds with an error. The caller gets the failure as this
// system's own event, nothing of the engine's, and no end mark.
func TestErrorOfNextEngineDoesNotReachStream(t *testing.T) {
	for name, response := range map[string]string{
		"500":              rawhttp.Response{Body: "data: evil\n\n"}.WithStatus("500"),
		"404":              rawhttp.Response{Body: "data: evil\n\n"}.WithStatus("404"),
		"without a length": "HTTP/1.1 500 X\r\n\r\ndata: evil\n\n",
		"cut head":         "HTTP/1.1 200 OK\r\nContent-Le",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			first := startEngine(t, "e1")
			first.engine.Inject(engine.Fault{Kind: engine.FaultCut, After: 3, Count: 100})
			var failed atomic.Int32
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			t.Cleanup(func() { _ = listener.Close() })
			go rawhttp.Serve(listener, false, func(r *http.Request) string {
				if r.Header.Get(httpapi.HeaderRequestID) != "" {
					failed.Add(1)
				}
				return response
			})
			next := &testUpstream{id: "e2", address: listener.Addr().String(), engine: first.engine}
			e := startEntry(t, &sharedView{data: viewWithUpstreams(first, next)}, nil, nil)
			e.fillRetryBudgets()
			for i := 0; failed.Load() == 0; i++ {
				assert.Assert(t, i < maxStreams, "no request reached the engine")
				got := e.do(http.MethodPost, chatPath, chatBody(fmt.Sprint("c", i), 5, true))
				assert.NilError(t, got.err)
				assert.Assert(t, !strings.Contains(got.body, "evil") && !strings.Contains(got.body, "HTTP/1.1"), got.body)
				isComplete, hasFailed := strings.Contains(got.body, httpapi.DoneMarker), strings.Contains(got.body, "error")
				assert.Assert(t, isComplete != hasFailed, got.body)
			}
		})
	}
}

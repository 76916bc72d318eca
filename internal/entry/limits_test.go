package entry

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"savoryweir/internal/protocol/httpapi"
	"savoryweir/internal/standin/engine"
	"savoryweir/internal/state/bundle"
	"savoryweir/internal/state/order"
	"savoryweir/internal/state/timeline"
)

func itoa(n int) string { return strconv.Itoa(n) }

func TestInvalidRequestsAreRejectedWithCode(t *testing.T) {
	upstream1 := startEngine(t, "e1")
	e := startEntry(t, &sharedView{data: viewWithUpstreams(upstream1)}, nil, func(s *Settings) { s.Callers.MaxBodyBytes = 2048 })
	for _, test := range []struct {
		name    string
		method  string
		path    string
		body    string
		headers []header
		status  int
		code    httpapi.Code
	}{
		{"invalid JSON", "POST", chatPath, "{", nil, 400, httpapi.CodeBadRequest},
		{"JSON null", "POST", chatPath, "null", nil, 400, httpapi.CodeBadRequest},
		{"two JSON objects", "POST", chatPath, "{}{}", nil, 400, httpapi.CodeBadRequest},
		{"no model", "POST", chatPath, `{"messages":[{"role":"user","content":"a"}]}`, nil, 400, httpapi.CodeBadRequest},
		{"no messages", "POST", chatPath, `{"model":"small","messages":[]}`, nil, 400, httpapi.CodeBadRequest},
		{"stream flag of wrong type", "POST", chatPath, `{"model":"small","stream":1,"messages":[{"role":"user","content":"a"}]}`, nil, 400, httpapi.CodeBadRequest},
		{"unknown model", "POST", chatPath, `{"model":"x","messages":[{"role":"user","content":"a"}]}`, nil, 404, httpapi.CodeUnknownModel},
		{"body too large", "POST", chatPath, strings.Repeat("x", 4096), nil, 413, httpapi.CodeBodyTooLarge},
		{"method not allowed", "GET", chatPath, "", nil, 405, httpapi.CodeMethodNotAllowed},
		{"unknown route", "GET", "/other", "", nil, 404, httpapi.CodeUnknownRoute},
		{"unknown service", "GET", "/services/none/x", "", nil, 404, httpapi.CodeUnknownService},
		{"generation service called as plain service", "GET", "/services/tagger/x", "", nil, 404, httpapi.CodeUnknownService},
		{"unknown class", "POST", chatPath, "{}", []header{{httpapi.HeaderClass, "soon"}}, 400, httpapi.CodeBadRequest},
		{"negative deadline", "POST", chatPath, "{}", []header{{httpapi.HeaderDeadline, "-1"}}, 400, httpapi.CodeBadRequest},
		{"request id with a space", "POST", chatPath, "{}", []header{{httpapi.HeaderRequestID, "a b"}}, 400, httpapi.CodeBadRequest},
		{"idempotency key too long", "GET", "/services/booking/x", "", []header{{httpapi.HeaderIdempotencyKey, strings.Repeat("k", 300)}}, 400, httpapi.CodeBadRequest},
	} {
		got := e.do(test.method, test.path, test.body, test.headers...)
		assert.Equal(t, got.status, test.status, "%s: %s", test.name, got.body)
		failure := got.failure(t)
		assert.Equal(t, failure.Code, test.code, test.name)
		assert.Equal(t, failure.Outcome, order.OutcomeNotRun, test.name)
		assert.Assert(t, failure.RequestID != "", test.name)
	}
	large := e.do(http.MethodPost, chatPath, "{}", header{"X-Large", strings.Repeat("x", 64<<10)})
	assert.Equal(t, large.status, http.StatusRequestHeaderFieldsTooLarge)
	assert.Equal(t, upstream1.engine.Started(), 0)
}

// One request runs and one fills the queue, so that the next one can't wait.
func TestRequestBeyondQueueLimitIsRejectedAtOnceWithRetryAfter(t *testing.T) {
	upstream1 := startEngine(t, "e1")
	e := startEntry(t, &sharedView{data: viewWithUpstreams(upstream1)}, nil, func(s *Settings) {
		s.Upstreams.MaxInFlight = 1
		s.Queue.Length = 1
		s.Queue.MaxWait = time.Hour
	})
	upstream1.engine.Inject(engine.Fault{Kind: engine.FaultSlow, Factor: 100})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	ended := make(chan struct{}, 2)
	for range 2 {
		go func() {
			doRequest(request(http.MethodPost, e.url+chatPath, chatBody("hello", 50, true)).WithContext(ctx))
			ended <- struct{}{}
		}()
	}
	eventually(t, "one request runs and one waits", func() bool {
		return e.queueLength("tagger") == 1 && upstream1.engine.Started() == 1
	})
	got := e.do(http.MethodPost, chatPath, chatBody("other", 2, true), header{httpapi.HeaderDeadline, "60000"})
	assert.Equal(t, got.status, http.StatusServiceUnavailable)
	assert.Equal(t, got.failure(t).Code, httpapi.CodeNoCapacity)
	assert.Equal(t, got.failure(t).Outcome, order.OutcomeNotRun)
	assert.Assert(t, got.header.Get("Retry-After") != "")
	cancel()
	<-ended
	<-ended
	eventually(t, "requests of disconnected callers have ended", func() bool {
		calls, _ := e.drain.inProgress()
		return len(calls) == 0
	})
}

// queueLength returns the number of requests that wait for an upstream of the service.
func (e *testEntry) queueLength(name bundle.ServiceName) int {
	e.table.mu.Lock()
	defer e.table.mu.Unlock()
	s, ok := e.table.services[name]
	if !ok {
		return 0
	}
	return s.queue.Len()
}

// The only slot of the upstream is taken for a second and a half while many requests wait. A caller
// that retried after a second would find the queue as long as before.
func TestRetryAfterOfMissedDeadlineCoversTheQueue(t *testing.T) {
	const waiting = 40
	upstream1 := startEngine(t, "e1")
	e := startEntry(t, &sharedView{data: viewWithUpstreams(upstream1)}, nil, func(s *Settings) {
		s.Upstreams.MaxInFlight = 1
		s.Queue.MaxWait = 2500 * time.Millisecond
	})
	ended := make(chan testResponse, 1)
	go func() {
		ended <- e.do(http.MethodPost, chatPath, chatBody("late", 100000, false), header{httpapi.HeaderDeadline, "1500"})
	}()
	eventually(t, "the slot is taken", func() bool { return upstream1.engine.Started() == 1 })
	var group sync.WaitGroup
	for i := range waiting {
		body := chatBody(fmt.Sprintf("waiting %d", i), 1000, false)
		group.Go(func() { e.do(http.MethodPost, chatPath, body, header{httpapi.HeaderDeadline, "600000"}) })
	}
	eventually(t, "the other requests wait", func() bool { return e.queueLength("tagger") == waiting })
	got := <-ended
	group.Wait()
	assert.Equal(t, got.status, http.StatusGatewayTimeout, got.body)
	assert.Assert(t, got.failure(t).RetryAfterSeconds >= 4, got.body)
}

func TestEntryWithoutViewIsNotReady(t *testing.T) {
	e := startEntry(t, StaticSource{}, nil, nil)
	got := e.do(http.MethodPost, chatPath, chatBody("hello", 2, true))
	assert.Equal(t, got.failure(t).Code, httpapi.CodeNotReady)
	assert.Equal(t, e.readiness(t), http.StatusServiceUnavailable)
}

func TestTimelineRecordsRequest(t *testing.T) {
	upstream1 := startEngine(t, "e1")
	e := startEntry(t, &sharedView{data: viewWithUpstreams(upstream1)}, nil, nil)
	e.streamChat(t, "r1", "hello", 2)
	// The last event is recorded just after the caller has received the end of its answer.
	eventually(t, "the timeline has the end of the request", func() bool { return len(timelineKinds(t, e, "r1")) >= 3 })
	want := []timeline.Kind{timeline.KindRequestReceived, timeline.KindRequestRouted, timeline.KindRequestFinished}
	assert.DeepEqual(t, timelineKinds(t, e, "r1"), want)
}

// timelineKinds returns the kinds of a request's events in the entry's timeline.
func timelineKinds(t *testing.T, e *testEntry, request string) []timeline.Kind {
	t.Helper()
	response, err := client.Get(e.operations + "/timeline")
	assert.NilError(t, err)
	defer response.Body.Close()
	var kinds []timeline.Kind
	for decoder := json.NewDecoder(response.Body); decoder.More(); {
		var event timeline.Event
		assert.NilError(t, decoder.Decode(&event))
		if event.Request == request {
			assert.Equal(t, event.Generation, uint64(7))
			kinds = append(kinds, event.Kind)
		}
	}
	return kinds
}

// Any path, headers and body must get a valid answer. No answer may be a success, since no upstream
// can be reached, and nothing may panic.
func FuzzCallerRequest(f *testing.F) {
	f.Add("/v1/chat/completions", "1000", "now", "key", "5", []byte(chatBody("hello", 2, true)))
	f.Add("/v1/chat/completions", "", "later", "", "", []byte(`{"model":"small","messages":[{"role":1}]}`))
	f.Add("/v1/chat/completions", "x", "", "k\n", "-5", []byte(`[[[[`))
	f.Add("/services/booking/orders/1", "", "long", "k", "", []byte("x"))
	f.Add("/services/booking/..%2forders", "", "overnight", "", "99999999999999999999", []byte{0xff, 0})
	data := viewWithUpstreams(&testUpstream{id: "s1", address: "127.0.0.1:1"})
	var s Settings
	s.Callers.MaxBodyBytes, s.Callers.MaxStreams, s.Callers.ReadTimeout = 1<<20, 10, time.Second
	s.Callers.Reserved = 10
	s.Callers.DefaultDeadline, s.Queue.MaxWait = 20*time.Millisecond, time.Millisecond
	s.Queue.RetryAfter, s.Orders.MaxWait = time.Second, time.Second
	s.Operations.TimelineEvents, s.Upstreams.MaxInFlight = 16, 1
	server, err := New(s, Dependencies{Views: StaticSource{NewView(data)}, Claims: NoClaims{}, Log: zerolog.Nop()})
	assert.NilError(f, err)
	f.Cleanup(server.Close)
	handler := server.Handler()
	f.Fuzz(func(t *testing.T, path, deadline, class, key, offset string, body []byte) {
		r := httptest.NewRequest(http.MethodPost, "/", bytes.NewReader(body))
		r.URL.Path = path
		r.Header[http.CanonicalHeaderKey(httpapi.HeaderDeadline)] = []string{deadline}
		r.Header[http.CanonicalHeaderKey(httpapi.HeaderClass)] = []string{class}
		r.Header[http.CanonicalHeaderKey(httpapi.HeaderIdempotencyKey)] = []string{key}
		r.Header[http.CanonicalHeaderKey(httpapi.HeaderResumeOffset)] = []string{offset}
		w := httptest.NewRecorder()
		handler.ServeHTTP(w, r)
		assert.Assert(t, w.Code >= 300, "status is no success, since no upstream can be reached")
		assert.Assert(t, w.Code < 400 || json.Valid(w.Body.Bytes()), "%q", w.Body.String())
	})
}

// An upstream that answers with arbitrary bytes must not produce an answer that counts as complete
// without its end mark.
func FuzzUpstreamStream(f *testing.F) {
	validChunk := `{"id":"up","choices":[{"index":0,"delta":{"content":"a"}}]}`
	f.Add([]byte("id: 1\ndata: " + validChunk + "\n\ndata: [DONE]\n\n"))
	f.Add([]byte("id: 2\ndata: " + validChunk + "\n\n"))
	f.Add([]byte("data: [DONE]\n"))
	f.Add([]byte("id: x\n\n\n: comment\r\n"))
	f.Fuzz(func(t *testing.T, stream []byte) {
		r := streamReader{upstreamID: "up", callerID: "own", maxTokens: 100}
		out := &countingSink{}
		err := r.copyEvents(context.Background(), bytes.NewReader(stream), 1024, out)
		assert.Equal(t, err == nil, out.ended)
		assert.Equal(t, out.last, r.offset)
	})
}

type countingSink struct {
	last  int
	ended bool
}

func (c *countingSink) event(offset int, _ []byte, _ bool) error { c.last = offset; return nil }
func (c *countingSink) finish() error                            { c.ended = true; return nil }

// A caller that sends its body too slowly must not hold a connection without limit.
func TestSlowRequestBodyIsRejectedAfterReadTimeout(t *testing.T) {
	e := startEntry(t, &sharedView{data: viewWithUpstreams()}, nil, func(s *Settings) { s.Callers.ReadTimeout = 100 * time.Millisecond })
	conn, err := net.Dial("tcp", strings.TrimPrefix(e.url, "http://"))
	assert.NilError(t, err)
	defer conn.Close()
	_, err = conn.Write([]byte("POST " + chatPath + " HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n\r\n{"))
	assert.NilError(t, err)
	assert.NilError(t, conn.SetReadDeadline(time.Now().Add(eventTimeout)))
	answer := make([]byte, 12)
	_, err = conn.Read(answer)
	assert.NilError(t, err)
	assert.Equal(t, string(answer), "HTTP/1.1 400")
}

// An engine that has unloaded a model answers 404 until the view shows the change. The request runs
// at another engine, and the first one stays in use for its other models.
func TestEngineThatUnloadedTheModelIsSkippedAndStaysInUse(t *testing.T) {
	without, with := startEngineWithModel(t, "e1", "other"), startEngine(t, "e2")
	data := viewWithUpstreams(without, with)
	data.Bundle.Models = append(data.Bundle.Models, bundle.Model{ID: "other", Service: "tagger"})
	data.Replicas = append(data.Replicas, Replica{Upstream: "e1", Model: "other", Ready: true})
	e := startEntry(t, &sharedView{data: data}, nil, func(s *Settings) { s.Upstreams.RetryShare = 1 })
	e.fillRetryBudgets()
	for n := range 40 {
		content := fmt.Sprintf("text %d", n)
		assertCompleteStream(t, e.streamChat(t, fmt.Sprintf("r%d", n), content, 3), content, 3)
	}
	got := e.do(http.MethodPost, chatPath, `{"model":"other","messages":[{"role":"user","content":"a"}]}`)
	assert.Equal(t, got.status, http.StatusOK, got.body)
}

// If no engine has the model any more, callers are told to retry, not that the model is unknown.
func TestModelWithoutReplicasIsAnsweredWithRetryAfter(t *testing.T) {
	e := startEntry(t, &sharedView{data: viewWithUpstreams(startEngineWithModel(t, "e1", "other"))}, nil, nil)
	got := e.do(http.MethodPost, chatPath, `{"model":"small","messages":[{"role":"user","content":"a"}]}`)
	assert.Equal(t, got.status, http.StatusServiceUnavailable, got.body)
	assert.Equal(t, got.header.Get(httpapi.HeaderOutcome), string(order.OutcomeNotRun))
	assert.Assert(t, got.header.Get("Retry-After") != "")
}

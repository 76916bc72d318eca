package entry

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"savoryweir/internal/pause"
	"savoryweir/internal/protocol/httpapi"
	"savoryweir/internal/protocol/sse"
	"savoryweir/internal/settings"
	"savoryweir/internal/standin/engine"
	"savoryweir/internal/standin/serve"
	"savoryweir/internal/standin/service"
	"savoryweir/internal/state/bundle"
	"savoryweir/internal/state/order"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const (
	testModel    = "small"
	crashMarker  = "crash-me"
	eventTimeout = 10 * time.Second // upper bound for expected events; no test passes because it elapsed
	testDeadline = 8 * time.Second
)

// testUpstream is a simulated engine or service with a server of its own.
type testUpstream struct {
	id      bundle.UpstreamID
	address string
	engine  *engine.Engine
	service *service.Service
	stop    func()
}

// startServer serves handler and returns the server's address and a function that stops it.
func startServer(t *testing.T, handler http.Handler) (string, func()) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server := serve.NewServer(handler)
	go func() { _ = server.Serve(listener) }()
	stop := sync.OnceFunc(func() { _ = server.Close() })
	t.Cleanup(stop)
	return listener.Addr().String(), stop
}

func startEngine(t *testing.T, id string) *testUpstream {
	t.Helper()
	return startEngineWithModel(t, id, testModel)
}

// startEngineWithModel starts an engine that has only the given model.
func startEngineWithModel(t *testing.T, id, model string) *testUpstream {
	t.Helper()
	u := &testUpstream{id: bundle.UpstreamID(id)}
	u.engine = engine.New(engine.Settings{
		Models: []string{model}, MaxBatch: 8, StepBase: time.Millisecond, CacheSize: 8,
		CrashMarker: crashMarker, OnCrash: func() { u.stop() },
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); u.engine.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
	u.address, u.stop = startServer(t, u.engine.Handler())
	return u
}

func startService(t *testing.T, id string) *testUpstream {
	t.Helper()
	u := &testUpstream{id: bundle.UpstreamID(id), service: service.New()}
	u.address, u.stop = startServer(t, u.service.Handler())
	return u
}

// viewWithUpstreams returns a view with a generation service, a plain service and the given upstreams.
func viewWithUpstreams(upstreams ...*testUpstream) ViewData {
	data := ViewData{Bundle: bundle.Bundle{
		Generation: 7,
		Services: []bundle.Service{
			{Name: "tagger", Kind: bundle.KindGeneration},
			{Name: "booking", Kind: bundle.KindPlain, OrderPaths: []string{service.OrderPath}},
		},
		Models:   []bundle.Model{{ID: testModel, Service: "tagger"}},
		Adapters: []bundle.Adapter{{ID: "small-de", Model: testModel}},
	}}
	for _, upstream := range upstreams {
		u := bundle.Upstream{ID: upstream.id, Service: "booking", Address: upstream.address}
		if upstream.engine != nil {
			u.Service = "tagger"
			data.Replicas = append(data.Replicas, Replica{Upstream: upstream.id, Model: testModel, Ready: true})
		}
		data.Bundle.Upstreams = append(data.Bundle.Upstreams, u)
	}
	return data
}

// sharedView is a view source that several entries can share. It merges their reports into the view,
// as the control processes of all instances do.
type sharedView struct {
	mu   sync.Mutex // guards data
	data ViewData
}

func (s *sharedView) View() *View {
	s.mu.Lock()
	defer s.mu.Unlock()
	return NewView(s.data)
}

func (s *sharedView) Report(_ context.Context, r Report) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.data.Leaving = append(slices.Clone(s.data.Leaving), r.Leaving...)
	s.data.Suspects = append(slices.Clone(s.data.Suspects), r.Suspects...)
	return nil
}

// memoryClaims implements Claims in memory.
type memoryClaims struct {
	mu          sync.Mutex // guards the fields below
	claims      map[order.Key]*claimState
	claimErr    error
	loseAnswers bool // claims take effect but their answers are lost
	// ignoreFingerprint accepts every resend under a key as the same order.
	ignoreFingerprint bool
}

type claimState struct {
	fingerprint order.Fingerprint
	finished    bool
	result      order.Result
}

func newMemoryClaims() *memoryClaims { return &memoryClaims{claims: make(map[order.Key]*claimState)} }

// memoryPollInterval is the time between checks of a running order.
const memoryPollInterval = 5 * time.Millisecond

// Claim implements Claims. It waits while the order is running.
func (m *memoryClaims) Claim(ctx context.Context, c order.Claim) (order.Answer, error) {
	for {
		answer, err := m.claimOnce(c)
		if err != nil || answer.State != order.ClaimRunning || !pause.For(ctx, memoryPollInterval) {
			return answer, err
		}
	}
}

func (m *memoryClaims) claimOnce(c order.Claim) (order.Answer, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.claimErr != nil {
		return order.Answer{}, m.claimErr
	}
	state, ok := m.claims[c.Key]
	switch {
	case !ok:
		m.claims[c.Key] = &claimState{fingerprint: c.Fingerprint}
		if m.loseAnswers {
			return order.Answer{}, context.DeadlineExceeded
		}
		return order.Answer{State: order.ClaimGranted, Token: "token"}, nil
	case state.fingerprint != c.Fingerprint && !m.ignoreFingerprint:
		return order.Answer{State: order.ClaimMismatch}, nil
	case state.finished:
		return order.Answer{State: order.ClaimFinished, Result: state.result}, nil
	default:
		return order.Answer{State: order.ClaimRunning}, nil
	}
}

func (m *memoryClaims) Finish(_ context.Context, c order.Claim, _ string, r order.Result) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if r.Outcome == order.OutcomeNotRun {
		delete(m.claims, c.Key)
		return nil
	}
	*m.claims[c.Key] = claimState{fingerprint: c.Fingerprint, finished: true, result: r}
	return nil
}

// testEntry is a running entry.
type testEntry struct {
	*Server
	url        string
	operations string
	signals    chan os.Signal
	ended      chan error
	cancel     context.CancelFunc
}

func defaultSettings(t *testing.T) Settings {
	t.Helper()
	var s Settings
	_, err := settings.Parse(settings.Program{Name: "entry", Stdout: io.Discard, Stderr: io.Discard}, &s,
		[]string{"--instance-id=i1", "--instance-zone=a"})
	assert.NilError(t, err)
	return s
}

func testSettings(t *testing.T) Settings {
	t.Helper()
	s := defaultSettings(t)
	s.Upstreams.IdleTimeout = 200 * time.Millisecond
	s.Upstreams.FirstByteTimeout = 600 * time.Millisecond
	s.Upstreams.RetryShare = 1
	s.Upstreams.SuspectFor = time.Hour
	s.Upstreams.EjectFor = 300 * time.Millisecond
	s.Upstreams.Settle = 300 * time.Millisecond
	s.Queue.MaxWait = 5 * time.Second
	s.Shutdown.BalancerLag = 0
	return s
}

func startEntry(t *testing.T, views ViewSource, claims Claims, change func(*Settings)) *testEntry {
	t.Helper()
	s := testSettings(t)
	if change != nil {
		change(&s)
	}
	reporter, _ := views.(Reporter)
	server, err := New(s, Dependencies{Views: views, Claims: claims, Reporter: reporter, Log: zerolog.New(zerolog.NewTestWriter(t))})
	assert.NilError(t, err)
	callers, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	operations, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	e := &testEntry{
		Server: server, url: "http://" + callers.Addr().String(), operations: "http://" + operations.Addr().String(),
		signals: make(chan os.Signal, 2), ended: make(chan error, 1), cancel: cancel,
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		e.ended <- server.Serve(ctx, callers, operations, e.signals)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
		waitCtx, stop := context.WithTimeout(context.Background(), eventTimeout)
		defer stop()
		assert.NilError(t, server.drain.waitIdle(waitCtx))
		server.Close()
	})
	return e
}

// testResponse is the complete answer to a request of a test.
type testResponse struct {
	status int
	header http.Header
	body   string
	err    error
}

func (r testResponse) failure(t *testing.T) httpapi.ErrorDetail {
	t.Helper()
	var body httpapi.ErrorBody
	assert.NilError(t, json.Unmarshal([]byte(r.body), &body), "%d %s", r.status, r.body)
	return body.Error
}

// client keeps no idle connections, so that its goroutines end with a test.
var client = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

type header struct{ name, value string }

func request(method, url, body string, headers ...header) *http.Request {
	r, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		panic(err)
	}
	r.Header.Set(httpapi.HeaderDeadline, fmt.Sprint(testDeadline.Milliseconds()))
	for _, h := range headers {
		r.Header.Set(h.name, h.value)
	}
	return r
}

func doRequest(r *http.Request) testResponse {
	response, err := client.Do(r)
	if err != nil {
		return testResponse{err: err}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return testResponse{response.StatusCode, response.Header, string(body), err}
}

func (e *testEntry) do(method, path, body string, headers ...header) testResponse {
	return doRequest(request(method, e.url+path, body, headers...))
}

func chatBody(content string, tokens int, stream bool) string {
	return fmt.Sprintf(`{"model":%q,"messages":[{"role":"user","content":%q}],"max_tokens":%d,"stream":%v}`, testModel, content, tokens, stream)
}

// fillRetryBudgets records ten requests for each service, so that its retry budget allows retries.
func (e *testEntry) fillRetryBudgets() {
	view := e.views.View()
	for _, service := range view.Bundle.Services {
		for range 10 {
			e.table.recordRequest(&call{view: view, service: service})
		}
	}
}

// sendOrder sends the order with the given id.
func (e *testEntry) sendOrder(id string, headers ...header) testResponse {
	return e.do(http.MethodPost, "/services/booking/orders/new", id, headers...)
}

// streamResult is what a caller received of a stream, over one or more connections.
type streamResult struct {
	text       string
	lastOffset int
	complete   bool
	failure    *httpapi.ErrorDetail
	events     *sse.Reader
}

// attach sets the body from which the next events are read.
func (s *streamResult) attach(body io.Reader) { s.events = sse.NewReader(body, 1<<20) }

// readStream reads events until the offset limit, the end mark, an error event or the end of the
// connection. It checks their ids and offsets and adds them to got.
func readStream(t *testing.T, id string, got *streamResult, limit int) {
	t.Helper()
	for got.lastOffset < limit {
		event, err := got.events.Next()
		if err != nil {
			return
		}
		if event.Name == eventErrorName {
			var failure httpapi.ErrorBody
			assert.NilError(t, json.Unmarshal(event.Data, &failure))
			got.failure = &failure.Error
			return
		}
		if bytes.Equal(event.Data, []byte(httpapi.DoneMarker)) {
			got.complete = true
			return
		}
		var chunk httpapi.Chunk
		assert.NilError(t, json.Unmarshal(event.Data, &chunk))
		assert.Equal(t, chunk.ID, id)
		assert.Equal(t, event.ID, got.lastOffset+1)
		got.lastOffset = event.ID
		got.text += chunk.Choices[0].Delta.Content
	}
}

func (e *testEntry) streamChat(t *testing.T, id, content string, tokens int) streamResult {
	t.Helper()
	var got streamResult
	response, err := client.Do(request(http.MethodPost, e.url+chatPath, chatBody(content, tokens, true), header{httpapi.HeaderRequestID, id}))
	assert.NilError(t, err)
	defer response.Body.Close()
	got.attach(response.Body)
	readStream(t, id, &got, 1<<20)
	return got
}

// assertCompleteStream asserts that the stream ended with its end mark and has the expected text.
func assertCompleteStream(t *testing.T, got streamResult, content string, tokens int) {
	t.Helper()
	assert.Assert(t, got.failure == nil, "%+v", got.failure)
	assert.Assert(t, got.complete, "no end mark after %d events", got.lastOffset)
	assert.Equal(t, got.text, engine.Text(engine.Prompt(testModel, content), tokens))
}

// eventually waits until condition returns true, and fails the test after eventTimeout.
func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(eventTimeout); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if condition() {
			return
		}
	}
	t.Fatalf("condition not met in time: %s", what)
}

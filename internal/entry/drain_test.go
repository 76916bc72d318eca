package entry

import (
	"errors"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"savoryweir/internal/protocol/httpapi"
	"savoryweir/internal/standin/engine"
	"savoryweir/internal/standin/service"
	"savoryweir/internal/state/order"
)

// readiness returns the status of the readiness check, or zero if the entry does not answer.
func (e *testEntry) readiness(t *testing.T) int {
	t.Helper()
	response, err := client.Get(e.operations + "/readyz")
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	return response.StatusCode
}

// A signal arrives while a stream and an order are in progress. Both are completed, and so is a
// request that the load balancer sends before it notices the failing readiness check.
func TestShutdownCompletesRequestsInProgress(t *testing.T) {
	upstream1, upstream2 := startEngine(t, "e1"), startService(t, "s1")
	e := startEntry(t, &sharedView{data: viewWithUpstreams(upstream1, upstream2)}, newMemoryClaims(), func(s *Settings) {
		s.Shutdown.BalancerLag = 150 * time.Millisecond
	})
	upstream2.service.Inject(service.Fault{Kind: service.FaultSlow, DelayMillis: 200})
	var group sync.WaitGroup
	group.Go(func() { assertCompleteStream(t, e.streamChat(t, "r1", "hello", 400), "hello", 400) })
	group.Go(func() { assert.Check(t, e.sendOrder("o1", idempotencyKey("o1")).status == http.StatusOK) })
	eventually(t, "the stream and the order are in progress", func() bool {
		calls, background := e.drain.inProgress()
		return len(calls) == 2 && background == 1 && upstream1.engine.Started() == 1
	})
	e.signals <- syscall.SIGTERM
	eventually(t, "the readiness check fails", func() bool { return e.readiness(t) == http.StatusServiceUnavailable })
	assertCompleteStream(t, e.streamChat(t, "r2", "late", 3), "late", 3)
	group.Wait()
	assert.NilError(t, <-e.ended)
	assert.Equal(t, upstream2.service.RunsOf("o1"), 1)
}

// The caller's deadline passes while the order runs. The shutdown must wait until its result is recorded.
func TestShutdownWaitsForOrdersWhoseCallersDisconnected(t *testing.T) {
	upstream2 := startService(t, "s1")
	claims := newMemoryClaims()
	e := startEntry(t, &sharedView{data: viewWithUpstreams(upstream2)}, claims, nil)
	upstream2.service.Inject(service.Fault{Kind: service.FaultSlow, DelayMillis: 300})
	got := e.sendOrder("o1", idempotencyKey("o1"), header{httpapi.HeaderDeadline, "50"})
	assert.Equal(t, got.failure(t).Outcome, order.OutcomeUnknown)
	e.signals <- syscall.SIGTERM
	assert.NilError(t, <-e.ended)
	assert.Equal(t, claims.claims["o1"].result.Outcome, order.OutcomeRan)
}

// A stream that is longer than the handover time ends with an error event that asks the caller to
// retry. The caller resumes it at another entry without a gap.
func TestLongStreamIsHandedOverAtShutdown(t *testing.T) {
	upstream1 := startEngine(t, "e1")
	views := &sharedView{data: viewWithUpstreams(upstream1)}
	first := startEntry(t, views, nil, func(s *Settings) { s.Shutdown.HandoverTime = 50 * time.Millisecond })
	second := startEntry(t, views, nil, nil)
	body := chatBody("hello", 2000, true)
	response, err := client.Do(request(http.MethodPost, first.url+chatPath, body, header{httpapi.HeaderRequestID, "r1"}))
	assert.NilError(t, err)
	defer response.Body.Close()
	var got streamResult
	got.attach(response.Body)
	readStream(t, "r1", &got, 5)
	first.signals <- syscall.SIGTERM
	readStream(t, "r1", &got, 1<<20)
	assert.Assert(t, got.failure != nil)
	assert.Equal(t, got.failure.Code, httpapi.CodeStopping)
	assert.Assert(t, got.failure.RetryAfterSeconds > 0)
	assert.NilError(t, <-first.ended)
	resumed := request(http.MethodPost, second.url+chatPath, body, header{httpapi.HeaderRequestID, "r1"},
		header{httpapi.HeaderResumeOffset, itoa(got.lastOffset)})
	response, err = client.Do(resumed)
	assert.NilError(t, err)
	defer response.Body.Close()
	got.failure = nil
	got.attach(response.Body)
	readStream(t, "r1", &got, 1<<20)
	assertCompleteStream(t, got, "hello", 2000)
}

// A caller that requested one JSON answer can't resume it, so it is completed after the handover time.
func TestNonStreamedAnswerIsNotHandedOverAtShutdown(t *testing.T) {
	upstream1 := startEngine(t, "e1")
	e := startEntry(t, &sharedView{data: viewWithUpstreams(upstream1)}, nil, func(s *Settings) { s.Shutdown.HandoverTime = time.Millisecond })
	var group sync.WaitGroup
	group.Go(func() {
		got := e.do(http.MethodPost, chatPath, chatBody("hello", 300, false))
		assert.Check(t, got.status == http.StatusOK, got.body)
	})
	eventually(t, "the request is in progress", func() bool { return upstream1.engine.Started() == 1 })
	e.signals <- syscall.SIGTERM
	group.Wait()
	assert.NilError(t, <-e.ended)
}

func TestSecondSignalEndsTheProcessAtOnce(t *testing.T) {
	upstream1 := startEngine(t, "e1")
	e := startEntry(t, &sharedView{data: viewWithUpstreams(upstream1)}, nil, nil)
	upstream1.engine.Inject(engine.Fault{Kind: engine.FaultSlow, Factor: 50})
	var group sync.WaitGroup
	group.Go(func() {
		response, err := client.Do(request(http.MethodPost, e.url+chatPath, chatBody("hello", 1000, true)))
		if err == nil {
			var got streamResult
			got.attach(response.Body)
			readStream(t, response.Header.Get(httpapi.HeaderRequestID), &got, 1<<20)
			assert.Check(t, !got.complete)
			_ = response.Body.Close()
		}
	})
	eventually(t, "the stream is in progress", func() bool { return upstream1.engine.Started() == 1 })
	e.signals <- syscall.SIGTERM
	e.signals <- syscall.SIGTERM
	assert.Assert(t, errors.Is(<-e.ended, ErrRequestsAborted))
	group.Wait()
}

func TestShutdownCompletesQueuedRequests(t *testing.T) {
	upstream1 := startEngine(t, "e1")
	e := startEntry(t, &sharedView{data: viewWithUpstreams(upstream1)}, nil, func(s *Settings) { s.Upstreams.MaxInFlight = 1 })
	var group sync.WaitGroup
	for i := range 6 {
		group.Go(func() { assertCompleteStream(t, e.streamChat(t, "r"+itoa(i), "hello", 20), "hello", 20) })
	}
	eventually(t, "all requests are in progress", func() bool {
		calls, _ := e.drain.inProgress()
		return len(calls) == 6
	})
	e.signals <- syscall.SIGTERM
	group.Wait()
	assert.NilError(t, <-e.ended)
}

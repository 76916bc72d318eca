package entry

import (
	"fmt"
	"net/http"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"savoryweir/internal/protocol/httpapi"
	"savoryweir/internal/standin/engine"
)

// countCrashed returns the number of engines whose server has ended.
func countCrashed(engines []*testUpstream) int {
	n := 0
	for _, e := range engines {
		response, err := client.Get("http://" + e.address + "/healthz")
		if err != nil {
			n++
			continue
		}
		_ = response.Body.Close()
	}
	return n
}

// startEngines starts engines with the ids e0, e1 and so on.
func startEngines(t *testing.T, count int) []*testUpstream {
	t.Helper()
	var engines []*testUpstream
	for i := range count {
		engines = append(engines, startEngine(t, fmt.Sprintf("e%d", i)))
	}
	return engines
}

// Callers send a request that ends each engine that runs it, concurrently and through three entries.
// Without shared suspect records each entry would lose engines of its own.
func TestCrashingRequestEndsAtMostTwoUpstreamsAcrossEntries(t *testing.T) {
	engines := startEngines(t, 5)
	views := &sharedView{data: viewWithUpstreams(engines...)}
	entries := []*testEntry{startEntry(t, views, nil, nil), startEntry(t, views, nil, nil), startEntry(t, views, nil, nil)}
	for _, e := range entries {
		e.fillRetryBudgets()
	}
	var group sync.WaitGroup
	for i := range 9 {
		group.Go(func() {
			got := entries[i%3].do(http.MethodPost, chatPath, chatBody(crashMarker, 20, i%2 == 0), header{httpapi.HeaderDeadline, "1500"})
			assert.Check(t, got.status >= 400, got.body)
		})
	}
	group.Wait()
	for i := range 6 {
		got := entries[i%3].do(http.MethodPost, chatPath, chatBody(crashMarker, 20, false), header{httpapi.HeaderDeadline, "800"})
		assert.Check(t, got.status >= 400, got.body)
	}
	assert.Assert(t, countCrashed(engines) <= 2, "%d engines crashed", countCrashed(engines))
}

// The second engine ends while it runs only the suspect, so that request is identified as the cause
// and rejected. The others that ran on the first engine are answered.
func TestCrashingRequestIsRejectedAndOthersAreAnswered(t *testing.T) {
	engines := startEngines(t, 4)
	e := startEntry(t, &sharedView{data: viewWithUpstreams(engines...)}, nil, nil)
	e.fillRetryBudgets()
	var group sync.WaitGroup
	for i := range 12 {
		group.Go(func() {
			content := fmt.Sprintf("innocent %d", i)
			assertCompleteStream(t, e.streamChat(t, fmt.Sprintf("r%d", i), content, 300), content, 300)
		})
	}
	eventually(t, "the first two engines have started four requests", func() bool { return engines[0].engine.Started()+engines[1].engine.Started() >= 4 })
	got := e.do(http.MethodPost, chatPath, chatBody(crashMarker, 20, false))
	group.Wait()
	assert.Equal(t, got.status, http.StatusUnprocessableEntity, got.body)
	assert.Equal(t, got.failure(t).Code, httpapi.CodeRequestSuspect)
	assert.Equal(t, countCrashed(engines), 2)
	for i := range 12 {
		content := fmt.Sprintf("innocent %d", i)
		assertCompleteStream(t, e.streamChat(t, "again", content, 5), content, 5)
	}
}

// A request without attempts left must still be answered as a suspect, and its caller must not be
// asked to send it again.
func TestCrashingRequestIsReportedAsSuspectWithoutAttemptsLeft(t *testing.T) {
	engines := startEngines(t, 4)
	e := startEntry(t, &sharedView{data: viewWithUpstreams(engines...)}, nil, func(s *Settings) { s.Upstreams.MaxAttempts = 2 })
	e.fillRetryBudgets()
	got := e.do(http.MethodPost, chatPath, chatBody(crashMarker, 20, false))
	assert.Equal(t, got.status, http.StatusUnprocessableEntity, got.body)
	assert.Equal(t, got.failure(t).Code, httpapi.CodeRequestSuspect)
	assert.Equal(t, countCrashed(engines), 2)
}

// The connections break while the processes of the engines keep running.
func TestBrokenConnectionsMakeNoRequestSuspect(t *testing.T) {
	engines := startEngines(t, 2)
	e := startEntry(t, &sharedView{data: viewWithUpstreams(engines...)}, nil, nil)
	e.fillRetryBudgets()
	for _, u := range engines {
		u.engine.Inject(engine.Fault{Kind: engine.FaultCut, After: 2, Count: 3})
	}
	assertCompleteStream(t, e.streamChat(t, "r1", "hello", 30), "hello", 30)
	assertCompleteStream(t, e.streamChat(t, "r2", "hello", 30), "hello", 30)
	assert.Equal(t, counterSum(t, e, "upstream_deaths_total"), 0.0)
}

func TestStreamsOfStoppedUpstreamAreResumed(t *testing.T) {
	engines := startEngines(t, 3)
	e := startEntry(t, &sharedView{data: viewWithUpstreams(engines...)}, nil, nil)
	e.fillRetryBudgets()
	var group sync.WaitGroup
	for i := range 12 {
		group.Go(func() {
			content := fmt.Sprintf("content %d", i)
			assertCompleteStream(t, e.streamChat(t, "r1", content, 200), content, 200)
		})
	}
	eventually(t, "the first engine runs two requests", func() bool { return engines[0].engine.Load().Running >= 2 })
	engines[0].stop()
	group.Wait()
}

// The only upstream is marked as down, so the request waits until a probe reaches it.
func TestUnreachableUpstreamIsUsedAgainAfterProbe(t *testing.T) {
	upstream1 := startEngine(t, "e1")
	e := startEntry(t, &sharedView{data: viewWithUpstreams(upstream1)}, nil, func(s *Settings) { s.Upstreams.ProbeEvery = 50 * 1e6 })
	e.table.setDown(e.now(), "e1")
	assertCompleteStream(t, e.streamChat(t, "r1", "hello", 3), "hello", 3)
}

func TestLeavingUpstreamGetsNoNewRequests(t *testing.T) {
	t.Run("announced in its answers", func(t *testing.T) {
		engines := startEngines(t, 2)
		views := &sharedView{data: viewWithUpstreams(engines...)}
		e, other := startEntry(t, views, nil, nil), startEntry(t, views, nil, nil)
		engines[0].engine.SetLeaving(true)
		for i := range 20 {
			e.streamChat(t, "r1", fmt.Sprint(i), 2)
		}
		eventually(t, "the other entry's view lists the upstream as leaving", func() bool { return views.View().leaving["e0"] })
		before := engines[0].engine.Started()
		assert.Assert(t, before <= 1, "%d requests before the first answer", before)
		for i := range 20 {
			assertCompleteStream(t, e.streamChat(t, "r1", fmt.Sprint(i), 2), fmt.Sprint(i), 2)
			assertCompleteStream(t, other.streamChat(t, "r1", fmt.Sprint(i), 2), fmt.Sprint(i), 2)
		}
		assert.Equal(t, engines[0].engine.Started(), before)
	})
	t.Run("listed in the view", func(t *testing.T) {
		engines := startEngines(t, 2)
		data := viewWithUpstreams(engines...)
		data.Leaving = append(data.Leaving, "e0")
		e := startEntry(t, &sharedView{data: data}, nil, nil)
		for i := range 20 {
			assertCompleteStream(t, e.streamChat(t, "r1", fmt.Sprint(i), 2), fmt.Sprint(i), 2)
		}
		assert.Equal(t, engines[0].engine.Started(), 0)
	})
}

// The request arrives before the view lists a replica of its model. It must be counted as demand,
// which causes the model to be loaded, and find the replica in the next view.
func TestQueuedRequestUsesModelLoadedMeanwhile(t *testing.T) {
	upstream1 := startEngine(t, "e1")
	views := &sharedView{data: viewWithUpstreams(upstream1)}
	replicas := views.data.Replicas
	views.data.Replicas = nil
	e := startEntry(t, views, nil, nil)
	var group sync.WaitGroup
	group.Go(func() { assertCompleteStream(t, e.streamChat(t, "r1", "hello", 3), "hello", 3) })
	eventually(t, "the request waits", func() bool { return e.queueLength("tagger") == 1 })
	demand := e.demand.drain()
	views.mu.Lock()
	views.data.Replicas = replicas
	views.mu.Unlock()
	group.Wait()
	assert.Equal(t, len(demand), 1, "demand is counted while the request waits")
}

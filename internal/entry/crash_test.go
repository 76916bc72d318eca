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

// crashed counts the engines whose server has ended.
func crashed(engines []*node) int {
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

func startEngines(t *testing.T, count int) []*node {
	t.Helper()
	var engines []*node
	for i := range count {
		engines = append(engines, startEngine(t, fmt.Sprintf("e%d", i)))
	}
	return engines
}

func TestCrashingRequestKillsAtMostTwoUpstreamsOverAllEntries(t *testing.T) {
	engines := startEngines(t, 5)
	views := &sharedView{data: viewOf(engines...)}
	entries := []*testEntry{startEntry(t, views, nil, nil), startEntry(t, views, nil, nil), startEntry(t, views, nil, nil)}
	for _, e := range entries {
		e.earnRetries()
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
	assert.Assert(t, crashed(engines) <= 2, "%d engines crashed", crashed(engines))
}

// The second upstream dies under the suspect alone, so the request is named as the cause.
func TestCrashingRequestIsRefusedAndInnocentOnesAreAnswered(t *testing.T) {
	engines := startEngines(t, 4)
	e := startEntry(t, &sharedView{data: viewOf(engines...)}, nil, nil)
	e.earnRetries()
	var group sync.WaitGroup
	for i := range 12 {
		group.Go(func() {
			content := fmt.Sprintf("innocent %d", i)
			assertWhole(t, e.stream(t, fmt.Sprintf("r%d", i), content, 300), content, 300)
		})
	}
	eventually(t, "all engines have work", func() bool { return engines[0].engine.Started()+engines[1].engine.Started() >= 4 })
	got := e.do(http.MethodPost, chatPath, chatBody(crashMarker, 20, false))
	group.Wait()
	assert.Equal(t, got.status, http.StatusUnprocessableEntity, got.body)
	assert.Equal(t, got.failure(t).Code, httpapi.CodeRequestSuspect)
	assert.Equal(t, crashed(engines), 2)
	for i := range 12 {
		content := fmt.Sprintf("innocent %d", i)
		assertWhole(t, e.stream(t, "again", content, 5), content, 5)
	}
}

// Without attempts left the answer must still name the request as the cause, and
// not ask its caller to send it again.
func TestCrashingRequestIsNamedWithoutAttemptsLeft(t *testing.T) {
	engines := startEngines(t, 4)
	e := startEntry(t, &sharedView{data: viewOf(engines...)}, nil, func(s *Settings) { s.Upstreams.MaxAttempts = 2 })
	e.earnRetries()
	got := e.do(http.MethodPost, chatPath, chatBody(crashMarker, 20, false))
	assert.Equal(t, got.status, http.StatusUnprocessableEntity, got.body)
	assert.Equal(t, got.failure(t).Code, httpapi.CodeRequestSuspect)
	assert.Equal(t, crashed(engines), 2)
}

func TestCutConnectionsCondemnNoRequest(t *testing.T) {
	engines := startEngines(t, 2)
	e := startEntry(t, &sharedView{data: viewOf(engines...)}, nil, nil)
	e.earnRetries()
	for _, n := range engines {
		n.engine.Inject(engine.Fault{Kind: engine.FaultCut, After: 2, Count: 3})
	}
	assertWhole(t, e.stream(t, "r1", "hello", 30), "hello", 30)
	assertWhole(t, e.stream(t, "r2", "hello", 30), "hello", 30)
	assert.Equal(t, counterOf(t, e, "upstream_deaths_total"), 0.0)
}

func TestStreamsOfADeadUpstreamAreResumed(t *testing.T) {
	engines := startEngines(t, 3)
	e := startEntry(t, &sharedView{data: viewOf(engines...)}, nil, nil)
	e.earnRetries()
	var group sync.WaitGroup
	for i := range 12 {
		group.Go(func() {
			content := fmt.Sprintf("content %d", i)
			assertWhole(t, e.stream(t, "r1", content, 200), content, 200)
		})
	}
	eventually(t, "the first engine has work", func() bool { return engines[0].engine.Load().Running >= 2 })
	engines[0].stop()
	group.Wait()
}

func TestLostUpstreamComesBack(t *testing.T) {
	one := startEngine(t, "e1")
	e := startEntry(t, &sharedView{data: viewOf(one)}, nil, func(s *Settings) { s.Upstreams.ProbeEvery = 50 * 1e6 })
	e.table.setDown(e.now(), "e1")
	assertWhole(t, e.stream(t, "r1", "hello", 3), "hello", 3)
}

func TestLeavingUpstreamGetsNoNewWork(t *testing.T) {
	t.Run("by its own answers", func(t *testing.T) {
		engines := startEngines(t, 2)
		views := &sharedView{data: viewOf(engines...)}
		e, other := startEntry(t, views, nil, nil), startEntry(t, views, nil, nil)
		engines[0].engine.SetLeaving(true)
		for i := range 20 {
			e.stream(t, "r1", fmt.Sprint(i), 2)
		}
		eventually(t, "the other entry hears of it", func() bool { return views.View().leaving["e0"] })
		before := engines[0].engine.Started()
		assert.Assert(t, before <= 1, "%d requests before the first answer", before)
		for i := range 20 {
			assertWhole(t, e.stream(t, "r1", fmt.Sprint(i), 2), fmt.Sprint(i), 2)
			assertWhole(t, other.stream(t, "r1", fmt.Sprint(i), 2), fmt.Sprint(i), 2)
		}
		assert.Equal(t, engines[0].engine.Started(), before)
	})
	t.Run("by the view", func(t *testing.T) {
		engines := startEngines(t, 2)
		data := viewOf(engines...)
		data.Leaving = append(data.Leaving, "e0")
		e := startEntry(t, &sharedView{data: data}, nil, nil)
		for i := range 20 {
			assertWhole(t, e.stream(t, "r1", fmt.Sprint(i), 2), fmt.Sprint(i), 2)
		}
		assert.Equal(t, engines[0].engine.Started(), 0)
	})
}

func TestWaitingRequestFindsAModelThatIsLoadedMeanwhile(t *testing.T) {
	one := startEngine(t, "e1")
	views := &sharedView{data: viewOf(one)}
	replicas := views.data.Replicas
	views.data.Replicas = nil
	e := startEntry(t, views, nil, nil)
	var group sync.WaitGroup
	group.Go(func() { assertWhole(t, e.stream(t, "r1", "hello", 3), "hello", 3) })
	eventually(t, "the request waits", func() bool { return e.queued("tagger") == 1 })
	demand := e.demand.drain()
	views.mu.Lock()
	views.data.Replicas = replicas
	views.mu.Unlock()
	group.Wait()
	assert.Equal(t, len(demand), 1, "demand is counted while the request waits")
}

package entry

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"savoryweir/internal/protocol/httpapi"
	"savoryweir/internal/standin/engine"
	"savoryweir/internal/standin/service"
	"savoryweir/internal/state/timeline"
)

// Every fault of an engine must end in a retry, so that the caller gets each event once.
func TestStreamIsCompleteAndHasItsOwnIDUnderUpstreamFaults(t *testing.T) {
	for _, test := range []struct {
		name   string
		faults []engine.Fault
	}{
		{"no fault", nil},
		{"idle before the first event", []engine.Fault{{Kind: engine.FaultSilent, Count: 1}}},
		{"idle after five events", []engine.Fault{{Kind: engine.FaultSilent, After: 5, Count: 1}}},
		{"connection broken before the first event", []engine.Fault{{Kind: engine.FaultCut, Count: 1}}},
		{"connection broken after five events", []engine.Fault{{Kind: engine.FaultCut, After: 5, Count: 1}}},
		{"event repeated", []engine.Fault{{Kind: engine.FaultDoubled, After: 5, Count: 1}}},
		{"id of another request", []engine.Fault{{Kind: engine.FaultCrossed, After: 5, Count: 1}}},
		{"no end mark", []engine.Fault{{Kind: engine.FaultNoEnd, Count: 1}}},
		{"request refused", []engine.Fault{{Kind: engine.FaultRefuse, Count: 1}}},
		{"connection broken, then wrong offset", []engine.Fault{{Kind: engine.FaultCut, After: 5, Count: 1}, {Kind: engine.FaultWrongOffset, Count: 1}}},
		{"idle, then id of another request", []engine.Fault{{Kind: engine.FaultSilent, After: 5, Count: 1}, {Kind: engine.FaultCrossed, After: 2, Count: 1}}},
	} {
		for _, stream := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, stream %v", test.name, stream), func(t *testing.T) {
				t.Parallel()
				upstream1, upstream2 := startEngine(t, "e1"), startEngine(t, "e2")
				e := startEntry(t, &sharedView{data: viewWithUpstreams(upstream1, upstream2)}, nil, nil)
				e.fillRetryBudgets()
				for _, f := range test.faults {
					upstream1.engine.Inject(f)
					upstream2.engine.Inject(f)
				}
				if stream {
					assertCompleteStream(t, e.streamChat(t, "r1", "hello", 40), "hello", 40)
					return
				}
				got := e.do(http.MethodPost, chatPath, chatBody("hello", 40, false))
				assert.Equal(t, got.status, http.StatusOK, got.body)
				assert.Assert(t, contains(got.body, engine.Text(engine.Prompt(testModel, "hello"), 40)), got.body)
			})
		}
	}
}

// All callers use the same request id, and the engines repeat events or send those of other requests.
func TestConcurrentStreamsWithOneIDGetTheirOwnAnswers(t *testing.T) {
	upstream1, upstream2 := startEngine(t, "e1"), startEngine(t, "e2")
	e := startEntry(t, &sharedView{data: viewWithUpstreams(upstream1, upstream2)}, nil, nil)
	upstream1.engine.Inject(engine.Fault{Kind: engine.FaultCrossed, After: 3, Count: 5})
	upstream2.engine.Inject(engine.Fault{Kind: engine.FaultDoubled, After: 4, Count: 5})
	var group sync.WaitGroup
	for i := range 24 {
		group.Go(func() {
			content := fmt.Sprintf("content %d", i)
			assertCompleteStream(t, e.streamChat(t, "same-id", content, 20), content, 20)
		})
	}
	group.Wait()
}

// The first entry ends after ten events. The second one continues from the offset that the caller sends.
func TestCallerResumesStreamAtAnotherEntry(t *testing.T) {
	upstream1 := startEngine(t, "e1")
	views := &sharedView{data: viewWithUpstreams(upstream1)}
	first, second := startEntry(t, views, nil, nil), startEntry(t, views, nil, nil)
	body := chatBody("hello", 60, true)
	response, err := client.Do(request(http.MethodPost, first.url+chatPath, body, header{httpapi.HeaderRequestID, "r1"}))
	assert.NilError(t, err)
	defer response.Body.Close()
	var got streamResult
	got.attach(response.Body)
	readStream(t, "r1", &got, 10)
	first.cancel()
	_, _ = io.Copy(io.Discard, response.Body)
	response, err = client.Do(request(http.MethodPost, second.url+chatPath, body,
		header{httpapi.HeaderRequestID, "r1"}, header{httpapi.HeaderResumeOffset, "10"}))
	assert.NilError(t, err)
	defer response.Body.Close()
	got.attach(response.Body)
	readStream(t, "r1", &got, 1<<20)
	assertCompleteStream(t, got, "hello", 60)
}

// One connection stops delivering bytes while the engine answers the probe. Only the connection is
// replaced, and the engine is not marked as down.
func TestIdleConnectionIsReplacedWhileOtherStreamsStayOnTheUpstream(t *testing.T) {
	engines := startEngines(t, 2)
	e := startEntry(t, &sharedView{data: viewWithUpstreams(engines...)}, nil, nil)
	e.fillRetryBudgets()
	for _, u := range engines {
		u.engine.Inject(engine.Fault{Kind: engine.FaultSilent, Match: "victim", After: 5, Count: 1})
	}
	var group sync.WaitGroup
	for i := range 4 {
		content := fmt.Sprintf("bystander %d", i)
		group.Go(func() { assertCompleteStream(t, e.streamChat(t, "b"+content[10:], content, 500), content, 500) })
	}
	assertCompleteStream(t, e.streamChat(t, "r1", "victim", 20), "victim", 20)
	group.Wait()
	sends := e.routedUpstreams("r1")
	assert.Equal(t, len(sends), 2)
	assert.Equal(t, sends[0], sends[1], "the connection is replaced, not the upstream")
	assert.Equal(t, len(e.table.downUpstreams()), 0)
	assert.Equal(t, engines[0].engine.Started()+engines[1].engine.Started(), 6, "each bystander once and the victim twice")
}

// routedUpstreams returns the upstreams of a request's attempts, in order.
func (e *testEntry) routedUpstreams(id string) []string {
	var upstreams []string
	for _, event := range e.recorder.Events() {
		if event.Kind == timeline.KindRequestRouted && event.Request == id {
			upstreams = append(upstreams, event.Upstream)
		}
	}
	return upstreams
}

func TestReadIsAnsweredUnderUpstreamFaults(t *testing.T) {
	for _, kind := range []service.FaultKind{
		service.FaultHang, service.FaultFail, service.FaultRunThenCut, service.FaultCutAnswer, service.FaultCrossed, service.FaultRefuse,
	} {
		t.Run(string(kind), func(t *testing.T) {
			t.Parallel()
			upstream1, upstream2 := startService(t, "s1"), startService(t, "s2")
			e := startEntry(t, &sharedView{data: viewWithUpstreams(upstream1, upstream2)}, nil, nil)
			e.fillRetryBudgets()
			upstream1.service.Inject(service.Fault{Kind: kind, Count: 1})
			upstream2.service.Inject(service.Fault{Kind: kind, Count: 1})
			got := e.do(http.MethodGet, "/services/booking/status", "")
			assert.Equal(t, got.status, http.StatusOK, got.body)
			assert.Equal(t, got.header.Get(httpapi.HeaderOutcome), "ran")
		})
	}
}

// Every read fails, so only the budget of 0.25 retries for each of the 20 requests limits the retries.
func TestRetriesStayWithinTheRetryBudget(t *testing.T) {
	upstream1, upstream2 := startService(t, "s1"), startService(t, "s2")
	e := startEntry(t, &sharedView{data: viewWithUpstreams(upstream1, upstream2)}, nil, func(s *Settings) {
		s.Upstreams.RetryShare = 0.25
		s.Upstreams.EjectAfter = 1000
	})
	for _, u := range []*testUpstream{upstream1, upstream2} {
		u.service.Inject(service.Fault{Kind: service.FaultFail})
	}
	for range 20 {
		got := e.do(http.MethodGet, "/services/booking/status", "")
		assert.Equal(t, got.status, http.StatusInternalServerError)
	}
	assert.Equal(t, counterSum(t, e, "retries_total"), 5.0)
}

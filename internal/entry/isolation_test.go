package entry

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"savoryweir/internal/protocol/httpapi"
	"savoryweir/internal/standin/service"
	"savoryweir/internal/state/bundle"
)

// viewWithTwoServices returns a view of the plain services booking and flights, with one upstream each.
func viewWithTwoServices(faulty, healthy *testUpstream) ViewData {
	data := viewWithUpstreams(faulty, healthy)
	data.Bundle.Services = append(data.Bundle.Services, bundle.Service{Name: "flights", Kind: bundle.KindPlain})
	data.Bundle.Upstreams[1].Service = "flights"
	return data
}

// Requests to a service that never answers fill its reserved and the shared slots. The slots that are
// reserved for the other service must stay free.
func TestHungServiceLeavesRequestSlotsToOthers(t *testing.T) {
	faulty, healthy := startService(t, "s1"), startService(t, "s2")
	e := startEntry(t, &sharedView{data: viewWithTwoServices(faulty, healthy)}, nil, func(s *Settings) {
		s.Callers.Reserved, s.Callers.Shared, s.Callers.MaxStreams = 4, 4, 20
		s.Upstreams.FirstByteTimeout = eventTimeout
	})
	faulty.service.Inject(service.Fault{Kind: service.FaultHang})
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	for range 20 {
		group.Go(func() { doRequest(request(http.MethodGet, e.url+"/services/booking/status", "").WithContext(ctx)) })
	}
	eventually(t, "the hung service holds its reserved and the shared slots, and the other requests are rejected", func() bool {
		calls, _ := e.drain.inProgress()
		return len(calls) == 8 && counterSum(t, e, "failures_total") == 12
	})
	for range 50 {
		assert.Equal(t, e.do(http.MethodGet, "/services/flights/status", "").status, http.StatusOK)
	}
	cancel()
	group.Wait()
}

// Callers whose deadline is shorter than a usual answer must not cause the ejection of healthy upstreams.
func TestShortDeadlinesDoNotEjectUpstreams(t *testing.T) {
	upstream1, upstream2 := startService(t, "s1"), startService(t, "s2")
	data := viewWithUpstreams(upstream1, upstream2)
	e := startEntry(t, &sharedView{data: data}, nil, func(s *Settings) {
		s.Upstreams.IdleTimeout, s.Upstreams.EjectAfter, s.Upstreams.EjectFor = eventTimeout, 3, eventTimeout
	})
	for _, u := range []*testUpstream{upstream1, upstream2} {
		u.service.Inject(service.Fault{Kind: service.FaultSlow, DelayMillis: 30, Count: 20})
	}
	for range 20 {
		e.do(http.MethodGet, "/services/booking/status", "", header{httpapi.HeaderDeadline, "5"})
	}
	v := e.views.View()
	e.table.mu.Lock()
	defer e.table.mu.Unlock()
	for _, c := range e.table.candidates(e.now(), &call{view: v, service: v.Bundle.Services[1]}) {
		assert.Assert(t, !c.Ejected, c.Upstream)
	}
}

// While one service is faulty, at least 98 of 100 requests to the other service must meet their
// deadline. Without the fault all of them do.
func TestFaultyServiceKeepsAttainmentOfOthers(t *testing.T) {
	const requests, allowedMisses = 300, 300 * 2 / 100
	for _, faults := range [][]service.Fault{
		{{Kind: service.FaultHang}},
		{{Kind: service.FaultFail}},
		{{Kind: service.FaultSlow, DelayMillis: 200}},
		{{Kind: service.FaultRunThenCut}},
		{{Kind: service.FaultFail, Count: 5}, {Kind: service.FaultHang, Count: 5}, {Kind: service.FaultSlow, DelayMillis: 50, Count: 5}},
	} {
		name := string(faults[0].Kind)
		if len(faults) > 1 {
			name = "several faults in sequence"
		}
		t.Run(name, func(t *testing.T) {
			faulty, healthy := startService(t, "s1"), startService(t, "s2")
			e := startEntry(t, &sharedView{data: viewWithTwoServices(faulty, healthy)}, nil, nil)
			for _, f := range faults {
				faulty.service.Inject(f)
			}
			ctx, cancel := context.WithCancel(context.Background())
			var callers sync.WaitGroup
			for range 16 {
				callers.Go(func() {
					for ctx.Err() == nil {
						doRequest(request(http.MethodGet, e.url+"/services/booking/status", "", header{httpapi.HeaderDeadline, "300"}).WithContext(ctx))
					}
				})
			}
			var met atomic.Int32
			var group sync.WaitGroup
			for range 4 {
				group.Go(func() {
					for range requests / 4 {
						if e.do(http.MethodGet, "/services/flights/status", "", header{httpapi.HeaderDeadline, "2000"}).status == http.StatusOK {
							met.Add(1)
						}
					}
				})
			}
			group.Wait()
			cancel()
			callers.Wait()
			assert.Assert(t, met.Load() >= requests-allowedMisses, "%d of %d requests met their deadline", met.Load(), requests)
		})
	}
}

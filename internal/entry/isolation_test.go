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

// twoServices returns the view of two plain services, of which the second is called flights.
func twoServices(sick, well *node) ViewData {
	data := viewOf(sick, well)
	data.Bundle.Services = append(data.Bundle.Services, bundle.Service{Name: "flights", Kind: bundle.KindPlain})
	data.Bundle.Upstreams[1].Service = "flights"
	return data
}

func TestHungServiceLeavesOthersTheirPlaces(t *testing.T) {
	sick, well := startService(t, "s1"), startService(t, "s2")
	e := startEntry(t, &sharedView{data: twoServices(sick, well)}, nil, func(s *Settings) {
		s.Callers.Reserved, s.Callers.Shared, s.Callers.MaxStreams = 4, 4, 20
		s.Upstreams.FirstByteTimeout = patience
	})
	sick.service.Inject(service.Fault{Kind: service.FaultHang})
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	for range 20 {
		group.Go(func() { call0(request(http.MethodGet, e.url+"/services/booking/status", "").WithContext(ctx)) })
	}
	eventually(t, "the hung service has its places and no more", func() bool {
		calls, _ := e.drain.inProgress()
		return len(calls) == 8 && counterOf(t, e, "failures_total") == 12
	})
	for range 50 {
		assert.Equal(t, e.do(http.MethodGet, "/services/flights/status", "").status, http.StatusOK)
	}
	cancel()
	group.Wait()
}

func TestImpatientCallersDoNotEjectUpstreams(t *testing.T) {
	one, two := startService(t, "s1"), startService(t, "s2")
	data := viewOf(one, two)
	e := startEntry(t, &sharedView{data: data}, nil, func(s *Settings) {
		s.Upstreams.IdleTimeout, s.Upstreams.EjectAfter, s.Upstreams.EjectFor = patience, 3, patience
	})
	for _, n := range []*node{one, two} {
		n.service.Inject(service.Fault{Kind: service.FaultSlow, DelayMillis: 30, Count: 20})
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

// Attainment of one service while the other is sick, against its share without the fault, which is 1.
func TestSickServiceLeavesTheAttainmentOfOthers(t *testing.T) {
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
			name = "one after the other"
		}
		t.Run(name, func(t *testing.T) {
			sick, well := startService(t, "s1"), startService(t, "s2")
			e := startEntry(t, &sharedView{data: twoServices(sick, well)}, nil, nil)
			for _, f := range faults {
				sick.service.Inject(f)
			}
			ctx, cancel := context.WithCancel(context.Background())
			var callers sync.WaitGroup
			for range 16 {
				callers.Go(func() {
					for ctx.Err() == nil {
						call0(request(http.MethodGet, e.url+"/services/booking/status", "", header{httpapi.HeaderDeadline, "300"}).WithContext(ctx))
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
			assert.Assert(t, met.Load() >= requests-allowedMisses, "%d of %d", met.Load(), requests)
		})
	}
}

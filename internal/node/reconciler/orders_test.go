package reconciler

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"savoryweir/internal/coordination/rebalance"
	"savoryweir/internal/node/registry"
	"savoryweir/internal/node/telemetry"
	"savoryweir/internal/standin/objectapi"
	"savoryweir/internal/state/fleet"
	"savoryweir/internal/transport/upstreamconn"
	"savoryweir/platform"
)

// testEngine takes orders. It leaves the first ones unanswered, as engines that
// lose answers do, and carries out each order once its count of orders fits.
type testEngine struct {
	listener net.Listener

	mu       sync.Mutex
	silent   int // orders that get no answer
	accepted []string
	expects  []uint64
	fences   []uint64
}

func startEngine(t *testing.T, silent int) *testEngine {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	e := &testEngine{listener: listener, silent: silent}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go e.serve(conn)
		}
	}()
	return e
}

func (e *testEngine) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		status, answer, silent := e.handle(request, body)
		if silent {
			_, _ = reader.ReadByte() // until the caller gives up
			return
		}
		fmt.Fprintf(conn, "HTTP/1.1 %d X\r\nContent-Length: %d\r\n\r\n%s", status, len(answer), answer)
	}
}

func (e *testEngine) handle(r *http.Request, body []byte) (status int, answer string, silent bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if r.Method == http.MethodGet {
		return 200, fmt.Sprintf(`{"seq":%d,"busy":false,"models":[{"name":"m0","adapters":[]}]}`, len(e.accepted)), false
	}
	var order struct {
		Model      string `json:"model"`
		Adapter    string `json:"adapter"`
		Expect     uint64 `json:"expect"`
		FenceToken uint64 `json:"fenceToken"`
	}
	if json.Unmarshal(body, &order) != nil {
		return 400, "", false
	}
	e.expects = append(e.expects, order.Expect)
	e.fences = append(e.fences, order.FenceToken)
	if order.Expect != uint64(len(e.accepted)) {
		return 409, "", false
	}
	if e.silent > 0 {
		e.silent--
		if e.silent%2 == 0 { // every other one is carried out all the same
			e.accepted = append(e.accepted, order.Model+"/"+order.Adapter)
		}
		return 0, "", true
	}
	e.accepted = append(e.accepted, order.Model+"/"+order.Adapter)
	return 202, "", false
}

// startSteward returns a steward that holds the lease, with one engine.
func startSteward(t *testing.T, e *testEngine, others ...fleet.Upstream) *Reconciler {
	t.Helper()
	holder := newTestHolder(objectapi.New(time.Now, objectapi.Limits{}), "i1")
	reg := registry.New(zerolog.Nop(), time.Now)
	reg.Put(fleet.Upstream{ID: "e1", Service: "s", EntryVersion: 1, Address: e.listener.Addr().String(), Models: []fleet.ResidentModel{{Model: "m0"}}})
	for _, u := range others {
		reg.Put(u)
	}
	class := &fleet.EngineClass{WeightsMB: 100, AdapterSlots: 4, LoadsPerSecond: 2, Models: []fleet.Model{
		{Name: "m0", WeightsMB: 50, AdapterMB: 1, Adapters: 4}, {Name: "m1", WeightsMB: 30},
	}}
	s := New(Options{
		Instance: "i1", Log: zerolog.Nop(), Metrics: telemetry.New(func() uint64 { return 0 }), Registry: reg,
		Pool: upstreamconn.NewPool(func() {}), Leases: holder,
		Config: func() *fleet.Config {
			return &fleet.Config{Services: map[string]*fleet.Service{"s": {Name: "s", Engines: class}}}
		},
		LoadWindow: func() time.Duration { return 5 * time.Second }, PrefillRate: func(string, float64) float64 { return 20000 },
		FailureRatio: func(id fleet.UpstreamID) float64 { return map[fleet.UpstreamID]float64{"gone": 1}[id] },
		Announce:     func(registry.ResidentKey, bool) {},
	})
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	running.Go(func() { holder.Run(ctx) })
	running.Go(func() { s.Run(ctx) })
	t.Cleanup(func() { cancel(); running.Wait() })
	return s
}

func TestAWantedAdapterIsLoadedOnceThoughAnswersAreLost(t *testing.T) {
	for _, silent := range []int{0, 1, 2, 3} {
		e := startEngine(t, silent)
		s := startSteward(t, e)
		end := time.Now().Add(8 * time.Second)
		for !s.registry.View().Get("e1").Holds("m0", "a2") && len(s.registry.View().Usable("s", "m0", "a2")) == 0 {
			assert.Assert(t, time.Now().Before(end), "the adapter is not loaded, %d answers lost", silent)
			s.MarkWanted(rebalance.DemandKey{Service: "s", Model: "m0", Adapter: "a2"})
			time.Sleep(20 * time.Millisecond)
		}
		e.mu.Lock()
		counts := make(map[string]int)
		for _, order := range e.accepted {
			counts[order]++
		}
		for _, fence := range e.fences {
			assert.Equal(t, fence, e.fences[0], "one term has one fence")
		}
		e.mu.Unlock()
		assert.Assert(t, counts["m0/a2"] >= 1)
	}
}

// The entry of a crashed engine may outlive it. Its models are loaded elsewhere.
func TestAModelOfAnEngineThatIsGoneIsLoadedElsewhere(t *testing.T) {
	e := startEngine(t, 0)
	gone := startEngine(t, 0)
	assert.NilError(t, gone.listener.Close())
	s := startSteward(t, e, fleet.Upstream{ID: "gone", Service: "s", EntryVersion: 1, Address: gone.listener.Addr().String(), Models: []fleet.ResidentModel{{Model: "m1"}}})
	loaded := func() bool {
		e.mu.Lock()
		defer e.mu.Unlock()
		return slices.Contains(e.accepted, "m1/")
	}
	for end := time.Now().Add(12 * time.Second); !loaded(); time.Sleep(20 * time.Millisecond) {
		assert.Assert(t, time.Now().Before(end), "the model stays with the engine that is gone")
		s.RecordDemand("i1", 1, map[rebalance.DemandKey]rebalance.Counts{{Service: "s", Model: "m1"}: {Requests: uint64(time.Now().UnixMilli()), Tokens: uint64(time.Now().UnixMilli())}})
	}
}

// A count of orders that is too high, for whatever reason, must not keep the engine's
// reports from being believed for good.
func TestAReportIsBelievedOnceItMustTellOfTheLastOrder(t *testing.T) {
	now := time.Now()
	s := &Reconciler{}
	l := &lane{upstream: fleet.Upstream{AcceptedOrders: 3}, orderedAt: now, retired: map[string]time.Time{}, loaded: map[string]time.Time{}}
	s.takeReport(l, fleet.Upstream{AcceptedOrders: 2}, now.Add(100*time.Millisecond))
	assert.Assert(t, !l.confirmed, "the report may be older than the order")
	s.takeReport(l, fleet.Upstream{AcceptedOrders: 2}, now.Add(reportLag+time.Millisecond))
	assert.Assert(t, l.confirmed)
	assert.Equal(t, l.upstream.AcceptedOrders, uint64(2))
}

func TestAnAdapterThatIsThereAlreadyCountsNoOrder(t *testing.T) {
	s := &Reconciler{}
	l := &lane{upstream: fleet.Upstream{AcceptedOrders: 3, Models: []fleet.ResidentModel{{Model: "m0"}}}, retired: map[string]time.Time{}, loaded: map[string]time.Time{}}
	s.settle(l, &fleet.EngineClass{}, rebalance.Action{Load: true, Model: "m0", Adapter: "a1"}, platform.OrderAlreadyApplied)
	assert.Equal(t, l.upstream.AcceptedOrders, uint64(3))
	s.settle(l, &fleet.EngineClass{}, rebalance.Action{Model: "m0", Adapter: "a1"}, platform.OrderAlreadyApplied)
	assert.Equal(t, l.upstream.AcceptedOrders, uint64(4), "an adapter is unloaded at once")
}

func TestEntriesDoNotUndoWhatOrdersHaveChanged(t *testing.T) {
	l := &lane{
		upstream:  fleet.Upstream{EntryVersion: 5, AcceptedOrders: 3, Models: []fleet.ResidentModel{{Model: "m0", Adapters: []string{"a1"}}}},
		confirmed: true, retired: map[string]time.Time{}, loaded: map[string]time.Time{},
	}
	l.changeAdapter("m0", "a2", true)
	l.merge(&fleet.Upstream{EntryVersion: 6, Models: []fleet.ResidentModel{{Model: "m0", Adapters: []string{"a1"}}, {Model: "m1"}}})
	assert.DeepEqual(t, l.upstream.Models, []fleet.ResidentModel{{Model: "m0", Adapters: []string{"a1", "a2"}}, {Model: "m1"}})
	assert.Equal(t, l.upstream.AcceptedOrders, uint64(3))
	l.merge(&fleet.Upstream{EntryVersion: 4})
	assert.Equal(t, len(l.upstream.Models), 2, "an older entry counts")
	l.changeAdapter("m0", "a1", false)
	assert.DeepEqual(t, l.upstream.Models[0].Adapters, []string{"a2"})
}

func TestAnOrderForAModelIsPendingUntilTheEngineShowsIt(t *testing.T) {
	now := time.Now()
	l := &lane{
		upstream: fleet.Upstream{EntryVersion: 1, Models: []fleet.ResidentModel{{Model: "m0"}}}, confirmed: true, loading: "m1",
		pending: &rebalance.Action{Model: "m0", MakesRoomFor: "m1"}, retired: map[string]time.Time{"m0": now}, loaded: map[string]time.Time{},
	}
	e := l.snapshot(now)
	assert.Assert(t, e.AcceptsOrders && e.HasModelOrder && e.Draining["m0"] && e.LoadingModel == "m1")
	l.merge(&fleet.Upstream{EntryVersion: 2})
	e = l.snapshot(now)
	assert.Assert(t, !e.HasModelOrder && len(e.Draining) == 0 && e.LoadingModel == "m1", "the load has yet to be ordered")
	l.pending = &rebalance.Action{Load: true, Model: "m1"}
	l.merge(&fleet.Upstream{EntryVersion: 3, Models: []fleet.ResidentModel{{Model: "m1"}}})
	e = l.snapshot(now)
	assert.Assert(t, !e.HasModelOrder && e.LoadingModel == "")
}

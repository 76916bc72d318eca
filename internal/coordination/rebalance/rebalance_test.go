package rebalance

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"savoryweir/internal/state/fleet"
)

const (
	testWeights = 70000.0
	testAdapter = 60.0
)

func testClass(models int) *fleet.EngineClass {
	class := &fleet.EngineClass{WeightsMB: 230000, AdapterSlots: 3, LoadsPerSecond: 2}
	for i := range models {
		class.Models = append(class.Models, fleet.Model{
			Name: fmt.Sprintf("m%d", i), WeightsMB: testWeights, Adapters: 6, AdapterMB: testAdapter,
			LoadTime: 4 * time.Second, DiskLoadTime: time.Second,
		})
	}
	return class
}

// testCapacity is the reading speed of an engine for each model of testClass.
func testCapacity(models int) map[string]float64 {
	capacity := make(map[string]float64)
	for i := range models {
		capacity[fmt.Sprintf("m%d", i)] = 20000
	}
	return capacity
}

func engine(id string, models ...string) Engine {
	u := &fleet.Upstream{ID: fleet.UpstreamID(id)}
	for _, m := range models {
		u.Models = append(u.Models, fleet.ResidentModel{Model: m})
	}
	return Engine{Upstream: u, AcceptsOrders: true, Draining: map[string]bool{}, RecentlyLoaded: map[string]bool{}}
}

func TestABusyModelGetsAReplicaInPlaceOfASpareOne(t *testing.T) {
	actions := Plan(Snapshot{
		Class: testClass(4), PrefillRates: testCapacity(4), StoreLoadBudget: 5,
		Engines:    []Engine{engine("e1", "m0", "m1", "m2"), engine("e2", "m1", "m2", "m3"), engine("e3", "m1", "m2", "m3")},
		TokenRates: map[string]float64{"m0": 30000, "m1": 500, "m2": 500, "m3": 500},
	})
	assert.Assert(t, len(actions) > 0)
	for _, a := range actions {
		assert.Assert(t, !a.Load && a.MakesRoomFor == "m0" && a.Upstream != "e1", "%+v", a)
	}
}

func TestIdleEnginesAreLeftAlone(t *testing.T) {
	actions := Plan(Snapshot{
		Class: testClass(4), PrefillRates: testCapacity(4), StoreLoadBudget: 5,
		Engines:    []Engine{engine("e1", "m0", "m1", "m2"), engine("e2", "m1", "m2", "m3")},
		TokenRates: map[string]float64{"m0": 2000, "m1": 500},
	})
	assert.Equal(t, len(actions), 0, "%+v", actions)
}

func TestTheLastReplicaStaysWhileAnotherIsOnlyComing(t *testing.T) {
	coming := engine("e2", "m1", "m2")
	coming.LoadingModel, coming.HasModelOrder = "m3", true
	actions := Plan(Snapshot{
		Class: testClass(4), PrefillRates: testCapacity(4), StoreLoadBudget: 5,
		Engines:    []Engine{engine("e1", "m3", "m1", "m2"), coming, engine("e3", "m0", "m1", "m2")},
		TokenRates: map[string]float64{"m0": 60000, "m3": 100},
	})
	for _, a := range actions {
		assert.Assert(t, a.Model != "m3", "the only replica of m3 is unloaded: %+v", a)
	}
}

func TestAWantedModelIsLoadedBeforeOneThatNobodyAsksFor(t *testing.T) {
	actions := Plan(Snapshot{
		Class: testClass(3), PrefillRates: testCapacity(3), StoreLoadBudget: 1,
		Engines:            []Engine{engine("e1", "m0")},
		HasWaitingRequests: map[AdapterKey]bool{{Model: "m2"}: true},
	})
	assert.Equal(t, len(actions), 1)
	assert.Equal(t, actions[0].Model, "m2")
	assert.Equal(t, actions[0].Reason, ReasonRequestsWaiting)
}

func TestLoadsFromTheEnginesOwnDiskNeedNoAllowance(t *testing.T) {
	e := engine("e1", "m0")
	e.Upstream.OnDisk = []string{"m2"}
	snapshot := Snapshot{Class: testClass(3), PrefillRates: testCapacity(3), Engines: []Engine{e}, HasWaitingRequests: map[AdapterKey]bool{{Model: "m1"}: true, {Model: "m2"}: true}}
	actions := Plan(snapshot)
	assert.Equal(t, len(actions), 1)
	assert.Equal(t, actions[0].Model, "m2")
	assert.Assert(t, actions[0].FromDisk)
}

func TestAWantedAdapterTakesTheSlotThatIsMissedLeast(t *testing.T) {
	e := engine("e1")
	e.Upstream.Models = []fleet.ResidentModel{{Model: "m0", Adapters: []string{"a1", "a2", "a3"}}}
	actions := Plan(Snapshot{
		Class: testClass(1), PrefillRates: testCapacity(1), Engines: []Engine{e},
		AdapterRates:       map[AdapterKey]float64{{"m0", "a1"}: 2, {"m0", "a2"}: 0.1, {"m0", "a3"}: 1},
		HasWaitingRequests: map[AdapterKey]bool{{"m0", "a4"}: true},
	})
	assert.Equal(t, len(actions), 1)
	assert.DeepEqual(t, actions[0], Action{Upstream: "e1", Model: "m0", Adapter: "a2", Reason: ReasonMakeRoom})
}

// world carries out actions as engines do and checks what they promise.
type world struct {
	class   *fleet.EngineClass
	engines []*Engine
}

func (w *world) used(e *Engine) float64 {
	mb := 0.0
	for _, r := range e.Upstream.Models {
		mb += testWeights + testAdapter*float64(len(r.Adapters))
	}
	return mb
}

func (w *world) perform(t *rapid.T, a Action) {
	for _, e := range w.engines {
		if e.Upstream.ID != a.Upstream {
			continue
		}
		switch {
		case a.Load && a.Adapter == "":
			e.Upstream.Models = append(e.Upstream.Models, fleet.ResidentModel{Model: a.Model})
			e.LoadingModel = ""
		case a.Load:
			w.changeAdapters(e, a.Model, func(list []string) []string { return append(list, a.Adapter) })
		case a.Adapter != "":
			w.changeAdapters(e, a.Model, func(list []string) []string { return without(list, a.Adapter) })
		default:
			var left []fleet.ResidentModel
			for _, r := range e.Upstream.Models {
				if r.Model != a.Model {
					left = append(left, r)
				}
			}
			e.Upstream.Models, e.LoadingModel = left, a.MakesRoomFor
		}
		adapters := 0
		for _, r := range e.Upstream.Models {
			adapters += len(r.Adapters)
		}
		if w.used(e) > w.class.WeightsMB || adapters > w.class.AdapterSlots {
			t.Fatalf("%+v overloads %+v", a, e.Upstream)
		}
	}
}

func (w *world) changeAdapters(e *Engine, model string, change func([]string) []string) {
	for i := range e.Upstream.Models {
		if e.Upstream.Models[i].Model == model {
			e.Upstream.Models[i].Adapters = change(e.Upstream.Models[i].Adapters)
		}
	}
}

func without(list []string, name string) []string {
	var left []string
	for _, item := range list {
		if item != name {
			left = append(left, item)
		}
	}
	return left
}

func TestNoPlanOverloadsAnEngineOrLosesADemandedModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		models := rapid.IntRange(1, 12).Draw(t, "models")
		w := &world{class: testClass(models)}
		for i := range rapid.IntRange(1, 8).Draw(t, "engines") {
			var held []string
			for m := range models {
				if len(held) < 3 && rapid.Bool().Draw(t, "held") {
					held = append(held, fmt.Sprintf("m%d", m))
				}
			}
			e := engine(fmt.Sprintf("e%d", i), held...)
			w.engines = append(w.engines, &e)
		}
		for range 6 {
			s := Snapshot{Class: w.class, PrefillRates: testCapacity(len(w.class.Models)), TokenRates: map[string]float64{}, AdapterRates: map[AdapterKey]float64{}, HasWaitingRequests: map[AdapterKey]bool{}}
			s.StoreLoadBudget = rapid.IntRange(0, 10).Draw(t, "loads")
			for m := range models {
				name := fmt.Sprintf("m%d", m)
				s.TokenRates[name] = rapid.Float64Range(0, 80000).Draw(t, "work")
				s.AdapterRates[AdapterKey{name, fmt.Sprintf("a%d", m%6+1)}] = rapid.Float64Range(0, 9).Draw(t, "adapter")
			}
			for _, e := range w.engines {
				s.Engines = append(s.Engines, *e)
			}
			held := heldModels(w)
			loads, orders := 0, map[fleet.UpstreamID]int{}
			for _, a := range Plan(s) {
				orders[a.Upstream]++
				if a.Load && a.Adapter == "" && !a.FromDisk {
					loads++
				}
				w.perform(t, a)
			}
			for id, n := range orders {
				if n > 1 {
					t.Fatalf("%d orders to %s at once", n, id)
				}
			}
			if loads > s.StoreLoadBudget {
				t.Fatalf("%d loads, %d allowed", loads, s.StoreLoadBudget)
			}
			after := heldModels(w)
			for m := range held {
				if after[m] == 0 && s.TokenRates[m] > 0 && !canBeLost(s, m) {
					t.Fatalf("no engine holds %s any more", m)
				}
			}
		}
	})
}

// canBeLost reports whether a missing model with more work may take a model's last place.
func canBeLost(s Snapshot, model string) bool {
	for other, work := range s.TokenRates {
		if work > s.TokenRates[model] && other != model {
			return true
		}
	}
	return false
}

func heldModels(w *world) map[string]int {
	held := make(map[string]int)
	for _, e := range w.engines {
		for _, r := range e.Upstream.Models {
			held[r.Model]++
		}
	}
	return held
}

func TestDemandFollowsAMoveAndForgets(t *testing.T) {
	d := NewDemandTracker()
	now := time.Unix(1000, 0)
	key := DemandKey{Service: "s", Model: "m0", Adapter: "a1"}
	count := Counts{}
	d.Observe(now, "i1", 1, map[DemandKey]Counts{key: {Requests: 1000, Tokens: 1e6}})
	for range 200 {
		now = now.Add(100 * time.Millisecond)
		count.Requests++
		count.Tokens += 1000
		d.Observe(now, "i2", 1, map[DemandKey]Counts{key: count})
	}
	work, adapters := d.Rates(now, "s")
	assert.Assert(t, work["m0"] > 8000 && work["m0"] < 12000, "%v tokens a second", work["m0"])
	assert.Assert(t, adapters[AdapterKey{"m0", "a1"}] > 8)
	work, _ = d.Rates(now.Add(DemandRetention+time.Second), "s")
	assert.Equal(t, work["m0"], 0.0)
}

func TestARestartedInstanceIsNotCountedTwice(t *testing.T) {
	d := NewDemandTracker()
	now := time.Unix(1000, 0)
	key := DemandKey{Service: "s", Model: "m0"}
	d.Observe(now, "i1", 1, map[DemandKey]Counts{})
	d.Observe(now, "i1", 1, map[DemandKey]Counts{key: {Requests: 10, Tokens: 1000}})
	before, _ := d.Rates(now, "s")
	d.Observe(now, "i1", 2, map[DemandKey]Counts{key: {Requests: 3, Tokens: 300}})
	after, _ := d.Rates(now, "s")
	assert.Equal(t, before["m0"], after["m0"])
}

// targetSnapshot has the engines and models of the target, with demand on all models.
func targetSnapshot() Snapshot {
	const engines, models = 710, 770
	s := Snapshot{Class: testClass(models), PrefillRates: testCapacity(models), StoreLoadBudget: 5, TokenRates: map[string]float64{}, AdapterRates: map[AdapterKey]float64{}}
	for i := range engines {
		s.Engines = append(s.Engines, engine(fmt.Sprintf("e%d", i), fmt.Sprintf("m%d", i%models), fmt.Sprintf("m%d", (i*7+1)%models), fmt.Sprintf("m%d", (i*13+5)%models)))
	}
	for m := range models {
		s.TokenRates[fmt.Sprintf("m%d", m)] = 4e6 / float64(m+3)
	}
	return s
}

func BenchmarkPlanForTheTargetSize(b *testing.B) {
	s := targetSnapshot()
	for b.Loop() {
		Plan(s)
	}
}

// TestBoundWeighedEnginesOfOnePlan bounds what a plan for the target's size looks at:
// each engine once for each busy model that is weighed and each load that is planned.
func TestBoundWeighedEnginesOfOnePlan(t *testing.T) {
	s := targetSnapshot()
	p := newPlanner(s)
	missing := len(p.missing())
	p.placeModels()
	most := len(s.Engines) * (missing + busiestConsidered*(s.StoreLoadBudget+1))
	assert.Assert(t, p.weighed <= most, "%d engines weighed", p.weighed)
}

// A model that is missing must not take the place of the one that refuses most, though
// the engine that loses it would have the least work of its own afterwards.
func TestAMissingModelDisplacesNoReplicaOfTheBusiestOne(t *testing.T) {
	actions := Plan(Snapshot{
		Class: testClass(7), PrefillRates: testCapacity(7), StoreLoadBudget: 5,
		Engines:            []Engine{engine("e1", "m0", "m1", "m2"), engine("e2", "m0", "m3", "m5"), engine("e3", "m0", "m3", "m6")},
		TokenRates:         map[string]float64{"m0": 48000, "m1": 600, "m2": 600, "m4": 400, "m5": 10000, "m6": 10000},
		HasWaitingRequests: map[AdapterKey]bool{{Model: "m4"}: true},
	})
	var made bool
	for _, a := range actions {
		assert.Assert(t, a.Load || a.Model != "m0", "%+v", a)
		made = made || a.MakesRoomFor == "m4"
	}
	assert.Assert(t, made, "no room is made for the missing model: %+v", actions)
}

func onDisk(e Engine, models ...string) Engine {
	e.Upstream.OnDisk = models
	return e
}

func TestTheLastReplicaOfAnIdleModelMakesRoomForABusyOne(t *testing.T) {
	s := Snapshot{
		Class: testClass(6), PrefillRates: testCapacity(6), StoreLoadBudget: 5,
		Engines:    []Engine{engine("e1", "m0", "m1", "m2"), onDisk(engine("e2", "m3", "m4", "m5"), "m4")},
		TokenRates: map[string]float64{"m0": 30000, "m1": 500, "m2": 500, "m3": 500, "m5": 500},
	}
	actions := Plan(s)
	assert.Equal(t, len(actions), 1, "%+v", actions)
	assert.Equal(t, actions[0], Action{Upstream: "e2", Model: "m4", MakesRoomFor: "m0", Reason: ReasonMakeRoom})

	s.Engines[1] = engine("e2", "m3", "m4", "m5")
	assert.Equal(t, len(Plan(s)), 0, "a model without a copy at hand stays")
	s.Engines[1] = onDisk(engine("e2", "m3", "m4", "m5"), "m4")
	s.TokenRates["m0"] = 9000
	assert.Equal(t, len(Plan(s)), 0, "it stays while the busy model has room")
}

func TestAModelThatLeftComesBackWhenItIsAskedFor(t *testing.T) {
	s := Snapshot{
		Class: testClass(5), PrefillRates: testCapacity(5), StoreLoadBudget: 0,
		Engines:    []Engine{onDisk(engine("e1", "m0", "m1", "m2"), "m4"), onDisk(engine("e2", "m0", "m1", "m3"), "m3")},
		TokenRates: map[string]float64{"m0": 30000, "m1": 5000, "m2": 4000},
	}
	assert.Equal(t, len(Plan(s)), 0, "nobody asks for it, and it could be back within a second")
	s.HasWaitingRequests = map[AdapterKey]bool{{Model: "m4"}: true}
	actions := Plan(s)
	assert.Equal(t, len(actions), 1, "%+v", actions)
	assert.Equal(t, actions[0].MakesRoomFor, "m4")
	assert.Equal(t, string(actions[0].Upstream), "e1", "the engine with a copy of its own")
}

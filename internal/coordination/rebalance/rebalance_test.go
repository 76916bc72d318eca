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
	modelWeightsMB = 70000.0
	adapterMB      = 60.0
)

// testClass returns an engine class with room for three models.
func testClass(models int) *fleet.EngineClass {
	class := &fleet.EngineClass{WeightsMB: 230000, AdapterSlots: 3, LoadsPerSecond: 2}
	for i := range models {
		class.Models = append(class.Models, fleet.Model{
			Name: fmt.Sprintf("m%d", i), WeightsMB: modelWeightsMB, Adapters: 6, AdapterMB: adapterMB,
			LoadTime: 4 * time.Second, DiskLoadTime: time.Second,
		})
	}
	return class
}

// testPrefillRates returns the prompt tokens per second that an engine processes, for each
// model of testClass.
func testPrefillRates(models int) map[string]float64 {
	capacity := make(map[string]float64)
	for i := range models {
		capacity[fmt.Sprintf("m%d", i)] = 20000
	}
	return capacity
}

// engine returns an engine that holds the models and accepts orders.
func engine(id string, models ...string) Engine {
	u := &fleet.Upstream{ID: fleet.UpstreamID(id)}
	for _, m := range models {
		u.Models = append(u.Models, fleet.ResidentModel{Model: m})
	}
	return Engine{Upstream: u, AcceptsOrders: true, Draining: map[string]bool{}, RecentlyLoaded: map[string]bool{}}
}

// The only engine with a model limits its requests, so that most of them were refused while others had room.
func TestModelOfLimitedEngineIsLoadedElsewhereIfRequestsWait(t *testing.T) {
	limited := engine("e1", "m0", "m1")
	limited.IsLimited = true
	limited.Upstream.Models[0].Adapters = []string{"a1"}
	snapshot := Snapshot{
		Class: testClass(3), PrefillRates: testPrefillRates(3), StoreLoadBudget: 5,
		Engines: []Engine{limited, engine("e2", "m1", "m2")}, TokenRates: map[string]float64{"m0": 100, "m1": 100},
	}
	assert.Equal(t, len(Plan(snapshot)), 0)
	snapshot.HasWaitingRequests = map[AdapterKey]bool{{Model: "m0"}: true, {Model: "m0", Adapter: "a1"}: true}
	assert.DeepEqual(t, Plan(snapshot), []Action{{Upstream: "e2", Load: true, Model: "m0", Reason: ReasonRequestsWaiting}})
	snapshot.Engines[1] = engine("e2", "m0", "m1", "m2")
	assert.DeepEqual(t, Plan(snapshot), []Action{{Upstream: "e2", Load: true, Model: "m0", Adapter: "a1", Reason: ReasonRequestsWaiting}})
}

func TestPlanReplacesSpareReplicaWithReplicaOfBusyModel(t *testing.T) {
	actions := Plan(Snapshot{
		Class: testClass(4), PrefillRates: testPrefillRates(4), StoreLoadBudget: 5,
		Engines:    []Engine{engine("e1", "m0", "m1", "m2"), engine("e2", "m1", "m2", "m3"), engine("e3", "m1", "m2", "m3")},
		TokenRates: map[string]float64{"m0": 30000, "m1": 500, "m2": 500, "m3": 500},
	})
	assert.Assert(t, len(actions) > 0)
	for _, a := range actions {
		assert.Assert(t, !a.Load && a.MakesRoomFor == "m0" && a.Upstream != "e1", "%+v", a)
	}
}

func TestPlanTakesNoActionAtLowUtilization(t *testing.T) {
	actions := Plan(Snapshot{
		Class: testClass(4), PrefillRates: testPrefillRates(4), StoreLoadBudget: 5,
		Engines:    []Engine{engine("e1", "m0", "m1", "m2"), engine("e2", "m1", "m2", "m3")},
		TokenRates: map[string]float64{"m0": 2000, "m1": 500},
	})
	assert.Equal(t, len(actions), 0, "%+v", actions)
}

func TestPlanKeepsLastReplicaWhileAnotherIsStillLoading(t *testing.T) {
	loading := engine("e2", "m1", "m2")
	loading.LoadingModel, loading.HasModelOrder = "m3", true
	actions := Plan(Snapshot{
		Class: testClass(4), PrefillRates: testPrefillRates(4), StoreLoadBudget: 5,
		Engines:    []Engine{engine("e1", "m3", "m1", "m2"), loading, engine("e3", "m0", "m1", "m2")},
		TokenRates: map[string]float64{"m0": 60000, "m3": 100},
	})
	for _, a := range actions {
		assert.Assert(t, a.Model != "m3", "the plan unloads the only replica of m3: %+v", a)
	}
}

func TestPlanLoadsModelWithWaitingRequestsBeforeIdleModel(t *testing.T) {
	actions := Plan(Snapshot{
		Class: testClass(3), PrefillRates: testPrefillRates(3), StoreLoadBudget: 1,
		Engines:            []Engine{engine("e1", "m0")},
		HasWaitingRequests: map[AdapterKey]bool{{Model: "m2"}: true},
	})
	assert.Equal(t, len(actions), 1)
	assert.Equal(t, actions[0].Model, "m2")
	assert.Equal(t, actions[0].Reason, ReasonRequestsWaiting)
}

func TestPlanLoadsFromDiskWithoutStoreLoadBudget(t *testing.T) {
	e := engine("e1", "m0")
	e.Upstream.OnDisk = []string{"m2"}
	snapshot := Snapshot{Class: testClass(3), PrefillRates: testPrefillRates(3), Engines: []Engine{e}, HasWaitingRequests: map[AdapterKey]bool{{Model: "m1"}: true, {Model: "m2"}: true}}
	actions := Plan(snapshot)
	assert.Equal(t, len(actions), 1)
	assert.Equal(t, actions[0].Model, "m2")
	assert.Assert(t, actions[0].FromDisk)
}

func TestPlanEvictsLeastUsedAdapterForOneWithWaitingRequests(t *testing.T) {
	e := engine("e1")
	e.Upstream.Models = []fleet.ResidentModel{{Model: "m0", Adapters: []string{"a1", "a2", "a3"}}}
	actions := Plan(Snapshot{
		Class: testClass(1), PrefillRates: testPrefillRates(1), Engines: []Engine{e},
		AdapterRates:       map[AdapterKey]float64{{"m0", "a1"}: 2, {"m0", "a2"}: 0.1, {"m0", "a3"}: 1},
		HasWaitingRequests: map[AdapterKey]bool{{"m0", "a4"}: true},
	})
	assert.Equal(t, len(actions), 1)
	assert.DeepEqual(t, actions[0], Action{Upstream: "e1", Model: "m0", Adapter: "a2", Reason: ReasonMakeRoom})
}

// simulatedFleet applies actions to its engines and fails the test if one exceeds the
// memory or the adapter slots of an engine.
type simulatedFleet struct {
	class   *fleet.EngineClass
	engines []*Engine
}

func (f *simulatedFleet) usedMB(e *Engine) float64 {
	mb := 0.0
	for _, r := range e.Upstream.Models {
		mb += modelWeightsMB + adapterMB*float64(len(r.Adapters))
	}
	return mb
}

func (f *simulatedFleet) apply(t *rapid.T, a Action) {
	for _, e := range f.engines {
		if e.Upstream.ID != a.Upstream {
			continue
		}
		switch {
		case a.Load && a.Adapter == "":
			e.Upstream.Models = append(e.Upstream.Models, fleet.ResidentModel{Model: a.Model})
			e.LoadingModel = ""
		case a.Load:
			f.changeAdapters(e, a.Model, func(list []string) []string { return append(list, a.Adapter) })
		case a.Adapter != "":
			f.changeAdapters(e, a.Model, func(list []string) []string { return without(list, a.Adapter) })
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
		if f.usedMB(e) > f.class.WeightsMB || adapters > f.class.AdapterSlots {
			t.Fatalf("action %+v exceeds the capacity of engine %+v", a, e.Upstream)
		}
	}
}

func (f *simulatedFleet) changeAdapters(e *Engine, model string, change func([]string) []string) {
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

func TestPlanNeverOverloadsEnginesOrDropsModelsInDemand(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		models := rapid.IntRange(1, 12).Draw(t, "models")
		fleetState := &simulatedFleet{class: testClass(models)}
		for i := range rapid.IntRange(1, 8).Draw(t, "engines") {
			var held []string
			for m := range models {
				if len(held) < 3 && rapid.Bool().Draw(t, "held") {
					held = append(held, fmt.Sprintf("m%d", m))
				}
			}
			e := engine(fmt.Sprintf("e%d", i), held...)
			fleetState.engines = append(fleetState.engines, &e)
		}
		for range 6 {
			s := Snapshot{Class: fleetState.class, PrefillRates: testPrefillRates(len(fleetState.class.Models)), TokenRates: map[string]float64{}, AdapterRates: map[AdapterKey]float64{}, HasWaitingRequests: map[AdapterKey]bool{}}
			s.StoreLoadBudget = rapid.IntRange(0, 10).Draw(t, "loads")
			for m := range models {
				name := fmt.Sprintf("m%d", m)
				s.TokenRates[name] = rapid.Float64Range(0, 80000).Draw(t, "tokenRate")
				s.AdapterRates[AdapterKey{name, fmt.Sprintf("a%d", m%6+1)}] = rapid.Float64Range(0, 9).Draw(t, "adapterRate")
			}
			for _, e := range fleetState.engines {
				s.Engines = append(s.Engines, *e)
			}
			held := heldModels(fleetState)
			loads, orders := 0, map[fleet.UpstreamID]int{}
			for _, a := range Plan(s) {
				orders[a.Upstream]++
				if a.Load && a.Adapter == "" && !a.FromDisk {
					loads++
				}
				fleetState.apply(t, a)
			}
			for id, n := range orders {
				if n > 1 {
					t.Fatalf("plan has %d orders for engine %s; want at most 1", n, id)
				}
			}
			if loads > s.StoreLoadBudget {
				t.Fatalf("plan has %d loads from the weight store; want at most %d", loads, s.StoreLoadBudget)
			}
			after := heldModels(fleetState)
			for m := range held {
				if after[m] == 0 && s.TokenRates[m] > 0 && !mayBeEvicted(s, m) {
					t.Fatalf("the last replica of model %s, which has demand, was unloaded", m)
				}
			}
		}
	})
}

// mayBeEvicted reports whether the last replica of a model may be evicted for a model with
// more demand.
func mayBeEvicted(s Snapshot, model string) bool {
	for other, rate := range s.TokenRates {
		if rate > s.TokenRates[model] && other != model {
			return true
		}
	}
	return false
}

func heldModels(f *simulatedFleet) map[string]int {
	held := make(map[string]int)
	for _, e := range f.engines {
		for _, r := range e.Upstream.Models {
			held[r.Model]++
		}
	}
	return held
}

func TestDemandTrackerMeasuresRateAndExpiresIt(t *testing.T) {
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
	assert.Assert(t, work["m0"] > 8000 && work["m0"] < 12000, "%v tokens per second; want about 10,000", work["m0"])
	assert.Assert(t, adapters[AdapterKey{"m0", "a1"}] > 8)
	work, _ = d.Rates(now.Add(DemandRetention+time.Second), "s")
	assert.Equal(t, work["m0"], 0.0)
}

func TestDemandTrackerIgnoresFirstReportAfterRestart(t *testing.T) {
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

// targetSizeSnapshot returns a snapshot with the number of engines and models that the
// planner is designed for, and with demand for all models.
func targetSizeSnapshot() Snapshot {
	const engines, models = 710, 770
	s := Snapshot{Class: testClass(models), PrefillRates: testPrefillRates(models), StoreLoadBudget: 5, TokenRates: map[string]float64{}, AdapterRates: map[AdapterKey]float64{}}
	for i := range engines {
		s.Engines = append(s.Engines, engine(fmt.Sprintf("e%d", i), fmt.Sprintf("m%d", i%models), fmt.Sprintf("m%d", (i*7+1)%models), fmt.Sprintf("m%d", (i*13+5)%models)))
	}
	for m := range models {
		s.TokenRates[fmt.Sprintf("m%d", m)] = 4e6 / float64(m+3)
	}
	return s
}

func BenchmarkPlanTargetSize(b *testing.B) {
	s := targetSizeSnapshot()
	for b.Loop() {
		Plan(s)
	}
}

// TestBoundEnginesEvaluatedPerPlan limits the work of a plan of the target size: each engine
// is evaluated at most once per missing model, and once per replica candidate in each search.
func TestBoundEnginesEvaluatedPerPlan(t *testing.T) {
	s := targetSizeSnapshot()
	p := newPlanner(s)
	missingModels := len(p.missingModels())
	p.placeModels()
	limit := len(s.Engines) * (missingModels + maxReplicaCandidates*(s.StoreLoadBudget+1))
	assert.Assert(t, p.evaluatedEngines <= limit, "%d engines evaluated", p.evaluatedEngines)
}

// A missing model must not displace a replica of the model with the most refused requests,
// even though the engine that loses this replica would have the lowest utilization afterwards.
func TestPlanKeepsReplicasOfBusiestModelWhenLoadingMissingModel(t *testing.T) {
	actions := Plan(Snapshot{
		Class: testClass(7), PrefillRates: testPrefillRates(7), StoreLoadBudget: 5,
		Engines:            []Engine{engine("e1", "m0", "m1", "m2"), engine("e2", "m0", "m3", "m5"), engine("e3", "m0", "m3", "m6")},
		TokenRates:         map[string]float64{"m0": 48000, "m1": 600, "m2": 600, "m4": 400, "m5": 10000, "m6": 10000},
		HasWaitingRequests: map[AdapterKey]bool{{Model: "m4"}: true},
	})
	var freesMemory bool
	for _, a := range actions {
		assert.Assert(t, a.Load || a.Model != "m0", "%+v", a)
		freesMemory = freesMemory || a.MakesRoomFor == "m4"
	}
	assert.Assert(t, freesMemory, "no action frees memory for the missing model: %+v", actions)
}

// onDisk returns the engine with copies of the models on its disk.
func onDisk(e Engine, models ...string) Engine {
	e.Upstream.OnDisk = models
	return e
}

func TestPlanEvictsLastReplicaOfIdleModelOnlyWithLocalCopyAndBusyModel(t *testing.T) {
	s := Snapshot{
		Class: testClass(6), PrefillRates: testPrefillRates(6), StoreLoadBudget: 5,
		Engines:    []Engine{engine("e1", "m0", "m1", "m2"), onDisk(engine("e2", "m3", "m4", "m5"), "m4")},
		TokenRates: map[string]float64{"m0": 30000, "m1": 500, "m2": 500, "m3": 500, "m5": 500},
	}
	actions := Plan(s)
	assert.Equal(t, len(actions), 1, "%+v", actions)
	assert.Equal(t, actions[0], Action{Upstream: "e2", Model: "m4", MakesRoomFor: "m0", Reason: ReasonMakeRoom})

	s.Engines[1] = engine("e2", "m3", "m4", "m5")
	assert.Equal(t, len(Plan(s)), 0, "a model without a local copy must not lose its last replica")
	s.Engines[1] = onDisk(engine("e2", "m3", "m4", "m5"), "m4")
	s.TokenRates["m0"] = 9000
	assert.Equal(t, len(Plan(s)), 0, "the idle model must stay while the busy model has enough capacity")
}

func TestPlanReloadsEvictedModelOnlyWhenRequestsWait(t *testing.T) {
	s := Snapshot{
		Class: testClass(5), PrefillRates: testPrefillRates(5), StoreLoadBudget: 0,
		Engines:    []Engine{onDisk(engine("e1", "m0", "m1", "m2"), "m4"), onDisk(engine("e2", "m0", "m1", "m3"), "m3")},
		TokenRates: map[string]float64{"m0": 30000, "m1": 5000, "m2": 4000},
	}
	assert.Equal(t, len(Plan(s)), 0, "a model without demand that can be loaded within a second must stay unloaded")
	s.HasWaitingRequests = map[AdapterKey]bool{{Model: "m4"}: true}
	actions := Plan(s)
	assert.Equal(t, len(actions), 1, "%+v", actions)
	assert.Equal(t, actions[0].MakesRoomFor, "m4")
	assert.Equal(t, string(actions[0].Upstream), "e1", "the engine with a local copy must load the model")
}

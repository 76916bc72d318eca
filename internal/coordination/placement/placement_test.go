package placement

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"savoryweir/internal/state/bundle"
	"savoryweir/internal/state/ledger"
)

var start = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

func model(id string, memory bundle.MiB, demand float64) Model {
	return Model{Model: bundle.Model{ID: bundle.ModelID(id), Version: "1", Memory: memory, MinReplicas: 1}, Demand: demand}
}

func ready(id string, memory bundle.MiB) Replica {
	return Replica{Slot: ledger.Slot{Model: bundle.ModelID(id), Version: "1"}, Memory: memory, State: Ready}
}

func engine(id, zone string, replicas ...Replica) Engine {
	e := Engine{ID: bundle.UpstreamID(id), Zone: bundle.Zone(zone), Memory: 100, Compute: 1, Usable: true, FreesMemory: true, Replicas: replicas}
	for _, r := range replicas {
		e.Allocated += r.Memory
	}
	return e
}

func testSettings() Settings {
	return Settings{MoveCost: 10, Horizon: 100 * time.Second, Hold: 5 * time.Second, Decay: time.Minute, ZoneWeight: 0.05}
}

var highLimits = LoadLimits{ModelLoads: 4, AdapterLoads: 4}

func TestModelWithoutReplicaIsLoadedFirst(t *testing.T) {
	s := Snapshot{
		Engines: []Engine{engine("e", "a", ready("m", 40)), engine("f", "b")},
		Models:  []Model{model("m", 40, 3), model("lost", 40, 0)},
		Limits:  LoadLimits{ModelLoads: 1},
	}
	actions := NewCostAware(testSettings()).Decide(start, s)
	assert.Equal(t, len(actions), 1)
	assert.Equal(t, actions[0].Slot.Model, bundle.ModelID("lost"))
	assert.Equal(t, actions[0].Reason, ReasonNoReplica)
}

func TestModelWaitingForMemoryReservesALoad(t *testing.T) {
	s := Snapshot{
		Engines: []Engine{engine("e", "a", ready("x", 60)), engine("f", "b", ready("x", 60)), engine("g", "b", ready("z", 30))},
		Models:  []Model{model("x", 60, 0), model("z", 30, 0), model("lost", 90, 0)},
		Limits:  LoadLimits{ModelLoads: 1},
	}
	s.Engines[2].Replicas[0].Slot.Version = "0" // the version in force of z has no replica either
	actions := NewCostAware(testSettings()).Decide(start, s)
	for _, a := range actions {
		assert.Equal(t, a.Action, ledger.Unload, "%+v", a)
	}
	assert.Equal(t, len(actions), 1)
	assert.Equal(t, actions[0].Slot.Model, bundle.ModelID("x"))
}

func TestReplicaIsAddedOnlyAfterTheHoldTime(t *testing.T) {
	s := Snapshot{Engines: []Engine{engine("e", "a", ready("m", 40)), engine("f", "b")}, Models: []Model{model("m", 40, 1.5)}, Limits: highLimits}
	p := NewCostAware(testSettings())
	assert.Equal(t, len(p.Decide(start, s)), 0)
	assert.Equal(t, len(p.Decide(start.Add(4*time.Second), s)), 0)
	actions := p.Decide(start.Add(5*time.Second), s)
	assert.Equal(t, len(actions), 1)
	assert.Equal(t, actions[0].Engine, bundle.UpstreamID("f"))
}

func TestMoveWithGainBelowItsCostIsNotMade(t *testing.T) {
	s := Snapshot{Engines: []Engine{engine("e", "a", ready("m", 40)), engine("f", "b")}, Models: []Model{model("m", 40, 1.05)}, Limits: highLimits}
	p := NewCostAware(testSettings()) // 0.05 engines for 100 s is less than 10 engine-seconds
	p.Decide(start, s)
	assert.Equal(t, len(p.Decide(start.Add(time.Minute), s)), 0)
}

func TestFallingDemandCausesNoActions(t *testing.T) {
	s := Snapshot{
		Engines: []Engine{engine("e", "a", ready("m", 40)), engine("f", "b", ready("m", 40))},
		Models:  []Model{model("m", 40, 1.5)}, Limits: highLimits,
	}
	p := NewCostAware(testSettings())
	p.Decide(start, s)
	s.Models[0].Demand = 0.1
	assert.Equal(t, len(p.Decide(start.Add(time.Hour), s)), 0)
}

func TestSecondReplicaIsPlacedInAnotherZone(t *testing.T) {
	s := Snapshot{
		Engines: []Engine{engine("e", "a", ready("m", 40)), engine("f", "a"), engine("g", "b")},
		Models:  []Model{model("m", 40, 0)}, Limits: highLimits,
	}
	s.Models[0].MinReplicas = 2
	actions := NewCostAware(testSettings()).Decide(start, s)
	assert.Equal(t, actions[0].Engine, bundle.UpstreamID("g"))
}

func TestSecondReplicaAvoidsEnginesOfOverlappingModels(t *testing.T) {
	s := Snapshot{
		Engines: []Engine{engine("e", "a", ready("x", 40), ready("y", 40)), engine("f", "b", ready("x", 40)), engine("g", "b", ready("z", 40))},
		Models:  []Model{model("x", 40, 0), model("y", 40, 0), model("z", 40, 0)}, Limits: highLimits,
	}
	s.Models[1].MinReplicas = 2
	actions := NewCostAware(testSettings()).Decide(start, s)
	assert.Equal(t, actions[0].Engine, bundle.UpstreamID("g"))
}

func TestLastReplicaIsNeverEvicted(t *testing.T) {
	s := Snapshot{
		Engines: []Engine{engine("e", "a", ready("x", 60)), engine("f", "b", ready("y", 60))},
		Models:  []Model{model("x", 60, 0), model("y", 60, 0), model("lost", 60, 0)}, Limits: highLimits,
	}
	assert.Equal(t, len(NewCostAware(testSettings()).Decide(start, s)), 0)
	s.Engines = append(s.Engines, engine("g", "c", ready("x", 60)))
	actions := NewCostAware(testSettings()).Decide(start, s)
	assert.Equal(t, len(actions), 1)
	assert.Equal(t, actions[0].Action, ledger.Unload)
	assert.Equal(t, actions[0].Slot.Model, bundle.ModelID("x"))
}

func TestReplicaIsRelocatedToMakeRoomForAModelWithoutReplica(t *testing.T) {
	s := Snapshot{
		Engines: []Engine{engine("e", "a", ready("x", 30), ready("y", 40)), engine("f", "b", ready("z", 60))},
		Models:  []Model{model("x", 30, 0), model("y", 40, 0), model("z", 60, 0), model("lost", 50, 0)}, Limits: highLimits,
	}
	p := NewCostAware(testSettings())
	actions := p.Decide(start, s)
	assert.Equal(t, len(actions), 1)
	assert.Equal(t, actions[0].Engine, bundle.UpstreamID("f"))
	assert.Equal(t, actions[0].Slot.Model, bundle.ModelID("x"))

	s.Engines[1] = engine("f", "b", ready("z", 60), ready("x", 30))
	actions = p.Decide(start.Add(time.Second), s)
	assert.Equal(t, actions[0].Action, ledger.Unload)
	assert.Equal(t, actions[0].Engine, bundle.UpstreamID("e"))
}

func TestLoadsOnALostEngineDoNotCountAgainstTheLimit(t *testing.T) {
	pending := ready("x", 60)
	pending.State = Pending
	gone := engine("gone", "a", pending)
	gone.Usable = false
	s := Snapshot{Engines: []Engine{gone, engine("e", "b")}, Models: []Model{model("x", 60, 0)}, Limits: LoadLimits{ModelLoads: 1}}
	actions := NewCostAware(testSettings()).Decide(start, s)
	assert.Equal(t, len(actions), 1)
	assert.Equal(t, actions[0].Engine, bundle.UpstreamID("e"))
}

func TestOnlyReplicaOfTheVersionInForceIsNotEvicted(t *testing.T) {
	outdated := ready("x", 60)
	outdated.Slot.Version = "0"
	s := Snapshot{
		Engines: []Engine{engine("e", "a", ready("x", 60)), engine("f", "b", outdated)},
		Models:  []Model{model("x", 60, 0), model("lost", 60, 0)}, Limits: highLimits,
	}
	for _, a := range NewCostAware(testSettings()).Decide(start, s) {
		assert.Equal(t, a.Engine, bundle.UpstreamID("f"), "%+v", a)
	}
}

func TestAdapterLoadsStayWithinTheLimit(t *testing.T) {
	s := Snapshot{Engines: []Engine{engine("e", "a", ready("m", 40))}, Models: []Model{model("m", 40, 0)}, Limits: LoadLimits{ModelLoads: 1, AdapterLoads: 2}}
	for _, id := range []bundle.AdapterID{"a", "b", "c"} {
		s.Adapters = append(s.Adapters, Adapter{Adapter: bundle.Adapter{ID: id, Model: "m", Memory: 1}, Demand: 1})
	}
	assert.Equal(t, len(NewCostAware(testSettings()).Decide(start, s)), 2)
}

// TestAssignmentServesTheMinimumCut compares the served demand with the minimum over all
// cuts of a small graph. An augmenting path that is missed leaves demand unmet that the
// engines could serve.
func TestAssignmentServesTheMinimumCut(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		models, engines := rapid.IntRange(1, 6).Draw(t, "models"), rapid.IntRange(1, 5).Draw(t, "engines")
		unit := rapid.Float64Range(0, 3)
		demand := rapid.SliceOfN(unit, models, models).Draw(t, "demand")
		compute := rapid.SliceOfN(unit, engines, engines).Draw(t, "compute")
		holds := make([][]bool, models)
		for m := range holds {
			holds[m] = rapid.SliceOfN(rapid.Bool(), engines, engines).Draw(t, "holds")
		}
		served := sumOf(demand) - Assign(demand, compute, holds).TotalUnmet()
		if cut := minimumCut(demand, compute, holds); math.Abs(served-cut) > 1e-3 {
			t.Fatalf("served %f, minimum cut %f", served, cut)
		}
	})
}

func sumOf(values []float64) float64 {
	total := 0.0
	for _, v := range values {
		total += v
	}
	return total
}

// minimumCut returns the minimum cut by trying every set of models on the source side.
func minimumCut(demand, compute []float64, holds [][]bool) float64 {
	minimum := math.Inf(1)
	for set := range 1 << len(demand) {
		cut := 0.0
		reached := make([]bool, len(compute))
		for m := range demand {
			if set&(1<<m) == 0 {
				cut += demand[m]
				continue
			}
			for e, holds := range holds[m] {
				reached[e] = reached[e] || holds
			}
		}
		for e, r := range reached {
			if r {
				cut += compute[e]
			}
		}
		minimum = math.Min(minimum, cut)
	}
	return minimum
}

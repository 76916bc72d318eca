package moves

import (
	"fmt"
	"slices"
	"time"

	"savoryweir/internal/coordination/placement"
	"savoryweir/internal/state/bundle"
	"savoryweir/internal/state/ledger"
)

// unloadTime is how long an unload takes to be confirmed.
const unloadTime = time.Second

// adapterMemory is the size of an adapter.
const adapterMemory bundle.MiB = 256

// change is a load or an unload under way.
type change struct {
	engine int
	slot   ledger.Slot
	load   bool
	done   time.Duration
}

// cell simulates the engines of one service under one policy.
type cell struct {
	service     Service
	policy      placement.Policy
	models      []placement.Model
	adapters    []placement.Adapter
	engines     []placement.Engine
	changes     []change
	rates       placement.LoadLimits
	loadTime    time.Duration
	adapterTime time.Duration
	result      Result
}

// Result is what a policy reached on a scenario.
type Result struct {
	Policy       string
	Demand       float64 // engine-seconds wanted
	Served       float64 // engine-seconds served
	Bound        float64 // engine-seconds that perfect knowledge could serve
	ModelMoves   int     // loads and unloads of models
	AdapterMoves int     // loads and unloads of adapters
	StoreWrites  int     // ledger writes for moves, leases excluded
	LedgerBytes  int     // of all cells at the end
	Engines      int
	Series       []Point
}

// Point is the state at one minute.
type Point struct {
	Minute     int
	Attainment float64
	Moves      int
}

// Attainment returns the share of demand that was served.
func (r Result) Attainment() float64 { return r.Served / r.Demand }

// PerAccelerator returns the attainment for each accelerator that is paid for.
func (r Result) PerAccelerator() float64 { return r.Attainment() / float64(r.Engines) }

// Moves returns all loads and unloads.
func (r Result) Moves() int { return r.ModelMoves + r.AdapterMoves }

func newCell(s Scenario, service Service, policy placement.Policy) *cell {
	share := float64(service.Engines) / float64(s.Engines())
	c := &cell{
		service: service, policy: policy, loadTime: s.LoadTime(), adapterTime: s.AdapterTime,
		rates: placement.LoadLimits{
			ModelLoads:   max(1, int(share*float64(s.LoadsAtOnce)+0.5)),
			AdapterLoads: max(1, int(share*float64(s.AdaptersInTransit))),
		},
	}
	for m := range service.Models {
		c.models = append(c.models, placement.Model{Model: bundle.Model{ID: service.modelID(m), Version: "1", Memory: modelMemory(m), MinReplicas: 1}})
	}
	for a := range service.Adapters {
		id := bundle.AdapterID(fmt.Sprintf("%s-adapter-%02d", service.Name, a))
		c.adapters = append(c.adapters, placement.Adapter{Adapter: bundle.Adapter{ID: id, Model: service.modelID(a % service.Models), Memory: adapterMemory}})
	}
	for e := range service.Engines {
		c.engines = append(c.engines, placement.Engine{
			ID: bundle.UpstreamID(fmt.Sprintf("%s-%02d", service.Name, e)), Zone: bundle.Zone(fmt.Sprint(e % s.Zones)),
			Memory: engineMemory, Compute: 1, Usable: true, FreesMemory: true,
		})
	}
	return c
}

// decide lets one second pass. seen is the demand that the policy is told.
func (c *cell) decide(at time.Duration, seen []float64, adapters []bool, counted bool) {
	c.finish(at)
	for m := range c.models {
		c.models[m].Demand = seen[m]
	}
	for a := range c.adapters {
		c.adapters[a].Demand = 0
		if adapters[a] {
			c.adapters[a].Demand = 1
		}
	}
	actions := c.policy.Decide(start.Add(at), placement.Snapshot{Engines: c.snapshot(), Models: c.models, Adapters: c.adapters, Limits: c.rates})
	for _, action := range actions {
		c.begin(action, at, counted)
	}
	if counted && len(actions) > 0 {
		c.result.StoreWrites++
	}
}

func (c *cell) snapshot() []placement.Engine {
	engines := slices.Clone(c.engines)
	for e := range engines {
		engines[e].Allocated = 0
		for _, i := range engines[e].Replicas {
			engines[e].Allocated += i.Memory
		}
	}
	return engines
}

func (c *cell) begin(a placement.Action, at time.Duration, measured bool) {
	e := slices.IndexFunc(c.engines, func(e placement.Engine) bool { return e.ID == a.Engine })
	engine := &c.engines[e]
	isLoad := a.Action == ledger.Load
	ready := at + unloadTime
	if isLoad {
		engine.Replicas = append(engine.Replicas, placement.Replica{Slot: a.Slot, Memory: a.Memory, State: placement.Pending})
		ready = at + c.duration(a.Slot)
	} else {
		engine.Replicas[c.find(e, a.Slot)].State = placement.Unloading
	}
	c.changes = append(c.changes, change{engine: e, slot: a.Slot, load: isLoad, done: ready})
	if measured {
		c.count(a.Slot)
	}
}

func (c *cell) count(slot ledger.Slot) {
	if slot.Adapter == "" {
		c.result.ModelMoves++
		return
	}
	c.result.AdapterMoves++
}

// duration returns how long a load takes, slower if more run at once than the share allows.
func (c *cell) duration(slot ledger.Slot) time.Duration {
	if slot.Adapter != "" {
		return c.adapterTime
	}
	running := 1
	for _, change := range c.changes {
		if change.load && change.slot.Adapter == "" {
			running++
		}
	}
	return time.Duration(float64(c.loadTime) * max(1, float64(running)/float64(c.rates.ModelLoads)))
}

func (c *cell) find(e int, slot ledger.Slot) int {
	return slices.IndexFunc(c.engines[e].Replicas, func(i placement.Replica) bool { return i.Slot == slot })
}

func (c *cell) finish(at time.Duration) {
	c.changes = slices.DeleteFunc(c.changes, func(change change) bool {
		if change.done > at {
			return false
		}
		engine := &c.engines[change.engine]
		i := c.find(change.engine, change.slot)
		if change.load {
			engine.Replicas[i].State = placement.Ready
		} else {
			engine.Replicas = slices.Delete(slices.Clone(engine.Replicas), i, i+1)
		}
		return true
	})
}

// measure counts the demand that the ready replicas can serve.
func (c *cell) measure(now []float64) {
	compute := make([]float64, len(c.engines))
	holds := make([][]bool, len(c.models))
	for m, model := range c.models {
		holds[m] = make([]bool, len(c.engines))
		for e, engine := range c.engines {
			compute[e] = engine.Compute
			holds[m][e] = isReady(engine, ledger.Slot{Model: model.ID, Version: model.Version})
		}
	}
	wanted, capacity := sum(now), sum(compute)
	c.result.Demand += wanted
	c.result.Served += wanted - placement.Assign(now, compute, holds).TotalUnmet()
	c.result.Bound += min(wanted, capacity)
}

func sum(values []float64) float64 {
	total := 0.0
	for _, v := range values {
		total += v
	}
	return total
}

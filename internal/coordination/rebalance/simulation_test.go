package rebalance

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// simulatedEngine is an engine that completes orders after a realistic time.
type simulatedEngine struct {
	Engine
	doneAt time.Duration // when the active order completes
	activeOrder
}

type activeOrder struct {
	Action
	inProgress bool
}

const (
	simulationStep = 250 * time.Millisecond
	idleUnloadTime = 150 * time.Millisecond
	busyUnloadTime = 2 * time.Second
)

// finishOrder completes the active order if it is due.
func (e *simulatedEngine) finishOrder(now time.Duration) {
	if !e.inProgress || now < e.doneAt {
		return
	}
	e.inProgress, e.HasModelOrder = false, false
	if e.Load {
		e.Upstream.Models = append(e.Upstream.Models, engine("", e.Model).Upstream.Models...)
		if !slices.Contains(e.Upstream.OnDisk, e.Model) {
			e.Upstream.OnDisk = append(e.Upstream.OnDisk, e.Model)
		}
		e.LoadingModel = ""
		return
	}
	for i, r := range e.Upstream.Models {
		if r.Model == e.Model {
			e.Upstream.Models = slices.Delete(e.Upstream.Models, i, i+1)
			break
		}
	}
	delete(e.Draining, e.Model)
}

// startOrder starts an order; tokenRate is the demand for its model.
func (e *simulatedEngine) startOrder(now time.Duration, a Action, tokenRate float64) {
	e.activeOrder, e.HasModelOrder, e.doneAt = activeOrder{a, true}, true, now+4*time.Second
	switch {
	case a.Load && a.FromDisk:
		e.doneAt = now + time.Second
	case a.Load:
	case tokenRate > 0:
		e.doneAt = now + busyUnloadTime
	default:
		e.doneAt = now + idleUnloadTime
	}
	if e.LoadingModel = a.MakesRoomFor; a.Load {
		e.LoadingModel = a.Model
	} else {
		e.Draining[a.Model] = true
	}
}

// TestBoundShiftedDemandGetsReplicasFromIdleModels simulates a heavily loaded fleet in which
// nearly every replica is the last one of its model while demand shifts to a model that needs
// three engines. The latency target covers 95 in 100 requests, so after the time of two loads
// engines below their capacity must serve 95 in 100 of the demanded tokens.
func TestBoundShiftedDemandGetsReplicasFromIdleModels(t *testing.T) {
	const engines, models, duration = 7, 20, 10 * time.Second
	var simulated []*simulatedEngine
	for n := range engines {
		var held []string
		for k := range 3 {
			held = append(held, fmt.Sprintf("m%d", (3*n+k)%models))
		}
		simulated = append(simulated, &simulatedEngine{Engine: onDisk(engine(fmt.Sprintf("e%d", n), held...), held...)})
	}
	tokenRates := map[string]float64{"m4": 50000, "m1": 3000, "m9": 3000}
	for now := time.Duration(0); now < duration; now += simulationStep {
		s := Snapshot{Class: testClass(models), PrefillRates: testPrefillRates(models), StoreLoadBudget: 5, TokenRates: tokenRates}
		for _, e := range simulated {
			e.finishOrder(now)
			s.Engines = append(s.Engines, e.Engine)
		}
		for _, a := range Plan(s) {
			i := slices.IndexFunc(simulated, func(e *simulatedEngine) bool { return e.Upstream.ID == a.Upstream })
			simulated[i].startOrder(now, a, tokenRates[a.Model])
		}
	}
	replicas := make(map[string]float64)
	for _, e := range simulated {
		for _, r := range e.Upstream.Models {
			replicas[r.Model]++
		}
	}
	total, withinCapacity := 0.0, 0.0
	for model, rate := range tokenRates {
		total += rate
		if replicas[model] > 0 && rate/replicas[model] < testPrefillRates(models)[model] {
			withinCapacity += rate
		}
	}
	assert.Assert(t, withinCapacity >= 0.95*total, "engines below capacity serve %.0f of %.0f tokens/s, replicas %v", withinCapacity, total, replicas)
	assert.Assert(t, len(replicas) >= models-4, "more models lost all replicas than the busy one needs: %v", replicas)
}

package joint

import (
	"time"

	"golang.org/x/sync/errgroup"

	"savoryweir/internal/bench/moves"
	"savoryweir/internal/bench/policy"
	"savoryweir/internal/coordination/placement"
	"savoryweir/internal/state/bundle"
)

// Signal is how a placement policy learns of demand.
type Signal uint8

// The signals.
const (
	SignalArrivals Signal = iota // requests as they arrive, by placement.Estimator
	SignalAnswers                // tokens of answers, unsmoothed
)

// Policy is a placement policy with its view of demand and the routing of the entries.
type Policy struct {
	Name      string
	Placement moves.Policy
	Signal    Signal
	Routing   policy.Policy
	Perfect   bool // all models are on all engines
}

// Result is what a policy reached on a scenario.
type Result struct {
	Policy  string
	Perfect bool
	Data    *policy.Result // of the data path
	Moves   moves.Result   // moves and ledger writes
	Hours   float64
}

// Attainment returns the share of all requests that met their deadline.
func (r Result) Attainment() float64 {
	met, total := 0, 0
	for _, c := range r.Data.Classes {
		met += c.Met()
		total += c.Total()
	}
	return float64(met) / float64(max(total, 1))
}

// PerAccelerator returns the attainment for each accelerator that is paid for.
func (r Result) PerAccelerator() float64 { return r.Attainment() / float64(r.Moves.Engines) }

// MovesAnHour returns the loads and unloads an hour.
func (r Result) MovesAnHour() float64 { return float64(r.Moves.Moves()) / r.Hours }

// Run measures one policy on one scenario. The same seed gives the same result.
func Run(s Scenario, p Policy) Result {
	driver := newDriver(s, p)
	data := policy.RunPlaced(s.Routing, p.Routing, driver)
	data.Policy = p.Name
	return Result{
		Policy: p.Name, Perfect: p.Perfect, Data: data,
		Moves: driver.placing.Count(), Hours: s.Placement.Duration.Hours(),
	}
}

// RunAll runs the policies, at most parallel of them at a time.
func RunAll(s Scenario, policies []Policy, parallel int) []Result {
	results := make([]Result, len(policies))
	var group errgroup.Group
	group.SetLimit(parallel)
	for i, p := range policies {
		group.Go(func() error {
			results[i] = Run(s, p)
			return nil
		})
	}
	_ = group.Wait() // the runs return no error
	return results
}

// Bound returns the best attainment per accelerator of the runs with perfect knowledge.
func Bound(results []Result) float64 {
	bound := 0.0
	for _, r := range results {
		if r.Perfect {
			bound = max(bound, r.PerAccelerator())
		}
	}
	return bound
}

// driver feeds a placement policy with what the entries report. It implements policy.Placement.
type driver struct {
	policy     Policy
	placing    *moves.Placing
	names      [][]bundle.ModelID
	estimators []*placement.Estimator // per service
	engines    []float64              // per service
}

// epoch is the wall time at which the virtual time starts.
var epoch = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

func newDriver(s Scenario, p Policy) *driver {
	d := &driver{policy: p, placing: moves.NewPlacing(s.Placement, p.Placement, s.Routing.Seed)}
	for i, spec := range s.Routing.Services {
		d.estimators = append(d.estimators, &placement.Estimator{EngineTokens: spec.EngineTokens(), Smoothing: s.Smoothing})
		d.engines = append(d.engines, float64(spec.Engines))
		d.names = append(d.names, s.Placement.Services[i].ModelIDs())
	}
	return d
}

// Demand implements policy.Placement.
func (d *driver) Demand(at time.Duration) [][]float64 { return d.placing.Demand(at) }

// Ready implements policy.Placement.
func (d *driver) Ready(service, model, engine int) bool {
	return d.policy.Perfect || d.placing.Ready(service, model, engine)
}

// Decide implements policy.Placement.
func (d *driver) Decide(at time.Duration, traffic [][]policy.Traffic) {
	if d.policy.Perfect {
		return
	}
	seen := make([][]float64, 0, len(traffic))
	for service, models := range traffic {
		seen = append(seen, d.demand(at, service, models))
	}
	d.placing.Decide(at, seen)
}

func (d *driver) demand(at time.Duration, service int, models []policy.Traffic) []float64 {
	estimator := d.estimators[service]
	var named []placement.Traffic
	var answered []float64
	for m, t := range models {
		named = append(named, placement.Traffic{
			Model: d.names[service][m], Requests: t.Requests, Completed: t.Completed, Tokens: t.Tokens,
		})
		answered = append(answered, t.Tokens/estimator.EngineTokens)
	}
	if d.policy.Signal == SignalAnswers {
		return answered
	}
	return estimator.Demand(epoch.Add(at), named, d.engines[service])
}

// Package joint measures routing and placement together under virtual time: requests
// queue, wait for models that load, and are routed by instances with their own delayed
// view, while a placement policy moves models by the demand that these instances report.
//
// Engines, entries and requests are those of internal/bench/policy, the placement cells
// and the demand over time those of internal/bench/moves.
package joint

import (
	"time"

	"savoryweir/internal/bench/moves"
	"savoryweir/internal/bench/policy"
)

// Scenario is one deployment with its demand.
type Scenario struct {
	Routing   policy.Scenario
	Placement moves.Scenario
	Smoothing time.Duration // of the traffic that placement policies see
}

// Times of a run.
const (
	// smoothing is the default of placement.Settings.
	smoothing = 5 * time.Second
	// demandEvery is the interval of the [demand] section in the deployments of today.
	demandEvery = time.Second

	warmUp   = 10 * time.Minute
	duration = time.Hour
)

// Kalyvas is the deployment in Attica.
func Kalyvas(seed uint64) Scenario { return join(policy.Kalyvas(seed), moves.Kalyvas()) }

// Magnolia is the deployment in the Gulf South.
func Magnolia(seed uint64) Scenario { return join(policy.Magnolia(seed), moves.Magnolia()) }

// join gives the services of the placement scenario the engines and requests of the
// routing scenario's first service.
func join(routing policy.Scenario, placement moves.Scenario) Scenario {
	model := routing.Services[0]
	routing.Services = nil
	for _, s := range placement.Services {
		spec := model
		spec.Name = s.ServiceName()
		spec.Engines, spec.Models = s.Engines, s.Models
		routing.Services = append(routing.Services, spec)
	}
	routing.Name = "joint-" + routing.Name
	routing.DemandEvery = demandEvery
	routing.ShiftEvery = 0 // the placement scenario has its own shifts
	s := Scenario{Routing: routing, Placement: placement, Smoothing: smoothing}
	return s.Lasting(duration)
}

// Lasting sets the time that is measured after the warm-up.
func (s Scenario) Lasting(d time.Duration) Scenario {
	s.Placement.WarmUp, s.Placement.Duration = warmUp, d
	s.Routing.Warmup, s.Routing.Duration = warmUp, warmUp+d
	return s
}

package policy

import (
	"fmt"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"savoryweir/internal/coordination/bulkhead"
)

// Bench compares policies on one scenario.
type Bench struct {
	Scenario Scenario
	Policies []Policy
}

const (
	faultStart    = 40 * time.Second
	faultDuration = 30 * time.Second
	faultRun      = 120 * time.Second
	faultShare    = 0.5
	faultSlowdown = 4
	crashEvery    = 2 * time.Second
	crashRestart  = 5 * time.Second
	highLoad      = 0.97
	longLag       = 3 * time.Second
	smallEntry    = 128 // places of an entry in the bulkhead scenarios
)

// WithLoad sets the load of the first service.
func WithLoad(s Scenario, load float64) Scenario {
	s.Name = fmt.Sprintf("%s-load-%.0f", s.Name, 100*load)
	s.Services = slices.Clone(s.Services)
	s.Services[0].Load = load
	return s
}

// WithLag makes load reports rare and late.
func WithLag(s Scenario, lag time.Duration) Scenario {
	s.Name = fmt.Sprintf("%s-lag-%s", s.Name, lag)
	s.ReportEvery = lag
	s.ReportLag = lag
	return s
}

// WithFault strikes half of the engines of the first service for 30 s.
func WithFault(s Scenario, kind FaultKind) Scenario {
	s.Name = fmt.Sprintf("%s-fault-%s", s.Name, kind)
	s.Duration = faultRun
	s.Faults = []Fault{{
		Service: s.Services[0].Name, Kind: kind, Share: faultShare, Slowdown: faultSlowdown,
		Start: faultStart, Duration: faultDuration,
	}}
	return s
}

// WithZoneDown takes down the first service's engines of the first zone for 30 s.
func WithZoneDown(s Scenario) Scenario {
	s.Name += "-zone-down"
	s.Duration = faultRun
	s.Faults = []Fault{{
		Service: s.Services[0].Name, Kind: FaultDown, Share: 1, Zone: 1,
		Start: faultStart, Duration: faultDuration,
	}}
	return s
}

// WithSickService strikes all engines of the first service for the rest of the run.
func WithSickService(s Scenario, kind FaultKind) Scenario {
	s.Name = fmt.Sprintf("%s-sick-%s", s.Name, kind)
	s.Duration = faultRun
	s.Faults = []Fault{{
		Service: s.Services[0].Name, Kind: kind, Share: 1, Slowdown: faultSlowdown,
		Start: faultStart, Duration: faultRun,
	}}
	return s
}

// WithCrash sends a crashing request to all entries at once, again and again.
func WithCrash(s Scenario) Scenario {
	s.Name += "-crash"
	s.Duration = faultRun
	s.Crash = &CrashSpec{
		Service: s.Services[0].Name, Start: faultStart, Every: crashEvery,
		AtOnce: s.Instances, Restart: crashRestart,
	}
	return s
}

// WithBulkhead divides a small entry's places between the services, or leaves
// them to whoever comes first.
func WithBulkhead(p Policy, divided bool) Policy {
	if divided {
		p.Name += "-bulkhead"
		p.Bulkhead = bulkhead.Settings{Reserved: smallEntry / 2}
		return p
	}
	p.Name += "-no-bulkhead"
	p.Bulkhead = bulkhead.Settings{Shared: smallEntry}
	return p
}

// Benches returns all benches of a seed. The one at the target size takes minutes.
func Benches(seed uint64) []Bench {
	var benches []Bench
	for _, s := range []Scenario{Kalyvas(seed), Magnolia(seed)} {
		benches = append(benches,
			Bench{Scenario: s, Policies: RoutingPolicies()},
			Bench{Scenario: WithLoad(s, highLoad), Policies: RoutingPolicies()},
			Bench{Scenario: WithLag(s, longLag), Policies: RoutingPolicies()},
		)
		for _, kind := range []FaultKind{FaultSlow, FaultHung, FaultFailing, FaultFlapping, FaultDown} {
			benches = append(benches, Bench{WithFault(s, kind), []Policy{Keyed(), LateTwoChoices(), Naive()}})
		}
		for _, kind := range []FaultKind{FaultSlow, FaultHung, FaultFailing, FaultFlapping} {
			policies := []Policy{
				WithBulkhead(Keyed(), true), WithBulkhead(Keyed(), false), WithBulkhead(Naive(), false),
			}
			benches = append(benches, Bench{WithSickService(s, kind), policies})
		}
		benches = append(benches, Bench{WithZoneDown(s), []Policy{Keyed(), LateTwoChoices(), Zonal(), ZonalSpill()}})
		benches = append(benches, Bench{WithCrash(s), []Policy{Keyed(), LateTwoChoices(), HomeByModel(), Unsuspecting()}})
	}
	return append(benches, Bench{Scenario: Target(seed), Policies: []Policy{
		Random(), TwoChoices(), Keyed(), HomeByModel(), PerfectKnowledge(),
	}})
}

// RunAll runs the policies, at most parallel of them at a time.
func (b Bench) RunAll(parallel int) []*Result {
	results := make([]*Result, len(b.Policies))
	var group errgroup.Group
	group.SetLimit(parallel)
	for i, p := range b.Policies {
		group.Go(func() error {
			results[i] = Run(b.Scenario, p)
			return nil
		})
	}
	_ = group.Wait() // the runs return no error
	return results
}

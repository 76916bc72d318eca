package policy

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"savoryweir/internal/state/bundle"
)

const (
	// boundShare is the aim for attainment per accelerator, as a share of what
	// perfect knowledge reaches at 85 % load.
	boundShare = 0.95
	// isolation is how far a sick service may pull down another one.
	isolation = 0.02
	// boundCrashed is how many upstreams a crashing request may reach.
	boundCrashed = 2

	boundSeed = 1
	// boundFaultSeeds is how many seeds are run with each kind of fault.
	boundFaultSeeds = 5
	boundBurstSeeds = 10
	burstSeed       = 2 // a burst and a tenfold shift follow at once on the fault
	boundRun        = faultRun
)

func deployments(seed uint64) []Scenario {
	scenarios := []Scenario{Kalyvas(seed), Magnolia(seed)}
	for i := range scenarios {
		scenarios[i].Duration = boundRun
	}
	return scenarios
}

// recovered is the attainment of requests that arrive from 10 s after the fault
// ended, as a share of that of the same requests without the fault.
func recovered(healthy, faulty *Result) float64 {
	from := faultStart + faultDuration + 10*time.Second
	return faulty.Window(from, boundRun-10*time.Second) / healthy.Window(from, boundRun-10*time.Second)
}

func TestBoundAttainmentPerAccelerator(t *testing.T) {
	for _, s := range deployments(boundSeed) {
		t.Run(s.Name, func(t *testing.T) {
			t.Parallel()
			results := Bench{s, []Policy{Keyed(), PerfectKnowledge(), PerfectOptimist()}}.RunAll(1)
			share := results[0].AttainmentPerAccelerator() / Bound(results)
			assert.Assert(t, share >= boundShare, "seed %d: %.4f of the bound", s.Seed, share)
		})
	}
}

func TestRandomRoutingMissesTheBound(t *testing.T) {
	s := Kalyvas(boundSeed)
	results := Bench{s, []Policy{Random(), PerfectKnowledge()}}.RunAll(2)
	share := results[0].AttainmentPerAccelerator() / Bound(results)
	assert.Assert(t, share < boundShare, "seed %d: %.4f of the bound", s.Seed, share)
}

func TestBoundNoOverloadAfterAFault(t *testing.T) {
	for seed := range uint64(boundFaultSeeds) {
		for _, s := range deployments(seed + 1) {
			healthy := Run(s, Keyed())
			for _, kind := range []FaultKind{FaultSlow, FaultHung, FaultFailing, FaultFlapping, FaultDown} {
				faulty := WithFault(s, kind)
				t.Run(fmt.Sprintf("%s-%d", faulty.Name, s.Seed), func(t *testing.T) {
					t.Parallel()
					share := recovered(healthy, Run(faulty, Keyed()))
					assert.Assert(t, share >= 1-isolation, "seed %d: %.4f of the figure without the fault", s.Seed, share)
				})
			}
		}
	}
}

// Long streams that the fault slowed down still run when it has ended, at the
// moment of a burst and of a tenfold shift.
func TestBoundNoOverloadAfterSlowEnginesInABurst(t *testing.T) {
	for seed := range uint64(boundBurstSeeds) {
		for _, s := range deployments(seed + 1) {
			t.Run(fmt.Sprintf("%s-%d", s.Name, s.Seed), func(t *testing.T) {
				t.Parallel()
				share := recovered(Run(s, Keyed()), Run(WithFault(s, FaultSlow), Keyed()))
				assert.Assert(t, share >= 1-isolation, "seed %d: %.4f of the figure without the fault", s.Seed, share)
			})
		}
	}
}

func TestLateStreamsCrowdEnginesAfterAFaultUnlessGivenUp(t *testing.T) {
	s := deployments(burstSeed)[1]
	policy := Keyed()
	policy.Progress = false
	share := recovered(Run(s, policy), Run(WithFault(s, FaultSlow), policy))
	assert.Assert(t, share < 1-isolation, "%s, seed %d: %.4f of the figure without the fault", s.Name, s.Seed, share)
}

func TestNaivePolicyStaysDownAfterAFault(t *testing.T) {
	for _, s := range deployments(boundSeed) {
		t.Run(s.Name, func(t *testing.T) {
			t.Parallel()
			share := recovered(Run(s, Naive()), Run(WithFault(s, FaultSlow), Naive()))
			assert.Assert(t, share < 0.5, "seed %d: %.4f of the figure without the fault", s.Seed, share)
		})
	}
}

func otherService(s Scenario) bundle.ServiceName { return s.Services[1].Name }

func TestBoundSickServiceLeavesOthersAlone(t *testing.T) {
	policy := WithBulkhead(Keyed(), true)
	for _, s := range deployments(boundSeed) {
		healthy := Run(s, policy).Attainment(otherService(s))
		for _, kind := range []FaultKind{FaultSlow, FaultHung, FaultFailing, FaultFlapping} {
			sick := WithSickService(s, kind)
			t.Run(sick.Name, func(t *testing.T) {
				t.Parallel()
				other := Run(sick, policy).Attainment(otherService(s))
				assert.Assert(t, other >= healthy-isolation, "seed %d: %.4f, without the fault %.4f", s.Seed, other, healthy)
			})
		}
	}
}

func TestSickServiceSpreadsWithoutBulkhead(t *testing.T) {
	s := deployments(boundSeed)[1]
	policy := WithBulkhead(Keyed(), false)
	healthy := Run(s, policy).Attainment(otherService(s))
	other := Run(WithSickService(s, FaultFlapping), policy).Attainment(otherService(s))
	assert.Assert(t, other < healthy-isolation, "seed %d: %.4f, without the fault %.4f", s.Seed, other, healthy)
}

func TestBoundCrashingRequestReachesTwoUpstreams(t *testing.T) {
	for seed := range uint64(3) {
		for _, s := range deployments(seed + 1) {
			t.Run(fmt.Sprintf("%s-%d", s.Name, s.Seed), func(t *testing.T) {
				t.Parallel()
				r := Run(WithCrash(s), Keyed())
				assert.Assert(t, r.Crashes > 0)
				assert.Assert(t, r.CrashedUpstreams <= boundCrashed, "seed %d: %d upstreams", s.Seed, r.CrashedUpstreams)
				assert.Equal(t, r.InnocentRefused, 0, "seed %d", s.Seed)
			})
		}
	}
}

func TestCrashingRequestSpreadsWithoutTheRegistryOrThePairs(t *testing.T) {
	s := WithCrash(deployments(boundSeed)[0])
	for _, policy := range []Policy{Unsuspecting(), LateTwoChoices()} {
		r := Run(s, policy)
		assert.Assert(t, r.CrashedUpstreams > boundCrashed, "%s, seed %d: %d upstreams", policy.Name, s.Seed, r.CrashedUpstreams)
	}
}

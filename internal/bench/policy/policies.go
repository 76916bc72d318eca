package policy

import (
	"math/rand/v2"

	"savoryweir/internal/coordination/bulkhead"
	"savoryweir/internal/coordination/retry"
	"savoryweir/internal/coordination/routing"
	"savoryweir/internal/state/bundle"
)

// HomeScope tells which requests share a home queue.
type HomeScope string

// The scopes of home queues.
const (
	HomeNone    HomeScope = ""
	HomeModel   HomeScope = "model"
	HomeService HomeScope = "service"
)

// Policy is a set of decisions to measure.
type Policy struct {
	Name   string
	Picker func(r *rand.Rand, zone bundle.Zone) routing.Picker
	Home   HomeScope
	// Exact gives one central instance the true state without delay.
	Exact bool
	// Optimist refuses only what no empty engine could finish in time.
	Optimist    bool
	Admission   bool
	Limits      bool
	RetryBudget bool
	Retry       retry.Settings
	Outlier     bool
	Suspects    bool
	CancelLate  bool
	// Progress follows the tokens of streams: it predicts by the pace of each engine
	// and gives up streams that will miss their deadline.
	Progress bool
	Bulkhead bulkhead.Settings
}

const (
	overbook    = 2
	spillBelow  = 0.7
	prefixBonus = 4 // requests of load
)

func base(name string) Policy {
	return Policy{
		Name: name, Admission: true, Limits: true, RetryBudget: true,
		Retry: retry.DefaultSettings(), Outlier: true, Suspects: true, CancelLate: true, Progress: true,
		Bulkhead: bulkhead.Settings{Reserved: 512, Shared: 512},
	}
}

// Random routes at random.
func Random() Policy {
	p := base("random")
	p.Picker = func(r *rand.Rand, _ bundle.Zone) routing.Picker { return routing.NewRandom(r) }
	return p
}

// LeastReported routes to the least reported load.
func LeastReported() Policy {
	p := base("least-reported")
	p.Picker = func(*rand.Rand, bundle.Zone) routing.Picker { return routing.NewLeastReportedLoad() }
	return p
}

// TwoChoices routes by power of two choices and leaves the queue to the engines.
func TwoChoices() Policy {
	p := base("two-choices")
	p.Picker = func(r *rand.Rand, _ bundle.Zone) routing.Picker { return routing.NewTwoChoices(r) }
	return p
}

// LateTwoChoices routes by power of two choices when an engine has room.
func LateTwoChoices() Policy {
	p := base("late-two-choices")
	p.Picker = func(r *rand.Rand, _ bundle.Zone) routing.Picker { return routing.NewLateBindingTwoChoices(r, overbook) }
	return p
}

// Keyed routes to the cheaper of the two engines that the request's fingerprint names.
func Keyed() Policy {
	p := base("keyed")
	p.Picker = newKeyed
	return p
}

func newKeyed(_ *rand.Rand, zone bundle.Zone) routing.Picker {
	return routing.NewHashedPair(routing.DefaultHashedPairSettings(zone))
}

// PrefixKeyed is Keyed with prefix affinity.
func PrefixKeyed() Policy {
	p := base("prefix-keyed")
	p.Picker = func(_ *rand.Rand, zone bundle.Zone) routing.Picker {
		settings := routing.DefaultHashedPairSettings(zone)
		settings.PrefixAffinity = prefixBonus
		return routing.NewHashedPair(settings)
	}
	return p
}

// HomeByModel binds all requests of a model at one instance, to the least loaded engine.
func HomeByModel() Policy {
	p := base("home-model")
	p.Home = HomeModel
	p.Picker = func(*rand.Rand, bundle.Zone) routing.Picker { return routing.NewLeastEstimatedLoad(overbook) }
	return p
}

// HomeKeyed binds all requests of a model at one instance, to the pair of Keyed.
func HomeKeyed() Policy {
	p := base("home-keyed")
	p.Home = HomeModel
	p.Picker = newKeyed
	return p
}

// Naive sends each request at once, repeats failures and timeouts without a
// budget, and has neither admission nor limits.
func Naive() Policy {
	p := Policy{Name: "naive", Retry: retry.Settings{MaxAttempts: 4, BackoffBase: 1, BackoffMax: 1}}
	p.Picker = func(r *rand.Rand, _ bundle.Zone) routing.Picker { return routing.NewTwoChoices(r) }
	p.Bulkhead = bulkhead.Settings{Shared: 1024}
	return p
}

// Zonal is LateTwoChoices within the entry's zone alone.
func Zonal() Policy { return zonal("zonal", 0) }

// ZonalSpill is Zonal that may use the spare places of other zones.
func ZonalSpill() Policy { return zonal("zonal-spill", spillBelow) }

func zonal(name string, below float64) Policy {
	p := base(name)
	p.Picker = func(r *rand.Rand, zone bundle.Zone) routing.Picker {
		s := routing.NewLateBindingTwoChoices(r, overbook)
		s.Filters = append(s.Filters, routing.ZoneFilter{Local: zone, SpilloverThreshold: below})
		return s
	}
	return p
}

// Unsuspecting is Keyed without the registry of crash suspects.
func Unsuspecting() Policy {
	p := Keyed()
	p.Name = "keyed-unsuspecting"
	p.Suspects = false
	return p
}

// PerfectKnowledge is a central scheduler that sees the true state without delay.
// It is the bound that the other policies are measured against.
func PerfectKnowledge() Policy {
	p := base("perfect-knowledge")
	p.Exact = true
	p.Picker = func(*rand.Rand, bundle.Zone) routing.Picker { return routing.NewLeastEstimatedLoad(0) }
	p.Bulkhead = bulkhead.Settings{Reserved: 1 << 20}
	return p
}

// PerfectOptimist is PerfectKnowledge without refusals by the present pace. The
// bound is the better of the two.
func PerfectOptimist() Policy {
	p := PerfectKnowledge()
	p.Name = "perfect-optimist"
	p.Optimist = true
	return p
}

// RoutingPolicies returns the policies that differ only in routing, the bounds last.
func RoutingPolicies() []Policy {
	return []Policy{
		Random(), LeastReported(), TwoChoices(), LateTwoChoices(), Keyed(), PrefixKeyed(),
		HomeByModel(), HomeKeyed(), PerfectKnowledge(), PerfectOptimist(),
	}
}

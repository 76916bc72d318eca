// Package policy measures the decisions of the data path under virtual time.
//
// It runs the packages under internal/coordination as an entry does, over several
// instances that each have their own delayed view, against a small model of
// batching engines. Demand is open loop and comes from a seeded generator. It
// holds only what the policies see and is no simulator of a cluster: there is no
// membership, no store and no transport.
package policy

import (
	"time"

	"savoryweir/internal/coordination/routing"
	"savoryweir/internal/state/bundle"
)

// ClassSpec is the demand of one class of a service.
type ClassSpec struct {
	Class    routing.Class
	Share    float64 // of the service's requests
	Tokens   float64 // mean length of the answer
	Grace    time.Duration
	PerToken time.Duration // the deadline is Grace and PerToken for each token
}

// ServiceSpec is one service with its upstreams and its demand.
type ServiceSpec struct {
	Name       bundle.ServiceName
	Engines    int
	Slots      int           // batch size of an engine
	Base       time.Duration // of a step with an empty batch
	PerRequest time.Duration // added to a step by each request of the batch
	PrefillHit float64       // steps before the first token with the prefix in the cache
	PrefillAll float64       // steps before the first token without
	Models     int
	Prefixes   int // prompt prefixes of each model
	CacheSize  int // prefixes in the cache of an engine
	Callers    int
	Load       float64 // share of the capacity
	Classes    []ClassSpec
}

// Scenario is a deployment under a demand, with its faults.
type Scenario struct {
	Name         string
	Seed         uint64
	Zones        int
	Instances    int
	Accelerators int           // of each engine
	NearDelay    time.Duration // one way within an availability zone
	FarDelay     time.Duration // one way between availability zones
	ReportEvery  time.Duration // load reports of each engine to each instance, zero for none
	ReportLag    time.Duration
	DemandEvery  time.Duration // demand reports of each instance, with a placement that moves
	Warmup       time.Duration // requests that arrive before are not counted
	Duration     time.Duration
	ShiftEvery   time.Duration // time between tenfold shifts of a quiet model
	ShiftFor     time.Duration
	Services     []ServiceSpec
	Faults       []Fault
	Crash        *CrashSpec
}

// FaultKind is what a fault does to an engine.
type FaultKind string

// The kinds of faults.
const (
	FaultSlow     FaultKind = "slow"
	FaultHung     FaultKind = "hung"
	FaultFailing  FaultKind = "failing"
	FaultFlapping FaultKind = "flapping"
	FaultDown     FaultKind = "down"
)

// Fault strikes a share of the engines of a service.
type Fault struct {
	Service  bundle.ServiceName
	Kind     FaultKind
	Share    float64 // of the service's engines
	Zone     int     // strikes only this zone when above zero, counted from one
	Slowdown float64 // of FaultSlow
	Start    time.Duration
	Duration time.Duration
}

// CrashSpec is a request that crashes each engine that runs it.
type CrashSpec struct {
	Service bundle.ServiceName
	Start   time.Duration
	Every   time.Duration // between two resends
	AtOnce  int           // entries that each resend reaches at the same moment
	Restart time.Duration // of a crashed engine
}

const (
	tokenGrace = 890 * time.Millisecond // to the first token
	tokenPace  = 77 * time.Millisecond  // between tokens

	overnightGrace = 5 * time.Minute
	plainGrace     = time.Second
)

func generationClasses(tokens float64) []ClassSpec {
	return []ClassSpec{
		{Class: routing.ClassNow, Share: 0.70, Tokens: tokens, Grace: tokenGrace, PerToken: tokenPace},
		{Class: routing.ClassLong, Share: 0.05, Tokens: 8 * tokens, Grace: tokenGrace, PerToken: tokenPace},
		{Class: routing.ClassOvernight, Share: 0.25, Tokens: 1.5 * tokens, Grace: overnightGrace},
	}
}

func generationService(name bundle.ServiceName, engines, models int) ServiceSpec {
	return ServiceSpec{
		Name: name, Engines: engines, Slots: 32,
		Base: 20 * time.Millisecond, PerRequest: 1750 * time.Microsecond,
		PrefillHit: 1, PrefillAll: 8,
		Models: models, Prefixes: 20, CacheSize: 64, Callers: 30,
		Load: 0.85, Classes: generationClasses(60),
	}
}

func plainService(name bundle.ServiceName, upstreams int) ServiceSpec {
	return ServiceSpec{
		Name: name, Engines: upstreams, Slots: 16,
		Base: 5 * time.Millisecond, PerRequest: 500 * time.Microsecond,
		Callers: 30, Load: 0.3,
		Classes: []ClassSpec{{Class: routing.ClassNow, Share: 1, Tokens: 4, Grace: plainGrace}},
	}
}

// Kalyvas is the deployment in Attica.
func Kalyvas(seed uint64) Scenario {
	return Scenario{
		Name: "kalyvas", Seed: seed, Zones: 3, Instances: 9, Accelerators: 1,
		NearDelay: 100 * time.Microsecond, FarDelay: 500 * time.Microsecond,
		ReportEvery: 500 * time.Millisecond, ReportLag: 250 * time.Millisecond,
		Warmup: 20 * time.Second, Duration: 5 * time.Minute,
		ShiftEvery: 60 * time.Second, ShiftFor: 30 * time.Second,
		Services: []ServiceSpec{generationService("tagger", 9, 20), plainService("desk", 3)},
	}
}

// Magnolia is the deployment in the Gulf South.
func Magnolia(seed uint64) Scenario {
	return Scenario{
		Name: "magnolia", Seed: seed, Zones: 4, Instances: 8, Accelerators: 1,
		NearDelay: 200 * time.Microsecond, FarDelay: time.Millisecond,
		ReportEvery: 500 * time.Millisecond, ReportLag: 250 * time.Millisecond,
		Warmup: 20 * time.Second, Duration: 5 * time.Minute,
		ShiftEvery: 60 * time.Second, ShiftFor: 30 * time.Second,
		Services: []ServiceSpec{generationService("recipe", 18, 40), plainService("oven", 4)},
	}
}

// Target is the size that the system has to carry later. Load is learnt from answers alone.
func Target(seed uint64) Scenario {
	classes := generationClasses(228)
	return Scenario{
		Name: "target", Seed: seed, Zones: 6, Instances: 320, Accelerators: 8,
		NearDelay: 200 * time.Microsecond, FarDelay: time.Millisecond,
		ReportLag: 0,
		Warmup:    60 * time.Second, Duration: 90 * time.Second,
		ShiftEvery: 20 * time.Second, ShiftFor: 15 * time.Second,
		Services: []ServiceSpec{{
			Name: "generation", Engines: 710, Slots: 420,
			Base: 15 * time.Millisecond, PerRequest: 145 * time.Microsecond,
			PrefillHit: 1, PrefillAll: 8,
			Models: 770, Prefixes: 20, CacheSize: 256, Callers: 400,
			Load: 0.85, Classes: classes,
		}},
	}
}

package reconciler

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"savoryweir/internal/coordination/rebalance"
	"savoryweir/internal/node/registry"
	"savoryweir/internal/node/telemetry"
	"savoryweir/internal/pause"
	"savoryweir/internal/state/fleet"
	"savoryweir/internal/transport/upstreamconn"
)

var errReport = errors.New("the engine did not report")

// planInterval is the time between two plans without news: a fraction of the time
// in which demand moves between models.
const planInterval = 250 * time.Millisecond

// planPause is kept between two plans, so that orders that end in quick succession
// bring one plan only.
const planPause = 10 * time.Millisecond

// wantMemory is how long a model or adapter that a request waits for counts as
// wanted after the last asking.
const wantMemory = 500 * time.Millisecond

// modelWantMemory is the same for models, whose loads take seconds.
const modelWantMemory = 5 * time.Second

// Options are what a steward works with.
type Options struct {
	Instance string
	Log      zerolog.Logger
	Metrics  *telemetry.Metrics
	Registry *registry.Registry
	Pool     *upstreamconn.Pool
	Leases   *LeaseManager
	Config   func() *fleet.Config
	// LoadWindow is the sliding window of the ceiling on loads.
	LoadWindow func() time.Duration
	// PrefillRate returns the prompt tokens that an engine of a service reads in a
	// second, for models with weights of a size.
	PrefillRate func(service string, weightsMB float64) float64
	// FailureRatio returns the share of requests that an upstream fails.
	FailureRatio func(fleet.UpstreamID) float64
	// Announce tells the other instances what an order has changed.
	Announce func(item registry.ResidentKey, present bool)
}

// Reconciler plans and gives orders while this instance holds the lease.
type Reconciler struct {
	instance   string
	log        zerolog.Logger
	metrics    *telemetry.Metrics
	registry   *registry.Registry
	pool       *upstreamconn.Pool
	holder     *LeaseManager
	config     func() *fleet.Config
	loadWindow func() time.Duration
	reads      func(service string, weightsMB float64) float64
	fails      func(fleet.UpstreamID) float64
	tell       func(item registry.ResidentKey, present bool)
	woken      chan struct{}

	mu       sync.Mutex // guards all below
	demand   *rebalance.DemandTracker
	wants    map[rebalance.DemandKey]time.Time
	lanes    map[fleet.UpstreamID]*lane
	loads    map[string][]time.Time // beginnings of loads from the weight store, by service
	reported map[string]time.Time   // last line on the placement, by service
	acting   bool
	since    time.Time // when this term began
}

// New returns a steward.
func New(o Options) *Reconciler {
	return &Reconciler{
		instance: o.Instance, log: o.Log, metrics: o.Metrics, registry: o.Registry, pool: o.Pool, holder: o.Leases,
		config: o.Config, loadWindow: o.LoadWindow, reads: o.PrefillRate, fails: o.FailureRatio, tell: o.Announce, woken: make(chan struct{}, 1),
		demand: rebalance.NewDemandTracker(), wants: make(map[rebalance.DemandKey]time.Time),
		lanes: make(map[fleet.UpstreamID]*lane), loads: make(map[string][]time.Time),
		reported: make(map[string]time.Time),
	}
}

// RecordDemand records what callers ask of an instance.
func (s *Reconciler) RecordDemand(instance string, incarnation int64, counts map[rebalance.DemandKey]rebalance.Counts) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.demand.Observe(time.Now(), instance, incarnation, counts)
}

// MarkWanted records that a request waits for a model or adapter.
func (s *Reconciler) MarkWanted(key rebalance.DemandKey) {
	s.mu.Lock()
	_, known := s.wants[key]
	s.wants[key] = time.Now()
	s.mu.Unlock()
	if !known {
		s.wake()
	}
}

func (s *Reconciler) wake() {
	select {
	case s.woken <- struct{}{}:
	default:
	}
}

func (s *Reconciler) announce(item registry.ResidentKey, present bool) {
	if present {
		s.registry.MarkLoaded(item)
	} else {
		s.registry.MarkUnloading(item)
	}
	s.tell(item, present)
}

// Run plans until ctx ends.
func (s *Reconciler) Run(ctx context.Context) {
	ticker := time.NewTicker(planInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-s.woken:
		case <-ctx.Done():
			return
		}
		s.round(ctx)
		pause.For(ctx, planPause)
	}
}

func (s *Reconciler) round(ctx context.Context) {
	fence, mayAct := s.holder.FencingToken()
	if mayAct != s.acting {
		s.log.Info().Str("event", "orders.term").Bool("holds", mayAct).Uint64("fence", uint64(fence)).Msg("holding of orders changed")
		s.startTerm(mayAct)
	}
	config := s.config()
	if !mayAct || config == nil {
		return
	}
	for name, service := range config.Services {
		if service.Engines != nil {
			s.steer(ctx, name, service.Engines)
		}
	}
}

func (s *Reconciler) startTerm(mayAct bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.acting, s.since = mayAct, time.Now()
	for _, l := range s.lanes {
		l.confirmed, l.loading, l.pending, l.retired = false, "", nil, make(map[string]time.Time)
	}
	value := 0.0
	if mayAct {
		value = 1
	}
	s.metrics.HoldsOrders.Set(value)
}

func (s *Reconciler) steer(ctx context.Context, service string, class *fleet.EngineClass) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.refresh(ctx, service, now)
	snapshot := rebalance.Snapshot{Class: class, HasWaitingRequests: s.wanted(service, now), StoreLoadBudget: s.loadsLeft(service, class, now), PrefillRates: s.capacities(service, class)}
	snapshot.TokenRates, snapshot.AdapterRates = s.demand.Rates(now, service)
	for _, u := range s.registry.View().ByService(service) {
		if l := s.lanes[u.ID]; l != nil && !l.upstream.Draining && !l.isLost(now) {
			snapshot.Engines = append(snapshot.Engines, l.snapshot(now))
		}
	}
	s.report(service, snapshot, now)
	for _, a := range rebalance.Plan(snapshot) {
		s.begin(ctx, service, class, a, now)
	}
}

// stateInterval is the time between two lines on the placement of models.
const stateInterval = 2 * time.Second

// report logs what the plans are made from. The caller holds s.mu.
func (s *Reconciler) report(service string, snapshot rebalance.Snapshot, now time.Time) {
	if now.Sub(s.reported[service]) < stateInterval {
		return
	}
	s.reported[service] = now
	replicas := make(map[string]int)
	ready := 0
	for _, e := range snapshot.Engines {
		for _, r := range e.Upstream.Models {
			replicas[r.Model]++
		}
		if e.AcceptsOrders {
			ready++
		}
	}
	s.log.Info().Str("event", "placement.state").Str("service", service).Int("engines", len(snapshot.Engines)).Int("ready", ready).
		Int("loads_left", snapshot.StoreLoadBudget).Int("models", len(replicas)).
		Interface("busiest", busiest(snapshot, replicas)).Int("wanted", len(snapshot.HasWaitingRequests)).Msg("placement of models")
}

// capacities returns the prompt tokens that an engine reads in a second, by model.
func (s *Reconciler) capacities(service string, class *fleet.EngineClass) map[string]float64 {
	capacities := make(map[string]float64, len(class.Models))
	for _, m := range class.Models {
		capacities[m.Name] = s.reads(service, m.WeightsMB)
	}
	return capacities
}

// busiestLogged bounds the models that a line on the placement names.
const busiestLogged = 12

// modelState is what a line on the placement tells of a model.
type modelState struct {
	Model    string `json:"model"`
	Tokens   int    `json:"tokens_per_second"`
	Capacity int    `json:"capacity"` // tokens that one engine reads in a second
	Replicas int    `json:"replicas"`
}

func busiest(snapshot rebalance.Snapshot, replicas map[string]int) []modelState {
	states := make([]modelState, 0, len(snapshot.TokenRates))
	for model, rate := range snapshot.TokenRates {
		states = append(states, modelState{Model: model, Tokens: int(rate), Capacity: int(snapshot.PrefillRates[model]), Replicas: replicas[model]})
	}
	slices.SortFunc(states, func(a, b modelState) int {
		return cmp.Or(cmp.Compare(b.Tokens, a.Tokens), cmp.Compare(a.Model, b.Model))
	})
	return states[:min(len(states), busiestLogged)]
}

// begin starts an action. The caller holds s.mu.
func (s *Reconciler) begin(ctx context.Context, service string, class *fleet.EngineClass, a rebalance.Action, now time.Time) {
	l := s.lanes[a.Upstream]
	l.inFlight = true
	if a.Load && a.Adapter == "" {
		l.loading = a.Model
		l.loaded[a.Model] = now
		if !a.FromDisk {
			s.loads[service] = append(s.loads[service], now)
		}
	}
	if !a.Load && a.Adapter == "" {
		l.retired[a.Model] = now
		l.loading = a.MakesRoomFor
	}
	go s.carryOut(ctx, service, class, l.upstream, a)
}

// refresh brings the lanes up to date with the registry and asks engines whose
// state is not known. The caller holds s.mu.
func (s *Reconciler) refresh(ctx context.Context, service string, now time.Time) {
	view := s.registry.View()
	for id, l := range s.lanes {
		if u := view.Get(id); u == nil || !u.StartedAt.Equal(l.upstream.StartedAt) {
			delete(s.lanes, id)
		}
	}
	for _, u := range view.ByService(service) {
		l := s.lanes[u.ID]
		if l == nil {
			l = &lane{upstream: *u, retired: make(map[string]time.Time), loaded: make(map[string]time.Time)}
			s.lanes[u.ID] = l
		}
		l.merge(u)
		overdue := (l.upstream.OrderInProgress || l.pending != nil) && now.After(l.doneBy)
		doubtful := now.Sub(l.checkedAt) > doubtEvery && s.fails(u.ID) > doubtShare
		if !l.inFlight && !u.Draining && now.After(l.waitUntil) && (!l.confirmed || overdue || doubtful) {
			l.inFlight, l.checkedAt = true, now
			go s.askReport(ctx, l.upstream)
		}
	}
}

func (s *Reconciler) askReport(ctx context.Context, u fleet.Upstream) {
	s.readReport(ctx, u)
	s.wake()
}

func (s *Reconciler) wanted(service string, now time.Time) map[rebalance.AdapterKey]bool {
	wanted := make(map[rebalance.AdapterKey]bool)
	for key, at := range s.wants {
		memory := wantMemory
		if key.Adapter == "" {
			memory = modelWantMemory
		}
		if now.Sub(at) > memory {
			delete(s.wants, key)
			continue
		}
		if key.Service == service {
			wanted[rebalance.AdapterKey{Model: key.Model, Adapter: key.Adapter}] = true
			wanted[rebalance.AdapterKey{Model: key.Model}] = true
		}
	}
	return wanted
}

// loadsLeft returns how many loads from the weight store may begin now. In the
// first window of a term, loads of the former holder count too, as far as they
// can have been.
func (s *Reconciler) loadsLeft(service string, class *fleet.EngineClass, now time.Time) int {
	window := s.loadWindow()
	kept := s.loads[service][:0]
	for _, at := range s.loads[service] {
		if now.Sub(at) < window {
			kept = append(kept, at)
		}
	}
	s.loads[service] = kept
	most := class.LoadsPerSecond * window.Seconds()
	if age := now.Sub(s.since); age < window {
		most = max(most*age.Seconds()/window.Seconds(), min(most, firstLoads))
	}
	return int(most) - len(kept)
}

// firstLoads is the number of loads that a new holder may begin at once: what the
// platform's ceiling allows beyond its rate.
const firstLoads = 3

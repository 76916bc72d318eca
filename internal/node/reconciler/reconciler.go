package reconciler

import (
	"cmp"
	"context"
	"errors"
	"net/http"
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

var (
	errReportStatus     = errors.New("engine report: expected status 200 OK")
	errResponseTooLarge = errors.New("response of the engine exceeds the size limit")
)

// planInterval is the time between two plans when nothing wakes the reconciler: a
// fraction of the time in which demand shifts between models.
const planInterval = 250 * time.Millisecond

// minPlanInterval is the delay after each plan, so that orders which complete in quick
// succession trigger only one plan.
const minPlanInterval = 10 * time.Millisecond

// adapterWantTTL is how long an adapter counts as wanted after the last report of a
// request that waits for it.
const adapterWantTTL = 500 * time.Millisecond

// modelWantTTL is the same time for models, whose loads take seconds.
const modelWantTTL = 5 * time.Second

// Options are the dependencies and settings of a Reconciler.
type Options struct {
	Instance string
	Log      zerolog.Logger
	Metrics  *telemetry.Metrics
	Registry *registry.Registry
	Pool     *upstreamconn.Pool
	Leases   *LeaseManager
	Config   func() *fleet.Config
	// LoadWindow returns the length of the sliding window in which loads from the
	// weight store are limited.
	LoadWindow func() time.Duration
	// PrefillTokensPerSecond returns the prompt tokens that an engine of a service
	// prefills in a second, for a model with weights of the given size.
	PrefillTokensPerSecond func(service string, weightsMB float64) float64
	// FailureRatio returns the share of requests that fail at an upstream.
	FailureRatio func(fleet.UpstreamID) float64
	// Slowness returns the time that work takes at an upstream against the mean of its
	// service, 1 if unknown.
	Slowness func(fleet.UpstreamID) float64
	// IsPaused reports whether an upstream has asked this instance to send nothing now.
	IsPaused func(*fleet.Upstream) bool
	// IsLimited reports whether an upstream limits its requests.
	IsLimited func(*fleet.Upstream) bool
	// ObserveResponse records what the head of an engine's response says about the
	// engine itself.
	ObserveResponse func(u *fleet.Upstream, status int, h http.Header)
	// Announce tells the other instances that a model or adapter has become present
	// at an upstream, or is about to be unloaded there. waiting are the instances whose
	// requests wait for it.
	Announce func(key registry.ResidentKey, present bool, waiting []string)
}

// Reconciler plans and sends orders while this instance holds the lease.
type Reconciler struct {
	instance               string
	log                    zerolog.Logger
	metrics                *telemetry.Metrics
	registry               *registry.Registry
	pool                   *upstreamconn.Pool
	leases                 *LeaseManager
	config                 func() *fleet.Config
	loadWindow             func() time.Duration
	prefillTokensPerSecond func(service string, weightsMB float64) float64
	failureRatio           func(fleet.UpstreamID) float64
	slowness               func(fleet.UpstreamID) float64
	isPaused               func(*fleet.Upstream) bool
	isLimited              func(*fleet.Upstream) bool
	observeResponse        func(u *fleet.Upstream, status int, h http.Header)
	announceToPeers        func(key registry.ResidentKey, present bool, waiting []string)
	wakeups                chan struct{}

	mu            sync.Mutex // guards all fields below
	demand        *rebalance.DemandTracker
	wants         map[rebalance.DemandKey]want
	engines       map[fleet.UpstreamID]*engineState
	loadStarts    map[string][]time.Time // start times of loads from the weight store, by service
	lastLoggedAt  map[string]time.Time   // time of the last log line about the placement, by service
	maySendOrders bool
	engineAddedAt map[string]time.Time // time at which an engine was last discovered, by service
	termStart     time.Time            // time at which this instance last acquired or lost the lease
	hadHolder     bool                 // the lease was held before this term
}

// New returns a Reconciler; Run starts it.
func New(o Options) *Reconciler {
	return &Reconciler{
		instance: o.Instance, log: o.Log, metrics: o.Metrics, registry: o.Registry, pool: o.Pool, leases: o.Leases,
		config: o.Config, loadWindow: o.LoadWindow, prefillTokensPerSecond: o.PrefillTokensPerSecond, failureRatio: o.FailureRatio, slowness: o.Slowness, isPaused: o.IsPaused, isLimited: o.IsLimited, observeResponse: o.ObserveResponse, announceToPeers: o.Announce, wakeups: make(chan struct{}, 1),
		demand: rebalance.NewDemandTracker(), wants: make(map[rebalance.DemandKey]want),
		engines: make(map[fleet.UpstreamID]*engineState), loadStarts: make(map[string][]time.Time),
		lastLoggedAt: make(map[string]time.Time), engineAddedAt: make(map[string]time.Time),
	}
}

// RecordDemand records the cumulative demand counts that an instance has reported.
// incarnation identifies the process of the instance.
func (r *Reconciler) RecordDemand(instance string, incarnation int64, counts map[rebalance.DemandKey]rebalance.Counts) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.demand.Observe(time.Now(), instance, incarnation, counts)
}

// want records that requests wait for a model or adapter.
type want struct {
	at        time.Time // last report of such a request
	instances []string  // instances that have reported one
}

// MarkWanted records that a request at an instance waits for a model or adapter.
func (r *Reconciler) MarkWanted(key rebalance.DemandKey, instance string) {
	r.mu.Lock()
	w, known := r.wants[key]
	w.at = time.Now()
	if !slices.Contains(w.instances, instance) {
		w.instances = append(w.instances, instance)
	}
	r.wants[key] = w
	r.mu.Unlock()
	if !known {
		r.wake()
	}
}

// wake makes Run plan without waiting for the end of the interval.
func (r *Reconciler) wake() {
	select {
	case r.wakeups <- struct{}{}:
	default:
	}
}

// announce updates the registry of this instance and tells the other instances.
func (r *Reconciler) announce(service string, key registry.ResidentKey, present bool) {
	if present {
		r.registry.MarkLoaded(key)
	} else {
		r.registry.MarkUnloading(key)
	}
	r.mu.Lock()
	waiting := slices.Clone(r.wants[rebalance.DemandKey{Service: service, Model: key.Model, Adapter: key.Adapter}].instances)
	r.mu.Unlock()
	r.announceToPeers(key, present, waiting)
}

// Run plans and sends orders until ctx ends.
func (r *Reconciler) Run(ctx context.Context) {
	ticker := time.NewTicker(planInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-r.wakeups:
		case <-ctx.Done():
			return
		}
		r.reconcile(ctx)
		pause.For(ctx, minPlanInterval)
	}
}

// reconcile plans for every service with engines if this instance holds the lease.
func (r *Reconciler) reconcile(ctx context.Context) {
	fence, maySendOrders := r.leases.FencingToken()
	if maySendOrders != r.maySendOrders {
		r.log.Info().Str("event", "orders.term").Bool("holds", maySendOrders).Stringer("fence", fence).Msg("permission to send orders changed")
		r.startTerm(maySendOrders)
	}
	config := r.config()
	if config == nil {
		return
	}
	if !maySendOrders {
		r.resolveFormerUnloads(ctx)
		return
	}
	for name, service := range config.Services {
		if service.Engines != nil {
			r.reconcileService(ctx, name, service.Engines)
		}
	}
}

// resolveFormerUnloads requests reports from engines with an unload without a known outcome,
// which this instance sent while it held the lease: its announcement may be wrong.
func (r *Reconciler) resolveFormerUnloads(ctx context.Context) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	view := r.registry.View()
	for id, e := range r.engines {
		u := view.Get(id)
		if len(e.unresolvedUnloads) == 0 || u == nil || !u.StartedAt.Equal(e.upstream.StartedAt) {
			continue
		}
		if !e.inFlight && !u.Draining && !r.isPaused(u) && now.After(e.backoffUntil) {
			e.inFlight, e.reportRequestedAt = true, now
			go r.fetchReportAndWake(ctx, e.upstream)
		}
	}
}

// startTerm resets the engine states after this instance has acquired or lost the
// lease, so that each engine's state is read before it receives an order.
func (r *Reconciler) startTerm(maySendOrders bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.maySendOrders, r.termStart, r.hadHolder = maySendOrders, time.Now(), r.leases.HadHolder()
	for _, e := range r.engines {
		e.confirmed, e.loading, e.pending, e.drainingModels = false, "", nil, make(map[string]time.Time)
		e.loadedInTerm = nil
	}
	value := 0.0
	if maySendOrders {
		value = 1
	}
	r.metrics.HoldsOrders.Set(value)
}

func (r *Reconciler) reconcileService(ctx context.Context, service string, class *fleet.EngineClass) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	r.refreshEngines(ctx, service, now)
	snapshot := rebalance.Snapshot{Class: class, HasWaitingRequests: r.wanted(service, now), StoreLoadBudget: r.storeLoadBudget(service, class, now), PrefillRates: r.prefillRates(service, class)}
	snapshot.EnginesIncomplete = r.discoversEngines(service, now)
	snapshot.TokenRates, snapshot.AdapterRates = r.demand.Rates(now, service)
	for _, u := range r.registry.View().ByService(service) {
		if e := r.engines[u.ID]; e != nil && !u.Draining && !e.upstream.Draining && !e.isUnreachable(now) {
			engine := e.snapshot(now)
			engine.AcceptsOrders, engine.IsLimited, engine.Slowness = engine.AcceptsOrders && !r.isPaused(u), r.isLimited(u), r.slowness(u.ID)
			snapshot.Engines = append(snapshot.Engines, engine)
		}
	}
	r.logPlacement(service, snapshot, now)
	for _, a := range rebalance.Plan(snapshot) {
		r.startAction(ctx, service, class, a, now)
	}
}

const (
	// discoverySettleTime is the time after the last engine was discovered at the start of a
	// term until the engines count as complete: engines that start together register within
	// seconds of one another.
	discoverySettleTime = 2 * time.Second
	// maxDiscoveryTime bounds the wait while engines keep coming.
	maxDiscoveryTime = 10 * time.Second
)

// discoversEngines reports whether the engines of a service are still being discovered at the
// start of a term. The caller holds r.mu.
func (r *Reconciler) discoversEngines(service string, now time.Time) bool {
	return now.Sub(r.termStart) < maxDiscoveryTime && now.Sub(r.engineAddedAt[service]) < discoverySettleTime
}

// placementLogInterval is the time between two log lines about the placement of the
// models of a service.
const placementLogInterval = 2 * time.Second

// logPlacement logs a summary of the input of the next plan, at most once per
// placementLogInterval. The caller holds r.mu.
func (r *Reconciler) logPlacement(service string, snapshot rebalance.Snapshot, now time.Time) {
	if now.Sub(r.lastLoggedAt[service]) < placementLogInterval {
		return
	}
	r.lastLoggedAt[service] = now
	replicas := make(map[string]int)
	ready := 0
	for _, e := range snapshot.Engines {
		for _, resident := range e.Upstream.Models {
			replicas[resident.Model]++
		}
		if e.AcceptsOrders {
			ready++
		}
	}
	r.log.Info().Str("event", "placement.state").Str("service", service).Int("engines", len(snapshot.Engines)).Int("ready", ready).
		Int("loads_left", snapshot.StoreLoadBudget).Int("models", len(replicas)).
		Interface("busiest", busiestModels(snapshot, replicas)).Int("wanted", len(snapshot.HasWaitingRequests)).Msg("current placement of models")
}

// prefillRates returns the prompt tokens that an engine prefills in a second, by
// model.
func (r *Reconciler) prefillRates(service string, class *fleet.EngineClass) map[string]float64 {
	rates := make(map[string]float64, len(class.Models))
	for _, m := range class.Models {
		rates[m.Name] = r.prefillTokensPerSecond(service, m.WeightsMB)
	}
	return rates
}

// maxModelsLogged bounds the number of models in a log line about the placement.
const maxModelsLogged = 12

// modelState describes a model in a log line about the placement.
type modelState struct {
	Model    string `json:"model"`
	Tokens   int    `json:"tokens_per_second"`
	Capacity int    `json:"capacity"` // prompt tokens that one engine prefills in a second
	Replicas int    `json:"replicas"`
}

// busiestModels returns up to maxModelsLogged models, by descending demand.
func busiestModels(snapshot rebalance.Snapshot, replicas map[string]int) []modelState {
	states := make([]modelState, 0, len(snapshot.TokenRates))
	for model, rate := range snapshot.TokenRates {
		states = append(states, modelState{Model: model, Tokens: int(rate), Capacity: int(snapshot.PrefillRates[model]), Replicas: replicas[model]})
	}
	slices.SortFunc(states, func(a, b modelState) int {
		return cmp.Or(cmp.Compare(b.Tokens, a.Tokens), cmp.Compare(a.Model, b.Model))
	})
	return states[:min(len(states), maxModelsLogged)]
}

// startAction marks the engine of an action as in flight and executes the action in a
// new goroutine. The caller holds r.mu.
func (r *Reconciler) startAction(ctx context.Context, service string, class *fleet.EngineClass, a rebalance.Action, now time.Time) {
	e := r.engines[a.Upstream]
	e.inFlight = true
	if a.Load && a.Adapter == "" {
		e.loading = a.Model
		e.loadOrderedAt[a.Model] = now
		if !a.FromDisk {
			r.loadStarts[service] = append(r.loadStarts[service], now)
		}
	}
	if !a.Load && a.Adapter == "" {
		e.drainingModels[a.Model] = now
		e.loading = a.MakesRoomFor
	}
	go r.executeAction(ctx, service, class, e.upstream, a)
}

// refreshEngines updates the engine states from the registry and requests reports from
// engines whose state is unconfirmed, whose pending order is overdue, or which fail
// many requests. The caller holds r.mu.
func (r *Reconciler) refreshEngines(ctx context.Context, service string, now time.Time) {
	view := r.registry.View()
	for id, e := range r.engines {
		if u := view.Get(id); u == nil || !u.StartedAt.Equal(e.upstream.StartedAt) {
			delete(r.engines, id)
		}
	}
	for _, u := range view.ByService(service) {
		e := r.engines[u.ID]
		if e == nil {
			e = &engineState{upstream: *u, entryModels: u.Models, drainingModels: make(map[string]time.Time), loadOrderedAt: make(map[string]time.Time)}
			r.engines[u.ID] = e
			r.engineAddedAt[service] = now
		}
		e.mergeEntry(u, now)
		isOverdue := (e.upstream.OrderInProgress || e.pending != nil) && now.After(e.pendingDeadline)
		isUnloading := len(e.unloadingAdapters) > 0 && now.Sub(e.reportRequestedAt) > orderBackoff
		isSuspect := now.Sub(e.reportRequestedAt) > suspectCheckInterval && r.failureRatio(u.ID) > suspectFailureRatio
		if !e.inFlight && !u.Draining && !r.isPaused(u) && now.After(e.backoffUntil) && (!e.confirmed || isOverdue || isUnloading || isSuspect) {
			e.inFlight, e.reportRequestedAt = true, now
			go r.fetchReportAndWake(ctx, e.upstream)
		}
	}
}

func (r *Reconciler) fetchReportAndWake(ctx context.Context, u fleet.Upstream) {
	r.fetchReport(ctx, u)
	r.wake()
}

// wanted returns the models and adapters of a service that requests wait for, and
// removes expired wants. A wanted adapter makes its model wanted too. The caller holds
// r.mu.
func (r *Reconciler) wanted(service string, now time.Time) map[rebalance.AdapterKey]bool {
	wanted := make(map[rebalance.AdapterKey]bool)
	for key, w := range r.wants {
		ttl := adapterWantTTL
		if key.Adapter == "" {
			ttl = modelWantTTL
		}
		if now.Sub(w.at) > ttl {
			delete(r.wants, key)
			continue
		}
		if key.Service == service {
			wanted[rebalance.AdapterKey{Model: key.Model, Adapter: key.Adapter}] = true
			wanted[rebalance.AdapterKey{Model: key.Model}] = true
		}
	}
	return wanted
}

// storeLoadBudget returns how many loads from the weight store may start now. In the
// first window of a term, the limit also leaves room for the loads that the previous
// holder can have started. The caller holds r.mu.
func (r *Reconciler) storeLoadBudget(service string, class *fleet.EngineClass, now time.Time) int {
	window := r.loadWindow()
	starts := r.loadStarts[service][:0]
	for _, at := range r.loadStarts[service] {
		if now.Sub(at) < window {
			starts = append(starts, at)
		}
	}
	r.loadStarts[service] = starts
	limit := class.LoadsPerSecond * window.Seconds()
	if age := now.Sub(r.termStart); age < window {
		limit = max(limit*age.Seconds()/window.Seconds(), min(limit, initialLoadBurst))
	}
	return int(limit) - len(starts)
}

// initialLoadBurst is the number of loads that a new holder may start at once: what
// the platform's limit allows beyond its rate.
const initialLoadBurst = 3

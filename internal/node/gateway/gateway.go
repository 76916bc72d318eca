// Package gateway serves the requests of callers: it matches a request to a route,
// forwards it to an upstream and returns the response. Requests that may be repeated
// are retried at other upstreams within the limits of the route and the retry budget.
// A request that may have been executed is never reported as not executed.
package gateway

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"savoryweir/internal/coordination/customers"
	"savoryweir/internal/coordination/quarantine"
	"savoryweir/internal/coordination/retry"
	"savoryweir/internal/coordination/routetable"
	"savoryweir/internal/node/registry"
	"savoryweir/internal/node/telemetry"
	"savoryweir/internal/protocol/forwardhttp"
	"savoryweir/internal/state/fleet"
	"savoryweir/internal/transport/upstreamconn"
	"savoryweir/platform"
)

// activeConfig is the configuration in force together with the route table built from it.
type activeConfig struct {
	Config      *fleet.Config
	Table       *routetable.Table
	headerLimit headerLimit
	customers   *customers.Index // nil if the configuration names no customers
}

// Options holds the settings and dependencies of a Gateway.
type Options struct {
	Zone          string
	Log           zerolog.Logger
	Metrics       *telemetry.Metrics
	Registry      *registry.Registry
	Tracker       *UpstreamTracker
	Pool          *upstreamconn.Pool
	RetrySettings func() retry.WindowSettings
	// InstanceCount returns the number of instances alive, this one included. They share
	// the retry budgets.
	InstanceCount func() int
	// RequestLoad tells the instance that issues load orders that a request waits for a
	// model or adapter.
	RequestLoad func(service, model, adapter string)
	// BroadcastBroken tells the other instances that an upstream closed the connection
	// while processing a request.
	BroadcastBroken func(quarantine.BrokenRequest)
	// BroadcastRelease tells the other instances that a request with a blocked trait has
	// completed.
	BroadcastRelease func(quarantine.Trait)
	// BroadcastLeaving tells the other instances that an upstream has said that it is
	// leaving.
	BroadcastLeaving func(*fleet.Upstream)
	// BroadcastPause tells the other instances that an upstream refused a request and
	// asked this instance for a pause.
	BroadcastPause func(u *fleet.Upstream, d time.Duration)
	// PeerPool holds the connections to other instances for forwarded requests.
	PeerPool *upstreamconn.Pool
	// Peers returns the instances that requests can be forwarded to, the best ones first.
	Peers func() []Peer
	// ReportSilentPeer records that a request could not be sent to an instance.
	ReportSilentPeer func(instance string)
	// Permits keeps the limits of upstreams, together with the other instances.
	Permits Permits
	// Quotas keeps the quotas of customers, together with the other instances.
	Quotas Quotas
	// Warmup limits requests to upstreams that have just started or recovered; nil for no such limit.
	Warmup Warmup
	// FairShares says whether customers above their share are refused first while room is short.
	FairShares bool
	// Streams knows at which software version streams began.
	Streams StreamOrigins
	// BootTime returns the time of a clock that includes suspended time.
	BootTime func() time.Duration
	// Freshness tells whether the configuration is known to be recent enough for API keys to be accepted. It is
	// nil if that doesn't matter.
	Freshness Freshness
	// MaxBodyMemory returns how many bytes the request bodies of all callers may take up, 0 for no limit.
	MaxBodyMemory func() int64
	// RecordDemand records a request for a model or adapter with its expected work in
	// tokens.
	RecordDemand func(service, model, adapter string, tokens int)
}

// Gateway is the HTTP handler that serves callers. It is safe for concurrent use.
type Gateway struct {
	Options
	active      atomic.Pointer[activeConfig]
	inFlight    atomic.Int64
	crashGuard  *crashGuard
	crashProbes *crashProbes
	pauses      *pauses
	reach       *upstreamReach
	bodyMemory  bodyMemory
	responses   bodyMemory // of the responses that are buffered
	fairRoom    *fairRoom
	refusesNew  atomic.Bool
	configs     configVersions
	// closesConnections makes responses close their connections.
	closesConnections atomic.Bool
	inFlightContext   context.Context // canceled by CancelInFlight
	cancelInFlight    context.CancelFunc
	unansweredContext context.Context // canceled by CancelUnanswered
	cancelUnanswered  context.CancelFunc

	mu           sync.Mutex // guards retryBudgets
	retryBudgets map[string]*retry.WindowBudget
}

// New returns a gateway without a configuration. It refuses all requests until
// ApplyConfig is called.
func New(o Options) *Gateway {
	ctx, cancel := context.WithCancel(context.Background())
	unanswered, cancelUnanswered := context.WithCancel(ctx)
	g := &Gateway{Options: o, retryBudgets: make(map[string]*retry.WindowBudget), crashGuard: newCrashGuard(), pauses: newPauses(o.BootTime), bodyMemory: bodyMemory{limit: o.MaxBodyMemory}, responses: bodyMemory{limit: o.maxResponseMemory}, inFlightContext: ctx, cancelInFlight: cancel, unansweredContext: unanswered, cancelUnanswered: cancelUnanswered}
	g.configs.applied = make(chan struct{})
	g.fairRoom = newFairRoom()
	g.crashProbes = newCrashProbes(g.isGone)
	g.reach = newUpstreamReach(o.Pool, g.upstreamAddresses, g.logReach)
	o.Pool.Observe = g.reach.observe
	return g
}

// ApplyConfig puts a configuration in force for the requests that arrive after the call.
// Requests in flight keep the configuration that they began with.
func (g *Gateway) ApplyConfig(c *fleet.Config) {
	var before headerLimit
	if active := g.active.Load(); active != nil {
		before = active.headerLimit
	}
	g.active.Store(&activeConfig{Config: c, Table: routetable.New(c.Routes), headerLimit: before.changeTo(c.Limits, time.Now()), customers: customers.NewIndex(c.Customers)})
	g.Metrics.ConfigVersion.Set(float64(c.Version))
	g.configs.notifyApplied()
}

// Config returns the configuration in force, or nil if none has been applied.
func (g *Gateway) Config() *fleet.Config {
	if active := g.active.Load(); active != nil {
		return active.Config
	}
	return nil
}

// HeaderLimit returns the size in bytes up to which the heads of requests must be accepted now,
// or 0 if no configuration has been applied.
func (g *Gateway) HeaderLimit() int {
	if active := g.active.Load(); active != nil {
		return active.headerLimit.at(time.Now())
	}
	return 0
}

// RefuseNewRequests makes the gateway refuse all requests that arrive after the call.
// Requests in flight are not affected.
func (g *Gateway) RefuseNewRequests() { g.refusesNew.Store(true) }

// CloseConnectionsAfterResponses makes the gateway close each connection of a caller after its
// next response. Idle connections stay open, because closing one may cut off a request that
// its caller has just sent.
func (g *Gateway) CloseConnectionsAfterResponses() { g.closesConnections.Store(true) }

// closingWriter adds the header that closes the connection after the response, if this has
// been asked for by the time at which the response begins.
type closingWriter struct {
	http.ResponseWriter
	gateway     *Gateway
	wroteHeader bool
}

// WriteHeader implements http.ResponseWriter.
func (w *closingWriter) WriteHeader(status int) {
	if !w.wroteHeader && w.gateway.closesConnections.Load() {
		w.Header().Set("Connection", "close")
	}
	w.wroteHeader = true
	w.ResponseWriter.WriteHeader(status)
}

// Unwrap gives http.ResponseController access to the connection.
func (w *closingWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// CancelInFlight cancels the work on all requests in flight, so that each gets its final
// response at once.
func (g *Gateway) CancelInFlight() { g.cancelInFlight() }

// CancelUnanswered cancels the work on all requests in flight whose response has not begun.
func (g *Gateway) CancelUnanswered() { g.cancelUnanswered() }

// InFlight returns the number of caller requests that are being served.
func (g *Gateway) InFlight() int64 { return g.inFlight.Load() }

// ServeHTTP implements http.Handler. It answers 503 before a configuration is known or
// after RefuseNewRequests, and 404 if no route matches.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	forwardhttp.Remove(r.Header)
	g.serveHTTP(w, r, nil)
}

// serveHTTP serves a request of a caller, or one that another instance has forwarded.
func (g *Gateway) serveHTTP(w http.ResponseWriter, r *http.Request, forwarded *forwardhttp.Request) {
	g.Metrics.RequestsInFlight.Set(float64(g.inFlight.Add(1)))
	defer func() { g.Metrics.RequestsInFlight.Set(float64(g.inFlight.Add(-1))) }()
	c := &call{gateway: g, writer: &closingWriter{ResponseWriter: w, gateway: g}, request: r, arrivedAt: time.Now(), params: platform.DecodeRequest(r.Header), forwarded: forwarded}
	if forwarded != nil {
		c.arrivedAt, c.attempts = c.arrivedAt.Add(-forwarded.Elapsed), forwarded.Sends
	}
	defer c.finish()
	active := g.active.Load()
	if active == nil {
		c.limitUnreadBody()
		c.refuseAtThisInstance(http.StatusServiceUnavailable, noConfigRetryAfter, "no configuration yet")
		return
	}
	if g.refusesNew.Load() {
		c.limitUnreadBody()
		c.refuseAtThisInstance(http.StatusServiceUnavailable, refuseNewRetryAfter, "instance is leaving")
		return
	}
	if active = c.awaitConfig(active); active == nil {
		c.limitUnreadBody()
		c.refuseAtThisInstance(http.StatusServiceUnavailable, noConfigRetryAfter, reasonOlderConfig)
		return
	}
	c.requestURI = requestURI(r)
	path, _, _ := strings.Cut(c.requestURI, "?")
	if c.route = active.Table.Match(r.Host, path); c.route == nil {
		c.configVersion = active.Config.Version
		c.limitUnreadBody()
		c.tryOther = true // another instance may know another configuration
		c.respond(http.StatusNotFound, "no route")
		return
	}
	c.config, c.configVersion = active.Config, active.Config.Version
	if !c.identify(active.customers) {
		return
	}
	c.service = routetable.PickService(c.route, rand.Float64())
	c.engineClass = active.Config.Services[c.service].EnginesOrNil()
	c.serve(active.Config.Limits)
}

// noConfigRetryAfter is the Retry-After of a refusal for lack of a configuration. An
// instance that has just started knows the configuration by then.
const noConfigRetryAfter = 500 * time.Millisecond

// refuseNewRetryAfter is the Retry-After of a refusal by an instance that is shutting
// down. It is short because the caller's next attempt goes to another instance.
const refuseNewRetryAfter = 50 * time.Millisecond

// requestURI returns the path and query as the caller sent them, without normalization.
func requestURI(r *http.Request) string {
	if strings.HasPrefix(r.RequestURI, "/") {
		return r.RequestURI
	}
	return r.URL.RequestURI()
}

// retryBudget returns the retry budget of a service, updated to the current settings.
// The caller holds g.mu.
func (g *Gateway) retryBudget(service string) *retry.WindowBudget {
	budget := g.retryBudgets[service]
	if budget == nil {
		budget = retry.NewWindowBudget(g.RetrySettings())
		g.retryBudgets[service] = budget
	}
	budget.Configure(g.RetrySettings())
	return budget
}

// countRequest adds a request to the window from which the retry budget of a service is
// derived.
func (g *Gateway) countRequest(service string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.retryBudget(service).RecordRequest(time.Now())
}

// spendRetry takes one retry from the budget of a service. It returns false if the
// budget is exhausted.
func (g *Gateway) spendRetry(service string) bool {
	return g.spend(service, (*retry.WindowBudget).Spend)
}

// spendHedgeRetry does the same for a request whose upstream is only silent. It leaves a part
// of the budget to requests whose upstream has failed.
func (g *Gateway) spendHedgeRetry(service string) bool {
	return g.spend(service, (*retry.WindowBudget).SpendHedge)
}

func (g *Gateway) spend(service string, spend func(b *retry.WindowBudget, now time.Time, instances int) bool) bool {
	instances := g.InstanceCount()
	g.mu.Lock()
	defer g.mu.Unlock()
	budget := g.retryBudget(service)
	now := time.Now()
	allowed := spend(budget, now, instances)
	g.Metrics.RetriesLeft.WithLabelValues(service).Set(budget.Remaining(now, instances))
	return allowed
}

// Package gateway serves callers: it takes a request, finds its route, sends it to
// an upstream and passes the answer on. What may be repeated is repeated elsewhere
// within its bounds; what may have run is never called not run.
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

	"savoryweir/internal/coordination/retry"
	"savoryweir/internal/coordination/routetable"
	"savoryweir/internal/node/registry"
	"savoryweir/internal/node/telemetry"
	"savoryweir/internal/state/fleet"
	"savoryweir/internal/transport/upstreamconn"
	"savoryweir/platform"
)

// activeConfig is the configuration in force with its routes.
type activeConfig struct {
	Config *fleet.Config
	Table  *routetable.Table
}

// Options are what a gateway works with.
type Options struct {
	Zone          string
	Log           zerolog.Logger
	Metrics       *telemetry.Metrics
	Registry      *registry.Registry
	Tracker       *UpstreamTracker
	Pool          *upstreamconn.Pool
	RetrySettings func() retry.WindowSettings
	InstanceCount func() int // alive, this one included
	// RequestLoad tells the holder of orders that a request waits for a model or adapter.
	RequestLoad func(service, model, adapter string)
	// BroadcastCrash tells the other instances that an upstream broke off a request.
	BroadcastCrash func(fingerprint uint64, upstream fleet.UpstreamID)
	// RecordDemand records a request for a model or adapter with the work that it brings.
	RecordDemand func(service, model, adapter string, tokens int)
}

// Gateway serves callers.
type Gateway struct {
	Options
	active          atomic.Pointer[activeConfig]
	inFlight        atomic.Int64
	crashGuard      *crashGuard
	refusesNew      atomic.Bool
	inFlightContext context.Context // ends when the process has to answer what is left
	cancelInFlight  context.CancelFunc

	mu           sync.Mutex // guards budgets
	retryBudgets map[string]*retry.WindowBudget
}

// New returns a gateway without a configuration: it refuses all requests.
func New(o Options) *Gateway {
	ctx, cancel := context.WithCancel(context.Background())
	return &Gateway{Options: o, retryBudgets: make(map[string]*retry.WindowBudget), crashGuard: newCrashGuard(), inFlightContext: ctx, cancelInFlight: cancel}
}

// ApplyConfig puts a configuration in force for the requests that arrive from now on.
func (g *Gateway) ApplyConfig(c *fleet.Config) {
	g.active.Store(&activeConfig{Config: c, Table: routetable.New(c.Routes)})
	g.Metrics.ConfigVersion.Set(float64(c.Version))
}

// Config returns the configuration in force, or nil.
func (g *Gateway) Config() *fleet.Config {
	if active := g.active.Load(); active != nil {
		return active.Config
	}
	return nil
}

// RefuseNewRequests refuses all requests that arrive from now on.
func (g *Gateway) RefuseNewRequests() { g.refusesNew.Store(true) }

// CancelInFlight gives up on all requests in flight: each gets its final answer now.
func (g *Gateway) CancelInFlight() { g.cancelInFlight() }

// InFlight returns how many requests of callers are being served.
func (g *Gateway) InFlight() int64 { return g.inFlight.Load() }

// ServeHTTP implements http.Handler.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.Metrics.RequestsInFlight.Set(float64(g.inFlight.Add(1)))
	defer func() { g.Metrics.RequestsInFlight.Set(float64(g.inFlight.Add(-1))) }()
	c := &call{gateway: g, writer: w, request: r, arrivedAt: time.Now(), params: platform.DecodeRequest(r.Header)}
	defer c.finish()
	active := g.active.Load()
	if active == nil {
		c.refuse(http.StatusServiceUnavailable, noConfigRetryAfter, "no configuration yet")
		return
	}
	if g.refusesNew.Load() {
		c.refuse(http.StatusServiceUnavailable, refuseNewRetryAfter, "instance is leaving")
		return
	}
	c.requestURI = requestURI(r)
	path, _, _ := strings.Cut(c.requestURI, "?")
	if c.route = active.Table.Match(r.Host, path); c.route == nil {
		c.configVersion = active.Config.Version
		c.respond(http.StatusNotFound, "no route")
		return
	}
	c.configVersion = active.Config.Version
	c.service = routetable.PickService(c.route, rand.Float64())
	c.engineClass = active.Config.Services[c.service].EnginesOrNil()
	c.serve(active.Config.Limits)
}

// noConfigRetryAfter is the time after which an instance that has just started
// surely knows the configuration.
const noConfigRetryAfter = 500 * time.Millisecond

// refuseNewRetryAfter is the time after which a caller that met an instance that is
// leaving comes back, to another one.
const refuseNewRetryAfter = 50 * time.Millisecond

// requestURI returns path and query as the caller sent them.
func requestURI(r *http.Request) string {
	if strings.HasPrefix(r.RequestURI, "/") {
		return r.RequestURI
	}
	return r.URL.RequestURI()
}

// retryBudget returns the repeats of a service. The caller holds g.mu.
func (g *Gateway) retryBudget(service string) *retry.WindowBudget {
	budget := g.retryBudgets[service]
	if budget == nil {
		budget = retry.NewWindowBudget(g.RetrySettings())
		g.retryBudgets[service] = budget
	}
	budget.Configure(g.RetrySettings())
	return budget
}

func (g *Gateway) countRequest(service string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.retryBudget(service).RecordRequest(time.Now())
}

func (g *Gateway) spendRetry(service string) bool {
	instances := g.InstanceCount()
	g.mu.Lock()
	defer g.mu.Unlock()
	budget := g.retryBudget(service)
	now := time.Now()
	allowed := budget.Spend(now, instances)
	g.Metrics.RetriesLeft.WithLabelValues(service).Set(budget.Remaining(now, instances))
	return allowed
}

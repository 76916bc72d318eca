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
	current  atomic.Pointer[activeConfig]
	inFlight atomic.Int64
	crashes  *crashGuard
	leaving  atomic.Bool
	ending   context.Context // ends when the process has to answer what is left
	end      context.CancelFunc

	mu      sync.Mutex // guards budgets
	budgets map[string]*retry.WindowBudget
}

// New returns a gateway without a configuration: it refuses all requests.
func New(o Options) *Gateway {
	ending, end := context.WithCancel(context.Background())
	return &Gateway{Options: o, budgets: make(map[string]*retry.WindowBudget), crashes: newCrashGuard(), ending: ending, end: end}
}

// ApplyConfig puts a configuration in force for the requests that arrive from now on.
func (g *Gateway) ApplyConfig(c *fleet.Config) {
	g.current.Store(&activeConfig{Config: c, Table: routetable.New(c.Routes)})
	g.Metrics.ConfigVersion.Set(float64(c.Version))
}

// Config returns the configuration in force, or nil.
func (g *Gateway) Config() *fleet.Config {
	if current := g.current.Load(); current != nil {
		return current.Config
	}
	return nil
}

// RefuseNewRequests refuses all requests that arrive from now on.
func (g *Gateway) RefuseNewRequests() { g.leaving.Store(true) }

// CancelInFlight gives up on all requests in flight: each gets its final answer now.
func (g *Gateway) CancelInFlight() { g.end() }

// InFlight returns how many requests of callers are being served.
func (g *Gateway) InFlight() int64 { return g.inFlight.Load() }

// ServeHTTP implements http.Handler.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.Metrics.RequestsInFlight.Set(float64(g.inFlight.Add(1)))
	defer func() { g.Metrics.RequestsInFlight.Set(float64(g.inFlight.Add(-1))) }()
	c := &call{gateway: g, writer: w, request: r, arrived: time.Now(), wire: platform.DecodeRequest(r.Header)}
	defer c.finish()
	current := g.current.Load()
	if current == nil {
		c.refuse(http.StatusServiceUnavailable, unknownConfigWait, "no configuration yet")
		return
	}
	if g.leaving.Load() {
		c.refuse(http.StatusServiceUnavailable, leavingWait, "instance is leaving")
		return
	}
	c.target = target(r)
	path, _, _ := strings.Cut(c.target, "?")
	if c.route = current.Table.Match(r.Host, path); c.route == nil {
		c.version = current.Config.Version
		c.answer(http.StatusNotFound, "no route")
		return
	}
	c.version = current.Config.Version
	c.service = routetable.PickService(c.route, rand.Float64())
	c.engines = current.Config.Services[c.service].EnginesOrNil()
	c.serve(current.Config.Limits)
}

// unknownConfigWait is the time after which an instance that has just started
// surely knows the configuration.
const unknownConfigWait = 500 * time.Millisecond

// leavingWait is the time after which a caller that met an instance that is
// leaving comes back, to another one.
const leavingWait = 50 * time.Millisecond

// target returns path and query as the caller sent them.
func target(r *http.Request) string {
	if strings.HasPrefix(r.RequestURI, "/") {
		return r.RequestURI
	}
	return r.URL.RequestURI()
}

// budget returns the repeats of a service. The caller holds g.mu.
func (g *Gateway) budget(service string) *retry.WindowBudget {
	b := g.budgets[service]
	if b == nil {
		b = retry.NewWindowBudget(g.RetrySettings())
		g.budgets[service] = b
	}
	b.Configure(g.RetrySettings())
	return b
}

func (g *Gateway) countRequest(service string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.budget(service).RecordRequest(time.Now())
}

func (g *Gateway) spendRepeat(service string) bool {
	instances := g.InstanceCount()
	g.mu.Lock()
	defer g.mu.Unlock()
	b := g.budget(service)
	now := time.Now()
	ok := b.Spend(now, instances)
	g.Metrics.RetriesLeft.WithLabelValues(service).Set(b.Remaining(now, instances))
	return ok
}

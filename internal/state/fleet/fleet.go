// Package fleet defines the types of a platform deployment: the operator's
// configuration, the running engines and plain servers, and the models and
// adapters that each engine has loaded.
package fleet

import (
	"crypto/sha256"
	"slices"
	"time"

	"savoryweir/internal/state/object"
)

// RouteKind determines whether the requests of a route may be retried and how
// they are answered.
type RouteKind uint8

// The kinds of routes.
const (
	// KindUnsafe marks requests that must run at most once.
	KindUnsafe RouteKind = iota
	// KindSafe marks requests that may run several times.
	KindSafe
	// KindStream marks requests that are answered by a stream of events.
	KindStream
)

// Split is the weighted share of a route's requests that is sent to one service.
type Split struct {
	Service string
	Weight  int
}

// Route maps the requests for a host and path prefix to services.
type Route struct {
	Name           string
	Host           string
	Prefix         string // begins and ends with a slash
	Kind           RouteKind
	Timeout        time.Duration // maximum time to the final response
	TargetLatency  time.Duration // operator's target for the time to the response, or to the first event
	TargetEventGap time.Duration // operator's target for the longest pause between events
	Priority       int           // 0 is the most urgent
	Splits         []Split
	MaxAttempts    int  // maximum number of upstreams that one request is sent to
	Resumable      bool // a broken stream can be resumed at another upstream
	Public         bool // requests need no API key
}

// IsRepeatable reports whether a request of the route may run more than once.
func (r *Route) IsRepeatable() bool {
	return r.Kind == KindSafe || r.Kind == KindStream && r.Resumable
}

// RoutesTo reports whether the route sends requests to a service.
func (r *Route) RoutesTo(service string) bool {
	return slices.ContainsFunc(r.Splits, func(s Split) bool { return s.Service == service && s.Weight > 0 })
}

// Model is one model that the engines of a service may load.
type Model struct {
	Name         string
	WeightsMB    float64
	LoadTime     time.Duration // load time from the weight store
	DiskLoadTime time.Duration // load time from the engine's own disk
	Adapters     int           // number of adapters
	AdapterMB    float64
}

// EngineClass describes the model engines of a service.
type EngineClass struct {
	WeightsMB      float64
	AdapterSlots   int
	LoadsPerSecond float64 // limit on loads from the weight store, over all engines
	Slots          int     // requests that an engine runs at once; zero if not configured
	CacheTokens    int     // tokens that an engine's memory holds for running requests and cached prompts; zero if not configured
	EventTokens    int     // tokens in one event of a stream; zero if not configured
	Models         []Model
}

// Model returns the model with the given name, or nil.
func (c *EngineClass) Model(name string) *Model {
	for i := range c.Models {
		if c.Models[i].Name == name {
			return &c.Models[i]
		}
	}
	return nil
}

// Service is a group of upstreams that serve the same requests.
type Service struct {
	Name    string
	Engines *EngineClass // nil for plain services
}

// Limits bound the requests of callers.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// KeyDigest is the SHA-256 digest of an API key. Keys themselves are not kept, so that they
// can't reach logs, metrics or other instances.
type KeyDigest [sha256.Size]byte

// DigestKey returns the digest of an API key.
func DigestKey(key string) KeyDigest { return sha256.Sum256([]byte(key)) }

// Quota limits what a customer may use over all instances together.
type Quota struct {
	PerSecond float64 // zero if the customer has no limit
	Burst     float64
	// CountsTokens states that PerSecond and Burst are tokens: prompt tokens and the maximum of
	// output tokens of each request. They are requests otherwise.
	CountsTokens bool
	// PlainTokens is what a request that names no tokens counts as where CountsTokens is set.
	PlainTokens float64
}

// Customer is an organization whose requests carry its API keys.
type Customer struct {
	Name     string
	Keys     []KeyDigest
	Priority *int // goes before the priority of the route; nil if the customer has none
	Quota    Quota
}

// Config is one version of the operator's configuration.
type Config struct {
	Version   uint64
	Routes    []Route
	Services  map[string]*Service
	Limits    Limits
	Customers []Customer // empty if requests need no API key
}

// UpstreamID identifies an upstream. Together with Upstream.StartedAt it
// identifies one incarnation of the upstream.
type UpstreamID string

// ResidentModel is a model that an engine has loaded, with its loaded adapters.
type ResidentModel struct {
	Model    string
	Adapters []string
}

// Upstream is one engine or plain server as it describes itself.
type Upstream struct {
	ID              UpstreamID
	StartedAt       time.Time // start of this incarnation
	Service         string
	SoftwareVersion string // streams of one version can't be continued by another
	Address         string
	Zone            string
	Draining        bool
	EntryVersion    object.Version // version of the upstream's entry in the store
	AcceptedOrders  uint64         // orders accepted since the start; known only from the engine's own reports
	OrderInProgress bool
	Models          []ResidentModel
	LoadingAdapters []string // adapters that are being loaded, as MODEL/NAME
	InMemory        []string // models that load from the engine's own memory
	OnDisk          []string // models that load from the engine's own disk
}

// Holds reports whether the engine has loaded the model and, unless adapter is
// empty, that adapter of it.
func (u *Upstream) Holds(model, adapter string) bool {
	for i := range u.Models {
		if u.Models[i].Model != model {
			continue
		}
		if adapter == "" {
			return true
		}
		for _, a := range u.Models[i].Adapters {
			if a == adapter {
				return true
			}
		}
	}
	return false
}

// HasLocalCopy reports whether the engine can load the model from its own disk or memory.
func (u *Upstream) HasLocalCopy(model string) bool {
	return slices.Contains(u.OnDisk, model) || slices.Contains(u.InMemory, model)
}

// EnginesOrNil returns the engine class of the service. It returns nil for plain
// services, and for a nil service, which means an unknown service.
func (s *Service) EnginesOrNil() *EngineClass {
	if s == nil {
		return nil
	}
	return s.Engines
}

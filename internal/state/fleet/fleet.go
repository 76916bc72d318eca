// Package fleet holds the types of a platform deployment: its configuration, the
// engines and plain services that run, and what engines hold.
package fleet

import (
	"slices"
	"time"
)

// RouteKind tells what may be repeated.
type RouteKind uint8

// The kinds of routes.
const (
	// KindUnsafe requests run at most once.
	KindUnsafe RouteKind = iota
	// KindSafe requests may run several times.
	KindSafe
	// KindStream requests are answered by events.
	KindStream
)

// Split is the share of a route's requests that goes to one service.
type Split struct {
	Service string
	Weight  int
}

// Route sends the requests of a host and path prefix to services.
type Route struct {
	Name           string
	Host           string
	Prefix         string // begins and ends with a slash
	Kind           RouteKind
	Timeout        time.Duration // longest time to the final answer
	TargetLatency  time.Duration // time to the answer, or first event, that the operator aims at
	TargetEventGap time.Duration // longest pause between events that the operator aims at
	Priority       int           // 0 is the most urgent
	Splits         []Split
	MaxAttempts    int // upstreams that one request may be sent to
	Resumable      bool
}

// IsRepeatable reports whether a request of the route may run more than once.
func (r *Route) IsRepeatable() bool {
	return r.Kind == KindSafe || r.Kind == KindStream && r.Resumable
}

// Model is one model that the engines of a service may hold.
type Model struct {
	Name         string
	WeightsMB    float64
	LoadTime     time.Duration // from the weight store
	DiskLoadTime time.Duration // from the engine's own disk
	Adapters     int
	AdapterMB    float64
}

// EngineClass describes the model engines of a service.
type EngineClass struct {
	WeightsMB      float64
	AdapterSlots   int
	LoadsPerSecond float64 // ceiling over all engines, from the weight store
	Models         []Model
}

// Model returns the model of a name, or nil.
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
	Engines *EngineClass
}

// Limits bound what callers may send.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Config is one version of the operator's configuration.
type Config struct {
	Version  uint64
	Routes   []Route
	Services map[string]*Service
	Limits   Limits
}

// UpstreamID names an incarnation together with Born.
type UpstreamID string

// ResidentModel is a model that an engine holds, with its adapters.
type ResidentModel struct {
	Model    string
	Adapters []string
}

// Upstream is one engine or plain server as it describes itself.
type Upstream struct {
	ID              UpstreamID
	StartedAt       time.Time // start of this incarnation
	Service         string
	Address         string
	Zone            string
	Draining        bool
	EntryVersion    uint64 // version of its entry in the store
	AcceptedOrders  uint64 // orders accepted since its start, known from its reports only
	OrderInProgress bool   // an order is in progress
	Models          []ResidentModel
	LoadingAdapters []string // adapters on their way, MODEL/NAME
	InMemory        []string // models that load from the engine's own memory
	OnDisk          []string // models that load from the engine's own disk
}

// Holds reports whether the engine holds a model and, if one is named, its adapter.
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

// HasLocalCopy reports whether the engine loads a model from its own disk or memory.
func (u *Upstream) HasLocalCopy(model string) bool {
	return slices.Contains(u.OnDisk, model) || slices.Contains(u.InMemory, model)
}

// EnginesOrNil returns the engine class of a service, nil for plain and unknown services.
func (s *Service) EnginesOrNil() *EngineClass {
	if s == nil {
		return nil
	}
	return s.Engines
}

// Package bundle defines the configuration that operators approve: services,
// upstreams, models and adapters. A bundle is immutable. See protocol/bundlefile
// for its files.
package bundle

import (
	"slices"
	"time"
)

// Generation numbers the bundles that have been in force. It only increases.
type Generation uint64

// ServiceName identifies a service.
type ServiceName string

// ModelID identifies a model.
type ModelID string

// AdapterID identifies an adapter of a model.
type AdapterID string

// UpstreamID identifies a model engine or an upstream of a plain service.
type UpstreamID string

// Zone identifies an availability zone.
type Zone string

// MiB is an amount of memory in mebibytes.
type MiB int64

// ServiceKind tells generation by model engines from plain services.
type ServiceKind string

// The kinds of services.
const (
	KindGeneration ServiceKind = "generation"
	KindPlain      ServiceKind = "plain"
)

// Service is one service that callers use by name.
type Service struct {
	Name     ServiceName
	Kind     ServiceKind
	Deadline time.Duration // default time to the whole answer
	// OrderPaths are the path prefixes of a plain service whose calls must not be repeated.
	OrderPaths []string
}

// Upstream is one model engine or plain-service process.
type Upstream struct {
	ID           UpstreamID
	Service      ServiceName
	Address      string // IP address and port
	Zone         Zone
	Memory       MiB // accelerator memory for models and adapters, zero for plain services
	Accelerators int
	Batch        int // requests that a model engine runs at once, zero if unknown
	// ChecksFence tells that the engine refuses orders with an old fencing number.
	ChecksFence bool
}

// Model is one model version to keep reachable.
type Model struct {
	ID          ModelID
	Service     ServiceName
	Version     string
	Memory      MiB
	MinReplicas int
}

// Adapter belongs to a model and is loaded beside it.
type Adapter struct {
	ID     AdapterID
	Model  ModelID
	Memory MiB
}

// Bundle is the whole configuration of one generation.
type Bundle struct {
	Generation Generation // assigned at approval, no part of the content
	Deployment string     // name of the deployment that the bundle is for
	Zones      []Zone     // availability zones in which upstreams may stand
	Services   []Service
	Upstreams  []Upstream
	Models     []Model
	Adapters   []Adapter
}

// Service returns the named service.
func (b *Bundle) Service(name ServiceName) (Service, bool) {
	i := slices.IndexFunc(b.Services, func(s Service) bool { return s.Name == name })
	if i < 0 {
		return Service{}, false
	}
	return b.Services[i], true
}

// Model returns the model with the given id.
func (b *Bundle) Model(id ModelID) (Model, bool) {
	i := slices.IndexFunc(b.Models, func(m Model) bool { return m.ID == id })
	if i < 0 {
		return Model{}, false
	}
	return b.Models[i], true
}

// Adapter returns the adapter with the given id.
func (b *Bundle) Adapter(id AdapterID) (Adapter, bool) {
	i := slices.IndexFunc(b.Adapters, func(a Adapter) bool { return a.ID == id })
	if i < 0 {
		return Adapter{}, false
	}
	return b.Adapters[i], true
}

// UpstreamsOf returns the upstreams of a service in bundle order.
func (b *Bundle) UpstreamsOf(name ServiceName) []Upstream {
	var found []Upstream
	for _, u := range b.Upstreams {
		if u.Service == name {
			found = append(found, u)
		}
	}
	return found
}

// Package bundle defines the configuration that operators approve: services,
// upstreams, models and adapters. A bundle is immutable. Package bundlefile reads
// and writes its files.
package bundle

import (
	"slices"
	"time"
)

// Generation is the number of a bundle in the sequence of bundles that have been in
// force. It only increases.
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

// ServiceKind distinguishes text generation by model engines from plain services.
type ServiceKind string

// Kinds of services.
const (
	KindGeneration ServiceKind = "generation"
	KindPlain      ServiceKind = "plain"
)

// Service is one service that callers address by name.
type Service struct {
	Name     ServiceName
	Kind     ServiceKind
	Deadline time.Duration // default time limit for the complete response
	// OrderPaths are the path prefixes of a plain service whose requests must not be
	// sent more than once.
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
	Batch        int // maximum number of concurrent requests of a model engine, zero if unknown
	// ChecksFence is set if the engine rejects orders with an outdated fencing token.
	ChecksFence bool
}

// Model is one version of a model that the service must keep available.
type Model struct {
	ID          ModelID
	Service     ServiceName
	Version     string
	Memory      MiB
	MinReplicas int
}

// Adapter is an adapter of a model. An engine loads it in addition to the model.
type Adapter struct {
	ID     AdapterID
	Model  ModelID
	Memory MiB
}

// Bundle is the complete configuration of one generation.
type Bundle struct {
	Generation Generation // assigned at approval; not part of the content
	Deployment string     // name of the deployment that the bundle applies to
	Zones      []Zone     // availability zones that upstreams may run in
	Services   []Service
	Upstreams  []Upstream
	Models     []Model
	Adapters   []Adapter
}

// Service returns the service with the given name.
func (b *Bundle) Service(name ServiceName) (Service, bool) {
	i := slices.IndexFunc(b.Services, func(s Service) bool { return s.Name == name })
	if i < 0 {
		return Service{}, false
	}
	return b.Services[i], true
}

// Model returns the model with the given ID.
func (b *Bundle) Model(id ModelID) (Model, bool) {
	i := slices.IndexFunc(b.Models, func(m Model) bool { return m.ID == id })
	if i < 0 {
		return Model{}, false
	}
	return b.Models[i], true
}

// Adapter returns the adapter with the given ID.
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

package entry

import (
	"encoding/json"
	"os"

	"savoryweir/internal/coordination/suspect"
	"savoryweir/internal/errs"
	"savoryweir/internal/state/bundle"
)

// Replica is a model, or an adapter of a model, on an engine.
type Replica struct {
	Upstream bundle.UpstreamID
	Model    bundle.ModelID
	Adapter  bundle.AdapterID // empty for the model itself
	Ready    bool
}

// ViewData is the content of a view.
type ViewData struct {
	Bundle   bundle.Bundle
	Manifest bundle.Hash // hash of the bundle's manifest
	Replicas []Replica
	Leaving  []bundle.UpstreamID
	Suspects []suspect.Record
	// Instances is the number of usable instances, or zero when it is unknown.
	Instances int
}

// View is an immutable, indexed snapshot of the configuration and the replicas. A request uses one
// view for its whole lifetime.
type View struct {
	ViewData
	upstreams map[bundle.ServiceName][]bundle.Upstream
	byID      map[bundle.UpstreamID]bundle.Upstream
	hosts     map[bundle.ModelID][]bundle.UpstreamID // upstreams with the model ready
	replicas  map[Replica]bool
	leaving   map[bundle.UpstreamID]bool
}

// NewView returns a view of data, which must not change afterwards.
func NewView(data ViewData) *View {
	v := &View{
		ViewData:  data,
		upstreams: make(map[bundle.ServiceName][]bundle.Upstream),
		byID:      make(map[bundle.UpstreamID]bundle.Upstream),
		hosts:     make(map[bundle.ModelID][]bundle.UpstreamID),
		replicas:  make(map[Replica]bool),
		leaving:   make(map[bundle.UpstreamID]bool),
	}
	for _, u := range data.Bundle.Upstreams {
		v.upstreams[u.Service] = append(v.upstreams[u.Service], u)
		v.byID[u.ID] = u
	}
	for _, r := range data.Replicas {
		if !r.Ready || v.replicas[r] {
			continue
		}
		v.replicas[r] = true
		if r.Adapter == "" {
			v.hosts[r.Model] = append(v.hosts[r.Model], r.Upstream)
		}
	}
	for _, id := range data.Leaving {
		v.leaving[id] = true
	}
	return v
}

// Serves reports whether the upstream has the model, or the adapter, ready.
func (v *View) Serves(upstream bundle.UpstreamID, model bundle.ModelID, adapter bundle.AdapterID) bool {
	return v.replicas[Replica{Upstream: upstream, Model: model, Adapter: adapter, Ready: true}]
}

// Resolve returns the model and, if name is that of an adapter, the adapter. It reports whether the
// name is known.
func (v *View) Resolve(name string) (bundle.Model, bundle.AdapterID, bool) {
	if model, ok := v.Bundle.Model(bundle.ModelID(name)); ok {
		return model, "", true
	}
	adapter, ok := v.Bundle.Adapter(bundle.AdapterID(name))
	if !ok {
		return bundle.Model{}, "", false
	}
	model, ok := v.Bundle.Model(adapter.Model)
	return model, adapter.ID, ok
}

// ViewSource supplies the current view.
type ViewSource interface {
	// View returns the current view, or nil if there is none yet.
	View() *View
}

// StaticSource is a ViewSource whose view does not change.
type StaticSource struct{ Static *View }

// View implements ViewSource.
func (s StaticSource) View() *View { return s.Static }

const stepReadView errs.Step = "read view file"

// LoadViewFile reads a view from a JSON file with the content of a ViewData.
func LoadViewFile(path string) (*View, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errs.Wrap(err, stepReadView, errs.Self)
	}
	var content ViewData
	if err := json.Unmarshal(data, &content); err != nil {
		return nil, errs.Wrap(err, stepReadView, errs.Self)
	}
	return NewView(content), nil
}

// Report is what the entry observed of upstreams and requests since the last report.
type Report struct {
	Suspects []suspect.Record
	Leaving  []bundle.UpstreamID
	Demand   []ModelDemand
}

// ModelDemand is the traffic of one model.
type ModelDemand struct {
	Model           bundle.ModelID
	Adapter         bundle.AdapterID
	Requests        uint64
	Tokens          uint64
	MissedDeadlines uint64
	Completed       uint64 // requests with a complete answer
}

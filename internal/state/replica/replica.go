// Package replica records which models and adapters are loaded on which engines, and the
// deltas by which instances exchange that state.
package replica

import (
	"savoryweir/internal/state/bundle"
	"savoryweir/internal/state/news"
)

// Replica is a model, or one of its adapters, on an engine.
type Replica struct {
	Upstream bundle.UpstreamID
	Model    bundle.ModelID
	Adapter  bundle.AdapterID // empty for the model itself
	Ready    bool
}

// Cell is the list of the replicas on the engines of one placement cell.
type Cell struct {
	Head     news.CellHead
	Replicas []Replica
}

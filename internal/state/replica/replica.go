// Package replica defines which models and adapters are on which engines.
package replica

import (
	"savoryweir/internal/state/bundle"
	"savoryweir/internal/state/news"
)

// Replica is a model, or an adapter of it, on an engine.
type Replica struct {
	Upstream bundle.UpstreamID
	Model    bundle.ModelID
	Adapter  bundle.AdapterID // empty for the model itself
	Ready    bool
}

// Cell holds the replicas on the engines of one placement cell.
type Cell struct {
	Head     news.CellHead
	Replicas []Replica
}

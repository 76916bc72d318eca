// Package placement decides which models and adapters are loaded on which engines
// of a placement cell. A policy takes a snapshot and a time and returns load and
// unload actions.
package placement

import (
	"time"

	"savoryweir/internal/state/bundle"
	"savoryweir/internal/state/ledger"
)

// State is the state of a replica on its engine.
type State uint8

// The states of a replica.
const (
	Pending State = iota // its load is ordered or in progress
	Ready
	Unloading // an unload is ordered or in progress and can remove it at any time
)

// Replica is one copy of a model version, or of an adapter, on one engine.
type Replica struct {
	Slot   ledger.Slot
	Memory bundle.MiB
	State  State
}

// Engine is one engine of the cell.
type Engine struct {
	ID        bundle.UpstreamID
	Zone      bundle.Zone
	Memory    bundle.MiB
	Allocated bundle.MiB
	Compute   float64 // work that it can do per second, as a share of a whole engine's
	// Usable is false for an engine that is leaving or unreachable. Such an engine
	// receives no orders.
	Usable bool
	// Unresponsive is true for an engine that has not answered for a short time. It receives
	// no orders, but its replicas are not replaced yet.
	Unresponsive bool
	// FreesMemory reports whether an unload frees memory on this engine.
	FreesMemory bool
	Replicas    []Replica
}

// Model is one model version that callers must be able to reach.
type Model struct {
	bundle.Model
	Demand float64 // work per second, as a share of a whole engine's
}

// Adapter is one adapter that may be loaded next to its model.
type Adapter struct {
	bundle.Adapter
	Demand float64 // requests per second
}

// LoadLimits are the concurrent loads that this cell may draw from the weight store.
type LoadLimits struct {
	ModelLoads   int // concurrent model loads
	AdapterLoads int // concurrent adapter loads
}

// Snapshot is the input of a decision.
type Snapshot struct {
	Engines   []Engine
	Models    []Model
	Adapters  []Adapter
	Limits    LoadLimits
	Protected []bundle.ModelID // not among Models; their replicas are neither moved nor unloaded
}

// Reason says why an action was taken.
type Reason string

// The reasons of actions.
const (
	ReasonNoReplica    Reason = "model has no replica"
	ReasonVersion      Reason = "version in force has no replica"
	ReasonMinimum      Reason = "fewer replicas than configured"
	ReasonDemand       Reason = "demand is not met"
	ReasonSpare        Reason = "memory is free for a spare replica"
	ReasonMemoryNeeded Reason = "memory is needed for another slot"
	ReasonRetired      Reason = "not in the bundle in force"
	ReasonAdapter      Reason = "adapter is in demand"
)

// Action is one load or unload.
type Action struct {
	Action ledger.Action
	Engine bundle.UpstreamID
	Slot   ledger.Slot
	Memory bundle.MiB
	// Retired is true if the bundle no longer lists the model, so that its last replica
	// may be unloaded.
	Retired bool
	Reason  Reason
}

// Policy decides on the placement of one cell. It keeps its observations of demand
// between decisions and is not safe for concurrent use.
type Policy interface {
	Decide(now time.Time, s Snapshot) []Action
}

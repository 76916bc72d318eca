// Package placement decides which models and adapters are loaded on which engine
// of a placement cell. It takes a snapshot and a time and returns actions.
package placement

import (
	"time"

	"savoryweir/internal/state/bundle"
	"savoryweir/internal/state/ledger"
)

// State is how far a slot is on its engine.
type State uint8

// The states of a slot.
const (
	Pending State = iota // ordered or loading
	Ready
	Unloading // an unload may take it away
)

// Replica is one slot on an engine.
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
	Compute   float64 // share of a whole engine's work that it can do
	// Usable is false for an engine that is leaving or unreachable: it gets no orders.
	Usable bool
	// Unresponsive is true for an engine that has not answered for a short time. It gets no
	// orders, but its replicas are not replaced yet.
	Unresponsive bool
	// FreesMemory is false if an unload would free no memory.
	FreesMemory bool
	Replicas    []Replica
}

// Model is one model version that has to be reachable.
type Model struct {
	bundle.Model
	Demand float64 // work per second, in engines
}

// Adapter is one adapter that may be loaded beside its model.
type Adapter struct {
	bundle.Adapter
	Demand float64 // requests per second
}

// LoadLimits are this cell's share of the weight store.
type LoadLimits struct {
	ModelLoads   int // model loads at once
	AdapterLoads int // adapter loads in transit at once
}

// Snapshot is all that a decision depends on.
type Snapshot struct {
	Engines   []Engine
	Models    []Model
	Adapters  []Adapter
	Limits    LoadLimits
	Protected []bundle.ModelID // not among Models, but to be left where they are
}

// Reason tells why an action was taken.
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
	// Retired tells that the bundle lists the model no more, so its last replica may go.
	Retired bool
	Reason  Reason
}

// Policy decides on the placement of one cell. It keeps what it has learnt of demand
// between decisions and is not safe for concurrent use.
type Policy interface {
	Decide(now time.Time, s Snapshot) []Action
}

// Package enginehttp defines the paths and bodies of a model engine's order and
// residency API over HTTP.
package enginehttp

// Paths of the API.
const (
	LoadPath      = "/orders/load"
	UnloadPath    = "/orders/unload"
	ResidencyPath = "/residency"
)

// Slot names what takes memory on an engine: a model version, or an adapter of it.
type Slot struct {
	Model   string `json:"model"`
	Version string `json:"version"`
	Adapter string `json:"adapter,omitempty"`
}

// Order asks an engine to load or unload a slot.
type Order struct {
	ID        string `json:"id"`
	Fence     uint64 `json:"fence"`
	Slot      Slot   `json:"slot"`
	MemoryMiB int64  `json:"memory_mib,omitempty"`
}

// Outcome is an engine's answer to an order.
type Outcome string

// The outcomes of an order.
const (
	// OutcomeAccepted reports that the order took effect or that its load began.
	OutcomeAccepted Outcome = "accepted"
	// OutcomeOldFence reports that a higher fencing number was seen before.
	OutcomeOldFence Outcome = "old_fence"
	// OutcomeNoMemory reports that the slot does not fit.
	OutcomeNoMemory Outcome = "no_memory"
	// OutcomeNoModel reports that the adapter's model is not ready on the engine.
	OutcomeNoModel Outcome = "no_model"
)

// Answer is the body of the answer to an order.
type Answer struct {
	Outcome Outcome `json:"outcome"`
}

// State tells how far a slot is loaded.
type State string

// The states of a slot on an engine.
const (
	StateLoading State = "loading"
	StateReady   State = "ready"
)

// Resident is one slot that takes memory on an engine.
type Resident struct {
	Slot      Slot  `json:"slot"`
	MemoryMiB int64 `json:"memory_mib"`
	State     State `json:"state"`
}

// Report is an engine's state at one moment. It may lag.
type Report struct {
	// Boot changes with each start of the engine.
	Boot string `json:"boot"`
	// Sequence increases with each change of state within a boot.
	Sequence uint64 `json:"sequence"`
	// Fence is the highest fencing number that the engine has seen within the boot.
	Fence       uint64     `json:"fence"`
	CapacityMiB int64      `json:"capacity_mib"`
	Residents   []Resident `json:"residents"`
	// Handled lists the latest orders that the engine has handled within the boot.
	Handled []string `json:"handled"`
}

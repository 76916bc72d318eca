// Package enginehttp defines the paths and bodies of the HTTP API by which model engines
// receive orders and report their resident models.
package enginehttp

// Paths of the API.
const (
	LoadPath      = "/orders/load"
	UnloadPath    = "/orders/unload"
	ResidencyPath = "/residency"
)

// Slot identifies what occupies memory on an engine: a model version or one of its adapters.
type Slot struct {
	Model   string `json:"model"`
	Version string `json:"version"`
	Adapter string `json:"adapter,omitempty"`
}

// Order is the body of a request to load or unload a slot.
type Order struct {
	ID        string `json:"id"`
	Fence     uint64 `json:"fence"`
	Slot      Slot   `json:"slot"`
	MemoryMiB int64  `json:"memory_mib,omitempty"`
}

// Outcome is the result of an order at an engine.
type Outcome string

// The outcomes of an order.
const (
	// OutcomeAccepted reports that the order was carried out or that the load has started.
	OutcomeAccepted Outcome = "accepted"
	// OutcomeOldFence reports that the engine has already seen a higher fencing number.
	OutcomeOldFence Outcome = "old_fence"
	// OutcomeNoMemory reports that the engine has too little free memory for the slot.
	OutcomeNoMemory Outcome = "no_memory"
	// OutcomeNoModel reports that the adapter's model is not ready on the engine.
	OutcomeNoModel Outcome = "no_model"
)

// Answer is the body of the response to an order.
type Answer struct {
	Outcome Outcome `json:"outcome"`
}

// State is the loading state of a slot.
type State string

// The states of a slot on an engine.
const (
	StateLoading State = "loading"
	StateReady   State = "ready"
)

// Resident is one slot that occupies memory on an engine.
type Resident struct {
	Slot      Slot  `json:"slot"`
	MemoryMiB int64 `json:"memory_mib"`
	State     State `json:"state"`
}

// Report is an engine's state at one moment. It may be older than the current state.
type Report struct {
	// Boot identifies one run of the engine. It changes with each start of the engine.
	Boot string `json:"boot"`
	// Sequence increases with each change of the engine's state. It is comparable only within a
	// boot.
	Sequence uint64 `json:"sequence"`
	// Fence is the highest fencing number that the engine has received in this boot.
	Fence       uint64     `json:"fence"`
	CapacityMiB int64      `json:"capacity_mib"`
	Residents   []Resident `json:"residents"`
	// Handled lists the ids of the latest orders that the engine has handled in this boot.
	Handled []string `json:"handled"`
}

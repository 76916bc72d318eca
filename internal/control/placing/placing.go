// Package placing manages placement cells: it reads the reports of their engines,
// decides which models and adapters to load and unload, records the orders in the
// cell's ledger and sends them.
package placing

import (
	"context"
	"time"

	"savoryweir/internal/coordination/placement"
	"savoryweir/internal/protocol/ledgerfile"
	"savoryweir/internal/state/bundle"
	"savoryweir/internal/state/ledger"
)

// Settings configures placement.
type Settings struct {
	Interval       time.Duration `help:"Time between two decisions on a cell." default:"1s" min:"50ms" max:"1m"`
	ReportInterval time.Duration `help:"Longest time between two reports of an idle engine. At most lost-after minus one interval is used." default:"5s" min:"0s" max:"10m"`
	Lease          time.Duration `help:"Duration of a holder's lease on its cell after a write." default:"30s" min:"1s" max:"10m"`
	Resend         time.Duration `help:"Time after which an order without effect is sent again." default:"10s" min:"100ms" max:"10m"`
	EngineTimeout  time.Duration `help:"Longest wait for an engine's answer." default:"2s" min:"10ms" max:"1m"`
	LostAfter      time.Duration `help:"Time without an answer after which an engine's replicas are replaced." default:"3s" min:"0s" max:"10m"`
	ReportsAtOnce  int           `help:"Number of engines of a cell that are polled concurrently." default:"8" min:"1" max:"200"`
	CellSize       int           `help:"Target number of engines per placement cell. The number of cells follows from it and from the number of engines." default:"18" min:"1" max:"1000"`
	// CellsPerService overrides the number that follows from CellSize.
	CellsPerService int `help:"Number of placement cells of each service, regardless of its engines. 0 derives the number from cell-size." default:"0" min:"0" max:"256"`
	// Copies tells whether copies of an order may arrive at any time at engines that ignore fencing
	// numbers. The release of memory on those engines rests on this assumption.
	Copies            bool    `help:"Copies of an order may reach engines that ignore fencing numbers at any time." default:"true" negatable:""`
	LoadsAtOnce       int     `help:"Number of concurrent model loads up to which the weight store keeps full speed." default:"4" min:"1" max:"1000"`
	AdaptersInTransit int     `help:"Number of concurrent adapter loads up to which the weight store keeps full speed." default:"30" min:"1" max:"10000"`
	EngineTokens      float64 `help:"Tokens per second that one engine generates at full use." default:"5000" min:"1" max:"10000000"`

	Policy placement.Settings `embed:""`
}

// EngineConnector opens connections to model engines.
type EngineConnector interface {
	// Open connects to an engine and reads its report.
	Open(ctx context.Context, upstream bundle.Upstream) (Session, error)
}

// Session is a connection to one boot of an engine. It never reconnects, so that an order
// sent on it can't reach a later boot.
type Session interface {
	// Report requests the engine's current report.
	Report(ctx context.Context) (ledger.Report, error)
	// Send sends an order once. The answer is advisory: the next report shows the order's outcome.
	Send(ctx context.Context, order ledger.Order) error
	Close()
}

// Demand is the traffic of one model or adapter.
type Demand struct {
	Model              bundle.ModelID
	Adapter            bundle.AdapterID
	RequestsPerSecond  float64 // arriving requests
	TokensPerSecond    float64
	CompletedPerSecond float64 // requests with a complete answer
}

// Replica is one model or adapter on an engine, as published to the entries.
type Replica struct {
	Upstream bundle.UpstreamID
	Slot     ledger.Slot
	Ready    bool
}

// CellKind is the kind of the store objects of placement cells.
const CellKind = ledgerfile.Kind

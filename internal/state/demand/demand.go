// Package demand defines what entries saw of the traffic of models.
package demand

import (
	"time"

	"savoryweir/internal/state/bundle"
)

// Model is the traffic of one model, or of one adapter of it, at one entry.
type Model struct {
	Model           bundle.ModelID
	Adapter         bundle.AdapterID // empty for the model itself
	Requests        uint64
	Tokens          uint64
	MissedDeadlines uint64
	Completed       uint64 // with a whole answer
}

// Report is the traffic of one entry during an interval.
type Report struct {
	Instance string
	Interval time.Duration
	Models   []Model
}

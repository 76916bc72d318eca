// Package demand defines the reports in which entries count the traffic of each model.
package demand

import (
	"time"

	"savoryweir/internal/state/bundle"
)

// Model counts the traffic of one model, or of one of its adapters, at one entry.
type Model struct {
	Model           bundle.ModelID
	Adapter         bundle.AdapterID // empty for the model itself
	Requests        uint64
	Tokens          uint64
	MissedDeadlines uint64
	Completed       uint64 // requests that received a complete response
}

// Report is the traffic of one entry during an interval.
type Report struct {
	Instance string
	Interval time.Duration
	Models   []Model
}

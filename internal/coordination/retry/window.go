package retry

import (
	"time"
)

// WindowSettings bound the repeats of a service over all instances.
type WindowSettings struct {
	Ratio  float64       // repeats as a share of requests
	Slack  float64       // repeats in a window beyond that share, over all instances
	Window time.Duration // sliding
}

// windowSafety is the share of the allowance that instances use together: what
// is left covers instances that don't yet know how many they are.
const windowSafety = 0.8

// WindowBudget holds repeats to a share of requests plus an even part of the slack, in
// any span of a window. It keeps counts in slices of a tenth of the window. It is
// not safe for concurrent use.
type WindowBudget struct {
	settings WindowSettings
	slices   [windowSlices]windowSlice
}

// windowSlices covers one window and the slice that is being filled.
const windowSlices = 11

type windowSlice struct {
	number            int64
	requests, repeats float64
}

// NewWindowBudget returns a window without requests.
func NewWindowBudget(s WindowSettings) *WindowBudget { return &WindowBudget{settings: s} }

// Configure changes the bounds; counts stay.
func (w *WindowBudget) Configure(s WindowSettings) { w.settings = s }

func (w *WindowBudget) slice(now time.Time) *windowSlice {
	number := now.UnixNano() / int64(w.settings.Window/(windowSlices-1))
	s := &w.slices[number%windowSlices]
	if s.number != number {
		*s = windowSlice{number: number}
	}
	return s
}

// RecordRequest records a request of a caller.
func (w *WindowBudget) RecordRequest(now time.Time) { w.slice(now).requests++ }

// Remaining returns how many repeats may be sent now, with this many instances alive.
func (w *WindowBudget) Remaining(now time.Time, instances int) float64 {
	current := w.slice(now).number
	var requests, repeats float64
	for _, s := range w.slices {
		if current-s.number < windowSlices {
			requests += s.requests
			repeats += s.repeats
		}
	}
	slack := w.settings.Slack / float64(max(instances, 1))
	return windowSafety*(w.settings.Ratio*requests+slack) - repeats
}

// Spend takes one repeat if one is left.
func (w *WindowBudget) Spend(now time.Time, instances int) bool {
	if w.Remaining(now, instances) < 1 {
		return false
	}
	w.slice(now).repeats++
	return true
}

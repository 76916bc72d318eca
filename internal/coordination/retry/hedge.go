package retry

import (
	"slices"
	"time"
)

const (
	hedgeSamples    = 128 // answer times remembered
	hedgeMinSamples = 32  // answer times before the first hedge
	hedgeRefresh    = 16  // answers between two computations of the quantile
)

// Hedger tells when a read that may be repeated is sent a second time.
type Hedger struct {
	settings Settings
	took     []time.Duration
	next     int
	fresh    int
	delay    time.Duration
}

// NewHedger returns a hedger without samples.
func NewHedger(settings Settings) *Hedger { return &Hedger{settings: settings} }

// Observe records the time of a whole answer.
func (h *Hedger) Observe(took time.Duration) {
	if len(h.took) < hedgeSamples {
		h.took = append(h.took, took)
	} else {
		h.took[h.next] = took
		h.next = (h.next + 1) % hedgeSamples
	}
	h.fresh++
	if len(h.took) >= hedgeMinSamples && h.fresh >= hedgeRefresh {
		h.fresh = 0
		h.delay = h.quantile()
	}
}

// Delay returns the time after which a read is hedged. It returns false until
// enough answers were seen.
func (h *Hedger) Delay() (time.Duration, bool) { return h.delay, h.delay > 0 }

func (h *Hedger) quantile() time.Duration {
	sorted := slices.Clone(h.took)
	slices.Sort(sorted)
	return sorted[int(h.settings.HedgeQuantile*float64(len(sorted)-1))]
}

package retry

import (
	"slices"
	"time"
)

const (
	hedgeSampleCount     = 128 // response times kept
	hedgeMinSamples      = 32  // response times needed before the first hedge
	hedgeRefreshInterval = 16  // responses between two computations of the quantile
)

// Hedger computes the delay after which a repeatable read is sent a second time.
type Hedger struct {
	settings            Settings
	responseTimes       []time.Duration
	nextIndex           int
	samplesSinceRefresh int
	delay               time.Duration
}

// NewHedger returns a Hedger without samples.
func NewHedger(settings Settings) *Hedger { return &Hedger{settings: settings} }

// Observe records the time that a complete response took.
func (h *Hedger) Observe(responseTime time.Duration) {
	if len(h.responseTimes) < hedgeSampleCount {
		h.responseTimes = append(h.responseTimes, responseTime)
	} else {
		h.responseTimes[h.nextIndex] = responseTime
		h.nextIndex = (h.nextIndex + 1) % hedgeSampleCount
	}
	h.samplesSinceRefresh++
	if len(h.responseTimes) >= hedgeMinSamples && h.samplesSinceRefresh >= hedgeRefreshInterval {
		h.samplesSinceRefresh = 0
		h.delay = h.quantile()
	}
}

// Delay returns the time after which a read is hedged. It returns false until enough
// response times have been recorded.
func (h *Hedger) Delay() (time.Duration, bool) { return h.delay, h.delay > 0 }

// quantile returns the HedgeQuantile of the response times kept.
func (h *Hedger) quantile() time.Duration {
	sorted := slices.Clone(h.responseTimes)
	slices.Sort(sorted)
	return sorted[int(h.settings.HedgeQuantile*float64(len(sorted)-1))]
}

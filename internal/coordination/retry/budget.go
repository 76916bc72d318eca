// Package retry decides whether and when an attempt is repeated.
//
// An entry keeps one Budget and one Hedger for each service. It calls
// Budget.Request for each first attempt of a request that did not come from
// another instance as a retry, and Budget.Spend before each retry or hedge; when
// Spend returns false the failure is final. Backoff gives the wait before a
// retry. Orders that may not be repeated never come here.
package retry

import (
	"math/rand/v2"
	"time"
)

// Settings are the settings of a Budget and its waits.
type Settings struct {
	BudgetRatio   float64 // retries and hedges as a share of first attempts
	Burst         float64 // retries that may be saved up
	MaxAttempts   int     // of one request, the first one included
	BackoffBase   time.Duration
	BackoffMax    time.Duration
	HedgeQuantile float64 // quantile of answer times after which a read is hedged
}

// DefaultSettings returns the settings to start from.
func DefaultSettings() Settings {
	return Settings{
		BudgetRatio:   0.1,
		Burst:         10,
		MaxAttempts:   3,
		BackoffBase:   50 * time.Millisecond,
		BackoffMax:    2 * time.Second,
		HedgeQuantile: 0.95,
	}
}

// Budget holds retries to a share of first attempts. Each instance earns its
// tokens by its own requests and starts with none, so that the share holds over
// all instances however many there are and however often they restart.
type Budget struct {
	settings Settings
	tokens   float64
}

// NewBudget returns a budget without tokens.
func NewBudget(settings Settings) *Budget { return &Budget{settings: settings} }

// RecordRequest records a first attempt.
func (b *Budget) RecordRequest() {
	b.tokens = min(b.tokens+b.settings.BudgetRatio, b.settings.Burst)
}

// Spend takes a token for attempt, which is 2 for the first retry.
func (b *Budget) Spend(attempt int) bool {
	if attempt > b.settings.MaxAttempts || b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Backoff returns the wait before attempt with full jitter: any time up to the
// base doubled for each earlier retry.
func Backoff(settings Settings, attempt int, r *rand.Rand) time.Duration {
	ceiling := settings.BackoffBase
	for range attempt - 2 {
		ceiling = min(2*ceiling, settings.BackoffMax)
	}
	return time.Duration(r.Int64N(int64(ceiling) + 1))
}

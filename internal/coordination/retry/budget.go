// Package retry decides whether and when an attempt is repeated.
//
// The entry process keeps one Budget and one Hedger for each service. It calls
// Budget.RecordRequest for each first attempt, except for requests that another instance
// forwarded as a retry, and Budget.Spend before each retry or hedge. If Spend returns
// false, the failure is final. Backoff returns the wait before a retry. Orders that must
// not be repeated do not use this package.
package retry

import (
	"math/rand/v2"
	"time"
)

// Settings configures a Budget, the backoff and the hedging of a service.
type Settings struct {
	BudgetRatio   float64 // retries and hedges as a share of first attempts
	Burst         float64 // maximum number of unused retries that accumulate
	MaxAttempts   int     // attempts per request, including the first
	BackoffBase   time.Duration
	BackoffMax    time.Duration
	HedgeQuantile float64 // quantile of response times after which a read is hedged
}

// DefaultSettings returns the default settings.
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

// Budget limits retries to a share of first attempts. Each instance earns tokens from its
// own requests only and starts with none, so the share holds over all instances, whatever
// their number and however often they restart.
type Budget struct {
	settings Settings
	tokens   float64
}

// NewBudget returns a Budget without tokens.
func NewBudget(settings Settings) *Budget { return &Budget{settings: settings} }

// RecordRequest records a first attempt and adds its share of a token.
func (b *Budget) RecordRequest() {
	b.tokens = min(b.tokens+b.settings.BudgetRatio, b.settings.Burst)
}

// Spend takes a token for the given attempt, which is 2 for the first retry. It returns
// false if the attempt exceeds MaxAttempts or no token is left.
func (b *Budget) Spend(attempt int) bool {
	if attempt > b.settings.MaxAttempts || b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Backoff returns the wait before the given attempt with full jitter: a random time up to
// BackoffBase doubled for each earlier retry, at most BackoffMax.
func Backoff(settings Settings, attempt int, r *rand.Rand) time.Duration {
	ceiling := settings.BackoffBase
	for range attempt - 2 {
		ceiling = min(2*ceiling, settings.BackoffMax)
	}
	return time.Duration(r.Int64N(int64(ceiling) + 1))
}

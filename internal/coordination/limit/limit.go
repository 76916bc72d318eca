// Package limit adapts the number of requests that an entry process has in flight at
// one upstream, by additive increase and multiplicative decrease.
//
// An entry process keeps one Limiter for each upstream, passes Limit to routing as
// Candidate.Limit and calls Observe when an attempt ends. While the limit is in use it
// grows by one for each round of responses in time, and faster below its initial value.
// It shrinks by a factor at most once in a DecreaseInterval when responses are late or
// the upstream refuses requests because of overload. Other failures are left to package
// outlier, because an upstream that failed is not slower once it has recovered.
package limit

import "time"

// Settings configures a Limiter.
type Settings struct {
	Min              int
	Max              int
	Initial          int
	LateFactor       float64       // multiple of the expected duration above which a response is late
	DecreaseFactor   float64       // factor applied to the limit by a decrease
	DecreaseInterval time.Duration // least time between two decreases
	RecoveryStep     float64       // increase for each response in time while the limit is below Initial
}

// DefaultSettings returns the default settings.
func DefaultSettings() Settings {
	return Settings{Min: 1, Max: 256, Initial: 32, LateFactor: 2.5, DecreaseFactor: 0.8, DecreaseInterval: time.Second, RecoveryStep: 0.25}
}

// Sample describes an attempt that has ended.
type Sample struct {
	Duration         time.Duration
	ExpectedDuration time.Duration
	InFlight         int  // number of requests in flight when the attempt was sent
	Refused          bool // the upstream refused the attempt because of overload
}

// Limiter holds the adaptive limit of one upstream. It is not safe for concurrent use.
type Limiter struct {
	settings     Settings
	limit        float64
	lastDecrease time.Time
}

// New returns a limiter at its initial value.
func New(settings Settings) *Limiter {
	return &Limiter{settings: settings, limit: float64(settings.Initial)}
}

// Limit returns the number of requests that may be in flight.
func (l *Limiter) Limit() int { return int(l.limit) }

// Observe adapts the limit to an attempt that has ended. A response in time raises the
// limit only if at least half of it was in use.
func (l *Limiter) Observe(now time.Time, s Sample) {
	if s.Refused || l.isLate(s) {
		l.decrease(now)
		return
	}
	if 2*s.InFlight >= l.Limit() {
		l.limit = min(l.limit+l.increment(), float64(l.settings.Max))
	}
}

// increment returns the increase for one response in time. Below the initial value the
// limit grows by a share of itself in each round of responses, above it by one.
func (l *Limiter) increment() float64 {
	if l.limit < float64(l.settings.Initial) {
		return l.settings.RecoveryStep
	}
	return 1 / l.limit
}

func (l *Limiter) isLate(s Sample) bool {
	return float64(s.Duration) > l.settings.LateFactor*float64(s.ExpectedDuration)
}

func (l *Limiter) decrease(now time.Time) {
	if now.Sub(l.lastDecrease) < l.settings.DecreaseInterval {
		return
	}
	l.lastDecrease = now
	l.limit = max(l.limit*l.settings.DecreaseFactor, float64(l.settings.Min))
}

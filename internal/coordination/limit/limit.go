// Package limit adapts the number of requests that an entry has in flight at one upstream.
//
// An entry keeps one Limiter for each upstream, passes Limit to routing as
// Candidate.Limit and calls Observe when an attempt ends. The limit grows by one
// for each round of good answers while it is in use, faster below its start value,
// and shrinks by a factor at most once in a Window when answers are late or
// refused for load. Other failures are left to package outlier: an upstream that
// failed is not slower once it is back.
package limit

import "time"

// Settings are the settings of a Limiter.
type Settings struct {
	Min              int
	Max              int
	Initial          int
	LateFactor       float64       // time above the expected one, as a factor, that counts as late
	DecreaseFactor   float64       // factor on the limit at a late answer
	DecreaseInterval time.Duration // least time between two decreases
	RecoveryStep     float64       // growth for each good answer below Start
}

// DefaultSettings returns the settings to start from.
func DefaultSettings() Settings {
	return Settings{Min: 1, Max: 256, Initial: 32, LateFactor: 2.5, DecreaseFactor: 0.8, DecreaseInterval: time.Second, RecoveryStep: 0.25}
}

// Sample is one ended attempt.
type Sample struct {
	Duration         time.Duration
	ExpectedDuration time.Duration
	InFlight         int  // when the attempt was sent
	Refused          bool // by the upstream, for load
}

// Limiter is the limit of one upstream.
type Limiter struct {
	settings    Settings
	limit       float64
	decreasedAt time.Time
}

// New returns a limiter at its start value.
func New(settings Settings) *Limiter {
	return &Limiter{settings: settings, limit: float64(settings.Initial)}
}

// Limit returns the number of requests that may be in flight.
func (l *Limiter) Limit() int { return int(l.limit) }

// Observe adapts the limit to an ended attempt.
func (l *Limiter) Observe(now time.Time, s Sample) {
	if s.Refused || l.isLate(s) {
		l.decrease(now)
		return
	}
	if 2*s.InFlight >= l.Limit() {
		l.limit = min(l.limit+l.growth(), float64(l.settings.Max))
	}
}

// growth returns the step for one good answer. Below the start value the limit
// grows by a share of itself in each round.
func (l *Limiter) growth() float64 {
	if l.limit < float64(l.settings.Initial) {
		return l.settings.RecoveryStep
	}
	return 1 / l.limit
}

func (l *Limiter) isLate(s Sample) bool {
	return float64(s.Duration) > l.settings.LateFactor*float64(s.ExpectedDuration)
}

func (l *Limiter) decrease(now time.Time) {
	if now.Sub(l.decreasedAt) < l.settings.DecreaseInterval {
		return
	}
	l.decreasedAt = now
	l.limit = max(l.limit*l.settings.DecreaseFactor, float64(l.settings.Min))
}

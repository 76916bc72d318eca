// Package limit adapts the number of requests that an entry has in flight at one upstream.
//
// An entry keeps one Limiter for each upstream, passes Limit to routing as
// Candidate.Limit and calls Observe when an attempt ends. The limit grows by one
// for each round of good answers while it is in use, and shrinks by a factor at
// most once in a Window when answers are late or refused.
package limit

import "time"

// Settings are the settings of a Limiter.
type Settings struct {
	Min       int
	Max       int
	Start     int
	Tolerance float64       // time above the expected one, as a factor, that counts as late
	Decrease  float64       // factor on the limit at a late answer
	Window    time.Duration // least time between two decreases
}

// DefaultSettings returns the settings to start from.
func DefaultSettings() Settings {
	return Settings{Min: 1, Max: 256, Start: 32, Tolerance: 2.5, Decrease: 0.8, Window: time.Second}
}

// Sample is one ended attempt.
type Sample struct {
	Took     time.Duration
	Expected time.Duration
	InFlight int  // when the attempt was sent
	Failed   bool // refused, broken or timed out
}

// Limiter is the limit of one upstream.
type Limiter struct {
	settings    Settings
	limit       float64
	decreasedAt time.Time
}

// New returns a limiter at its start value.
func New(settings Settings) *Limiter {
	return &Limiter{settings: settings, limit: float64(settings.Start)}
}

// Limit returns the number of requests that may be in flight.
func (l *Limiter) Limit() int { return int(l.limit) }

// Observe adapts the limit to an ended attempt.
func (l *Limiter) Observe(now time.Time, s Sample) {
	if s.Failed || l.isLate(s) {
		l.decrease(now)
		return
	}
	if 2*s.InFlight >= l.Limit() {
		l.limit = min(l.limit+1/l.limit, float64(l.settings.Max))
	}
}

func (l *Limiter) isLate(s Sample) bool {
	return float64(s.Took) > l.settings.Tolerance*float64(s.Expected)
}

func (l *Limiter) decrease(now time.Time) {
	if now.Sub(l.decreasedAt) < l.settings.Window {
		return
	}
	l.decreasedAt = now
	l.limit = max(l.limit*l.settings.Decrease, float64(l.settings.Min))
}

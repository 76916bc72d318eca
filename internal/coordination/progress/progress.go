// Package progress measures the token rate of engines and predicts which running streams
// will miss their deadline.
//
// An entry process keeps one Meter for each engine and one Stream for each stream at the
// engine. It calls Observe for each stream a few times a second. PerToken is passed to
// routing as Candidate.TimePerToken, FastestPerToken gives admission the best-case duration of
// a response, and a stream for which IsLate returns true is cancelled, so that its slot is
// free for a request that can meet its deadline.
//
// The pace is measured for each engine and not averaged over the service, because half of
// the engines may be several times slower than the others.
package progress

import (
	"math"
	"time"
)

// Settings configures a Meter.
type Settings struct {
	// HalfLife is the half-life of recorded tokens in the measured pace.
	HalfLife time.Duration
	// PaceTTL is the time for which the pace of an engine without streams remains valid.
	PaceTTL time.Duration
	// MinLengthShare is the least length of a response as a share of the expected length.
	// A stream is late if a response of even this length would end after the deadline.
	MinLengthShare float64
	// MinTokens is the number of tokens that a stream must have produced before it can
	// be late.
	MinTokens int
	// MaxTokenGap is the upper bound of the time counted between two tokens, so that the
	// end of a stall does not make streams late that continue at their former pace.
	MaxTokenGap time.Duration
	// LateConfirmation is the time for which the prediction must exceed the deadline
	// before a stream is late.
	LateConfirmation time.Duration
}

// DefaultSettings returns the default settings.
func DefaultSettings() Settings {
	return Settings{
		HalfLife:         200 * time.Millisecond,
		PaceTTL:          5 * time.Second,
		MinLengthShare:   0.9,
		MinTokens:        3,
		MaxTokenGap:      300 * time.Millisecond,
		LateConfirmation: 300 * time.Millisecond,
	}
}

// Stream holds the progress of a running stream.
type Stream struct {
	tokens      float64
	lastTokenAt time.Time // zero before the first token
	lateSince   time.Time // zero while the stream is expected to meet its deadline
}

// Meter measures the time between tokens at one engine. It is not safe for concurrent use.
type Meter struct {
	settings      Settings
	decayedTokens float64 // tokens of all streams with exponential decay
	decayedNanos  float64 // nanoseconds between these tokens with the same decay
	decayedAt     time.Time
	lastTokenAt   time.Time
}

// New returns a meter whose pace is unknown.
func New(settings Settings) *Meter { return &Meter{settings: settings} }

// Observe records the number of tokens that a stream has produced so far. Two times are
// left out of the pace: the time before the first token, which depends on the length of
// the prompt, and the time since the latest token, because a stream that has gone silent
// is retried elsewhere and must not make the others late.
func (m *Meter) Observe(now time.Time, s *Stream, tokens float64) {
	if tokens <= s.tokens {
		return
	}
	m.decay(now)
	if !s.lastTokenAt.IsZero() {
		m.decayedTokens += tokens - s.tokens
		m.decayedNanos += float64(min(now.Sub(s.lastTokenAt), m.settings.MaxTokenGap))
	}
	m.lastTokenAt = now
	s.tokens = tokens
	s.lastTokenAt = now
}

// decay applies the exponential decay up to now.
func (m *Meter) decay(now time.Time) {
	factor := math.Exp2(-float64(now.Sub(m.decayedAt)) / float64(m.settings.HalfLife))
	m.decayedTokens *= factor
	m.decayedNanos *= factor
	m.decayedAt = now
}

// nanosPerToken returns the measured pace without regard to its age, or zero
// before the first measurement.
func (m *Meter) nanosPerToken() float64 {
	if m.decayedTokens == 0 {
		return 0
	}
	return m.decayedNanos / m.decayedTokens
}

// PerToken returns the time between two tokens, or zero if it is unknown. The pace of an
// engine without streams becomes unknown after PaceTTL: the engine may have become
// faster, and only a request shows whether it has.
func (m *Meter) PerToken(now time.Time) time.Duration {
	if now.Sub(m.lastTokenAt) > m.settings.PaceTTL {
		return 0
	}
	return time.Duration(m.nanosPerToken())
}

// IsLate reports whether a stream of the expected length in tokens will likely miss its
// deadline. It must be called after each Observe.
func (m *Meter) IsLate(now time.Time, s *Stream, expected float64, deadline time.Time) bool {
	remaining := max(m.settings.MinLengthShare*expected-s.tokens, 0)
	end := now.Add(time.Duration(remaining * m.nanosPerToken()))
	if s.tokens < float64(m.settings.MinTokens) || !end.After(deadline) {
		s.lateSince = time.Time{}
		return false
	}
	if s.lateSince.IsZero() {
		s.lateSince = now
	}
	return now.Sub(s.lateSince) >= m.settings.LateConfirmation
}

// FastestPerToken returns the shortest time between tokens at the given engines. An engine
// whose pace is unknown counts with defaultPerToken, which is also the result without engines.
func FastestPerToken(now time.Time, meters []*Meter, defaultPerToken time.Duration) time.Duration {
	best := defaultPerToken
	for i, m := range meters {
		pace := m.PerToken(now)
		if pace == 0 {
			pace = defaultPerToken
		}
		if i == 0 || pace < best {
			best = pace
		}
	}
	return best
}

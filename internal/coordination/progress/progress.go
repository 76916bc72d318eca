// Package progress follows the tokens of running streams.
//
// An entry keeps one Meter for each engine and one Stream for each stream at it.
// A few times a second it calls Add for each stream. PerToken goes
// to routing as Candidate.PerToken, Fastest gives admission the time that an answer
// takes at best, and a stream of which IsLate says that it will miss its deadline is
// cancelled, so that its place is free for a request that can meet its own.
//
// The pace of one engine is used and not a mean over the service: half of the
// engines may be several times slower than the others.
package progress

import (
	"math"
	"time"
)

// Settings are the settings of a Meter.
type Settings struct {
	HalfLife time.Duration // of recorded tokens in the pace
	PaceTTL  time.Duration // for which the pace of an engine without streams is believed
	// MinLengthShare is the least length of an answer as a share of the expected one. A stream
	// is late when even this length would end after the deadline.
	MinLengthShare float64
	// MinTokens is how many tokens a stream brings before it is judged.
	MinTokens int
	// MaxTokenGap is the longest time between two tokens that counts, so that the end of a
	// stall does not make streams late that go on as before.
	MaxTokenGap time.Duration
	// LateConfirmation is how long a stream must seem late before it is.
	LateConfirmation time.Duration
}

// DefaultSettings returns the settings to start from.
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

// Stream is what is known of a running stream.
type Stream struct {
	tokens    float64
	at        time.Time // of the latest token, zero before the first one
	lateSince time.Time // zero while it is in time
}

// Meter measures the time between tokens at one engine.
type Meter struct {
	settings Settings
	made     float64 // tokens, decayed by the half-life
	took     float64 // nanoseconds of all streams, decayed likewise
	decayed  time.Time
	at       time.Time // of the latest token
}

// New returns a meter without a pace.
func New(settings Settings) *Meter { return &Meter{settings: settings} }

// Observe records how many tokens a stream has brought so far. The time before its
// first token counts for nothing: it depends on the length of the prompt. Nor does
// that since its latest one: a stream gone silent is sent elsewhere, and does not
// make the others late.
func (m *Meter) Observe(now time.Time, s *Stream, tokens float64) {
	if tokens <= s.tokens {
		return
	}
	m.decay(now)
	if !s.at.IsZero() {
		m.made += tokens - s.tokens
		m.took += float64(min(now.Sub(s.at), m.settings.MaxTokenGap))
	}
	m.at = now
	s.tokens = tokens
	s.at = now
}

func (m *Meter) decay(now time.Time) {
	factor := math.Exp2(-float64(now.Sub(m.decayed)) / float64(m.settings.HalfLife))
	m.made *= factor
	m.took *= factor
	m.decayed = now
}

func (m *Meter) perToken() float64 {
	if m.made == 0 {
		return 0
	}
	return m.took / m.made
}

// PerToken returns the time between two tokens. It returns zero when it is not
// known: an engine without streams may have become faster, and only a request
// shows whether it has.
func (m *Meter) PerToken(now time.Time) time.Duration {
	if now.Sub(m.at) > m.settings.PaceTTL {
		return 0
	}
	return time.Duration(m.perToken())
}

// IsLate reports whether a stream of the expected length in tokens will likely
// miss its deadline. It is called after each Add.
func (m *Meter) IsLate(now time.Time, s *Stream, expected float64, deadline time.Time) bool {
	rest := max(m.settings.MinLengthShare*expected-s.tokens, 0)
	end := now.Add(time.Duration(rest * m.perToken()))
	if s.tokens < float64(m.settings.MinTokens) || !end.After(deadline) {
		s.lateSince = time.Time{}
		return false
	}
	if s.lateSince.IsZero() {
		s.lateSince = now
	}
	return now.Sub(s.lateSince) >= m.settings.LateConfirmation
}

// FastestPerToken returns the shortest time between tokens at the given engines. One
// whose pace is not known counts with guess.
func FastestPerToken(now time.Time, meters []*Meter, guess time.Duration) time.Duration {
	best := guess
	for i, m := range meters {
		pace := m.PerToken(now)
		if pace == 0 {
			pace = guess
		}
		if i == 0 || pace < best {
			best = pace
		}
	}
	return best
}

package progress

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var startTime = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const observeInterval = 100 * time.Millisecond

// produce observes a stream that produces tokens at the given pace for the given duration,
// and returns the time at its end.
func produce(m *Meter, s *Stream, from time.Time, duration, perToken time.Duration) time.Time {
	first := s.tokens
	now := from
	for now.Sub(from) < duration {
		now = now.Add(observeInterval)
		m.Observe(now, s, first+float64(now.Sub(from))/float64(perToken))
	}
	return now
}

func TestPerTokenFollowsEngineThatSlowsDownAndRecovers(t *testing.T) {
	m, s := New(DefaultSettings()), &Stream{}
	now := startTime
	for _, perToken := range []time.Duration{20 * time.Millisecond, 80 * time.Millisecond, 20 * time.Millisecond} {
		now = produce(m, s, now, 2*time.Second, perToken)
		got := m.PerToken(now)
		assert.Assert(t, got > perToken*9/10 && got < perToken*12/10, "measured %v per token, the engine takes %v", got, perToken)
	}
}

// Admission refuses requests by the pace of the engines. If the pace of an idle engine never
// expired, a service whose engines were all slow once would refuse all requests from then on.
func TestPerTokenOfIdleEngineExpires(t *testing.T) {
	m, s := New(DefaultSettings()), &Stream{}
	now := produce(m, s, startTime, 2*time.Second, time.Second/2)
	assert.Assert(t, m.PerToken(now) > 0)
	later := now.Add(2 * DefaultSettings().PaceTTL)
	assert.Equal(t, m.PerToken(later), time.Duration(0))
	assert.Equal(t, FastestPerToken(later, []*Meter{m}, observeInterval), observeInterval)
}

func TestFastestPerTokenIgnoresSlowEngines(t *testing.T) {
	slow, fast := New(DefaultSettings()), New(DefaultSettings())
	now := produce(slow, &Stream{}, startTime, 2*time.Second, 400*time.Millisecond)
	produce(fast, &Stream{}, startTime, 2*time.Second, 50*time.Millisecond)
	assert.Equal(t, FastestPerToken(now, []*Meter{slow, fast}, time.Second), fast.PerToken(now))
	assert.Equal(t, FastestPerToken(now, nil, time.Second), time.Second)
}

func TestLateStreamIsDetectedLongBeforeDeadline(t *testing.T) {
	m, s := New(DefaultSettings()), &Stream{}
	deadline := startTime.Add(20 * time.Second)
	now := startTime
	for !m.IsLate(now, s, 100, deadline) {
		now = produce(m, s, now, observeInterval, 400*time.Millisecond)
		assert.Assert(t, now.Before(startTime.Add(10*time.Second)), "a stream of 40 s with a deadline of 20 s is not detected as late until %v", now)
	}
}

func TestStreamInTimeIsNeverLate(t *testing.T) {
	m, s := New(DefaultSettings()), &Stream{}
	deadline := startTime.Add(10 * time.Second)
	for now := startTime; s.tokens < 100; {
		now = produce(m, s, now, observeInterval, 50*time.Millisecond)
		assert.Assert(t, !m.IsLate(now, s, 100, deadline), "after %v", now.Sub(startTime))
	}
}

// A stalled engine produces no tokens for a while. The timeout for silent streams handles
// this and retries the stream elsewhere, so the deadline prediction must not cancel it.
func TestStalledStreamIsNotLate(t *testing.T) {
	m, s := New(DefaultSettings()), &Stream{}
	deadline := startTime.Add(8 * time.Second)
	now := produce(m, s, startTime, time.Second, 50*time.Millisecond)
	for range 9 {
		now = now.Add(observeInterval)
		m.Observe(now, s, s.tokens)
		assert.Assert(t, !m.IsLate(now, s, 100, deadline))
	}
	for s.tokens < 100 {
		now = produce(m, s, now, observeInterval, 50*time.Millisecond)
		assert.Assert(t, !m.IsLate(now, s, 100, deadline), "after %v", now.Sub(startTime))
	}
}

func TestStreamIsNotLateWithUnknownPaceOrLength(t *testing.T) {
	m, s := New(DefaultSettings()), &Stream{}
	assert.Assert(t, !m.IsLate(startTime, s, 1e6, startTime.Add(time.Second)))
	now := produce(m, s, startTime, 2*time.Second, time.Second/2)
	for range 10 {
		now = produce(m, s, now, observeInterval, time.Second/2)
		assert.Assert(t, !m.IsLate(now, s, 0, now.Add(time.Second)))
	}
}

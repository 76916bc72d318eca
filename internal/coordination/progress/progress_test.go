package progress

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const tick = 100 * time.Millisecond

// run adds ticks in which the stream goes on at the given pace, and returns the end.
func run(m *Meter, s *Stream, from time.Time, lasts, perToken time.Duration) time.Time {
	first := s.tokens
	now := from
	for now.Sub(from) < lasts {
		now = now.Add(tick)
		m.Observe(now, s, first+float64(now.Sub(from))/float64(perToken))
	}
	return now
}

func TestPaceFollowsAnEngineThatSlowsDownAndRecovers(t *testing.T) {
	m, s := New(DefaultSettings()), &Stream{}
	now := start
	for _, perToken := range []time.Duration{20 * time.Millisecond, 80 * time.Millisecond, 20 * time.Millisecond} {
		now = run(m, s, now, 2*time.Second, perToken)
		got := m.PerToken(now)
		assert.Assert(t, got > perToken*9/10 && got < perToken*12/10, "%v in place of %v", got, perToken)
	}
}

// Else a service whose engines were all slow would refuse requests for good.
func TestPaceOfAnEngineWithoutStreamsIsForgotten(t *testing.T) {
	m, s := New(DefaultSettings()), &Stream{}
	now := run(m, s, start, 2*time.Second, time.Second/2)
	assert.Assert(t, m.PerToken(now) > 0)
	later := now.Add(2 * DefaultSettings().PaceTTL)
	assert.Equal(t, m.PerToken(later), time.Duration(0))
	assert.Equal(t, FastestPerToken(later, []*Meter{m}, tick), tick)
}

func TestFastestSkipsSlowEngines(t *testing.T) {
	slow, fast := New(DefaultSettings()), New(DefaultSettings())
	now := run(slow, &Stream{}, start, 2*time.Second, 400*time.Millisecond)
	run(fast, &Stream{}, start, 2*time.Second, 50*time.Millisecond)
	assert.Equal(t, FastestPerToken(now, []*Meter{slow, fast}, time.Second), fast.PerToken(now))
	assert.Equal(t, FastestPerToken(now, nil, time.Second), time.Second)
}

func TestLateStreamIsFoundLongBeforeItsDeadline(t *testing.T) {
	m, s := New(DefaultSettings()), &Stream{}
	deadline := start.Add(20 * time.Second)
	now := start
	for !m.IsLate(now, s, 100, deadline) {
		now = run(m, s, now, tick, 400*time.Millisecond)
		assert.Assert(t, now.Before(start.Add(10*time.Second)), "a stream that takes 40 s is found late at %v", now)
	}
}

func TestStreamInTimeIsKept(t *testing.T) {
	m, s := New(DefaultSettings()), &Stream{}
	deadline := start.Add(10 * time.Second)
	for now := start; s.tokens < 100; {
		now = run(m, s, now, tick, 50*time.Millisecond)
		assert.Assert(t, !m.IsLate(now, s, 100, deadline), "after %v", now.Sub(start))
	}
}

// Silence is judged by its own timeout, and the stream goes on elsewhere.
func TestStallCancelsNoStream(t *testing.T) {
	m, s := New(DefaultSettings()), &Stream{}
	deadline := start.Add(8 * time.Second)
	now := run(m, s, start, time.Second, 50*time.Millisecond)
	for range 9 {
		now = now.Add(tick)
		m.Observe(now, s, s.tokens)
		assert.Assert(t, !m.IsLate(now, s, 100, deadline))
	}
	for s.tokens < 100 {
		now = run(m, s, now, tick, 50*time.Millisecond)
		assert.Assert(t, !m.IsLate(now, s, 100, deadline), "after %v", now.Sub(start))
	}
}

func TestNothingIsLateWithoutAKnownPaceOrLength(t *testing.T) {
	m, s := New(DefaultSettings()), &Stream{}
	assert.Assert(t, !m.IsLate(start, s, 1e6, start.Add(time.Second)))
	now := run(m, s, start, 2*time.Second, time.Second/2)
	for range 10 {
		now = run(m, s, now, tick, time.Second/2)
		assert.Assert(t, !m.IsLate(now, s, 0, now.Add(time.Second)))
	}
}

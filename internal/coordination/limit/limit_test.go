package limit

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func good(inFlight int) Sample {
	return Sample{Duration: time.Second, ExpectedDuration: time.Second, InFlight: inFlight}
}

func late() Sample { return Sample{Duration: 10 * time.Second, ExpectedDuration: time.Second} }

func TestLimitGrowsOnlyWhileInUse(t *testing.T) {
	l := New(DefaultSettings())
	for range 100 {
		l.Observe(start, good(1))
	}
	assert.Equal(t, l.Limit(), 32)
	for range 100 {
		l.Observe(start, good(32))
	}
	assert.Assert(t, l.Limit() > 32)
}

func TestLateAnswersShrinkTheLimitOnceAWindow(t *testing.T) {
	l := New(DefaultSettings())
	for range 50 {
		l.Observe(start, late())
	}
	assert.Equal(t, l.Limit(), 25)
	for i := range 60 {
		l.Observe(start.Add(time.Duration(i+1)*time.Second), late())
	}
	assert.Equal(t, l.Limit(), 1)
}

func TestLimitRecovers(t *testing.T) {
	l := New(DefaultSettings())
	for i := range 60 {
		l.Observe(start.Add(time.Duration(i)*time.Second), late())
	}
	for range 2000 {
		l.Observe(start, good(l.Limit()))
	}
	assert.Assert(t, l.Limit() >= 32)
}

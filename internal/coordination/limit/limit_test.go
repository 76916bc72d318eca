package limit

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var startTime = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func inTime(inFlight int) Sample {
	return Sample{Duration: time.Second, ExpectedDuration: time.Second, InFlight: inFlight}
}

func late() Sample { return Sample{Duration: 10 * time.Second, ExpectedDuration: time.Second} }

func TestLimitGrowsOnlyWhileInUse(t *testing.T) {
	l := New(DefaultSettings())
	for range 100 {
		l.Observe(startTime, inTime(1))
	}
	assert.Equal(t, l.Limit(), 32)
	for range 100 {
		l.Observe(startTime, inTime(32))
	}
	assert.Assert(t, l.Limit() > 32)
}

func TestLateResponsesDecreaseLimitOncePerInterval(t *testing.T) {
	l := New(DefaultSettings())
	for range 50 {
		l.Observe(startTime, late())
	}
	assert.Equal(t, l.Limit(), 25)
	for i := range 60 {
		l.Observe(startTime.Add(time.Duration(i+1)*time.Second), late())
	}
	assert.Equal(t, l.Limit(), 1)
}

func TestLimitRecoversToInitialValue(t *testing.T) {
	l := New(DefaultSettings())
	for i := range 60 {
		l.Observe(startTime.Add(time.Duration(i)*time.Second), late())
	}
	for range 2000 {
		l.Observe(startTime, inTime(l.Limit()))
	}
	assert.Assert(t, l.Limit() >= 32)
}

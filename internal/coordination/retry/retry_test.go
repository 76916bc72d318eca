package retry

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Many instances, each with few requests, keep the share all together.
func TestShareHoldsOverAllInstances(t *testing.T) {
	const instances, requests = 320, 31
	retries := 0
	for range instances {
		b := NewBudget(DefaultSettings())
		for range requests {
			b.RecordRequest()
			if b.Spend(2) {
				retries++
			}
		}
	}
	assert.Assert(t, float64(retries) <= 0.1*instances*requests, "%d retries", retries)
	assert.Assert(t, retries > 0)
}

func TestQuietTimeSavesNoMoreThanTheBurst(t *testing.T) {
	b := NewBudget(DefaultSettings())
	for range 10000 {
		b.RecordRequest()
	}
	n := 0
	for b.Spend(2) {
		n++
	}
	assert.Equal(t, n, 10)
}

func TestAttemptsOfOneRequestAreBounded(t *testing.T) {
	b := NewBudget(DefaultSettings())
	for range 100 {
		b.RecordRequest()
	}
	last := DefaultSettings().MaxAttempts
	for attempt := 2; attempt <= last; attempt++ {
		assert.Assert(t, b.Spend(attempt))
	}
	assert.Assert(t, !b.Spend(last+1))
}

func TestBackoffHasFullJitter(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 1))
	s := DefaultSettings()
	for attempt, ceiling := range map[int]time.Duration{2: s.BackoffBase, 3: 2 * s.BackoffBase, 20: s.BackoffMax} {
		low, high := 0, 0
		for range 1000 {
			wait := Backoff(s, attempt, r)
			assert.Assert(t, wait >= 0 && wait <= ceiling)
			if wait < ceiling/2 {
				low++
			} else {
				high++
			}
		}
		assert.Assert(t, low > 400 && high > 400, "%d low, %d high", low, high)
	}
}

func TestHedgeWaitsForTheSlowTail(t *testing.T) {
	h := NewHedger(DefaultSettings())
	_, ok := h.Delay()
	assert.Assert(t, !ok)
	for i := range 100 {
		h.Observe(time.Duration(i) * time.Millisecond)
	}
	delay, ok := h.Delay()
	assert.Assert(t, ok)
	assert.Assert(t, delay >= 80*time.Millisecond, "delay %v", delay)
}

package retry

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Many instances that each receive few requests must keep the retry ratio in total.
func TestBudgetRatioHoldsOverAllInstances(t *testing.T) {
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
	assert.Assert(t, float64(retries) <= 0.1*instances*requests, "%d retries in total", retries)
	assert.Assert(t, retries > 0)
}

func TestBudgetSavesAtMostBurst(t *testing.T) {
	b := NewBudget(DefaultSettings())
	for range 10000 {
		b.RecordRequest()
	}
	spent := 0
	for b.Spend(2) {
		spent++
	}
	assert.Equal(t, spent, 10)
}

func TestBudgetRefusesAttemptsBeyondMaxAttempts(t *testing.T) {
	b := NewBudget(DefaultSettings())
	for range 100 {
		b.RecordRequest()
	}
	maxAttempts := DefaultSettings().MaxAttempts
	for attempt := 2; attempt <= maxAttempts; attempt++ {
		assert.Assert(t, b.Spend(attempt))
	}
	assert.Assert(t, !b.Spend(maxAttempts+1))
}

func TestBackoffIsUniformUpToCeiling(t *testing.T) {
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
		assert.Assert(t, low > 400 && high > 400, "%d waits in the lower half, %d in the upper half", low, high)
	}
}

func TestHedgeDelayIsHighQuantileOfResponseTimes(t *testing.T) {
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

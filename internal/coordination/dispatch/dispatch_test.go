package dispatch

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"savoryweir/internal/state/fleet"
	"savoryweir/internal/state/loads"
)

// testLatency is the latency model of all candidates in the tests.
var testLatency = LatencyModel{TokensPerMs: 20, BaseLatency: 10 * time.Millisecond, PerInFlight: time.Millisecond}

// candidate returns an upstream with pending prompt tokens of rank 1 and requests in flight.
func candidate(id string, pendingTokens, running int) Candidate {
	return Candidate{
		Upstream: &fleet.Upstream{ID: fleet.UpstreamID(id)}, Responsiveness: loads.Responsiveness{Slowdown: 1}, SameZone: true,
		Load: loads.Load{PendingPrefill: [loads.PriorityRanks]time.Duration{1: testLatency.PrefillTime(pendingTokens)}, Running: running},
	}
}

func choose(t *testing.T, req Request, candidates ...Candidate) string {
	t.Helper()
	c, ok := Choose(time.Unix(100, 0), candidates, req, rand.New(rand.NewPCG(1, 1)))
	assert.Assert(t, ok)
	return string(c.Upstream.ID)
}

func TestChoosePrefersLowestExpectedTTFB(t *testing.T) {
	request := Request{PromptTokens: 2000, Rank: 1, Latency: testLatency}
	slow := candidate("slow", 0, 0)
	slow.Responsiveness.Slowdown = 5
	failed := candidate("failed", 0, 0)
	failed.Responsiveness.AvoidUntil = time.Unix(101, 0)
	cached := candidate("cached", 500, 0)
	cached.CachedTokens = 1500
	assert.Equal(t, choose(t, request, candidate("busy", 9000, 0), candidate("idle", 0, 0)), "idle")
	assert.Equal(t, choose(t, request, slow, candidate("busy", 1000, 5)), "busy")
	assert.Equal(t, choose(t, request, failed, candidate("busy", 9000, 0)), "busy")
	assert.Equal(t, choose(t, request, failed), "failed")
	assert.Equal(t, choose(t, request, candidate("cold", 0, 0), cached), "cached")
	_, ok := Choose(time.Unix(100, 0), nil, request, rand.New(rand.NewPCG(1, 1)))
	assert.Assert(t, !ok)
}

func TestExpectedTTFBIgnoresLowerPriorityPrompts(t *testing.T) {
	c := candidate("e", 8000, 0)
	higherPriority := Request{PromptTokens: 200, Rank: 0, Latency: testLatency}.ExpectedTTFB(c)
	samePriority := Request{PromptTokens: 200, Rank: 1, Latency: testLatency}.ExpectedTTFB(c)
	assert.Equal(t, higherPriority, 20*time.Millisecond)
	assert.Equal(t, samePriority, 420*time.Millisecond)
}

func TestAdmitRefusesLateRequests(t *testing.T) {
	limits := LatencyLimits{Target: 600 * time.Millisecond, Remaining: 2 * time.Second}
	cases := []struct {
		name      string
		expected  time.Duration
		remaining time.Duration
		admitted  bool
	}{
		{"idle", 100 * time.Millisecond, 2 * time.Second, true},
		{"exactly on time", 600 * time.Millisecond, 2 * time.Second, true},
		{"late", 900 * time.Millisecond, 2 * time.Second, false},
		{"caller gives up earlier", 500 * time.Millisecond, 400 * time.Millisecond, false},
	}
	for _, c := range cases {
		limits.Remaining = c.remaining
		decision := Admit(c.expected, limits)
		assert.Equal(t, decision.Admitted, c.admitted, c.name)
		assert.Assert(t, c.admitted || decision.RetryAfter >= minRetryAfter, c.name)
	}
}

// TestBoundBurstIsServedOnTimeAtEngineCapacity applies twice the load that an engine can
// process for ten seconds. The engine must be used to capacity, every admitted request must
// be on time, and refused callers must be told to retry within a second.
func TestBoundBurstIsServedOnTimeAtEngineCapacity(t *testing.T) {
	const tokens, seconds = 2000, 10
	const interval = 50 * time.Millisecond // 40,000 tokens/s for an engine that processes 20,000
	target := 600 * time.Millisecond
	var busyUntil, now time.Duration
	served, late, refused := 0, 0, 0
	for ; now < seconds*time.Second; now += interval {
		backlog := max(busyUntil-now, 0)
		c := candidate("e", int(float64(backlog)/float64(time.Millisecond)*testLatency.TokensPerMs), 0)
		expected := Request{PromptTokens: tokens, Rank: 1, Latency: testLatency}.ExpectedTTFB(c)
		decision := Admit(expected, LatencyLimits{Target: target, Remaining: 4 * time.Second})
		if !decision.Admitted {
			refused++
			assert.Assert(t, decision.RetryAfter < time.Second, "retry after %v; want less than 1s", decision.RetryAfter)
			continue
		}
		busyUntil = max(busyUntil, now) + tokens/20*time.Millisecond
		if served++; busyUntil-now+testLatency.BaseLatency > target {
			late++
		}
	}
	capacity := seconds * 20000 / tokens
	assert.Equal(t, late, 0)
	assert.Assert(t, served >= capacity*95/100, "%d requests served of the %d that the engine could process", served, capacity)
	assert.Assert(t, refused > 0)
}

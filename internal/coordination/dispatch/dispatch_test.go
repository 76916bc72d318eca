package dispatch

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"savoryweir/internal/state/fleet"
	"savoryweir/internal/state/loads"
)

var speed = LatencyModel{TokensPerMs: 20, BaseLatency: 10 * time.Millisecond, PerInFlight: time.Millisecond}

func candidate(id string, unread, running int) Candidate {
	return Candidate{
		Upstream: &fleet.Upstream{ID: fleet.UpstreamID(id)}, Responsiveness: loads.Responsiveness{Slowdown: 1}, SameZone: true,
		Load: loads.Load{PendingPrefill: [loads.PriorityRanks]time.Duration{1: speed.PrefillTime(unread)}, Running: running},
	}
}

func choose(t *testing.T, n Request, candidates ...Candidate) string {
	t.Helper()
	c, ok := Choose(time.Unix(100, 0), candidates, n, rand.New(rand.NewPCG(1, 1)))
	assert.Assert(t, ok)
	return string(c.Upstream.ID)
}

func TestChoose(t *testing.T) {
	need := Request{PromptTokens: 2000, Rank: 1, Latency: speed}
	slow := candidate("slow", 0, 0)
	slow.Responsiveness.Slowdown = 5
	failed := candidate("failed", 0, 0)
	failed.Responsiveness.AvoidUntil = time.Unix(101, 0)
	cached := candidate("cached", 500, 0)
	cached.CachedTokens = 1500
	assert.Equal(t, choose(t, need, candidate("busy", 9000, 0), candidate("idle", 0, 0)), "idle")
	assert.Equal(t, choose(t, need, slow, candidate("busy", 1000, 5)), "busy")
	assert.Equal(t, choose(t, need, failed, candidate("busy", 9000, 0)), "busy")
	assert.Equal(t, choose(t, need, failed), "failed")
	assert.Equal(t, choose(t, need, candidate("cold", 0, 0), cached), "cached")
	_, ok := Choose(time.Unix(100, 0), nil, need, rand.New(rand.NewPCG(1, 1)))
	assert.Assert(t, !ok)
}

func TestLessUrgentPromptsAreNotWaitedFor(t *testing.T) {
	c := candidate("e", 8000, 0)
	urgent := Request{PromptTokens: 200, Rank: 0, Latency: speed}.ExpectedTTFB(c)
	same := Request{PromptTokens: 200, Rank: 1, Latency: speed}.ExpectedTTFB(c)
	assert.Equal(t, urgent, 20*time.Millisecond)
	assert.Equal(t, same, 420*time.Millisecond)
}

func TestAdmit(t *testing.T) {
	p := LatencyLimits{Target: 600 * time.Millisecond, Remaining: 2 * time.Second}
	cases := []struct {
		name     string
		expected time.Duration
		left     time.Duration
		admit    bool
	}{
		{"idle", 100 * time.Millisecond, 2 * time.Second, true},
		{"just in time", 600 * time.Millisecond, 2 * time.Second, true},
		{"late", 900 * time.Millisecond, 2 * time.Second, false},
		{"caller gives up before", 500 * time.Millisecond, 400 * time.Millisecond, false},
	}
	for _, c := range cases {
		p.Remaining = c.left
		v := Admit(c.expected, p)
		assert.Equal(t, v.Admitted, c.admit, c.name)
		assert.Assert(t, c.admit || v.RetryAfter >= retryFloor, c.name)
	}
}

// TestBoundBurstServesInTimeWhatAnEngineCanRead plays twice the load that an engine
// can read for ten seconds against the decision, and checks what callers get: all
// that the engine reads is in time, and the refused are asked back when there is room.
func TestBoundBurstServesInTimeWhatAnEngineCanRead(t *testing.T) {
	const tokens, seconds = 2000, 10
	const every = 50 * time.Millisecond // 40,000 tokens/s for an engine that reads 20,000
	target := 600 * time.Millisecond
	var busyUntil, now time.Duration
	served, late, refused := 0, 0, 0
	for ; now < seconds*time.Second; now += every {
		backlog := max(busyUntil-now, 0)
		c := candidate("e", int(float64(backlog)/float64(time.Millisecond)*speed.TokensPerMs), 0)
		expected := Request{PromptTokens: tokens, Rank: 1, Latency: speed}.ExpectedTTFB(c)
		v := Admit(expected, LatencyLimits{Target: target, Remaining: 4 * time.Second})
		if !v.Admitted {
			refused++
			assert.Assert(t, v.RetryAfter < time.Second, "asked back after %v", v.RetryAfter)
			continue
		}
		busyUntil = max(busyUntil, now) + tokens/20*time.Millisecond
		if served++; busyUntil-now+speed.BaseLatency > target {
			late++
		}
	}
	possible := seconds * 20000 / tokens
	assert.Equal(t, late, 0)
	assert.Assert(t, served >= possible*95/100, "%d of %d that the engine could read", served, possible)
	assert.Assert(t, refused > 0)
}

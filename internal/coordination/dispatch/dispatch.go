// Package dispatch chooses the upstream of a request and decides whether a
// request is admitted. It answers load that is uneven over engines and instances:
// engines batch, so that a request waits for the prompts that are read before it.
package dispatch

import (
	"math"
	"math/rand/v2"
	"time"

	"savoryweir/internal/state/fleet"
	"savoryweir/internal/state/loads"
)

// Candidate is an upstream that could serve a request.
type Candidate struct {
	Upstream       *fleet.Upstream
	Load           loads.Load
	Responsiveness loads.Responsiveness
	CachedTokens   int     // prompt tokens that the engine is likely to hold
	FailureRate    float64 // share of requests that it fails, by what all instances tell
	SameZone       bool    // as this instance
}

// Request is what a request asks of an upstream.
type Request struct {
	PromptTokens  int // prompt tokens
	Rank          int
	NotRepeatable bool // it may not be repeated
	Latency       LatencyModel
}

// LatencyModel describes how fast the upstreams of a service work.
type LatencyModel struct {
	TokensPerMs float64       // prompt tokens of the model read in a millisecond
	BaseLatency time.Duration // fixed part of an answer
	PerInFlight time.Duration // added by each request in flight
}

// PrefillTime returns the time that an engine takes to read prompt tokens.
func (s LatencyModel) PrefillTime(tokens int) time.Duration {
	return time.Duration(float64(max(tokens, 0)) / s.TokensPerMs * float64(time.Millisecond))
}

// ExpectedTTFB returns the foreseen time to the first byte of the answer.
func (n Request) ExpectedTTFB(c Candidate) time.Duration {
	read := c.Load.PendingPrefillUpTo(n.Rank) + n.Latency.PrefillTime(n.PromptTokens-c.CachedTokens)
	base := read + n.Latency.BaseLatency + time.Duration(c.Load.Running)*n.Latency.PerInFlight
	return time.Duration(float64(base) * c.Responsiveness.Slowdown)
}

const (
	// spread is the share by which scores vary at random, so that instances with
	// the same view do not all choose the same upstream.
	spread = 0.1
	// otherZoneCost is added for an upstream in another availability zone: it
	// stands for the price of the bytes between zones, and for what is known later.
	otherZoneCost = 15 * time.Millisecond
	// laterRankWeight is the share with which less urgent prompts count: they are
	// not read first, but share the batch.
	laterRankWeight = 0.2
	// leastSuccess bounds the share of successes from below, so that an upstream that
	// fails all requests is still tried where there is no other.
	leastSuccess = 0.02
)

// Choice is the upstream chosen for a request.
type Choice struct {
	Candidate
	ExpectedTTFB time.Duration // to the first byte of the answer
}

// Choose returns the candidate with the least expected time. Upstreams that are
// avoided are chosen only where there are no others. It reports false without
// candidates.
func Choose(now time.Time, candidates []Candidate, n Request, r *rand.Rand) (Choice, bool) {
	best, bestScore := -1, math.Inf(1)
	for i, c := range candidates {
		score := n.score(c) * (1 + spread*r.Float64())
		if now.Before(c.Responsiveness.AvoidUntil) {
			score += float64(time.Hour)
		}
		if score < bestScore {
			best, bestScore = i, score
		}
	}
	if best < 0 {
		return Choice{}, false
	}
	return Choice{Candidate: candidates[best], ExpectedTTFB: n.ExpectedTTFB(candidates[best])}, true
}

// tries weighs the share of requests that an upstream fails. A request that may be
// repeated takes that much longer on average; for one that runs once a failure is final.
func (n Request) tries(fails float64) float64 {
	succeeds := max(1-fails, leastSuccess)
	if n.NotRepeatable {
		return 1 / (succeeds * succeeds * succeeds)
	}
	return 1 / succeeds
}

func (n Request) score(c Candidate) float64 {
	score := float64(n.ExpectedTTFB(c))
	later := c.Load.PendingPrefillUpTo(loads.PriorityRanks-1) - c.Load.PendingPrefillUpTo(n.Rank)
	score += laterRankWeight * float64(later) * c.Responsiveness.Slowdown
	if !c.SameZone {
		score += float64(otherZoneCost)
	}
	return score * n.tries(c.FailureRate)
}

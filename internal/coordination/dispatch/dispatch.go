// Package dispatch chooses the upstream for a request and decides whether the request is
// admitted. It evens out load across engines and instances: engines process requests in
// batches, so a request waits for the prefill of the prompts ahead of it.
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
	CachedTokens   int     // prompt tokens that the engine probably has in its prefix cache
	FailureRate    float64 // share of requests that fail, as reported by all instances
	SameZone       bool    // in the availability zone of this instance
	Pace           float64 // how long work takes there now, as it tells: 1 is as usual; zero if unknown
}

// Request holds the properties of a request that determine the choice of its upstream.
type Request struct {
	PromptTokens  int
	Rank          int          // priority rank; lower ranks are served first
	NotRepeatable bool         // the request must not be sent a second time
	Latency       LatencyModel // of the service's upstreams
	Targets       StreamTargets
}

// LatencyModel describes how fast the upstreams of a service process requests.
type LatencyModel struct {
	TokensPerMs float64       // prefill rate: prompt tokens per millisecond
	BaseLatency time.Duration // fixed part of the time to the first byte
	PerInFlight time.Duration // time added by each request in flight
	MeanPrefill time.Duration // mean prefill time of a prompt
}

// PrefillTime returns the time that an engine takes to process prompt tokens.
func (m LatencyModel) PrefillTime(tokens int) time.Duration {
	return time.Duration(float64(max(tokens, 0)) / m.TokensPerMs * float64(time.Millisecond))
}

// ExpectedTTFB returns the expected time to the first byte of the response.
func (req Request) ExpectedTTFB(c Candidate) time.Duration {
	prefill := c.Load.PendingPrefillUpTo(req.Rank) + req.Latency.PrefillTime(req.PromptTokens-c.CachedTokens)
	base := prefill + req.Latency.BaseLatency + time.Duration(c.Load.Running)*req.Latency.PerInFlight
	if req.Targets.hasGap() {
		base = prefill + time.Duration(req.Targets.EventTokens)*req.Latency.BaseLatency
	}
	return time.Duration(float64(base) * c.slowness())
}

const (
	// scoreJitter is the maximum share by which scores are raised at random, so that
	// instances with the same view do not all choose the same upstream.
	scoreJitter = 0.1
	// crossZonePenalty is added to the score of an upstream in another availability zone.
	// It accounts for the price of traffic between zones and for the delay of load
	// information from there.
	crossZonePenalty = 15 * time.Millisecond
	// lowerPriorityWeight is the weight of the prompts with lower priority: they are not
	// processed first but share the batch.
	lowerPriorityWeight = 0.2
	// avoidedFailureRate is the failure rate from which an upstream is avoided: almost all
	// recent requests failed, so it is down rather than unreliable.
	avoidedFailureRate = 0.7
	// minSuccessRate is the lower limit of the assumed success rate, so that an upstream
	// that fails all requests is still tried if there is no other.
	minSuccessRate = 0.02
)

// Choice is the upstream chosen for a request.
type Choice struct {
	Candidate
	ExpectedTTFB time.Duration // expected time to the first byte of the response
	Outlook      Outlook       // of a stream
}

// Choose returns the candidate with the lowest score, which is its expected time to the
// first byte with penalties. Upstreams that are to be avoided are chosen only if there are
// no others. It returns false if there are no candidates.
func Choose(now time.Time, candidates []Candidate, req Request, random *rand.Rand) (Choice, bool) {
	best, bestScore := -1, math.Inf(1)
	for i, c := range candidates {
		score := req.score(c) * (1 + scoreJitter*random.Float64())
		if now.Before(c.Responsiveness.AvoidUntil) || c.FailureRate >= avoidedFailureRate {
			score += float64(time.Hour)
		}
		if score < bestScore {
			best, bestScore = i, score
		}
	}
	if best < 0 {
		return Choice{}, false
	}
	choice := Choice{Candidate: candidates[best], ExpectedTTFB: req.ExpectedTTFB(candidates[best])}
	if req.Targets.hasGap() {
		choice.Outlook = req.Outlook(choice.Candidate)
	}
	return choice, true
}

// expectedAttempts returns the factor by which failures raise the score of an upstream. A
// repeatable request takes that many attempts on average. For a request that is not
// repeatable a failure is final, so the factor is cubed.
func (req Request) expectedAttempts(failureRate float64) float64 {
	successRate := max(1-failureRate, minSuccessRate)
	if req.NotRepeatable {
		return 1 / (successRate * successRate * successRate)
	}
	return 1 / successRate
}

// score returns the score of a candidate in nanoseconds; lower is better.
func (req Request) score(c Candidate) float64 {
	score := float64(req.ExpectedTTFB(c))
	lowerPriority := c.Load.PendingPrefillUpTo(loads.PriorityRanks-1) - c.Load.PendingPrefillUpTo(req.Rank)
	score += lowerPriorityWeight * float64(lowerPriority) * c.slowness()
	if req.Targets.hasGap() {
		score += req.loss(req.Outlook(c))
	}
	if !c.SameZone {
		score += float64(crossZonePenalty)
	}
	return score * req.expectedAttempts(c.FailureRate)
}

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
	Upstream *fleet.Upstream
	Load     loads.Load
	Pace     loads.Pace
	Cached   int  // prompt tokens that the engine is likely to hold
	SameZone bool // as this instance
}

// Need is what a request asks of an upstream.
type Need struct {
	Tokens int // prompt tokens
	Rank   int
	Speed  Speed
}

// Speed describes how fast the upstreams of a service work.
type Speed struct {
	TokensPerMs float64       // prompt tokens read in a millisecond
	Step        time.Duration // fixed part of an answer
	PerRunning  time.Duration // added by each request in flight
}

// Expected returns the foreseen time to the first byte of the answer.
func (n Need) Expected(c Candidate) time.Duration {
	unread := c.Load.UnreadUpTo(n.Rank) + max(n.Tokens-c.Cached, 0)
	read := time.Duration(float64(unread) / n.Speed.TokensPerMs * float64(time.Millisecond))
	base := read + n.Speed.Step + time.Duration(c.Load.Running)*n.Speed.PerRunning
	return time.Duration(float64(base) * c.Pace.Slow)
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
)

// Choice is the upstream chosen for a request.
type Choice struct {
	Candidate
	Expected time.Duration // to the first byte of the answer
}

// freshInstances is the number of instances up to which each knows what the others
// have in flight almost at once.
const freshInstances = 10

// minLook is the least number of candidates to look at: two random ones already
// spread load far better than one.
const minLook = 2

// Look returns how many of the candidates an instance looks at. The more instances
// there are, the older is what each knows of the others; if all looked at all
// candidates, they would send to the same one until its load is told.
func Look(candidates, instances int) int {
	if instances <= freshInstances {
		return candidates
	}
	return min(max(candidates*freshInstances/instances, minLook), candidates)
}

// Choose returns the candidate with the least expected time among a random part of
// them of the size look. Upstreams that are avoided are chosen only where there are
// no others. It reports false without candidates. It reorders the candidates.
func Choose(now time.Time, candidates []Candidate, look int, n Need, r *rand.Rand) (Choice, bool) {
	usable := sound(now, candidates)
	r.Shuffle(len(usable), func(i, j int) { usable[i], usable[j] = usable[j], usable[i] })
	best, bestScore := -1, math.Inf(1)
	for i, c := range usable[:min(max(look, 1), len(usable))] {
		if score := n.score(c) * (1 + spread*r.Float64()); score < bestScore {
			best, bestScore = i, score
		}
	}
	if best < 0 {
		return Choice{}, false
	}
	return Choice{Candidate: usable[best], Expected: n.Expected(usable[best])}, true
}

// sound returns the candidates that are not avoided, or all if there are no others.
func sound(now time.Time, candidates []Candidate) []Candidate {
	var list []Candidate
	for _, c := range candidates {
		if !now.Before(c.Pace.AvoidUntil) {
			list = append(list, c)
		}
	}
	if len(list) == 0 {
		return candidates
	}
	return list
}

func (n Need) score(c Candidate) float64 {
	score := float64(n.Expected(c))
	later := c.Load.UnreadUpTo(loads.Ranks-1) - c.Load.UnreadUpTo(n.Rank)
	score += laterRankWeight * float64(later) / n.Speed.TokensPerMs * float64(time.Millisecond) * c.Pace.Slow
	if !c.SameZone {
		score += float64(otherZoneCost)
	}
	return score
}

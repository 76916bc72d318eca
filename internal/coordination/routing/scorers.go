package routing

import (
	"math/rand/v2"
	"time"

	"savoryweir/internal/state/bundle"
)

// ReportedLoad is the load as the upstream reported it.
type ReportedLoad struct{}

// Score implements Scorer.
func (ReportedLoad) Score(_ time.Time, _ Request, c Candidate) float64 { return c.reported() }

// OwnAndReportedLoad is the entry's own requests in flight plus the reported load.
type OwnAndReportedLoad struct{}

// Score implements Scorer.
func (OwnAndReportedLoad) Score(_ time.Time, _ Request, c Candidate) float64 {
	return float64(c.load())
}

// EstimatedLoad is the reported load plus what the entry sent after the report,
// relative to the share of load that the upstream may have.
type EstimatedLoad struct{}

// Score implements Scorer.
func (EstimatedLoad) Score(_ time.Time, _ Request, c Candidate) float64 {
	if c.RecoveryShare > 0 {
		return c.estimate() / c.RecoveryShare
	}
	return c.estimate()
}

// PrefixMissPenalty raises the cost of all candidates but the one that the
// request's prefix names, which likely has the prefix in its cache.
type PrefixMissPenalty struct {
	Requests float64 // load that a cached prefix outweighs
}

// Score implements Scorer.
func (b PrefixMissPenalty) Score(_ time.Time, request Request, c Candidate) float64 {
	if request.PrefixHash == 0 || c.firstChoice {
		return 0
	}
	return b.Requests
}

// ZonePenalty raises the cost of upstreams in other availability zones.
type ZonePenalty struct {
	Local    bundle.Zone
	Requests float64 // load that a local upstream may have more
}

// Score implements Scorer.
func (p ZonePenalty) Score(_ time.Time, _ Request, c Candidate) float64 {
	if c.Zone == p.Local {
		return 0
	}
	return p.Requests
}

func (c Candidate) reported() float64 { return float64(c.Reported.Running + c.Reported.Waiting) }

func (c Candidate) estimate() float64 {
	return max(c.reported()+float64(c.SentSinceReport), float64(c.InFlight))
}

// RandomChoice chooses any candidate.
type RandomChoice struct{ Rand *rand.Rand }

// Choose implements Chooser.
func (r RandomChoice) Choose(scored []Scored) int { return r.Rand.IntN(len(scored)) }

// LowestCost chooses the cheapest candidate, the first of equals.
type LowestCost struct{}

// Choose implements Chooser.
func (LowestCost) Choose(scored []Scored) int {
	best := 0
	for i, s := range scored {
		if s.Cost < scored[best].Cost {
			best = i
		}
	}
	return best
}

// TwoChoices chooses the cheaper of two random candidates.
type TwoChoices struct{ Rand *rand.Rand }

// Choose implements Chooser.
func (t TwoChoices) Choose(scored []Scored) int {
	if len(scored) == 1 {
		return 0
	}
	first := t.Rand.IntN(len(scored))
	second := t.Rand.IntN(len(scored) - 1)
	if second >= first {
		second++
	}
	if scored[second].Cost < scored[first].Cost {
		return second
	}
	return first
}

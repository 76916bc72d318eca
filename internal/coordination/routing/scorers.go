package routing

import (
	"math/rand/v2"
	"time"

	"savoryweir/internal/state/bundle"
)

// ReportedLoad scores candidates by the load that the upstream reported.
type ReportedLoad struct{}

// Score implements Scorer.
func (ReportedLoad) Score(_ time.Time, _ Request, c Candidate) float64 { return c.reportedLoad() }

// OwnAndReportedLoad scores candidates by the requests in flight from this entry process
// plus the reported load.
type OwnAndReportedLoad struct{}

// Score implements Scorer.
func (OwnAndReportedLoad) Score(_ time.Time, _ Request, c Candidate) float64 {
	return float64(c.inFlightAndReported())
}

// EstimatedLoad scores candidates by the reported load plus the requests that this entry
// process sent after the report. The load of a recovering upstream is divided by the share
// of load that it may take.
type EstimatedLoad struct{}

// Score implements Scorer.
func (EstimatedLoad) Score(_ time.Time, _ Request, c Candidate) float64 {
	if c.RecoveryShare > 0 {
		return c.estimatedLoad() / c.RecoveryShare
	}
	return c.estimatedLoad()
}

// PrefixMissPenalty raises the cost of all candidates except the first choice for the
// request's prefix, which likely has the prefix in its cache.
type PrefixMissPenalty struct {
	Requests float64 // additional load that is acceptable for a cached prefix
}

// Score implements Scorer.
func (p PrefixMissPenalty) Score(_ time.Time, request Request, c Candidate) float64 {
	if request.PrefixHash == 0 || c.firstChoice {
		return 0
	}
	return p.Requests
}

// ZonePenalty raises the cost of upstreams in other availability zones.
type ZonePenalty struct {
	Local    bundle.Zone
	Requests float64 // additional load that is acceptable for a local upstream
}

// Score implements Scorer.
func (p ZonePenalty) Score(_ time.Time, _ Request, c Candidate) float64 {
	if c.Zone == p.Local {
		return 0
	}
	return p.Requests
}

func (c Candidate) reportedLoad() float64 { return float64(c.Reported.Running + c.Reported.Waiting) }

func (c Candidate) estimatedLoad() float64 {
	return max(c.reportedLoad()+float64(c.SentSinceReport), float64(c.InFlight))
}

// RandomChoice chooses a random candidate.
type RandomChoice struct{ Rand *rand.Rand }

// Choose implements Chooser.
func (r RandomChoice) Choose(scored []Scored) int { return r.Rand.IntN(len(scored)) }

// LowestCost chooses the candidate with the lowest cost, and the first one of a tie.
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

// TwoChoices chooses the cheaper of two different random candidates.
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

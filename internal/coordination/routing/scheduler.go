package routing

import (
	"time"

	"savoryweir/internal/state/bundle"
)

// Filter returns the candidates that may take the request.
type Filter interface {
	Filter(now time.Time, request Request, candidates []Candidate) []Candidate
}

// Scorer returns the cost of a candidate, in requests of load. Lower is better.
type Scorer interface {
	Score(now time.Time, request Request, candidate Candidate) float64
}

// Chooser returns the index of one of the scored candidates. There is at least one.
type Chooser interface {
	Choose(scored []Scored) int
}

// Scored is a candidate with the sum of the costs that all scorers gave it.
type Scored struct {
	Candidate Candidate
	Cost      float64
}

// Scheduler applies its filters in order, adds up the costs of each remaining candidate
// and lets its chooser select one.
type Scheduler struct {
	Filters []Filter
	Scorers []Scorer
	Chooser Chooser
}

// Pick implements Picker.
func (s Scheduler) Pick(now time.Time, request Request, candidates []Candidate) (bundle.UpstreamID, error) {
	for _, f := range s.Filters {
		candidates = f.Filter(now, request, candidates)
	}
	if len(candidates) == 0 {
		return "", ErrNoUpstream
	}
	scored := make([]Scored, 0, len(candidates))
	for _, c := range candidates {
		scored = append(scored, Scored{Candidate: c, Cost: s.cost(now, request, c)})
	}
	return scored[s.Chooser.Choose(scored)].Candidate.Upstream, nil
}

func (s Scheduler) cost(now time.Time, request Request, c Candidate) float64 {
	var sum float64
	for _, scorer := range s.Scorers {
		sum += scorer.Score(now, request, c)
	}
	return sum
}

package placement

import (
	"math"

	"savoryweir/internal/state/ledger"
)

// Candidate is one engine that might get a replica of a model.
type Candidate struct {
	Model  int
	Engine int
	// Gain is the unmet demand that the replica would serve, in engines.
	Gain float64
	// Evict are the replicas that have to go first, empty if there is room.
	Evict []ledger.Slot
}

// Filter rejects candidates.
type Filter interface {
	Filter(v *view, c Candidate) bool
}

// Scorer rates a candidate. Scores of all scorers are added.
type Scorer interface {
	Score(v *view, c Candidate) float64
}

// Picker chooses among scored candidates and returns an index, or -1.
type Picker interface {
	Pick(candidates []Candidate, scores []float64) int
}

// UsableFilter rejects engines that take no orders or already have the slot.
type UsableFilter struct{}

// Filter implements Filter.
func (UsableFilter) Filter(v *view, c Candidate) bool {
	e := v.Engines[c.Engine]
	return e.Usable && !e.mentions(slotOf(v.Models[c.Model]))
}

// CostBenefitFilter rejects moves that bring less than they cost.
type CostBenefitFilter struct {
	// Cost is the work, in engine-seconds, that one load or unload has to bring.
	Cost float64
	// Horizon is the time in seconds for which present demand is expected to last.
	Horizon float64
}

// Filter implements Filter.
func (f CostBenefitFilter) Filter(_ *view, c Candidate) bool {
	return c.Gain*f.Horizon >= f.Cost*float64(1+len(c.Evict))
}

// GainScorer prefers the replica that serves the most unmet demand.
type GainScorer struct{}

// Score implements Scorer.
func (GainScorer) Score(_ *view, c Candidate) float64 { return c.Gain }

// EvictionScorer prefers engines on which fewer replicas have to go.
type EvictionScorer struct{ Weight float64 }

// Score implements Scorer.
func (s EvictionScorer) Score(_ *view, c Candidate) float64 { return -s.Weight * float64(len(c.Evict)) }

// ZoneSpreadScorer prefers availability zones with fewer replicas of the model.
type ZoneSpreadScorer struct{ Weight float64 }

// Score implements Scorer.
func (s ZoneSpreadScorer) Score(v *view, c Candidate) float64 {
	zone := v.Engines[c.Engine].Zone
	same := v.count(func(e Engine) bool { return e.Zone == zone && e.Usable && e.holds(slotOf(v.Models[c.Model])) })
	return -s.Weight * float64(same)
}

// FreeMemoryScorer prefers engines with more free memory.
type FreeMemoryScorer struct{ Weight float64 }

// Score implements Scorer.
func (s FreeMemoryScorer) Score(v *view, c Candidate) float64 {
	return s.Weight * float64(v.free[c.Engine]) / float64(max(v.Engines[c.Engine].Memory, 1))
}

// HighestScorePicker chooses the highest score, and the first of equal ones.
type HighestScorePicker struct{}

// Pick implements Picker.
func (HighestScorePicker) Pick(candidates []Candidate, scores []float64) int {
	best, highest := -1, math.Inf(-1)
	for i := range candidates {
		if scores[i] > highest {
			best, highest = i, scores[i]
		}
	}
	return best
}

// pipeline is a list of filters and scorers with a picker.
type pipeline struct {
	filters []Filter
	scorers []Scorer
	picker  Picker
}

// pick returns the best candidate that passes all filters.
func (k pipeline) pick(v *view, candidates []Candidate) (Candidate, bool) {
	var kept []Candidate
	var scores []float64
	for _, c := range candidates {
		if !k.passes(v, c) {
			continue
		}
		score := 0.0
		for _, s := range k.scorers {
			score += s.Score(v, c)
		}
		kept = append(kept, c)
		scores = append(scores, score)
	}
	best := k.picker.Pick(kept, scores)
	if best < 0 {
		return Candidate{}, false
	}
	return kept[best], true
}

func (k pipeline) passes(v *view, c Candidate) bool {
	for _, f := range k.filters {
		if !f.Filter(v, c) {
			return false
		}
	}
	return true
}

// OverlapScorer prefers engines whose models share few other engines with the model, so
// that a burst of any two models finds different engines.
type OverlapScorer struct{ Weight float64 }

// Score implements Scorer.
func (s OverlapScorer) Score(v *view, c Candidate) float64 {
	slot := slotOf(v.Models[c.Model])
	shared := 0
	for _, e := range v.Engines {
		if e.holds(slot) {
			shared += e.sharedModels(v.Engines[c.Engine])
		}
	}
	return -s.Weight * float64(shared)
}

// sharedModels counts the slots that two engines both hold.
func (e Engine) sharedModels(other Engine) int {
	n := 0
	for _, i := range e.Replicas {
		if i.Slot.Adapter == "" && other.holds(i.Slot) {
			n++
		}
	}
	return n
}

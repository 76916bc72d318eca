package placement

import (
	"math"

	"savoryweir/internal/state/ledger"
)

// Candidate is one engine on which a replica of a model could be placed.
type Candidate struct {
	Model  int // index in Snapshot.Models
	Engine int // index in Snapshot.Engines
	// Gain is the unmet demand that the replica would serve, in engines.
	Gain float64
	// Evict lists the replicas to evict first. It is empty if the engine has enough memory.
	Evict []ledger.Slot
}

// Filter reports whether it accepts a candidate.
type Filter interface {
	Filter(v *view, c Candidate) bool
}

// Scorer scores a candidate; higher is better. The scores of all scorers are added up.
type Scorer interface {
	Score(v *view, c Candidate) float64
}

// Picker returns the index of one of the scored candidates, or -1 if there are none.
type Picker interface {
	Pick(candidates []Candidate, scores []float64) int
}

// UsableFilter rejects engines that take no orders or already have a replica of the model version.
type UsableFilter struct{}

// Filter implements Filter.
func (UsableFilter) Filter(v *view, c Candidate) bool {
	e := v.Engines[c.Engine]
	return e.Usable && !e.hasSlot(modelSlot(v.Models[c.Model]))
}

// CostBenefitFilter rejects moves whose gain is less than their cost.
type CostBenefitFilter struct {
	// Cost is the work, in engine-seconds, that each load or unload must gain.
	Cost float64
	// Horizon is the time, in seconds, for which the current demand is expected to last.
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

// EvictionScorer prefers engines that need fewer evictions.
type EvictionScorer struct{ Weight float64 }

// Score implements Scorer.
func (s EvictionScorer) Score(_ *view, c Candidate) float64 { return -s.Weight * float64(len(c.Evict)) }

// ZoneSpreadScorer prefers availability zones with fewer replicas of the model.
type ZoneSpreadScorer struct{ Weight float64 }

// Score implements Scorer.
func (s ZoneSpreadScorer) Score(v *view, c Candidate) float64 {
	zone := v.Engines[c.Engine].Zone
	same := v.countEngines(func(e Engine) bool { return e.Zone == zone && e.Usable && e.holds(modelSlot(v.Models[c.Model])) })
	return -s.Weight * float64(same)
}

// FreeMemoryScorer prefers engines with more free memory.
type FreeMemoryScorer struct{ Weight float64 }

// Score implements Scorer.
func (s FreeMemoryScorer) Score(v *view, c Candidate) float64 {
	return s.Weight * float64(v.freeMemory[c.Engine]) / float64(max(v.Engines[c.Engine].Memory, 1))
}

// HighestScorePicker picks the candidate with the highest score, and the first one of a tie.
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

// pipeline applies filters and scorers to candidates and lets its picker choose one.
type pipeline struct {
	filters []Filter
	scorers []Scorer
	picker  Picker
}

// pick returns the candidate that the picker chooses among those that pass all filters.
func (p pipeline) pick(v *view, candidates []Candidate) (Candidate, bool) {
	var kept []Candidate
	var scores []float64
	for _, c := range candidates {
		if !p.passes(v, c) {
			continue
		}
		score := 0.0
		for _, s := range p.scorers {
			score += s.Score(v, c)
		}
		kept = append(kept, c)
		scores = append(scores, score)
	}
	best := p.picker.Pick(kept, scores)
	if best < 0 {
		return Candidate{}, false
	}
	return kept[best], true
}

func (p pipeline) passes(v *view, c Candidate) bool {
	for _, f := range p.filters {
		if !f.Filter(v, c) {
			return false
		}
	}
	return true
}

// OverlapScorer prefers engines whose models share few other engines with the candidate's
// model, so that simultaneous bursts of any two models fall on different engines.
type OverlapScorer struct{ Weight float64 }

// Score implements Scorer.
func (s OverlapScorer) Score(v *view, c Candidate) float64 {
	slot := modelSlot(v.Models[c.Model])
	shared := 0
	for _, e := range v.Engines {
		if e.holds(slot) {
			shared += e.sharedModels(v.Engines[c.Engine])
		}
	}
	return -s.Weight * float64(shared)
}

// sharedModels counts the model versions that both engines hold.
func (e Engine) sharedModels(other Engine) int {
	n := 0
	for _, r := range e.Replicas {
		if r.Slot.Adapter == "" && other.holds(r.Slot) {
			n++
		}
	}
	return n
}

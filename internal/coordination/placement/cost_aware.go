package placement

import (
	"slices"
	"time"

	"savoryweir/internal/state/bundle"
)

// Settings configure the steady policy.
type Settings struct {
	MoveCost   float64       `help:"Work in engine-seconds that a load or unload has to bring." default:"20" min:"0" max:"10000"`
	Horizon    time.Duration `help:"Time for which present demand is expected to last." default:"2m" min:"1s" max:"1h"`
	Hold       time.Duration `help:"Time for which demand must be unmet before a replica is added." default:"3s" min:"0s" max:"10m"`
	Decay      time.Duration `help:"Time constant with which remembered demand falls." default:"10m" min:"1s" max:"24h"`
	Headroom   float64       `help:"Share of present demand that is planned for beyond it." default:"0.05" min:"0" max:"2"`
	Spares     bool          `help:"Fill free memory with spare replicas." default:"true" negatable:""`
	Reserve    float64       `help:"Share of an engine's memory that spare replicas leave free for adapters." default:"0.1" min:"0" max:"1"`
	Smoothing  time.Duration `help:"Time constant over which traffic is averaged." default:"5s" min:"0s" max:"10m"`
	ZoneWeight float64       `help:"Score against a second replica in one availability zone, in engines." default:"0.05" min:"0" max:"10"`
}

// CostAware adds replicas where demand stays unmet and a move is worth its cost. It
// keeps replicas when demand falls, since idle memory is worth nothing.
type CostAware struct {
	settings Settings
	chain    pipeline
	spare    pipeline
	memory   map[bundle.ModelID]float64 // remembered demand, in engines
	last     time.Time
	unmetAt  time.Time // since when demand has been unmet, zero if it is met
}

// Weights of shared engines: in zones' worth for spare replicas, and in engines of demand otherwise.
const (
	overlapSpare  = 0.2
	overlapDemand = 0.01
)

// NewCostAware returns a policy that has seen no demand.
func NewCostAware(s Settings) *CostAware {
	room := FreeMemoryScorer{Weight: 0.01}
	zones := ZoneSpreadScorer{Weight: s.ZoneWeight}
	return &CostAware{
		settings: s,
		memory:   make(map[bundle.ModelID]float64),
		chain: pipeline{
			filters: []Filter{UsableFilter{}, CostBenefitFilter{Cost: s.MoveCost, Horizon: s.Horizon.Seconds()}},
			scorers: []Scorer{GainScorer{}, EvictionScorer{Weight: s.MoveCost / s.Horizon.Seconds()}, OverlapScorer{Weight: overlapDemand}, zones, room},
			picker:  HighestScorePicker{},
		},
		spare: pipeline{
			filters: []Filter{UsableFilter{}},
			scorers: []Scorer{ZoneSpreadScorer{Weight: 1}, EvictionScorer{Weight: 1}, OverlapScorer{Weight: overlapSpare}, room},
			picker:  HighestScorePicker{},
		},
	}
}

// Decide implements Policy.
func (p *CostAware) Decide(now time.Time, s Snapshot) []Action {
	p.remember(now, s.Models)
	v := newView(s)
	p.restore(v)
	p.retire(v)
	p.meetDemand(now, v)
	if p.settings.Spares {
		p.addSpares(v)
	}
	placeAdapters(v)
	return v.actions
}

// remember follows demand up at once and down slowly.
func (p *CostAware) remember(now time.Time, models []Model) {
	decay := 0.0
	if !p.last.IsZero() {
		decay = min(1, now.Sub(p.last).Seconds()/p.settings.Decay.Seconds())
	}
	p.last = now
	for _, m := range models {
		p.memory[m.ID] = max(m.Demand, p.memory[m.ID]*(1-decay))
	}
}

// restore loads models that no engine has, then versions, then the configured minimum.
func (p *CostAware) restore(v *view) {
	for m, model := range v.Models {
		if v.replicas(model) == 0 && v.readyReplicas(model.ID) == 0 {
			p.reload(v, m)
		}
	}
	p.loadMissing(v, ReasonVersion, func(m Model) bool { return v.replicas(m) < max(1, v.outdated(m)) })
	p.loadMissing(v, ReasonMinimum, func(m Model) bool { return v.replicas(m) < m.MinReplicas })
}

// reload brings back a model that no engine has. While it waits for memory, it keeps a
// slot of the weight store from the loads that matter less.
func (p *CostAware) reload(v *view, m int) {
	outcome := p.place(v, p.spare, p.candidates(v, m), ReasonNoReplica)
	if outcome == impossible {
		outcome = p.relocate(v, m)
	}
	if outcome == waiting {
		v.loads--
	}
}

func (p *CostAware) loadMissing(v *view, why Reason, missing func(m Model) bool) {
	for m := range v.Models {
		outcome := placed
		for v.loads > 0 && missing(v.Models[m]) && outcome == placed {
			outcome = p.place(v, p.spare, p.candidates(v, m), why)
		}
		if outcome == impossible && v.replicas(v.Models[m]) == 0 {
			p.relocate(v, m)
		}
	}
}

// candidates lists all engines for one model, with the evictions that each needs.
func (p *CostAware) candidates(v *view, m int) []Candidate {
	var list []Candidate
	for e := range v.Engines {
		if evict, ok := p.makeRoom(v, m, e); ok {
			list = append(list, Candidate{Model: m, Engine: e, Evict: evict})
		}
	}
	return list
}

// placing is what became of an attempt to place a replica.
type placing uint8

const (
	impossible placing = iota // no engine can take it
	waiting                   // for a slot of the weight store, or for memory to come free
	placed
)

// place loads the best candidate, or unloads what stands in its way first.
func (p *CostAware) place(v *view, k pipeline, candidates []Candidate, why Reason) placing {
	c, ok := k.pick(v, candidates)
	if !ok {
		return impossible
	}
	model := v.Models[c.Model]
	if v.free[c.Engine] < model.Memory {
		for _, slot := range c.Evict {
			v.unload(c.Engine, slot, false, ReasonMemoryNeeded)
		}
		return waiting
	}
	if v.loads <= 0 {
		return waiting
	}
	v.load(c.Engine, slotOf(model), model.Memory, why)
	return placed
}

// retire unloads what the bundle in force does not list, once its successor is ready.
func (p *CostAware) retire(v *view) {
	for e, engine := range v.Engines {
		if !engine.Usable || !engine.FreesMemory {
			continue
		}
		for _, i := range slices.Clone(engine.Replicas) {
			p.retireItem(v, e, i)
		}
	}
}

func (p *CostAware) retireItem(v *view, e int, i Replica) {
	if i.State == Unloading || slices.Contains(v.Protected, i.Slot.Model) {
		return
	}
	m := slices.IndexFunc(v.Models, func(m Model) bool { return m.ID == i.Slot.Model })
	if m < 0 {
		v.unload(e, i.Slot, true, ReasonRetired)
		return
	}
	current := slotOf(v.Models[m])
	if i.Slot.Version == current.Version {
		return
	}
	ready := v.count(func(e Engine) bool { return e.ready(current) })
	if ready > 0 && ready >= v.outdated(v.Models[m]) {
		v.unload(e, i.Slot, false, ReasonRetired)
	}
}

// addSpares fills free memory, models with the fewest replicas for their demand first.
func (p *CostAware) addSpares(v *view) {
	for v.loads > 0 {
		m := p.neediest(v)
		if m < 0 {
			return
		}
		var list []Candidate
		for e := range v.Engines {
			if v.spareRoom(e, p.settings.Reserve) >= v.Models[m].Memory {
				list = append(list, Candidate{Model: m, Engine: e})
			}
		}
		if p.place(v, p.spare, list, ReasonSpare) != placed {
			return
		}
	}
}

// neediest returns the model that fits somewhere and has the fewest replicas, or -1.
func (p *CostAware) neediest(v *view) int {
	best, least := -1, 0
	for m, model := range v.Models {
		if !p.fitsAsSpare(v, model) {
			continue
		}
		n := v.replicas(model)
		if best < 0 || n < least {
			best, least = m, n
		}
	}
	return best
}

func (p *CostAware) fitsAsSpare(v *view, m Model) bool {
	for e, engine := range v.Engines {
		if engine.Usable && !engine.mentions(slotOf(m)) && v.spareRoom(e, p.settings.Reserve) >= m.Memory {
			return true
		}
	}
	return false
}

// spareRoom returns the memory that a spare replica may take. An engine whose memory an
// unload doesn't free gets none.
func (v *view) spareRoom(e int, reserve float64) bundle.MiB {
	if !v.Engines[e].FreesMemory {
		return 0
	}
	return v.free[e] - bundle.MiB(reserve*float64(v.Engines[e].Memory))
}

package placement

import (
	"slices"
	"time"

	"savoryweir/internal/state/bundle"
)

// Settings configure the cost-aware policy.
type Settings struct {
	MoveCost   float64       `help:"Work in engine-seconds that each load or unload must gain." default:"20" min:"0" max:"10000"`
	Horizon    time.Duration `help:"Time for which the current demand is expected to last." default:"2m" min:"1s" max:"1h"`
	Hold       time.Duration `help:"Time for which demand must be unmet before a replica is added." default:"3s" min:"0s" max:"10m"`
	Decay      time.Duration `help:"Time constant with which the recorded demand of a model decays." default:"10m" min:"1s" max:"24h"`
	Headroom   float64       `help:"Capacity planned on top of the current demand, as a share of it." default:"0.05" min:"0" max:"2"`
	Spares     bool          `help:"Fill free memory with spare replicas." default:"true" negatable:""`
	Reserve    float64       `help:"Share of an engine's memory that spare replicas leave free for adapters." default:"0.1" min:"0" max:"1"`
	Smoothing  time.Duration `help:"Time constant over which traffic is averaged." default:"5s" min:"0s" max:"10m"`
	ZoneWeight float64       `help:"Penalty for each further replica of a model in one availability zone, in engines." default:"0.05" min:"0" max:"10"`
}

// CostAware adds a replica when demand stays unmet and the gain exceeds the cost of the
// move. It keeps replicas when demand falls, since freeing memory early has no benefit.
type CostAware struct {
	settings       Settings
	demandPipeline pipeline
	sparePipeline  pipeline
	recentDemand   map[bundle.ModelID]float64 // recent peak demand per model, in engines, decaying
	lastDecision   time.Time
	unmetSince     time.Time // start of the current period of unmet demand, zero if demand is met
}

// The weights of an overlap between two models: for spare replicas in units of one zone's
// score, otherwise in engines of demand.
const (
	spareOverlapWeight  = 0.2
	demandOverlapWeight = 0.01
)

// NewCostAware returns a policy that has observed no demand yet.
func NewCostAware(s Settings) *CostAware {
	freeMemory := FreeMemoryScorer{Weight: 0.01}
	zones := ZoneSpreadScorer{Weight: s.ZoneWeight}
	return &CostAware{
		settings:     s,
		recentDemand: make(map[bundle.ModelID]float64),
		demandPipeline: pipeline{
			filters: []Filter{UsableFilter{}, CostBenefitFilter{Cost: s.MoveCost, Horizon: s.Horizon.Seconds()}},
			scorers: []Scorer{GainScorer{}, EvictionScorer{Weight: s.MoveCost / s.Horizon.Seconds()}, OverlapScorer{Weight: demandOverlapWeight}, zones, freeMemory},
			picker:  HighestScorePicker{},
		},
		sparePipeline: pipeline{
			filters: []Filter{UsableFilter{}},
			scorers: []Scorer{ZoneSpreadScorer{Weight: 1}, EvictionScorer{Weight: 1}, OverlapScorer{Weight: spareOverlapWeight}, freeMemory},
			picker:  HighestScorePicker{},
		},
	}
}

// Decide implements Policy.
func (p *CostAware) Decide(now time.Time, s Snapshot) []Action {
	p.updateRecentDemand(now, s.Models)
	v := newView(s)
	p.restoreMissing(v)
	p.unloadRetired(v)
	p.meetDemand(now, v)
	if p.settings.Spares {
		p.addSpares(v)
	}
	placeAdapters(v)
	return v.actions
}

// updateRecentDemand follows rising demand immediately and lets the recorded demand decay
// when it falls.
func (p *CostAware) updateRecentDemand(now time.Time, models []Model) {
	decay := 0.0
	if !p.lastDecision.IsZero() {
		decay = min(1, now.Sub(p.lastDecision).Seconds()/p.settings.Decay.Seconds())
	}
	p.lastDecision = now
	for _, m := range models {
		p.recentDemand[m.ID] = max(m.Demand, p.recentDemand[m.ID]*(1-decay))
	}
}

// restoreMissing first loads models that no engine has, then replicas of versions in force
// that have none, or fewer than the outdated versions of the model, and then the replicas
// missing from the configured minimum.
func (p *CostAware) restoreMissing(v *view) {
	for m, model := range v.Models {
		if v.replicas(model) == 0 && v.readyReplicas(model.ID) == 0 {
			p.loadUnreachable(v, m)
		}
	}
	p.loadMissing(v, ReasonVersion, func(m Model) bool { return v.replicas(m) < max(1, v.outdatedReplicas(m)) })
	p.loadMissing(v, ReasonMinimum, func(m Model) bool { return v.replicas(m) < m.MinReplicas })
}

// loadUnreachable loads a model that no engine has. While the model waits for memory, it
// reserves one of the concurrent loads, which less important loads would otherwise take.
func (p *CostAware) loadUnreachable(v *view, m int) {
	outcome := p.place(v, p.sparePipeline, p.allCandidates(v, m), ReasonNoReplica)
	if outcome == impossible {
		outcome = p.relocate(v, m)
	}
	if outcome == waiting {
		v.loadsLeft--
	}
}

// loadMissing loads replicas of each model as long as missing reports true for it. If no
// engine can take a model without a replica, it relocates another model.
func (p *CostAware) loadMissing(v *view, reason Reason, missing func(m Model) bool) {
	for m := range v.Models {
		outcome := placed
		for v.loadsLeft > 0 && missing(v.Models[m]) && outcome == placed {
			outcome = p.place(v, p.sparePipeline, p.allCandidates(v, m), reason)
		}
		if outcome == impossible && v.replicas(v.Models[m]) == 0 {
			p.relocate(v, m)
		}
	}
}

// allCandidates returns the engines that can hold model m, with the evictions that each needs.
func (p *CostAware) allCandidates(v *view, m int) []Candidate {
	var list []Candidate
	for e := range v.Engines {
		if evict, ok := p.evictionsFor(v, m, e); ok {
			list = append(list, Candidate{Model: m, Engine: e, Evict: evict})
		}
	}
	return list
}

// placeResult is the result of an attempt to place a replica.
type placeResult uint8

const (
	impossible placeResult = iota // no engine can take the replica
	waiting                       // the load must wait for the load limit or for memory to be freed
	placed                        // the load was added to the actions
)

// place loads a replica on the engine of the best candidate. If that engine lacks memory,
// place only starts the evictions that the candidate needs.
func (p *CostAware) place(v *view, pl pipeline, candidates []Candidate, reason Reason) placeResult {
	c, ok := pl.pick(v, candidates)
	if !ok {
		return impossible
	}
	model := v.Models[c.Model]
	if v.freeMemory[c.Engine] < model.Memory {
		for _, slot := range c.Evict {
			v.unload(c.Engine, slot, false, ReasonMemoryNeeded)
		}
		return waiting
	}
	if v.loadsLeft <= 0 {
		return waiting
	}
	v.load(c.Engine, modelSlot(model), model.Memory, reason)
	return placed
}

// unloadRetired unloads replicas that the bundle in force does not list: those of removed
// models at once, outdated versions once their successor is ready.
func (p *CostAware) unloadRetired(v *view) {
	for e, engine := range v.Engines {
		if !engine.Usable || !engine.FreesMemory {
			continue
		}
		for _, r := range slices.Clone(engine.Replicas) {
			p.unloadIfRetired(v, e, r)
		}
	}
}

func (p *CostAware) unloadIfRetired(v *view, e int, r Replica) {
	if r.State == Unloading || slices.Contains(v.Protected, r.Slot.Model) {
		return
	}
	m := slices.IndexFunc(v.Models, func(m Model) bool { return m.ID == r.Slot.Model })
	if m < 0 {
		v.unload(e, r.Slot, true, ReasonRetired)
		return
	}
	current := modelSlot(v.Models[m])
	if r.Slot.Version == current.Version {
		return
	}
	ready := v.countEngines(func(e Engine) bool { return e.ready(current) })
	if ready > 0 && ready >= v.outdatedReplicas(v.Models[m]) {
		v.unload(e, r.Slot, false, ReasonRetired)
	}
}

// addSpares fills free memory with spare replicas, models with the fewest replicas first.
func (p *CostAware) addSpares(v *view) {
	for v.loadsLeft > 0 {
		m := p.leastReplicated(v)
		if m < 0 {
			return
		}
		var list []Candidate
		for e := range v.Engines {
			if v.memoryForSpares(e, p.settings.Reserve) >= v.Models[m].Memory {
				list = append(list, Candidate{Model: m, Engine: e})
			}
		}
		if p.place(v, p.sparePipeline, list, ReasonSpare) != placed {
			return
		}
	}
}

// leastReplicated returns the model with the fewest replicas among those that fit on some
// engine, or -1.
func (p *CostAware) leastReplicated(v *view) int {
	best, fewest := -1, 0
	for m, model := range v.Models {
		if !p.fitsAsSpare(v, model) {
			continue
		}
		n := v.replicas(model)
		if best < 0 || n < fewest {
			best, fewest = m, n
		}
	}
	return best
}

func (p *CostAware) fitsAsSpare(v *view, m Model) bool {
	for e, engine := range v.Engines {
		if engine.Usable && !engine.hasSlot(modelSlot(m)) && v.memoryForSpares(e, p.settings.Reserve) >= m.Memory {
			return true
		}
	}
	return false
}

// memoryForSpares returns the memory that a spare replica may take on engine e. It is zero
// on an engine where an unload frees no memory, since a spare there could not be evicted.
func (v *view) memoryForSpares(e int, reserve float64) bundle.MiB {
	if !v.Engines[e].FreesMemory {
		return 0
	}
	return v.freeMemory[e] - bundle.MiB(reserve*float64(v.Engines[e].Memory))
}

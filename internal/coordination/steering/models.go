package steering

import (
	"cmp"
	"math"
	"slices"
	"time"

	"savoryweir/internal/state/fleet"
)

const (
	// gainFromStore and gainFromDisk are the least gains of a load, in squared
	// utilization of an engine: a load from the store takes seconds in which the
	// demand moves on, and counts against the ceiling of all engines.
	gainFromStore = 0.12
	gainFromDisk  = 0.08
	// busyFrom is the utilization beyond which requests wait noticeably for one
	// another, and busyWeight how much more it counts from there on.
	busyFrom   = 0.5
	busyWeight = 4.0
	// busiestConsidered bounds the models for which a further replica is weighed
	// in one plan, so that a plan stays below a millisecond for hundreds of models.
	busiestConsidered = 16
	// idleWork is the utilization that a model without requests counts with, so
	// that replicas of idle models are not all given up.
	idleWork = 0.0005
	// adapterTime is how long a request occupies an adapter slot: a long answer.
	adapterTime = 2 * time.Second
	// fullSlots is the utilization that an engine counts with when all its adapter
	// slots are in use.
	fullSlots = 0.4
)

// work returns the part of an engine's capacity that a model's requests need.
func (p *planner) work(model string) float64 {
	return max(p.Work[model]/max(p.Capacity, 1), p.adapterWork[model], idleWork)
}

// addAdapterWork counts the adapter slots that a model's requests occupy.
func (p *planner) addAdapterWork() {
	p.adapterWork = make(map[string]float64)
	for key, rate := range p.Adapters {
		occupied := 1 - math.Exp(-rate*adapterTime.Seconds())
		p.adapterWork[key.Model] += occupied * fullSlots / float64(max(p.Class.AdapterSlots, 1))
	}
}

// load returns the utilization of an engine if each model's work is shared evenly.
func (p *planner) load(i int) float64 {
	sum := 0.0
	for m := range p.states[i].models {
		sum += p.work(m) / float64(max(p.replica[m], 1))
	}
	return sum
}

// cost weighs the utilization of an engine.
func cost(utilization float64) float64 {
	over := max(utilization-busyFrom, 0)
	return utilization*utilization + busyWeight*over*over
}

// placeModels loads the missing models that are asked for, then further replicas
// of busy ones, then the missing models that nobody asks for.
func (p *planner) placeModels() {
	missing := p.missing()
	for _, m := range missing {
		if p.isAskedFor(m) {
			p.loadMissing(m)
		}
	}
	for p.addReplica() {
	}
	for _, m := range missing {
		if !p.isAskedFor(m) && p.Loads > p.reservedLoads() {
			p.loadMissing(m)
		}
	}
}

func (p *planner) isAskedFor(m *fleet.Model) bool {
	return p.Work[m.Name] > 0 || p.Wanted[AdapterKey{Model: m.Name}]
}

// reservedLoads are kept for models that are asked for: those of one second.
func (p *planner) reservedLoads() int { return int(math.Ceil(p.Class.LoadsPerSecond)) }

// missing returns the models that no engine holds, the wanted ones first, then by work.
func (p *planner) missing() []*fleet.Model {
	var list []*fleet.Model
	for i := range p.Class.Models {
		if m := &p.Class.Models[i]; p.replica[m.Name] == 0 {
			list = append(list, m)
		}
	}
	urgent := func(m *fleet.Model) int {
		if p.Wanted[AdapterKey{Model: m.Name}] {
			return 0
		}
		return 1
	}
	slices.SortStableFunc(list, func(a, b *fleet.Model) int {
		return cmp.Or(cmp.Compare(urgent(a), urgent(b)), cmp.Compare(p.Work[b.Name], p.Work[a.Name]))
	})
	return list
}

// move is a load of a model on an engine, with the model that makes room for it.
type move struct {
	engine int
	evict  string
	disk   bool
	gain   float64
}

func (p *planner) loadMissing(m *fleet.Model) {
	best, found := move{}, false
	for i := range p.states {
		for _, mv := range p.moves(i, m) {
			if mv.evict != "" && p.resident[mv.evict] < 2 && p.Work[mv.evict] >= p.Work[m.Name] {
				continue // it would only change which model is missing
			}
			mv.gain = -p.loadAfter(mv, m)
			if !found || mv.gain > best.gain {
				best, found = mv, true
			}
		}
	}
	if !found {
		return
	}
	reason := ReasonReach
	if p.Wanted[AdapterKey{Model: m.Name}] {
		reason = ReasonWanted
	}
	p.perform(best, m, reason)
}

// loadAfter returns the work that an engine has after a move; it prefers moves
// that evict nothing, spare replicas to last ones, and loads from disk.
func (p *planner) loadAfter(mv move, m *fleet.Model) float64 {
	after := p.load(mv.engine) + p.work(m.Name)/float64(p.replica[m.Name]+1)
	if mv.evict != "" {
		after -= p.work(mv.evict) / float64(max(p.replica[mv.evict], 1))
		after += p.work(mv.evict) / float64(max(p.replica[mv.evict]-1, 1))
	}
	if !mv.disk {
		after += gainFromStore
	}
	return after
}

// moves returns the ways to load a model on an engine.
func (p *planner) moves(i int, m *fleet.Model) []move {
	st := &p.states[i]
	if st.used || st.moving || st.models[m.Name] || st.Upstream.Holds(m.Name, "") || st.Loading != "" {
		return nil
	}
	disk := st.hasOwnCopy(m.Name)
	if !disk && p.Loads <= 0 {
		return nil
	}
	if st.free-p.reserveMB() >= m.WeightsMB {
		return []move{{engine: i, disk: disk}}
	}
	var list []move
	for other := range st.models {
		size := p.Class.Model(other)
		if size != nil && !st.Fresh[other] && st.Upstream.Holds(other, "") && st.free-p.reserveMB()+size.WeightsMB >= m.WeightsMB {
			list = append(list, move{engine: i, evict: other, disk: disk})
		}
	}
	return list
}

// addReplica performs the move that lowers the imbalance most, if one is worth it.
func (p *planner) addReplica() bool {
	loads := make([]float64, len(p.states))
	for i := range p.states {
		loads[i] = p.load(i)
	}
	var best move
	var bestModel *fleet.Model
	for _, m := range p.busiest() {
		for i := range p.states {
			for _, mv := range p.moves(i, m) {
				if mv.evict != "" && p.resident[mv.evict] < 2 {
					continue
				}
				mv.gain = p.gain(loads, mv, m) - gainFromStore
				if mv.disk {
					mv.gain += gainFromStore - gainFromDisk
				}
				if mv.gain > best.gain {
					best, bestModel = mv, m
				}
			}
		}
	}
	if bestModel == nil {
		return false
	}
	p.perform(best, bestModel, ReasonBalance)
	return true
}

// busiest returns the models with the most work for each replica.
func (p *planner) busiest() []*fleet.Model {
	var list []*fleet.Model
	for i := range p.Class.Models {
		if m := &p.Class.Models[i]; p.work(m.Name) > idleWork && p.replica[m.Name] > 0 {
			list = append(list, m)
		}
	}
	share := func(m *fleet.Model) float64 { return p.work(m.Name) / float64(p.replica[m.Name]) }
	slices.SortStableFunc(list, func(a, b *fleet.Model) int { return cmp.Compare(share(b), share(a)) })
	return list[:min(len(list), busiestConsidered)]
}

// gain returns by how much a move lowers the cost over all engines.
func (p *planner) gain(loads []float64, mv move, m *fleet.Model) float64 {
	r := float64(p.replica[m.Name])
	less := p.work(m.Name)/r - p.work(m.Name)/(r+1)
	evicted, more := 0.0, 0.0
	if mv.evict != "" {
		e := float64(p.replica[mv.evict])
		evicted = p.work(mv.evict) / e
		more = p.work(mv.evict)/(e-1) - evicted
	}
	sum := 0.0
	for i := range p.states {
		after := loads[i]
		if i == mv.engine {
			after += p.work(m.Name)/(r+1) - evicted
		} else {
			if p.states[i].models[m.Name] {
				after -= less
			}
			if mv.evict != "" && p.states[i].models[mv.evict] {
				after += more
			}
		}
		sum += cost(loads[i]) - cost(after)
	}
	return sum
}

// perform gives the load, or the unload that makes room for it; the load follows
// in a later plan, when the room is there.
func (p *planner) perform(mv move, m *fleet.Model, why Reason) {
	st := &p.states[mv.engine]
	if mv.evict != "" {
		p.act(mv.engine, Action{Model: mv.evict, For: m.Name, Reason: ReasonRoom})
		delete(st.models, mv.evict)
		p.replica[mv.evict]--
		p.resident[mv.evict]--
	} else {
		p.act(mv.engine, Action{Load: true, Model: m.Name, FromDisk: mv.disk, Reason: why})
	}
	if !mv.disk {
		p.Loads--
	}
	st.models[m.Name] = true
	p.replica[m.Name]++
}

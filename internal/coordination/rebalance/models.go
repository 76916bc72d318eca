package rebalance

import (
	"cmp"
	"iter"
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
	// missingFromStore is the cost by which a load from the weight store is put behind
	// one from disk where requests wait for a model: it takes five times as long.
	missingFromStore = 0.5
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
	// idleBelow is the utilization up to which a model counts as not asked for: that
	// of one request about ten seconds ago.
	idleBelow = 0.005
	// absenceCost is the cost of giving up the last replica of an idle model, in
	// squared utilization: the next request for it waits for a load from disk.
	absenceCost = 0.2
	// absenceWeight is the cost of the utilization that finds its model absent: each
	// of its requests waits for about a second, several targets.
	absenceWeight = 4.0
	// adapterTime is how long a request occupies an adapter slot: a long answer.
	adapterTime = 2 * time.Second
	// fullSlots is the utilization that an engine counts with when all its adapter
	// slots are in use.
	fullSlots = 0.4
)

// work returns the part of an engine's capacity that a model's requests need.
func (p *planner) work(model string) float64 {
	return max(p.TokenRates[model]/max(p.PrefillRates[model], 1), p.adapterWork[model], idleWork)
}

// addAdapterWork counts the adapter slots that a model's requests occupy.
func (p *planner) addAdapterWork() {
	p.adapterWork = make(map[string]float64)
	for key, rate := range p.AdapterRates {
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
			p.loadMissing(m, p.isWorse)
		}
	}
	for p.addReplica() {
	}
	for _, m := range missing {
		if !p.isAskedFor(m) && p.StoreLoadBudget > p.reservedLoads() {
			p.loadMissing(m, p.isDisturbing)
		}
	}
}

// isWorse reports whether a load only changes which model is missing.
func (p *planner) isWorse(mv move, m *fleet.Model) bool {
	return mv.evict != "" && p.resident[mv.evict] < 2 && p.TokenRates[mv.evict] >= p.TokenRates[m.Name]
}

// isDisturbing reports whether the load of a model that nobody asks for takes the
// room of one that is in use, or of one while it could be back within a second.
func (p *planner) isDisturbing(mv move, m *fleet.Model) bool {
	return mv.evict != "" && (p.resident[mv.evict] < 2 || p.work(mv.evict) > idleBelow || p.isAtHand(m.Name))
}

// isAtHand reports whether some engine loads a model from its own copy.
func (p *planner) isAtHand(model string) bool {
	for i := range p.states {
		if p.states[i].Upstream.HasLocalCopy(model) {
			return true
		}
	}
	return false
}

func (p *planner) isAskedFor(m *fleet.Model) bool {
	return p.TokenRates[m.Name] > 0 || p.HasWaitingRequests[AdapterKey{Model: m.Name}]
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
		if p.HasWaitingRequests[AdapterKey{Model: m.Name}] {
			return 0
		}
		return 1
	}
	slices.SortStableFunc(list, func(a, b *fleet.Model) int {
		return cmp.Or(cmp.Compare(urgent(a), urgent(b)), cmp.Compare(p.TokenRates[b.Name], p.TokenRates[a.Name]))
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

// loadMissing loads a model that no engine holds by the best move that is not ruled out.
func (p *planner) loadMissing(m *fleet.Model, isRuledOut func(move, *fleet.Model) bool) {
	best, found := move{}, false
	w := p.weigh()
	for i := range p.states {
		for mv := range p.moves(i, m) {
			if isRuledOut(mv, m) {
				continue
			}
			mv.gain = w.target(mv, m.Name) - w.burden(mv)
			if !mv.disk {
				mv.gain -= missingFromStore
			}
			if !found || mv.gain > best.gain {
				best, found = mv, true
			}
		}
	}
	if !found {
		return
	}
	reason := ReasonNotResident
	if p.HasWaitingRequests[AdapterKey{Model: m.Name}] {
		reason = ReasonRequestsWaiting
	}
	p.perform(best, m, reason)
}

// moves yields the ways to load a model on an engine.
func (p *planner) moves(i int, m *fleet.Model) iter.Seq[move] {
	return func(yield func(move) bool) {
		st := &p.states[i]
		if st.used || st.moving || st.LoadingModel != "" || st.models[m.Name] || st.Upstream.Holds(m.Name, "") {
			return
		}
		disk := st.Upstream.HasLocalCopy(m.Name)
		if !disk && p.StoreLoadBudget <= 0 {
			return
		}
		p.weighed++
		free := st.free - p.reserveMB
		if free >= m.WeightsMB {
			yield(move{engine: i, disk: disk})
			return
		}
		for _, r := range st.Upstream.Models {
			size := p.byName[r.Model]
			if size == nil || st.RecentlyLoaded[r.Model] || !st.models[r.Model] || free+size.WeightsMB < m.WeightsMB {
				continue
			}
			if !yield(move{engine: i, evict: r.Model, disk: disk}) {
				return
			}
		}
	}
}

// addReplica performs the move that lowers the cost most, if one is worth it.
func (p *planner) addReplica() bool {
	w := p.weigh()
	var best move
	var bestModel *fleet.Model
	for _, m := range p.busiest() {
		relief := w.relief(m.Name)
		for i := range p.states {
			for mv := range p.moves(i, m) {
				if mv.evict != "" && p.resident[mv.evict] < 2 && !p.mayBeAbsent(mv.engine, mv.evict) {
					continue
				}
				mv.gain = relief + w.target(mv, m.Name) - w.burden(mv) - gainFromStore
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
	p.perform(best, bestModel, ReasonRebalance)
	return true
}

// mayBeAbsent reports whether the last replica of a model may leave an engine: nobody
// has asked for the model lately, and the engine brings it back from its own copy
// within about a second.
func (p *planner) mayBeAbsent(engine int, model string) bool {
	return p.work(model) <= idleBelow && !p.HasWaitingRequests[AdapterKey{Model: model}] && p.states[engine].Upstream.HasLocalCopy(model)
}

// weights are the utilizations from which one move is chosen. What a move changes
// at other engines depends on the models alone and is worked out once for each, so
// that a plan for hundreds of engines stays cheap.
type weights struct {
	p       *planner
	loads   []float64
	holders map[string][]int   // engines that hold or load a model
	burdens map[string]float64 // cost to all holders of a model when one of them is lost
}

func (p *planner) weigh() *weights {
	w := &weights{p: p, loads: make([]float64, len(p.states)), holders: make(map[string][]int), burdens: make(map[string]float64)}
	for i := range p.states {
		w.loads[i] = p.load(i)
		for m := range p.states[i].models {
			w.holders[m] = append(w.holders[m], i)
		}
	}
	return w
}

// relief returns by how much a further replica lowers the cost of a model's holders.
func (w *weights) relief(model string) float64 {
	r := float64(w.p.replica[model])
	less := w.p.work(model) * (1/r - 1/(r+1))
	sum := 0.0
	for _, i := range w.holders[model] {
		sum += cost(w.loads[i]) - cost(w.loads[i]-less)
	}
	return sum
}

// target returns by how much a move lowers the cost of the engine itself.
func (w *weights) target(mv move, model string) float64 {
	before := w.loads[mv.engine]
	after := before + w.p.work(model)/float64(w.p.replica[model]+1)
	if mv.evict != "" {
		after -= w.p.work(mv.evict) / float64(max(w.p.replica[mv.evict], 1))
	}
	return cost(before) - cost(after)
}

// burden returns the cost that an eviction adds at the other holders of the model.
func (w *weights) burden(mv move) float64 {
	if mv.evict == "" {
		return 0
	}
	if w.p.replica[mv.evict] < 2 {
		return absenceCost + absenceWeight*w.p.work(mv.evict)
	}
	more := w.more(mv.evict)
	sum, ok := w.burdens[mv.evict]
	if !ok {
		for _, i := range w.holders[mv.evict] {
			sum += cost(w.loads[i]+more) - cost(w.loads[i])
		}
		w.burdens[mv.evict] = sum
	}
	own := w.loads[mv.engine]
	return sum - (cost(own+more) - cost(own))
}

// more returns the work that each other holder of a model gets when one is lost.
func (w *weights) more(model string) float64 {
	r := float64(w.p.replica[model])
	return w.p.work(model) * (1/(r-1) - 1/r)
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

// perform gives the load, or the unload that makes room for it; the load follows
// in a later plan, when the room is there.
func (p *planner) perform(mv move, m *fleet.Model, why Reason) {
	st := &p.states[mv.engine]
	if mv.evict != "" {
		p.act(mv.engine, Action{Model: mv.evict, MakesRoomFor: m.Name, Reason: ReasonMakeRoom})
		delete(st.models, mv.evict)
		p.replica[mv.evict]--
		p.resident[mv.evict]--
	} else {
		p.act(mv.engine, Action{Load: true, Model: m.Name, FromDisk: mv.disk, Reason: why})
	}
	if !mv.disk {
		p.StoreLoadBudget--
	}
	st.models[m.Name] = true
	p.replica[m.Name]++
}

package rebalance

import (
	"cmp"
	"slices"
)

// levelSweeps is the number of passes over all models in which their work is spread anew. The
// work of most models is level after two or three.
const levelSweeps = 6

// levels spreads the work of each model over the engines that hold it, so that those that
// serve it have the same utilization, as the choice of an upstream for each request does. The
// work of a slow engine counts by its time. Its cost is the mean of utilizationCost over the
// capacity of all engines, which the work of one model changes only where it can go.
type levels struct {
	capacity []float64 // work that an engine does at utilization 1, by engine
	work     []float64 // by engine
	models   map[string]*modelLevel
	order    []*modelLevel // in descending order of work
	demand   func(model string) float64
	mean     float64 // utilization of all engines together
}

// modelLevel is the work of one model and where it is done.
type modelLevel struct {
	name   string
	work   float64 // in engines of mean speed
	shares []engineShare
}

// engineShare is the work of a model that one of its engines does.
type engineShare struct {
	engine  int
	serving bool // the engine holds the model by now
	work    float64
}

// newLevels spreads the demand over the engines of a plan.
func newLevels(p *planner) *levels {
	l := &levels{capacity: make([]float64, len(p.engines)), work: make([]float64, len(p.engines)), models: make(map[string]*modelLevel), demand: p.modelUtilization}
	for i := range p.engines {
		l.capacity[i] = 1
		if s := p.engines[i].Slowness; s > 0 {
			l.capacity[i] = 1 / s
		}
		for name := range p.engines[i].models {
			m := l.model(name)
			m.shares = append(m.shares, engineShare{engine: i, serving: p.engines[i].Upstream.Holds(name, "")})
		}
	}
	for name, m := range l.models {
		m.work = p.modelUtilization(name)
		l.order = append(l.order, m)
	}
	slices.SortFunc(l.order, func(a, b *modelLevel) int {
		return cmp.Or(cmp.Compare(b.work, a.work), cmp.Compare(a.name, b.name))
	})
	for range levelSweeps {
		l.sweep()
	}
	work, capacity := 0.0, 0.0
	for i := range l.work {
		work += l.work[i]
		capacity += l.capacity[i]
	}
	if capacity > 0 {
		l.mean = work / capacity
	}
	return l
}

// model returns the level of a model, and adds it if it is new.
func (l *levels) model(name string) *modelLevel {
	m := l.models[name]
	if m == nil {
		m = &modelLevel{name: name}
		l.models[name] = m
	}
	return m
}

// sweep spreads the work of each model anew.
func (l *levels) sweep() {
	for _, m := range l.order {
		l.spread(m)
	}
}

// spread fills the engines of a model with its work up to one level.
func (l *levels) spread(m *modelLevel) {
	if len(m.shares) == 1 {
		s := &m.shares[0]
		l.work[s.engine] += m.work - s.work
		s.work = m.work
		return
	}
	for k := range m.shares {
		s := &m.shares[k]
		l.work[s.engine] -= s.work
		s.work = 0
	}
	slices.SortFunc(m.shares, func(a, b engineShare) int {
		return cmp.Or(cmp.Compare(l.utilization(a.engine), l.utilization(b.engine)), cmp.Compare(a.engine, b.engine))
	})
	level, capacity, filled := 0.0, 0.0, m.work
	for k, s := range m.shares {
		if u := l.utilization(s.engine); k > 0 && level <= u {
			break
		}
		filled += l.work[s.engine]
		capacity += l.capacity[s.engine]
		level = filled / capacity
	}
	for k := range m.shares {
		s := &m.shares[k]
		s.work = max(level*l.capacity[s.engine]-l.work[s.engine], 0)
		l.work[s.engine] += s.work
	}
}

// utilization returns the utilization of an engine.
func (l *levels) utilization(engine int) float64 { return l.work[engine] / l.capacity[engine] }

// workOf returns the work of a model that an engine does.
func (l *levels) workOf(model string, engine int) float64 {
	if m := l.models[model]; m != nil {
		for _, s := range m.shares {
			if s.engine == engine {
				return s.work
			}
		}
	}
	return 0
}

// group returns the mean utilization and the capacity of the engines that serve a model.
func (l *levels) group(m *modelLevel) (utilization, capacity float64) {
	work := 0.0
	for _, s := range m.shares {
		if s.work > 0 {
			work += l.work[s.engine]
			capacity += l.capacity[s.engine]
		}
	}
	if capacity == 0 {
		return 0, 0
	}
	return work / capacity, capacity
}

// gain returns by how much a further replica reduces the cost, if its eviction and its load take
// effect at once. evicting is what the eviction alone saves, mostly a negative value.
func (l *levels) gain(opt loadOption, model string) (adding, evicting float64) {
	capacity := l.capacity[opt.engine]
	room := l.utilization(opt.engine)
	if opt.evict != "" {
		moved, before := l.workOf(opt.evict, opt.engine), room
		room -= moved / capacity
		evicting = capacity*(utilizationCost(before)-utilizationCost(room)) - l.evictionCost(opt)
	}
	m := l.models[model]
	if m == nil || len(m.shares) == 0 { // no engine holds it: all its work is new
		work := l.demand(model)
		return -capacity * (utilizationCost(room+work/capacity) - utilizationCost(room)), evicting
	}
	return l.shiftGain(m, room, capacity), evicting
}

// shiftGain returns by how much the cost falls if work of a model goes to one more engine until
// that is as utilized as those that serve the model now.
func (l *levels) shiftGain(m *modelLevel, room, capacity float64) float64 {
	level, holders := l.group(m)
	if level <= room || holders == 0 {
		return 0
	}
	moved := min((level-room)/(1/holders+1/capacity), m.work)
	saved := holders * (utilizationCost(level) - utilizationCost(level-moved/holders))
	return saved - capacity*(utilizationCost(room+moved/capacity)-utilizationCost(room))
}

// bestGain returns an upper limit of the gain of a further replica: that on an idle engine.
func (l *levels) bestGain(model string) float64 {
	if m := l.models[model]; m != nil {
		return l.shiftGain(m, 0, 1)
	}
	return 0
}

// evictionCost returns the cost that the eviction of a load option adds: at the other
// engines that serve the evicted model by now or, for its last replica, for the waiting requests.
func (l *levels) evictionCost(opt loadOption) float64 {
	m := l.models[opt.evict]
	if m == nil {
		return 0
	}
	work, moved, capacity := l.othersServing(opt)
	if capacity == 0 {
		return lastReplicaCost + absentUtilizationWeight*m.work
	}
	return capacity * (utilizationCost((work+moved)/capacity) - utilizationCost(work/capacity))
}

// othersServing returns the work and the capacity of the other engines that serve the model
// that a load option evicts by now, and the work of the model that they don't do yet.
func (l *levels) othersServing(opt loadOption) (work, moved, capacity float64) {
	m := l.models[opt.evict]
	moved = m.work
	for _, s := range m.shares {
		if s.serving && s.engine != opt.engine {
			work += l.work[s.engine]
			moved -= s.work
			capacity += l.capacity[s.engine]
		}
	}
	return work, moved, capacity
}

// levelWithout returns the utilization of the engines that serve the model that a load option
// evicts, once they have all of its work.
func (l *levels) levelWithout(opt loadOption) float64 {
	work, moved, capacity := l.othersServing(opt)
	return (work + moved) / capacity
}

// replace moves the work as the load option does.
func (l *levels) replace(opt loadOption, model string) {
	if m := l.models[opt.evict]; opt.evict != "" && m != nil {
		k := slices.IndexFunc(m.shares, func(s engineShare) bool { return s.engine == opt.engine })
		if k >= 0 {
			l.work[opt.engine] -= m.shares[k].work
			m.shares = slices.Delete(m.shares, k, k+1)
		}
	}
	m := l.models[model]
	if m == nil {
		m = l.model(model)
		m.work = l.demand(model)
		l.order = append(l.order, m)
	}
	m.shares = append(m.shares, engineShare{engine: opt.engine})
	l.sweep()
}

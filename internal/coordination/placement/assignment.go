package placement

import "math"

// flowEpsilon is the work, in engines, below which a difference counts as zero.
const flowEpsilon = 1e-6

// Assignment distributes the demand of models over the engines that hold them so that
// as much demand as possible is served. It is a maximum flow from models to engines,
// kept up to date by augmenting paths as replicas are added and removed.
type Assignment struct {
	Unmet []float64   // demand without an engine, per model
	Spare []float64   // unused compute, per engine
	flow  [][]float64 // served demand, per model and engine
	holds [][]bool    // whether the engine holds the model, per model and engine
}

// Assign computes an assignment of demand, per model, to compute, per engine, both in
// engines. holds says, per model and engine, which model is on which engine.
func Assign(demand, compute []float64, holds [][]bool) *Assignment {
	a := &Assignment{}
	a.Unmet = append(a.Unmet, demand...)
	a.Spare = append(a.Spare, compute...)
	for m := range demand {
		a.flow = append(a.flow, make([]float64, len(compute)))
		a.holds = append(a.holds, append([]bool(nil), holds[m]...))
	}
	a.augment()
	return a
}

// TotalUnmet returns the demand of all models that no engine can serve.
func (a *Assignment) TotalUnmet() float64 {
	sum := 0.0
	for _, u := range a.Unmet {
		sum += u
	}
	return sum
}

// Add adds a replica of model m on engine e.
func (a *Assignment) Add(m, e int) {
	a.holds[m][e] = true
	a.augment()
}

// Gain returns an upper bound on the demand that a replica of model m on engine e would
// serve in addition. starved is the result of Starved, unmet that of TotalUnmet.
func (a *Assignment) Gain(m, e int, starved []bool, unmet float64) float64 {
	if a.holds[m][e] || !starved[m] {
		return 0
	}
	return math.Min(unmet, math.Min(a.Spare[e], a.Unmet[m]+a.servedDemand(m)))
}

// Loss returns the demand that would become unmet without the replica of model m on engine e.
func (a *Assignment) Loss(m, e int) float64 {
	if a.flow[m][e] <= flowEpsilon {
		return 0
	}
	c := a.clone()
	c.Remove(m, e)
	return c.TotalUnmet() - a.TotalUnmet()
}

// Remove removes the replica of model m from engine e.
func (a *Assignment) Remove(m, e int) {
	a.holds[m][e] = false
	a.Unmet[m] += a.flow[m][e]
	a.Spare[e] += a.flow[m][e]
	a.flow[m][e] = 0
	a.augment()
}

// Starved returns, per model, whether its demand competes with unmet demand. A further
// replica of any such model can reduce the unmet demand.
func (a *Assignment) Starved() []bool {
	search := a.search()
	return search.reachedModels
}

func (a *Assignment) servedDemand(m int) float64 {
	sum := 0.0
	for _, f := range a.flow[m] {
		sum += f
	}
	return sum
}

func (a *Assignment) clone() *Assignment {
	c := &Assignment{Unmet: append([]float64(nil), a.Unmet...), Spare: append([]float64(nil), a.Spare...), holds: make([][]bool, len(a.holds))}
	for m := range a.flow {
		c.flow = append(c.flow, append([]float64(nil), a.flow[m]...))
		c.holds[m] = append([]bool(nil), a.holds[m]...)
	}
	return c
}

// augment pushes flow along augmenting paths until none leads from unmet demand to an
// engine with spare compute.
func (a *Assignment) augment() {
	for {
		s := a.search()
		if s.spareEngine < 0 {
			return
		}
		a.pushFlow(s)
	}
}

// search is the state of a breadth-first search from the models with unmet demand.
type search struct {
	reachedModels  []bool
	reachedEngines []bool
	engineParents  []int // per engine, the model from which it was reached
	modelParents   []int // per model, the engine from which it was reached, or -1 for a start
	spareEngine    int   // the engine with spare compute that was reached, or -1
}

func (a *Assignment) search() search {
	s := search{
		reachedModels: make([]bool, len(a.Unmet)), reachedEngines: make([]bool, len(a.Spare)),
		engineParents: make([]int, len(a.Spare)), modelParents: make([]int, len(a.Unmet)), spareEngine: -1,
	}
	var queue []int
	for m, unmet := range a.Unmet {
		if unmet > flowEpsilon {
			s.reachedModels[m], s.modelParents[m] = true, -1
			queue = append(queue, m)
		}
	}
	for len(queue) > 0 {
		m := queue[0]
		queue = queue[1:]
		for e, holds := range a.holds[m] {
			if !holds || s.reachedEngines[e] {
				continue
			}
			s.reachedEngines[e], s.engineParents[e] = true, m
			if a.Spare[e] > flowEpsilon {
				s.spareEngine = e
				return s
			}
			queue = append(queue, a.reachServed(e, &s)...)
		}
	}
	return s
}

// reachServed marks the models that engine e serves and that the search has not reached
// yet, and returns them.
func (a *Assignment) reachServed(e int, s *search) []int {
	var found []int
	for m := range a.flow {
		if !s.reachedModels[m] && a.flow[m][e] > flowEpsilon {
			s.reachedModels[m], s.modelParents[m] = true, e
			found = append(found, m)
		}
	}
	return found
}

// pushFlow pushes as much demand along the path that was found as the path can carry.
func (a *Assignment) pushFlow(s search) {
	amount := a.Spare[s.spareEngine]
	e := s.spareEngine
	m := s.engineParents[e]
	for s.modelParents[m] >= 0 {
		e = s.modelParents[m]
		amount = math.Min(amount, a.flow[m][e])
		m = s.engineParents[e]
	}
	amount = math.Min(amount, a.Unmet[m])
	a.Unmet[m] -= amount
	a.Spare[s.spareEngine] -= amount
	e = s.spareEngine
	for {
		m = s.engineParents[e]
		a.flow[m][e] += amount
		if s.modelParents[m] < 0 {
			return
		}
		e = s.modelParents[m]
		a.flow[m][e] -= amount
	}
}

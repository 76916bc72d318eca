package placement

import "math"

// smallestFlow is the work, in engines, below which a difference is ignored.
const smallestFlow = 1e-6

// Assignment spreads the demand of models over the engines that hold them so that
// as much as possible is served: a maximum flow from models to engines.
type Assignment struct {
	Unmet []float64   // per model
	Spare []float64   // per engine
	flow  [][]float64 // per model and engine
	holds [][]bool    // per model and engine
}

// Assign computes an assignment. holds tells which model is on which engine.
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

// TotalUnmet returns the demand that no engine can serve.
func (a *Assignment) TotalUnmet() float64 {
	sum := 0.0
	for _, u := range a.Unmet {
		sum += u
	}
	return sum
}

// Add places model m on engine e as well.
func (a *Assignment) Add(m, e int) {
	a.holds[m][e] = true
	a.augment()
}

// Gain bounds how much more demand model m on engine e would serve.
func (a *Assignment) Gain(m, e int, starved []bool, unmet float64) float64 {
	if a.holds[m][e] || !starved[m] {
		return 0
	}
	return math.Min(unmet, math.Min(a.Spare[e], a.Unmet[m]+a.served(m)))
}

// Loss returns how much demand would go unserved without model m on engine e.
func (a *Assignment) Loss(m, e int) float64 {
	if a.flow[m][e] <= smallestFlow {
		return 0
	}
	c := a.clone()
	c.Remove(m, e)
	return c.TotalUnmet() - a.TotalUnmet()
}

// Remove takes model m off engine e.
func (a *Assignment) Remove(m, e int) {
	a.holds[m][e] = false
	a.Unmet[m] += a.flow[m][e]
	a.Spare[e] += a.flow[m][e]
	a.flow[m][e] = 0
	a.augment()
}

// Starved returns the models whose demand competes with unmet demand: a further
// replica of any of them would help.
func (a *Assignment) Starved() []bool {
	search := a.search()
	return search.models
}

func (a *Assignment) served(m int) float64 {
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

// augment moves demand until no engine with spare compute can be reached.
func (a *Assignment) augment() {
	for {
		s := a.search()
		if s.target < 0 {
			return
		}
		a.push(s)
	}
}

// search is a breadth-first search from the models with unmet demand.
type search struct {
	models    []bool
	engines   []bool
	fromModel []int // per engine, the model before it
	fromOther []int // per model, the engine before it, or -1 at the start
	target    int   // engine with spare compute, or -1
}

func (a *Assignment) search() search {
	s := search{
		models: make([]bool, len(a.Unmet)), engines: make([]bool, len(a.Spare)),
		fromModel: make([]int, len(a.Spare)), fromOther: make([]int, len(a.Unmet)), target: -1,
	}
	var queue []int
	for m, unmet := range a.Unmet {
		if unmet > smallestFlow {
			s.models[m], s.fromOther[m] = true, -1
			queue = append(queue, m)
		}
	}
	for len(queue) > 0 {
		m := queue[0]
		queue = queue[1:]
		for e, holds := range a.holds[m] {
			if !holds || s.engines[e] {
				continue
			}
			s.engines[e], s.fromModel[e] = true, m
			if a.Spare[e] > smallestFlow {
				s.target = e
				return s
			}
			queue = append(queue, a.displaced(e, &s)...)
		}
	}
	return s
}

// displaced returns the models that engine e serves and that the search has not seen.
func (a *Assignment) displaced(e int, s *search) []int {
	var found []int
	for m := range a.flow {
		if !s.models[m] && a.flow[m][e] > smallestFlow {
			s.models[m], s.fromOther[m] = true, e
			found = append(found, m)
		}
	}
	return found
}

// push moves as much demand as the found path takes.
func (a *Assignment) push(s search) {
	amount := a.Spare[s.target]
	e := s.target
	m := s.fromModel[e]
	for s.fromOther[m] >= 0 {
		e = s.fromOther[m]
		amount = math.Min(amount, a.flow[m][e])
		m = s.fromModel[e]
	}
	amount = math.Min(amount, a.Unmet[m])
	a.Unmet[m] -= amount
	a.Spare[s.target] -= amount
	e = s.target
	for {
		m = s.fromModel[e]
		a.flow[m][e] += amount
		if s.fromOther[m] < 0 {
			return
		}
		e = s.fromOther[m]
		a.flow[m][e] -= amount
	}
}

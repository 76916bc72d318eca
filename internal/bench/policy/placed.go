package policy

import (
	"slices"
	"time"
)

// Traffic is what the entries saw of one model.
type Traffic struct {
	Requests  float64 // a second, as they arrived
	Completed float64 // a second, with a whole answer
	Tokens    float64 // a second, of whole answers
}

// Placement moves models between the engines while a run goes on.
type Placement interface {
	// Demand advances by a second and returns the demand per service and model, in engines.
	Demand(at time.Duration) [][]float64
	// Decide acts on the traffic that reports have brought, per service and model.
	Decide(at time.Duration, seen [][]Traffic)
	// Ready reports whether a model of a service is usable on an engine.
	Ready(service, model, engine int) bool
}

const (
	decideEvery  = time.Second
	demandLag    = 100 * time.Millisecond // of a demand report
	replicaLag   = 100 * time.Millisecond // shortest, until an instance learns of a change
	replicaSlack = 900 * time.Millisecond // added to replicaLag at random
	demandBytes  = 24                     // of a demand report for each model with traffic
	replicaBytes = 24                     // of a change of replicas
)

// RunPlaced runs the scenario under the policy while the placement moves models. An
// engine drops the requests of a model that it unloads.
func RunPlaced(scenario Scenario, policy Policy, placement Placement) *Result {
	s := newSimulation(scenario, policy)
	s.placement = placement
	s.run()
	return s.result
}

// EngineTokens returns the answer tokens a second of an engine of the service at full use.
func (s ServiceSpec) EngineTokens() float64 {
	tokens := 0.0
	for _, c := range s.Classes {
		tokens += c.Share * c.Tokens
	}
	return s.capacity() * tokens / s.meanWork()
}

// ready reports whether an engine holds a model.
func (s *simulation) ready(service, model, engine int) bool {
	return s.placement == nil || s.placement.Ready(service, model, engine)
}

// startPlacement begins the decisions, the demand reports and the changes of demand.
func (s *simulation) startPlacement(demands []*demand) {
	if s.placement == nil {
		return
	}
	s.holder = make([][][]Traffic, len(s.instances))
	for _, in := range s.instances {
		in.traffic = s.newTraffic()
		s.holder[in.index] = s.newTraffic()
		every := s.scenario.DemandEvery
		offset := time.Duration(s.rand.Int64N(int64(every)))
		s.after(offset, func() { s.every(every, func() { s.reportDemand(in) }) })
	}
	s.placeStep(demands)
	s.every(decideEvery, func() { s.placeStep(demands) })
}

func (s *simulation) newTraffic() [][]Traffic {
	all := make([][]Traffic, len(s.scenario.Services))
	for i, spec := range s.scenario.Services {
		all[i] = make([]Traffic, spec.Models)
	}
	return all
}

// placeStep changes the demand, decides, and tells engines and instances what changed.
func (s *simulation) placeStep(demands []*demand) {
	for i, weights := range s.placement.Demand(s.now) {
		demands[i].set(weights)
	}
	s.placement.Decide(s.now, s.seenTraffic())
	for service := range s.hosts {
		for model := range s.hosts[service] {
			s.updateHosts(service, model)
		}
	}
}

func (s *simulation) updateHosts(service, model int) {
	before := s.hosts[service][model]
	var hosts []int
	for e := range s.services[service] {
		if s.placement.Ready(service, model, e) {
			hosts = append(hosts, e)
		}
	}
	if slices.Equal(before, hosts) {
		return
	}
	s.hosts[service][model] = hosts
	for _, e := range before {
		if !slices.Contains(hosts, e) {
			s.services[service][e].drop(model)
		}
	}
	for _, in := range s.instances {
		s.result.message(replicaBytes)
		s.after(s.replicaDelay(), func() { in.learnHosts(service, model) })
	}
}

func (s *simulation) replicaDelay() time.Duration {
	if s.policy.Exact {
		return 0
	}
	return replicaLag + time.Duration(s.rand.Int64N(int64(replicaSlack)))
}

// learnHosts takes in the present replicas of a model.
func (in *instance) learnHosts(service, model int) {
	l := in.perService[service]
	l.hosts[model] = in.sim.hosts[service][model]
	l.pump()
}

// reportDemand sends the holder what the instance saw since its last report.
func (s *simulation) reportDemand(in *instance) {
	report := in.traffic
	in.traffic = s.newTraffic()
	for _, models := range report {
		for m := range models {
			if models[m].Requests+models[m].Completed > 0 {
				s.result.Bytes += demandBytes
			}
			models[m].scale(1 / s.scenario.DemandEvery.Seconds())
		}
	}
	s.result.message(0)
	s.after(demandLag, func() { s.holder[in.index] = report })
}

func (s *simulation) seenTraffic() [][]Traffic {
	sum := s.newTraffic()
	for _, report := range s.holder {
		for service, models := range report {
			for m, t := range models {
				sum[service][m].add(t)
			}
		}
	}
	return sum
}

func (t *Traffic) scale(by float64) {
	t.Requests *= by
	t.Completed *= by
	t.Tokens *= by
}

func (t *Traffic) add(other Traffic) {
	t.Requests += other.Requests
	t.Completed += other.Completed
	t.Tokens += other.Tokens
}

// countArrival notes a request for the demand reports.
func (in *instance) countArrival(j *job) {
	if in.traffic != nil {
		in.traffic[j.service][j.model].Requests++
	}
}

// countAnswer notes a whole answer for the demand reports.
func (in *instance) countAnswer(j *job) {
	if in.traffic != nil {
		in.traffic[j.service][j.model].add(Traffic{Completed: 1, Tokens: j.tokens})
	}
}

// set gives the models their demand in engines.
func (d *demand) set(weights []float64) {
	d.models.set(weights)
	d.rate = d.models.total() * d.spec.capacity() / d.spec.meanWork()
}

// drop fails the requests of a model that is unloaded.
func (e *engine) drop(model int) {
	var lost []*attempt
	for _, a := range e.batch {
		if a.job.model == model {
			lost = append(lost, a)
		}
	}
	for p := range e.waiting {
		for _, a := range e.waiting[p] {
			if a.job.model == model {
				lost = append(lost, a)
			}
		}
	}
	for _, a := range lost {
		e.cancel(a)
		e.sim.result.Dropped++
		e.answer(a, false)
	}
}

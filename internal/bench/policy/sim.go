package policy

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"savoryweir/internal/coordination/admission"
	"savoryweir/internal/coordination/suspect"
	"savoryweir/internal/state/bundle"
)

// epoch is the wall time at which the virtual time starts.
var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const (
	tickPeriod   = 100 * time.Millisecond
	probeDelay   = time.Second            // until a restarted upstream is seen to be up
	spreadMin    = 200 * time.Millisecond // of suspects between instances
	spreadMax    = 3 * time.Second
	reportBytes  = 64 // a load report as a message of its own
	answerBytes  = 16 // a load report within an answer
	forwardBytes = 200
	suspectBytes = 64
	replicaShare = 2.5 // replicas of a model in engines' worth of its demand
	minReplicas  = 2
)

type event struct {
	at   time.Duration
	turn uint64
	do   func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].turn < q[j].turn
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *eventQueue) Push(x any) { *q = append(*q, x.(event)) }

// Pop implements heap.Interface.
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

type simulation struct {
	scenario  Scenario
	policy    Policy
	now       time.Duration
	turn      uint64
	events    eventQueue
	rand      *rand.Rand
	services  [][]*engine
	hosts     [][][]int // service, model, indices of engines
	instances []*instance
	names     []string // of the instances
	result    *Result
	crashedBy map[bundle.UpstreamID]bool
	placement Placement     // nil for a fixed one
	holder    [][][]Traffic // last demand report per instance, service and model
}

// Run runs the scenario under the policy.
func Run(scenario Scenario, policy Policy) *Result {
	s := newSimulation(scenario, policy)
	s.run()
	return s.result
}

func newSimulation(scenario Scenario, policy Policy) *simulation {
	if policy.Exact {
		scenario.Instances = 1
		scenario.NearDelay, scenario.FarDelay = 0, 0
	}
	return &simulation{
		scenario: scenario, policy: policy,
		rand:      rand.New(rand.NewPCG(scenario.Seed, 1)),
		result:    newResult(scenario, policy),
		crashedBy: make(map[bundle.UpstreamID]bool),
	}
}

func (s *simulation) run() {
	s.build()
	s.startDemand()
	s.startFaults()
	s.startReports()
	s.startTicks()
	for len(s.events) > 0 && s.events[0].at <= s.scenario.Duration {
		next := heap.Pop(&s.events).(event)
		s.now = next.at
		next.do()
	}
	s.finishOpen()
}

func (s *simulation) time() time.Time { return epoch.Add(s.now) }

func (s *simulation) after(d time.Duration, do func()) {
	s.turn++
	heap.Push(&s.events, event{at: s.now + max(d, 0), turn: s.turn, do: do})
}

func (s *simulation) delay(zoneA, zoneB int) time.Duration {
	if zoneA == zoneB {
		return s.scenario.NearDelay
	}
	return s.scenario.FarDelay
}

func (s *simulation) build() {
	for i := range s.scenario.Services {
		s.services = append(s.services, s.buildEngines(i))
		s.hosts = append(s.hosts, s.placeModels(i))
	}
	for i := range s.scenario.Instances {
		s.names = append(s.names, fmt.Sprintf("instance-%d", i))
	}
	for i := range s.scenario.Instances {
		s.instances = append(s.instances, newInstance(s, i))
	}
}

func (s *simulation) buildEngines(service int) []*engine {
	spec := &s.scenario.Services[service]
	var engines []*engine
	for i := range spec.Engines {
		engines = append(engines, &engine{
			id:    bundle.UpstreamID(fmt.Sprintf("%s-%d", spec.Name, i)),
			index: i, service: service, zone: i % s.scenario.Zones, inZone: zoneName(i % s.scenario.Zones),
			spec: spec, sim: s, slowdown: 1,
		})
	}
	return engines
}

// placeModels gives each model replicas by its demand on the least used engines.
func (s *simulation) placeModels(service int) [][]int {
	spec := s.scenario.Services[service]
	if spec.Models == 0 {
		return [][]int{everyIndex(spec.Engines)}
	}
	if s.placement != nil {
		return make([][]int, spec.Models)
	}
	demand := newSampler(spec.Models, modelSkew)
	used := make([]float64, spec.Engines)
	hosts := make([][]int, spec.Models)
	for m := range spec.Models {
		want := int(demand.share(m)*float64(spec.Engines)*replicaShare) + minReplicas
		replicas := min(want, spec.Engines)
		for range replicas {
			i := leastUsed(used, hosts[m])
			used[i] += demand.share(m) / float64(replicas)
			hosts[m] = append(hosts[m], i)
		}
	}
	return hosts
}

func everyIndex(n int) []int {
	indices := make([]int, n)
	for i := range indices {
		indices[i] = i
	}
	return indices
}

func leastUsed(used []float64, taken []int) int {
	best := -1
	for i := range used {
		if !contains(taken, i) && (best < 0 || used[i] < used[best]) {
			best = i
		}
	}
	return best
}

func contains(list []int, x int) bool {
	for _, y := range list {
		if y == x {
			return true
		}
	}
	return false
}

func (s *simulation) startDemand() {
	var demands []*demand
	for i := range s.scenario.Services {
		d := newDemand(&s.scenario, i)
		demands = append(demands, d)
		s.after(d.gap(), func() { s.arrive(d) })
		s.every(burstPeriod, d.nextBurst)
		s.every(s.scenario.ShiftEvery, func() {
			d.shift()
			s.after(s.scenario.ShiftFor, d.unshift)
		})
	}
	s.startPlacement(demands)
	if s.scenario.Crash != nil {
		s.startCrash()
	}
}

func (s *simulation) every(period time.Duration, do func()) {
	if period <= 0 {
		return
	}
	s.after(period, func() {
		do()
		s.every(period, do)
	})
}

func (s *simulation) arrive(d *demand) {
	j := d.next(s.now)
	s.result.arrived(j)
	s.anyInstance().receive(j)
	s.after(d.gap(), func() { s.arrive(d) })
}

// anyInstance is the choice of the platform's balancer.
func (s *simulation) anyInstance() *instance { return s.instances[s.rand.IntN(len(s.instances))] }

func (s *simulation) startReports() {
	if s.scenario.ReportEvery == 0 || s.policy.Exact {
		return
	}
	for _, engines := range s.services {
		for _, e := range engines {
			offset := time.Duration(s.rand.Int64N(int64(s.scenario.ReportEvery)))
			s.after(offset, func() {
				s.every(s.scenario.ReportEvery, func() { s.report(e) })
			})
		}
	}
}

func (s *simulation) report(e *engine) {
	if e.down || e.hung {
		return
	}
	load := e.load()
	for _, in := range s.instances {
		s.result.message(reportBytes)
		s.after(s.scenario.ReportLag, func() { in.learn(e, load) })
	}
}

func (s *simulation) startTicks() {
	for _, in := range s.instances {
		offset := time.Duration(s.rand.Int64N(int64(tickPeriod)))
		s.after(offset, func() { s.every(tickPeriod, in.tick) })
	}
}

// tellDeath breaks the connections of the lost attempts, instance by instance.
func (s *simulation) tellDeath(e *engine, lost []*attempt) {
	for _, in := range s.instances {
		var own []*attempt
		for _, a := range lost {
			a.left = true
			if a.instance == in {
				own = append(own, a)
			}
		}
		if len(own) > 0 {
			s.after(s.delay(in.zone, e.zone), func() { in.died(e, own) })
		}
	}
}

func (s *simulation) tellRestart(e *engine) {
	for _, in := range s.instances {
		s.after(probeDelay, func() { in.isUp(e) })
	}
}

// spread sends suspects to all other instances.
func (s *simulation) spread(from *instance, records []suspect.Record) {
	if len(records) == 0 {
		return
	}
	for _, in := range s.instances {
		if in == from {
			continue
		}
		s.result.message(suspectBytes * len(records))
		delay := spreadMin + time.Duration(s.rand.Int64N(int64(spreadMax-spreadMin)))
		s.after(delay, func() { in.merge(records) })
	}
}

// finishOpen counts what the end of the run cut off. Requests whose deadline is
// still to come are left out.
func (s *simulation) finishOpen() {
	for _, open := range s.result.open {
		if !open.finished && open.deadline <= s.scenario.Duration {
			s.result.finish(open, outcomeLate)
		}
	}
}

func modelName(service, model int) bundle.ModelID {
	return bundle.ModelID(fmt.Sprintf("model-%d-%d", service, model))
}

func callerName(i int) admission.Caller { return admission.Caller(fmt.Sprintf("caller-%d", i)) }

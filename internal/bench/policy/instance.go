package policy

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"savoryweir/internal/coordination/admission"
	"savoryweir/internal/coordination/bulkhead"
	"savoryweir/internal/coordination/progress"
	"savoryweir/internal/coordination/routing"
	"savoryweir/internal/coordination/suspect"
	"savoryweir/internal/state/bundle"
)

const (
	progressTimeout = 2 * time.Second // without a token
	maxResends      = 3               // of one request by its caller
)

// instance is one entry with its own view.
type instance struct {
	sim        *simulation
	index      int
	zone       int
	rand       *rand.Rand
	picker     routing.Picker
	bulkhead   *bulkhead.Bulkhead
	suspects   *suspect.Registry
	perService []*serviceState
	nextID     admission.RequestID
	traffic    [][]Traffic // since the last demand report, per service and model
}

// pending is a request within an instance.
type pending struct {
	id       admission.RequestID
	job      *job
	origin   *instance
	attempts int
	excluded []bundle.UpstreamID
	ended    bool
}

// attempt is one run of a request at an engine.
type attempt struct {
	pending   *pending
	job       *job
	instance  *instance
	engine    *engine
	sentAt    time.Duration
	expected  time.Duration // to the whole answer
	inFlight  int
	firstStep float64
	lastStep  float64
	stream    progress.Stream
	position  int  // in the batch of the engine, negative outside
	left      bool // the engine is done with it
	ended     bool // the instance is done with it
}

func newInstance(s *simulation, index int) *instance {
	in := &instance{
		sim: s, index: index, zone: index % s.scenario.Zones,
		rand:     rand.New(rand.NewPCG(s.scenario.Seed, uint64(index+2))),
		bulkhead: bulkhead.New(s.policy.Bulkhead),
		suspects: suspect.New(suspect.DefaultSettings()),
	}
	in.picker = s.policy.Picker(in.rand, zoneName(in.zone))
	for i := range s.scenario.Services {
		in.perService = append(in.perService, newServiceState(in, i))
	}
	return in
}

func zoneName(zone int) bundle.Zone { return bundle.Zone(fmt.Sprintf("zone-%d", zone)) }

// receive takes a request from its caller.
func (in *instance) receive(j *job) {
	j.zone = in.zone
	home := in.home(j)
	if home == in {
		in.accept(j, in)
		return
	}
	in.sim.result.message(forwardBytes)
	in.sim.after(in.sim.delay(in.zone, home.zone), func() { home.accept(j, in) })
}

func (in *instance) home(j *job) *instance {
	var key string
	switch in.sim.policy.Home {
	case HomeModel:
		key = string(j.modelID)
	case HomeService:
		key = string(in.perService[j.service].spec.Name)
	default:
		return in
	}
	name := routing.Owner(routing.HashString(key), in.sim.names)
	return in.sim.instances[slices.Index(in.sim.names, name)]
}

func (in *instance) accept(j *job, origin *instance) {
	l := in.perService[j.service]
	in.countArrival(j)
	if !in.bulkhead.TryAcquire(l.spec.Name) {
		in.sim.finish(j, outcomeFull, 0)
		return
	}
	in.nextID++
	l.budget.RecordRequest()
	l.offer(&pending{id: in.nextID, job: j, origin: origin})
}

// end gives the request its final answer.
func (in *instance) end(p *pending, o outcome, retryAfter time.Duration) {
	if p.ended {
		return
	}
	p.ended = true
	in.bulkhead.Release(in.perService[p.job.service].spec.Name)
	if p.origin == in {
		in.sim.finish(p.job, o, retryAfter)
		return
	}
	in.sim.result.message(forwardBytes)
	in.sim.after(in.sim.delay(in.zone, p.origin.zone), func() { in.sim.finish(p.job, o, retryAfter) })
}

// finish records an outcome. The caller of a refused request sends it again.
func (s *simulation) finish(j *job, o outcome, retryAfter time.Duration) {
	if o == outcomeDone && s.now > j.deadline {
		o = outcomeLate
	}
	s.result.finish(j, o)
	if o == outcomeDone || j.resends >= maxResends || j.crash {
		return
	}
	again := *j
	again.resends++
	again.counted = false
	again.finished = false
	s.result.Resends++
	s.after(retryAfter, func() {
		again.arrive(s.now)
		s.anyInstance().receive(&again)
	})
}

func (in *instance) tick() {
	for _, l := range in.perService {
		l.tick()
	}
}

// learn takes in a load report.
func (in *instance) learn(e *engine, load routing.Load) { in.view(e).learn(load) }

func (in *instance) view(e *engine) *view { return in.perService[e.service].views[e.index] }

// answered takes in the outcome of an attempt.
func (in *instance) answered(a *attempt, completed bool, load routing.Load) {
	in.learn(a.engine, load)
	in.sim.result.Bytes += answerBytes
	l := in.perService[a.job.service]
	if a.ended {
		in.sim.result.workWasted += a.job.tokens
		return
	}
	if !completed && a.engine.down {
		in.view(a.engine).markDown(in.sim.time())
	}
	l.endAttempt(a, completed)
	if completed {
		if in.sim.now > a.job.deadline {
			in.sim.result.workWasted += a.job.tokens
		}
		in.countAnswer(a.job)
		in.end(a.pending, outcomeDone, 0)
	} else {
		l.retry(a)
	}
	l.pump()
}

// died takes in the death of an engine under attempts of this instance.
func (in *instance) died(e *engine, lost []*attempt) {
	now := in.sim.time()
	in.view(e).markDown(now)
	if in.sim.policy.Suspects {
		in.sim.spread(in, in.suspects.UpstreamCrashed(now, e.id))
	}
	l := in.perService[e.service]
	for _, a := range lost {
		if a.ended {
			continue
		}
		l.endAttempt(a, false)
		l.retry(a)
	}
	l.pump()
}

func (in *instance) isUp(e *engine) {
	v := in.view(e)
	v.downSince = time.Time{}
	v.learn(routing.Load{ReportedAt: in.sim.time()})
	in.perService[e.service].pump()
}

func (in *instance) merge(records []suspect.Record) {
	for _, record := range records {
		in.suspects.Merge(in.sim.time(), record)
	}
}

// timeOut ends an attempt whose caller waits no longer.
func (in *instance) timeOut(a *attempt) {
	if a.ended {
		return
	}
	l := in.perService[a.job.service]
	l.endAttempt(a, false)
	if in.sim.policy.CancelLate {
		in.sim.after(in.sim.delay(in.zone, a.engine.zone), func() { a.engine.cancel(a) })
		in.end(a.pending, outcomeLate, l.queue.RetryAfter(in.sim.time()))
		l.pump()
		return
	}
	l.retry(a)
}

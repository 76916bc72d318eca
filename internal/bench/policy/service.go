package policy

import (
	"math/rand/v2"
	"slices"
	"time"

	"savoryweir/internal/coordination/admission"
	"savoryweir/internal/coordination/limit"
	"savoryweir/internal/coordination/outlier"
	"savoryweir/internal/coordination/progress"
	"savoryweir/internal/coordination/retry"
	"savoryweir/internal/coordination/routing"
	"savoryweir/internal/coordination/suspect"
	"savoryweir/internal/state/bundle"
)

const (
	maxPlaceMisses = 16                    // requests passed over for one free place
	placesPeriod   = 50 * time.Millisecond // between two counts of free places
	unlimited      = 1 << 30
)

// serviceState holds what an instance keeps for one service.
type serviceState struct {
	in       *instance
	sim      *simulation
	spec     *ServiceSpec
	hosts    [][]int
	views    []*view
	queue    *admission.Queue
	budget   *retry.Budget
	pace     *admission.Estimator
	detector *outlier.Detector
	pending  map[admission.RequestID]*pending
	places   admission.Capacity
	placesAt time.Duration
}

func newServiceState(in *instance, service int) *serviceState {
	s := in.sim
	l := &serviceState{
		in: in, sim: s, spec: &s.scenario.Services[service], hosts: slices.Clone(s.hosts[service]),
		queue:    admission.New(admission.DefaultSettings(), rand.New(rand.NewPCG(s.scenario.Seed, uint64(1<<20+in.index)))),
		budget:   retry.NewBudget(s.policy.Retry),
		pace:     admission.NewEstimator(s.scenario.Services[service].step(0)),
		pending:  make(map[admission.RequestID]*pending),
		placesAt: -placesPeriod,
	}
	var ids []bundle.UpstreamID
	for _, e := range s.services[service] {
		l.views = append(l.views, newView(e, s.policy.Limits))
		ids = append(ids, e.id)
	}
	l.detector = outlier.New(outlier.DefaultSettings(), ids)
	return l
}

// offer queues the request, or sends it at once when the policy has no admission.
func (l *serviceState) offer(p *pending) {
	if l.decide(p.job).Verdict == suspect.Refuse {
		l.sim.result.refusedSuspect(p.job)
		l.in.end(p, outcomeRefused, time.Minute)
		return
	}
	if !l.sim.policy.Admission {
		l.sendNow(p)
		return
	}
	refusal, ok := l.queue.Offer(l.sim.time(), admission.Request{
		ID: p.id, Caller: p.job.caller, Class: p.job.class,
		Deadline: epoch.Add(p.job.deadline), ExpectedDuration: l.expect(p.job),
	})
	if !ok {
		l.in.end(p, outcomeRefused, refusal.RetryAfter)
		return
	}
	l.pending[p.id] = p
	l.pump()
}

// expect returns the time that the answer likely takes.
func (l *serviceState) expect(j *job) time.Duration {
	switch {
	case l.sim.policy.Optimist:
		return time.Duration(j.tokens * float64(l.spec.step(1)))
	case l.sim.policy.Exact:
		return l.pace.Estimate(j.tokens)
	case l.sim.policy.Progress && l.spec.Models > 0:
		return l.expectFastest(j)
	default:
		return l.pace.Estimate(j.estimated)
	}
}

func (l *serviceState) sendNow(p *pending) {
	e := l.pick(p)
	if e == nil {
		l.in.end(p, outcomeFailed, 0)
		return
	}
	l.send(p, e)
}

// pump sends waiting requests as long as there is room.
func (l *serviceState) pump() {
	for l.queue.Len() > 0 && l.sendNext() {
	}
}

func (l *serviceState) sendNext() bool {
	var target *engine
	misses := 0
	request, ok := l.queue.Take(l.sim.time(), l.countPlaces(), func(r admission.Request) bool {
		if misses >= maxPlaceMisses {
			return false
		}
		target = l.pick(l.pending[r.ID])
		if target == nil {
			misses++
		}
		return target != nil
	})
	if !ok {
		return false
	}
	p := l.pending[request.ID]
	delete(l.pending, request.ID)
	l.send(p, target)
	return true
}

func (l *serviceState) countPlaces() admission.Capacity {
	if l.sim.now-l.placesAt < placesPeriod {
		return l.places
	}
	l.placesAt = l.sim.now
	l.places = admission.Capacity{Instances: len(l.sim.instances)}
	for _, v := range l.views {
		if !v.downSince.IsZero() {
			continue
		}
		l.places.Total += l.spec.Slots
		l.places.Free += max(l.spec.Slots-v.estimate(l.sim.policy.Exact), 0)
	}
	return l.places
}

func (l *serviceState) decide(j *job) suspect.Decision {
	if !l.sim.policy.Suspects {
		return suspect.Decision{}
	}
	return l.in.suspects.Decide(l.sim.time(), j.print)
}

// pick returns the engine for the request, nil when none has room.
func (l *serviceState) pick(p *pending) *engine {
	decision := l.decide(p.job)
	if decision.Verdict >= suspect.Hold {
		return nil
	}
	request := routing.Request{
		Service: l.spec.Name, Model: p.job.modelID, Class: p.job.class,
		Deadline: epoch.Add(p.job.deadline), Tokens: p.job.estimated, PrefixHash: p.job.prefix, Fingerprint: p.job.print.Key(),
		Excluded: slices.Concat(p.excluded, decision.ExcludedUpstreams),
	}
	id, err := l.in.picker.Pick(l.sim.time(), request, l.candidates(p.job, decision.AllowedUpstreams))
	if err != nil {
		return nil
	}
	if decision.Verdict == suspect.Isolate && l.in.suspects.RunsSuspect(l.sim.time(), id) {
		return nil
	}
	i := slices.IndexFunc(l.views, func(v *view) bool { return v.engine.id == id })
	return l.views[i].engine
}

func (l *serviceState) candidates(j *job, only []bundle.UpstreamID) []routing.Candidate {
	hosts := l.hosts[j.model]
	candidates := make([]routing.Candidate, 0, len(hosts))
	for _, i := range hosts {
		v := l.views[i]
		if len(only) > 0 && !slices.Contains(only, v.engine.id) {
			continue
		}
		candidates = append(candidates, l.candidate(v))
	}
	return candidates
}

func (l *serviceState) candidate(v *view) routing.Candidate {
	c := routing.Candidate{
		Upstream: v.engine.id, Zone: v.engine.inZone, HasModel: true,
		InFlight: v.inFlight, Limit: v.limit(), Reported: v.reported,
		SentSinceReport: len(v.sent), BatchSize: l.spec.Slots,
		DownSince: v.downSince, Ejected: !v.downSince.IsZero(),
	}
	if l.sim.policy.Progress {
		c.TimePerToken = v.meter.PerToken(l.sim.time())
	}
	if l.sim.policy.Exact {
		c.Reported = v.engine.load()
		c.SentSinceReport = 0
		c.InFlight = 0
	}
	if l.sim.policy.Outlier {
		status := l.detector.Status(l.sim.time(), v.engine.id)
		c.Ejected = c.Ejected || status.Ejected
		c.RecoveryShare = status.RecoveryShare
	}
	return c
}

func (l *serviceState) send(p *pending, e *engine) {
	v := l.views[e.index]
	p.attempts++
	v.send(l.sim.now)
	l.in.suspects.AttemptStarted(p.job.print, e.id)
	a := &attempt{
		pending: p, job: p.job, instance: l.in, engine: e,
		sentAt: l.sim.now, expected: l.pace.Estimate(p.job.estimated), inFlight: v.inFlight, position: -1,
	}
	v.running = append(v.running, a)
	l.sim.result.Attempts++
	if l.sim.policy.Exact {
		e.arrive(a)
	} else {
		l.sim.after(l.sim.delay(l.in.zone, e.zone), func() { e.arriveUnlessLeft(a) })
	}
	l.sim.after(max(p.job.deadline-l.sim.now, p.job.timeout(p.attempts)), func() { l.in.timeOut(a) })
	if l.sim.policy.Outlier {
		l.watch(a)
	}
}

// watch fails the attempt when its engine makes no progress.
func (l *serviceState) watch(a *attempt) {
	l.sim.after(progressTimeout, func() {
		if a.ended {
			return
		}
		if !a.engine.hung {
			l.watch(a)
			return
		}
		l.endAttempt(a, false)
		a.engine.cancel(a)
		l.retry(a)
		l.pump()
	})
}

func (l *serviceState) endAttempt(a *attempt, completed bool) {
	now := l.sim.time()
	a.ended = true
	l.views[a.engine.index].end(now, a, completed, l.sim.now)
	l.views[a.engine.index].forget(a)
	l.queue.Done(a.pending.id)
	l.detector.Observe(now, a.engine.id, outlier.Result{
		Failed:   !completed,
		Slowness: float64(l.sim.now-a.sentAt) / float64(a.expected),
	})
	if completed {
		l.pace.Observe(a.job.estimated, l.sim.now-a.sentAt)
	}
	if record, ok := l.in.suspects.AttemptEnded(now, a.job.print, a.engine.id, completed); ok {
		l.sim.spread(l.in, []suspect.Record{record})
	}
}

// retry repeats a failed attempt within the budget.
func (l *serviceState) retry(a *attempt) {
	p := a.pending
	settings := l.sim.policy.Retry
	if p.attempts >= settings.MaxAttempts || (l.sim.policy.RetryBudget && !l.budget.Spend(p.attempts+1)) {
		l.in.end(p, outcomeFailed, l.sim.resendDelay(l.in))
		return
	}
	l.sim.result.Retries++
	p.excluded = []bundle.UpstreamID{a.engine.id}
	l.sim.after(retry.Backoff(settings, p.attempts+1, l.in.rand), func() { l.offer(p) })
}

func (l *serviceState) tick() {
	for _, refusal := range l.queue.Expire(l.sim.time()) {
		p := l.pending[refusal.Request.ID]
		delete(l.pending, refusal.Request.ID)
		l.in.end(p, outcomeRefused, refusal.RetryAfter)
	}
	if l.sim.policy.Progress && l.spec.Models > 0 {
		l.followStreams()
	}
	l.pump()
}

// view is what an instance knows of one engine.
type view struct {
	engine    *engine
	inFlight  int
	reported  routing.Load
	sent      []time.Duration // after the report was made
	limiter   *limit.Limiter
	downSince time.Time
	meter     *progress.Meter
	running   []*attempt
}

func newView(e *engine, limits bool) *view {
	v := &view{engine: e, meter: progress.New(progress.DefaultSettings())}
	if limits {
		settings := limit.DefaultSettings()
		settings.Initial = e.spec.Slots
		settings.Max = 2 * e.spec.Slots
		v.limiter = limit.New(settings)
	}
	return v
}

func (v *view) limit() int {
	if v.limiter == nil {
		return unlimited
	}
	return v.limiter.Limit()
}

func (v *view) estimate(exact bool) int {
	if exact {
		return len(v.engine.batch) + v.engine.waitingCount()
	}
	return max(v.reported.Running+v.reported.Waiting+len(v.sent), v.inFlight)
}

func (v *view) send(now time.Duration) {
	v.inFlight++
	v.sent = append(v.sent, now)
}

func (v *view) end(now time.Time, a *attempt, completed bool, at time.Duration) {
	v.inFlight--
	if v.limiter == nil || !completed {
		return
	}
	v.limiter.Observe(now, limit.Sample{
		Duration: at - a.sentAt, ExpectedDuration: a.expected, InFlight: a.inFlight,
	})
}

// learn takes in a report unless a later one is known.
func (v *view) learn(load routing.Load) {
	if load.ReportedAt.Before(v.reported.ReportedAt) {
		return
	}
	v.reported = load
	made := load.ReportedAt.Sub(epoch)
	v.sent = slices.DeleteFunc(v.sent, func(at time.Duration) bool { return at <= made })
}

func (v *view) markDown(now time.Time) {
	if v.downSince.IsZero() {
		v.downSince = now
	}
}

// timeout is the time allowed to an attempt after the deadline has passed.
func (j *job) timeout(attempts int) time.Duration {
	if attempts <= 1 {
		return 0
	}
	return j.allowed
}

func (s *simulation) resendDelay(in *instance) time.Duration {
	if !s.policy.RetryBudget {
		return 0
	}
	return time.Second + time.Duration(in.rand.Int64N(int64(time.Second)))
}

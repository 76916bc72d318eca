package policy

import (
	"slices"
	"time"

	"savoryweir/internal/coordination/progress"
)

// expectFastest returns the time of the answer at the fastest engine that has the model.
func (l *serviceState) expectFastest(j *job) time.Duration {
	var meters []*progress.Meter
	for _, i := range l.hosts[j.model] {
		if l.views[i].downSince.IsZero() {
			meters = append(meters, l.views[i].meter)
		}
	}
	if len(meters) == 0 {
		return l.pace.Estimate(j.estimated)
	}
	perToken := progress.FastestPerToken(l.sim.time(), meters, l.spec.step(0))
	return time.Duration(j.estimated * float64(perToken))
}

// followStreams reads how far each stream is, and gives up those that will be late.
func (l *serviceState) followStreams() {
	now := l.sim.time()
	for _, v := range l.views {
		for _, a := range v.running {
			v.meter.Observe(now, &a.stream, a.tokens())
		}
		for _, a := range slices.Clone(v.running) {
			if v.meter.IsLate(now, &a.stream, a.job.estimated, epoch.Add(a.job.deadline)) {
				l.in.timeOut(a)
			}
		}
	}
}

// tokens returns how many tokens of the answer the engine has sent. The way to
// the instance is much shorter than a tick.
func (a *attempt) tokens() float64 {
	if a.left || a.position < 0 {
		return 0
	}
	return max(a.job.tokens-(a.lastStep-a.engine.presentSteps()), 0)
}

func (v *view) forget(a *attempt) {
	v.running = slices.DeleteFunc(v.running, func(b *attempt) bool { return a == b })
}

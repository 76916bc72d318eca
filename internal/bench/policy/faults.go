package policy

import (
	"time"

	"savoryweir/internal/coordination/suspect"
)

const (
	flapDown   = 2 * time.Second
	flapPeriod = 6 * time.Second
)

func (s *simulation) startFaults() {
	for _, f := range s.scenario.Faults {
		for _, e := range s.struck(f) {
			s.after(f.Start, func() { s.strike(f, e) })
		}
	}
}

// struck returns the engines that the fault strikes.
func (s *simulation) struck(f Fault) []*engine {
	var struck []*engine
	for i, spec := range s.scenario.Services {
		if spec.Name != f.Service {
			continue
		}
		count := int(f.Share*float64(spec.Engines) + 0.5)
		for _, e := range s.services[i] {
			if f.Zone > 0 && e.zone != f.Zone-1 {
				continue
			}
			if len(struck) < count {
				struck = append(struck, e)
			}
		}
	}
	return struck
}

func (s *simulation) strike(f Fault, e *engine) {
	switch f.Kind {
	case FaultSlow:
		e.setFault(func() { e.slowdown = f.Slowdown })
		s.after(f.Duration, func() { e.setFault(func() { e.slowdown = 1 }) })
	case FaultHung:
		e.setFault(func() { e.hung = true })
		s.after(f.Duration, func() { e.setFault(func() { e.hung = false }) })
	case FaultFailing:
		e.failing = true
		s.after(f.Duration, func() { e.failing = false })
	case FaultDown:
		e.die()
		s.after(f.Duration, e.restart)
	case FaultFlapping:
		s.flap(e, s.now+f.Duration)
	}
}

func (s *simulation) flap(e *engine, until time.Duration) {
	if s.now >= until {
		return
	}
	e.die()
	s.after(flapDown, e.restart)
	s.after(flapPeriod, func() { s.flap(e, until) })
}

// crash kills the engine that started the crashing request.
func (s *simulation) crash(e *engine) {
	s.crashedBy[e.id] = true
	s.result.Crashes++
	s.result.CrashedUpstreams = len(s.crashedBy)
	s.after(0, func() {
		if e.down {
			return
		}
		e.die()
		s.after(s.scenario.Crash.Restart, e.restart)
	})
}

// startCrash sends the crashing request again and again, to several entries at once.
func (s *simulation) startCrash() {
	spec := s.scenario.Crash
	for i, service := range s.scenario.Services {
		if service.Name != spec.Service {
			continue
		}
		template := newDemand(&s.scenario, i).next(0)
		template.crash = true
		template.model = 0 // the model with the most replicas
		template.modelID = modelName(i, template.model)
		template.print = suspect.FingerprintOf(spec.Service, []byte("crash"))
		template.counted = false
		s.after(spec.Start, func() {
			s.sendCrash(*template)
			s.every(spec.Every, func() { s.sendCrash(*template) })
		})
	}
}

func (s *simulation) sendCrash(template job) {
	first := s.rand.IntN(len(s.instances))
	for i := range s.scenario.Crash.AtOnce {
		j := template
		j.arrive(s.now)
		s.instances[(first+i)%len(s.instances)].receive(&j)
	}
}

package policy

import (
	"slices"
	"time"

	"savoryweir/internal/coordination/routing"
	"savoryweir/internal/state/bundle"
)

type outcome int

const (
	outcomeDone outcome = iota
	outcomeLate
	outcomeRefused
	outcomeFull
	outcomeFailed
	outcomeCount
)

// ClassResult counts the requests of one class of a service by their end.
type ClassResult struct {
	Service bundle.ServiceName
	Class   routing.Class
	Ended   [outcomeCount]int
}

// Total returns the requests that ended.
func (c ClassResult) Total() int {
	sum := 0
	for _, n := range c.Ended {
		sum += n
	}
	return sum
}

// Met returns the requests that met their deadline.
func (c ClassResult) Met() int { return c.Ended[outcomeDone] }

// Attainment returns the share of requests that met their deadline.
func (c ClassResult) Attainment() float64 {
	if c.Total() == 0 {
		return 1
	}
	return float64(c.Ended[outcomeDone]) / float64(c.Total())
}

// Result holds the figures of one run.
type Result struct {
	Scenario string
	Policy   string
	Classes  []ClassResult
	// Timeline is the attainment of the class now of the first service by arrival second.
	Timeline []Second
	// Zones is the attainment of the class now of the first service by the zone of
	// the instance, for requests that arrive during a fault.
	Zones []Second

	Attempts         int
	Retries          int
	Resends          int
	Messages         int
	Bytes            int
	Crashes          int
	CrashedUpstreams int
	InnocentRefused  int
	Dropped          int // attempts that an unload ended

	exact        bool
	accelerators int
	instances    int
	duration     time.Duration
	warmup       time.Duration
	workDone     float64
	firstDone    float64 // part of workDone of the first service
	firstMax     float64 // what the first service's engines can do in the run
	workWasted   float64
	hits, misses int
	open         []*job
}

// Second counts the requests that arrived within one second.
type Second struct{ Met, Total int }

func newResult(s Scenario, p Policy) *Result {
	r := &Result{Scenario: s.Name, Policy: p.Name, exact: p.Exact, instances: s.Instances, duration: s.Duration, warmup: s.Warmup}
	r.Zones = make([]Second, s.Zones)
	first := s.Services[0]
	r.firstMax = float64(first.Engines) * first.capacity() * s.Duration.Seconds()
	r.Timeline = make([]Second, int(s.Duration/time.Second)+1)
	for _, spec := range s.Services {
		if spec.Models > 0 {
			r.accelerators += spec.Engines * s.Accelerators
		}
		for _, c := range spec.Classes {
			r.Classes = append(r.Classes, ClassResult{Service: spec.Name, Class: c.Class})
		}
	}
	return r
}

func (r *Result) arrived(j *job) {
	if j.counted {
		r.open = append(r.open, j)
	}
}

func (r *Result) finish(j *job, o outcome) {
	j.finished = true
	if !j.counted {
		return
	}
	c := r.class(j)
	c.Ended[o]++
	if j.service != 0 || j.class != routing.ClassNow {
		return
	}
	r.Timeline[int(j.arrived/time.Second)].add(o)
	if j.arrived >= faultStart && j.arrived < faultStart+faultDuration {
		r.Zones[j.zone].add(o)
	}
}

func (s *Second) add(o outcome) {
	s.Total++
	if o == outcomeDone {
		s.Met++
	}
}

func (r *Result) class(j *job) *ClassResult {
	// Services come in order, each with its own classes.
	service := -1
	last := bundle.ServiceName("")
	i := slices.IndexFunc(r.Classes, func(c ClassResult) bool {
		if c.Service != last {
			service++
			last = c.Service
		}
		return service == j.service && c.Class == j.class
	})
	return &r.Classes[i]
}

func (r *Result) refusedSuspect(j *job) {
	if !j.crash {
		r.InnocentRefused++
	}
}

func (r *Result) message(bytes int) {
	r.Messages++
	r.Bytes += bytes
}

// Attainment returns the share of requests of a service that met their deadline.
func (r *Result) Attainment(service bundle.ServiceName) float64 {
	met, total := 0, 0
	for _, c := range r.Classes {
		if c.Service == service {
			met += c.Ended[outcomeDone]
			total += c.Total()
		}
	}
	return ratio(met, total)
}

// AttainmentPerAccelerator returns the attainment of the services with models, in
// per cent of their requests for each accelerator.
func (r *Result) AttainmentPerAccelerator() float64 {
	return 100 * r.Attainment(r.Classes[0].Service) / float64(max(r.accelerators, 1))
}

// Window returns the attainment of requests that arrived between two times.
func (r *Result) Window(from, to time.Duration) float64 {
	met, total := 0, 0
	for _, s := range r.Timeline[int(from/time.Second):int(to/time.Second)] {
		met += s.Met
		total += s.Total
	}
	return ratio(met, total)
}

// Wasted returns the share of the engines' work that brought no answer in time.
func (r *Result) Wasted() float64 {
	if r.workDone == 0 {
		return 0
	}
	return r.workWasted / r.workDone
}

func (r *Result) work(service int, steps float64) {
	r.workDone += steps
	if service == 0 {
		r.firstDone += steps
	}
}

// Used returns the share of the first service's capacity that did work.
func (r *Result) Used() float64 { return r.firstDone / r.firstMax }

// HitRate returns the share of prefixes found in the caches.
func (r *Result) HitRate() float64 { return ratio(r.hits, r.hits+r.misses) }

// MessagesPerInstance returns the messages a second of each instance.
func (r *Result) MessagesPerInstance() float64 {
	return float64(r.Messages) / float64(r.instances) / r.duration.Seconds()
}

// BytesPerInstance returns the bytes a second of each instance.
func (r *Result) BytesPerInstance() float64 {
	return float64(r.Bytes) / float64(r.instances) / r.duration.Seconds()
}

func ratio(part, whole int) float64 {
	if whole == 0 {
		return 1
	}
	return float64(part) / float64(whole)
}

// Package outlier takes failing and slow upstreams out of the choice and brings
// them back in steps.
//
// An entry keeps one Detector for each service. It calls Observe when an attempt
// ends and passes Status to routing as Candidate.Ejected and RecoveryShare. A
// share of the upstreams is always kept: when most of them fail, the fault is the
// service's own, and taking out more would only move the load to the rest.
package outlier

import (
	"context"
	"slices"
	"time"

	"github.com/looplab/fsm"

	"savoryweir/internal/state/bundle"
)

// Settings are the settings of a Detector.
type Settings struct {
	ConsecutiveFailures  int           // failures in a row that eject
	FailureRateThreshold float64       // share of the mean outcome that ejects
	MinSamples           int           // attempts before the rate or the speed counts
	SlownessThreshold    float64       // mean time relative to the median upstream that ejects
	MinAvailableShare    float64       // share of the upstreams that is never ejected
	BaseEjectionTime     time.Duration // first ejection, doubled for each further one
	MaxEjectionTime      time.Duration
	RecoverySteps        []float64 // shares of normal load
	RecoveryStepTime     time.Duration
}

// DefaultSettings returns the settings to start from.
func DefaultSettings() Settings {
	return Settings{
		ConsecutiveFailures:  5,
		FailureRateThreshold: 0.5,
		MinSamples:           20,
		SlownessThreshold:    3,
		MinAvailableShare:    0.5,
		BaseEjectionTime:     2 * time.Second,
		MaxEjectionTime:      4 * time.Second,
		RecoverySteps:        []float64{0.1, 0.25, 0.5},
		RecoveryStepTime:     time.Second,
	}
}

const meanWeight = 0.1 // of the latest attempt in the means

const (
	stateHealthy    = "healthy"
	stateEjected    = "ejected"
	stateRecovering = "recovering"

	eventEject   = "eject"
	eventAdmit   = "admit"
	eventRecover = "recover"
)

// Result is one ended attempt.
type Result struct {
	Failed bool
	// Slowness is the time taken relative to the expected one, zero when unknown.
	Slowness float64
}

// Status is what routing does with an upstream.
type Status struct {
	Ejected       bool
	RecoveryShare float64 // zero for all
}

// Detector judges the upstreams of one service.
type Detector struct {
	settings  Settings
	upstreams map[bundle.UpstreamID]*record
	median    float64 // of the slowness of all upstreams, computed when needed
}

// record is what the detector knows of one upstream. Most upstreams never leave
// the healthy state, so their lifecycle is made at the first ejection.
type record struct {
	lifecycle   *fsm.FSM
	since       time.Time // start of the present state
	ejections   int
	inRow       int
	samples     int
	failureRate float64
	slowness    float64
}

// New returns a detector for the given upstreams.
func New(settings Settings, upstreams []bundle.UpstreamID) *Detector {
	d := &Detector{settings: settings, upstreams: make(map[bundle.UpstreamID]*record)}
	d.SetUpstreams(upstreams)
	return d
}

// SetUpstreams adds and removes upstreams after a change of configuration.
func (d *Detector) SetUpstreams(upstreams []bundle.UpstreamID) {
	for id := range d.upstreams {
		if !slices.Contains(upstreams, id) {
			delete(d.upstreams, id)
		}
	}
	for _, id := range upstreams {
		if d.upstreams[id] == nil {
			d.upstreams[id] = &record{}
		}
	}
}

func newLifecycle() *fsm.FSM {
	return fsm.NewFSM(stateHealthy, fsm.Events{
		{Name: eventEject, Src: []string{stateHealthy, stateRecovering}, Dst: stateEjected},
		{Name: eventAdmit, Src: []string{stateEjected}, Dst: stateRecovering},
		{Name: eventRecover, Src: []string{stateRecovering}, Dst: stateHealthy},
	}, nil)
}

// Observe records an ended attempt.
func (d *Detector) Observe(now time.Time, upstream bundle.UpstreamID, result Result) {
	r := d.upstreams[upstream]
	if r == nil {
		return
	}
	d.advance(now, r)
	r.observe(result)
	if r.is(stateEjected) || !d.isOutlier(r) || !d.mayEject(now) {
		return
	}
	r.ejections++
	r.enter(now, eventEject)
}

// Status returns how routing may use the upstream.
func (d *Detector) Status(now time.Time, upstream bundle.UpstreamID) Status {
	r := d.upstreams[upstream]
	if r == nil {
		return Status{}
	}
	d.advance(now, r)
	switch r.state() {
	case stateEjected:
		return Status{Ejected: true}
	case stateRecovering:
		return Status{RecoveryShare: d.settings.RecoverySteps[d.step(now, r)]}
	default:
		return Status{}
	}
}

// advance moves the record through the states that depend on time alone.
func (d *Detector) advance(now time.Time, r *record) {
	if r.is(stateEjected) && now.Sub(r.since) >= d.ejectFor(r) {
		r.enter(now, eventAdmit)
	}
	if r.is(stateRecovering) && d.step(now, r) >= len(d.settings.RecoverySteps) {
		r.enter(now, eventRecover)
	}
	if r.is(stateHealthy) && now.Sub(r.since) > 2*d.settings.MaxEjectionTime {
		r.ejections = 0
	}
}

func (d *Detector) step(now time.Time, r *record) int {
	return int(now.Sub(r.since) / d.settings.RecoveryStepTime)
}

func (d *Detector) ejectFor(r *record) time.Duration {
	period := d.settings.BaseEjectionTime
	for range r.ejections - 1 {
		period = min(2*period, d.settings.MaxEjectionTime)
	}
	return period
}

func (d *Detector) isOutlier(r *record) bool {
	if r.inRow >= d.settings.ConsecutiveFailures || (r.is(stateRecovering) && r.inRow > 0) {
		return true
	}
	if r.samples < d.settings.MinSamples {
		return false
	}
	return r.failureRate >= d.settings.FailureRateThreshold || d.isSlow(r)
}

// mayEject reports whether one more ejection leaves the floor of kept upstreams.
func (d *Detector) mayEject(now time.Time) bool {
	kept := 0
	for _, r := range d.upstreams {
		d.advance(now, r)
		if !r.is(stateEjected) {
			kept++
		}
	}
	floor := max(d.settings.MinAvailableShare*float64(len(d.upstreams)), 1)
	return float64(kept-1) >= floor
}

// isSlow compares with the last median, and with a fresh one before it says yes.
func (d *Detector) isSlow(r *record) bool {
	if r.slowness <= d.settings.SlownessThreshold*d.median {
		return false
	}
	d.median = d.computeMedian()
	return r.slowness > d.settings.SlownessThreshold*d.median
}

func (d *Detector) computeMedian() float64 {
	values := make([]float64, 0, len(d.upstreams))
	for _, r := range d.upstreams {
		if r.slowness > 0 {
			values = append(values, r.slowness)
		}
	}
	slices.Sort(values)
	return values[len(values)/2]
}

func (r *record) state() string {
	if r.lifecycle == nil {
		return stateHealthy
	}
	return r.lifecycle.Current()
}

func (r *record) is(state string) bool { return r.state() == state }

func (r *record) observe(result Result) {
	r.samples++
	failed := 0.0
	r.inRow++
	if result.Failed {
		failed = 1
	} else {
		r.inRow = 0
	}
	r.failureRate += meanWeight * (failed - r.failureRate)
	switch {
	case result.Slowness <= 0:
	case r.slowness == 0:
		r.slowness = result.Slowness
	default:
		r.slowness += meanWeight * (result.Slowness - r.slowness)
	}
}

// enter changes the state and forgets the samples of the last one.
func (r *record) enter(now time.Time, event string) {
	if r.lifecycle == nil {
		r.lifecycle = newLifecycle()
	}
	if err := r.lifecycle.Event(context.Background(), event); err != nil {
		return
	}
	r.since = now
	r.inRow = 0
	r.samples = 0
	r.failureRate = 0
	r.slowness = 0
}

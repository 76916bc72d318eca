// Package outlier ejects failing and slow upstreams from load balancing and restores
// them in steps.
//
// An entry process keeps one Detector for each service. It calls Observe when an attempt
// ends and passes Status to routing as Candidate.Ejected and Candidate.RecoveryShare. A
// share of the upstreams is never ejected: if most of them fail, the fault lies in the
// service itself, and further ejections would only move the load to the rest.
package outlier

import (
	"context"
	"slices"
	"time"

	"github.com/looplab/fsm"

	"savoryweir/internal/state/bundle"
)

// Settings configures a Detector.
type Settings struct {
	ConsecutiveFailures  int           // number of failures in a row after which an upstream is ejected
	FailureRateThreshold float64       // average failure rate from which on an upstream is ejected
	MinSamples           int           // number of attempts before failure rate and slowness count
	SlownessThreshold    float64       // multiple of the median slowness above which an upstream is ejected
	MinAvailableShare    float64       // share of the upstreams that is never ejected
	BaseEjectionTime     time.Duration // length of the first ejection, doubled for each further one
	MaxEjectionTime      time.Duration
	RecoverySteps        []float64     // shares of normal load after an ejection, in order
	RecoveryStepTime     time.Duration // duration of each recovery step
}

// DefaultSettings returns the default settings.
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

// smoothing is the weight of the latest attempt in the moving averages.
const smoothing = 0.1

const (
	stateHealthy    = "healthy"
	stateEjected    = "ejected"
	stateRecovering = "recovering"

	eventEject   = "eject"
	eventAdmit   = "admit"
	eventRecover = "recover"
)

// Result describes an attempt that has ended.
type Result struct {
	Failed bool
	// Slowness is the duration relative to the expected duration, or zero if unknown.
	Slowness float64
}

// Status states how much load routing may send to an upstream.
type Status struct {
	Ejected       bool
	RecoveryShare float64 // share of normal load while the upstream recovers, zero if unrestricted
}

// Detector detects outliers among the upstreams of one service. It is not safe for
// concurrent use.
type Detector struct {
	settings       Settings
	upstreams      map[bundle.UpstreamID]*upstreamRecord
	medianSlowness float64 // median over all upstreams, recomputed on demand
}

// upstreamRecord holds the state and the samples of one upstream. Most upstreams never
// leave the healthy state, so the state machine is created at the first ejection.
type upstreamRecord struct {
	lifecycle           *fsm.FSM
	stateSince          time.Time // when the upstream entered its current state
	ejections           int
	consecutiveFailures int
	samples             int
	failureRate         float64
	slowness            float64
}

// New returns a detector for the given upstreams.
func New(settings Settings, upstreams []bundle.UpstreamID) *Detector {
	d := &Detector{settings: settings, upstreams: make(map[bundle.UpstreamID]*upstreamRecord)}
	d.SetUpstreams(upstreams)
	return d
}

// SetUpstreams replaces the set of upstreams after a change of configuration. The
// records of upstreams that stay are kept.
func (d *Detector) SetUpstreams(upstreams []bundle.UpstreamID) {
	for id := range d.upstreams {
		if !slices.Contains(upstreams, id) {
			delete(d.upstreams, id)
		}
	}
	for _, id := range upstreams {
		if d.upstreams[id] == nil {
			d.upstreams[id] = &upstreamRecord{}
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

// Observe records an attempt that has ended and ejects the upstream if it is an outlier.
// Attempts at unknown upstreams are ignored.
func (d *Detector) Observe(now time.Time, upstream bundle.UpstreamID, result Result) {
	r := d.upstreams[upstream]
	if r == nil {
		return
	}
	d.advance(now, r)
	r.observe(result)
	if r.is(stateEjected) || !d.isOutlier(r) || !d.allowsEjection(now) {
		return
	}
	r.ejections++
	r.transition(now, eventEject)
}

// Status returns the current status of the upstream. An unknown upstream has no restriction.
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
		return Status{RecoveryShare: d.settings.RecoverySteps[d.recoveryStep(now, r)]}
	default:
		return Status{}
	}
}

// advance makes the state transitions that depend on time alone, and resets the number
// of ejections of an upstream that has stayed healthy for twice the longest ejection.
func (d *Detector) advance(now time.Time, r *upstreamRecord) {
	if r.is(stateEjected) && now.Sub(r.stateSince) >= d.ejectionTime(r) {
		r.transition(now, eventAdmit)
	}
	if r.is(stateRecovering) && d.recoveryStep(now, r) >= len(d.settings.RecoverySteps) {
		r.transition(now, eventRecover)
	}
	if r.is(stateHealthy) && now.Sub(r.stateSince) > 2*d.settings.MaxEjectionTime {
		r.ejections = 0
	}
}

// recoveryStep returns the index of the current recovery step.
func (d *Detector) recoveryStep(now time.Time, r *upstreamRecord) int {
	return int(now.Sub(r.stateSince) / d.settings.RecoveryStepTime)
}

// ejectionTime returns the length of the latest ejection of the upstream.
func (d *Detector) ejectionTime(r *upstreamRecord) time.Duration {
	period := d.settings.BaseEjectionTime
	for range r.ejections - 1 {
		period = min(2*period, d.settings.MaxEjectionTime)
	}
	return period
}

// isOutlier reports whether the upstream is to be ejected. During recovery a single
// failure suffices.
func (d *Detector) isOutlier(r *upstreamRecord) bool {
	if r.consecutiveFailures >= d.settings.ConsecutiveFailures || (r.is(stateRecovering) && r.consecutiveFailures > 0) {
		return true
	}
	if r.samples < d.settings.MinSamples {
		return false
	}
	return r.failureRate >= d.settings.FailureRateThreshold || d.isSlow(r)
}

// allowsEjection reports whether enough upstreams stay available after one more ejection.
func (d *Detector) allowsEjection(now time.Time) bool {
	available := 0
	for _, r := range d.upstreams {
		d.advance(now, r)
		if !r.is(stateEjected) {
			available++
		}
	}
	minAvailable := max(d.settings.MinAvailableShare*float64(len(d.upstreams)), 1)
	return float64(available-1) >= minAvailable
}

// isSlow compares the upstream with the last computed median, and recomputes the median
// for a second comparison before it returns true.
func (d *Detector) isSlow(r *upstreamRecord) bool {
	if r.slowness <= d.settings.SlownessThreshold*d.medianSlowness {
		return false
	}
	d.medianSlowness = d.computeMedianSlowness()
	return r.slowness > d.settings.SlownessThreshold*d.medianSlowness
}

func (d *Detector) computeMedianSlowness() float64 {
	values := make([]float64, 0, len(d.upstreams))
	for _, r := range d.upstreams {
		if r.slowness > 0 {
			values = append(values, r.slowness)
		}
	}
	slices.Sort(values)
	return values[len(values)/2]
}

func (r *upstreamRecord) state() string {
	if r.lifecycle == nil {
		return stateHealthy
	}
	return r.lifecycle.Current()
}

func (r *upstreamRecord) is(state string) bool { return r.state() == state }

// observe adds an attempt to the samples. The first known slowness starts its average.
func (r *upstreamRecord) observe(result Result) {
	r.samples++
	failed := 0.0
	r.consecutiveFailures++
	if result.Failed {
		failed = 1
	} else {
		r.consecutiveFailures = 0
	}
	r.failureRate += smoothing * (failed - r.failureRate)
	switch {
	case result.Slowness <= 0:
	case r.slowness == 0:
		r.slowness = result.Slowness
	default:
		r.slowness += smoothing * (result.Slowness - r.slowness)
	}
}

// transition changes the state and discards the samples of the previous state.
func (r *upstreamRecord) transition(now time.Time, event string) {
	if r.lifecycle == nil {
		r.lifecycle = newLifecycle()
	}
	if err := r.lifecycle.Event(context.Background(), event); err != nil {
		return
	}
	r.stateSince = now
	r.consecutiveFailures = 0
	r.samples = 0
	r.failureRate = 0
	r.slowness = 0
}

package outlier

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"savoryweir/internal/state/bundle"
)

var startTime = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

var upstreams = []bundle.UpstreamID{"a", "b", "c", "d"}

// observeTimes records the result n times.
func observeTimes(d *Detector, now time.Time, id bundle.UpstreamID, n int, result Result) {
	for range n {
		d.Observe(now, id, result)
	}
}

func TestEjectedUpstreamRecoversInSteps(t *testing.T) {
	d := New(DefaultSettings(), upstreams)
	observeTimes(d, startTime, "a", 5, Result{Failed: true})
	for _, step := range []struct {
		after time.Duration
		want  Status
	}{
		{0, Status{Ejected: true}},
		{1999 * time.Millisecond, Status{Ejected: true}},
		{2000 * time.Millisecond, Status{RecoveryShare: 0.1}},
		{3000 * time.Millisecond, Status{RecoveryShare: 0.25}},
		{4000 * time.Millisecond, Status{RecoveryShare: 0.5}},
		{5000 * time.Millisecond, Status{}},
	} {
		assert.Equal(t, d.Status(startTime.Add(step.after), "a"), step.want, "after %v", step.after)
	}
}

func TestFailureDuringRecoveryDoublesEjectionTime(t *testing.T) {
	d := New(DefaultSettings(), upstreams)
	observeTimes(d, startTime, "a", 5, Result{Failed: true})
	now := startTime.Add(2 * time.Second)
	assert.Assert(t, !d.Status(now, "a").Ejected)
	d.Observe(now, "a", Result{Failed: true})
	assert.Assert(t, d.Status(now.Add(3*time.Second), "a").Ejected)
	assert.Assert(t, !d.Status(now.Add(4*time.Second), "a").Ejected)
}

// If all upstreams fail, the fault lies in the service, and ejecting all of them would
// leave it without capacity.
func TestMinAvailableShareIsNotEjected(t *testing.T) {
	d := New(DefaultSettings(), upstreams)
	available := 0
	for _, id := range upstreams {
		observeTimes(d, startTime, id, 50, Result{Failed: true})
	}
	for _, id := range upstreams {
		if !d.Status(startTime, id).Ejected {
			available++
		}
	}
	assert.Equal(t, available, 2)
}

func TestSlowUpstreamIsEjected(t *testing.T) {
	d := New(DefaultSettings(), upstreams)
	for _, id := range upstreams {
		observeTimes(d, startTime, id, 30, Result{Slowness: 1})
	}
	observeTimes(d, startTime, "b", 30, Result{Slowness: 5})
	assert.Assert(t, d.Status(startTime, "b").Ejected)
	assert.Assert(t, !d.Status(startTime, "a").Ejected)
}

// Slowness is compared with the median upstream, so a slow service as a whole must not
// lose upstreams.
func TestUniformlySlowUpstreamsAreNotEjected(t *testing.T) {
	d := New(DefaultSettings(), upstreams)
	for range 50 {
		for _, id := range upstreams {
			d.Observe(startTime, id, Result{Slowness: 8})
		}
	}
	for _, id := range upstreams {
		assert.Assert(t, !d.Status(startTime, id).Ejected)
	}
}

func TestRecordOfRemovedUpstreamIsDiscarded(t *testing.T) {
	d := New(DefaultSettings(), upstreams)
	observeTimes(d, startTime, "a", 5, Result{Failed: true})
	d.SetUpstreams([]bundle.UpstreamID{"b"})
	d.SetUpstreams(upstreams)
	assert.Equal(t, d.Status(startTime, "a"), Status{})
}

package outlier

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"savoryweir/internal/state/bundle"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

var upstreams = []bundle.UpstreamID{"a", "b", "c", "d"}

func observe(d *Detector, now time.Time, id bundle.UpstreamID, n int, result Result) {
	for range n {
		d.Observe(now, id, result)
	}
}

func TestFailingUpstreamComesBackInSteps(t *testing.T) {
	d := New(DefaultSettings(), upstreams)
	observe(d, start, "a", 5, Result{Failed: true})
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
		assert.Equal(t, d.Status(start.Add(step.after), "a"), step.want, "after %v", step.after)
	}
}

func TestFailureDuringRecoveryEjectsForLonger(t *testing.T) {
	d := New(DefaultSettings(), upstreams)
	observe(d, start, "a", 5, Result{Failed: true})
	now := start.Add(2 * time.Second)
	assert.Assert(t, !d.Status(now, "a").Ejected)
	d.Observe(now, "a", Result{Failed: true})
	assert.Assert(t, d.Status(now.Add(3*time.Second), "a").Ejected)
	assert.Assert(t, !d.Status(now.Add(4*time.Second), "a").Ejected)
}

func TestFloorOfUpstreamsIsKept(t *testing.T) {
	d := New(DefaultSettings(), upstreams)
	kept := 0
	for _, id := range upstreams {
		observe(d, start, id, 50, Result{Failed: true})
	}
	for _, id := range upstreams {
		if !d.Status(start, id).Ejected {
			kept++
		}
	}
	assert.Equal(t, kept, 2)
}

func TestSlowUpstreamIsEjected(t *testing.T) {
	d := New(DefaultSettings(), upstreams)
	for _, id := range upstreams {
		observe(d, start, id, 30, Result{Slowness: 1})
	}
	observe(d, start, "b", 30, Result{Slowness: 5})
	assert.Assert(t, d.Status(start, "b").Ejected)
	assert.Assert(t, !d.Status(start, "a").Ejected)
}

func TestSlowServiceEjectsNone(t *testing.T) {
	d := New(DefaultSettings(), upstreams)
	for range 50 {
		for _, id := range upstreams {
			d.Observe(start, id, Result{Slowness: 8})
		}
	}
	for _, id := range upstreams {
		assert.Assert(t, !d.Status(start, id).Ejected)
	}
}

func TestRemovedUpstreamIsForgotten(t *testing.T) {
	d := New(DefaultSettings(), upstreams)
	observe(d, start, "a", 5, Result{Failed: true})
	d.SetUpstreams([]bundle.UpstreamID{"b"})
	d.SetUpstreams(upstreams)
	assert.Equal(t, d.Status(start, "a"), Status{})
}

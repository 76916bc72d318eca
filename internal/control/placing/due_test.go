package placing

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"savoryweir/internal/standin/weights"
	"savoryweir/internal/state/bundle"
)

// asked counts the reports that all engines were asked for during a time.
func (r *reachWorld) asked(d time.Duration) int {
	before := r.seen.reports
	r.run(d)
	return r.seen.reports - before
}

// An engine at rest is asked once each report interval, which leaves time to notice its loss.
func TestBoundReportsOfEnginesAtRest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newReachWorld(6, 12, true, true)
		const rest = time.Minute
		most := len(r.engines) * int(rest/r.settings.reportInterval()+1)
		got := r.asked(rest)
		t.Logf("%d reports of %d engines in %s, bound %d", got, len(r.engines), rest, most)
		assert.Assert(t, got <= most, "%d reports, bound %d", got, most)
		assert.Equal(t, r.settings.reportInterval(), 2*time.Second)
	})
}

// While one engine does not answer, the others are not asked more often for it.
func TestBoundReportsWhileOneEngineIsDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newReachWorld(6, 12, true, true)
		r.down[0] = true
		r.run(time.Minute) // its models are elsewhere
		const rest = time.Minute
		most := (len(r.engines) - 1) * int(rest/r.settings.reportInterval()+1)
		got := r.asked(rest)
		t.Logf("%d reports in %s, bound %d", got, rest, most)
		assert.Assert(t, got <= most, "%d reports, bound %d", got, most)
	})
}

// A lost engine is noticed within lost-after and a step, whenever it was asked last.
func TestLossOfAnEngineAtRestIsNoticedInTime(t *testing.T) {
	for phase := range 4 {
		synctest.Test(t, func(t *testing.T) {
			r := newReachWorld(6, 12, true, true)
			r.run(time.Duration(phase) * time.Second)
			lost := r.kill(func(u bundle.Upstream) bool { return u.ID == "e0" })
			began := r.weights.Started(weights.Model)
			steps := 0
			for r.weights.Started(weights.Model) == began && steps < 60 {
				r.run(time.Second)
				steps++
			}
			t.Logf("phase %d: %d models lost, the first load began after %d s", phase, lost, steps)
			assert.Assert(t, time.Duration(steps)*time.Second <= r.settings.LostAfter+r.settings.Interval, "%d s", steps)
		})
	}
}

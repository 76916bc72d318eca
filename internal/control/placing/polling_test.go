package placing

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"savoryweir/internal/standin/weights"
	"savoryweir/internal/state/bundle"
)

// countReports returns the number of report requests to all engines within a time.
func (r *availabilitySimulation) countReports(d time.Duration) int {
	before := r.stats.reports
	r.run(d)
	return r.stats.reports - before
}

// An idle engine is polled once per report interval, which leaves time to detect its loss.
func TestBoundIdleEnginesArePolledOncePerReportInterval(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newAvailabilitySimulation(6, 12, true, true)
		const rest = time.Minute
		most := len(r.engines) * int(rest/r.settings.reportInterval()+1)
		got := r.countReports(rest)
		t.Logf("%d reports of %d engines in %s, bound %d", got, len(r.engines), rest, most)
		assert.Assert(t, got <= most, "%d reports, bound %d", got, most)
		assert.Equal(t, r.settings.reportInterval(), 2*time.Second)
	})
}

// While one engine does not answer, the others are not polled more often.
func TestBoundDownEngineCausesNoExtraPolls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newAvailabilitySimulation(6, 12, true, true)
		r.down[0] = true
		r.run(time.Minute) // time to reload its models on other engines
		const rest = time.Minute
		most := (len(r.engines) - 1) * int(rest/r.settings.reportInterval()+1)
		got := r.countReports(rest)
		t.Logf("%d reports in %s, bound %d", got, rest, most)
		assert.Assert(t, got <= most, "%d reports, bound %d", got, most)
	})
}

// The loss of an idle engine is detected within lost-after plus one interval, whenever the engine
// was last polled.
func TestLostIdleEngineIsDetectedInTime(t *testing.T) {
	for phase := range 4 {
		synctest.Test(t, func(t *testing.T) {
			r := newAvailabilitySimulation(6, 12, true, true)
			r.run(time.Duration(phase) * time.Second)
			lost := r.killEngines(func(u bundle.Upstream) bool { return u.ID == "e0" })
			began := r.weights.Started(weights.Model)
			steps := 0
			for r.weights.Started(weights.Model) == began && steps < 60 {
				r.run(time.Second)
				steps++
			}
			t.Logf("phase %d: %d models lost, first load started after %d s", phase, lost, steps)
			assert.Assert(t, time.Duration(steps)*time.Second <= r.settings.LostAfter+r.settings.Interval, "%d s", steps)
		})
	}
}

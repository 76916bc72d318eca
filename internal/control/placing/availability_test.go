package placing

import (
	"math"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"savoryweir/internal/protocol/enginehttp"
	"savoryweir/internal/standin/residency"
	"savoryweir/internal/standin/weights"
	"savoryweir/internal/state/bundle"
)

// availabilitySimulation is a simulation without order faults that tracks how long each model
// has no ready replica.
type availabilitySimulation struct {
	*simulation
	settings         Settings
	unavailableSince map[bundle.ModelID]time.Time
	longestOutage    map[bundle.ModelID]time.Duration
	loadsInTransit   int           // loads in progress at the loss
	unresponsiveTime time.Duration // time after which an unresponsive engine counts as lost
}

func newAvailabilitySimulation(engines, models int, fenced, copies bool) *availabilitySimulation {
	s := testSettings(copies)
	w := newSimulation(1, testScope(engines, models, func(int) bool { return fenced }), testLimits, s, faultRates{})
	w.holders = w.holders[:1]
	r := &availabilitySimulation{simulation: w, settings: s, unavailableSince: make(map[bundle.ModelID]time.Time), longestOutage: make(map[bundle.ModelID]time.Duration)}
	r.run(3 * time.Minute) // time for the initial loads
	r.unavailableSince, r.longestOutage = make(map[bundle.ModelID]time.Time), make(map[bundle.ModelID]time.Duration)
	return r
}

func (r *availabilitySimulation) run(d time.Duration) {
	for range int(d / time.Second) {
		r.advanceSecond(r.settings)
		for _, m := range r.scope.Models {
			r.trackOutage(m.ID)
		}
	}
}

func (r *availabilitySimulation) trackOutage(id bundle.ModelID) {
	now := time.Now()
	if r.isReady(id) {
		delete(r.unavailableSince, id)
		return
	}
	if _, ok := r.unavailableSince[id]; !ok {
		r.unavailableSince[id] = now.Add(-time.Second)
	}
	r.longestOutage[id] = max(r.longestOutage[id], now.Sub(r.unavailableSince[id]))
}

func (r *availabilitySimulation) isReady(id bundle.ModelID) bool {
	for i, e := range r.engines {
		if r.down[i] || slices.Contains(r.scope.Leaving, r.scope.Upstreams[i].ID) {
			continue
		}
		for _, resident := range e.Now().Residents {
			if resident.Slot.Model == string(id) && resident.Slot.Adapter == "" && resident.State == enginehttp.StateReady {
				return true
			}
		}
	}
	return false
}

// killEngines stops the matching engines, which lose all that they hold, and returns the number
// of models without a ready replica.
func (r *availabilitySimulation) killEngines(match func(bundle.Upstream) bool) int {
	r.loadsInTransit = r.weights.InTransit(weights.Model)
	r.unresponsiveTime = r.settings.LostAfter
	for i, u := range r.scope.Upstreams {
		if match(u) {
			r.down[i] = true
			r.restart(i, time.Now())
		}
	}
	return r.countLost()
}

// drain marks an engine as leaving and returns the number of models without a ready replica.
func (r *availabilitySimulation) drain(id bundle.UpstreamID) int {
	r.loadsInTransit = r.weights.InTransit(weights.Model)
	r.scope.Leaving = []bundle.UpstreamID{id}
	return r.countLost()
}

// rollOut puts a new version of all models in force.
func (r *availabilitySimulation) rollOut(version string) int {
	r.scope.Models = slices.Clone(r.scope.Models)
	for i := range r.scope.Models {
		r.scope.Models[i].Version = version
	}
	r.scope.Generation++
	return 0
}

func (r *availabilitySimulation) countLost() int {
	lost := 0
	for _, m := range r.scope.Models {
		if !r.isReady(m.ID) {
			lost++
		}
	}
	return lost
}

// bound returns the longest allowed outage. It is the time in which the weight store can reload the
// lost models after the loads already in progress, plus the time until an unresponsive engine
// counts as lost, plus two decisions, one to detect the loss and one to see the loads as ready.
func (r *availabilitySimulation) bound(lost int) time.Duration {
	rounds := math.Ceil(float64(lost+r.loadsInTransit) / float64(testLimits.AtOnce))
	return time.Duration(rounds)*testLimits.ModelTime() + time.Duration(2+rounds)*r.settings.Interval + r.unresponsiveTime
}

func (r *availabilitySimulation) checkOutages(t *testing.T, lost int) {
	t.Helper()
	worst := time.Duration(0)
	for _, d := range r.longestOutage {
		worst = max(worst, d)
	}
	t.Logf("models lost: %d, longest outage %s, bound %s", lost, worst, r.bound(lost))
	assert.Equal(t, len(r.unavailableSince), 0)
	for _, m := range r.scope.Models {
		r.checkVersions(t, m)
	}
	assert.Assert(t, lost > 0 || worst == 0)
	assert.Assert(t, worst <= r.bound(lost), "outage of %s, bound %s", worst, r.bound(lost))
	assert.Equal(t, len(r.failures), 0, "%v", r.failures)
}

// checkVersions requires that the version in force is ready and that no other version is resident.
func (r *availabilitySimulation) checkVersions(t *testing.T, m bundle.Model) {
	t.Helper()
	current := false
	for i, e := range r.engines {
		for _, resident := range e.Now().Residents {
			if r.down[i] || resident.Slot.Model != string(m.ID) {
				continue
			}
			assert.Equal(t, resident.Slot.Version, m.Version, "model %s on engine %d", m.ID, i)
			current = current || (resident.Slot.Adapter == "" && resident.State == enginehttp.StateReady)
		}
	}
	assert.Assert(t, current, "model %s version %s", m.ID, m.Version)
}

// Roll-outs, drains and bursts of demand must leave a ready replica of every model. After the loss
// of engines a model may be unavailable only for the time that its reload needs.
func TestModelOutageStaysWithinReloadBound(t *testing.T) {
	cases := []struct {
		name    string
		engines int
		models  int
		event   func(r *availabilitySimulation) int
	}{
		{"roll-out of all models", 6, 12, func(r *availabilitySimulation) int { return r.rollOut("2") }},
		{"roll-out in full memory", 4, 11, func(r *availabilitySimulation) int { return r.rollOut("2") }},
		{"drain of an engine", 6, 12, func(r *availabilitySimulation) int { return r.drain("e0") }},
		{"tenfold burst", 6, 12, func(r *availabilitySimulation) int {
			for i, m := range r.scope.Models {
				r.scope.Demand = append(r.scope.Demand, Demand{Model: m.ID, TokensPerSecond: 100 * math.Pow(10, float64(i%2))})
			}
			return 0
		}},
		{"loss of an engine", 6, 12, func(r *availabilitySimulation) int {
			return r.killEngines(func(u bundle.Upstream) bool { return u.ID == "e0" })
		}},
		{"loss of an availability zone", 6, 12, func(r *availabilitySimulation) int {
			return r.killEngines(func(u bundle.Upstream) bool { return u.Zone == "z0" })
		}},
		{"loss of a zone in full memory", 9, 18, func(r *availabilitySimulation) int {
			return r.killEngines(func(u bundle.Upstream) bool { return u.Zone == "z0" })
		}},
		{"loss of a zone in a roll-out", 9, 18, func(r *availabilitySimulation) int {
			r.rollOut("2")
			r.run(7 * time.Second)
			return r.killEngines(func(u bundle.Upstream) bool { return u.Zone == "z1" })
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newAvailabilitySimulation(c.engines, c.models, true, true)
				for _, m := range r.scope.Models {
					assert.Assert(t, r.isReady(m.ID), "model %s before the event", m.ID)
				}
				lost := c.event(r)
				r.run(5 * time.Minute)
				r.checkOutages(t, lost)
			})
		})
	}
}

func (r *availabilitySimulation) countReady(version string) int {
	count := 0
	for _, m := range r.scope.Models {
		slot := enginehttp.Slot{Model: string(m.ID), Version: version}
		if slices.ContainsFunc(r.engines, func(e *residency.Engine) bool { return e.HasReady(slot) }) {
			count++
		}
	}
	return count
}

// An engine that does not check fencing numbers may load a model again when a late copy of an
// order arrives. Where copies are possible, its memory is therefore released only by a restart,
// and a roll-out can't finish before that.
func TestRollOutWithoutFencingNeedsRestartIfCopiesArePossible(t *testing.T) {
	for _, copies := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			r := newAvailabilitySimulation(6, 12, false, copies)
			for _, version := range []string{"2", "3"} {
				r.rollOut(version)
				r.run(3 * time.Minute)
				t.Logf("copies %t: version %s is ready for %d of 12 models", copies, version, r.countReady(version))
			}
			finished := r.countReady("3") == len(r.scope.Models)
			assert.Equal(t, finished, !copies)
			for i := range r.engines {
				r.restart(i, time.Now())
				r.run(30 * time.Second)
			}
			r.run(time.Minute)
			assert.Equal(t, r.countReady("3"), len(r.scope.Models))
			assert.Equal(t, len(r.failures), 0, "%v", r.failures)
		})
	}
}

// An engine that does not answer for less than LostAfter must not cause loads on other engines.
func TestShortUnresponsivenessStartsNoLoads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newAvailabilitySimulation(6, 12, true, true)
		before := r.weights.Started(weights.Model)
		r.down[0] = true
		r.run(2 * time.Second)
		r.down[0] = false
		r.run(time.Minute)
		assert.Equal(t, r.weights.Started(weights.Model), before)
	})
}

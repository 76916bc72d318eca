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

// reachWorld is a world without order faults in which the models are followed.
type reachWorld struct {
	*world
	settings Settings
	lostAt   map[bundle.ModelID]time.Time
	longest  map[bundle.ModelID]time.Duration
	begun    int           // loads in progress at the loss
	silence  time.Duration // wait until a silent engine counts as lost
}

func newReachWorld(engines, models int, fenced, copies bool) *reachWorld {
	s := testSettings(copies)
	w := newWorld(1, testScope(engines, models, func(int) bool { return fenced }), testLimits, s, chances{})
	w.holders = w.holders[:1]
	r := &reachWorld{world: w, settings: s, lostAt: make(map[bundle.ModelID]time.Time), longest: make(map[bundle.ModelID]time.Duration)}
	r.run(3 * time.Minute) // the first loads
	r.lostAt, r.longest = make(map[bundle.ModelID]time.Time), make(map[bundle.ModelID]time.Duration)
	return r
}

func (r *reachWorld) run(d time.Duration) {
	for range int(d / time.Second) {
		r.second(r.settings)
		for _, m := range r.scope.Models {
			r.follow(m.ID)
		}
	}
}

func (r *reachWorld) follow(id bundle.ModelID) {
	now := time.Now()
	if r.isReady(id) {
		delete(r.lostAt, id)
		return
	}
	if _, ok := r.lostAt[id]; !ok {
		r.lostAt[id] = now.Add(-time.Second)
	}
	r.longest[id] = max(r.longest[id], now.Sub(r.lostAt[id]))
}

func (r *reachWorld) isReady(id bundle.ModelID) bool {
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

// kill takes the engines of a zone away with all that they hold.
func (r *reachWorld) kill(match func(bundle.Upstream) bool) int {
	r.begun = r.weights.InTransit(weights.Model)
	r.silence = r.settings.LostAfter
	for i, u := range r.scope.Upstreams {
		if match(u) {
			r.down[i] = true
			r.restart(i, time.Now())
		}
	}
	return r.countLost()
}

// drain marks an engine as leaving.
func (r *reachWorld) drain(id bundle.UpstreamID) int {
	r.begun = r.weights.InTransit(weights.Model)
	r.scope.Leaving = []bundle.UpstreamID{id}
	return r.countLost()
}

// rollOut puts a version of all models in force.
func (r *reachWorld) rollOut(version string) int {
	r.scope.Models = slices.Clone(r.scope.Models)
	for i := range r.scope.Models {
		r.scope.Models[i].Version = version
	}
	r.scope.Generation++
	return 0
}

func (r *reachWorld) countLost() int {
	lost := 0
	for _, m := range r.scope.Models {
		if !r.isReady(m.ID) {
			lost++
		}
	}
	return lost
}

// bound is the time in which the weight store can reload the lost models after the loads
// that had begun before, with the silence after which an engine counts as lost and two decisions
// to notice the loss and to see the loads as ready.
func (r *reachWorld) bound(lost int) time.Duration {
	rounds := math.Ceil(float64(lost+r.begun) / float64(testLimits.AtOnce))
	return time.Duration(rounds)*testLimits.ModelTime() + time.Duration(2+rounds)*r.settings.Interval + r.silence
}

func (r *reachWorld) check(t *testing.T, lost int) {
	t.Helper()
	worst := time.Duration(0)
	for _, d := range r.longest {
		worst = max(worst, d)
	}
	t.Logf("models lost %d, unreachable for at most %s, bound %s", lost, worst, r.bound(lost))
	assert.Equal(t, len(r.lostAt), 0)
	for _, m := range r.scope.Models {
		r.checkVersions(t, m)
	}
	assert.Assert(t, lost > 0 || worst == 0)
	assert.Assert(t, worst <= r.bound(lost), "unreachable for %s, bound %s", worst, r.bound(lost))
	assert.Equal(t, len(r.failures), 0, "%v", r.failures)
}

// checkVersions requires the version in force to be ready and no other to be resident.
func (r *reachWorld) checkVersions(t *testing.T, m bundle.Model) {
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

func TestModelsStayReachable(t *testing.T) {
	cases := []struct {
		name   string
		engs   int
		models int
		event  func(r *reachWorld) int
	}{
		{"roll-out of all models", 6, 12, func(r *reachWorld) int { return r.rollOut("2") }},
		{"roll-out in full memory", 4, 11, func(r *reachWorld) int { return r.rollOut("2") }},
		{"drain of an engine", 6, 12, func(r *reachWorld) int { return r.drain("e0") }},
		{"tenfold burst", 6, 12, func(r *reachWorld) int {
			for i, m := range r.scope.Models {
				r.scope.Demand = append(r.scope.Demand, Demand{Model: m.ID, TokensPerSecond: 100 * math.Pow(10, float64(i%2))})
			}
			return 0
		}},
		{"loss of an engine", 6, 12, func(r *reachWorld) int {
			return r.kill(func(u bundle.Upstream) bool { return u.ID == "e0" })
		}},
		{"loss of an availability zone", 6, 12, func(r *reachWorld) int {
			return r.kill(func(u bundle.Upstream) bool { return u.Zone == "z0" })
		}},
		{"loss of a zone in full memory", 9, 18, func(r *reachWorld) int {
			return r.kill(func(u bundle.Upstream) bool { return u.Zone == "z0" })
		}},
		{"loss of a zone in a roll-out", 9, 18, func(r *reachWorld) int {
			r.rollOut("2")
			r.run(7 * time.Second)
			return r.kill(func(u bundle.Upstream) bool { return u.Zone == "z1" })
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newReachWorld(c.engs, c.models, true, true)
				for _, m := range r.scope.Models {
					assert.Assert(t, r.isReady(m.ID), "model %s before the event", m.ID)
				}
				lost := c.event(r)
				r.run(5 * time.Minute)
				r.check(t, lost)
			})
		})
	}
}

func (r *reachWorld) countReady(version string) int {
	count := 0
	for _, m := range r.scope.Models {
		slot := enginehttp.Slot{Model: string(m.ID), Version: version}
		if slices.ContainsFunc(r.engines, func(e *residency.Engine) bool { return e.HasReady(slot) }) {
			count++
		}
	}
	return count
}

// TestRollOutsWithoutFencing shows what the rule for engines without the fencing check costs:
// where copies of orders are possible, memory comes free with a restart of the engine only.
func TestRollOutsWithoutFencing(t *testing.T) {
	for _, copies := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			r := newReachWorld(6, 12, false, copies)
			for _, version := range []string{"2", "3"} {
				r.rollOut(version)
				r.run(3 * time.Minute)
				t.Logf("copies %t: version %s is ready of %d models in 12", copies, version, r.countReady(version))
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

func TestShortSilenceOfAnEngineMovesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newReachWorld(6, 12, true, true)
		before := r.weights.Started(weights.Model)
		r.down[0] = true
		r.run(2 * time.Second)
		r.down[0] = false
		r.run(time.Minute)
		assert.Equal(t, r.weights.Started(weights.Model), before)
	})
}

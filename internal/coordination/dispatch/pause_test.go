package dispatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"savoryweir/internal/state/fleet"
)

func TestPausedUpstreamsAreUnavailableUntilTheirPauseEnds(t *testing.T) {
	a, b := &fleet.Upstream{ID: "a", StartedAt: time.UnixMilli(1)}, &fleet.Upstream{ID: "b", StartedAt: time.UnixMilli(1)}
	both := []*fleet.Upstream{a, b}
	pauses := NewPauseTracker()
	pauses.Record(a, 10*time.Second)
	pauses.Record(a, 4*time.Second) // a shorter pause does not end a longer one
	available, wait := pauses.Available(8*time.Second, both)
	assert.DeepEqual(t, available, []*fleet.Upstream{b})
	assert.Equal(t, wait, time.Duration(0))
	pauses.Record(b, 9*time.Second)
	available, wait = pauses.Available(8*time.Second, both)
	assert.Equal(t, len(available), 0)
	assert.Equal(t, wait, time.Second, "the earliest end counts")
	available, _ = pauses.Available(9*time.Second, both)
	assert.DeepEqual(t, available, []*fleet.Upstream{b})
	restarted := &fleet.Upstream{ID: "a", StartedAt: time.UnixMilli(2)}
	available, _ = pauses.Available(8*time.Second, []*fleet.Upstream{restarted})
	assert.Equal(t, len(available), 1, "a new incarnation has asked for nothing")
	available, wait = pauses.Available(0, nil)
	assert.Equal(t, len(available), 0)
	assert.Equal(t, wait, time.Duration(0), "without upstreams there is nothing to wait for")
}

// An engine with a short queue refuses what exceeds its room and asks for a pause. Callers
// come at twice its capacity and beside it is an engine with room. No more than the request
// that learned of it may reach the first engine within a pause, and all callers are served.
func TestLoadMovesAwayFromPausedEngine(t *testing.T) {
	const pauseLength = 2 * time.Second
	full, free := &fleet.Upstream{ID: "full"}, &fleet.Upstream{ID: "free"}
	pauses := NewPauseTracker()
	served, refusals := 0, 0
	for now := time.Duration(0); now < 20*time.Second; now += 10 * time.Millisecond {
		available, wait := pauses.Available(now, []*fleet.Upstream{full, free})
		assert.Equal(t, wait, time.Duration(0))
		if available[0] == full {
			refusals++
			pauses.Record(full, now+pauseLength)
			available, _ = pauses.Available(now, available)
		}
		if len(available) > 0 && available[0] == free {
			served++
		}
	}
	assert.Equal(t, served, 2000)
	assert.Equal(t, refusals, 10, "one request for each pause")
}

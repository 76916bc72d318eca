package e2e

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"savoryweir/internal/state/object"
)

// TestLeavingUpstreamGetsNoNewWorkAndComesBack lists an engine as leaving in the
// platform's list. No entry gives it new work, though only some instances read
// the list. Once the list shows it as staying again, it gets work again.
func TestLeavingUpstreamGetsNoNewWorkAndComesBack(t *testing.T) {
	s := startSystem(t, 3)
	listed := object.Instance{ID: "engine-0", Address: s.bundle.Upstreams[0].Address, Zone: "zone-0", Role: object.RoleUpstream}
	sendAll := func(round string) {
		for i, e := range s.entries {
			for n := range 4 {
				a := s.chat(e, "banner", fmt.Sprintf("%s %d %d", round, i, n), 2, nil)
				_, whole := text(t, a.body)
				assert.Check(t, whole, "entry %d: %d %s", i, a.status, a.body)
			}
		}
	}
	// startedIn returns the requests that the engine began during a round.
	startedIn := func(round string) int {
		before := s.engines[0].Started()
		sendAll(round)
		return s.engines[0].Started() - before
	}
	assert.Assert(t, startedIn("before") > 0, "the engine gets no work to begin with")

	listed.Leaving = true
	s.fleet.Store.SetInstance(listed, 0)
	waitForWork(t, startedIn, "leaving", false)
	time.Sleep(time.Second)
	assert.Equal(t, startedIn("left"), 0)

	listed.Leaving = false
	s.fleet.Store.SetInstance(listed, 0)
	waitForWork(t, startedIn, "returning", true)
}

// waitForWork sends rounds of requests until the engine gets work, or none.
func waitForWork(t *testing.T, startedIn func(string) int, round string, wanted bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if started := startedIn(round); (started > 0) != wanted {
			return poll.Continue("%s: the engine began %d requests", round, started)
		}
		return poll.Success()
	}, poll.WithTimeout(patience))
}

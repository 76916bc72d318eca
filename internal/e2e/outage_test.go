package e2e

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"savoryweir/internal/standin/engine"
	"savoryweir/internal/standin/objectapi"
)

const statusPath = "/services/bookings/status/1"

// TestStoreOutageLeavesStreamsAndReads takes the store away. Streams and reads
// go on; an order is told at once that it did not run and when to come back.
func TestStoreOutageLeavesStreamsAndReads(t *testing.T) {
	s := startSystem(t, 3)
	s.fleet.Store.SetFaults(objectapi.Faults{Outage: true})
	for i, e := range s.entries {
		a := s.chat(e, "banner", "tag this", 8, nil)
		got, whole := text(t, a.body)
		assert.Assert(t, whole, "entry %d: %d %s", i, a.status, a.body)
		assert.Equal(t, got, engine.Text("banner\x00tag this", 8))
		assert.Equal(t, s.call(e, http.MethodGet, statusPath, "", nil).status, http.StatusOK)
		refused := s.order(e, "during-outage", 1)
		assert.Equal(t, refused.outcome, "not_run", refused.body)
		assert.Assert(t, refused.retry != "", "no Retry-After: %s", refused.body)
	}
	assert.Equal(t, s.runs()["during-outage"], 0)
	s.fleet.Store.SetFaults(objectapi.Faults{})
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if a := s.order(s.entries[0], "after-outage", 1); a.outcome != "ran" {
			return poll.Continue("order after the outage: %d %s", a.status, a.body)
		}
		return poll.Success()
	}, poll.WithTimeout(patience))
	assert.Equal(t, s.runs()["after-outage"], 1)
}

// TestControlLossLeavesStreamsAndReads kills all control processes. The entries
// go on with their last view; orders are told that they did not run.
func TestControlLossLeavesStreamsAndReads(t *testing.T) {
	s := startSystem(t, 3)
	for _, p := range s.fleet.Processes {
		assert.NilError(t, p.Kill())
	}
	for i, e := range s.entries {
		a := s.chat(e, "video", "tag this", 8, nil)
		_, whole := text(t, a.body)
		assert.Assert(t, whole, "entry %d: %d %s", i, a.status, a.body)
		assert.Equal(t, s.call(e, http.MethodGet, statusPath, "", nil).status, http.StatusOK)
		refused := s.order(e, "without-control", 1)
		assert.Equal(t, refused.outcome, "not_run", refused.body)
	}
	assert.Equal(t, s.runs()["without-control"], 0)
}

// TestInstanceStartsDuringAnOutageOfTheStore restarts an instance while the store
// is down. It gets bundle and replicas from its peers.
func TestInstanceStartsDuringAnOutageOfTheStore(t *testing.T) {
	s := startSystem(t, 3)
	s.fleet.Store.SetFaults(objectapi.Faults{Outage: true})
	s.killAndRestart(s.fleet.Processes[2])
	s.killAndRestart(s.entries[2])
	assert.NilError(t, s.entries[2].WaitReady())
	s.waitReachable("banner", "video")
}

// TestFallbackAndRollOutNeverGoBack approves bundles while an instance is frozen.
// When it thaws it goes straight to the latest generation.
func TestFallbackAndRollOutNeverGoBack(t *testing.T) {
	s := startSystem(t, 3)
	frozen := s.fleet.Processes[1]
	assert.NilError(t, frozen.Freeze())
	for _, version := range []string{"2", "3"} {
		s.bundle.Models[1].Version = version
		_, err := s.fleet.Approver.Approve(t.Context(), s.fleet.Store, s.bundle)
		assert.NilError(t, err)
		time.Sleep(300 * time.Millisecond)
	}
	assert.NilError(t, frozen.Thaw())
	var highest uint64
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		status, err := frozen.Status()
		if err != nil {
			return poll.Continue("no status: %v", err)
		}
		assert.Assert(t, uint64(status.Generation) >= highest, "generation went back from %d to %d", highest, status.Generation)
		highest = uint64(status.Generation)
		if highest < 3 {
			return poll.Continue("generation %d", highest)
		}
		return poll.Success()
	}, poll.WithTimeout(patience))
}

package e2e

import (
	"net/http"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"savoryweir/internal/bench/fleet"
	"savoryweir/internal/state/bundle"
)

// TestEntryWithoutItsControlProcessStaysUpToDate kills the control process of one
// instance and freezes that of another for good. Their entries take the next
// bundle all the same, and so does an entry that starts then.
func TestEntryWithoutItsControlProcessStaysUpToDate(t *testing.T) {
	s := startSystem(t, 4)
	assert.NilError(t, s.fleet.Processes[0].Kill())
	assert.NilError(t, s.fleet.Processes[1].Freeze())
	t.Cleanup(func() { assert.Check(t, s.fleet.Processes[1].Thaw()) })
	late, err := s.fleet.StartEntry(s.fleet.Processes[0], "--view-peers="+s.fleet.Processes[2].PeerAddress())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = late.Kill() }) // an error means that it has ended already
	assert.NilError(t, late.WaitReady())

	s.bundle.Models[0].Version = "2"
	head, err := s.fleet.Approver.Approve(t.Context(), s.fleet.Store, s.bundle)
	assert.NilError(t, err)
	for _, e := range []*fleet.Entry{s.entries[0], s.entries[1], late} {
		s.waitGeneration(e, head.Generation)
	}
}

// waitGeneration waits until an entry answers under a generation.
func (s *system) waitGeneration(e *fleet.Entry, want bundle.Generation) {
	s.t.Helper()
	poll.WaitOn(s.t, func(poll.LogT) poll.Result {
		a := s.chat(e, "video", "which generation", 1, nil)
		if a.status != http.StatusOK || a.generation != strconv.FormatUint(uint64(want), 10) {
			return poll.Continue("%s: status %d under generation %s, want %d", e.URL(), a.status, a.generation, want)
		}
		return poll.Success()
	}, poll.WithTimeout(patience), poll.WithDelay(100*time.Millisecond))
}

package reachability

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var now = time.Unix(1_000_000, 0)

func isCut(t *Tracker) bool {
	_, cut := t.CutSince()
	return cut
}

// A single upstream that refuses connections has most likely crashed.
func TestOneFailingUpstreamIsNoCut(t *testing.T) {
	r := NewTracker()
	for range 5 {
		r.RecordFailed(now, "a", 3)
	}
	assert.Assert(t, !isCut(r) && !r.IsReachable("a") && r.IsReachable("b"))
}

func TestFailuresOfSeveralUpstreamsWithoutSuccessAreCut(t *testing.T) {
	r := NewTracker()
	for _, address := range []string{"a", "b", "c"} {
		r.RecordFailed(now, address, 9)
	}
	r.RecordReached(now, "e")
	r.RecordFailed(now, "d", 9)
	assert.Assert(t, !isCut(r), "an upstream was reached in between")
	for _, address := range []string{"a", "b", "c"} {
		r.RecordFailed(now, address, 9)
	}
	assert.Assert(t, isCut(r) && !r.IsReachable("e"))
	r.RecordReached(now, "e")
	assert.Assert(t, !isCut(r) && r.IsReachable("e") && !r.IsReachable("a"), "the others are out of reach until they are probed")
}

// With one upstream known, a crash and a cut look alike; it may not be tried, but a crash counts.
func TestFailureOfOnlyUpstreamIsNoCut(t *testing.T) {
	r := NewTracker()
	r.RecordFailed(now, "a", 1)
	assert.Assert(t, !isCut(r) && !r.IsReachable("a"))
	r.RecordFailed(now, "b", 2)
	assert.Assert(t, isCut(r), "all of two")
}

// Without responses, the others are probed first: one that is reached shows that the path is sound.
func TestFailureLeadsToProbesOfOtherUpstreamsOnlyWithoutResponses(t *testing.T) {
	r := NewTracker()
	known := []string{"a", "b", "c"}
	r.RecordReached(now, "c")
	r.RecordFailed(now, "a", 3)
	r.RecordFailed(now, "b", 3)
	assert.Equal(t, len(r.DueProbes(now, known, 2)), 0)
	later := now.Add(probeInterval)
	assert.DeepEqual(t, r.DueProbes(later, known, 2), []string{"c", "a"})
	assert.DeepEqual(t, r.DueProbes(later, known, 2), []string{"c", "b"})
}

// The entry of an upstream that is gone must not leave a mark behind.
func TestFailuresOfUnknownAndOldAddressesAreForgotten(t *testing.T) {
	r := NewTracker()
	r.RecordFailed(now, "a", 2)
	r.RecordFailed(now, "b", 2)
	assert.Assert(t, isCut(r))
	r.DueProbes(now, []string{"b"}, 4)
	assert.Assert(t, !r.IsReachable("b"))
	r.DueProbes(now.Add(maxAge+time.Second), []string{"b"}, 4)
	assert.Assert(t, r.IsReachable("a") && r.IsReachable("b") && !r.HasFailures())
}

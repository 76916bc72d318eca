package loads

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Each of many instances sends few requests to each upstream. Their reports together
// must separate an upstream that fails all requests from one that fails some.
func TestReportsOfManyInstancesRevealFailingUpstream(t *testing.T) {
	const instances = 80
	now := time.Unix(100, 0)
	local := NewFailureTracker(3 * time.Second)
	others := make([]*FailureTracker, instances)
	for n := range others {
		others[n] = NewFailureTracker(3 * time.Second)
		others[n].Record(now, "failing", false)
		others[n].Record(now, "usual", n%7 != 0) // one in seven fails
		others[n].Record(now, "usual", true)
	}
	for range 2 { // instances without failures report their answers once another has reported a failure
		now = now.Add(100 * time.Millisecond)
		for n, remote := range others {
			report := remote.Local(now)
			local.SetRemote(now, fmt.Sprint(n), report)
			for _, other := range others {
				if other != remote {
					other.SetRemote(now, fmt.Sprint(n), report)
				}
			}
		}
	}
	assert.Assert(t, local.FailureRate(now, "failing") > 0.95)
	assert.Assert(t, local.FailureRate(now, "usual") < 0.1)
	assert.Equal(t, local.FailureRate(now, "unknown"), 0.0)
	local.Forget("failing")
	assert.Equal(t, local.FailureRate(now, "failing"), 0.0, "Forget must drop the counts of all instances")
}

func TestFailureRateDecaysWithoutRequests(t *testing.T) {
	now := time.Unix(100, 0)
	tracker := NewFailureTracker(3 * time.Second)
	for range 100 {
		tracker.Record(now, "u", false)
	}
	assert.Assert(t, tracker.FailureRate(now, "u") > 0.8)
	assert.Assert(t, tracker.FailureRate(now.Add(10*time.Second), "u") < 0.2)
	assert.Equal(t, len(tracker.Local(now.Add(time.Minute))), 0, "decayed counts must be dropped")
}

// An instance that is cut off from a healthy upstream sees only failures there. Its
// reports must not keep the other instances from using the upstream.
func TestFailuresOfOneInstanceDoNotExcludeUpstreamThatServesOthers(t *testing.T) {
	now := time.Unix(100, 0)
	local, isolated := NewFailureTracker(3*time.Second), NewFailureTracker(3*time.Second)
	for range 20 {
		isolated.Record(now, "u", false)
	}
	local.SetRemote(now, "isolated", isolated.Local(now))
	for n := range 4 {
		remote := NewFailureTracker(3 * time.Second)
		for range 12 {
			remote.Record(now, "u", true)
		}
		assert.Equal(t, len(remote.Local(now)), 0, "no report is needed until a failure is known")
		remote.SetRemote(now, "isolated", isolated.Local(now))
		now = now.Add(estimateInterval)
		local.SetRemote(now, fmt.Sprint(n), remote.Local(now))
	}
	assert.Assert(t, local.FailureRate(now, "u") < 0.3)
	assert.Assert(t, isolated.FailureRate(now, "u") > 0.8)
}

package loads

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Many instances with few requests each tell an upstream that fails from those that
// fail some requests of their own accord.
func TestManyInstancesTellAnUnsoundUpstreamSoon(t *testing.T) {
	const instances = 80
	now := time.Unix(100, 0)
	here := NewFailureTracker(3 * time.Second)
	others := make([]*FailureTracker, instances)
	for n := range others {
		others[n] = NewFailureTracker(3 * time.Second)
		others[n].Record(now, "failing", false)
		others[n].Record(now, "usual", n%7 != 0) // one in seven fails
		others[n].Record(now, "usual", true)
	}
	for range 2 { // those that saw no failure tell of their answers once they hear of one
		now = now.Add(100 * time.Millisecond)
		for n, there := range others {
			told := there.Local(now)
			here.SetRemote(now, fmt.Sprint(n), told)
			for _, other := range others {
				if other != there {
					other.SetRemote(now, fmt.Sprint(n), told)
				}
			}
		}
	}
	assert.Assert(t, here.FailureRate(now, "failing") > 0.95)
	assert.Assert(t, here.FailureRate(now, "usual") < 0.1)
	assert.Equal(t, here.FailureRate(now, "unknown"), 0.0)
	here.Forget("failing")
	assert.Equal(t, here.FailureRate(now, "failing"), 0.0, "it has restarted")
}

func TestAnUnsoundUpstreamIsTriedAgain(t *testing.T) {
	now := time.Unix(100, 0)
	s := NewFailureTracker(3 * time.Second)
	for range 100 {
		s.Record(now, "u", false)
	}
	assert.Assert(t, s.FailureRate(now, "u") > 0.8)
	assert.Assert(t, s.FailureRate(now.Add(10*time.Second), "u") < 0.2)
	assert.Equal(t, len(s.Local(now.Add(time.Minute))), 0, "it is forgotten")
}

// An instance that is cut off from a sound upstream does not turn the others away.
func TestOneInstanceCondemnsNoUpstreamThatServesTheOthers(t *testing.T) {
	now := time.Unix(100, 0)
	here, cut := NewFailureTracker(3*time.Second), NewFailureTracker(3*time.Second)
	for range 20 {
		cut.Record(now, "u", false)
	}
	here.SetRemote(now, "cut", cut.Local(now))
	for n := range 4 {
		there := NewFailureTracker(3 * time.Second)
		for range 12 {
			there.Record(now, "u", true)
		}
		assert.Equal(t, len(there.Local(now)), 0, "nothing to tell until a failure is known")
		there.SetRemote(now, "cut", cut.Local(now))
		now = now.Add(estimateEvery)
		here.SetRemote(now, fmt.Sprint(n), there.Local(now))
	}
	assert.Assert(t, here.FailureRate(now, "u") < 0.3)
	assert.Assert(t, cut.FailureRate(now, "u") > 0.8)
}

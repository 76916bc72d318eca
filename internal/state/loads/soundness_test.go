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
	here := NewSoundness(3 * time.Second)
	others := make([]*Soundness, instances)
	for n := range others {
		others[n] = NewSoundness(3 * time.Second)
		others[n].Note(now, "failing", false)
		others[n].Note(now, "usual", n%7 != 0) // one in seven fails
		others[n].Note(now, "usual", true)
	}
	for range 2 { // those that saw no failure tell of their answers once they hear of one
		now = now.Add(100 * time.Millisecond)
		for n, there := range others {
			told := there.Own(now)
			here.Learn(now, fmt.Sprint(n), told)
			for _, other := range others {
				if other != there {
					other.Learn(now, fmt.Sprint(n), told)
				}
			}
		}
	}
	assert.Assert(t, here.FailShare(now, "failing") > 0.95)
	assert.Assert(t, here.FailShare(now, "usual") < 0.1)
	assert.Equal(t, here.FailShare(now, "unknown"), 0.0)
	here.Forget("failing")
	assert.Equal(t, here.FailShare(now, "failing"), 0.0, "it has restarted")
}

func TestAnUnsoundUpstreamIsTriedAgain(t *testing.T) {
	now := time.Unix(100, 0)
	s := NewSoundness(3 * time.Second)
	for range 100 {
		s.Note(now, "u", false)
	}
	assert.Assert(t, s.FailShare(now, "u") > 0.8)
	assert.Assert(t, s.FailShare(now.Add(10*time.Second), "u") < 0.2)
	assert.Equal(t, len(s.Own(now.Add(time.Minute))), 0, "it is forgotten")
}

// An instance that is cut off from a sound upstream does not turn the others away.
func TestOneInstanceCondemnsNoUpstreamThatServesTheOthers(t *testing.T) {
	now := time.Unix(100, 0)
	here, cut := NewSoundness(3*time.Second), NewSoundness(3*time.Second)
	for range 20 {
		cut.Note(now, "u", false)
	}
	here.Learn(now, "cut", cut.Own(now))
	for n := range 4 {
		there := NewSoundness(3 * time.Second)
		for range 12 {
			there.Note(now, "u", true)
		}
		assert.Equal(t, len(there.Own(now)), 0, "nothing to tell until a failure is known")
		there.Learn(now, "cut", cut.Own(now))
		now = now.Add(estimateEvery)
		here.Learn(now, fmt.Sprint(n), there.Own(now))
	}
	assert.Assert(t, here.FailShare(now, "u") < 0.3)
	assert.Assert(t, cut.FailShare(now, "u") > 0.8)
}

package membership

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// The stated limits: 3 KB/s of control traffic per instance, and 10 s until a
// change of configuration is in force everywhere.
const (
	controlBytesPerSecond = 3_000
	headLimit             = 10 * time.Second
)

func TestBoundTrafficAndSpread(t *testing.T) {
	for _, instances := range []int{9, 320} {
		for _, loss := range []float64{0, 0.05} {
			const seed = 7
			t.Logf("instances %d, loss %.2f, seed %d", instances, loss, seed)
			r := Measure(DefaultScenario(instances, seed, loss))
			assert.Assert(t, r.BytesPerSecond <= controlBytesPerSecond, "sent %.0f B/s", r.BytesPerSecond)
			assert.Assert(t, r.HeadLongest <= headLimit, "head after %s", r.HeadLongest)
			assert.Equal(t, r.HeadMissing, 0)
			assert.Equal(t, r.FalseDeaths, 0)
			assert.Assert(t, r.DetectionLongest > 0 && r.DetectionLongest <= headLimit, "dead after %s", r.DetectionLongest)
		}
	}
}

func TestFrozenInstanceIsHeldForDeadAndComesBack(t *testing.T) {
	n := NewNet(DefaultScenario(40, 3, 0.01))
	n.Run(time.Minute)
	n.Freeze(5, 30*time.Second)
	n.Run(20 * time.Second)
	assert.Assert(t, n.Disagreement() >= 39, "the frozen instance was not noticed: %d", n.Disagreement())
	n.Run(time.Minute)
	assert.Equal(t, n.Disagreement(), 0)
}

func TestShortFreezeKillsNobody(t *testing.T) {
	n := NewNet(DefaultScenario(40, 4, 0))
	n.Run(time.Minute)
	n.Freeze(5, 3*time.Second)
	n.Run(time.Minute)
	assert.Equal(t, n.FalseDeaths, 0)
}

func TestSidesOfAPartitionMeetAgain(t *testing.T) {
	n := NewNet(DefaultScenario(40, 5, 0))
	n.Run(30 * time.Second)
	n.Cut(func(from, to int) bool { return (from < 20) != (to < 20) })
	n.Run(5 * time.Minute)
	assert.Equal(t, n.Disagreement(), 2*20*20)
	n.Cut(nil)
	n.Run(time.Minute)
	assert.Equal(t, n.Disagreement(), 0)
}

func TestHeadReachesAnInstanceThatWasCutOff(t *testing.T) {
	n := NewNet(DefaultScenario(9, 6, 0))
	n.Run(10 * time.Second)
	n.Cut(func(from, to int) bool { return from == 3 || to == 3 })
	n.Accept(0, 2)
	n.Run(2 * time.Minute)
	_, missing := n.HeadDelays(2, n.Now())
	assert.Equal(t, missing, 1)
	n.Cut(nil)
	n.Run(20 * time.Second)
	_, missing = n.HeadDelays(2, n.Now())
	assert.Equal(t, missing, 0)
}

func TestSameSeedSameRun(t *testing.T) {
	assert.Equal(t, Measure(DefaultScenario(9, 11, 0.05)), Measure(DefaultScenario(9, 11, 0.05)))
}

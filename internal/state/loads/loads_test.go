package loads

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"savoryweir/internal/state/fleet"
)

func TestTotalAddsFreshReportsOfOthers(t *testing.T) {
	now := time.Unix(100, 0)
	b := NewTracker(time.Second)
	b.UpdateLocal("u", func(l *Load) { l.PendingPrefill[1] += 100 })
	b.SetRemote(now, "i1", map[fleet.UpstreamID]Load{"u": {PendingPrefill: [PriorityRanks]time.Duration{0: 30}, Running: 2}})
	total := b.Total(now, "u")
	assert.Equal(t, total.PendingPrefillUpTo(0), time.Duration(30))
	assert.Equal(t, total.PendingPrefillUpTo(3), time.Duration(130))
	assert.Equal(t, total.Running, 2)
	assert.Equal(t, b.Total(now.Add(2*time.Second), "u").Running, 0, "an old report counts no more")
	b.UpdateLocal("u", func(l *Load) { l.PendingPrefill[1] -= 100 })
	assert.Equal(t, len(b.Local()), 0)
}

// With reports that are much older than a prompt takes to be read, an upstream that was
// idle in its last report is not taken for idle.
func TestAnOldReportCountsLessThanTheAverage(t *testing.T) {
	const busy = 100 * time.Millisecond
	now := time.Unix(100, 0)
	b := NewTracker(3 * time.Second)
	total := func() time.Duration { return b.Total(now, "u").PendingPrefillUpTo(0) }
	for range 20 {
		b.SetRemote(now, "i1", map[fleet.UpstreamID]Load{"u": {PendingPrefill: [PriorityRanks]time.Duration{0: busy}}})
		now = now.Add(500 * time.Millisecond)
		assert.Assert(t, total() <= busy+time.Millisecond)
	}
	b.SetRemote(now, "i1", nil)
	now = now.Add(estimateEvery)
	assert.Assert(t, total() < busy/4, "a fresh report counts: %v", total())
	now = now.Add(700 * time.Millisecond)
	assert.Assert(t, total() > busy/4, "what the upstream has on average counts: %v", total())
	assert.Assert(t, total() < busy)
}

func TestPace(t *testing.T) {
	now := time.Unix(100, 0)
	p := NewResponsivenessTracker()
	for range 30 {
		now = now.Add(100 * time.Millisecond)
		p.RecordAnswer(now, "slow", 500*time.Millisecond, 100*time.Millisecond)
		p.RecordAnswer(now, "usual", 130*time.Millisecond, 100*time.Millisecond)
	}
	assert.Assert(t, p.Get(now, "slow").Slowdown > 4)
	assert.Equal(t, p.Get(now, "usual").Slowdown, 1.0, "estimates that are a little off say nothing")
	assert.Assert(t, p.Get(now.Add(30*time.Second), "slow").Slowdown < 2, "it is tried again")
	first := p.RecordFailure(now, "u")
	second := p.RecordFailure(now, "u")
	assert.Assert(t, second > first)
	for range 20 {
		p.RecordFailure(now, "u")
	}
	assert.Equal(t, p.RecordFailure(now, "u"), avoidMost)
	p.RecordAnswer(now, "u", time.Millisecond, time.Millisecond)
	assert.Assert(t, !now.Before(p.Get(now, "u").AvoidUntil))
	p.Forget("u")
	p.Forget("slow")
	p.Forget("usual")
	assert.Equal(t, len(p.by), 0)
}

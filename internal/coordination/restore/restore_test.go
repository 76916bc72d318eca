package restore

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"savoryweir/internal/state/object"
)

func TestAllResponsesAreCompleteInFirstEra(t *testing.T) {
	var tr Tracker
	assert.Assert(t, tr.Observe(time.Minute, 0))
	assert.Assert(t, tr.CompleteFrom() <= 0)
	assert.Equal(t, tr.IncompleteFor(time.Minute), time.Duration(0))
}

// Whoever has known the store before and whoever has just started both know no more than that the store has come back by now.
func TestResponsesAreCompleteAfterRewriteTimeInLaterEra(t *testing.T) {
	var tr Tracker
	assert.Assert(t, tr.Observe(time.Minute, 1))
	assert.Equal(t, tr.CompleteFrom(), time.Minute+RewriteTime)
	assert.Equal(t, tr.IncompleteFor(time.Minute+time.Second), RewriteTime-time.Second)
	assert.Equal(t, tr.IncompleteFor(time.Minute+RewriteTime), time.Duration(0))
	assert.Assert(t, tr.Observe(2*time.Minute, 1))
	assert.Equal(t, tr.CompleteFrom(), time.Minute+RewriteTime)
	assert.Assert(t, tr.Observe(3*time.Minute, 2))
	assert.Equal(t, tr.CompleteFrom(), 3*time.Minute+RewriteTime)
	assert.Assert(t, !tr.Observe(4*time.Minute, 1), "a response of an earlier era")
	assert.Equal(t, tr.CompleteFrom(), 3*time.Minute+RewriteTime)
}

// An instance that starts long after the store's return waits for nothing once another instance has told so.
func TestOtherInstancesTellHowLongEraIsKnown(t *testing.T) {
	var tr Tracker
	tr.Observe(time.Minute, 3)
	tr.ObserveAge(time.Minute+time.Second, 3, time.Hour)
	assert.Assert(t, tr.CompleteFrom() < time.Minute)
	assert.Equal(t, tr.Age(2*time.Minute), time.Hour+59*time.Second)
	tr.ObserveAge(time.Minute+time.Second, 3, 0)
	tr.ObserveAge(time.Minute+time.Second, 2, 2*time.Hour)
	tr.ObserveAge(time.Minute+time.Second, 3, -time.Hour)
	assert.Assert(t, tr.CompleteFrom() < time.Minute, "shorter times and those of earlier eras tell nothing")
	tr.ObserveAge(2*time.Minute, 4, time.Second)
	assert.Equal(t, tr.CompleteFrom(), 2*time.Minute-time.Second+RewriteTime)
}

// Whatever is heard late, repeated or of earlier eras, no call counts as complete before the rewrite time after the store's return
// is over.
func TestNoCallIsCompleteBeforeEverybodyHasWrittenAgain(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var returnedAt []time.Duration // by era
		trackers := make([]Tracker, 3)
		type word struct {
			era object.Era
			age time.Duration
		}
		var words []word
		now := time.Duration(0)
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond
			n := rapid.IntRange(0, len(trackers)-1).Draw(t, "instance")
			switch rapid.IntRange(0, 4).Draw(t, "action") {
			case 0:
				returnedAt = append(returnedAt, now)
			case 1:
				trackers[n].Observe(now, object.Era(len(returnedAt)))
			case 2:
				words = append(words, word{trackers[n].Era(), trackers[n].Age(now)})
			case 3: // arrives late, or again
				if len(words) > 0 {
					w := words[rapid.IntRange(0, len(words)-1).Draw(t, "word")]
					trackers[n].ObserveAge(now, w.era, w.age)
				}
			case 4:
				trackers[n] = Tracker{} // restarts
			}
			for _, tr := range trackers {
				if e := tr.Era(); e > 0 && tr.CompleteFrom() < returnedAt[e-1]+RewriteTime {
					t.Fatalf("calls of era %d are complete from %v, but the store came back at %v", e, tr.CompleteFrom(), returnedAt[e-1])
				}
			}
		}
	})
}

package freshness

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"savoryweir/internal/coordination/restore"
	"savoryweir/internal/state/object"
)

const bound = Bound(5 * time.Second)

// always is the time from which on responses are complete of a store that has never come back from a copy.
const always time.Duration = math.MinInt64

func version(t interface{ Fatal(...any) }, era object.Era, revision uint64) object.Version {
	v, err := object.NewVersion(era, object.RevisionOf(revision))
	if err != nil {
		t.Fatal(err)
	}
	return v
}

// tracker returns a tracker with a configuration of era 1 in force and a proof as of a time.
func tracker(t *testing.T, revision uint64, provenAt time.Duration) *Tracker {
	tr := NewTracker()
	tr.RecordApplied(version(t, 1, revision), revision)
	tr.RecordResponse(provenAt, always)
	return tr
}

// ask sends a question from one tracker to another and returns the answer without delivering it.
func ask(from, to *Tracker, id uint64, askedAt, answeredAt time.Duration) (Word, bool) {
	from.RecordQuestion(askedAt, id)
	return to.Word(answeredAt, bound)
}

func TestInstanceWithoutProofAcceptsNoKeys(t *testing.T) {
	restarted := NewTracker()
	assert.Assert(t, !bound.IsRecent(restarted.Age(time.Hour)))
	_, ok := restarted.Word(time.Hour, bound)
	assert.Assert(t, !ok)
}

// An instance that was cut off from the store and all others, or stood still, refuses before the bound is over, and
// accepts with the first proof.
func TestProofEndsBeforeBoundAndIsBackAtOnce(t *testing.T) {
	cut := tracker(t, 7, 10*time.Second)
	assert.Assert(t, bound.IsRecent(cut.Age(14800*time.Millisecond)))
	assert.Assert(t, !bound.IsRecent(cut.Age(15*time.Second)))
	assert.Assert(t, !bound.IsRecent(cut.Age(60*time.Second))) // woken
	cut.RecordResponse(60*time.Second, always)
	assert.Assert(t, bound.IsRecent(cut.Age(60*time.Second)))
}

// A watch that was under way while the store was cut off, or slow, proves only the time at which it was sent.
func TestLongWatchProvesTimeAtWhichItWasSent(t *testing.T) {
	slow := tracker(t, 7, 10*time.Second)
	slow.RecordResponse(11*time.Second, always) // returned at 30 s
	assert.Equal(t, slow.Age(30*time.Second), 19*time.Second)
	slow.RecordResponse(9*time.Second, always)
	assert.Equal(t, slow.Age(30*time.Second), 19*time.Second, "an older proof must not replace a newer one")
}

// A configuration that can't be decoded may have taken keys away.
func TestConfigurationThatIsNotInForceIsNotProven(t *testing.T) {
	unread := tracker(t, 7, 10*time.Second)
	unread.RecordUnread(version(t, 1, 8))
	unread.RecordResponse(12*time.Second, always)
	assert.Equal(t, unread.Age(12*time.Second), 2*time.Second)
	unread.RecordUnread(version(t, 1, 6)) // read again, from an old list
	unread.RecordApplied(version(t, 1, 9), 9)
	unread.RecordResponse(13*time.Second, always)
	assert.Equal(t, unread.Age(13*time.Second), time.Duration(0))
}

// The store is out of reach for this instance, but others have a proof. Ages add up over hops.
func TestProofOfOtherInstanceIsTakenOver(t *testing.T) {
	watcher, second, third := tracker(t, 7, 10*time.Second), tracker(t, 7, time.Second), tracker(t, 7, time.Second)
	word, ok := ask(second, watcher, 1, 11*time.Second, 11*time.Second)
	assert.Assert(t, ok)
	second.RecordAnswer(1, word, always)
	assert.Equal(t, second.Age(12*time.Second), 2*time.Second)
	word, ok = ask(third, second, 1, 12*time.Second, 12*time.Second)
	assert.Assert(t, ok)
	third.RecordAnswer(1, word, always)
	assert.Equal(t, third.Age(12*time.Second), 2*time.Second)
}

// An answer lay in the socket of an instance that stood still, or was held up at its sender or on the way.
func TestDelayedAnswerCountsFromItsQuestion(t *testing.T) {
	frozen, watcher := tracker(t, 7, 9*time.Second), tracker(t, 7, 10*time.Second)
	word, ok := ask(frozen, watcher, 1, 10*time.Second, 10*time.Second)
	assert.Assert(t, ok)
	frozen.RecordAnswer(1, word, always) // read at 40 s
	assert.Equal(t, frozen.Age(40*time.Second), 30*time.Second)
	assert.Assert(t, !bound.IsRecent(frozen.Age(40*time.Second)))
}

// Whose configuration is newer has perhaps taken a key away that is still known here.
func TestWordIsNotTakenOverByInstanceWithOlderConfiguration(t *testing.T) {
	behind, ahead := tracker(t, 7, 10*time.Second), tracker(t, 8, 12*time.Second)
	word, _ := ask(behind, ahead, 1, 12*time.Second, 12*time.Second)
	behind.RecordAnswer(1, word, always)
	assert.Equal(t, behind.Age(13*time.Second), 3*time.Second)
	behind.RecordApplied(version(t, 1, 8), 8)
	word, _ = ask(behind, ahead, 2, 13*time.Second, 13*time.Second)
	behind.RecordAnswer(2, word, always)
	assert.Equal(t, behind.Age(13*time.Second), time.Second)
}

// formerBuild returns a word as builds tell it that don't name the operator's version.
func formerBuild(w Word, _ bool) Word {
	w.Config = 0
	return w
}

// The store came back from an older copy. An instance of a former build that knows it in the former era tells nothing of the new
// one, and the other way round.
func TestWordOfFormerBuildAndOtherEraIsNotTakenOver(t *testing.T) {
	former, later := tracker(t, 7, 10*time.Second), NewTracker()
	later.RecordApplied(version(t, 2, 3), 3)
	later.RecordAnswer(1, formerBuild(ask(later, former, 1, 11*time.Second, 11*time.Second)), always)
	assert.Equal(t, later.Age(11*time.Second), Unproven)
	later.RecordResponse(11*time.Second, always)
	former.RecordAnswer(1, formerBuild(ask(former, later, 1, 12*time.Second, 12*time.Second)), always)
	assert.Equal(t, former.Age(12*time.Second), 2*time.Second)
}

// An instance of a former build takes each response of the store for a proof, also one of a copy.
func TestWordOfFormerBuildCountsOnlyFromWhenResponsesAreComplete(t *testing.T) {
	former, later := NewTracker(), NewTracker()
	former.RecordApplied(version(t, 2, 3), 3)
	former.RecordResponse(10*time.Second, always)
	later.RecordApplied(version(t, 2, 3), 3)
	later.RecordAnswer(1, formerBuild(ask(later, former, 1, 11*time.Second, 11*time.Second)), 10500*time.Millisecond)
	assert.Equal(t, later.Age(11*time.Second), Unproven)
	former.RecordResponse(11*time.Second, always)
	later.RecordAnswer(2, formerBuild(ask(later, former, 2, 12*time.Second, 12*time.Second)), 10500*time.Millisecond)
	assert.Equal(t, later.Age(12*time.Second), time.Second)
}

// The store came back from a copy that lacks the removal of a key. An instance that starts then finds an older configuration in the
// store than the others have in force, and accepted the key by the store's response or by their word.
func TestInstanceStartedAfterRestoreHasNoProofBeforeConfigurationIsBack(t *testing.T) {
	const returnedAt, completeFrom = 11 * time.Second, 13500 * time.Millisecond
	running, started := tracker(t, 7, 10*time.Second), NewTracker()
	running.RecordApplied(version(t, 2, 3), 3) // listed again; the configuration in force stays
	started.RecordApplied(version(t, 2, 3), 3)
	started.RecordResponse(returnedAt, completeFrom)
	assert.Equal(t, started.Age(12*time.Second), Unproven, "the response is of the copy")
	word, ok := ask(started, running, 1, 12*time.Second, 12*time.Second)
	assert.Assert(t, ok)
	started.RecordAnswer(1, word, completeFrom)
	assert.Equal(t, started.Age(12*time.Second), Unproven, "the other instance has a newer configuration")
	started.RecordResponse(14*time.Second, completeFrom)
	assert.Equal(t, started.Age(14*time.Second), Unproven, "the newer configuration is still missing")
	started.RecordApplied(version(t, 2, 4), 7) // the operator has written again
	word, _ = ask(started, running, 2, 12500*time.Millisecond, 12500*time.Millisecond)
	started.RecordAnswer(2, word, completeFrom)
	assert.Equal(t, started.Age(12500*time.Millisecond), 2500*time.Millisecond, "the other instance's proof holds although it is from before the store's return")
}

// The store came back from a copy, and no instance had seen the last configuration before. What had been proven until then holds on.
func TestRunningInstanceKeepsOnlyItsFormerProofUntilResponsesAreComplete(t *testing.T) {
	running := tracker(t, 7, 10*time.Second)
	running.RecordResponse(12*time.Second, 13*time.Second)
	assert.Equal(t, running.Age(12*time.Second), 2*time.Second)
	running.RecordResponse(13*time.Second, 13*time.Second)
	assert.Equal(t, running.Age(13*time.Second), time.Duration(0))
}

// Answers come from the network: repeated, unasked or with an impossible age.
func TestOnlyAnswersToOwnQuestionsCount(t *testing.T) {
	tr := tracker(t, 7, 10*time.Second)
	tr.RecordAnswer(5, Word{Version: version(t, 1, 7)}, always)
	tr.RecordQuestion(12*time.Second, 6)
	tr.RecordAnswer(6, Word{Version: version(t, 1, 7), Age: -time.Hour}, always)
	tr.RecordAnswer(6, Word{Age: time.Second}, always)
	assert.Equal(t, tr.Age(13*time.Second), 3*time.Second)
}

// The relay of a relay must not grow younger: an instance without a proof that is recent has nothing to tell.
func TestStaleWordIsNotGiven(t *testing.T) {
	stale := tracker(t, 7, 10*time.Second)
	_, ok := stale.Word(15*time.Second, bound)
	assert.Assert(t, !ok)
}

// With nobody answering, as beside instances of a former build, few questions are sent, and all the more while the proof
// is old.
func TestQuestionsAreSpacedByTheAgeOfTheProof(t *testing.T) {
	tr := tracker(t, 7, 10*time.Second)
	sent := map[bool]int{}
	for now := 10 * time.Second; now < 15*time.Second; now += 100 * time.Millisecond {
		count := tr.QuestionsDue(now, bound, false)
		if count > 0 {
			sent[bound.IsOld(tr.Age(now))] += count
			tr.RecordQuestion(now, uint64(now))
		}
	}
	assert.Assert(t, sent[false] >= 1 && sent[false] <= 5, "%v", sent)
	assert.Assert(t, sent[true] >= 18 && sent[true] <= 30, "%v", sent)
	assert.Assert(t, len(tr.pending) <= maxPending)
}

// Those that all others ask must have a newer proof than these.
func TestWatchersAskSooner(t *testing.T) {
	tr := tracker(t, 7, 10*time.Second)
	assert.Equal(t, tr.QuestionsDue(11200*time.Millisecond, bound, true), 1)
	assert.Equal(t, tr.QuestionsDue(11200*time.Millisecond, bound, false), 0)
	assert.Equal(t, tr.QuestionsDue(11600*time.Millisecond, bound, false), 1)
}

// Calls to the store begin after the others have been asked for a while, and before keys are refused.
func TestStoreIsCalledAfterOthersWereAsked(t *testing.T) {
	assert.Assert(t, bound.IsOld(2600*time.Millisecond) && !bound.NeedsCall(2600*time.Millisecond))
	assert.Assert(t, bound.NeedsCall(3100*time.Millisecond) && bound.IsRecent(3100*time.Millisecond))
}

// modelStore is a store that the operator writes configurations to. It may come back from a copy, and the operator then writes the
// newest configuration again.
type modelStore struct {
	ackedAt    []time.Duration // by the operator's version, counted from zero
	stored     int             // version in the store
	era        object.Era
	rewritesAt time.Duration // time at which the newest version is written again; zero if the store has it
}

func (s *modelStore) advance(now time.Duration) {
	if s.rewritesAt > 0 && now >= s.rewritesAt {
		s.stored, s.rewritesAt = len(s.ackedAt)-1, 0
	}
}

func (s *modelStore) write(now time.Duration) {
	s.ackedAt = append(s.ackedAt, now)
	s.stored, s.rewritesAt = len(s.ackedAt)-1, 0
}

func (s *modelStore) restore(now time.Duration, copied int, rewriteTime time.Duration) {
	s.era++
	s.stored, s.rewritesAt = min(copied, s.stored), now+rewriteTime
}

// modelInstance is an instance with what it knows of the store's eras. One of a former build takes each response for complete and
// doesn't tell the operator's version.
type modelInstance struct {
	*Tracker
	eras     restore.Tracker
	isFormer bool
}

func newModelInstance(isFormer bool) *modelInstance {
	return &modelInstance{Tracker: NewTracker(), isFormer: isFormer}
}

func (i *modelInstance) completeFrom() time.Duration {
	if i.isFormer {
		return always
	}
	return i.eras.CompleteFrom()
}

// Over any fleet, any delays, restarts and returns of the store from copies, no instance takes a configuration for recent longer after
// a key was taken away than the bound: a proof never states a time by which a version was acknowledged that is not in force.
func TestProofNeverCoversConfigurationThatIsNotInForce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		const instances = 5
		all := make([]*modelInstance, instances)
		for n := range all {
			all[n] = newModelInstance(n == 0)
		}
		store := &modelStore{ackedAt: []time.Duration{0}}
		type answer struct {
			to   *modelInstance
			id   uint64
			word Word
		}
		type response struct {
			to       *modelInstance
			calledAt time.Duration
			era      object.Era
			stored   int
		}
		var answers []answer
		var responses []response
		now, lastID := time.Duration(0), uint64(0)
		for range rapid.IntRange(1, 120).Draw(rt, "steps") {
			now += time.Duration(rapid.IntRange(1, 2000).Draw(rt, "ms")) * time.Millisecond
			store.advance(now)
			n := rapid.IntRange(0, instances-1).Draw(rt, "instance")
			switch rapid.IntRange(0, 8).Draw(rt, "action") {
			case 0:
				store.write(now)
			case 1: // a call; the store's response is as of now, and is read later
				responses = append(responses, response{to: all[n], calledAt: now, era: store.era, stored: store.stored})
			case 2:
				if len(responses) > 0 {
					at := rapid.IntRange(0, len(responses)-1).Draw(rt, "response")
					r := responses[at]
					responses = append(responses[:at], responses[at+1:]...)
					if !r.to.eras.Observe(now, r.era) {
						continue // of an earlier era
					}
					v := version(rt, r.era, uint64(r.stored)+1)
					if rapid.Bool().Draw(rt, "decodes") {
						r.to.RecordApplied(v, uint64(r.stored)+1)
					} else {
						r.to.RecordUnread(v)
					}
					r.to.RecordResponse(r.calledAt, r.to.completeFrom())
				}
			case 3: // a question, which the other answers at once, and the answer arrives later or never
				other := rapid.IntRange(0, instances-1).Draw(rt, "other")
				lastID++
				if word, ok := ask(all[n].Tracker, all[other].Tracker, lastID, now, now); ok {
					if all[n].isFormer || all[other].isFormer {
						word = formerBuild(word, ok)
					}
					answers = append(answers, answer{to: all[n], id: lastID, word: word})
				}
			case 4:
				if len(answers) > 0 {
					a := answers[rapid.IntRange(0, len(answers)-1).Draw(rt, "answer")]
					a.to.RecordAnswer(a.id, a.word, a.to.completeFrom())
				}
			case 5: // a change that another instance relays
				if all[n].eras.Observe(now, store.era) {
					all[n].RecordApplied(version(rt, store.era, uint64(store.stored)+1), uint64(store.stored)+1)
				}
			case 6:
				copied := rapid.IntRange(0, store.stored).Draw(rt, "copied")
				store.restore(now, copied, time.Duration(rapid.Int64Range(1, int64(restore.RewriteTime)).Draw(rt, "rewritten after")))
			case 7:
				all[n] = newModelInstance(all[n].isFormer)
			case 8: // a beacon
				other := all[rapid.IntRange(0, instances-1).Draw(rt, "other")]
				all[n].eras.ObserveAge(now, other.eras.Era(), other.eras.Age(now))
			}
			for _, i := range all {
				if !i.hasProof || i.isFormer {
					continue
				}
				for v, at := range store.ackedAt {
					if at < i.provenAt && uint64(v)+1 > i.config {
						rt.Fatalf("proof as of %v with version %d, but version %d was acknowledged at %v", i.provenAt, i.config, v+1, at)
					}
				}
			}
		}
	})
}

// An idle fleet of any size keeps recent proofs everywhere by the watches of three instances, the first of which calls for short
// times. The others make no calls, and questions grow with the fleet, not with its square.
func TestIdleFleetOfAnySizeKeepsProofs(t *testing.T) {
	const (
		step, tick   = 10 * time.Millisecond, 100 * time.Millisecond
		span         = time.Minute
		maxQuestions = 2 // per second and instance
	)
	for _, size := range []int{1, 8, 86, 320} {
		random := rand.New(rand.NewPCG(1, uint64(size)))
		watchers := min(size, 3)
		all := make([]*Tracker, size)
		calledAt := make([]time.Duration, watchers)
		watch := []time.Duration{bound.WatchTime().Truncate(step), 2250 * time.Millisecond, 2250 * time.Millisecond}
		pauses := []time.Duration{100 * time.Millisecond, 400 * time.Millisecond, 400 * time.Millisecond}
		offset := make([]time.Duration, size)
		for n := range all {
			all[n] = tracker(t, 7, 0) // by the first list
			offset[n] = time.Duration(random.IntN(10)) * step
		}
		calls, asked, questions, oldest := 0, make([]int, size), 0, time.Duration(0)
		for now := time.Duration(0); now < span; now += step {
			for n := range watchers {
				switch now - calledAt[n] {
				case watch[n]:
					all[n].RecordResponse(calledAt[n], always)
				case watch[n] + pauses[n]:
					calledAt[n] = now
					calls++
				}
			}
			for n, tr := range all {
				if now%tick != offset[n] {
					continue
				}
				for range tr.QuestionsDue(now, bound, n > 0 && n < watchers) {
					to := 0
					if n >= watchers {
						to = random.IntN(watchers)
					}
					questions, asked[to] = questions+1, asked[to]+1
					if to == n {
						continue // nobody else to ask
					}
					if word, ok := ask(tr, all[to], uint64(questions), now, now); ok {
						tr.RecordAnswer(uint64(questions), word, always)
					}
				}
				oldest = max(oldest, tr.Age(now))
			}
		}
		assert.Assert(t, oldest < time.Duration(bound)*45/100, "%d instances: a proof was %v old", size, oldest)
		perSecond := float64(calls) / span.Seconds()
		assert.Assert(t, perSecond <= 2.2, "%d instances: %.1f calls per second", size, perSecond)
		assert.Assert(t, float64(questions) <= maxQuestions*float64(size)*span.Seconds(), "%d instances: %d questions", size, questions)
		t.Logf("%d instances: %.2f calls per second, %.2f questions per second and instance, at most %.0f per second at one, oldest proof %v",
			size, perSecond, float64(questions)/span.Seconds()/float64(size), float64(slices.Max(asked))/span.Seconds(), oldest)
	}
}

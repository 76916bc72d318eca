// Package freshness keeps the proof that an instance's configuration is recent enough for API keys to be accepted by it,
// and decides when to look for a newer proof.
//
// A proof states a time: whatever the store had acknowledged by then is in force here. A response of the store proves the time
// at which the call was sent, as nothing tells when during the call the response was made up. The word of another
// instance proves the time at which it was asked less the age that it states, so that a word that was delayed, at
// either instance or between them, counts for no more than it is worth. After the store has come back from an older copy,
// its responses prove nothing until all that it had acknowledged is written again.
//
// All times are of this instance's clock that includes suspended time.
package freshness

import (
	"math"
	"time"

	"savoryweir/internal/state/object"
)

// Bound is the time after which a key that a configuration has taken away must work nowhere.
type Bound time.Duration

const (
	// marginsPerBound is the part of the bound that is left for what follows the check of a key.
	marginsPerBound = 50
	// askAgesPerBound gives the age of a proof from which on another instance is asked for a newer one. The store may then
	// be out of reach for over half of the bound before keys are refused.
	askAgesPerBound = 10.0 / 3
	// watcherAskAgesPerBound gives the same age for those that others ask first.
	watcherAskAgesPerBound = 5
	// watchesPerBound gives the duration of a watch that proves the configuration's currency for all instances.
	watchesPerBound = 8
	// questionsPerBound gives the time between two questions to which no newer proof was the answer.
	questionsPerBound = 20
	// urgentQuestions is the number of instances asked at a time while the proof is old.
	urgentQuestions = 3
	// maxPending is the number of questions whose answers are awaited. An answer to an older one is of no use any more.
	maxPending = 16
)

// maxBackwards is the most by which a time may be before a proof, as times are read before the tracker is locked. A clock that has
// been replaced by another tells nothing of the age.
const maxBackwards = time.Second

// Unproven is the age of a proof that doesn't exist.
const Unproven = time.Duration(math.MaxInt64)

// IsRecent reports whether keys may be accepted with a proof of an age.
func (b Bound) IsRecent(age time.Duration) bool {
	return age <= time.Duration(b)-time.Duration(b)/marginsPerBound
}

// IsOld reports whether a proof of an age must be replaced soon.
func (b Bound) IsOld(age time.Duration) bool { return age > time.Duration(b)/2 }

// NeedsCall reports whether others have not replaced a proof in time, so that the store must be called for one.
func (b Bound) NeedsCall(age time.Duration) bool { return age > time.Duration(b)*3/5 }

// WatchTime returns the duration of the watch that proves the configuration's currency for all instances.
func (b Bound) WatchTime() time.Duration { return time.Duration(b) / watchesPerBound }

// Word is what an instance tells of its proof.
type Word struct {
	Version object.Version // of the configuration in force at the instance, as the store counts
	Config  uint64         // version of the same as the operator counts; zero if the instance's build doesn't tell
	Age     time.Duration
}

// Tracker keeps the newest proof of an instance. It is not safe for concurrent use.
type Tracker struct {
	applied  object.Version // of the configuration in force
	config   uint64         // the operator's version of the configuration in force
	newest   uint64         // the newest such version that another instance has told
	unread   object.Version // of a newer configuration that can't be decoded; zero if there is none
	provenAt time.Duration
	hasProof bool
	askedAt  time.Duration // time of the last questions
	hasAsked bool
	pending  map[uint64]time.Duration // time of each question by its ID
}

// NewTracker returns a tracker without a proof.
func NewTracker() *Tracker { return &Tracker{pending: make(map[uint64]time.Duration)} }

// RecordApplied records that the configuration with a version of the operator, or a newer one, is in force now. version is that
// of the object in the store.
func (t *Tracker) RecordApplied(version object.Version, config uint64) {
	t.applied, t.config = max(t.applied, version), max(t.config, config)
	if t.unread <= t.applied {
		t.unread = 0
	}
}

// RecordUnread records the version of a configuration that can't be decoded. It may have taken keys away.
func (t *Tracker) RecordUnread(version object.Version) {
	if version > t.applied {
		t.unread = max(t.unread, version)
	}
}

// RecordResponse records that the store has told all changes until the time at which it was called. It proves nothing if one
// of them could not be decoded, if the store may lack some, as its responses are complete only for calls from completeFrom on, or
// if another instance has a newer configuration than the store told.
func (t *Tracker) RecordResponse(calledAt, completeFrom time.Duration) {
	if t.unread == 0 && calledAt >= completeFrom && t.config >= t.newest {
		t.prove(calledAt)
	}
}

func (t *Tracker) prove(at time.Duration) {
	if !t.hasProof || at > t.provenAt {
		t.provenAt, t.hasProof = at, true
	}
}

// Age returns the age of the newest proof.
func (t *Tracker) Age(now time.Duration) time.Duration {
	if !t.hasProof {
		return Unproven
	}
	if now < t.provenAt-maxBackwards {
		return Unproven
	}
	return max(now-t.provenAt, 0)
}

// Word returns what to tell another instance that asks, and whether there is anything to tell.
func (t *Tracker) Word(now time.Duration, bound Bound) (Word, bool) {
	age := t.Age(now)
	return Word{Version: t.applied, Config: t.config, Age: age}, bound.IsRecent(age)
}

// QuestionsDue returns to how many other instances a question is to be sent now. isWatcher states that others ask this
// instance first, because it watches the store.
func (t *Tracker) QuestionsDue(now time.Duration, bound Bound, isWatcher bool) int {
	age, interval, count := t.Age(now), time.Duration(bound)/questionsPerBound, 1
	askAge := time.Duration(float64(bound) / askAgesPerBound)
	if isWatcher {
		askAge = time.Duration(bound) / watcherAskAgesPerBound
	}
	if bound.IsOld(age) {
		count = urgentQuestions
	}
	if age < askAge || t.hasAsked && now-t.askedAt < interval {
		return 0
	}
	return count
}

// RecordQuestion records that a question with an ID is sent now.
func (t *Tracker) RecordQuestion(now time.Duration, id uint64) {
	t.askedAt, t.hasAsked = now, true
	t.pending[id] = now
	for len(t.pending) > maxPending {
		t.removeOldest()
	}
}

func (t *Tracker) removeOldest() {
	oldest, at := uint64(0), Unproven
	for id, asked := range t.pending {
		if asked < at {
			oldest, at = id, asked
		}
	}
	delete(t.pending, oldest)
}

// RecordAnswer takes over the proof of another instance that has answered a question. It proves nothing if a newer
// configuration is in force there. The operator's version decides, as the store may have come back from a copy that lacks
// configurations which are in force.
func (t *Tracker) RecordAnswer(id uint64, word Word, completeFrom time.Duration) {
	askedAt, isPending := t.pending[id]
	if !isPending || word.Age < 0 {
		return
	}
	delete(t.pending, id)
	t.newest = max(t.newest, word.Config)
	provenAt := askedAt - word.Age
	if word.Config > 0 && t.config >= word.Config || word.Config == 0 && t.holdsStored(word.Version) && provenAt >= completeFrom {
		t.prove(provenAt)
	}
}

// holdsStored reports whether the configuration that is in force here is as new as one that the store has told another instance
// in the same era.
func (t *Tracker) holdsStored(version object.Version) bool {
	return version > 0 && t.applied >= version && t.applied.Era() == version.Era()
}

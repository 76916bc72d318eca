// Package restore decides which responses of the store are complete. After the store has come back from an older copy
// of itself, in a new era, it lacks what it had acknowledged since the copy was made, until the operator and the upstreams
// have written that again. Until then, nothing may be concluded from what the store doesn't tell.
//
// All times are of this instance's clock that includes suspended time.
package restore

import (
	"math"
	"time"

	"savoryweir/internal/state/object"
)

// RewriteTime is the time after the store's return by which everybody has written again what the store had acknowledged
// before. The platform's contract allows about two seconds.
const RewriteTime = 2500 * time.Millisecond

// Tracker knows the newest era of the store, and since when at the latest the store has been in it. The zero value knows no era
// but the first. It is not safe for concurrent use.
type Tracker struct {
	era     object.Era
	knownAt time.Duration
}

// Observe records an era that a response or another instance tells at now. It reports whether the era is the newest one known.
func (t *Tracker) Observe(now time.Duration, era object.Era) bool {
	if era > t.era {
		t.era, t.knownAt = era, now
	}
	return era == t.era
}

// ObserveAge records that another instance tells at now that it has known an era for a time. An instance that has just started
// learns in this way that the store came back long ago.
func (t *Tracker) ObserveAge(now time.Duration, era object.Era, age time.Duration) {
	if t.Observe(now, era) && age > 0 {
		t.knownAt = min(t.knownAt, now-age)
	}
}

// Era returns the newest era known.
func (t *Tracker) Era() object.Era { return t.era }

// Age returns how long the newest era has been known.
func (t *Tracker) Age(now time.Duration) time.Duration { return max(now-t.knownAt, 0) }

// CompleteFrom returns the time from which on the response to a call reflects all that the store has acknowledged before the
// call. It may get earlier when others tell more of the era, and later with a new era. It must be read after the
// response, as that may be the first one of its era.
func (t *Tracker) CompleteFrom() time.Duration {
	if t.era == 0 {
		return math.MinInt64
	}
	return t.knownAt + RewriteTime
}

// IncompleteFor returns the time until CompleteFrom, zero if it is over.
func (t *Tracker) IncompleteFor(now time.Duration) time.Duration {
	if completeFrom := t.CompleteFrom(); completeFrom > now {
		return completeFrom - now
	}
	return 0
}

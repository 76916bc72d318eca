package dispatch

import (
	"time"

	"savoryweir/internal/state/fleet"
)

// PauseTracker tracks until when upstreams want no requests from this instance. Its times
// are those of a clock that includes the time in which the system was suspended, so that a
// pause also ends while the process is frozen. It is not safe for concurrent use.
type PauseTracker struct {
	pauses map[fleet.UpstreamID]pause
}

// pause is the request of one upstream incarnation to be sent nothing.
type pause struct {
	startedAt time.Time // start of the incarnation
	until     time.Duration
}

// NewPauseTracker returns a tracker without pauses.
func NewPauseTracker() *PauseTracker {
	return &PauseTracker{pauses: make(map[fleet.UpstreamID]pause)}
}

// Record records that an upstream wants no requests until the given time. A pause that ends
// later stays in effect.
func (t *PauseTracker) Record(u *fleet.Upstream, until time.Duration) {
	t.pauses[u.ID] = pause{startedAt: u.StartedAt, until: max(until, t.Until(u))}
}

// Until returns the end of an upstream's pause, zero if it has asked for none. A later
// incarnation of the upstream has not asked for any.
func (t *PauseTracker) Until(u *fleet.Upstream) time.Duration {
	if p, ok := t.pauses[u.ID]; ok && p.startedAt.Equal(u.StartedAt) {
		return p.until
	}
	return 0
}

// Available returns the upstreams that accept requests now. If all of them are paused, it
// returns none and the time until the first pause ends.
func (t *PauseTracker) Available(now time.Duration, upstreams []*fleet.Upstream) ([]*fleet.Upstream, time.Duration) {
	if len(t.pauses) == 0 {
		return upstreams, 0
	}
	var available []*fleet.Upstream
	var shortest time.Duration
	for _, u := range upstreams {
		left := t.Until(u) - now
		switch {
		case left <= 0:
			available = append(available, u)
		case shortest == 0 || left < shortest:
			shortest = left
		}
	}
	if len(available) > 0 {
		return available, 0
	}
	return nil, shortest
}

// RemoveExpired removes the pauses that are over.
func (t *PauseTracker) RemoveExpired(now time.Duration) {
	for id, p := range t.pauses {
		if p.until <= now {
			delete(t.pauses, id)
		}
	}
}

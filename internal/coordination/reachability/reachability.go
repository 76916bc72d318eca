// Package reachability tells upstreams that are out of reach of this instance alone from upstreams
// that are gone: an instance that fails to connect to several upstreams in a row, and to none
// in between, has lost its own path to them.
package reachability

import (
	"cmp"
	"slices"
	"time"
)

const (
	// cutFailures is the number of upstreams to which connections fail, with no success in between,
	// from which the instance counts as cut off. A request that crashes upstreams may take down two
	// or three at a time.
	cutFailures = 4
	// minCutFailures is the same number where few upstreams are known. The failure of a single one
	// may be its own.
	minCutFailures = 2
	// quietTime is the time without a response from any upstream after which a failure leads to probes of the
	// other upstreams.
	quietTime = 300 * time.Millisecond
	// probeInterval is the time between two probes of an address that is out of reach.
	probeInterval = 400 * time.Millisecond
	// maxAge is the age at which a failure that was not confirmed is forgotten.
	maxAge = 5 * time.Second
)

// Tracker tracks by address whether connections to upstreams can be opened. It is not safe for
// concurrent use.
type Tracker struct {
	failedAt  map[string]time.Time // latest failure, by address, since it was last reached
	streak    map[string]bool      // addresses that have failed since any was last reached
	reachedAt time.Time            // when any was last reached
	cutSince  time.Time            // zero unless the instance is cut off
}

// NewTracker returns a tracker without failures.
func NewTracker() *Tracker {
	return &Tracker{failedAt: make(map[string]time.Time), streak: make(map[string]bool)}
}

// RecordReached records that an upstream was reached.
func (t *Tracker) RecordReached(now time.Time, address string) {
	t.reachedAt = now
	delete(t.failedAt, address)
	clear(t.streak)
	t.cutSince = time.Time{}
}

// RecordFailed records that a connection could not be opened. known is the number of upstreams.
func (t *Tracker) RecordFailed(now time.Time, address string, known int) {
	t.failedAt[address], t.streak[address] = now, true
	if t.cutSince.IsZero() && len(t.streak) >= min(cutFailures, max(known, minCutFailures)) {
		t.cutSince = now
	}
}

// CutSince returns since when the instance has been cut off from its upstreams, and whether it is.
func (t *Tracker) CutSince() (time.Time, bool) { return t.cutSince, !t.cutSince.IsZero() }

// HasFailures reports whether any address is out of reach.
func (t *Tracker) HasFailures() bool { return len(t.failedAt) > 0 }

// IsReachable reports whether a connection to an address is expected to open.
func (t *Tracker) IsReachable(address string) bool {
	_, failed := t.failedAt[address]
	return !failed && t.cutSince.IsZero()
}

// DueProbes returns up to limit addresses whose reachability has to be checked: those out of reach,
// the longest unchecked first, after others of the known ones if none has been reached for a while.
// It counts those out of reach as checked.
func (t *Tracker) DueProbes(now time.Time, known []string, limit int) []string {
	var due []string
	for address, at := range t.failedAt {
		switch {
		case now.Sub(at) > maxAge || !slices.Contains(known, address):
			delete(t.failedAt, address)
			delete(t.streak, address)
		case now.Sub(at) >= probeInterval:
			due = append(due, address)
		}
	}
	if len(t.streak) == 0 {
		t.cutSince = time.Time{}
	}
	slices.SortFunc(due, func(a, b string) int { return cmp.Or(t.failedAt[a].Compare(t.failedAt[b]), cmp.Compare(a, b)) })
	if len(t.streak) > 0 && now.Sub(t.reachedAt) >= quietTime {
		for _, address := range known {
			if _, failed := t.failedAt[address]; !failed {
				due = slices.Insert(due, 0, address)
			}
		}
	}
	due = due[:min(len(due), limit)]
	for _, address := range due {
		if _, failed := t.failedAt[address]; failed {
			t.failedAt[address] = now
		}
	}
	return due
}

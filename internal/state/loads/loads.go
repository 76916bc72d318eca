// Package loads keeps what all instances have in flight at each upstream, as far
// as this instance knows, and how fast and how soundly each upstream answers.
package loads

import (
	"maps"
	"time"

	"savoryweir/internal/state/fleet"
)

// Ranks is the number of ranks of urgency that are told apart; rank 0 is first.
const Ranks = 4

// RankOf returns the rank of a route's priority.
func RankOf(priority int) int { return min(max(priority, 0), Ranks-1) }

// Load is the work in flight at one upstream.
type Load struct {
	// Unread is the time that reading the prompts takes whose first event has not
	// come, by rank. It is a time and not a number of tokens, as the models that
	// share an engine are not read at the same speed.
	Unread  [Ranks]time.Duration
	Running int // requests in flight whose first event has come, and all of plain services
}

// Add adds other to l.
func (l *Load) Add(other Load) {
	for i := range l.Unread {
		l.Unread[i] += other.Unread[i]
	}
	l.Running += other.Running
}

// IsZero reports whether nothing is in flight.
func (l Load) IsZero() bool { return l == Load{} }

// UnreadUpTo returns the reading time of the prompts that are served no later than rank.
func (l Load) UnreadUpTo(rank int) time.Duration {
	var sum time.Duration
	for i := 0; i <= rank; i++ {
		sum += l.Unread[i]
	}
	return sum
}

type remote struct {
	loads map[fleet.UpstreamID]Load
	heard time.Time
}

// Book holds the loads. It is not safe for concurrent use.
type Book struct {
	freshness time.Duration // age beyond which another instance's report counts no more
	own       map[fleet.UpstreamID]Load
	remote    map[string]remote
}

// NewBook returns an empty book.
func NewBook(freshness time.Duration) *Book {
	return &Book{freshness: freshness, own: make(map[fleet.UpstreamID]Load), remote: make(map[string]remote)}
}

// Change adds delta to the own load of an upstream.
func (b *Book) Change(id fleet.UpstreamID, change func(*Load)) {
	l := b.own[id]
	change(&l)
	if l.IsZero() {
		delete(b.own, id)
		return
	}
	b.own[id] = l
}

// Own returns a copy of the own loads.
func (b *Book) Own() map[fleet.UpstreamID]Load { return maps.Clone(b.own) }

// Learn replaces what another instance has in flight.
func (b *Book) Learn(now time.Time, instance string, l map[fleet.UpstreamID]Load) {
	b.remote[instance] = remote{loads: l, heard: now}
}

// Total returns the load of an upstream over all instances.
func (b *Book) Total(now time.Time, id fleet.UpstreamID) Load {
	total := b.own[id]
	for name, r := range b.remote {
		if now.Sub(r.heard) > b.freshness {
			delete(b.remote, name)
			continue
		}
		total.Add(r.loads[id])
	}
	return total
}

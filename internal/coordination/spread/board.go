// Package spread decides what an instance passes on to its neighbours. News is
// sent at once to all neighbours and repeated with later probes, so that it
// reaches all instances within seconds though messages get lost. The bundle
// head goes with every message.
//
// Board is a state machine without a clock. It is not safe for concurrent use.
package spread

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"savoryweir/internal/state/bundle"
	"savoryweir/internal/state/news"
)

// Settings configure the spread of news.
type Settings struct {
	MaxItems         int           `help:"Largest number of crash suspects and of leaving upstreams in one message." default:"16" min:"1" max:"256"`
	Repeats          int           `help:"Number of messages that carry an item." default:"24" min:"1" max:"1000"`
	LeavingRetention time.Duration `help:"Time for which an upstream counts as leaving." default:"10m" min:"10s" max:"24h"`
}

// suspectEntry is a crash suspect with the number of messages that carried it.
type suspectEntry struct {
	suspect news.CrashSuspect
	sent    int
}

// leavingEntry is a leaving upstream with the number of messages that carried it.
type leavingEntry struct {
	leaving news.UpstreamLeaving
	sent    int
}

// Board holds the news that an instance knows.
type Board struct {
	settings Settings
	head     news.Head
	suspects map[news.Fingerprint]*suspectEntry
	leaving  map[bundle.UpstreamID]*leavingEntry
}

// NewBoard returns an empty board.
func NewBoard(s Settings) *Board {
	return &Board{
		settings: s,
		suspects: make(map[news.Fingerprint]*suspectEntry),
		leaving:  make(map[bundle.UpstreamID]*leavingEntry),
	}
}

// SetHead records the head in force at this instance and reports whether it is
// newer than the last one. A lower generation is ignored.
func (b *Board) SetHead(h news.Head) bool {
	if h.Generation <= b.head.Generation {
		return false
	}
	b.head = h
	return true
}

// Offer takes in suspects and leaving upstreams and returns those that were
// news. The head of the batch is not taken: it changes by SetHead, once the
// bundle is in force here.
func (b *Board) Offer(now time.Time, batch news.Batch) news.Batch {
	var fresh news.Batch
	for _, s := range batch.Suspects {
		if s.Expires.After(now) && b.offerSuspect(s) {
			fresh.Suspects = append(fresh.Suspects, b.suspects[s.Fingerprint].suspect)
		}
	}
	for _, l := range batch.Leaving {
		if now.Sub(l.Since) < b.settings.LeavingRetention && b.offerLeaving(l) {
			fresh.Leaving = append(fresh.Leaving, l)
		}
	}
	return fresh
}

func (b *Board) offerSuspect(s news.CrashSuspect) bool {
	entry, known := b.suspects[s.Fingerprint]
	if !known {
		s.Upstreams = union(nil, s.Upstreams)
		b.suspects[s.Fingerprint] = &suspectEntry{suspect: s}
		return true
	}
	merged := union(entry.suspect.Upstreams, s.Upstreams)
	if len(merged) == len(entry.suspect.Upstreams) {
		return false
	}
	entry.suspect.Upstreams = merged
	if s.Expires.After(entry.suspect.Expires) {
		entry.suspect.Expires = s.Expires
	}
	entry.sent = 0
	return true
}

func (b *Board) offerLeaving(l news.UpstreamLeaving) bool {
	entry, known := b.leaving[l.Upstream]
	if known && !l.Since.After(entry.leaving.Since.Add(b.settings.LeavingRetention/2)) {
		return false
	}
	b.leaving[l.Upstream] = &leavingEntry{leaving: l}
	return true
}

func union(a, b []bundle.UpstreamID) []bundle.UpstreamID {
	merged := slices.Concat(a, b)
	slices.Sort(merged)
	return slices.Compact(merged)
}

// Known returns all news that has not expired.
func (b *Board) Known(now time.Time) news.Batch {
	b.expire(now)
	known := news.Batch{Head: b.head}
	for _, f := range b.suspectOrder() {
		known.Suspects = append(known.Suspects, b.suspects[f].suspect)
	}
	for _, id := range slices.Sorted(maps.Keys(b.leaving)) {
		known.Leaving = append(known.Leaving, b.leaving[id].leaving)
	}
	return known
}

// Next returns what goes with the next message: the head, and the items that
// were sent least often and not yet as often as the setting says.
func (b *Board) Next(now time.Time) news.Batch {
	b.expire(now)
	batch := news.Batch{Head: b.head}
	for _, f := range b.suspectOrder() {
		entry := b.suspects[f]
		if entry.sent >= b.settings.Repeats || len(batch.Suspects) >= b.settings.MaxItems {
			break
		}
		entry.sent++
		batch.Suspects = append(batch.Suspects, entry.suspect)
	}
	for _, id := range b.leavingOrder() {
		entry := b.leaving[id]
		if entry.sent >= b.settings.Repeats || len(batch.Leaving) >= b.settings.MaxItems {
			break
		}
		entry.sent++
		batch.Leaving = append(batch.Leaving, entry.leaving)
	}
	return batch
}

// suspectOrder returns the fingerprints, least often sent first.
func (b *Board) suspectOrder() []news.Fingerprint {
	return slices.SortedFunc(maps.Keys(b.suspects), func(x, y news.Fingerprint) int {
		return cmp.Or(cmp.Compare(b.suspects[x].sent, b.suspects[y].sent), slices.Compare(x[:], y[:]))
	})
}

// leavingOrder returns the upstreams, least often sent first.
func (b *Board) leavingOrder() []bundle.UpstreamID {
	return slices.SortedFunc(maps.Keys(b.leaving), func(x, y bundle.UpstreamID) int {
		return cmp.Or(cmp.Compare(b.leaving[x].sent, b.leaving[y].sent), cmp.Compare(x, y))
	})
}

func (b *Board) expire(now time.Time) {
	for f, entry := range b.suspects {
		if !entry.suspect.Expires.After(now) {
			delete(b.suspects, f)
		}
	}
	for id, entry := range b.leaving {
		if now.Sub(entry.leaving.Since) >= b.settings.LeavingRetention {
			delete(b.leaving, id)
		}
	}
}

// Package spread decides what an instance passes on to its neighbours. News is
// sent at once to all neighbours and repeated with later probes, so that it
// reaches all instances within seconds though messages get lost; news of cells
// is gathered for a short time first. The bundle head and a digest of all cell
// heads go with every probe.
//
// Board is a state machine without a clock. It is not safe for concurrent use.
package gossip

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"savoryweir/internal/state/bundle"
	"savoryweir/internal/state/news"
)

// Settings configure the spread of news.
type Settings struct {
	MaxItems         int           `help:"Largest number of items of one kind in one message." default:"16" min:"1" max:"256"`
	Repeats          int           `help:"Number of messages that carry an item." default:"24" min:"1" max:"1000"`
	CellInterval     time.Duration `help:"Shortest time between two messages to a neighbour about newer replicas. Probes tell of them meanwhile." default:"5s" min:"10ms" max:"1m"`
	CellRepeats      int           `help:"Number of probes that repeat the news of one cell's newer replicas. A digest makes good what still gets lost." default:"4" min:"1" max:"1000"`
	LeavingRetention time.Duration `help:"Time for which an upstream counts as leaving." default:"10m" min:"10s" max:"24h"`
}

// State holds the news that an instance knows.
type State struct {
	settings Settings
	head     news.Head
	suspects map[news.Fingerprint]*item[news.CrashSuspect]
	leaving  map[bundle.UpstreamID]*item[news.UpstreamLeaving]
	cells    map[news.CellID]*item[news.CellHead]
	digest   uint64 // exclusive or of the hashes of all cell heads
}

// NewState returns an empty board.
func NewState(s Settings) *State {
	return &State{
		settings: s,
		suspects: make(map[news.Fingerprint]*item[news.CrashSuspect]),
		leaving:  make(map[bundle.UpstreamID]*item[news.UpstreamLeaving]),
		cells:    make(map[news.CellID]*item[news.CellHead]),
	}
}

// SetHead records the head in force at this instance and reports whether it is
// newer than the last one. A lower generation is ignored.
func (b *State) SetHead(h news.Head) bool {
	if h.Generation <= b.head.Generation {
		return false
	}
	b.head = h
	return true
}

// Merge takes in suspects, leaving upstreams and cell heads and returns those
// that were news. The bundle head of the batch is not taken: it changes by
// SetHead, once the bundle is in force here.
func (b *State) Merge(now time.Time, batch news.Batch) news.Batch {
	var fresh news.Batch
	for _, s := range batch.Suspects {
		if s.Expires.After(now) && b.offerSuspect(s) {
			fresh.Suspects = append(fresh.Suspects, b.suspects[s.Fingerprint].value)
		}
	}
	for _, l := range batch.Leaving {
		if now.Sub(l.Since) < b.settings.LeavingRetention && b.offerLeaving(l) {
			fresh.Leaving = append(fresh.Leaving, l)
		}
	}
	for _, c := range batch.Cells {
		if b.offerCell(c) {
			fresh.Cells = append(fresh.Cells, c)
		}
	}
	return fresh
}

func (b *State) offerSuspect(s news.CrashSuspect) bool {
	s.Upstreams = union(nil, s.Upstreams)
	if known, ok := b.suspects[s.Fingerprint]; ok {
		merged, isNews := mergeSuspects(known.value, s)
		if !isNews {
			return false
		}
		s = merged
	}
	b.suspects[s.Fingerprint] = &item[news.CrashSuspect]{value: s, name: string(s.Fingerprint[:])}
	return true
}

// mergeSuspects joins two records of a request and reports whether the offered
// one was news. A record without upstreams clears the request, and the later of
// a cleared and an uncleared record wins.
func mergeSuspects(known, offered news.CrashSuspect) (news.CrashSuspect, bool) {
	if len(known.Upstreams) == 0 || len(offered.Upstreams) == 0 {
		return offered, offered.Expires.After(known.Expires)
	}
	merged := offered
	merged.Upstreams = union(known.Upstreams, offered.Upstreams)
	merged.Expires = latest(known.Expires, offered.Expires)
	isNews := len(merged.Upstreams) > len(known.Upstreams) || merged.Expires.After(known.Expires)
	return merged, isNews
}

// offerLeaving takes a change between leaving and returned if it is later than
// what is known, and a repetition once half of the retention has passed.
func (b *State) offerLeaving(l news.UpstreamLeaving) bool {
	known, ok := b.leaving[l.Upstream]
	if !ok && l.Returned {
		return false
	}
	if ok && l.Returned == known.value.Returned && l.Since.Before(known.value.Since.Add(b.settings.LeavingRetention/2)) {
		return false
	}
	if ok && !l.Since.After(known.value.Since) {
		return false
	}
	b.leaving[l.Upstream] = &item[news.UpstreamLeaving]{value: l, name: string(l.Upstream)}
	return true
}

func (b *State) offerCell(c news.CellHead) bool {
	known, ok := b.cells[c.Cell]
	if ok && c.Version <= known.value.Version {
		return false
	}
	if ok {
		b.digest ^= hashCell(known.value)
	}
	b.digest ^= hashCell(c)
	b.cells[c.Cell] = &item[news.CellHead]{value: c, name: string(c.Cell)}
	return true
}

func hashCell(c news.CellHead) uint64 {
	return xxhash.Sum64String(string(c.Cell) + "\x00" + strconv.FormatUint(c.Version, 10))
}

// union returns a and those of b that are not in a, in their order.
func union(a, b []bundle.UpstreamID) []bundle.UpstreamID {
	merged := slices.Clone(a)
	for _, id := range b {
		if !slices.Contains(merged, id) {
			merged = append(merged, id)
		}
	}
	return merged
}

func latest(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// Head returns the bundle head in force at this instance.
func (b *State) Head() news.Head { return b.head }

// CellsDigest is equal at two instances that know the same cell heads.
func (b *State) CellsDigest() uint64 { return b.digest }

// Snapshot returns all news that has not expired.
func (b *State) Snapshot(now time.Time) news.Batch {
	b.expire(now)
	return news.Batch{
		Head:        b.head,
		Suspects:    values(b.suspects),
		Leaving:     values(b.leaving),
		Cells:       values(b.cells),
		CellsDigest: b.digest,
	}
}

// NextBatch returns what goes with the next message: the head, and the items that
// were sent least often and not yet as often as the setting says.
func (b *State) NextBatch(now time.Time) news.Batch {
	b.expire(now)
	return news.Batch{
		Head:        b.head,
		Suspects:    take(b.suspects, b.settings.Repeats, b.settings.MaxItems),
		Leaving:     take(b.leaving, b.settings.Repeats, b.settings.MaxItems),
		Cells:       take(b.cells, b.settings.CellRepeats, b.settings.MaxItems),
		CellsDigest: b.digest,
	}
}

func (b *State) expire(now time.Time) {
	for f, s := range b.suspects {
		if !s.value.Expires.After(now) {
			delete(b.suspects, f)
		}
	}
	for id, l := range b.leaving {
		if now.Sub(l.value.Since) >= b.settings.LeavingRetention {
			delete(b.leaving, id)
		}
	}
}

// item is one piece of news with the number of messages that carried it.
type item[T any] struct {
	value T
	name  string // orders items that were sent equally often
	sent  int
}

// values returns all items in order of their names.
func values[K comparable, T any](items map[K]*item[T]) []T {
	byName := func(x, y *item[T]) int { return cmp.Compare(x.name, y.name) }
	var all []T
	for _, i := range slices.SortedFunc(maps.Values(items), byName) {
		all = append(all, i.value)
	}
	return all
}

// take returns the items of the next message and counts them as sent.
func take[K comparable, T any](items map[K]*item[T], repeats, most int) []T {
	var due []*item[T]
	for _, i := range items {
		if i.sent < repeats {
			due = append(due, i)
		}
	}
	slices.SortFunc(due, func(x, y *item[T]) int {
		return cmp.Or(cmp.Compare(x.sent, y.sent), cmp.Compare(x.name, y.name))
	})
	var taken []T
	for _, i := range due[:min(len(due), most)] {
		i.sent++
		taken = append(taken, i.value)
	}
	return taken
}

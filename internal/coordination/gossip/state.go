// Package gossip decides which items an instance sends to its neighbours: crash suspects,
// leaving upstreams and cell heads. A new item is sent to all neighbours immediately and
// repeated with later probes, so that it reaches all instances within seconds even if
// messages are lost. New cell heads are first collected for a short time. The bundle head
// and a digest of all cell heads are part of every probe.
//
// State is a state machine without a clock. It is not safe for concurrent use.
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

// Settings configure the dissemination of items.
type Settings struct {
	MaxItems         int           `help:"Largest number of items of one kind in one message." default:"16" min:"1" max:"256"`
	Repeats          int           `help:"Number of messages that carry an item." default:"24" min:"1" max:"1000"`
	CellInterval     time.Duration `help:"Shortest time between two messages to a neighbour about newer replicas. Probes carry them in the meantime." default:"5s" min:"10ms" max:"1m"`
	CellRepeats      int           `help:"Number of probes that repeat the newer replicas of one cell. Peers compare digests to detect and fetch what is lost nevertheless." default:"4" min:"1" max:"1000"`
	LeavingRetention time.Duration `help:"Time for which an upstream counts as leaving." default:"10m" min:"10s" max:"24h"`
}

// State holds the items that an instance knows and the number of times that each was sent.
type State struct {
	settings Settings
	head     news.Head
	suspects map[news.Fingerprint]*item[news.CrashSuspect]
	leaving  map[bundle.UpstreamID]*item[news.UpstreamLeaving]
	cells    map[news.CellID]*item[news.CellHead]
	digest   uint64 // exclusive or of the hashes of all cell heads
}

// NewState returns an empty state.
func NewState(s Settings) *State {
	return &State{
		settings: s,
		suspects: make(map[news.Fingerprint]*item[news.CrashSuspect]),
		leaving:  make(map[bundle.UpstreamID]*item[news.UpstreamLeaving]),
		cells:    make(map[news.CellID]*item[news.CellHead]),
	}
}

// SetHead records the bundle head in force at this instance and reports whether it is
// newer than the last one. A head with a lower or equal generation is ignored.
func (st *State) SetHead(h news.Head) bool {
	if h.Generation <= st.head.Generation {
		return false
	}
	st.head = h
	return true
}

// Merge adds the suspects, leaving upstreams and cell heads of a batch and returns those
// that were new. It ignores the bundle head of the batch, which only SetHead changes once
// the bundle is in force at this instance.
func (st *State) Merge(now time.Time, batch news.Batch) news.Batch {
	var fresh news.Batch
	for _, s := range batch.Suspects {
		if s.Expires.After(now) && st.mergeSuspect(s) {
			fresh.Suspects = append(fresh.Suspects, st.suspects[s.Fingerprint].value)
		}
	}
	for _, l := range batch.Leaving {
		if now.Sub(l.Since) < st.settings.LeavingRetention && st.mergeLeaving(l) {
			fresh.Leaving = append(fresh.Leaving, l)
		}
	}
	for _, c := range batch.Cells {
		if st.mergeCell(c) {
			fresh.Cells = append(fresh.Cells, c)
		}
	}
	return fresh
}

func (st *State) mergeSuspect(s news.CrashSuspect) bool {
	s.Upstreams = union(nil, s.Upstreams)
	if known, ok := st.suspects[s.Fingerprint]; ok {
		merged, isNew := joinSuspects(known.value, s)
		if !isNew {
			return false
		}
		s = merged
	}
	st.suspects[s.Fingerprint] = &item[news.CrashSuspect]{value: s, sortKey: string(s.Fingerprint[:])}
	return true
}

// joinSuspects joins two records of a request and reports whether the received one contained
// anything new. A record without upstreams clears the request. Of a cleared and an uncleared
// record, the one that expires later wins.
func joinSuspects(known, received news.CrashSuspect) (news.CrashSuspect, bool) {
	if len(known.Upstreams) == 0 || len(received.Upstreams) == 0 {
		return received, received.Expires.After(known.Expires)
	}
	merged := received
	merged.Upstreams = union(known.Upstreams, received.Upstreams)
	merged.Expires = later(known.Expires, received.Expires)
	isNew := len(merged.Upstreams) > len(known.Upstreams) || merged.Expires.After(known.Expires)
	return merged, isNew
}

// mergeLeaving accepts a change between leaving and returned if it is later than the known
// record, and a repetition of the same state once half of the retention has passed. It
// ignores the return of an upstream that is not known to have left.
func (st *State) mergeLeaving(l news.UpstreamLeaving) bool {
	known, ok := st.leaving[l.Upstream]
	if !ok && l.Returned {
		return false
	}
	if ok && l.Returned == known.value.Returned && l.Since.Before(known.value.Since.Add(st.settings.LeavingRetention/2)) {
		return false
	}
	if ok && !l.Since.After(known.value.Since) {
		return false
	}
	st.leaving[l.Upstream] = &item[news.UpstreamLeaving]{value: l, sortKey: string(l.Upstream)}
	return true
}

func (st *State) mergeCell(c news.CellHead) bool {
	known, ok := st.cells[c.Cell]
	if ok && c.Version <= known.value.Version {
		return false
	}
	if ok {
		st.digest ^= hashCell(known.value)
	}
	st.digest ^= hashCell(c)
	st.cells[c.Cell] = &item[news.CellHead]{value: c, sortKey: string(c.Cell)}
	return true
}

func hashCell(c news.CellHead) uint64 {
	return xxhash.Sum64String(string(c.Cell) + "\x00" + strconv.FormatUint(c.Version, 10))
}

// union returns the ids of a, followed by those of b that are not in a, each in their order.
func union(a, b []bundle.UpstreamID) []bundle.UpstreamID {
	merged := slices.Clone(a)
	for _, id := range b {
		if !slices.Contains(merged, id) {
			merged = append(merged, id)
		}
	}
	return merged
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// Head returns the bundle head in force at this instance.
func (st *State) Head() news.Head { return st.head }

// CellsDigest returns a digest of all cell heads. Two instances that know the same cell
// heads have the same digest.
func (st *State) CellsDigest() uint64 { return st.digest }

// Snapshot returns the bundle head and all items that have not expired.
func (st *State) Snapshot(now time.Time) news.Batch {
	st.expire(now)
	return news.Batch{
		Head:        st.head,
		Suspects:    sortedValues(st.suspects),
		Leaving:     sortedValues(st.leaving),
		Cells:       sortedValues(st.cells),
		CellsDigest: st.digest,
	}
}

// NextBatch returns the content of the next message: the bundle head and the items that
// were sent least often and fewer times than the settings require. It counts them as sent.
func (st *State) NextBatch(now time.Time) news.Batch {
	st.expire(now)
	return news.Batch{
		Head:        st.head,
		Suspects:    takeDue(st.suspects, st.settings.Repeats, st.settings.MaxItems),
		Leaving:     takeDue(st.leaving, st.settings.Repeats, st.settings.MaxItems),
		Cells:       takeDue(st.cells, st.settings.CellRepeats, st.settings.MaxItems),
		CellsDigest: st.digest,
	}
}

func (st *State) expire(now time.Time) {
	for f, s := range st.suspects {
		if !s.value.Expires.After(now) {
			delete(st.suspects, f)
		}
	}
	for id, l := range st.leaving {
		if now.Sub(l.value.Since) >= st.settings.LeavingRetention {
			delete(st.leaving, id)
		}
	}
}

// item is one value with the number of messages that carried it.
type item[T any] struct {
	value     T
	sortKey   string // determines the order of items that were sent equally often
	sentCount int
}

// sortedValues returns the values of all items in the order of their sort keys.
func sortedValues[K comparable, T any](items map[K]*item[T]) []T {
	bySortKey := func(x, y *item[T]) int { return cmp.Compare(x.sortKey, y.sortKey) }
	var all []T
	for _, i := range slices.SortedFunc(maps.Values(items), bySortKey) {
		all = append(all, i.value)
	}
	return all
}

// takeDue returns at most maxItems values of items that were sent fewer than repeats times,
// those sent least often first, and counts them as sent.
func takeDue[K comparable, T any](items map[K]*item[T], repeats, maxItems int) []T {
	var due []*item[T]
	for _, i := range items {
		if i.sentCount < repeats {
			due = append(due, i)
		}
	}
	slices.SortFunc(due, func(x, y *item[T]) int {
		return cmp.Or(cmp.Compare(x.sentCount, y.sentCount), cmp.Compare(x.sortKey, y.sortKey))
	})
	var taken []T
	for _, i := range due[:min(len(due), maxItems)] {
		i.sentCount++
		taken = append(taken, i.value)
	}
	return taken
}

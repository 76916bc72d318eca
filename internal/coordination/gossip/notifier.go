package gossip

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"savoryweir/internal/state/member"
	"savoryweir/internal/state/news"
)

// maxTold bounds the heads in one message to a neighbour.
const maxTold = 64

// Notification is one message to a neighbour about cells that are newer here.
type Notification struct {
	To    member.Member
	Heads []news.CellHead
}

// CellNotifier decides when an instance tells its neighbours of newer cells, and of which.
// Changes within the cell interval go in one message, and a neighbour is not told
// of what it told itself. It is a state machine without a clock and is not safe
// for concurrent use.
type CellNotifier struct {
	interval time.Duration
	told     time.Time
	fresh    map[news.CellID]uint64
	heard    map[member.ID]map[news.CellID]uint64
}

// NewCellNotifier returns a teller that knows of no news.
func NewCellNotifier(s Settings) *CellNotifier {
	return &CellNotifier{
		interval: s.CellInterval,
		fresh:    make(map[news.CellID]uint64),
		heard:    make(map[member.ID]map[news.CellID]uint64),
	}
}

// OnUpdated notes cells that have become newer here.
func (t *CellNotifier) OnUpdated(heads []news.CellHead) {
	for _, h := range heads {
		t.fresh[h.Cell] = max(t.fresh[h.Cell], h.Version)
	}
}

// OnReceived notes that a peer has these cells.
func (t *CellNotifier) OnReceived(from member.ID, heads []news.CellHead) {
	known, ok := t.heard[from]
	if !ok {
		known = make(map[news.CellID]uint64)
		t.heard[from] = known
	}
	for _, h := range heads {
		known[h.Cell] = max(known[h.Cell], h.Version)
	}
}

// Next returns the messages that are due, at most one for each neighbour.
func (t *CellNotifier) Next(now time.Time, neighbours []member.Member) []Notification {
	if len(t.fresh) == 0 || now.Sub(t.told) < t.interval {
		return nil
	}
	t.told = now
	t.forgetOthers(neighbours)
	heads := t.takeFresh()
	var tells []Notification
	for _, m := range neighbours {
		unknown := slices.DeleteFunc(slices.Clone(heads), func(h news.CellHead) bool {
			return t.heard[m.ID][h.Cell] >= h.Version
		})
		if len(unknown) > 0 {
			tells = append(tells, Notification{To: m, Heads: unknown})
		}
	}
	return tells
}

// takeFresh returns the heads of the next messages, in the order of their cells.
func (t *CellNotifier) takeFresh() []news.CellHead {
	heads := make([]news.CellHead, 0, len(t.fresh))
	for id, version := range t.fresh {
		heads = append(heads, news.CellHead{Cell: id, Version: version})
	}
	slices.SortFunc(heads, func(a, b news.CellHead) int { return cmp.Compare(a.Cell, b.Cell) })
	heads = heads[:min(len(heads), maxTold)]
	for _, h := range heads {
		delete(t.fresh, h.Cell)
	}
	return heads
}

// forgetOthers drops what was heard from those that are no neighbours.
func (t *CellNotifier) forgetOthers(neighbours []member.Member) {
	maps.DeleteFunc(t.heard, func(id member.ID, _ map[news.CellID]uint64) bool {
		return !slices.ContainsFunc(neighbours, func(m member.Member) bool { return m.ID == id })
	})
}

package gossip

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"savoryweir/internal/state/member"
	"savoryweir/internal/state/news"
)

// maxHeadsPerNotification bounds the number of cell heads in one message to a neighbour.
const maxHeadsPerNotification = 64

// Notification is one message to a neighbour with cell heads that are newer at this instance.
type Notification struct {
	To    member.Member
	Heads []news.CellHead
}

// CellNotifier decides when an instance notifies its neighbours of newer cell heads, and of
// which ones. Changes within the cell interval are sent in one message, and a neighbour is
// not notified of heads that it sent itself. CellNotifier is a state machine without a clock
// and is not safe for concurrent use.
type CellNotifier struct {
	interval     time.Duration
	lastNotified time.Time
	pending      map[news.CellID]uint64
	receivedFrom map[member.ID]map[news.CellID]uint64
}

// NewCellNotifier returns a notifier without pending heads.
func NewCellNotifier(s Settings) *CellNotifier {
	return &CellNotifier{
		interval:     s.CellInterval,
		pending:      make(map[news.CellID]uint64),
		receivedFrom: make(map[member.ID]map[news.CellID]uint64),
	}
}

// OnUpdated records cell heads that have become newer at this instance.
func (n *CellNotifier) OnUpdated(heads []news.CellHead) {
	for _, h := range heads {
		n.pending[h.Cell] = max(n.pending[h.Cell], h.Version)
	}
}

// OnReceived records that a peer has these cell heads.
func (n *CellNotifier) OnReceived(from member.ID, heads []news.CellHead) {
	known, ok := n.receivedFrom[from]
	if !ok {
		known = make(map[news.CellID]uint64)
		n.receivedFrom[from] = known
	}
	for _, h := range heads {
		known[h.Cell] = max(known[h.Cell], h.Version)
	}
}

// Next returns the messages to send now, at most one for each neighbour.
func (n *CellNotifier) Next(now time.Time, neighbours []member.Member) []Notification {
	if len(n.pending) == 0 || now.Sub(n.lastNotified) < n.interval {
		return nil
	}
	n.lastNotified = now
	n.forgetNonNeighbours(neighbours)
	heads := n.takePending()
	var notifications []Notification
	for _, m := range neighbours {
		unknown := slices.DeleteFunc(slices.Clone(heads), func(h news.CellHead) bool {
			return n.receivedFrom[m.ID][h.Cell] >= h.Version
		})
		if len(unknown) > 0 {
			notifications = append(notifications, Notification{To: m, Heads: unknown})
		}
	}
	return notifications
}

// takePending removes the heads of the next messages from the pending ones and returns them
// in the order of their cells.
func (n *CellNotifier) takePending() []news.CellHead {
	heads := make([]news.CellHead, 0, len(n.pending))
	for id, version := range n.pending {
		heads = append(heads, news.CellHead{Cell: id, Version: version})
	}
	slices.SortFunc(heads, func(a, b news.CellHead) int { return cmp.Compare(a.Cell, b.Cell) })
	heads = heads[:min(len(heads), maxHeadsPerNotification)]
	for _, h := range heads {
		delete(n.pending, h.Cell)
	}
	return heads
}

// forgetNonNeighbours removes the heads received from peers that are not neighbours.
func (n *CellNotifier) forgetNonNeighbours(neighbours []member.Member) {
	maps.DeleteFunc(n.receivedFrom, func(id member.ID, _ map[news.CellID]uint64) bool {
		return !slices.ContainsFunc(neighbours, func(m member.Member) bool { return m.ID == id })
	})
}

// Package cells stores the replicas of all placement cells at an instance. The
// holder of a cell publishes its replicas. Every other instance fetches the changes
// from a peer that announces a newer version, and fetches the whole cell if the
// changes can't be applied to its version.
package cells

import (
	"context"
	"errors"
	"maps"
	"slices"
	"sync"

	"github.com/rs/zerolog"

	"savoryweir/internal/queue"
	"savoryweir/internal/state/member"
	"savoryweir/internal/state/news"
	"savoryweir/internal/state/replica"
)

// offerQueueLength is the maximum number of offers that wait to be fetched.
const offerQueueLength = 256

// Broadcaster announces to the peers that this instance has newer versions of cells.
type Broadcaster interface {
	Offer(ctx context.Context, batch news.Batch) error
}

// Store holds the latest known replicas of each cell.
type Store struct {
	log    zerolog.Logger
	offers *queue.Queue[offer]

	mu    sync.Mutex // guards cells
	cells map[news.CellID]*replica.History

	changed chan struct{} // buffers one token when a cell has changed
}

// New returns an empty store.
func New(log zerolog.Logger) *Store {
	return &Store{
		log:     log,
		offers:  queue.New[offer](offerQueueLength),
		cells:   make(map[news.CellID]*replica.History),
		changed: make(chan struct{}, 1),
	}
}

// Changed returns a channel that receives a token after a cell has changed.
func (s *Store) Changed() <-chan struct{} { return s.changed }

// Cell returns the latest known replicas of a cell, or false if the cell is unknown.
func (s *Store) Cell(id news.CellID) (replica.Cell, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	h, ok := s.cells[id]
	if !ok {
		return replica.Cell{}, false
	}
	return h.Cell(), true
}

// Heads returns the heads of all cells in the order of their ids.
func (s *Store) Heads() []news.CellHead {
	s.mu.Lock()
	defer s.mu.Unlock()
	heads := make([]news.CellHead, 0, len(s.cells))
	for _, id := range slices.Sorted(maps.Keys(s.cells)) {
		heads = append(heads, s.cells[id].Cell().Head)
	}
	return heads
}

// Since returns the changes of the cells in known since the versions given there. If
// others is true, it also returns all cells that are not in known. Cells that this
// instance does not have, or not in a newer version, are left out.
func (s *Store) Since(known []news.CellHead, others bool) []replica.Delta {
	s.mu.Lock()
	defer s.mu.Unlock()
	versions := make(map[news.CellID]uint64, len(known))
	for _, head := range known {
		versions[head.Cell] = head.Version
	}
	var newer []replica.Delta
	for _, id := range slices.Sorted(maps.Keys(s.cells)) {
		version, isNamed := versions[id]
		if (isNamed || others) && version < s.cells[id].Cell().Head.Version {
			newer = append(newer, s.cells[id].Since(version))
		}
	}
	return newer
}

// apply stores a newer version of a cell, given whole or as a delta.
func (s *Store) apply(d replica.Delta) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	id := d.Cell.Head.Cell
	h, ok := s.cells[id]
	if !ok {
		h = &replica.History{}
	}
	if err := h.Apply(d); err != nil {
		return err
	}
	s.cells[id] = h
	select {
	case s.changed <- struct{}{}:
	default:
	}
	return nil
}

// Publish stores a cell that this instance holds and announces it to the peers. A
// cell that is not newer than the stored one is ignored.
func (s *Store) Publish(ctx context.Context, c replica.Cell, broadcaster Broadcaster) error {
	c.Replicas = slices.Clone(c.Replicas)
	replica.Sort(c.Replicas)
	err := s.apply(replica.Delta{Cell: c, Digest: c.Digest()})
	if errors.Is(err, replica.ErrStale) {
		return nil
	}
	if err != nil {
		return err
	}
	return broadcaster.Offer(ctx, news.Batch{Cells: []news.CellHead{c.Head}})
}

// OfferCell records that source has a version of a cell. It does not block. If the
// queue is full, the offer is dropped; a later message offers the version again.
func (s *Store) OfferCell(head news.CellHead, source member.Member) {
	if s.isNewer(head) {
		s.offers.Offer(offer{head: head, source: source})
	}
}

// OfferAll records that source has other cells, or other versions of them, than this
// instance. It does not block.
func (s *Store) OfferAll(source member.Member) {
	s.offers.Offer(offer{source: source, all: true})
}

func (s *Store) isNewer(head news.CellHead) bool {
	known, ok := s.Cell(head.Cell)
	return !ok || known.Head.Version < head.Version
}

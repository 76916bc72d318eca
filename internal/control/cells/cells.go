// Package cells keeps the replicas of all placement cells at an instance. The
// holder of a cell publishes them; all others fetch what changed from a peer
// that tells of a newer version, and the whole cell where that does not fit.
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

// offerRingLength bounds the offers that wait for their fetch.
const offerRingLength = 256

// Broadcaster tells the peers of a newer version that is here.
type Broadcaster interface {
	Offer(ctx context.Context, batch news.Batch) error
}

// Store holds the latest known replicas of each cell.
type Store struct {
	log    zerolog.Logger
	offers *queue.Queue[offer]

	mu    sync.Mutex // guards cells
	cells map[news.CellID]*replica.History

	changed chan struct{} // holds one token when a cell changed
}

// New returns an empty store.
func New(log zerolog.Logger) *Store {
	return &Store{
		log:     log,
		offers:  queue.New[offer](offerRingLength),
		cells:   make(map[news.CellID]*replica.History),
		changed: make(chan struct{}, 1),
	}
}

// Changed receives a token after a cell has changed.
func (s *Store) Changed() <-chan struct{} { return s.changed }

// Cell returns the replicas of a cell.
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

// Since returns what the named cells hold that is newer than the given versions,
// with others also the cells that are not named. Cells that are not here, or not
// newer here, are left out.
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

// take takes in a newer cell, whole or as a delta.
func (s *Store) take(d replica.Delta) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	id := d.Cell.Head.Cell
	h, ok := s.cells[id]
	if !ok {
		h = &replica.History{}
	}
	if err := h.Take(d); err != nil {
		return err
	}
	s.cells[id] = h
	select {
	case s.changed <- struct{}{}:
	default:
	}
	return nil
}

// Publish takes in a cell that this instance holds and tells the peers. A cell
// that is not newer than the known one is ignored.
func (s *Store) Publish(ctx context.Context, c replica.Cell, spreader Broadcaster) error {
	c.Replicas = slices.Clone(c.Replicas)
	replica.Sort(c.Replicas)
	err := s.take(replica.Delta{Cell: c, Digest: c.Digest()})
	if errors.Is(err, replica.ErrStale) {
		return nil
	}
	if err != nil {
		return err
	}
	return spreader.Offer(ctx, news.Batch{Cells: []news.CellHead{c.Head}})
}

// OfferCell notes that source has a version of a cell. It does not block; what
// does not fit is offered again by a later message.
func (s *Store) OfferCell(head news.CellHead, source member.Member) {
	if s.isNews(head) {
		s.offers.Offer(offer{head: head, source: source})
	}
}

// OfferAll notes that source has other cells, or other versions, than this
// instance. It does not block.
func (s *Store) OfferAll(source member.Member) {
	s.offers.Offer(offer{source: source, all: true})
}

func (s *Store) isNews(head news.CellHead) bool {
	known, ok := s.Cell(head.Cell)
	return !ok || known.Head.Version < head.Version
}

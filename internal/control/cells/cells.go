// Package cells keeps the replicas of all placement cells at an instance. The
// holder of a cell publishes them; all others fetch them from the peer that
// tells of a newer version.
package cells

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"savoryweir/internal/errs"
	"savoryweir/internal/ring"
	"savoryweir/internal/state/member"
	"savoryweir/internal/state/news"
	"savoryweir/internal/state/replica"
)

const (
	offerRingLength = 256
	fetchTimeout    = 2 * time.Second
	stepFetch       = errs.Step("fetch cell replicas")
)

// Fetcher asks a peer for the replicas of cells.
type Fetcher interface {
	FetchCellsFrom(ctx context.Context, from member.Member, ids []news.CellID) ([]replica.Cell, error)
}

// Spreader tells the peers of a newer version that is here.
type Spreader interface {
	Offer(ctx context.Context, batch news.Batch) error
}

// offer is a cell head that a peer told of.
type offer struct {
	head   news.CellHead
	source member.Member
}

// Store holds the latest known replicas of each cell.
type Store struct {
	log    zerolog.Logger
	offers *ring.Ring[offer]

	mu    sync.Mutex // guards cells
	cells map[news.CellID]replica.Cell

	changed chan struct{} // holds one token when a cell changed
}

// New returns an empty store.
func New(log zerolog.Logger) *Store {
	return &Store{
		log:     log,
		offers:  ring.New[offer](offerRingLength),
		cells:   make(map[news.CellID]replica.Cell),
		changed: make(chan struct{}, 1),
	}
}

// Changed receives a token after a cell has changed.
func (s *Store) Changed() <-chan struct{} { return s.changed }

// Cell returns the replicas of a cell.
func (s *Store) Cell(id news.CellID) (replica.Cell, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c, ok := s.cells[id]
	return c, ok
}

// All returns all cells in the order of their ids.
func (s *Store) All() []replica.Cell {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := make([]replica.Cell, 0, len(s.cells))
	for _, c := range s.cells {
		all = append(all, c)
	}
	slices.SortFunc(all, func(a, b replica.Cell) int { return cmp.Compare(a.Head.Cell, b.Head.Cell) })
	return all
}

// put takes in a cell if it is newer than the known one.
func (s *Store) put(c replica.Cell) bool {
	s.mu.Lock()
	known, ok := s.cells[c.Head.Cell]
	isNewer := !ok || c.Head.Version > known.Head.Version
	if isNewer {
		s.cells[c.Head.Cell] = c
	}
	s.mu.Unlock()
	if isNewer {
		select {
		case s.changed <- struct{}{}:
		default:
		}
	}
	return isNewer
}

// Publish takes in a cell that this instance holds and tells the peers.
func (s *Store) Publish(ctx context.Context, c replica.Cell, spreader Spreader) error {
	if !s.put(c) {
		return nil
	}
	return spreader.Offer(ctx, news.Batch{Cells: []news.CellHead{c.Head}})
}

// OfferCell notes that source has a version of a cell. It does not block; what
// does not fit is offered again by a later message.
func (s *Store) OfferCell(head news.CellHead, source member.Member) {
	if known, ok := s.Cell(head.Cell); ok && known.Head.Version >= head.Version {
		return
	}
	s.offers.Offer(offer{head: head, source: source})
}

// Run fetches the offered cells until ctx ends.
func (s *Store) Run(ctx context.Context, fetcher Fetcher, spreader Spreader) error {
	for {
		first, err := s.offers.Get(ctx)
		if err != nil {
			return nil
		}
		batch := append([]offer{first}, s.offers.Drain(offerRingLength)...)
		for source, ids := range s.missing(batch) {
			if err := s.fetch(ctx, fetcher, spreader, source, ids); err != nil {
				s.log.Debug().Err(errs.Wrap(err, stepFetch, errs.Peer(source.ID))).Msg("Cells were not fetched.")
			}
		}
	}
}

// missing groups the offers that are still newer than what is here by source.
func (s *Store) missing(batch []offer) map[member.Member][]news.CellID {
	bySource := make(map[member.Member][]news.CellID)
	asked := make(map[news.CellHead]bool)
	for _, o := range batch {
		known, ok := s.Cell(o.head.Cell)
		if asked[o.head] || (ok && known.Head.Version >= o.head.Version) {
			continue
		}
		asked[o.head] = true
		bySource[o.source] = append(bySource[o.source], o.head.Cell)
	}
	return bySource
}

func (s *Store) fetch(ctx context.Context, fetcher Fetcher, spreader Spreader, source member.Member, ids []news.CellID) error {
	fetching, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	found, err := fetcher.FetchCellsFrom(fetching, source, ids)
	if err != nil {
		return err
	}
	var fresh news.Batch
	for _, c := range found {
		if s.put(c) {
			fresh.Cells = append(fresh.Cells, c.Head)
		}
	}
	if fresh.IsEmpty() {
		return nil
	}
	return spreader.Offer(ctx, fresh)
}

package cells

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"time"

	"savoryweir/internal/errs"
	"savoryweir/internal/pause"
	"savoryweir/internal/state/member"
	"savoryweir/internal/state/news"
	"savoryweir/internal/state/replica"
)

// Times of a fetch.
const (
	// gatherTime is waited after an offer, so that one fetch serves all that come together.
	gatherTime = 200 * time.Millisecond
	// fetchInterval is the shortest time between two rounds of fetches.
	fetchInterval = 2 * time.Second
	fetchTimeout  = 2 * time.Second
	stepFetch     = errs.Step("fetch cell replicas")
)

// Fetcher asks a peer for the replicas of cells.
type Fetcher interface {
	// FetchCellsFrom returns what is newer at the peer than the known versions. Version
	// zero asks for the whole cell, and others for the cells that known does not name.
	FetchCellsFrom(ctx context.Context, from member.Member, known []news.CellHead, others bool) ([]replica.Delta, error)
}

// maxTries is how often an offer is tried. A peer that differs still is asked again later.
const maxTries = 3

// offer is a cell head that a peer told of, or with all that its cells differ.
type offer struct {
	head   news.CellHead
	source member.Member
	all    bool
	tries  int
}

// request is one fetch from one peer.
type request struct {
	source member.Member
	known  []news.CellHead
	others bool
	offers []offer // that led to it
}

// Run fetches the offered cells until ctx ends.
func (s *Store) Run(ctx context.Context, fetcher Fetcher, spreader Broadcaster) error {
	var last time.Time
	for {
		first, err := s.offers.Get(ctx)
		if err != nil || !pause.For(ctx, max(gatherTime, fetchInterval-time.Since(last))) {
			return nil
		}
		last = time.Now()
		batch := append([]offer{first}, s.offers.Drain(offerRingLength)...)
		for _, r := range s.requests(batch) {
			if err := s.fetch(ctx, fetcher, spreader, r); err != nil {
				s.log.Debug().Err(errs.Wrap(err, stepFetch, errs.Peer(r.source.ID))).Msg("Cells were not fetched.")
				s.tryAgain(r.offers)
			}
		}
	}
}

// tryAgain offers once more what a failed fetch was for.
func (s *Store) tryAgain(failed []offer) {
	for _, o := range failed {
		o.tries++
		if o.tries < maxTries {
			s.offers.Offer(o)
		}
	}
}

// requests shares the offers that are still newer than what is here among as few peers
// as are needed. A peer that differs is asked for all.
func (s *Store) requests(batch []offer) []request {
	var all []request
	offered := make(map[news.CellID]news.CellHead)
	for _, o := range batch {
		if o.all {
			all = append(all, request{source: o.source, known: s.Heads(), others: true, offers: []offer{o}})
			continue
		}
		if s.isNews(o.head) && o.head.Version > offered[o.head.Cell].Version {
			offered[o.head.Cell] = o.head
		}
	}
	if len(all) > 0 {
		return all[:1] // what else was offered is told again
	}
	for len(offered) > 0 {
		best := s.bestSource(batch, offered)
		for _, head := range best.known {
			delete(offered, head.Cell)
		}
		all = append(all, best)
	}
	return all
}

// bestSource returns the request to the peer that offers the most of the wanted heads.
func (s *Store) bestSource(batch []offer, wanted map[news.CellID]news.CellHead) request {
	bySource := make(map[member.ID]request)
	for _, o := range batch {
		if o.all || wanted[o.head.Cell] != o.head {
			continue
		}
		r := bySource[o.source.ID]
		r.source = o.source
		known, _ := s.Cell(o.head.Cell)
		head := news.CellHead{Cell: o.head.Cell, Version: known.Head.Version}
		if !slices.Contains(r.known, head) {
			r.known = append(r.known, head)
			r.offers = append(r.offers, o)
		}
		bySource[o.source.ID] = r
	}
	var best request
	for _, r := range bySource {
		if best.known == nil || byCount(r, best) < 0 {
			best = r
		}
	}
	return best
}

// byCount orders sources from the most cells to the fewest.
func byCount(a, b request) int {
	return cmp.Or(cmp.Compare(len(b.known), len(a.known)), cmp.Compare(a.source.ID, b.source.ID))
}

// fetch asks a peer for what changed, and for the whole of the cells to which that does not fit.
func (s *Store) fetch(ctx context.Context, fetcher Fetcher, spreader Broadcaster, r request) error {
	fresh, misfits, err := s.fetchOnce(ctx, fetcher, r)
	if err == nil && len(misfits) > 0 {
		var whole []news.CellHead
		whole, _, err = s.fetchOnce(ctx, fetcher, request{source: r.source, known: misfits})
		fresh = append(fresh, whole...)
	}
	if len(fresh) == 0 {
		return err
	}
	return errors.Join(err, spreader.Offer(ctx, news.Batch{Cells: fresh}))
}

// fetchOnce returns the heads of the cells that became newer here, and with version zero
// those of the cells whose deltas did not fit.
func (s *Store) fetchOnce(ctx context.Context, fetcher Fetcher, r request) (fresh, misfits []news.CellHead, err error) {
	fetching, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	found, err := fetcher.FetchCellsFrom(fetching, r.source, r.known, r.others)
	if err != nil {
		return nil, nil, err
	}
	for _, d := range found {
		switch err := s.take(d); {
		case err == nil:
			fresh = append(fresh, d.Cell.Head)
		case !d.IsWhole() && !errors.Is(err, replica.ErrStale):
			misfits = append(misfits, news.CellHead{Cell: d.Cell.Head.Cell})
		}
	}
	return fresh, misfits, nil
}

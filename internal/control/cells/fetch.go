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

// Delays and timeouts of fetches.
const (
	// offerCollectDelay is the delay after an offer, so that one fetch serves all offers that
	// arrive together.
	offerCollectDelay = 200 * time.Millisecond
	// fetchInterval is the shortest time between two rounds of fetches.
	fetchInterval = 2 * time.Second
	fetchTimeout  = 2 * time.Second
	stepFetch     = errs.Step("fetch cell replicas")
)

// Fetcher fetches the replicas of cells from a peer.
type Fetcher interface {
	// FetchCellsFrom returns the changes at the peer since the known versions. A known version of
	// zero requests the whole cell. If others is true, it also requests the cells not in known.
	FetchCellsFrom(ctx context.Context, from member.Member, known []news.CellHead, others bool) ([]replica.Delta, error)
}

// maxFetchAttempts is the maximum number of fetches for one offer. If the peer's cells still
// differ after that, a later offer leads to another fetch.
const maxFetchAttempts = 3

// offer is a cell head that a peer announced. If all is set, it stands for all cells of a peer
// whose cells differ from those of this instance.
type offer struct {
	head     news.CellHead
	source   member.Member
	all      bool
	attempts int
}

// request is one fetch from one peer.
type request struct {
	source member.Member
	known  []news.CellHead
	others bool
	offers []offer // offers that this request serves
}

// Run fetches the offered cells until ctx ends.
func (s *Store) Run(ctx context.Context, fetcher Fetcher, broadcaster Broadcaster) error {
	var last time.Time
	for {
		first, err := s.offers.Get(ctx)
		if err != nil || !pause.For(ctx, max(offerCollectDelay, fetchInterval-time.Since(last))) {
			return nil
		}
		last = time.Now()
		batch := append([]offer{first}, s.offers.Drain(offerQueueLength)...)
		for _, r := range s.requests(batch) {
			if err := s.fetchAndAnnounce(ctx, fetcher, broadcaster, r); err != nil {
				s.log.Debug().Err(errs.Wrap(err, stepFetch, errs.Peer(r.source.ID))).Msg("cell replicas not fetched from the peer")
				s.requeue(r.offers)
			}
		}
	}
}

// requeue queues the offers of a failed fetch again, up to maxFetchAttempts.
func (s *Store) requeue(failed []offer) {
	for _, o := range failed {
		o.attempts++
		if o.attempts < maxFetchAttempts {
			s.offers.Offer(o)
		}
	}
}

// requests assigns the offers that are still newer than the stored cells to as few peers as
// possible. If a peer's cells differ, the only request asks that peer for all cells.
func (s *Store) requests(batch []offer) []request {
	var all []request
	offered := make(map[news.CellID]news.CellHead)
	for _, o := range batch {
		if o.all {
			all = append(all, request{source: o.source, known: s.Heads(), others: true, offers: []offer{o}})
			continue
		}
		if s.isNewer(o.head) && o.head.Version > offered[o.head.Cell].Version {
			offered[o.head.Cell] = o.head
		}
	}
	if len(all) > 0 {
		return all[:1] // later messages repeat the other offers
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

// bestSource returns the request to the peer that offers the largest number of wanted heads.
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

// byCount compares requests by descending number of cells, then by the id of the source.
func byCount(a, b request) int {
	return cmp.Or(cmp.Compare(len(b.known), len(a.known)), cmp.Compare(a.source.ID, b.source.ID))
}

// fetchAndAnnounce fetches the changes from a peer, and then the whole of each cell to which its
// delta could not be applied. It announces the cells that became newer to the peers.
func (s *Store) fetchAndAnnounce(ctx context.Context, fetcher Fetcher, broadcaster Broadcaster, r request) error {
	fresh, unapplied, err := s.fetchOnce(ctx, fetcher, r)
	if err == nil && len(unapplied) > 0 {
		var whole []news.CellHead
		whole, _, err = s.fetchOnce(ctx, fetcher, request{source: r.source, known: unapplied})
		fresh = append(fresh, whole...)
	}
	if len(fresh) == 0 {
		return err
	}
	return errors.Join(err, broadcaster.Offer(ctx, news.Batch{Cells: fresh}))
}

// fetchOnce fetches once from a peer. It returns the heads of the cells that became newer here,
// and the heads of the cells whose deltas could not be applied, with version zero.
func (s *Store) fetchOnce(ctx context.Context, fetcher Fetcher, r request) (fresh, unapplied []news.CellHead, err error) {
	fetching, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	found, err := fetcher.FetchCellsFrom(fetching, r.source, r.known, r.others)
	if err != nil {
		return nil, nil, err
	}
	for _, d := range found {
		switch err := s.apply(d); {
		case err == nil:
			fresh = append(fresh, d.Cell.Head)
		case !d.IsFull() && !errors.Is(err, replica.ErrStale):
			unapplied = append(unapplied, news.CellHead{Cell: d.Cell.Head.Cell})
		}
	}
	return fresh, unapplied, nil
}

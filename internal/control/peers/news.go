package peers

import (
	"context"
	"time"

	"savoryweir/internal/state/bundle"
	"savoryweir/internal/state/member"
	"savoryweir/internal/state/news"
	"savoryweir/internal/state/timeline"
)

// SetHead tells the peers that a bundle is in force here.
func (s *Service) SetHead(ctx context.Context, head bundle.Head) error {
	return s.do(ctx, func(now time.Time) {
		if s.board.SetHead(head) {
			s.push("")
			s.publish(now)
		}
	})
}

// Offer takes in crash suspects and leaving upstreams that were seen here.
func (s *Service) Offer(ctx context.Context, batch news.Batch) error {
	return s.do(ctx, func(now time.Time) { s.offer(now, batch, "") })
}

// offer runs in the detector's goroutine. The neighbours are told of cells by the teller.
func (s *Service) offer(now time.Time, batch news.Batch, from member.ID) {
	fresh := s.board.Merge(now, batch)
	s.teller.OnUpdated(fresh.Cells)
	fresh.Cells = nil
	if fresh.IsEmpty() {
		return
	}
	for _, l := range fresh.Leaving {
		kind := timeline.KindUpstreamLeaving
		if l.Returned {
			kind = timeline.KindUpstreamRestored
		}
		s.Recorder.Record(timeline.Event{Kind: kind, Upstream: string(l.Upstream)})
	}
	s.push(from)
	s.publish(now)
}

// AddInstances takes in instances from the platform's list.
func (s *Service) AddInstances(ctx context.Context, instances []member.Member) error {
	return s.do(ctx, func(now time.Time) {
		for _, m := range instances {
			s.detector.AddInstance(now, m.ID, m.Address, m.Zone)
		}
	})
}

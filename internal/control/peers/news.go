package peers

import (
	"context"
	"time"

	"savoryweir/internal/state/bundle"
	"savoryweir/internal/state/member"
	"savoryweir/internal/state/news"
	"savoryweir/internal/state/timeline"
)

// SetHead announces to the peers that a bundle is in force on this instance.
func (s *Service) SetHead(ctx context.Context, head bundle.Head) error {
	return s.runInDetector(ctx, func(now time.Time) {
		if s.gossipState.SetHead(head) {
			s.push("")
			s.publish(now)
		}
	})
}

// Offer adds crash suspects and leaving upstreams that this instance has observed, and
// spreads them to the peers.
func (s *Service) Offer(ctx context.Context, batch news.Batch) error {
	return s.runInDetector(ctx, func(now time.Time) { s.offer(now, batch, "") })
}

// offer merges a batch and pushes what is new to the neighbours, except the sender. Cells
// are not pushed, since the cell notifier announces them. It must run in the detector's
// goroutine.
func (s *Service) offer(now time.Time, batch news.Batch, from member.ID) {
	fresh := s.gossipState.Merge(now, batch)
	s.cellNotifier.OnUpdated(fresh.Cells)
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

// AddInstances adds instances from the platform's list to the members.
func (s *Service) AddInstances(ctx context.Context, instances []member.Member) error {
	return s.runInDetector(ctx, func(now time.Time) {
		for _, m := range instances {
			s.detector.AddInstance(now, m.ID, m.Address, m.Zone)
		}
	})
}

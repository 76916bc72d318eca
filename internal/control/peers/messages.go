package peers

import (
	"context"
	"time"

	"savoryweir/internal/coordination/membership"
	"savoryweir/internal/errs"
	"savoryweir/internal/pause"
	"savoryweir/internal/protocol/peercodec"
	"savoryweir/internal/state/member"

	pb "savoryweir/api/savoryweir/v1"
)

// Steps in errors.
const (
	stepJoin     errs.Step = "join members"
	stepSections errs.Step = "fetch bundle sections"
	stepCells    errs.Step = "fetch cell replicas"
	stepDemand   errs.Step = "report demand"
)

// Timeouts, delays and limits of calls between peers.
const (
	joinTimeout         = 2 * time.Second
	joinRetryDelay      = 2 * time.Second
	maxProbeViaWait     = 5 * time.Second
	maxSectionsPerFetch = 256
	maxCellsPerFetch    = 1024
)

// runSender carries out queued probes until ctx ends.
func (s *Service) runSender(ctx context.Context) error {
	for {
		a, err := s.actions.Get(ctx)
		if err != nil {
			return nil
		}
		switch a.Kind {
		case membership.ActionProbe:
			s.probe(ctx, a)
		case membership.ActionIndirectProbe:
			s.probeVia(ctx, a)
		}
	}
}

// probe sends one probe and processes the answer. It reports whether the target answered
// in time.
func (s *Service) probe(ctx context.Context, a membership.Action) bool {
	ctx, cancel := context.WithTimeout(ctx, a.Timeout)
	defer cancel()
	var updates *pb.Updates
	if s.runInDetector(ctx, func(now time.Time) { updates = s.updates(now, a.Target.ID) }) != nil {
		return false
	}
	client, err := s.client(a.Target.Address)
	if err != nil {
		return false
	}
	response, err := client.Probe(ctx, &pb.ProbeRequest{
		Time:    peercodec.EncodeTime(s.Clock.Now()),
		Sender:  string(s.Self.ID),
		Updates: updates,
	})
	if err != nil {
		return false
	}
	s.Clock.Observe(peercodec.DecodeTime(response.GetTime()))
	return s.runInDetector(ctx, func(now time.Time) {
		s.detector.OnAck(now, a.Target.ID)
		s.receive(now, a.Target.ID, response.GetUpdates())
	}) == nil
}

// probeVia asks another member to probe the target and passes the result to the detector.
func (s *Service) probeVia(ctx context.Context, a membership.Action) {
	ctx, cancel := context.WithTimeout(ctx, 2*a.Timeout)
	defer cancel()
	client, err := s.client(a.Via.Address)
	if err != nil {
		return
	}
	response, err := client.ProbeVia(ctx, &pb.ProbeViaRequest{
		Time:          peercodec.EncodeTime(s.Clock.Now()),
		Sender:        string(s.Self.ID),
		Target:        peercodec.EncodeMember(a.Target),
		TimeoutMillis: a.Timeout.Milliseconds(),
	})
	if err != nil {
		return
	}
	_ = s.runInDetector(ctx, func(now time.Time) {
		if response.GetAlive() {
			s.detector.OnAck(now, a.Target.ID)
			return
		}
		s.detector.OnNack(a.Target.ID)
	})
}

// client returns a client for the control process at the address.
func (s *Service) client(address string) (pb.PeerClient, error) {
	conn, err := s.Pool.Get(address)
	if err != nil {
		return nil, err
	}
	return pb.NewPeerClient(conn), nil
}

// updates returns the updates and digests for the next message to a member. It must run in
// the detector's goroutine.
func (s *Service) updates(now time.Time, to member.ID) *pb.Updates {
	updates := peercodec.EncodeUpdates(s.detector.Piggyback(to), s.gossipState.NextBatch(now))
	updates.MembersDigest = s.detector.Table().Digest()
	return updates
}

// receive processes the updates and digests from a member, and requests what the member
// has and this instance lacks. It must run in the detector's goroutine.
func (s *Service) receive(now time.Time, from member.ID, updates *pb.Updates) {
	s.detector.OnUpdates(now, peercodec.DecodeMembers(updates.GetMembers()))
	batch := peercodec.DecodeNews(updates)
	cells := batch.Cells
	batch.Cells = nil // forwarded once their replicas have been fetched
	s.offer(now, batch, from)
	source, ok := s.detector.Table().Get(from)
	if !ok {
		return
	}
	s.onCellHeads(cells, source.Member)
	if batch.Head.Generation > s.gossipState.Head().Generation {
		s.Heads.OfferHead(batch.Head, source.Member)
	}
	// The digests of cells seldom match while replicas keep changing, so only newer
	// versions are requested.
	if s.cellsCompared.OnDigest(now, from, batch.CellsDigest == s.gossipState.CellsDigest()) {
		s.Cells.OfferAll(source.Member)
	}
	if s.membersCompared.OnDigest(now, from, updates.GetMembersDigest() == s.detector.Table().Digest()) {
		s.syncQueue.Offer(source.Member)
	}
}

// runSync requests the full state of the queued peers until ctx ends.
func (s *Service) runSync(ctx context.Context) error {
	for {
		m, err := s.syncQueue.Get(ctx)
		if err != nil {
			return nil
		}
		if err := s.requestMembers(ctx, m.Address); err != nil {
			s.Log.Debug().Err(errs.Wrap(err, stepJoin, errs.Peer(m.ID))).Msg("State not synchronized; the peer did not answer.")
		}
	}
}

// Probe implements pb.PeerServer. It processes the updates of the sender and returns those
// for it.
func (s *Service) Probe(ctx context.Context, request *pb.ProbeRequest) (*pb.ProbeResponse, error) {
	s.Clock.Observe(peercodec.DecodeTime(request.GetTime()))
	var updates *pb.Updates
	err := s.runInDetector(ctx, func(now time.Time) {
		from := member.ID(request.GetSender())
		s.receive(now, from, request.GetUpdates())
		updates = s.updates(now, from)
	})
	if err != nil {
		return nil, err
	}
	return &pb.ProbeResponse{Time: peercodec.EncodeTime(s.Clock.Now()), Updates: updates}, nil
}

// ProbeVia implements pb.PeerServer. It probes the target for the sender.
func (s *Service) ProbeVia(ctx context.Context, request *pb.ProbeViaRequest) (*pb.ProbeViaResponse, error) {
	s.Clock.Observe(peercodec.DecodeTime(request.GetTime()))
	target, err := peercodec.DecodeMember(request.GetTarget())
	if err != nil {
		return nil, err
	}
	timeout := min(time.Duration(request.GetTimeoutMillis())*time.Millisecond, maxProbeViaWait)
	isAlive := s.probe(ctx, membership.Action{Target: target, Timeout: timeout})
	return &pb.ProbeViaResponse{Time: peercodec.EncodeTime(s.Clock.Now()), Alive: isAlive}, nil
}

// Members implements pb.PeerServer. It adds the caller as a member and returns all members
// and all news.
func (s *Service) Members(ctx context.Context, request *pb.MembersRequest) (*pb.MembersResponse, error) {
	s.Clock.Observe(peercodec.DecodeTime(request.GetTime()))
	response := &pb.MembersResponse{}
	err := s.runInDetector(ctx, func(now time.Time) {
		if joining, err := peercodec.DecodeMember(request.GetSelf()); err == nil {
			s.detector.OnUpdates(now, []member.Member{joining})
		}
		for _, r := range s.detector.Table().All() {
			response.Members = append(response.Members, peercodec.EncodeMember(r.Member))
		}
		response.Updates = peercodec.EncodeUpdates(nil, s.gossipState.Snapshot(now))
		response.Updates.MembersDigest = s.detector.Table().Digest()
	})
	if err != nil {
		return nil, err
	}
	response.Time = peercodec.EncodeTime(s.Clock.Now())
	return response, nil
}

// join requests all members from the seeds and from the instances known so far, and
// retries until one of them answers or ctx ends.
func (s *Service) join(ctx context.Context) error {
	for !s.joinOnce(ctx) {
		if !pause.For(ctx, joinRetryDelay) {
			break
		}
	}
	return nil
}

// joinOnce tries each address once and reports whether a peer answered.
func (s *Service) joinOnce(ctx context.Context) bool {
	addresses := append([]string(nil), s.Seeds...)
	for _, m := range s.Snapshot().Usable() {
		addresses = append(addresses, m.Address)
	}
	for _, address := range addresses {
		if address == s.Self.Address {
			continue
		}
		if err := s.requestMembers(ctx, address); err == nil {
			return true
		} else if ctx.Err() == nil {
			s.Log.Debug().Err(errs.Wrap(err, stepJoin, errs.Peer(address))).Msg("State not synchronized; the peer did not answer.")
		}
	}
	return false
}

// requestMembers requests all members and news from the peer at the address.
func (s *Service) requestMembers(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	client, err := s.client(address)
	if err != nil {
		return err
	}
	response, err := client.Members(ctx, &pb.MembersRequest{
		Time: peercodec.EncodeTime(s.Clock.Now()),
		Self: peercodec.EncodeMember(s.Self),
	})
	if err != nil {
		return err
	}
	s.Clock.Observe(peercodec.DecodeTime(response.GetTime()))
	members := peercodec.DecodeMembers(response.GetMembers())
	return s.runInDetector(ctx, func(now time.Time) {
		s.detector.OnTable(now, members)
		s.receive(now, memberByAddress(members, address), response.GetUpdates())
		s.Heads.OnPeersAnswered()
	})
}

// memberByAddress returns the ID of the member with the given address, or an empty ID if
// there is none.
func memberByAddress(members []member.Member, address string) member.ID {
	for _, m := range members {
		if m.Address == address {
			return m.ID
		}
	}
	return ""
}

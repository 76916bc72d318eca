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

// Steps of errors.
const (
	stepJoin     errs.Step = "join members"
	stepSections errs.Step = "fetch bundle sections"
	stepCells    errs.Step = "fetch cell replicas"
	stepDemand   errs.Step = "report demand"
)

// Times and limits of remote calls.
const (
	joinTimeout         = 2 * time.Second
	joinRetryDelay      = 2 * time.Second
	maxProbeViaWait     = 5 * time.Second
	maxSectionsPerFetch = 256
	maxCellsPerFetch    = 1024
)

// runSender works off the actions.
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

// probe sends one probe and reports whether the target answered in time.
func (s *Service) probe(ctx context.Context, a membership.Action) bool {
	ctx, cancel := context.WithTimeout(ctx, a.Timeout)
	defer cancel()
	var updates *pb.Updates
	if s.do(ctx, func(now time.Time) { updates = s.updates(now, a.Target.ID) }) != nil {
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
	return s.do(ctx, func(now time.Time) {
		s.detector.OnAck(now, a.Target.ID)
		s.receive(now, a.Target.ID, response.GetUpdates())
	}) == nil
}

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
	_ = s.do(ctx, func(now time.Time) {
		if response.GetAlive() {
			s.detector.OnAck(now, a.Target.ID)
			return
		}
		s.detector.OnNack(a.Target.ID)
	})
}

func (s *Service) client(address string) (pb.PeerClient, error) {
	conn, err := s.Pool.Get(address)
	if err != nil {
		return nil, err
	}
	return pb.NewPeerClient(conn), nil
}

// updates runs in the detector's goroutine.
func (s *Service) updates(now time.Time, to member.ID) *pb.Updates {
	updates := peercodec.EncodeUpdates(s.detector.Piggyback(to), s.board.NextBatch(now))
	updates.MembersDigest = s.detector.Table().Digest()
	return updates
}

// receive runs in the detector's goroutine.
func (s *Service) receive(now time.Time, from member.ID, updates *pb.Updates) {
	s.detector.OnUpdates(now, peercodec.DecodeMembers(updates.GetMembers()))
	batch := peercodec.DecodeNews(updates)
	cells := batch.Cells
	batch.Cells = nil // passed on once their replicas are here
	s.offer(now, batch, from)
	source, ok := s.detector.Table().Get(from)
	if !ok {
		return
	}
	s.hearCells(cells, source.Member)
	if batch.Head.Generation > s.board.Head().Generation {
		s.Heads.OfferHead(batch.Head, source.Member)
	}
	// While replicas change all the time the digests of cells seldom agree, so that only
	// what is newer is asked for.
	if s.cellsCompared.OnDigest(now, from, batch.CellsDigest == s.board.CellsDigest()) {
		s.Cells.OfferAll(source.Member)
	}
	if s.membersCompared.OnDigest(now, from, updates.GetMembersDigest() == s.detector.Table().Digest()) {
		s.syncs.Offer(source.Member)
	}
}

// runSync asks peers for all that they know.
func (s *Service) runSync(ctx context.Context) error {
	for {
		m, err := s.syncs.Get(ctx)
		if err != nil {
			return nil
		}
		if err := s.askMembers(ctx, m.Address); err != nil {
			s.Log.Debug().Err(errs.Wrap(err, stepJoin, errs.Peer(m.ID))).Msg("A peer did not answer.")
		}
	}
}

// Probe implements pb.PeerServer.
func (s *Service) Probe(ctx context.Context, request *pb.ProbeRequest) (*pb.ProbeResponse, error) {
	s.Clock.Observe(peercodec.DecodeTime(request.GetTime()))
	var updates *pb.Updates
	err := s.do(ctx, func(now time.Time) {
		from := member.ID(request.GetSender())
		s.receive(now, from, request.GetUpdates())
		updates = s.updates(now, from)
	})
	if err != nil {
		return nil, err
	}
	return &pb.ProbeResponse{Time: peercodec.EncodeTime(s.Clock.Now()), Updates: updates}, nil
}

// ProbeVia implements pb.PeerServer.
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

// Members implements pb.PeerServer.
func (s *Service) Members(ctx context.Context, request *pb.MembersRequest) (*pb.MembersResponse, error) {
	s.Clock.Observe(peercodec.DecodeTime(request.GetTime()))
	response := &pb.MembersResponse{}
	err := s.do(ctx, func(now time.Time) {
		if joining, err := peercodec.DecodeMember(request.GetSelf()); err == nil {
			s.detector.OnUpdates(now, []member.Member{joining})
		}
		for _, r := range s.detector.Table().All() {
			response.Members = append(response.Members, peercodec.EncodeMember(r.Member))
		}
		response.Updates = peercodec.EncodeUpdates(nil, s.board.Snapshot(now))
		response.Updates.MembersDigest = s.detector.Table().Digest()
	})
	if err != nil {
		return nil, err
	}
	response.Time = peercodec.EncodeTime(s.Clock.Now())
	return response, nil
}

// join asks the seeds, and the instances known by then, for all members, until
// one of them answers or this instance knows others that answer its probes.
func (s *Service) join(ctx context.Context) error {
	for !s.joinOnce(ctx) {
		if !pause.For(ctx, joinRetryDelay) {
			break
		}
	}
	return nil
}

func (s *Service) joinOnce(ctx context.Context) bool {
	addresses := append([]string(nil), s.Seeds...)
	for _, m := range s.Snapshot().Usable() {
		addresses = append(addresses, m.Address)
	}
	for _, address := range addresses {
		if address == s.Self.Address {
			continue
		}
		if err := s.askMembers(ctx, address); err == nil {
			return true
		} else if ctx.Err() == nil {
			s.Log.Debug().Err(errs.Wrap(err, stepJoin, errs.Peer(address))).Msg("A peer did not answer.")
		}
	}
	return false
}

func (s *Service) askMembers(ctx context.Context, address string) error {
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
	return s.do(ctx, func(now time.Time) {
		s.detector.OnTable(now, members)
		s.receive(now, sender(members, address), response.GetUpdates())
		s.Heads.OnPeersAnswered()
	})
}

// sender returns the member with the given address, which answered a call.
func sender(members []member.Member, address string) member.ID {
	for _, m := range members {
		if m.Address == address {
			return m.ID
		}
	}
	return ""
}

package peers

import (
	"context"
	"time"

	"savoryweir/internal/coordination/gossip"
	"savoryweir/internal/errs"
	"savoryweir/internal/protocol/peercodec"
	"savoryweir/internal/state/member"
	"savoryweir/internal/state/news"

	pb "savoryweir/api/savoryweir/v1"
)

const stepTell errs.Step = "tell of cell replicas"

// runTeller sends the messages about cells. A lost one is made good by the probes.
func (s *Service) runTeller(ctx context.Context) error {
	for {
		t, err := s.tells.Get(ctx)
		if err != nil {
			return nil
		}
		if err := s.tellOnce(ctx, t); err != nil {
			s.Log.Debug().Err(errs.Wrap(err, stepTell, errs.Peer(t.To.ID))).Msg("A peer was not told.")
		}
	}
}

func (s *Service) tellOnce(ctx context.Context, t gossip.Notification) error {
	ctx, cancel := context.WithTimeout(ctx, s.Membership.ProbeTimeout)
	defer cancel()
	client, err := s.client(t.To.Address)
	if err != nil {
		return err
	}
	_, err = client.TellCells(ctx, &pb.TellCellsRequest{Sender: string(s.Self.ID), Cells: peercodec.EncodeCellHeads(t.Heads)})
	return err
}

// TellCells implements pb.PeerServer.
func (s *Service) TellCells(ctx context.Context, request *pb.TellCellsRequest) (*pb.TellCellsResponse, error) {
	heads := request.GetCells()
	heads = heads[:min(len(heads), maxCellsPerFetch)]
	err := s.do(ctx, func(time.Time) {
		source, ok := s.detector.Table().Get(member.ID(request.GetSender()))
		if !ok {
			return
		}
		s.hearCells(peercodec.DecodeCellHeads(heads), source.Member)
	})
	if err != nil {
		return nil, err
	}
	return &pb.TellCellsResponse{}, nil
}

// hearCells takes in the heads that a peer told of. It runs in the detector's goroutine.
func (s *Service) hearCells(heads []news.CellHead, source member.Member) {
	s.teller.OnReceived(source.ID, heads)
	for _, head := range heads {
		s.Cells.OfferCell(head, source)
	}
}

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

// stepTell is the step in errors of cell announcements.
const stepTell errs.Step = "tell of cell replicas"

// runCellNotifier sends queued cell announcements until ctx ends. A lost announcement is
// compensated by the cell versions that probes carry.
func (s *Service) runCellNotifier(ctx context.Context) error {
	for {
		t, err := s.cellNotifications.Get(ctx)
		if err != nil {
			return nil
		}
		if err := s.announceCells(ctx, t); err != nil {
			s.Log.Debug().Err(errs.Wrap(err, stepTell, errs.Peer(t.To.ID))).Msg("Cell versions not announced; the peer did not answer.")
		}
	}
}

// announceCells sends one announcement of cell versions.
func (s *Service) announceCells(ctx context.Context, t gossip.Notification) error {
	ctx, cancel := context.WithTimeout(ctx, s.Membership.ProbeTimeout)
	defer cancel()
	client, err := s.client(t.To.Address)
	if err != nil {
		return err
	}
	_, err = client.TellCells(ctx, &pb.TellCellsRequest{Sender: string(s.Self.ID), Cells: peercodec.EncodeCellHeads(t.Heads)})
	return err
}

// TellCells implements pb.PeerServer. It ignores callers that are not members.
func (s *Service) TellCells(ctx context.Context, request *pb.TellCellsRequest) (*pb.TellCellsResponse, error) {
	heads := request.GetCells()
	heads = heads[:min(len(heads), maxCellsPerFetch)]
	err := s.runInDetector(ctx, func(time.Time) {
		source, ok := s.detector.Table().Get(member.ID(request.GetSender()))
		if !ok {
			return
		}
		s.onCellHeads(peercodec.DecodeCellHeads(heads), source.Member)
	})
	if err != nil {
		return nil, err
	}
	return &pb.TellCellsResponse{}, nil
}

// onCellHeads processes the cell versions that a peer has announced. It must run in the
// detector's goroutine.
func (s *Service) onCellHeads(heads []news.CellHead, source member.Member) {
	s.cellNotifier.OnReceived(source.ID, heads)
	for _, head := range heads {
		s.Cells.OfferCell(head, source)
	}
}

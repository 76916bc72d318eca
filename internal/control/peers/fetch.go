package peers

import (
	"context"

	"savoryweir/internal/errs"
	"savoryweir/internal/protocol/bundlefile"
	"savoryweir/internal/protocol/peercodec"
	"savoryweir/internal/state/bundle"
	"savoryweir/internal/state/demand"
	"savoryweir/internal/state/member"
	"savoryweir/internal/state/news"
	"savoryweir/internal/state/replica"

	pb "savoryweir/api/savoryweir/v1"
)

// FetchSections implements pb.PeerServer. It omits sections that this instance does not
// hold.
func (s *Service) FetchSections(_ context.Context, request *pb.FetchSectionsRequest) (*pb.FetchSectionsResponse, error) {
	s.Clock.Observe(peercodec.DecodeTime(request.GetTime()))
	var found []bundlefile.Section
	hashes := request.GetHashes()
	for _, data := range hashes[:min(len(hashes), maxSectionsPerFetch)] {
		hash, err := bundle.HashFromBytes(data)
		if err != nil {
			continue
		}
		if section, ok := s.Sections.Section(hash); ok {
			found = append(found, section)
		}
	}
	return &pb.FetchSectionsResponse{
		Time:     peercodec.EncodeTime(s.Clock.Now()),
		Sections: bundlefile.SectionsToWire(found),
	}, nil
}

// FetchSectionsFrom requests sections from a peer. The result contains those that the
// peer holds.
func (s *Service) FetchSectionsFrom(ctx context.Context, from member.Member, hashes []bundle.Hash) ([]bundlefile.Section, error) {
	peer := errs.Peer(from.ID)
	client, err := s.client(from.Address)
	if err != nil {
		return nil, errs.Wrap(err, stepSections, peer)
	}
	request := &pb.FetchSectionsRequest{Time: peercodec.EncodeTime(s.Clock.Now())}
	for _, h := range hashes[:min(len(hashes), maxSectionsPerFetch)] {
		request.Hashes = append(request.Hashes, h[:])
	}
	response, err := client.FetchSections(ctx, request)
	if err != nil {
		return nil, errs.Wrap(err, stepSections, peer)
	}
	s.Clock.Observe(peercodec.DecodeTime(response.GetTime()))
	sections, err := bundlefile.SectionsFromWire(response.GetSections())
	return sections, errs.Wrap(err, stepSections, peer)
}

// FetchCells implements pb.PeerServer. It omits cells that this instance does not know or
// whose version is not newer than the caller's.
func (s *Service) FetchCells(_ context.Context, request *pb.FetchCellsRequest) (*pb.FetchCellsResponse, error) {
	s.Clock.Observe(peercodec.DecodeTime(request.GetTime()))
	response := &pb.FetchCellsResponse{Time: peercodec.EncodeTime(s.Clock.Now())}
	known := request.GetKnown()
	known = known[:min(len(known), maxCellsPerFetch)]
	for _, d := range s.Cells.Since(peercodec.DecodeCellHeads(known), request.GetOthers()) {
		response.Cells = append(response.Cells, peercodec.EncodeDelta(d))
	}
	return response, nil
}

// FetchCellsFrom requests the changes of cells since the known versions from a peer. With
// others set, the result also contains the cells that are not in known.
func (s *Service) FetchCellsFrom(ctx context.Context, from member.Member, known []news.CellHead, others bool) ([]replica.Delta, error) {
	client, err := s.client(from.Address)
	if err != nil {
		return nil, errs.Wrap(err, stepCells, errs.Peer(from.ID))
	}
	response, err := client.FetchCells(ctx, &pb.FetchCellsRequest{
		Time:   peercodec.EncodeTime(s.Clock.Now()),
		Known:  peercodec.EncodeCellHeads(known[:min(len(known), maxCellsPerFetch)]),
		Others: others,
	})
	if err != nil {
		return nil, errs.Wrap(err, stepCells, errs.Peer(from.ID))
	}
	s.Clock.Observe(peercodec.DecodeTime(response.GetTime()))
	var found []replica.Delta
	for _, c := range response.GetCells() {
		found = append(found, peercodec.DecodeDelta(c))
	}
	return found, nil
}

// ReportDemand implements pb.PeerServer. It passes the report to the DemandSink.
func (s *Service) ReportDemand(_ context.Context, request *pb.DemandReport) (*pb.DemandReportResponse, error) {
	s.Clock.Observe(peercodec.DecodeTime(request.GetTime()))
	s.Demand.OnDemand(peercodec.DecodeDemand(request.GetSender(), request.GetIntervalMillis(), request.GetDemand()))
	return &pb.DemandReportResponse{Time: peercodec.EncodeTime(s.Clock.Now())}, nil
}

// SendDemand sends the demand that the entry process of this instance has seen to the
// holder of a cell.
func (s *Service) SendDemand(ctx context.Context, to member.Member, report demand.Report) error {
	client, err := s.client(to.Address)
	if err != nil {
		return errs.Wrap(err, stepDemand, errs.Peer(to.ID))
	}
	response, err := client.ReportDemand(ctx, &pb.DemandReport{
		Time:           peercodec.EncodeTime(s.Clock.Now()),
		Sender:         report.Instance,
		Demand:         peercodec.EncodeDemand(report.Models),
		IntervalMillis: report.Interval.Milliseconds(),
	})
	if err != nil {
		return errs.Wrap(err, stepDemand, errs.Peer(to.ID))
	}
	s.Clock.Observe(peercodec.DecodeTime(response.GetTime()))
	return nil
}

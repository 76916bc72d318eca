package view

import (
	"context"
	"errors"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	pb "savoryweir/api/savoryweir/v1"
)

// Guests serves entry processes of other instances whose own control process
// does not answer. It implements pb.LocalServer. Guests don't count as watchers
// that a stopping control process waits for.
type Guests struct {
	pb.UnimplementedLocalServer
	service *Service
	places  chan struct{} // holds one element for each guest
}

var errNoPlace = errors.New("too many entries of other instances watch here")

// ForGuests returns a server for at most limit guests at the same time.
func (s *Service) ForGuests(limit int) *Guests {
	return &Guests{service: s, places: make(chan struct{}, limit)}
}

// WatchView implements pb.LocalServer. It answers ResourceExhausted when all places are taken.
func (g *Guests) WatchView(request *pb.WatchViewRequest, stream pb.Local_WatchViewServer) error {
	select {
	case g.places <- struct{}{}:
	default:
		return status.Error(codes.ResourceExhausted, errNoPlace.Error())
	}
	defer func() { <-g.places }()
	return g.service.send(request, stream)
}

// Report implements pb.LocalServer. The demand of a guest counts as this instance's.
func (g *Guests) Report(ctx context.Context, request *pb.ReportRequest) (*pb.ReportResponse, error) {
	return g.service.Report(ctx, request)
}

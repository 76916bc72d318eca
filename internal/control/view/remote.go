package view

import (
	"context"
	"errors"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	pb "savoryweir/api/savoryweir/v1"
)

// RemoteServer serves entry processes of other instances whose own control process
// does not answer. It implements pb.LocalServer. They don't count as watchers
// that a stopping control process waits for.
type RemoteServer struct {
	pb.UnimplementedLocalServer
	service *Service
	places  chan struct{} // holds one element for each remote entry
}

var errNoPlace = errors.New("too many entries of other instances watch here")

// NewRemoteServer returns a server for at most limit entries at the same time.
func (s *Service) NewRemoteServer(limit int) *RemoteServer {
	return &RemoteServer{service: s, places: make(chan struct{}, limit)}
}

// WatchView implements pb.LocalServer. It answers ResourceExhausted when all places are taken.
func (r *RemoteServer) WatchView(request *pb.WatchViewRequest, stream pb.Local_WatchViewServer) error {
	select {
	case r.places <- struct{}{}:
	default:
		return status.Error(codes.ResourceExhausted, errNoPlace.Error())
	}
	defer func() { <-r.places }()
	return r.service.send(request, stream)
}

// Report implements pb.LocalServer. The demand of a remote entry counts as this instance's.
func (r *RemoteServer) Report(ctx context.Context, request *pb.ReportRequest) (*pb.ReportResponse, error) {
	return r.service.Report(ctx, request)
}

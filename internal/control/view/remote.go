package view

import (
	"context"
	"errors"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	pb "savoryweir/api/savoryweir/v1"
)

// RemoteServer serves entry processes of other instances whose own control process does
// not answer. It implements pb.LocalServer. A stopping control process does not wait for
// these entry processes; see WaitForNoWatchers.
type RemoteServer struct {
	pb.UnimplementedLocalServer
	service *Service
	slots   chan struct{} // semaphore with one element for each remote entry process
}

// errTooManyRemoteEntries is returned while the limit of remote entry processes is reached.
var errTooManyRemoteEntries = errors.New("too many entries of other instances watch here")

// NewRemoteServer returns a server for at most limit entry processes at the same time.
func (s *Service) NewRemoteServer(limit int) *RemoteServer {
	return &RemoteServer{service: s, slots: make(chan struct{}, limit)}
}

// WatchView implements pb.LocalServer. It returns ResourceExhausted when the limit is reached.
func (r *RemoteServer) WatchView(request *pb.WatchViewRequest, stream pb.Local_WatchViewServer) error {
	select {
	case r.slots <- struct{}{}:
	default:
		return status.Error(codes.ResourceExhausted, errTooManyRemoteEntries.Error())
	}
	defer func() { <-r.slots }()
	return r.service.streamViews(request, stream)
}

// Report implements pb.LocalServer. The demand that a remote entry process reports counts
// as the demand of this instance.
func (r *RemoteServer) Report(ctx context.Context, request *pb.ReportRequest) (*pb.ReportResponse, error) {
	return r.service.Report(ctx, request)
}

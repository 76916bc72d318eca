package claims

import (
	"context"
	"time"

	pb "savoryweir/api/savoryweir/v1"
	"savoryweir/internal/coordination/claims"
	"savoryweir/internal/protocol/ordermsg"
	"savoryweir/internal/state/journal"
)

// Lookup implements the Lookup method of the Orders service, by which peers ask
// for the status of a claim of the local entry.
func (s *Service) Lookup(ctx context.Context, request *pb.LookupRequest) (*pb.LookupResponse, error) {
	s.observeTime(request.GetTime())
	token, ok := ordermsg.TokenFromWire(request.GetToken())
	if !ok {
		return &pb.LookupResponse{Time: s.timestamp()}, nil
	}
	wait := time.Duration(request.GetWaitMillis()) * time.Millisecond
	status := s.lookupLocal(ctx, token, request.GetIncarnation(), min(wait, s.settings.WaitSlice))
	return &pb.LookupResponse{Time: s.timestamp(), Status: tokenStatusToWire(status)}, nil
}

// lookupLocal returns the status of a claim of the local entry. It waits for up
// to the given time until a held claim ends.
func (s *Service) lookupLocal(ctx context.Context, token journal.Token, incarnation uint64, wait time.Duration) claims.TokenStatus {
	if incarnation != s.options.Self.Incarnation {
		return claims.TokenLost
	}
	status, ended := s.holds.lookup(token)
	if status != claims.TokenHeld || wait <= 0 {
		return status
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ended:
		return claims.TokenEnded
	case <-timer.C:
	case <-ctx.Done():
	}
	return status
}

func tokenStatusToWire(status claims.TokenStatus) pb.HoldStatus {
	switch status {
	case claims.TokenHeld:
		return pb.HoldStatus_HOLD_STATUS_HELD
	case claims.TokenEnded:
		return pb.HoldStatus_HOLD_STATUS_ENDED
	case claims.TokenLost:
		return pb.HoldStatus_HOLD_STATUS_LOST
	default:
		return pb.HoldStatus_HOLD_STATUS_UNSPECIFIED
	}
}

package claims

import (
	"context"
	"time"

	pb "savoryweir/api/savoryweir/v1"
	"savoryweir/internal/coordination/claims"
	"savoryweir/internal/protocol/ordermsg"
	"savoryweir/internal/state/journal"
)

// Lookup implements the Orders service for peers.
func (s *Service) Lookup(ctx context.Context, request *pb.LookupRequest) (*pb.LookupResponse, error) {
	s.observe(request.GetTime())
	token, ok := ordermsg.TokenFromWire(request.GetToken())
	if !ok {
		return &pb.LookupResponse{Time: s.stamp()}, nil
	}
	wait := time.Duration(request.GetWaitMillis()) * time.Millisecond
	hold := s.lookupLocal(ctx, token, request.GetIncarnation(), min(wait, s.settings.WaitSlice))
	return &pb.LookupResponse{Time: s.stamp(), Status: holdToWire(hold)}, nil
}

// lookupLocal reads the table of claims and waits for the end of a held one.
func (s *Service) lookupLocal(ctx context.Context, token journal.Token, incarnation uint64, wait time.Duration) claims.TokenStatus {
	if incarnation != s.options.Self.Incarnation {
		return claims.TokenLost
	}
	hold, ended := s.holds.lookup(token)
	if hold != claims.TokenHeld || wait <= 0 {
		return hold
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ended:
		return claims.TokenEnded
	case <-timer.C:
	case <-ctx.Done():
	}
	return hold
}

func holdToWire(hold claims.TokenStatus) pb.HoldStatus {
	switch hold {
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

package claims

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/grpc"
	"gotest.tools/v3/assert"

	pb "savoryweir/api/savoryweir/v1"
	"savoryweir/internal/protocol/ordermsg"
	"savoryweir/internal/standin/objectapi"
	"savoryweir/internal/state/journal"
)

// serverStream is the server's end of a stream. The test writes its frames and
// reads its replies.
type serverStream struct {
	grpc.ServerStream
	ctx     context.Context
	frames  chan *pb.OrderFrame
	replies chan *pb.OrderReplies
}

// Context implements grpc.ServerStream.
func (s *serverStream) Context() context.Context { return s.ctx }

// Recv implements pb.Orders_ExchangeServer.
func (s *serverStream) Recv() (*pb.OrderFrame, error) {
	select {
	case f := <-s.frames:
		return f, nil
	case <-s.ctx.Done():
		return nil, s.ctx.Err()
	}
}

// Send implements pb.Orders_ExchangeServer.
func (s *serverStream) Send(r *pb.OrderReplies) error {
	s.replies <- r
	return nil
}

// TestExchangeRejectsStreamWithoutClaimant guards against claims whose claimant
// nobody can ask: a stream whose first frame names no claimant fails before any
// write. On a stream with a claimant, a malformed call is refused and the valid
// call of the same frame is granted.
func TestExchangeRejectsStreamWithoutClaimant(t *testing.T) {
	for _, named := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			c := newCluster(t, 1, 1, testSettings(), objectapi.Limits{})
			service := c.nodes["i000"].service
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			s := &serverStream{ctx: ctx, frames: make(chan *pb.OrderFrame, 1), replies: make(chan *pb.OrderReplies, 4)}
			now := service.clock().Now()
			claim := journal.Claim{Key: journal.HashKey("desk", "k"), Token: journal.Token{1}, Deadline: time.Now().Add(time.Minute)}
			frame := &pb.OrderFrame{WallDeltaMillis: now.WallMillis, Calls: []*pb.OrderCall{
				ordermsg.ClaimCall(1, claim, time.Now().Add(time.Second), now), {Id: 2, Key: []byte("short")},
			}}
			if named {
				frame.Claimant = &pb.Claimant{Instance: "i001", Incarnation: 1}
			}
			s.frames <- frame
			err := service.Exchange(s)
			if !named {
				assert.ErrorIs(t, err, errNoClaimant)
				assert.Equal(t, c.store.Counts().Writes(), uint64(0))
				return
			}
			answers := make(map[uint32]pb.ClaimStatus)
			for range len(s.replies) {
				for _, r := range (<-s.replies).GetReplies() {
					answers[r.GetId()] = r.GetClaim().GetStatus()
				}
			}
			assert.DeepEqual(t, answers, map[uint32]pb.ClaimStatus{1: pb.ClaimStatus_CLAIM_STATUS_GRANTED, 2: pb.ClaimStatus_CLAIM_STATUS_UNAVAILABLE})
		})
	}
}

package claims

import (
	"context"
	"errors"
	"io"
	"sync"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	pb "savoryweir/api/savoryweir/v1"
	"savoryweir/internal/pause"
	"savoryweir/internal/protocol/ordermsg"
	"savoryweir/internal/queue"
	"savoryweir/internal/state/hlc"
	"savoryweir/internal/state/journal"
)

const (
	// replyGather is the time in which the replies of one commit come together.
	replyGather = 2 * time.Millisecond
	// replyCapacity is how many replies of one stream wait to be sent.
	replyCapacity = 1024
)

var errNoClaimant = status.Error(codes.InvalidArgument, "the first frame names no claimant")

// exchange serves the calls of one stream.
type exchange struct {
	service  *Service
	stream   pb.Orders_ExchangeServer
	replies  *queue.Queue[*pb.OrderReply]
	claimant journal.Claimant // of all calls, set by the first frame
}

// Exchange implements the Orders service for peers, as the owner of shards.
func (s *Service) Exchange(stream pb.Orders_ExchangeServer) error {
	x := &exchange{service: s, stream: stream, replies: queue.New[*pb.OrderReply](replyCapacity)}
	ctx, cancel := context.WithCancel(stream.Context())
	var duties sync.WaitGroup
	defer duties.Wait()
	defer cancel()
	duties.Go(func() { x.send(ctx) })
	var times ordermsg.FrameTimes
	for {
		frame, err := stream.Recv()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		at := times.Read(frame.GetWallDeltaMillis(), frame.GetLogical())
		s.clock().Observe(at)
		if !x.named(frame) {
			return errNoClaimant
		}
		for _, call := range frame.GetCalls() {
			duties.Go(func() { _ = x.replies.Put(ctx, x.serve(ctx, call, at)) })
		}
	}
}

// named takes the claimant from the first frame. It is false when nobody was named:
// no resend could ask for the end of such a claim.
func (x *exchange) named(frame *pb.OrderFrame) bool {
	if x.claimant == (journal.Claimant{}) {
		x.claimant = ordermsg.ClaimantFromWire(frame.GetClaimant())
	}
	return x.claimant.Instance != ""
}

// serve decides one call.
func (x *exchange) serve(ctx context.Context, call *pb.OrderCall, at hlc.Timestamp) *pb.OrderReply {
	if call.GetResult() != nil {
		return &pb.OrderReply{Id: call.GetId(), Finish: x.finish(ctx, call)}
	}
	return &pb.OrderReply{Id: call.GetId(), Claim: x.claim(ctx, call, at)}
}

func (x *exchange) claim(ctx context.Context, call *pb.OrderCall, at hlc.Timestamp) *pb.ClaimResponse {
	s := x.service
	claim, giveUp, ok := ordermsg.ClaimFromCall(call, x.claimant, at)
	if !ok {
		return s.unavailable(refusalRequest)
	}
	ctx, cancel := context.WithTimeout(ctx, s.settings.peerTimeout())
	defer cancel()
	return s.serveClaim(ctx, ownerClaim{claim, giveUp})
}

func (x *exchange) finish(ctx context.Context, call *pb.OrderCall) *pb.FinishResponse {
	s := x.service
	finish, ok := ordermsg.FinishFromCall(call, x.claimant)
	if !ok {
		return s.notRecorded(refusalRequest)
	}
	ctx, cancel := context.WithTimeout(ctx, s.settings.finishTimeout())
	defer cancel()
	return s.serveFinish(ctx, finish)
}

// send sends replies until the stream ends, those of one commit together.
func (x *exchange) send(ctx context.Context) {
	var times ordermsg.FrameTimes
	for {
		first, err := x.replies.Get(ctx)
		if err != nil || !pause.For(ctx, replyGather) {
			return
		}
		now := x.service.clock().Now()
		frame := &pb.OrderReplies{
			WallDeltaMillis: times.Write(now),
			Logical:         now.Logical,
			Replies:         append([]*pb.OrderReply{first}, x.replies.Drain(maxFrameCalls-1)...),
		}
		if x.stream.Send(frame) != nil {
			return
		}
	}
}

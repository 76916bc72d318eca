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
	// replyBatchDelay is the time for which the first reply of a frame waits for
	// the other replies of the same commit.
	replyBatchDelay = 2 * time.Millisecond
	// replyQueueCapacity is the number of replies of one stream that can wait to be sent.
	replyQueueCapacity = 1024
)

var errNoClaimant = status.Error(codes.InvalidArgument, "the first frame names no claimant")

// exchangeStream serves the calls of one Exchange stream.
type exchangeStream struct {
	service  *Service
	stream   pb.Orders_ExchangeServer
	replies  *queue.Queue[*pb.OrderReply]
	claimant journal.Claimant // claimant of all calls, set by the first frame
}

// Exchange implements the Exchange method of the Orders service: it serves the
// calls of a peer as the owner of their shards.
func (s *Service) Exchange(stream pb.Orders_ExchangeServer) error {
	x := &exchangeStream{service: s, stream: stream, replies: queue.New[*pb.OrderReply](replyQueueCapacity)}
	ctx, cancel := context.WithCancel(stream.Context())
	var handlers sync.WaitGroup
	defer handlers.Wait()
	defer cancel()
	handlers.Go(func() { x.sendReplies(ctx) })
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
		if !x.readClaimant(frame) {
			return errNoClaimant
		}
		for _, call := range frame.GetCalls() {
			handlers.Go(func() { _ = x.replies.Put(ctx, x.handleCall(ctx, call, at)) })
		}
	}
}

// readClaimant takes the claimant from the first frame. It reports false when
// the frame names none, since a resend could not ask anybody for the status of
// such a claim.
func (x *exchangeStream) readClaimant(frame *pb.OrderFrame) bool {
	if x.claimant == (journal.Claimant{}) {
		x.claimant = ordermsg.ClaimantFromWire(frame.GetClaimant())
	}
	return x.claimant.Instance != ""
}

// handleCall serves one call and returns its reply.
func (x *exchangeStream) handleCall(ctx context.Context, call *pb.OrderCall, at hlc.Timestamp) *pb.OrderReply {
	if call.GetResult() != nil {
		return &pb.OrderReply{Id: call.GetId(), Finish: x.finish(ctx, call)}
	}
	return &pb.OrderReply{Id: call.GetId(), Claim: x.claim(ctx, call, at)}
}

func (x *exchangeStream) claim(ctx context.Context, call *pb.OrderCall, at hlc.Timestamp) *pb.ClaimResponse {
	s := x.service
	claim, giveUp, ok := ordermsg.ClaimFromCall(call, x.claimant, at)
	if !ok {
		return s.unavailableResponse(refusalMalformed)
	}
	ctx, cancel := context.WithTimeout(ctx, s.settings.peerTimeout())
	defer cancel()
	return s.commitClaim(ctx, ownerClaim{claim, giveUp})
}

func (x *exchangeStream) finish(ctx context.Context, call *pb.OrderCall) *pb.FinishResponse {
	s := x.service
	finish, ok := ordermsg.FinishFromCall(call, x.claimant)
	if !ok {
		return s.notRecordedResponse(refusalMalformed)
	}
	ctx, cancel := context.WithTimeout(ctx, s.settings.finishTimeout())
	defer cancel()
	return s.commitFinish(ctx, finish)
}

// sendReplies sends replies until the stream ends. It gathers the replies of one
// commit in one frame.
func (x *exchangeStream) sendReplies(ctx context.Context) {
	var times ordermsg.FrameTimes
	for {
		first, err := x.replies.Get(ctx)
		if err != nil || !pause.For(ctx, replyBatchDelay) {
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

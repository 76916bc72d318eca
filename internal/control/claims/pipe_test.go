package claims

import (
	"context"
	"io"
	"time"

	"google.golang.org/grpc"

	pb "savoryweir/api/savoryweir/v1"
)

const (
	// pipeCapacity is the maximum number of frames in transit in each direction.
	pipeCapacity = 64
	// maxCutNoticeDelay is the maximum time until a receiver learns that a stream was cut.
	maxCutNoticeDelay = 3 * time.Second
)

// pipe is one stream between two control processes. It is cut, and all frames in
// transit are lost, when a frame is lost or one of its ends is killed.
type pipe struct {
	conn    *conn
	service *Service // service of the receiver when the stream was opened
	ctx     context.Context
	cut     context.CancelFunc
	frames  chan *pb.OrderFrame
	replies chan *pb.OrderReplies
}

// Exchange implements pb.OrdersClient. A frozen receiver serves the stream after its
// thaw.
func (c *conn) Exchange(ctx context.Context, _ ...grpc.CallOption) (grpc.BidiStreamingClient[pb.OrderFrame, pb.OrderReplies], error) {
	if c.to == nil || c.to.isDead() {
		return nil, errUnreachable
	}
	ctx, cut := context.WithCancel(ctx)
	p := &pipe{
		conn: c, service: c.to.currentService(), ctx: ctx, cut: cut,
		frames: make(chan *pb.OrderFrame, pipeCapacity), replies: make(chan *pb.OrderReplies, pipeCapacity),
	}
	c.cluster.goRun(func() {
		defer cut()
		c.to.awaitThaw()
		_ = p.service.Exchange(&pipeServer{pipe: p})
	})
	return &pipeClient{pipe: p}, nil
}

// cutIfReceiverGone cuts the stream if its receiver was killed or restarted. It
// reports whether the stream has ended.
func (p *pipe) cutIfReceiverGone() bool {
	if p.conn.to.isDead() || p.conn.to.currentService() != p.service {
		p.cut()
	}
	return p.ctx.Err() != nil
}

// cutIfFrameLost cuts the stream if the next frame is to be lost. It reports whether
// the stream has ended.
func (p *pipe) cutIfFrameLost() bool {
	if p.conn.cluster.losesReply() {
		p.cut()
	}
	return p.ctx.Err() != nil
}

// pipeClient is the sender's end.
type pipeClient struct {
	grpc.ClientStream
	*pipe
}

// Send implements pb.Orders_ExchangeClient. The frame may be lost.
func (p *pipeClient) Send(frame *pb.OrderFrame) error {
	if p.cutIfReceiverGone() || p.cutIfFrameLost() {
		return io.EOF
	}
	p.conn.countFrame(frame)
	select {
	case p.frames <- frame:
		return nil
	case <-p.ctx.Done():
		return io.EOF
	}
}

// Recv implements pb.Orders_ExchangeClient. Replies that are in transit when the
// stream is cut are lost.
func (p *pipeClient) Recv() (*pb.OrderReplies, error) {
	select {
	case replies := <-p.replies:
		if p.ctx.Err() == nil {
			return replies, nil
		}
	case <-p.ctx.Done():
	}
	return nil, errUnreachable
}

// pipeServer is the receiver's end.
type pipeServer struct {
	grpc.ServerStream
	*pipe
}

// Context implements grpc.ServerStream. The context does not end when the stream is
// cut, since half of the cuts do not reach the receiver at once.
func (p *pipeServer) Context() context.Context { return p.conn.cluster.ctx }

// Recv implements pb.Orders_ExchangeServer. It reports half of the cuts after a delay
// of up to maxCutNoticeDelay.
func (p *pipeServer) Recv() (*pb.OrderFrame, error) {
	select {
	case frame := <-p.frames:
		p.conn.to.awaitThaw()
		return frame, nil
	case <-p.ctx.Done():
	}
	if p.conn.cluster.randomIntN(2) == 0 {
		notice := time.NewTimer(time.Duration(p.conn.cluster.randomIntN(int(maxCutNoticeDelay))))
		defer notice.Stop()
		select {
		case <-notice.C:
		case <-p.conn.cluster.ctx.Done():
		}
	}
	return nil, errUnreachable
}

// Send implements pb.Orders_ExchangeServer. The frame may be lost after its calls took
// effect.
func (p *pipeServer) Send(replies *pb.OrderReplies) error {
	p.conn.to.awaitThaw()
	if p.cutIfReceiverGone() || p.cutIfFrameLost() {
		return errUnreachable
	}
	p.conn.countFrame(replies)
	select {
	case p.replies <- replies:
		return nil
	case <-p.ctx.Done():
		return errUnreachable
	}
}

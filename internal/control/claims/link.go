package claims

import (
	"context"
	"sync"
	"time"

	pb "savoryweir/api/savoryweir/v1"
	"savoryweir/internal/pause"
	"savoryweir/internal/protocol/ordermsg"
	"savoryweir/internal/queue"
	"savoryweir/internal/state/journal"
)

const (
	// frameInterval is the minimum time between two frames to one peer.
	frameInterval = 20 * time.Millisecond
	// maxFrameCalls is the maximum number of calls, and of replies, in one frame.
	maxFrameCalls = 512
	// linkQueueCapacity is the number of calls to one peer that can wait to be sent.
	linkQueueCapacity = 1024
)

// linkCall is a claim or a result that is sent to the owner of its shard.
type linkCall struct {
	ctx    context.Context // ends when the caller stops waiting for the reply
	claim  *ownerClaim     // nil for a result
	finish *journal.Finish // nil for a claim
	answer chan *pb.OrderReply
	id     uint32 // number of the call on the stream, zero before the call is sent
}

// deliver ends the call with a reply. A nil reply means that the stream ended
// before the reply arrived.
func (c *linkCall) deliver(reply *pb.OrderReply) { c.answer <- reply }

// link sends calls to one peer on one stream. Calls that wait at the same time
// share a frame.
type link struct {
	table   *linkTable
	address string
	queue   *queue.Queue[*linkCall]

	mu      sync.Mutex // guards the rest, and the id of each call
	lastID  uint32
	waiting map[uint32]*linkCall
}

func newLink(l *linkTable, address string) *link {
	return &link{table: l, address: address, queue: queue.New[*linkCall](linkQueueCapacity), waiting: make(map[uint32]*linkCall)}
}

// run opens the stream and sends frames until the stream or ctx ends or the link
// has been idle for IdleUnload.
func (k *link) run(ctx context.Context) {
	defer k.table.removeEnded(k)
	ctx, cancel := context.WithCancel(ctx)
	client, err := k.table.dialer.Orders(k.address)
	if err != nil {
		cancel()
		return
	}
	stream, err := client.Exchange(ctx)
	if err != nil {
		cancel()
		return
	}
	var receiver sync.WaitGroup
	receiver.Go(func() {
		defer cancel()
		k.receiveReplies(stream)
	})
	k.sendFrames(ctx, stream)
	cancel()
	receiver.Wait()
}

// sendFrames sends the queued calls in frames. The first frame of a stream names
// the claimant of all its calls.
func (k *link) sendFrames(ctx context.Context, stream pb.Orders_ExchangeClient) {
	var times ordermsg.FrameTimes
	claimant := ordermsg.ClaimantToWire(k.table.self)
	for {
		calls := k.nextCalls(ctx)
		if calls == nil {
			return
		}
		frame := k.encodeFrame(calls, &times)
		frame.Claimant = claimant
		claimant = nil
		if stream.Send(frame) != nil || !pause.For(ctx, frameInterval) {
			return
		}
	}
}

// nextCalls waits for calls. It returns nil when ctx ends or the link is idle.
func (k *link) nextCalls(ctx context.Context) []*linkCall {
	for {
		idle, cancel := context.WithTimeout(ctx, k.table.settings.IdleUnload)
		first, err := k.queue.Get(idle)
		cancel()
		if err == nil {
			return append([]*linkCall{first}, k.queue.Drain(maxFrameCalls-1)...)
		}
		if ctx.Err() != nil || k.table.removeIfIdle(k) {
			return nil
		}
	}
}

// encodeFrame encodes the calls and leaves out those whose callers have stopped
// waiting.
func (k *link) encodeFrame(calls []*linkCall, times *ordermsg.FrameTimes) *pb.OrderFrame {
	now := k.table.clock.Now()
	frame := &pb.OrderFrame{WallDeltaMillis: times.Write(now), Logical: now.Logical}
	for _, c := range calls {
		if c.ctx.Err() != nil {
			continue
		}
		id := k.registerCall(c)
		if c.claim != nil {
			frame.Calls = append(frame.Calls, ordermsg.ClaimCall(id, c.claim.Claim, c.claim.giveUpAt, now))
		} else {
			frame.Calls = append(frame.Calls, ordermsg.FinishCall(id, *c.finish))
		}
	}
	return frame
}

// receiveReplies delivers replies to their calls until the stream ends.
func (k *link) receiveReplies(stream pb.Orders_ExchangeClient) {
	var times ordermsg.FrameTimes
	for {
		frame, err := stream.Recv()
		if err != nil {
			return
		}
		k.table.clock.Observe(times.Read(frame.GetWallDeltaMillis(), frame.GetLogical()))
		for _, reply := range frame.GetReplies() {
			if c := k.takeCall(reply.GetId()); c != nil {
				c.deliver(reply)
			}
		}
	}
}

// registerCall gives a call the next number and adds it to the waiting calls.
func (k *link) registerCall(c *linkCall) uint32 {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.lastID++
	c.id = k.lastID
	k.waiting[c.id] = c
	return c.id
}

// takeCall removes and returns the waiting call with the given number, or nil if
// there is none.
func (k *link) takeCall(id uint32) *linkCall {
	k.mu.Lock()
	defer k.mu.Unlock()
	c := k.waiting[id]
	delete(k.waiting, id)
	return c
}

// removeCall removes a call whose caller has stopped waiting.
func (k *link) removeCall(c *linkCall) {
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.waiting, c.id)
}

// takeAllCalls removes and returns all calls, both queued and sent.
func (k *link) takeAllCalls() []*linkCall {
	calls := k.queue.Drain(linkQueueCapacity)
	k.mu.Lock()
	defer k.mu.Unlock()
	for id, c := range k.waiting {
		delete(k.waiting, id)
		calls = append(calls, c)
	}
	return calls
}

// isIdle reports whether no call is queued or waits for its reply.
func (k *link) isIdle() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.queue.Len()+len(k.waiting) == 0
}

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
	// frameInterval is the least time between two frames to one peer.
	frameInterval = 20 * time.Millisecond
	// maxFrameCalls bounds the calls, and the replies, of one frame.
	maxFrameCalls = 512
	// linkQueueCapacity is how many calls to one peer wait to be sent.
	linkQueueCapacity = 1024
)

// linkCall is a claim or a result for the owner of its shard.
type linkCall struct {
	ctx    context.Context // ends when nobody waits for the reply any more
	claim  *ownerClaim     // nil for a result
	finish *journal.Finish // nil for a claim
	answer chan *pb.OrderReply
	id     uint32 // number on the stream, zero before it is sent
}

// deliver ends the call. A nil reply tells that the stream ended before a reply came.
func (c *linkCall) deliver(reply *pb.OrderReply) { c.answer <- reply }

// link carries calls to one peer on one stream, several in a frame.
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

// run opens the stream and sends frames until the stream or ctx ends, or the link is idle.
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

// nextCalls waits for calls. It returns none when the link ends.
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

// encodeFrame encodes the calls that somebody still waits for.
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

func (k *link) registerCall(c *linkCall) uint32 {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.lastID++
	c.id = k.lastID
	k.waiting[c.id] = c
	return c.id
}

// takeCall removes and returns the call that waits under a number, nil if there is none.
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

// takeAllCalls removes and returns all calls, sent or not.
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

func (k *link) isIdle() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.queue.Len()+len(k.waiting) == 0
}

package claims

import (
	"context"
	"errors"
	"sync"

	pb "savoryweir/api/savoryweir/v1"
	"savoryweir/internal/state/hlc"
	"savoryweir/internal/state/journal"
)

var (
	errStreamEnded = errors.New("stream to the owner ended before it replied")
	errQueueFull   = errors.New("queue of calls to the owner is full")
	errNotRunning  = errors.New("claims service not running")
	errReplyKind   = errors.New("owner sent a reply of another kind than its call")
)

// linkTable contains one link to each owner to which this instance sends calls.
type linkTable struct {
	dialer    Dialer
	settings  Settings
	clock     *hlc.Clock
	self      journal.Claimant
	startTask func(task func(context.Context)) bool // reports false when the service is not running

	mu     sync.Mutex // guards byPeer
	byPeer map[string]*link
}

// call sends a call to the peer at an address and waits for its reply. When it
// returns an error, the call may still have taken effect.
func (l *linkTable) call(ctx context.Context, address string, c *linkCall) (*pb.OrderReply, error) {
	c.ctx = ctx
	c.answer = make(chan *pb.OrderReply, 1)
	k, err := l.enqueue(address, c)
	if err != nil {
		return nil, err
	}
	select {
	case reply := <-c.answer:
		if reply == nil {
			return nil, errStreamEnded
		}
		return reply, nil
	case <-ctx.Done():
		k.removeCall(c)
		return nil, ctx.Err()
	}
}

// enqueue adds a call to the queue of the link to an address, and opens the link
// if there is none. The lock ensures that no idle link is removed with a call in
// its queue.
func (l *linkTable) enqueue(address string, c *linkCall) (*link, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	k, ok := l.byPeer[address]
	if !ok {
		k = newLink(l, address)
		if !l.startTask(k.run) {
			return nil, errNotRunning
		}
		l.byPeer[address] = k
	}
	if !k.queue.Offer(c) {
		return nil, errQueueFull
	}
	return k, nil
}

// removeIfIdle removes a link from the table if it is idle. It reports false when
// the link has calls.
func (l *linkTable) removeIfIdle(k *link) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !k.isIdle() {
		return false
	}
	delete(l.byPeer, k.address)
	return true
}

// removeEnded removes a link whose stream has ended, and ends its calls without
// a reply.
func (l *linkTable) removeEnded(k *link) {
	l.mu.Lock()
	if l.byPeer[k.address] == k {
		delete(l.byPeer, k.address)
	}
	l.mu.Unlock()
	for _, c := range k.takeAllCalls() {
		c.deliver(nil)
	}
}

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
	errStreamEnded = errors.New("stream to the owner ended")
	errQueueFull   = errors.New("too many calls wait for the owner")
	errNotRunning  = errors.New("claims service not running")
	errReplyKind   = errors.New("reply of another kind than its call")
)

// linkTable holds one link to each owner that this instance has calls for.
type linkTable struct {
	dialer    Dialer
	settings  Settings
	clock     *hlc.Clock
	self      journal.Claimant
	startTask func(duty func(context.Context)) bool // false when the service does not run

	mu     sync.Mutex // guards byPeer
	byPeer map[string]*link
}

// call sends a call to the peer at an address and waits for its reply. After an
// error the call may have taken effect.
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

// enqueue opens a link when there is none. The lock keeps a link from ending
// with a call in its queue.
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

// removeIfIdle takes an idle link off the table. It is false while calls wait.
func (l *linkTable) removeIfIdle(k *link) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !k.isIdle() {
		return false
	}
	delete(l.byPeer, k.address)
	return true
}

// removeEnded ends a link whose stream has ended, and its calls.
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

package claims

import (
	"sync"
	"time"

	pb "savoryweir/api/savoryweir/v1"
	"savoryweir/internal/coordination/claims"
)

// peers returns clients of other control processes and avoids those that did
// not answer for a while.
type peers struct {
	dialer Dialer
	random *random

	mu      sync.Mutex // guards avoided
	avoided map[string]time.Time
}

// avoidance is the time for which a peer that did not answer is passed over.
var avoidance = claims.Backoff{Base: 4 * time.Second, Max: 4 * time.Second}

func newPeers(dialer Dialer, source *random) *peers {
	return &peers{dialer: dialer, random: source, avoided: make(map[string]time.Time)}
}

func (p *peers) client(m claims.Member) (pb.OrdersClient, error) { return p.dialer.Orders(m.Address) }

// usable reports whether a peer is not avoided.
func (p *peers) usable(id string, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	until, ok := p.avoided[id]
	if ok && !now.Before(until) {
		delete(p.avoided, id)
		return true
	}
	return !ok
}

// failed notes that a peer did not answer.
func (p *peers) failed(id string, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.avoided[id] = now.Add(p.random.backoff(avoidance, 0))
}

package claims

import (
	"sync"
	"time"

	pb "savoryweir/api/savoryweir/v1"
	"savoryweir/internal/coordination/claims"
)

// peerTable returns clients of other control processes and avoids those that did
// not answer for a while.
type peerTable struct {
	dialer Dialer
	random *lockedRand

	mu           sync.Mutex // guards avoided
	avoidedUntil map[string]time.Time
}

// avoidanceBackoff is the time for which a peer that did not answer is passed over.
var avoidanceBackoff = claims.Backoff{Base: 4 * time.Second, Max: 4 * time.Second}

func newPeerTable(dialer Dialer, source *lockedRand) *peerTable {
	return &peerTable{dialer: dialer, random: source, avoidedUntil: make(map[string]time.Time)}
}

func (p *peerTable) client(m claims.Member) (pb.OrdersClient, error) {
	return p.dialer.Orders(m.Address)
}

// isUsable reports whether a peer is not avoided.
func (p *peerTable) isUsable(id string, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	until, ok := p.avoidedUntil[id]
	if ok && !now.Before(until) {
		delete(p.avoidedUntil, id)
		return true
	}
	return !ok
}

// recordFailure notes that a peer did not answer.
func (p *peerTable) recordFailure(id string, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.avoidedUntil[id] = now.Add(p.random.backoff(avoidanceBackoff, 0))
}

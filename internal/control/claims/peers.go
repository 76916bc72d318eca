package claims

import (
	"sync"
	"time"

	pb "savoryweir/api/savoryweir/v1"
	"savoryweir/internal/coordination/claims"
)

// peerTable returns clients of other control processes and records which of them
// are avoided for a while because they did not answer.
type peerTable struct {
	dialer Dialer
	random *lockedRand

	mu           sync.Mutex // guards avoidedUntil
	avoidedUntil map[string]time.Time
}

// avoidanceBackoff gives the random time for which a peer that did not answer is
// skipped.
var avoidanceBackoff = claims.Backoff{Base: 4 * time.Second, Max: 4 * time.Second}

func newPeerTable(dialer Dialer, source *lockedRand) *peerTable {
	return &peerTable{dialer: dialer, random: source, avoidedUntil: make(map[string]time.Time)}
}

func (p *peerTable) client(m claims.Member) (pb.OrdersClient, error) {
	return p.dialer.Orders(m.Address)
}

// isUsable reports whether a peer may be called, which is so unless it is avoided.
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

// recordFailure records that a peer did not answer, and avoids it for a while.
func (p *peerTable) recordFailure(id string, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.avoidedUntil[id] = now.Add(p.random.backoff(avoidanceBackoff, 0))
}

package claims

import (
	"math/rand/v2"
	"sync"
	"time"

	"savoryweir/internal/coordination/claims"
)

// lockedRand is a random source that is safe for concurrent use.
type lockedRand struct {
	mu     sync.Mutex // guards source
	source *rand.Rand
}

func (r *lockedRand) backoff(b claims.Backoff, attempt int) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return b.Delay(attempt, r.source)
}

func (r *lockedRand) retryAfter(spread time.Duration) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return claims.RetryAfter(spread, r.source)
}

func (r *lockedRand) uint64() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.source.Uint64()
}

// circuitBreaker stops calls to a store that does not answer. While the circuit
// is open, it lets one call at a time probe the store, after a delay with full
// jitter.
type circuitBreaker struct {
	random        *lockedRand
	backoff       claims.Backoff
	probeInterval time.Duration // time after a probe in which no other call is allowed

	mu        sync.Mutex // guards the rest
	failures  int
	openUntil time.Time
}

// storeBackoff is the delay before the next probe of a store that does not answer.
var storeBackoff = claims.Backoff{Base: 200 * time.Millisecond, Max: 5 * time.Second}

// allow reports whether a call may be made now.
func (b *circuitBreaker) allow(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.failures == 0 {
		return true
	}
	if now.Before(b.openUntil) {
		return false
	}
	b.openUntil = now.Add(b.probeInterval)
	return true
}

// recordFailure records that the store did not answer, and opens the circuit or
// keeps it open.
func (b *circuitBreaker) recordFailure(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.openUntil = now.Add(b.random.backoff(b.backoff, b.failures))
	b.failures++
}

// recordSuccess records that the store answered, and closes the circuit.
func (b *circuitBreaker) recordSuccess() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.failures = 0
}

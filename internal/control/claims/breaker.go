package claims

import (
	"math/rand/v2"
	"sync"
	"time"

	"savoryweir/internal/coordination/claims"
)

// lockedRand is a lockedRand source that goroutines can share.
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

// circuitBreaker keeps calls from a store that is down. While it is closed, one call at a
// time may probe the store after a wait with full jitter.
type circuitBreaker struct {
	random        *lockedRand
	backoff       claims.Backoff
	probeInterval time.Duration // time for which a probe keeps other calls away

	mu        sync.Mutex // guards the rest
	failures  int
	openUntil time.Time
}

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

// recordFailure notes that the store did not answer.
func (b *circuitBreaker) recordFailure(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.openUntil = now.Add(b.random.backoff(b.backoff, b.failures))
	b.failures++
}

// recordSuccess notes an answer of the store.
func (b *circuitBreaker) recordSuccess() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.failures = 0
}

package claims

import (
	"math/rand/v2"
	"sync"
	"time"

	"savoryweir/internal/coordination/claims"
)

// random is a random source that goroutines can share.
type random struct {
	mu     sync.Mutex // guards source
	source *rand.Rand
}

func (r *random) backoff(b claims.Backoff, attempt int) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return b.Delay(attempt, r.source)
}

func (r *random) retryAfter(spread time.Duration) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return claims.RetryAfter(spread, r.source)
}

func (r *random) uint64() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.source.Uint64()
}

// gate keeps calls from a store that is down. While it is closed, one call at a
// time may probe the store after a wait with full jitter.
type gate struct {
	random  *random
	backoff claims.Backoff
	probe   time.Duration // time for which a probe keeps other calls away

	mu       sync.Mutex // guards the rest
	failures int
	until    time.Time
}

var storeBackoff = claims.Backoff{Base: 200 * time.Millisecond, Max: 5 * time.Second}

// allow reports whether a call may be made now.
func (g *gate) allow(now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.failures == 0 {
		return true
	}
	if now.Before(g.until) {
		return false
	}
	g.until = now.Add(g.probe)
	return true
}

// failed notes that the store did not answer.
func (g *gate) failed(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.until = now.Add(g.random.backoff(g.backoff, g.failures))
	g.failures++
}

// succeeded notes an answer of the store.
func (g *gate) succeeded() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.failures = 0
}

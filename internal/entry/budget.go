package entry

import (
	"sync"

	"savoryweir/internal/state/bundle"
)

// retryBudgets bounds the retries of each service to a share of its requests.
type retryBudgets struct {
	share float64 // tokens that a request earns
	burst float64 // most tokens that a service keeps

	mu     sync.Mutex // guards tokens
	tokens map[bundle.ServiceName]float64
}

func newRetryBudgets(share, burst float64) *retryBudgets {
	return &retryBudgets{share: share, burst: burst, tokens: make(map[bundle.ServiceName]float64)}
}

func (b *retryBudgets) balance(name bundle.ServiceName) float64 {
	tokens, ok := b.tokens[name]
	if !ok {
		return b.burst
	}
	return tokens
}

// earn counts one request of a caller.
func (b *retryBudgets) earn(name bundle.ServiceName) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens[name] = min(b.balance(name)+b.share, b.burst)
}

// spend takes one retry and reports whether the budget allows it.
func (b *retryBudgets) spend(name bundle.ServiceName) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	tokens := b.balance(name)
	if tokens < 1 {
		return false
	}
	b.tokens[name] = tokens - 1
	return true
}

package claims

import (
	"sync"
	"time"

	"savoryweir/internal/coordination/claims"
	"savoryweir/internal/state/journal"
)

// holdState is the state of a claim at its claimant.
type holdState int

const (
	holdPending holdState = iota // the entry has not been answered yet
	holdGranted                  // the entry may send the order
	holdLost                     // the entry process that made the claim has ended
)

// hold is one claim of the local entry.
type hold struct {
	state   holdState
	session string
	addedAt time.Time
	ended   chan struct{} // closed when the token is removed from the table
}

// holdTable contains the claims of the local entry that have not ended. A claim
// whose token is not in the table will not lead to an execution of the order any
// more. The table is safe for concurrent use.
type holdTable struct {
	limit int

	mu      sync.Mutex // guards the rest
	session string
	tokens  map[journal.Token]*hold
}

func newHoldTable(limit int) *holdTable {
	return &holdTable{limit: limit, tokens: make(map[journal.Token]*hold)}
}

// add adds a pending claim. It reports false when the table is full or already
// contains the token.
func (h *holdTable) add(token journal.Token, session string, now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.switchSession(session)
	if _, ok := h.tokens[token]; ok || len(h.tokens) >= h.limit {
		return false
	}
	h.tokens[token] = &hold{session: session, addedAt: now, ended: make(chan struct{})}
	return true
}

// switchSession marks all claims of the previous entry process as lost when the
// session has changed. The caller holds h.mu.
func (h *holdTable) switchSession(session string) {
	if session == h.session {
		return
	}
	h.session = session
	for _, held := range h.tokens {
		held.state = holdLost
	}
}

// grant marks a pending claim as granted. It reports false when the claim is no
// longer pending.
func (h *holdTable) grant(token journal.Token) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	held, ok := h.tokens[token]
	if !ok || held.state != holdPending {
		return false
	}
	held.state = holdGranted
	return true
}

// abandon removes a claim unless it was granted.
func (h *holdTable) abandon(token journal.Token) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if held, ok := h.tokens[token]; ok && held.state != holdGranted {
		h.remove(token, held)
	}
}

// complete removes a claim whose result is durable.
func (h *holdTable) complete(token journal.Token) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if held, ok := h.tokens[token]; ok {
		h.remove(token, held)
	}
}

// remove removes a claim and wakes the lookups that wait for its end. The caller
// holds h.mu.
func (h *holdTable) remove(token journal.Token, held *hold) {
	delete(h.tokens, token)
	close(held.ended)
}

// lookup returns the status of a token and, for a held claim, a channel that is
// closed when the claim ends.
func (h *holdTable) lookup(token journal.Token) (claims.TokenStatus, <-chan struct{}) {
	h.mu.Lock()
	defer h.mu.Unlock()
	held, ok := h.tokens[token]
	switch {
	case !ok:
		return claims.TokenEnded, nil
	case held.state == holdLost:
		return claims.TokenLost, nil
	default:
		return claims.TokenHeld, held.ended
	}
}

// removeExpired removes claims that were added before the given time, since the
// journal no longer remembers their keys.
func (h *holdTable) removeExpired(before time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for token, held := range h.tokens {
		if held.addedAt.Before(before) {
			h.remove(token, held)
		}
	}
}

// len returns the number of claims in the table.
func (h *holdTable) len() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.tokens)
}

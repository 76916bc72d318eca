package claims

import (
	"sync"
	"time"

	"savoryweir/internal/coordination/claims"
	"savoryweir/internal/state/journal"
)

// holdState is the standing of a token at its claimant.
type holdState int

const (
	holdPending holdState = iota // no answer was given to the entry yet
	holdGranted                  // the entry may send the order
	holdLost                     // the entry process is gone
)

// hold is one claim of the local entry.
type hold struct {
	state   holdState
	session string
	addedAt time.Time
	ended   chan struct{} // closed when the token leaves the table
}

// holdTable is the table of the local entry's claims. A token that is not in the
// table leads to no run from now on. It is safe for concurrent use.
type holdTable struct {
	limit int

	mu      sync.Mutex // guards the rest
	session string
	tokens  map[journal.Token]*hold
}

func newHoldTable(limit int) *holdTable {
	return &holdTable{limit: limit, tokens: make(map[journal.Token]*hold)}
}

// add adds a pending claim. It is false when the table is full or the token is known.
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

// switchSession marks the claims of an earlier entry process as lost.
func (h *holdTable) switchSession(session string) {
	if session == h.session {
		return
	}
	h.session = session
	for _, entry := range h.tokens {
		entry.state = holdLost
	}
}

// grant makes a pending claim a granted one. It is false when the claim has ended.
func (h *holdTable) grant(token journal.Token) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	entry, ok := h.tokens[token]
	if !ok || entry.state != holdPending {
		return false
	}
	entry.state = holdGranted
	return true
}

// abandon ends a claim that was not granted.
func (h *holdTable) abandon(token journal.Token) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if entry, ok := h.tokens[token]; ok && entry.state != holdGranted {
		h.remove(token, entry)
	}
}

// complete removes a claim whose result is durable.
func (h *holdTable) complete(token journal.Token) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if entry, ok := h.tokens[token]; ok {
		h.remove(token, entry)
	}
}

func (h *holdTable) remove(token journal.Token, entry *hold) {
	delete(h.tokens, token)
	close(entry.ended)
}

// lookup returns what the claimant knows of a token, and a channel that is
// closed when a held claim ends.
func (h *holdTable) lookup(token journal.Token) (claims.TokenStatus, <-chan struct{}) {
	h.mu.Lock()
	defer h.mu.Unlock()
	entry, ok := h.tokens[token]
	switch {
	case !ok:
		return claims.TokenEnded, nil
	case entry.state == holdLost:
		return claims.TokenLost, nil
	default:
		return claims.TokenHeld, entry.ended
	}
}

// removeExpired removes claims opened before the given time, whose keys are forgotten.
func (h *holdTable) removeExpired(before time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for token, entry := range h.tokens {
		if entry.addedAt.Before(before) {
			h.remove(token, entry)
		}
	}
}

func (h *holdTable) len() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.tokens)
}

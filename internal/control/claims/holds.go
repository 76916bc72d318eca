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
	opened  time.Time
	ended   chan struct{} // closed when the token leaves the table
}

// holds is the table of the local entry's claims. A token that is not in the
// table leads to no run from now on. It is safe for concurrent use.
type holds struct {
	limit int

	mu      sync.Mutex // guards the rest
	session string
	tokens  map[journal.Token]*hold
}

func newHolds(limit int) *holds {
	return &holds{limit: limit, tokens: make(map[journal.Token]*hold)}
}

// open adds a pending claim. It is false when the table is full or the token is known.
func (h *holds) open(token journal.Token, session string, now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.enterSession(session)
	if _, ok := h.tokens[token]; ok || len(h.tokens) >= h.limit {
		return false
	}
	h.tokens[token] = &hold{session: session, opened: now, ended: make(chan struct{})}
	return true
}

// enterSession marks the claims of an earlier entry process as lost.
func (h *holds) enterSession(session string) {
	if session == h.session {
		return
	}
	h.session = session
	for _, entry := range h.tokens {
		entry.state = holdLost
	}
}

// grant makes a pending claim a granted one. It is false when the claim has ended.
func (h *holds) grant(token journal.Token) bool {
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
func (h *holds) abandon(token journal.Token) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if entry, ok := h.tokens[token]; ok && entry.state != holdGranted {
		h.remove(token, entry)
	}
}

// end removes a claim whose result is durable.
func (h *holds) end(token journal.Token) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if entry, ok := h.tokens[token]; ok {
		h.remove(token, entry)
	}
}

func (h *holds) remove(token journal.Token, entry *hold) {
	delete(h.tokens, token)
	close(entry.ended)
}

// lookup returns what the claimant knows of a token, and a channel that is
// closed when a held claim ends.
func (h *holds) lookup(token journal.Token) (claims.TokenStatus, <-chan struct{}) {
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

// expire removes claims opened before the given time, whose keys are forgotten.
func (h *holds) expire(before time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for token, entry := range h.tokens {
		if entry.opened.Before(before) {
			h.remove(token, entry)
		}
	}
}

func (h *holds) len() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.tokens)
}

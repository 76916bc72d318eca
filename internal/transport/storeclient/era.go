package storeclient

import (
	"context"
	"errors"
	"sync"

	"savoryweir/internal/state/object"
)

// errOldEra reports a response that the store sent before it came back from an older copy.
var errOldEra = errors.New("response is of an earlier era of the store")

// errEraChanged reports that the pages of a list are of different eras.
var errEraChanged = errors.New("the store's era changed during the list")

// eraTracker tracks the newest known era of the store. It is safe for concurrent use.
type eraTracker struct {
	mu      sync.Mutex // guards all fields below
	era     object.Era
	changed chan struct{} // closed and replaced when the era rises
}

func newEraTracker() *eraTracker { return &eraTracker{changed: make(chan struct{})} }

// observe records an era and reports whether it is the newest one known.
func (t *eraTracker) observe(era object.Era) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if era > t.era {
		t.era = era
		close(t.changed)
		t.changed = make(chan struct{})
	}
	return era == t.era
}

func (t *eraTracker) current() (object.Era, <-chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.era, t.changed
}

// Era returns the newest era known of the store.
func (c *Client) Era() object.Era {
	era, _ := c.eras.current()
	return era
}

// ObserveEra records an era that another instance has seen. Responses of earlier eras are
// rejected from then on.
func (c *Client) ObserveEra(era object.Era) { c.eras.observe(era) }

// AwaitEraAfter waits until an era after the given one is known. It returns false if ctx
// ends before.
func (c *Client) AwaitEraAfter(ctx context.Context, known object.Era) bool {
	for {
		era, changed := c.eras.current()
		if era > known {
			return true
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}

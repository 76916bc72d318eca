package storeclient

import (
	"context"
	"errors"
	"sync"
	"time"

	"savoryweir/internal/coordination/restore"
	"savoryweir/internal/state/object"
)

// errOldEra reports a response that the store sent before it came back from an older copy.
var errOldEra = errors.New("response is of an earlier era of the store")

// errEraChanged reports that the pages of a list are of different eras.
var errEraChanged = errors.New("the store's era changed during the list")

// eraTracker tracks the newest known era of the store. It is safe for concurrent use.
type eraTracker struct {
	clock func() time.Duration // includes suspended time

	mu      sync.Mutex // guards all fields below
	eras    restore.Tracker
	changed chan struct{} // closed and replaced when the era rises
}

func newEraTracker(clock func() time.Duration) *eraTracker {
	return &eraTracker{clock: clock, changed: make(chan struct{})}
}

// observe records an era that has been known for a time, and reports whether it is the newest one known.
func (t *eraTracker) observe(era object.Era, age time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	before := t.eras.Era()
	t.eras.ObserveAge(t.clock(), era, age)
	if t.eras.Era() > before {
		close(t.changed)
		t.changed = make(chan struct{})
	}
	return era == t.eras.Era()
}

func (t *eraTracker) current() (object.Era, <-chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.eras.Era(), t.changed
}

// monotonicClock returns the time since now, without suspended time.
func monotonicClock() func() time.Duration {
	start := time.Now()
	return func() time.Duration { return time.Since(start) }
}

// SetClock sets the clock by which the age of the era and the completeness of responses are told. It must be called before the
// client is used.
func (c *Client) SetClock(clock func() time.Duration) { c.eras.clock = clock }

// Era returns the newest era known of the store.
func (c *Client) Era() object.Era {
	era, _ := c.eras.current()
	return era
}

// ObserveEra records an era that another instance has seen. Responses of earlier eras are
// rejected from then on.
func (c *Client) ObserveEra(era object.Era) { c.ObserveEraAge(era, 0) }

// ObserveEraAge records an era that another instance has known for a time.
func (c *Client) ObserveEraAge(era object.Era, age time.Duration) { c.eras.observe(era, age) }

// EraAge returns the newest era known of the store, and how long it has been known.
func (c *Client) EraAge() (object.Era, time.Duration) {
	c.eras.mu.Lock()
	defer c.eras.mu.Unlock()
	return c.eras.eras.Era(), c.eras.eras.Age(c.eras.clock())
}

// CompleteFrom returns the time of the client's clock from which on responses to calls reflect all that the store has ever
// acknowledged. Responses to earlier calls may lack what was written before the store came back from an older copy. It must be
// called after the response.
func (c *Client) CompleteFrom() time.Duration {
	c.eras.mu.Lock()
	defer c.eras.mu.Unlock()
	return c.eras.eras.CompleteFrom()
}

// IncompleteFor returns the time until CompleteFrom, zero if it is over.
func (c *Client) IncompleteFor() time.Duration {
	c.eras.mu.Lock()
	defer c.eras.mu.Unlock()
	return c.eras.eras.IncompleteFor(c.eras.clock())
}

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

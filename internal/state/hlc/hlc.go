// Package hlc implements a hybrid logical clock. Its timestamps combine physical
// milliseconds with a logical counter, so that the order of events respects the
// messages between processes even if their physical clocks differ.
package hlc

import (
	"cmp"
	"sync"
	"time"
)

// Timestamp is one reading of a Clock.
type Timestamp struct {
	WallMillis int64  `json:"wall_ms"`
	Logical    uint32 `json:"logical"`
}

// Compare returns a negative number if t is before u, zero if they are equal and a
// positive number if t is after u.
func (t Timestamp) Compare(u Timestamp) int {
	if c := cmp.Compare(t.WallMillis, u.WallMillis); c != 0 {
		return c
	}
	return cmp.Compare(t.Logical, u.Logical)
}

// Clock is a hybrid logical clock. It is safe for concurrent use.
type Clock struct {
	now  func() time.Time
	mu   sync.Mutex // guards last
	last Timestamp
}

// New returns a clock that reads the physical time from now.
func New(now func() time.Time) *Clock { return &Clock{now: now} }

// Now returns a timestamp that is later than every timestamp that the clock has
// returned or observed.
func (c *Clock) Now() Timestamp { return c.advance(Timestamp{}) }

// Observe advances the clock past a timestamp received from another process and
// returns the timestamp of the receipt.
func (c *Clock) Observe(received Timestamp) Timestamp { return c.advance(received) }

// advance sets the clock to a timestamp later than both its last one and received,
// and returns it.
func (c *Clock) advance(received Timestamp) Timestamp {
	wall := c.now().UnixMilli()
	c.mu.Lock()
	defer c.mu.Unlock()
	latest := c.last
	if received.Compare(latest) > 0 {
		latest = received
	}
	if wall > latest.WallMillis {
		c.last = Timestamp{WallMillis: wall}
	} else {
		c.last = Timestamp{WallMillis: latest.WallMillis, Logical: latest.Logical + 1}
	}
	return c.last
}

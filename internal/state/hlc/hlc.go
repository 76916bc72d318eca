// Package hlc implements a hybrid logical clock: physical milliseconds with a
// logical counter, so that the order of events follows the messages between
// processes even when their clocks differ.
package hlc

import (
	"cmp"
	"sync"
	"time"
)

// Timestamp is one reading of the clock.
type Timestamp struct {
	WallMillis int64  `json:"wall_ms"`
	Logical    uint32 `json:"logical"`
}

// Compare orders timestamps: negative if t is before u, zero if equal, positive if after.
func (t Timestamp) Compare(u Timestamp) int {
	if c := cmp.Compare(t.WallMillis, u.WallMillis); c != 0 {
		return c
	}
	return cmp.Compare(t.Logical, u.Logical)
}

// Clock is a hybrid logical clock, safe for concurrent use.
type Clock struct {
	now  func() time.Time
	mu   sync.Mutex // guards last
	last Timestamp
}

// New returns a clock that takes physical time from now.
func New(now func() time.Time) *Clock { return &Clock{now: now} }

// Now returns a timestamp later than all that the clock has returned or observed.
func (c *Clock) Now() Timestamp { return c.advance(Timestamp{}) }

// Observe merges a timestamp received from another process and returns the time of receipt.
func (c *Clock) Observe(received Timestamp) Timestamp { return c.advance(received) }

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

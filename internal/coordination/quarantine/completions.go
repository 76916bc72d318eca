package quarantine

import "time"

// completions holds when requests with a trait last completed. It keeps the traits recorded last:
// when recent is full it becomes older, and what was in older is dropped.
type completions struct {
	recent, older map[Trait]time.Time
}

// record records a completion. A zero time is ignored.
func (c *completions) record(trait Trait, at time.Time) {
	if at.IsZero() || !at.After(c.last(trait)) {
		return
	}
	if len(c.recent) >= maxCompletedTraits/2 {
		c.recent, c.older = nil, c.recent
	}
	if c.recent == nil {
		c.recent = make(map[Trait]time.Time)
	}
	c.recent[trait] = at
}

// last returns when a request with the trait last completed, zero if none is known.
func (c *completions) last(trait Trait) time.Time {
	if at, ok := c.recent[trait]; ok {
		return at
	}
	return c.older[trait]
}

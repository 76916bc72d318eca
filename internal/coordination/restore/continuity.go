package restore

import (
	"time"

	"savoryweir/internal/state/object"
)

// maxUnseenTime is the time before the store's return for which an instance may have had no word of the store's changes and still
// counts as knowing them all. The store itself is away for a part of it, and an upstream that drains takes longer to come and leave.
const maxUnseenTime = 2500 * time.Millisecond

// View is what an instance knows of the latest changes in the store.
type View uint8

// The views.
const (
	ViewUnconfirmed View = iota // neither the store nor other instances have told lately
	ViewBehind                  // another instance has seen newer changes
	ViewCurrent                 // all changes that any instance may have acted upon are known
)

// Continuity decides whether an instance still knows the past when the store comes back from an older copy. What the store had
// acknowledged since the copy was made is then known to instances alone, and only to those that had followed its changes until it
// went away. The zero value knows no changes. It is not safe for concurrent use.
type Continuity struct {
	era       object.Era
	isCurrent bool // the view was current at currentAt, and has not fallen behind since
	currentAt time.Duration
}

// Era returns the era that was entered last.
func (c *Continuity) Era() object.Era { return c.era }

// Observe records the view of the changes in the present era.
func (c *Continuity) Observe(now time.Duration, v View) {
	switch v {
	case ViewCurrent:
		c.isCurrent, c.currentAt = true, now
	case ViewBehind:
		c.isCurrent = false
	}
}

// Enter records that the store has come back from an older copy, in a later era. It reports whether all changes of the former
// eras are known.
func (c *Continuity) Enter(now time.Duration, era object.Era) bool {
	hasFollowed := c.isCurrent && now-c.currentAt <= maxUnseenTime
	c.era, c.isCurrent = era, false
	return hasFollowed
}

package gossip

import (
	"maps"
	"time"

	"savoryweir/internal/state/member"
)

// Times of comparisons with peers.
const (
	// compareDelay is longer than news takes to spread.
	compareDelay = 10 * time.Second
	// askInterval is the shortest time between two questions. While news comes all the time,
	// digests seldom agree though nothing is missing.
	askInterval = 30 * time.Second
	// compareMemory is how long a peer that is not heard of any more is remembered.
	compareMemory = time.Minute
)

// AntiEntropy decides when to ask a peer for all that it knows: when its digest has differed
// from the one here for longer than news takes to spread.
// Peers are told apart, since two that miss the same news agree. The zero value is ready.
type AntiEntropy struct {
	peers map[member.ID]difference
	asked time.Time
}

// difference is a peer whose digest differs.
type difference struct{ since, heard time.Time }

// OnDigest notes whether the digest of a peer is the same as the one here, and reports
// whether the peer should be asked.
func (c *AntiEntropy) OnDigest(now time.Time, from member.ID, isSame bool) bool {
	maps.DeleteFunc(c.peers, func(_ member.ID, d difference) bool { return now.Sub(d.heard) > compareMemory })
	if isSame {
		delete(c.peers, from)
		return false
	}
	if c.peers == nil {
		c.peers = make(map[member.ID]difference)
	}
	d, ok := c.peers[from]
	if !ok {
		d.since = now
	}
	d.heard = now
	c.peers[from] = d
	if now.Sub(d.since) <= compareDelay || now.Sub(c.asked) <= askInterval {
		return false
	}
	c.asked = now
	return true
}

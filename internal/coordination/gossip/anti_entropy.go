package gossip

import (
	"maps"
	"time"

	"savoryweir/internal/state/member"
)

// Times of the digest comparison with peers.
const (
	// minDifferenceTime is how long digests must differ before this instance asks the peer.
	// It is longer than an update takes to reach all instances.
	minDifferenceTime = 10 * time.Second
	// minRequestInterval is the shortest time between two requests. While updates arrive
	// continuously, digests seldom agree although nothing is missing.
	minRequestInterval = 30 * time.Second
	// peerRetention is how long a difference is kept after the last digest of the peer.
	peerRetention = time.Minute
)

// AntiEntropy decides when to ask a peer for its full state: when the digest of the peer has
// differed from that of this instance for longer than an update takes to reach all instances.
// Each peer is compared separately, since two instances that miss the same update agree. The
// zero value is ready to use.
type AntiEntropy struct {
	peers       map[member.ID]digestDifference
	lastRequest time.Time
}

// digestDifference is the period in which the digest of a peer has differed.
type digestDifference struct{ since, lastSeen time.Time }

// OnDigest records whether the digest of a peer equals that of this instance, and reports
// whether to ask the peer for its full state.
func (a *AntiEntropy) OnDigest(now time.Time, from member.ID, isSame bool) bool {
	maps.DeleteFunc(a.peers, func(_ member.ID, d digestDifference) bool { return now.Sub(d.lastSeen) > peerRetention })
	if isSame {
		delete(a.peers, from)
		return false
	}
	if a.peers == nil {
		a.peers = make(map[member.ID]digestDifference)
	}
	d, ok := a.peers[from]
	if !ok {
		d.since = now
	}
	d.lastSeen = now
	a.peers[from] = d
	if now.Sub(d.since) <= minDifferenceTime || now.Sub(a.lastRequest) <= minRequestInterval {
		return false
	}
	a.lastRequest = now
	return true
}

package routing

import (
	"savoryweir/internal/state/bundle"
)

// Owner returns the member with the highest rendezvous weight for key. All callers with
// the same members get the same result, and when a member leaves, only its own keys move.
// The result is empty when there are no members.
func Owner(key uint64, members []string) string {
	var best string
	var bestWeight uint64
	for _, m := range members {
		if w := rendezvousWeight(key, m); best == "" || w > bestWeight {
			best, bestWeight = m, w
		}
	}
	return best
}

// HashString returns the 64-bit FNV-1a hash of text, for use as a key of Owner.
func HashString(text string) uint64 {
	const offset, prime = 14695981039346656037, 1099511628211
	h := uint64(offset)
	for i := range len(text) {
		h ^= uint64(text[i])
		h *= prime
	}
	return h
}

// highestWeight returns the index of the host with the highest weight for key, ignoring
// skip, or -1 if there is none.
func highestWeight(hosts []Candidate, key uint64, skip bundle.UpstreamID) int {
	best := -1
	var bestWeight uint64
	for i, c := range hosts {
		if c.Upstream == skip {
			continue
		}
		if w := rendezvousWeight(key, string(c.Upstream)); best < 0 || w > bestWeight {
			best, bestWeight = i, w
		}
	}
	return best
}

// rendezvousWeight mixes key and name such that each input bit changes about half of the
// output bits.
func rendezvousWeight(key uint64, name string) uint64 {
	x := key ^ HashString(name)
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

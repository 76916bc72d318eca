package routing

import (
	"savoryweir/internal/state/bundle"
)

// Owner returns the member with the highest rendezvous weight for key. All
// callers with the same members get the same answer, and a member that leaves
// moves only its own keys. The result is empty when there are no members.
func Owner(key uint64, members []string) string {
	var best string
	var bestWeight uint64
	for _, m := range members {
		if w := weight(key, m); best == "" || w > bestWeight {
			best, bestWeight = m, w
		}
	}
	return best
}

// HashString returns the 64-bit FNV-1a hash of text, for keys of Home.
func HashString(text string) uint64 {
	const offset, prime = 14695981039346656037, 1099511628211
	h := uint64(offset)
	for i := range len(text) {
		h ^= uint64(text[i])
		h *= prime
	}
	return h
}

// highest returns the index of the host with the highest weight for key, other than skip.
func highest(hosts []Candidate, key uint64, skip bundle.UpstreamID) int {
	best := -1
	var bestWeight uint64
	for i, c := range hosts {
		if c.Upstream == skip {
			continue
		}
		if w := weight(key, string(c.Upstream)); best < 0 || w > bestWeight {
			best, bestWeight = i, w
		}
	}
	return best
}

// weight mixes key and name so that each bit of both changes half of the result's bits.
func weight(key uint64, name string) uint64 {
	x := key ^ HashString(name)
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

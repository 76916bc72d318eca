package membership

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"savoryweir/internal/state/member"
)

// neighbours returns the instances that self probes: its successor on each of fanout
// rings. Each ring orders the members by a different hash, so that the probes form a
// random regular graph, in which an update reaches all members in a number of hops that
// grows with the logarithm of the number of members. Every member is the successor of
// fanout others, and an instance keeps that many connections.
func neighbours(self member.ID, usable []member.Member, fanout int) []member.Member {
	var chosen []member.Member
	for ring := range fanout {
		next, ok := successor(self, usable, ring, chosen)
		if ok {
			chosen = append(chosen, next)
		}
	}
	return chosen
}

// successor returns the member that follows self on a ring, skipping those already chosen.
func successor(self member.ID, usable []member.Member, ring int, chosen []member.Member) (member.Member, bool) {
	start := ringPosition(self, ring)
	var best member.Member
	var bestDistance uint64
	found := false
	for _, m := range usable {
		if m.ID == self || containsID(chosen, m.ID) {
			continue
		}
		distance := ringPosition(m.ID, ring) - start // wraps around the ring
		if !found || distance < bestDistance {
			best, bestDistance, found = m, distance, true
		}
	}
	return best, found
}

func containsID(list []member.Member, id member.ID) bool {
	return slices.ContainsFunc(list, func(m member.Member) bool { return m.ID == id })
}

func ringPosition(id member.ID, ring int) uint64 {
	var digest xxhash.Digest
	digest.ResetWithSeed(uint64(ring))
	_, _ = digest.WriteString(string(id))
	return digest.Sum64()
}

// RankForTask orders the usable members by a hash of the task's name and their ids. The
// first ones are assigned the task. Members with the same table compute the same order.
func RankForTask(task string, usable []member.Member) []member.Member {
	ranked := slices.Clone(usable)
	weight := func(m member.Member) uint64 { return xxhash.Sum64String(task + "\x00" + string(m.ID)) }
	slices.SortFunc(ranked, func(a, b member.Member) int {
		return cmp.Or(cmp.Compare(weight(b), weight(a)), cmp.Compare(a.ID, b.ID))
	})
	return ranked
}

// IsAssigned reports whether self is one of the count members that are assigned the task.
func IsAssigned(self member.ID, task string, count int, usable []member.Member) bool {
	ranked := RankForTask(task, usable)
	return containsID(ranked[:min(count, len(ranked))], self)
}

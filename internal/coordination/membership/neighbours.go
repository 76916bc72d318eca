package membership

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"savoryweir/internal/state/member"
)

// neighbours returns the instances that self probes: its successor on each of
// fanout rings. Each ring orders the members by a hash of its own, so that the
// probes form a random regular graph, in which news reaches all members in a
// number of hops that grows with the logarithm of their number. Every member is
// the successor of fanout others, and an instance keeps that many connections.
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

// successor returns the member that follows self on a ring, passing over those already chosen.
func successor(self member.ID, usable []member.Member, ring int, chosen []member.Member) (member.Member, bool) {
	from := position(self, ring)
	var best member.Member
	var bestDistance uint64
	found := false
	for _, m := range usable {
		if m.ID == self || contains(chosen, m.ID) {
			continue
		}
		distance := position(m.ID, ring) - from // wraps around the ring
		if !found || distance < bestDistance {
			best, bestDistance, found = m, distance, true
		}
	}
	return best, found
}

func contains(list []member.Member, id member.ID) bool {
	return slices.ContainsFunc(list, func(m member.Member) bool { return m.ID == id })
}

func position(id member.ID, ring int) uint64 {
	var digest xxhash.Digest
	digest.ResetWithSeed(uint64(ring))
	_, _ = digest.WriteString(string(id))
	return digest.Sum64()
}

// RankForTask orders the usable members by a hash of a task's name and their ids. The
// first are those that carry the task. Members with the same view agree on it.
func RankForTask(task string, usable []member.Member) []member.Member {
	ranked := slices.Clone(usable)
	weight := func(m member.Member) uint64 { return xxhash.Sum64String(task + "\x00" + string(m.ID)) }
	slices.SortFunc(ranked, func(a, b member.Member) int {
		return cmp.Or(cmp.Compare(weight(b), weight(a)), cmp.Compare(a.ID, b.ID))
	})
	return ranked
}

// IsAssigned reports whether self is among the first count members for a task.
func IsAssigned(self member.ID, task string, count int, usable []member.Member) bool {
	ranked := RankForTask(task, usable)
	return contains(ranked[:min(count, len(ranked))], self)
}

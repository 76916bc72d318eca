package membership

import (
	"cmp"
	"maps"
	"math/bits"
	"slices"

	"savoryweir/internal/state/member"
)

// transmissionFactor times the logarithm of the number of members is how often
// an update is sent before it is dropped from the queue.
const transmissionFactor = 4

// transmissions returns how often an update is sent among count members.
func transmissions(count int) int { return transmissionFactor * bits.Len(uint(count)) }

// queued is one update with the number of messages that carried it.
type queued struct {
	member member.Member
	sent   int
}

// updateQueue holds the updates that are still passed on, newest knowledge of
// each member only.
type updateQueue struct{ updates map[member.ID]*queued }

func newUpdateQueue() updateQueue { return updateQueue{updates: make(map[member.ID]*queued)} }

func (q *updateQueue) add(m member.Member) { q.updates[m.ID] = &queued{member: m} }

// take returns up to count updates, those sent least often first, and drops
// those that have been sent limit times.
func (q *updateQueue) take(count, limit int) []member.Member {
	order := sortedKeys(q.updates)
	slices.SortStableFunc(order, func(a, b member.ID) int {
		return cmp.Compare(q.updates[a].sent, q.updates[b].sent)
	})
	var taken []member.Member
	for _, id := range order[:min(max(count, 0), len(order))] {
		u := q.updates[id]
		taken = append(taken, u.member)
		u.sent++
		if u.sent >= limit {
			delete(q.updates, id)
		}
	}
	return taken
}

// sortedKeys returns the ids in order, so that runs with the same seed are the same.
func sortedKeys[V any](m map[member.ID]V) []member.ID {
	return slices.Sorted(maps.Keys(m))
}

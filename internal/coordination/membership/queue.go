package membership

import (
	"cmp"
	"maps"
	"math/bits"
	"slices"

	"savoryweir/internal/state/member"
)

// retransmitMultiplier times the binary logarithm of the number of members is the number
// of times that an update is sent before it is dropped from the queue.
const retransmitMultiplier = 4

// retransmitLimit returns the number of times that an update is sent among count members.
func retransmitLimit(count int) int { return retransmitMultiplier * bits.Len(uint(count)) }

// queuedUpdate is one update with the number of messages that carried it.
type queuedUpdate struct {
	member member.Member
	sent   int
}

// updateQueue holds the updates that are still being disseminated, only the latest one for
// each member.
type updateQueue struct{ updates map[member.ID]*queuedUpdate }

func newUpdateQueue() updateQueue { return updateQueue{updates: make(map[member.ID]*queuedUpdate)} }

func (q *updateQueue) add(m member.Member) { q.updates[m.ID] = &queuedUpdate{member: m} }

// take returns up to count updates, those sent least often first, and drops updates that
// have been sent limit times.
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

// sortedKeys returns the ids in ascending order, so that runs with the same seed are
// identical.
func sortedKeys[V any](m map[member.ID]V) []member.ID {
	return slices.Sorted(maps.Keys(m))
}

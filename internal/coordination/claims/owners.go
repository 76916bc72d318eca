// Package claims decides who serves a journal shard, when changes are
// committed, and what a resend of an order is told.
package claims

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"savoryweir/internal/state/journal"
)

// Member is a live instance that can own shards.
type Member struct {
	ID          string
	Address     string // of its control process
	Incarnation uint64
}

// Owners returns the members in their rendezvous order for a shard, the owner
// first. The order among the remaining members does not change when one leaves.
func Owners(shard journal.ShardID, members []Member) []Member {
	type scored struct {
		member Member
		score  uint64
	}
	list := make([]scored, len(members))
	for i, m := range members {
		list[i] = scored{m, score(shard, m.ID)}
	}
	slices.SortFunc(list, func(a, b scored) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.member.ID, b.member.ID))
	})
	owners := make([]Member, len(list))
	for i, s := range list {
		owners[i] = s.member
	}
	return owners
}

func score(shard journal.ShardID, id string) uint64 {
	var prefix [4]byte
	binary.BigEndian.PutUint32(prefix[:], uint32(shard))
	return xxhash.Sum64(append(prefix[:], id...))
}

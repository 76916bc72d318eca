// Package claims decides which instance serves a journal shard, when the changes of a
// shard are committed, and how a resend of an order is answered.
package claims

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"savoryweir/internal/state/journal"
)

// Member is a live instance that may own shards.
type Member struct {
	ID          string
	Address     string // address of the control process of the instance
	Incarnation uint64
}

// Owners returns the members in their rendezvous hashing order for a shard, the owner
// first. The order of the remaining members does not change when one of them leaves.
func Owners(shard journal.ShardID, members []Member) []Member {
	type scored struct {
		member Member
		score  uint64
	}
	ranked := make([]scored, len(members))
	for i, m := range members {
		ranked[i] = scored{m, score(shard, m.ID)}
	}
	slices.SortFunc(ranked, func(a, b scored) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.member.ID, b.member.ID))
	})
	owners := make([]Member, len(ranked))
	for i, s := range ranked {
		owners[i] = s.member
	}
	return owners
}

// score returns the rendezvous hash of a shard and a member.
func score(shard journal.ShardID, id string) uint64 {
	var prefix [4]byte
	binary.BigEndian.PutUint32(prefix[:], uint32(shard))
	return xxhash.Sum64(append(prefix[:], id...))
}

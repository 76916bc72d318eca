package claims

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"savoryweir/internal/coordination/claims"
	"savoryweir/internal/state/journal"
)

// memberRange returns members with consecutive numbers.
func memberRange(from, count int) []claims.Member {
	members := make([]claims.Member, count)
	for i := range members {
		members[i] = claims.Member{ID: fmt.Sprintf("i%03d", from+i), Address: fmt.Sprint(from + i), Incarnation: uint64(from)}
	}
	return members
}

// TestOwnerCacheFollowsMemberChanges guards against owners that the cache returns for
// earlier members. The members change at random between lookups.
func TestOwnerCacheFollowsMemberChanges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var table ownerCache
		members := memberRange(0, 9)
		for range 50 {
			if rapid.Bool().Draw(t, "change") {
				members = memberRange(rapid.IntRange(0, 5).Draw(t, "from"), rapid.IntRange(0, 20).Draw(t, "count"))
			}
			shard := journal.ShardID(rapid.IntRange(0, 3).Draw(t, "shard"))
			want := claims.Owners(shard, members)
			assert.DeepEqual(t, table.lookup(shard, members), append([]claims.Member(nil), want[:min(len(want), maxCachedOwners)]...))
		}
	})
}

// BenchmarkOwners measures the lookup of a shard's owners among 320 members, without
// and with the cache.
func BenchmarkOwners(b *testing.B) {
	members := memberRange(0, 320)
	b.Run("sorted", func(b *testing.B) {
		b.ReportAllocs()
		for i := range b.N {
			claims.Owners(journal.ShardID(i%32), members)
		}
	})
	b.Run("remembered", func(b *testing.B) {
		b.ReportAllocs()
		var table ownerCache
		for i := range b.N {
			table.lookup(journal.ShardID(i%32), members)
		}
	})
}

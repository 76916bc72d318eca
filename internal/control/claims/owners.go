package claims

import (
	"sync"

	"savoryweir/internal/coordination/claims"
	"savoryweir/internal/state/journal"
)

// maxCachedOwners is the number of members of a shard's rendezvous order that are
// cached. When all of them are avoided, this instance commits a claim to the store
// itself.
const maxCachedOwners = 8

// ownerCache caches the owners of shards until the members change. It is safe for
// concurrent use.
type ownerCache struct {
	mu      sync.Mutex // guards the rest
	members []claims.Member
	byShard map[journal.ShardID][]claims.Member
}

// lookup returns the first maxCachedOwners members in the rendezvous order of a
// shard. The caller must not modify the result.
func (o *ownerCache) lookup(shard journal.ShardID, members []claims.Member) []claims.Member {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.byShard == nil || !sameSlice(o.members, members) {
		o.members = members
		o.byShard = make(map[journal.ShardID][]claims.Member)
	}
	if owners, ok := o.byShard[shard]; ok {
		return owners
	}
	all := claims.Owners(shard, members)
	owners := append([]claims.Member(nil), all[:min(len(all), maxCachedOwners)]...)
	o.byShard[shard] = owners
	return owners
}

// sameSlice reports whether two slices have the same length and share their elements.
func sameSlice(a, b []claims.Member) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

package claims

import (
	"sync"

	"savoryweir/internal/coordination/claims"
	"savoryweir/internal/state/journal"
)

// maxCachedOwners is how many members of a shard's rendezvous order are remembered.
// A claim whose first ones are all avoided goes to the store from this instance.
const maxCachedOwners = 8

// ownerCache remembers the owners of shards while the members stay the same. It
// is safe for concurrent use.
type ownerCache struct {
	mu      sync.Mutex // guards the rest
	members []claims.Member
	byShard map[journal.ShardID][]claims.Member
}

// lookup returns the first members in the rendezvous order of a shard. The
// result is not to be changed.
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

// sameSlice reports whether two slices are one and the same.
func sameSlice(a, b []claims.Member) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

// Package prefixes remembers which parts of prompts upstreams have read, as far as
// this instance has sent them.
package prefixcache

import (
	"github.com/cespare/xxhash/v2"

	"savoryweir/internal/state/fleet"
)

// partsPerUpstream bounds the remembered parts of an upstream: several times the
// shared parts that an engine's memory holds.
const partsPerUpstream = 1024

// Key names a part of a prompt together with all parts before it, its model and adapter.
type Key uint64

// Part is one part of a prompt.
type Part struct {
	Key    Key
	Tokens int
}

// InitialKey starts the chain of a prompt's keys.
func InitialKey(model, adapter string) Key { return Key(xxhash.Sum64String(model + "/" + adapter)) }

// NextKey returns the key of the part that follows.
func NextKey(before Key, id uint64) Key {
	const odd = 0x9E3779B97F4A7C15 // spreads the bits of consecutive identifiers
	return Key((uint64(before) ^ id) * odd)
}

// Cache remembers parts by upstream. It is not safe for concurrent use.
type Cache struct {
	by map[fleet.UpstreamID]map[Key]struct{}
}

// New returns an empty cache.
func New() *Cache { return &Cache{by: make(map[fleet.UpstreamID]map[Key]struct{})} }

// CachedTokens returns how many tokens at the start of a prompt the upstream has read before.
func (c *Cache) CachedTokens(id fleet.UpstreamID, chain []Part) int {
	held := 0
	parts := c.by[id]
	for _, p := range chain {
		if _, ok := parts[p.Key]; !ok {
			break
		}
		held += p.Tokens
	}
	return held
}

// Add records that the upstream has read a prompt.
func (c *Cache) Add(id fleet.UpstreamID, chain []Part) {
	parts := c.by[id]
	if parts == nil {
		parts = make(map[Key]struct{})
		c.by[id] = parts
	}
	for _, p := range chain {
		parts[p.Key] = struct{}{}
	}
	for key := range parts {
		if len(parts) <= partsPerUpstream {
			break
		}
		delete(parts, key)
	}
}

// Forget drops what is known of an upstream.
func (c *Cache) Forget(id fleet.UpstreamID) { delete(c.by, id) }

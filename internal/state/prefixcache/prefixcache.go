// Package prefixcache records which prompt prefixes each upstream has processed, as
// far as this instance has sent them.
package prefixcache

import (
	"github.com/cespare/xxhash/v2"

	"savoryweir/internal/state/fleet"
)

// maxPartsPerUpstream bounds the recorded parts of an upstream. It is several times
// the number of shared parts that fit into an engine's memory.
const maxPartsPerUpstream = 1024

// Key identifies a part of a prompt together with all parts before it and with the
// model and adapter of the prompt.
type Key uint64

// Part is one part of a prompt, with its length in tokens.
type Part struct {
	Key    Key
	Tokens int
}

// InitialKey returns the key from which the keys of a prompt's parts are derived.
func InitialKey(model, adapter string) Key { return Key(xxhash.Sum64String(model + "/" + adapter)) }

// NextKey returns the key of the part that has the given ID and follows the part or
// the initial key previous.
func NextKey(previous Key, id uint64) Key {
	const multiplier = 0x9E3779B97F4A7C15 // odd; spreads the bits of consecutive IDs
	return Key((uint64(previous) ^ id) * multiplier)
}

// Cache holds the recorded parts of each upstream. It is not safe for concurrent use.
type Cache struct {
	upstreams map[fleet.UpstreamID]map[Key]struct{}
}

// New returns an empty cache.
func New() *Cache { return &Cache{upstreams: make(map[fleet.UpstreamID]map[Key]struct{})} }

// CachedTokens returns the number of tokens in the longest recorded prefix of a
// prompt at an upstream.
func (c *Cache) CachedTokens(id fleet.UpstreamID, prompt []Part) int {
	cached := 0
	parts := c.upstreams[id]
	for _, p := range prompt {
		if _, ok := parts[p.Key]; !ok {
			break
		}
		cached += p.Tokens
	}
	return cached
}

// Add records that an upstream has processed a prompt. Above maxPartsPerUpstream it
// evicts arbitrary parts.
func (c *Cache) Add(id fleet.UpstreamID, prompt []Part) {
	parts := c.upstreams[id]
	if parts == nil {
		parts = make(map[Key]struct{})
		c.upstreams[id] = parts
	}
	for _, p := range prompt {
		parts[p.Key] = struct{}{}
	}
	for key := range parts {
		if len(parts) <= maxPartsPerUpstream {
			break
		}
		delete(parts, key)
	}
}

// Forget drops the recorded parts of an upstream.
func (c *Cache) Forget(id fleet.UpstreamID) { delete(c.upstreams, id) }

package replica

import (
	"cmp"
	"errors"
	"slices"

	"github.com/cespare/xxhash/v2"

	"savoryweir/internal/state/bundle"
)

var (
	// ErrStale reports that the version of a delta is not newer than the known one.
	ErrStale = errors.New("replicas are not newer than the known version")
	// ErrMissingBase reports that the base of a delta is newer than the known version.
	ErrMissingBase = errors.New("base version of the delta is newer than the known replicas")
	// ErrDigestMismatch reports that the replicas that result from a delta do not match its digest.
	ErrDigestMismatch = errors.New("replicas do not match the digest of their version")
)

// Key identifies a replica.
type Key struct {
	Upstream bundle.UpstreamID
	Model    bundle.ModelID
	Adapter  bundle.AdapterID
}

// Key returns the key of the replica.
func (r Replica) Key() Key { return Key{Upstream: r.Upstream, Model: r.Model, Adapter: r.Adapter} }

func (k Key) compare(other Key) int {
	return cmp.Or(cmp.Compare(k.Upstream, other.Upstream), cmp.Compare(k.Model, other.Model), cmp.Compare(k.Adapter, other.Adapter))
}

// Sort sorts replicas by key, which is the order in which cells keep them.
func Sort(replicas []Replica) {
	slices.SortFunc(replicas, func(a, b Replica) int { return a.Key().compare(b.Key()) })
}

// Digest returns a hash over the replicas of the cell. They must be sorted.
func (c Cell) Digest() uint64 {
	var digest xxhash.Digest
	digest.Reset()
	for _, r := range c.Replicas {
		state := "\x00\x00"
		if r.Ready {
			state = "\x00\x01"
		}
		_, _ = digest.WriteString(string(r.Upstream) + "\x00" + string(r.Model) + "\x00" + string(r.Adapter) + state)
	}
	return digest.Sum64()
}

// Delta contains what changed in a cell since a base version, or the complete cell if the
// base is zero. It can be applied to the base and to each version between the base and
// its own, and results in the version of its head.
type Delta struct {
	Cell    Cell // the new head, and the replicas that were added or changed
	Base    uint64
	Removed []Key
	Digest  uint64 // digest of the cell that results from the delta
}

// IsFull reports whether the delta contains the complete cell, so that it needs no base.
func (d Delta) IsFull() bool { return d.Base == 0 }

// Apply returns the cell that results from a delta. If the delta cannot be applied to the
// known cell, Apply returns the known cell with ErrStale, ErrMissingBase or
// ErrDigestMismatch.
func Apply(known Cell, d Delta) (Cell, error) {
	switch {
	case d.Cell.Head.Version <= known.Head.Version:
		return known, ErrStale
	case known.Head.Version < d.Base:
		return known, ErrMissingBase
	}
	next := Cell{Head: d.Cell.Head, Replicas: slices.Clone(d.Cell.Replicas)}
	if !d.IsFull() {
		next.Replicas = merge(known.Replicas, d)
	}
	Sort(next.Replicas)
	if next.Digest() != d.Digest {
		return known, ErrDigestMismatch
	}
	return next, nil
}

// merge returns the known replicas with the changes of a delta applied. They are not sorted.
func merge(known []Replica, d Delta) []Replica {
	changed := make(map[Key]bool, len(d.Cell.Replicas)+len(d.Removed))
	for _, r := range d.Cell.Replicas {
		changed[r.Key()] = true
	}
	for _, key := range d.Removed {
		changed[key] = true
	}
	merged := slices.Clone(d.Cell.Replicas)
	for _, r := range known {
		if !changed[r.Key()] {
			merged = append(merged, r)
		}
	}
	return merged
}

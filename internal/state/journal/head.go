package journal

import (
	"fmt"
	"time"

	"savoryweir/internal/state/object"
)

// The object kinds under which the store keeps the journal.
const (
	KindHead    object.Kind = "journal-heads"
	KindSegment object.Kind = "journal-segments"
)

// Nonce identifies one write of a head.
type Nonce [8]byte

// SegmentRef refers to a sealed segment.
type SegmentRef struct {
	Name       object.Name
	Version    object.Version
	Size       int // estimated encoded size in bytes
	Records    int
	LastExpiry time.Time // latest expiry of its records
}

// Head is the content of the mutable object of a shard.
type Head struct {
	Nonce    Nonce
	Segments []SegmentRef // in the order in which they were sealed
	Active   []Record     // records that are not sealed yet, one per key
}

// HeadName returns the name of the object that holds a shard's head.
func HeadName(shard ShardID) object.Name { return object.Name(fmt.Sprintf("%04x", uint32(shard))) }

// SegmentPrefix returns the prefix of the names of all segments of a shard.
func SegmentPrefix(shard ShardID) string { return fmt.Sprintf("%04x/", uint32(shard)) }

// segmentName returns the name of a segment that is sealed on top of the head with version base.
func segmentName(shard ShardID, base object.Version, nonce Nonce) object.Name {
	return object.Name(fmt.Sprintf("%s%016x-%x", SegmentPrefix(shard), uint64(base), nonce[:]))
}

// IsOrphan reports whether no head will ever refer to the segment. That is so if the
// given head does not refer to it and the segment was sealed on top of a version below
// that of the head, because later heads only add segments sealed on top of that version
// or a later one.
func IsOrphan(name object.Name, head Head, version object.Version) bool {
	for _, ref := range head.Segments {
		if ref.Name == name {
			return false
		}
	}
	var shard uint32
	var base uint64
	if _, err := fmt.Sscanf(string(name), "%04x/%016x-", &shard, &base); err != nil {
		return false
	}
	return object.Version(base) < version
}

package journal

import (
	"fmt"
	"time"

	"savoryweir/internal/state/object"
)

// The kinds of the journal's objects.
const (
	KindHead    object.Kind = "journal-heads"
	KindSegment object.Kind = "journal-segments"
)

// Nonce identifies one write of a head.
type Nonce [8]byte

// SegmentRef names a sealed segment.
type SegmentRef struct {
	Name       object.Name
	Version    object.Version
	Size       int // estimated bytes
	Records    int
	LastExpiry time.Time // expiry of the record that is kept longest
}

// Head is the content of a shard's mutable object.
type Head struct {
	Nonce    Nonce
	Segments []SegmentRef // in the order of their sealing
	Active   []Record     // the newest records, one a key
}

// HeadName returns the object name of a shard's head.
func HeadName(shard ShardID) object.Name { return object.Name(fmt.Sprintf("%04x", uint32(shard))) }

// SegmentPrefix starts the names of all segments of a shard.
func SegmentPrefix(shard ShardID) string { return fmt.Sprintf("%04x/", uint32(shard)) }

// segmentName returns the name of a segment sealed on top of the head version base.
func segmentName(shard ShardID, base object.Version, nonce Nonce) object.Name {
	return object.Name(fmt.Sprintf("%s%016x-%x", SegmentPrefix(shard), uint64(base), nonce[:]))
}

// IsOrphan reports whether no head will ever name the segment: the head at
// version does not, and a later head can only add segments sealed on top of
// that version or a later one.
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

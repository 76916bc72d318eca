package journal

import (
	"slices"
	"time"

	"savoryweir/internal/state/object"
)

// Segment is an immutable segment. It has to be written before a head refers to it.
type Segment struct {
	Name    object.Name
	Records []Record
}

// Write is what one commit sends to the store: first the segment, if there is one, then
// the head, on condition that the stored head still has the version Expected.
type Write struct {
	Shard    ShardID
	Expected object.Version
	Segment  *Segment
	Head     Head
	Obsolete []SegmentRef // segments that the new head no longer refers to
}

// PlanWrite returns the write that commits the transaction. If the records of the head
// exceed the threshold of sealThreshold, they are sealed into a segment. The newest
// segments are merged into it if enough of similar size exist.
func (tx *Transaction) PlanWrite(nonce Nonce) Write {
	w := Write{Shard: tx.shard.id, Expected: tx.shard.version}
	live, obsolete := tx.splitExpired()
	active := tx.activeRecords()
	w.Head = Head{Nonce: nonce, Segments: live, Active: active}
	w.Obsolete = obsolete
	if bytes := totalEstimatedSize(active); bytes > tx.sealThreshold() {
		tx.seal(&w, bytes)
	}
	return w
}

// sealThreshold returns the size of unsealed records, in bytes, above which they are
// sealed. Each commit rewrites the head, so its records are sealed after about
// MergeFanout commits of the size of this one. That keeps heads small if orders are few,
// and segments few if orders are many.
func (tx *Transaction) sealThreshold() int {
	limits := tx.shard.limits
	changedBytes := 0
	for _, r := range tx.changed {
		changedBytes += r.estimatedSize()
	}
	return min(max(changedBytes*limits.MergeFanout, limits.ActiveBytes/limits.MergeFanout), limits.ActiveBytes)
}

func (tx *Transaction) splitExpired() (live, expired []SegmentRef) {
	for _, ref := range tx.shard.head.Segments {
		if tx.shard.isExpired(ref.LastExpiry, tx.now) {
			expired = append(expired, ref)
		} else {
			live = append(live, ref)
		}
	}
	return live, expired
}

// activeRecords returns the unsealed records that have not expired, with the changes of
// the transaction applied.
func (tx *Transaction) activeRecords() []Record {
	active := make([]Record, 0, len(tx.shard.head.Active)+len(tx.changeOrder))
	for _, r := range tx.shard.head.Active {
		if _, ok := tx.changed[r.Key]; ok || tx.shard.isExpired(r.Expires, tx.now) {
			continue
		}
		active = append(active, r)
	}
	for _, key := range tx.changeOrder {
		active = append(active, tx.changed[key])
	}
	return active
}

func totalEstimatedSize(records []Record) int {
	n := 0
	for _, r := range records {
		n += r.estimatedSize()
	}
	return n
}

// seal moves the active records of the write, and the records of the segments to merge
// with them, into a new segment.
func (tx *Transaction) seal(w *Write, activeBytes int) {
	first := firstToMerge(w.Head.Segments, activeBytes, tx.shard.limits)
	merged := w.Head.Segments[first:]
	records := tx.mergedRecords(merged, w.Head.Active)
	w.Segment = &Segment{Name: segmentName(tx.shard.id, tx.shard.version, w.Head.Nonce), Records: records}
	ref := SegmentRef{Name: w.Segment.Name, Size: totalEstimatedSize(records), Records: len(records), LastExpiry: lastExpiry(records)}
	w.Obsolete = append(w.Obsolete, merged...)
	w.Head.Segments = append(slices.Clone(w.Head.Segments[:first]), ref)
	w.Head.Active = nil
}

// firstToMerge returns the index of the first segment to merge with the active records, or
// len(refs) if there is none. Segments of a tier are at most MergeFanout times as large as
// those of the tier below, so a record is rewritten once per tier. The top tier starts at
// half of SegmentBytes.
func firstToMerge(refs []SegmentRef, activeBytes int, limits Limits) int {
	first := len(refs)
	topBytes := limits.SegmentBytes / 2
	for tierBytes := limits.ActiveBytes / limits.MergeFanout; tierBytes < topBytes; {
		tierBytes = min(tierBytes*limits.MergeFanout, topBytes)
		if candidate, bytes := newestSmallSegments(refs, tierBytes, activeBytes, limits.SegmentBytes); bytes >= tierBytes {
			first = candidate
		}
	}
	return first
}

// newestSmallSegments returns the index of the first of the newest segments that are each
// smaller than tierBytes and that together with the active records fit into one segment
// of maxBytes. It also returns the size of that segment. All sizes are in bytes.
func newestSmallSegments(refs []SegmentRef, tierBytes, activeBytes, maxBytes int) (first, bytes int) {
	first, bytes = len(refs), activeBytes
	for first > 0 && refs[first-1].Size < tierBytes && bytes+refs[first-1].Size <= maxBytes {
		first--
		bytes += refs[first].Size
	}
	return first, bytes
}

// mergedRecords returns the active records, and for each other key of the segments its
// newest record unless that has expired.
func (tx *Transaction) mergedRecords(merged []SegmentRef, active []Record) []Record {
	seen := make(map[KeyHash]bool, len(active))
	records := slices.Clone(active)
	for _, r := range active {
		seen[r.Key] = true
	}
	for _, ref := range merged {
		for _, key := range tx.shard.sealedKeys[ref.Name] {
			r, ok := tx.lookup(key)
			if seen[key] || !ok {
				continue
			}
			seen[key] = true
			records = append(records, r)
		}
	}
	return records
}

func lastExpiry(records []Record) time.Time {
	var last time.Time
	for _, r := range records {
		if r.Expires.After(last) {
			last = r.Expires
		}
	}
	return last
}

// sweepInterval is the minimum time between two removals of expired records, each of
// which iterates over all records.
const sweepInterval = time.Minute

// Commit applies a write that took effect to the shard. The version is that of the
// written head.
func (tx *Transaction) Commit(w Write, version object.Version) {
	s := tx.shard
	if w.Segment != nil {
		s.addSegment(w.Segment.Name, w.Segment.Records)
	}
	for _, r := range tx.changed {
		s.records[r.Key] = r
	}
	s.setHead(version, w.Head)
	if tx.now.Sub(s.lastSweep) >= sweepInterval {
		s.lastSweep = tx.now
		s.RemoveExpired(tx.now)
	}
}

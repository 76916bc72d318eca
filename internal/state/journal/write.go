package journal

import (
	"slices"
	"time"

	"savoryweir/internal/state/object"
)

// Segment is an immutable segment to be written before the head names it.
type Segment struct {
	Name    object.Name
	Records []Record
}

// Write is what one commit sends to the store: the segment first, if any, then
// the head on condition that its version is Expected.
type Write struct {
	Shard    ShardID
	Expected object.Version
	Segment  *Segment
	Head     Head
	Obsolete []SegmentRef // segments that the new head no longer names
}

// Plan returns the write of the draft. Records that outgrow the head are
// sealed, together with the newest segments when enough of similar size exist.
func (d *Draft) Plan(nonce Nonce) Write {
	w := Write{Shard: d.shard.id, Expected: d.shard.version}
	live, obsolete := d.splitExpired()
	active := d.active()
	w.Head = Head{Nonce: nonce, Segments: live, Active: active}
	w.Obsolete = obsolete
	if bytes := totalSize(active); bytes > d.sealAbove() {
		d.seal(&w, bytes)
	}
	return w
}

// sealAbove returns the size of unsealed records above which they are sealed. The
// head is rewritten at each commit, so that it pays to seal its records after
// about MergeFanout commits like this one: small heads when orders are few, few
// segments when they are many.
func (d *Draft) sealAbove() int {
	limits := d.shard.limits
	changed := 0
	for _, r := range d.changed {
		changed += r.size()
	}
	return min(max(changed*limits.MergeFanout, limits.ActiveBytes/limits.MergeFanout), limits.ActiveBytes)
}

func (d *Draft) splitExpired() (live, expired []SegmentRef) {
	for _, ref := range d.shard.head.Segments {
		if d.shard.expired(ref.LastExpiry, d.now) {
			expired = append(expired, ref)
		} else {
			live = append(live, ref)
		}
	}
	return live, expired
}

// active returns the unsealed records with the changes of the draft, without expired ones.
func (d *Draft) active() []Record {
	active := make([]Record, 0, len(d.shard.head.Active)+len(d.order))
	for _, r := range d.shard.head.Active {
		if _, ok := d.changed[r.Key]; ok || d.shard.expired(r.Expires, d.now) {
			continue
		}
		active = append(active, r)
	}
	for _, key := range d.order {
		active = append(active, d.changed[key])
	}
	return active
}

func totalSize(records []Record) int {
	n := 0
	for _, r := range records {
		n += r.size()
	}
	return n
}

// seal moves the active records, and the segments to merge with them, into a new segment.
func (d *Draft) seal(w *Write, activeBytes int) {
	first := mergeFrom(w.Head.Segments, activeBytes, d.shard.limits)
	merged := w.Head.Segments[first:]
	records := d.mergedRecords(merged, w.Head.Active)
	w.Segment = &Segment{Name: segmentName(d.shard.id, d.shard.version, w.Head.Nonce), Records: records}
	ref := SegmentRef{Name: w.Segment.Name, Size: totalSize(records), Records: len(records), LastExpiry: lastExpiry(records)}
	w.Obsolete = append(w.Obsolete, merged...)
	w.Head.Segments = append(slices.Clone(w.Head.Segments[:first]), ref)
	w.Head.Active = nil
}

// mergeFrom returns the index of the first segment to merge with the active
// records, len(refs) for none. Segments of a tier are at most MergeFanout times
// as large as those of the tier below, so that a record is rewritten once a
// tier. The top tier starts at half of the largest segment.
func mergeFrom(refs []SegmentRef, activeBytes int, limits Limits) int {
	best := len(refs)
	top := limits.SegmentBytes / 2
	for tier := limits.ActiveBytes / limits.MergeFanout; tier < top; {
		tier = min(tier*limits.MergeFanout, top)
		if first, bytes := newestBelow(refs, tier, activeBytes, limits.SegmentBytes); bytes >= tier {
			best = first
		}
	}
	return best
}

// newestBelow returns the index of the first of the newest segments that are
// each smaller than tier and fit into one segment with the active records, and
// the size of that segment.
func newestBelow(refs []SegmentRef, tier, activeBytes, limit int) (first, bytes int) {
	first, bytes = len(refs), activeBytes
	for first > 0 && refs[first-1].Size < tier && bytes+refs[first-1].Size <= limit {
		first--
		bytes += refs[first].Size
	}
	return first, bytes
}

// mergedRecords returns the newest unexpired record of each key in the segments and in active.
func (d *Draft) mergedRecords(merged []SegmentRef, active []Record) []Record {
	seen := make(map[KeyHash]bool, len(active))
	records := slices.Clone(active)
	for _, r := range active {
		seen[r.Key] = true
	}
	for _, ref := range merged {
		for _, key := range d.shard.sealed[ref.Name] {
			r, ok := d.lookup(key)
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

// sweepInterval is the least time between two passes over all records.
const sweepInterval = time.Minute

// Commit takes in a write that took effect. The versions are those of the head
// and, when the write has one, of the segment.
func (d *Draft) Commit(w Write, head object.Version) {
	s := d.shard
	if w.Segment != nil {
		s.addSegment(w.Segment.Name, w.Segment.Records)
	}
	for _, r := range d.changed {
		s.records[r.Key] = r
	}
	s.setHead(head, w.Head)
	if d.now.Sub(s.swept) >= sweepInterval {
		s.swept = d.now
		s.Sweep(d.now)
	}
}

package streams

import (
	"cmp"
	"slices"
	"time"

	"savoryweir/internal/state/object"
)

const (
	// RingSegments is the number of objects in which an instance records streams in the store.
	RingSegments = 8
	// segmentPeriod is the time after which a segment is followed by the next one. All but one segment together
	// cover the time for which streams are kept.
	segmentPeriod = 4500 * time.Millisecond
	// MaxSegmentStreams limits a segment to about half of the size of an object.
	MaxSegmentStreams = 40000
	// nextSegmentStreams is the number of streams above which the next segment is begun before the period is over.
	nextSegmentStreams = 10000
)

// Ring is the record of the streams that began lately, as one instance writes it: a ring of segments, each an
// object of the store. The newest segment is written again as it grows. A ring is not safe for concurrent use.
type Ring struct {
	order    []int // segments in the order in which they are written, the present one first
	versions [RingSegments]object.Version
	former   [RingSegments]map[Origin][]ID // content from before this ring, until the segment is written
	streams  map[Origin][]ID               // in the present segment
	count    int
	begunAt  time.Time // when this ring first added to the present segment
	isDirty  bool
}

// StoredSegment is a segment as it is in the store.
type StoredSegment struct {
	Version object.Version // zero if it doesn't exist
	Streams map[Origin][]ID
}

// NewRing returns a ring that goes on with the segments in the store. They may hold streams that an earlier process has just
// recorded, so the oldest one is written first, and what a segment holds stays in it when it is first written.
func NewRing(stored [RingSegments]StoredSegment) *Ring {
	r := &Ring{}
	for segment, s := range stored {
		r.versions[segment], r.former[segment] = s.Version, s.Streams
	}
	for segment := range RingSegments {
		r.order = append(r.order, segment)
	}
	slices.SortStableFunc(r.order, func(a, b int) int { return cmp.Compare(r.versions[a], r.versions[b]) })
	r.begin()
	return r
}

// begin begins the present segment with what it holds from before this ring.
func (r *Ring) begin() {
	segment := r.order[0]
	r.streams, r.count, r.begunAt = make(map[Origin][]ID), 0, time.Time{}
	for origin, ids := range r.former[segment] {
		r.streams[origin] = slices.Clone(ids)
		r.count += len(ids)
	}
	r.former[segment] = nil
}

// Add adds streams to the present segment.
func (r *Ring) Add(now time.Time, begun map[Origin][]ID) {
	for origin, ids := range begun {
		if r.begunAt.IsZero() {
			r.begunAt = now
		}
		r.streams[origin] = append(r.streams[origin], ids...)
		r.count += len(ids)
		r.isDirty = true
	}
}

// Room returns how many streams the present segment can still take.
func (r *Ring) Room() int { return max(MaxSegmentStreams-r.count, 0) }

// Due returns the segment that has to be written, its content and the version that it has in the store. It returns
// false if the store has all streams.
func (r *Ring) Due() (segment int, content map[Origin][]ID, version object.Version, ok bool) {
	segment = r.order[0]
	return segment, r.streams, r.versions[segment], r.isDirty
}

// SetVersion records the version that the segment that is due has in the store, where it differs from the one that Due returned.
func (r *Ring) SetVersion(version object.Version) { r.versions[r.order[0]] = version }

// Written records that the segment that was due has been written, and begins the next one if its time is over.
func (r *Ring) Written(now time.Time, version object.Version) {
	r.versions[r.order[0]] = version
	r.isDirty = false
	if now.Sub(r.begunAt) < segmentPeriod && r.count < nextSegmentStreams {
		return
	}
	r.order = append(r.order[1:], r.order[0])
	r.begin()
}

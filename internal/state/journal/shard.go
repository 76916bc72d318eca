package journal

import (
	"errors"
	"time"

	"savoryweir/internal/state/object"
)

// Limits bound a shard.
type Limits struct {
	Lifetime     time.Duration // how long a key is remembered after its claim
	Grace        time.Duration // added to the lifetime for clocks that differ
	ActiveBytes  int           // records in the head before they are sealed
	SegmentBytes int           // largest segment that a merge may produce
	MergeFanout  int           // segments of similar size that are merged into one
	MaxRecords   int           // records in the shard before new claims are refused
	MaxBodyBytes int           // longest response body that is recorded
}

// ErrMissingSegment reports that the head names a segment that was not supplied.
var ErrMissingSegment = errors.New("journal segment missing")

// Shard is the committed content of one shard. It is not safe for concurrent use.
type Shard struct {
	id        ShardID
	limits    Limits
	version   object.Version
	head      Head
	records   map[KeyHash]Record
	sealed    map[object.Name][]KeyHash // keys in each segment
	lifecycle lifecycle
	swept     time.Time
}

// NewShard returns a shard that has not been read yet.
func NewShard(id ShardID, limits Limits) *Shard {
	return &Shard{
		id:        id,
		limits:    limits,
		records:   make(map[KeyHash]Record),
		sealed:    make(map[object.Name][]KeyHash),
		lifecycle: newLifecycle(),
	}
}

// Version returns the version of the head, zero if the shard was never written.
func (s *Shard) Version() object.Version { return s.version }

// Head returns the committed head.
func (s *Shard) Head() Head { return s.head }

// Len returns the number of records.
func (s *Shard) Len() int { return len(s.records) }

// Missing returns the segments of head that the shard has not read yet.
func (s *Shard) Missing(head Head) []SegmentRef {
	var missing []SegmentRef
	for _, ref := range head.Segments {
		if _, ok := s.sealed[ref.Name]; !ok {
			missing = append(missing, ref)
		}
	}
	return missing
}

// Advance takes in a newer head and the records of the segments that Missing
// named. Segments are sealed in the order of the list, so that records of a
// later one replace those of an earlier one. A head that is not newer, such as
// that of a stale read, changes nothing.
func (s *Shard) Advance(version object.Version, head Head, read map[object.Name][]Record) error {
	if version <= s.version {
		return nil
	}
	for _, ref := range s.Missing(head) {
		if _, ok := read[ref.Name]; !ok {
			return ErrMissingSegment
		}
	}
	for _, ref := range s.Missing(head) {
		s.addSegment(ref.Name, read[ref.Name])
	}
	for _, r := range head.Active {
		s.records[r.Key] = r
	}
	s.setHead(version, head)
	return nil
}

func (s *Shard) addSegment(name object.Name, records []Record) {
	keys := make([]KeyHash, len(records))
	for i, r := range records {
		keys[i] = r.Key
		s.records[r.Key] = r
	}
	s.sealed[name] = keys
}

func (s *Shard) setHead(version object.Version, head Head) {
	kept := make(map[object.Name][]KeyHash, len(head.Segments))
	for _, ref := range head.Segments {
		kept[ref.Name] = s.sealed[ref.Name]
	}
	s.version, s.head, s.sealed = version, head, kept
}

// expired reports whether a record's key is forgotten.
func (s *Shard) expired(expires, now time.Time) bool {
	return now.After(expires.Add(s.limits.Grace))
}

// Sweep removes expired records from memory. It costs a pass over all records.
func (s *Shard) Sweep(now time.Time) {
	for key, r := range s.records {
		if s.expired(r.Expires, now) {
			delete(s.records, key)
		}
	}
}

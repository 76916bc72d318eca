package journal

import (
	"errors"
	"time"

	"savoryweir/internal/state/object"
)

// Limits bounds the size of a shard and the lifetime of its keys.
type Limits struct {
	Lifetime       time.Duration // how long a key is kept after its claim
	ClockTolerance time.Duration // added to Lifetime, because clocks of instances differ
	ActiveBytes    int           // size of records in the head above which they are always sealed
	SegmentBytes   int           // size of the largest segment that a merge may produce
	MergeFanout    int           // number of segments of similar size that are merged into one
	MaxRecords     int           // number of records from which claims of new keys are refused
	MaxBodyBytes   int           // size of the longest response body that is recorded
}

// ErrMissingSegment reports that the head refers to a segment that was not supplied.
var ErrMissingSegment = errors.New("journal segment that the head refers to was not supplied")

// Shard holds the committed content of one shard. It is not safe for concurrent use.
type Shard struct {
	id         ShardID
	limits     Limits
	version    object.Version
	head       Head
	records    map[KeyHash]Record
	sealedKeys map[object.Name][]KeyHash // keys of each segment's records
	lifecycle  lifecycle
	lastSweep  time.Time // time of the last call of RemoveExpired by a commit
}

// NewShard returns an empty shard, to which no head has been applied yet.
func NewShard(id ShardID, limits Limits) *Shard {
	return &Shard{
		id:         id,
		limits:     limits,
		records:    make(map[KeyHash]Record),
		sealedKeys: make(map[object.Name][]KeyHash),
		lifecycle:  newLifecycle(),
	}
}

// Version returns the version of the committed head, or zero if there is none.
func (s *Shard) Version() object.Version { return s.version }

// Head returns the committed head.
func (s *Shard) Head() Head { return s.head }

// Len returns the number of records.
func (s *Shard) Len() int { return len(s.records) }

// MissingSegments returns the segments of the head that have not been applied to the shard yet.
func (s *Shard) MissingSegments(head Head) []SegmentRef {
	var missing []SegmentRef
	for _, ref := range head.Segments {
		if _, ok := s.sealedKeys[ref.Name]; !ok {
			missing = append(missing, ref)
		}
	}
	return missing
}

// ApplyHead replaces the committed head by a newer one. The segments argument supplies
// the records of the segments that Missing returned. Segments are sealed in the
// order of the head's list, so records of a later segment replace those of an earlier
// one. A head that is not newer, for instance from a stale read, changes nothing.
func (s *Shard) ApplyHead(version object.Version, head Head, segments map[object.Name][]Record) error {
	if version <= s.version {
		return nil
	}
	for _, ref := range s.MissingSegments(head) {
		if _, ok := segments[ref.Name]; !ok {
			return ErrMissingSegment
		}
	}
	for _, ref := range s.MissingSegments(head) {
		s.addSegment(ref.Name, segments[ref.Name])
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
	s.sealedKeys[name] = keys
}

func (s *Shard) setHead(version object.Version, head Head) {
	sealedKeys := make(map[object.Name][]KeyHash, len(head.Segments))
	for _, ref := range head.Segments {
		sealedKeys[ref.Name] = s.sealedKeys[ref.Name]
	}
	s.version, s.head, s.sealedKeys = version, head, sealedKeys
}

// isExpired reports whether a key whose record expires at the given time is no longer kept.
func (s *Shard) isExpired(expiresAt, now time.Time) bool {
	return now.After(expiresAt.Add(s.limits.ClockTolerance))
}

// RemoveExpired removes expired records from memory. It iterates over all records.
func (s *Shard) RemoveExpired(now time.Time) {
	for key, r := range s.records {
		if s.isExpired(r.Expires, now) {
			delete(s.records, key)
		}
	}
}

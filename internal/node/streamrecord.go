package node

import (
	"context"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"time"

	"savoryweir/internal/pause"
	"savoryweir/internal/state/object"
	"savoryweir/internal/state/streams"
)

// The store keeps the streams that began lately while several versions serve, since callers take up streams also
// after all instances were lost. A few instances, the recorders, write what they know of.
const (
	kindStreamRecord object.Kind = "savoryweir-streams"
	// streamRecordInterval is the interval at which a recorder writes the streams that have begun.
	streamRecordInterval = 200 * time.Millisecond
	// recorderCount is the number of recorders of a small fleet, so that one may fail just before all do.
	recorderCount = 2
	// recordReadTimeout is how long a caller waits for the record: several calls to a slow store.
	recordReadTimeout = time.Second
	// maxRecordReads bounds the calls within that time.
	maxRecordReads = 3
)

// streamRecord is a segment of the record in its stored form.
type streamRecord struct {
	Streams []recordedStreams `json:"streams"`
}

// recordedStreams are the streams of one origin. IDs holds 8 bytes for each, big-endian.
type recordedStreams struct {
	Service string `json:"service"`
	Version string `json:"version"`
	IDs     []byte `json:"ids"`
}

func encodeStreamRecord(begun map[streams.Origin][]streams.ID) ([]byte, error) {
	record := streamRecord{Streams: []recordedStreams{}}
	for origin, ids := range begun {
		s := recordedStreams{Service: origin.Service, Version: origin.Version}
		for _, id := range ids {
			s.IDs = binary.BigEndian.AppendUint64(s.IDs, uint64(id))
		}
		record.Streams = append(record.Streams, s)
	}
	return json.Marshal(record)
}

func decodeStreamRecord(data []byte) (map[streams.Origin][]streams.ID, error) {
	var record streamRecord
	if err := json.Unmarshal(data, &record); err != nil {
		return nil, err
	}
	begun := make(map[streams.Origin][]streams.ID)
	for _, s := range record.Streams {
		origin := streams.Origin{Service: s.Service, Version: s.Version}
		for b := s.IDs; len(b) >= 8; b = b[8:] {
			begun[origin] = append(begun[origin], streams.ID(binary.BigEndian.Uint64(b)))
		}
	}
	return begun, nil
}

// streamRecorder writes the record of streams if this instance is a recorder, and reads it.
type streamRecorder struct {
	node *Node
	ring *streams.Ring // nil until the record has been read in the store's present era
	era  object.Era    // of the store, when ring was made

	mu      sync.Mutex // guards the fields below
	reading chan struct{}
	readAt  time.Time // when the last read by lookUp began
}

func newStreamRecorder(n *Node) *streamRecorder { return &streamRecorder{node: n} }

// run writes the streams that begin until ctx ends.
func (r *streamRecorder) run(ctx context.Context) {
	for pause.For(ctx, streamRecordInterval) {
		if !r.node.reporter.isStreamRecorder(time.Now()) {
			r.dropRing()
			continue
		}
		if err := r.write(ctx); err != nil {
			r.node.log.Info().Err(err).Str("event", "streams.failed").Msg("failed to record the streams that began; the write will be repeated")
			pause.For(ctx, r.node.storeRetryDelay())
		}
	}
}

// write records the streams that have begun, if there are any.
func (r *streamRecorder) write(ctx context.Context) error {
	if r.era != r.node.store.Era() { // the store may have lost the last segments
		r.dropRing()
	}
	if r.ring == nil {
		if !r.node.streams.hasUnstored() {
			return nil
		}
		era := r.node.store.Era()
		stored, err := r.read(ctx)
		if err != nil {
			return err
		}
		r.ring, r.era = streams.NewRing(stored), era
	}
	r.ring.Add(time.Now(), r.node.streams.takeUnstored(r.ring.Room()))
	segment, begun, version, ok := r.ring.Due()
	if !ok {
		return nil
	}
	data, err := encodeStreamRecord(begun)
	if err != nil {
		return err
	}
	if version, err = r.put(ctx, r.segmentName(segment), data, version); err != nil {
		return err
	}
	r.ring.Written(time.Now(), version)
	return nil
}

// dropRing has the record read again before the next write. All streams are then recorded again: those in the ring may not have
// been written, or may be lost.
func (r *streamRecorder) dropRing() {
	if r.ring == nil {
		return
	}
	r.node.streams.forgetStored()
	r.ring = nil
}

// put writes a segment, which only this instance does. The version differs from the expected one after a write whose
// response was lost.
func (r *streamRecorder) put(ctx context.Context, name object.Name, data []byte, expected object.Version) (object.Version, error) {
	store := r.node.store
	var version object.Version
	var err error
	if expected == 0 {
		version, err = store.Create(ctx, kindStreamRecord, name, data)
	} else {
		version, err = store.Update(ctx, kindStreamRecord, name, data, expected)
	}
	if !errors.Is(err, object.ErrConflict) && !errors.Is(err, object.ErrNotFound) {
		return version, err
	}
	found, err := store.Get(ctx, kindStreamRecord, name)
	if errors.Is(err, object.ErrNotFound) {
		return store.Create(ctx, kindStreamRecord, name, data)
	}
	if err != nil {
		return 0, err
	}
	r.ring.SetVersion(found.Version)
	return store.Update(ctx, kindStreamRecord, name, data, found.Version)
}

// segmentName returns the name of a segment of this instance.
func (r *streamRecorder) segmentName(segment int) object.Name {
	return object.Name(fmt.Sprintf("%s.%d", r.node.settings.Instance.ID, segment))
}

// read learns the streams of all segments, and returns those of this instance.
func (r *streamRecorder) read(ctx context.Context) (own [streams.RingSegments]streams.StoredSegment, err error) {
	objects, _, err := r.node.store.ListAt(ctx, kindStreamRecord)
	if err != nil {
		return own, err
	}
	count := 0
	for _, o := range objects {
		begun, err := decodeStreamRecord(o.Data)
		if err != nil {
			r.node.log.Error().Err(err).Str("event", "streams.failed").Str("segment", string(o.Name)).Msg("failed to decode a record of streams; its streams are not known")
		}
		count += r.node.streams.learnStored(begun)
		for segment := range own {
			if o.Name == r.segmentName(segment) {
				own[segment] = streams.StoredSegment{Version: o.Version, Streams: begun}
			}
		}
	}
	r.node.log.Info().Str("event", "streams.read").Int("segments", len(objects)).Int("streams", count).Msg("record of streams read")
	return own, nil
}

// lookUp reads the record for a stream that nobody knows, unless that has just been done.
func (r *streamRecorder) lookUp(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, recordReadTimeout)
	defer cancel()
	select {
	case <-r.startRead():
	case <-ctx.Done():
	}
}

// startRead starts to read the record if the time has come, and returns a channel that is closed when no read is under way.
func (r *streamRecorder) startRead() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.reading != nil {
		return r.reading
	}
	done := make(chan struct{})
	if !r.readAt.IsZero() && time.Since(r.readAt) < r.node.storeRetryDelay() {
		close(done)
		return done
	}
	r.reading, r.readAt = done, time.Now()
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), recordReadTimeout)
		defer cancel()
		var err error
		for n := 0; n < maxRecordReads && ctx.Err() == nil; n++ {
			if _, err = r.read(ctx); err == nil {
				break
			}
			pause.For(ctx, r.node.storeRetryDelay())
		}
		if err != nil {
			r.node.log.Info().Err(err).Str("event", "streams.failed").Msg("failed to read the record of streams; unknown streams are refused")
		}
		r.mu.Lock()
		defer r.mu.Unlock()
		r.reading = nil
		close(done)
	}()
	return done
}

// isStreamRecorder reports whether this instance records streams: it hears of all streams of the fleet or of its
// availability zone.
func (r *reporter) isStreamRecorder(now time.Time) bool {
	if r.aggregatesLoads() {
		return r.aggregator.isZoneAggregator()
	}
	rank, _ := r.watcherRank(now)
	return rank < recorderCount && r.isHealthyWatcher(now)
}

// takeUnstored returns the streams to be recorded now, limit at most.
func (s *streamOrigins) takeUnstored(limit int) map[streams.Origin][]streams.ID {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.observe(now)
	return s.tracker.TakeUnstored(now, limit)
}

// hasUnstored reports whether streams have to be recorded.
func (s *streamOrigins) hasUnstored() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.observe(now)
	return s.tracker.HasUnstored(now)
}

// forgetStored has all streams recorded again.
func (s *streamOrigins) forgetStored() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tracker.ForgetStored()
}

// learnStored learns the streams of a segment and returns their number.
func (s *streamOrigins) learnStored(begun map[streams.Origin][]streams.ID) (count int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for origin, ids := range begun {
		for _, id := range ids {
			s.tracker.LearnStored(now, id, origin)
			s.endAwait(id)
		}
		count += len(ids)
	}
	return count
}

package streams

import (
	"maps"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"savoryweir/internal/state/object"
)

// modelSegment is a segment in the store of the model.
type modelSegment struct {
	version object.Version
	streams map[Origin][]ID
}

// recordModel is an instance that records streams, is killed and starts again, with a store that loses responses and
// comes back from an older copy.
type recordModel struct {
	now      time.Time
	revision object.Version
	store    [RingSegments]modelSegment
	backup   [RingSegments]modelSegment
	tracker  *Tracker
	ring     *Ring
	origins  map[ID]Origin
	begunAt  map[ID]time.Time
	recorded map[ID]bool // the store has acknowledged it, and has not lost it since
	backedUp map[ID]bool // of recorded, at the time of the backup
}

func (m *recordModel) start() {
	m.tracker, m.ring = NewTracker(m.now), nil
	m.tracker.ObserveServing(m.now, []Origin{v1, v2})
}

// read learns the record and makes the ring.
func (m *recordModel) read() {
	var stored [RingSegments]StoredSegment
	for n, segment := range m.store {
		stored[n] = StoredSegment{segment.version, segment.streams}
		for origin, ids := range segment.streams {
			for _, id := range ids {
				m.tracker.LearnStored(m.now, id, origin)
			}
		}
	}
	m.ring = NewRing(stored)
}

// write writes what is due. The write may have no effect, and its response may be lost.
func (m *recordModel) write(hasEffect, isAcknowledged bool) {
	if m.ring == nil {
		m.read()
	}
	m.ring.Add(m.now, m.tracker.TakeUnstored(m.now, m.ring.Room()))
	segment, begun, version, ok := m.ring.Due()
	if !ok {
		return
	}
	if m.store[segment].version != version {
		m.ring.SetVersion(m.store[segment].version)
	}
	if !hasEffect {
		return
	}
	m.revision++
	content := make(map[Origin][]ID)
	for origin, ids := range begun {
		content[origin] = slices.Clone(ids)
	}
	m.store[segment] = modelSegment{m.revision, content}
	if !isAcknowledged {
		return
	}
	for _, ids := range begun {
		for _, id := range ids {
			m.recorded[id] = true
		}
	}
	m.ring.Written(m.now, m.revision)
}

// check takes up all streams at an instance that has just started.
func (m *recordModel) check(t *rapid.T) {
	after := *m
	after.start()
	after.read()
	for id, origin := range m.origins {
		found, ok := after.tracker.Lookup(id)
		assert.Assert(t, !ok || found == origin, "stream %d began at %v, found at %v", id, origin, found)
		isKept := m.recorded[id] && m.now.Sub(m.begunAt[id]) < (RingSegments-1)*segmentPeriod
		assert.Assert(t, ok || !isKept, "stream %d of %v ago is in the record and not found", id, m.now.Sub(m.begunAt[id]))
	}
}

// Streams that the store has acknowledged must be found after the loss of all instances, at the version that began
// them: also if an instance was killed just after it had begun to write again, and overwrote its own record.
func TestRecordedStreamsAreFoundAfterLossOfAllInstances(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &recordModel{now: start, origins: make(map[ID]Origin), begunAt: make(map[ID]time.Time), recorded: make(map[ID]bool), backedUp: make(map[ID]bool)}
		m.start()
		t.Repeat(map[string]func(*rapid.T){
			"begin": func(t *rapid.T) {
				id := ID(len(m.origins) + 1)
				m.origins[id], m.begunAt[id] = rapid.SampledFrom([]Origin{v1, v2}).Draw(t, "version"), m.now
				m.tracker.Begin(m.now, id, m.origins[id])
			},
			"wait": func(t *rapid.T) {
				m.now = m.now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
				m.tracker.ObserveServing(m.now, []Origin{v1, v2})
				m.tracker.RemoveExpired(m.now)
			},
			"write":         func(*rapid.T) { m.write(true, true) },
			"write fails":   func(*rapid.T) { m.write(false, false) },
			"response lost": func(*rapid.T) { m.write(true, false) },
			"kill":          func(*rapid.T) { m.start() },
			"kill often": func(t *rapid.T) {
				for range rapid.IntRange(1, RingSegments+1).Draw(t, "kills") {
					id := ID(len(m.origins) + 1)
					m.origins[id], m.begunAt[id] = v1, m.now
					m.tracker.Begin(m.now, id, v1)
					m.write(true, true)
					m.start()
				}
			},
			"back up": func(*rapid.T) { m.backup, m.backedUp = m.store, maps.Clone(m.recorded) },
			"restore": func(*rapid.T) {
				m.store, m.recorded = m.backup, maps.Clone(m.backedUp)
				m.revision += 1000 // the next era
				m.tracker.ForgetStored()
				m.ring = nil
			},
			"": m.check,
		})
	})
}

// While one version serves, callers can be told where their streams began without the record.
func TestStreamsAreRecordedOnceSeveralVersionsServe(t *testing.T) {
	tracker := NewTracker(start)
	tracker.ObserveServing(start, []Origin{v1, {"other", "v2"}})
	tracker.Begin(start, 1, v1)
	assert.Assert(t, !tracker.HasUnstored(start))
	assert.Equal(t, len(tracker.TakeUnstored(start, 9)), 0)
	later := start.Add(StoredRetention - time.Second)
	tracker.Begin(later, 2, v1)
	tracker.ObserveServing(later, []Origin{v1, v2})
	tracker.Learn(later, 3, v2)
	tracker.LearnStored(later, 4, v2)
	assert.Assert(t, tracker.HasUnstored(later))
	assert.DeepEqual(t, tracker.TakeUnstored(later, 2), map[Origin][]ID{v1: {1, 2}})
	assert.DeepEqual(t, tracker.TakeUnstored(later, 2), map[Origin][]ID{v2: {3}})
	assert.Assert(t, !tracker.HasUnstored(later))
	tracker.ForgetStored()
	assert.DeepEqual(t, tracker.TakeUnstored(start.Add(StoredRetention), 9), map[Origin][]ID{v1: {2}, v2: {3, 4}})
}

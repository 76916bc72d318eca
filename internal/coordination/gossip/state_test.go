package gossip

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"savoryweir/internal/settings"
	"savoryweir/internal/state/bundle"
	"savoryweir/internal/state/news"
)

var start = time.Unix(1_800_000_000, 0)

func newState() *State { return NewState(settings.Defaults[Settings]()) }

func TestHeadGenerationNeverDecreases(t *testing.T) {
	s := newState()
	assert.Assert(t, s.SetHead(news.Head{Generation: 5}))
	assert.Assert(t, !s.SetHead(news.Head{Generation: 4}))
	assert.Equal(t, s.Snapshot(start).Head.Generation, bundle.Generation(5))
}

func TestSuspectsAreMergedAndExpire(t *testing.T) {
	s := newState()
	f := news.Fingerprint{1}
	first := news.CrashSuspect{Fingerprint: f, Upstreams: []bundle.UpstreamID{"e1"}, Expires: start.Add(time.Minute)}
	second := news.CrashSuspect{Fingerprint: f, Upstreams: []bundle.UpstreamID{"e2"}, Expires: start.Add(2 * time.Minute)}
	assert.Equal(t, len(s.Merge(start, news.Batch{Suspects: []news.CrashSuspect{first}}).Suspects), 1)
	assert.Assert(t, s.Merge(start, news.Batch{Suspects: []news.CrashSuspect{first}}).IsEmpty())
	merged := s.Merge(start, news.Batch{Suspects: []news.CrashSuspect{second}}).Suspects
	assert.DeepEqual(t, merged[0].Upstreams, []bundle.UpstreamID{"e1", "e2"})
	assert.Equal(t, len(s.Snapshot(start.Add(90*time.Second)).Suspects), 1)
	assert.Equal(t, len(s.Snapshot(start.Add(2*time.Minute)).Suspects), 0)
}

func TestClearedSuspectWithLaterExpiryWins(t *testing.T) {
	s := newState()
	f := news.Fingerprint{2}
	suspected := news.CrashSuspect{Fingerprint: f, Upstreams: []bundle.UpstreamID{"e1"}, Expires: start.Add(time.Minute)}
	cleared := news.CrashSuspect{Fingerprint: f, Expires: start.Add(2 * time.Minute)}
	s.Merge(start, news.Batch{Suspects: []news.CrashSuspect{suspected}})
	assert.Equal(t, len(s.Merge(start, news.Batch{Suspects: []news.CrashSuspect{cleared}}).Suspects), 1)
	assert.Assert(t, s.Merge(start, news.Batch{Suspects: []news.CrashSuspect{suspected}}).IsEmpty())
	assert.Equal(t, len(s.Snapshot(start).Suspects[0].Upstreams), 0)
}

func TestItemsAreRepeatedAFixedNumberOfTimes(t *testing.T) {
	s := newState()
	s.Merge(start, news.Batch{Leaving: []news.UpstreamLeaving{{Upstream: "e1", Since: start}}})
	sent := 0
	for range 100 {
		sent += len(s.NextBatch(start).Leaving)
	}
	assert.Equal(t, sent, s.settings.Repeats)
	assert.Equal(t, len(s.Snapshot(start).Leaving), 1)
}

func TestCellsDigestDiffersUntilCellHeadsAreEqual(t *testing.T) {
	a, s := newState(), newState()
	one, two := news.CellHead{Cell: "c1", Version: 1}, news.CellHead{Cell: "c2", Version: 7}
	a.Merge(start, news.Batch{Cells: []news.CellHead{one, two}})
	s.Merge(start, news.Batch{Cells: []news.CellHead{two}})
	assert.Assert(t, a.CellsDigest() != s.CellsDigest())
	s.Merge(start, news.Batch{Cells: []news.CellHead{one}})
	assert.Equal(t, a.CellsDigest(), s.CellsDigest())
	assert.Assert(t, s.Merge(start, news.Batch{Cells: []news.CellHead{{Cell: "c2", Version: 6}}}).IsEmpty())
}

func TestReturnedUpstreamIsNotLeaving(t *testing.T) {
	s := newState()
	merge := func(after time.Duration, returned bool) int {
		l := news.UpstreamLeaving{Upstream: "e1", Since: start.Add(after), Returned: returned}
		return len(s.Merge(start.Add(after), news.Batch{Leaving: []news.UpstreamLeaving{l}}).Leaving)
	}
	assert.Equal(t, merge(0, true), 0, "an upstream that never left cannot return")
	assert.Equal(t, merge(time.Second, false), 1)
	assert.Equal(t, len(s.Snapshot(start).LeavingUpstreams()), 1)
	assert.Equal(t, merge(time.Minute, true), 1)
	assert.Equal(t, len(s.Snapshot(start).LeavingUpstreams()), 0)
	assert.Equal(t, merge(time.Second, false), 0, "delayed update of the departure")
	assert.Equal(t, merge(2*time.Minute, false), 1)
	assert.Equal(t, len(s.Snapshot(start).LeavingUpstreams()), 1)
}

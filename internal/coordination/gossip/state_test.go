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

func newBoard() *State { return NewState(settings.Defaults[Settings]()) }

func TestHeadNeverGoesBack(t *testing.T) {
	b := newBoard()
	assert.Assert(t, b.SetHead(news.Head{Generation: 5}))
	assert.Assert(t, !b.SetHead(news.Head{Generation: 4}))
	assert.Equal(t, b.Snapshot(start).Head.Generation, bundle.Generation(5))
}

func TestSuspectsMergeAndExpire(t *testing.T) {
	b := newBoard()
	f := news.Fingerprint{1}
	first := news.CrashSuspect{Fingerprint: f, Upstreams: []bundle.UpstreamID{"e1"}, Expires: start.Add(time.Minute)}
	second := news.CrashSuspect{Fingerprint: f, Upstreams: []bundle.UpstreamID{"e2"}, Expires: start.Add(2 * time.Minute)}
	assert.Equal(t, len(b.Merge(start, news.Batch{Suspects: []news.CrashSuspect{first}}).Suspects), 1)
	assert.Assert(t, b.Merge(start, news.Batch{Suspects: []news.CrashSuspect{first}}).IsEmpty())
	merged := b.Merge(start, news.Batch{Suspects: []news.CrashSuspect{second}}).Suspects
	assert.DeepEqual(t, merged[0].Upstreams, []bundle.UpstreamID{"e1", "e2"})
	assert.Equal(t, len(b.Snapshot(start.Add(90*time.Second)).Suspects), 1)
	assert.Equal(t, len(b.Snapshot(start.Add(2*time.Minute)).Suspects), 0)
}

func TestLaterClearedSuspectWins(t *testing.T) {
	b := newBoard()
	f := news.Fingerprint{2}
	accused := news.CrashSuspect{Fingerprint: f, Upstreams: []bundle.UpstreamID{"e1"}, Expires: start.Add(time.Minute)}
	cleared := news.CrashSuspect{Fingerprint: f, Expires: start.Add(2 * time.Minute)}
	b.Merge(start, news.Batch{Suspects: []news.CrashSuspect{accused}})
	assert.Equal(t, len(b.Merge(start, news.Batch{Suspects: []news.CrashSuspect{cleared}}).Suspects), 1)
	assert.Assert(t, b.Merge(start, news.Batch{Suspects: []news.CrashSuspect{accused}}).IsEmpty())
	assert.Equal(t, len(b.Snapshot(start).Suspects[0].Upstreams), 0)
}

func TestItemsAreRepeatedAFixedNumberOfTimes(t *testing.T) {
	b := newBoard()
	b.Merge(start, news.Batch{Leaving: []news.UpstreamLeaving{{Upstream: "e1", Since: start}}})
	sent := 0
	for range 100 {
		sent += len(b.NextBatch(start).Leaving)
	}
	assert.Equal(t, sent, b.settings.Repeats)
	assert.Equal(t, len(b.Snapshot(start).Leaving), 1)
}

func TestCellsDigestTellsDifferentKnowledge(t *testing.T) {
	a, b := newBoard(), newBoard()
	one, two := news.CellHead{Cell: "c1", Version: 1}, news.CellHead{Cell: "c2", Version: 7}
	a.Merge(start, news.Batch{Cells: []news.CellHead{one, two}})
	b.Merge(start, news.Batch{Cells: []news.CellHead{two}})
	assert.Assert(t, a.CellsDigest() != b.CellsDigest())
	b.Merge(start, news.Batch{Cells: []news.CellHead{one}})
	assert.Equal(t, a.CellsDigest(), b.CellsDigest())
	assert.Assert(t, b.Merge(start, news.Batch{Cells: []news.CellHead{{Cell: "c2", Version: 6}}}).IsEmpty())
}

func TestUpstreamThatReturnedTakesWorkAgain(t *testing.T) {
	b := newBoard()
	offer := func(after time.Duration, returned bool) int {
		l := news.UpstreamLeaving{Upstream: "e1", Since: start.Add(after), Returned: returned}
		return len(b.Merge(start.Add(after), news.Batch{Leaving: []news.UpstreamLeaving{l}}).Leaving)
	}
	assert.Equal(t, offer(0, true), 0, "an upstream that never left does not return")
	assert.Equal(t, offer(time.Second, false), 1)
	assert.Equal(t, len(b.Snapshot(start).LeavingUpstreams()), 1)
	assert.Equal(t, offer(time.Minute, true), 1)
	assert.Equal(t, len(b.Snapshot(start).LeavingUpstreams()), 0)
	assert.Equal(t, offer(time.Second, false), 0, "late news of the leave")
	assert.Equal(t, offer(2*time.Minute, false), 1)
	assert.Equal(t, len(b.Snapshot(start).LeavingUpstreams()), 1)
}

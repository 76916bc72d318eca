package suspect

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"savoryweir/internal/state/bundle"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func print(text string) Fingerprint { return FingerprintOf("tagger", []byte(text)) }

func TestCrashingRequestReachesTwoUpstreamsAndIsRefused(t *testing.T) {
	r := New(DefaultSettings())
	f := print("crash")
	assert.Equal(t, r.Decide(start, f).Verdict, Run)
	r.AttemptStarted(f, "a")
	r.UpstreamCrashed(start, "a")
	assert.DeepEqual(t, r.Decide(start, f), Decision{Verdict: Isolate, ExcludedUpstreams: []bundle.UpstreamID{"a"}})
	r.AttemptStarted(f, "b")
	assert.Assert(t, r.RunsSuspect(start, "b"))
	r.UpstreamCrashed(start, "b")
	assert.Equal(t, r.Decide(start, f).Verdict, Hold)
	assert.Equal(t, r.Decide(start.Add(3*time.Second), f).Verdict, Refuse)
	assert.Equal(t, r.Decide(start.Add(23*time.Hour), f).Verdict, Refuse)
	assert.Equal(t, r.Decide(start.Add(46*time.Hour), f).Verdict, Refuse, "a resend renews the record")
}

func TestInnocentOfBothBatchesIsNotRefused(t *testing.T) {
	r := New(DefaultSettings())
	crash, innocent := print("crash"), print("innocent")
	for _, upstream := range []bundle.UpstreamID{"a", "b"} {
		r.AttemptStarted(crash, upstream)
		r.AttemptStarted(innocent, upstream)
		r.UpstreamCrashed(start, upstream)
	}
	decision := r.Decide(start, innocent)
	assert.Equal(t, decision.Verdict, Isolate)
	assert.DeepEqual(t, decision.AllowedUpstreams, []bundle.UpstreamID{"a", "b"})
	r.AttemptStarted(innocent, "a")
	cleared, ok := r.AttemptEnded(start, innocent, "a", true)
	assert.Assert(t, ok)
	assert.Equal(t, r.Decide(start, innocent).Verdict, Run)
	assert.Equal(t, len(cleared.CrashedUpstreams), 0)
}

func TestFaultyUpstreamCondemnsNobody(t *testing.T) {
	r := New(DefaultSettings())
	f := print("innocent")
	r.AttemptStarted(print("other"), "b")
	r.UpstreamCrashed(start, "b")
	r.AttemptStarted(f, "a")
	r.UpstreamCrashed(start, "a")
	r.AttemptStarted(f, "b")
	r.UpstreamCrashed(start.Add(10*time.Second), "b")
	assert.Equal(t, r.Decide(start.Add(10*time.Second), f).Verdict, Isolate)
}

func TestFaultSeenByAnotherInstanceCondemnsNobody(t *testing.T) {
	here, there := New(DefaultSettings()), New(DefaultSettings())
	there.AttemptStarted(print("other"), "b")
	here.Merge(start, there.UpstreamCrashed(start, "b")[0])
	f := print("innocent")
	here.AttemptStarted(f, "a")
	here.UpstreamCrashed(start.Add(5*time.Second), "a")
	here.AttemptStarted(f, "b")
	here.UpstreamCrashed(start.Add(10*time.Second), "b")
	assert.Equal(t, here.Decide(start.Add(10*time.Second), f).Verdict, Isolate)
}

func TestRecordsOfOtherInstancesAreJoined(t *testing.T) {
	a, b := New(DefaultSettings()), New(DefaultSettings())
	f := print("crash")
	a.AttemptStarted(f, "a")
	records := a.UpstreamCrashed(start, "a")
	assert.Assert(t, b.Merge(start, records[0]))
	assert.Assert(t, !b.Merge(start, records[0]))
	assert.DeepEqual(t, b.Decide(start, f).ExcludedUpstreams, []bundle.UpstreamID{"a"})
	b.AttemptStarted(f, "b")
	records = b.UpstreamCrashed(start.Add(time.Second), "b")
	assert.Assert(t, a.Merge(start, records[0]))
	assert.Equal(t, a.Decide(start.Add(time.Second), f).Verdict, Hold)
	assert.Equal(t, a.Decide(start.Add(5*time.Second), f).Verdict, Refuse)
	assert.Equal(t, b.Decide(start.Add(5*time.Second), f).Verdict, Refuse)
}

func TestOldRecordDoesNotUndoAClearedOne(t *testing.T) {
	a, b := New(DefaultSettings()), New(DefaultSettings())
	f := print("innocent")
	a.AttemptStarted(f, "a")
	blamed := a.UpstreamCrashed(start, "a")[0]
	a.AttemptStarted(f, "b")
	cleared, _ := a.AttemptEnded(start.Add(time.Second), f, "b", true)
	b.Merge(start, cleared)
	b.Merge(start, blamed)
	assert.Equal(t, b.Decide(start, f).Verdict, Run)
}

func TestRecordsAreBounded(t *testing.T) {
	settings := DefaultSettings()
	settings.MaxRecords = 8
	r := New(settings)
	for i := range 100 {
		r.Merge(start, Record{Fingerprint: FingerprintOf("tagger", []byte{byte(i)}), CrashedUpstreams: []bundle.UpstreamID{"a"}, ExpiresAt: start.Add(time.Hour)})
	}
	assert.Equal(t, len(r.records), 8)
}

// Two instances run a suspect each on the same upstream. Neither is refused for
// the death before the other one's record has come.
func TestDeathUnderSuspectsOfTwoInstancesIsDoubtful(t *testing.T) {
	a, b := New(DefaultSettings()), New(DefaultSettings())
	crash, innocent := print("crash"), print("innocent")
	for i, upstream := range []bundle.UpstreamID{"a", "b", "b"} {
		now := start.Add(time.Duration(i) * 10 * time.Second)
		a.AttemptStarted(crash, upstream)
		b.AttemptStarted(innocent, upstream)
		fromA, fromB := a.UpstreamCrashed(now, upstream), b.UpstreamCrashed(now, upstream)
		assert.Assert(t, b.Decide(now, innocent).Verdict != Refuse)
		b.Merge(now.Add(time.Second), fromA[0])
		a.Merge(now.Add(time.Second), fromB[0])
	}
	assert.Equal(t, b.Decide(start.Add(time.Minute), innocent).Verdict, Isolate)
}

// Whatever order deaths and records arrive in, no instance ever allows a third upstream.
func TestNoThirdUpstreamOnceRecordsArrived(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		registries := []*Registry{New(DefaultSettings()), New(DefaultSettings()), New(DefaultSettings())}
		pool := []bundle.UpstreamID{"a", "b", "c", "d", "e"}
		crashed := make(map[bundle.UpstreamID]bool)
		crash := print("crash")
		now := start
		for range 40 {
			now = now.Add(5 * time.Second)
			at := registries[r.IntN(len(registries))]
			decision := at.Decide(now, crash)
			target := pool[r.IntN(len(pool))]
			if len(decision.AllowedUpstreams) > 0 {
				target = decision.AllowedUpstreams[r.IntN(len(decision.AllowedUpstreams))]
			}
			if decision.Verdict >= Hold || len(decision.ExcludedUpstreams) > 0 && decision.ExcludedUpstreams[0] == target {
				continue
			}
			at.AttemptStarted(crash, target)
			at.AttemptStarted(FingerprintOf("tagger", []byte{byte(r.IntN(4))}), target)
			crashed[target] = true
			for _, record := range at.UpstreamCrashed(now, target) {
				for _, other := range registries {
					other.Merge(now, record)
				}
			}
		}
		assert.Assert(t, len(crashed) <= MaxCrashedUpstreams, "crashed %v", crashed)
	})
}

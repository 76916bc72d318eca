package suspect

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"savoryweir/internal/state/bundle"
)

var startTime = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func fingerprint(text string) Fingerprint { return FingerprintOf("tagger", []byte(text)) }

func TestCrashingRequestIsRefusedAfterTwoUpstreams(t *testing.T) {
	r := New(DefaultSettings())
	f := fingerprint("crash")
	assert.Equal(t, r.Decide(startTime, f).Verdict, Run)
	r.AttemptStarted(f, "a")
	r.UpstreamCrashed(startTime, "a")
	assert.DeepEqual(t, r.Decide(startTime, f), Decision{Verdict: Isolate, ExcludedUpstreams: []bundle.UpstreamID{"a"}})
	r.AttemptStarted(f, "b")
	assert.Assert(t, r.RunsSuspect(startTime, "b"))
	r.UpstreamCrashed(startTime, "b")
	assert.Equal(t, r.Decide(startTime, f).Verdict, Hold)
	assert.Equal(t, r.Decide(startTime.Add(3*time.Second), f).Verdict, Refuse)
	assert.Equal(t, r.Decide(startTime.Add(23*time.Hour), f).Verdict, Refuse)
	assert.Equal(t, r.Decide(startTime.Add(46*time.Hour), f).Verdict, Refuse, "a refusal renews the record")
}

// A harmless request can be in flight beside a crashing one on both upstreams. It must stay
// isolated on these upstreams, and a completed attempt clears it.
func TestRequestSharingBothCrashesIsNotRefused(t *testing.T) {
	r := New(DefaultSettings())
	crashing, innocent := fingerprint("crash"), fingerprint("innocent")
	for _, upstream := range []bundle.UpstreamID{"a", "b"} {
		r.AttemptStarted(crashing, upstream)
		r.AttemptStarted(innocent, upstream)
		r.UpstreamCrashed(startTime, upstream)
	}
	decision := r.Decide(startTime, innocent)
	assert.Equal(t, decision.Verdict, Isolate)
	assert.DeepEqual(t, decision.AllowedUpstreams, []bundle.UpstreamID{"a", "b"})
	r.AttemptStarted(innocent, "a")
	cleared, ok := r.AttemptEnded(startTime, innocent, "a", true)
	assert.Assert(t, ok)
	assert.Equal(t, r.Decide(startTime, innocent).Verdict, Run)
	assert.Equal(t, len(cleared.CrashedUpstreams), 0)
}

// An upstream that has crashed without the request shortly before may be faulty itself, so
// its next crash is no evidence against the request.
func TestCrashOfFaultyUpstreamRefusesNoRequest(t *testing.T) {
	r := New(DefaultSettings())
	f := fingerprint("innocent")
	r.AttemptStarted(fingerprint("other"), "b")
	r.UpstreamCrashed(startTime, "b")
	r.AttemptStarted(f, "a")
	r.UpstreamCrashed(startTime, "a")
	r.AttemptStarted(f, "b")
	r.UpstreamCrashed(startTime.Add(10*time.Second), "b")
	assert.Equal(t, r.Decide(startTime.Add(10*time.Second), f).Verdict, Isolate)
}

// The earlier crash of a faulty upstream may be known only from the record of another instance.
func TestCrashOfUpstreamFaultyByRecordsRefusesNoRequest(t *testing.T) {
	local, remote := New(DefaultSettings()), New(DefaultSettings())
	remote.AttemptStarted(fingerprint("other"), "b")
	local.Merge(startTime, remote.UpstreamCrashed(startTime, "b")[0])
	f := fingerprint("innocent")
	local.AttemptStarted(f, "a")
	local.UpstreamCrashed(startTime.Add(5*time.Second), "a")
	local.AttemptStarted(f, "b")
	local.UpstreamCrashed(startTime.Add(10*time.Second), "b")
	assert.Equal(t, local.Decide(startTime.Add(10*time.Second), f).Verdict, Isolate)
}

func TestMergeAddsUpstreamsOfOtherInstances(t *testing.T) {
	a, b := New(DefaultSettings()), New(DefaultSettings())
	f := fingerprint("crash")
	a.AttemptStarted(f, "a")
	records := a.UpstreamCrashed(startTime, "a")
	assert.Assert(t, b.Merge(startTime, records[0]))
	assert.Assert(t, !b.Merge(startTime, records[0]))
	assert.DeepEqual(t, b.Decide(startTime, f).ExcludedUpstreams, []bundle.UpstreamID{"a"})
	b.AttemptStarted(f, "b")
	records = b.UpstreamCrashed(startTime.Add(time.Second), "b")
	assert.Assert(t, a.Merge(startTime, records[0]))
	assert.Equal(t, a.Decide(startTime.Add(time.Second), f).Verdict, Hold)
	assert.Equal(t, a.Decide(startTime.Add(5*time.Second), f).Verdict, Refuse)
	assert.Equal(t, b.Decide(startTime.Add(5*time.Second), f).Verdict, Refuse)
}

// Records can arrive out of order. An older record of a crash must not turn a cleared request
// into a suspect again.
func TestMergeKeepsClearedRecordOverOlderOne(t *testing.T) {
	a, b := New(DefaultSettings()), New(DefaultSettings())
	f := fingerprint("innocent")
	a.AttemptStarted(f, "a")
	blamed := a.UpstreamCrashed(startTime, "a")[0]
	a.AttemptStarted(f, "b")
	cleared, _ := a.AttemptEnded(startTime.Add(time.Second), f, "b", true)
	b.Merge(startTime, cleared)
	b.Merge(startTime, blamed)
	assert.Equal(t, b.Decide(startTime, f).Verdict, Run)
}

func TestRecordsAreLimitedToMaxRecords(t *testing.T) {
	settings := DefaultSettings()
	settings.MaxRecords = 8
	r := New(settings)
	for i := range 100 {
		r.Merge(startTime, Record{Fingerprint: FingerprintOf("tagger", []byte{byte(i)}), CrashedUpstreams: []bundle.UpstreamID{"a"}, ExpiresAt: startTime.Add(time.Hour)})
	}
	assert.Equal(t, len(r.records), 8)
}

// Each of two instances runs a suspect on the same upstream, so each takes its own suspect
// for the only one. Neither suspect may be refused before the record of the other instance
// has arrived, and afterwards the cause is in doubt.
func TestCrashWithSuspectsOfTwoInstancesRefusesNeither(t *testing.T) {
	a, b := New(DefaultSettings()), New(DefaultSettings())
	crashing, innocent := fingerprint("crash"), fingerprint("innocent")
	for i, upstream := range []bundle.UpstreamID{"a", "b", "b"} {
		now := startTime.Add(time.Duration(i) * 10 * time.Second)
		a.AttemptStarted(crashing, upstream)
		b.AttemptStarted(innocent, upstream)
		fromA, fromB := a.UpstreamCrashed(now, upstream), b.UpstreamCrashed(now, upstream)
		assert.Assert(t, b.Decide(now, innocent).Verdict != Refuse)
		b.Merge(now.Add(time.Second), fromA[0])
		a.Merge(now.Add(time.Second), fromB[0])
	}
	assert.Equal(t, b.Decide(startTime.Add(time.Minute), innocent).Verdict, Isolate)
}

// Whichever instance and upstream each attempt hits, no instance may permit a third upstream
// for the crashing request once the records of the earlier crashes have arrived.
func TestRequestNeverRunsOnThirdUpstreamOnceRecordsArrived(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		registries := []*Registry{New(DefaultSettings()), New(DefaultSettings()), New(DefaultSettings())}
		upstreams := []bundle.UpstreamID{"a", "b", "c", "d", "e"}
		crashed := make(map[bundle.UpstreamID]bool)
		crashing := fingerprint("crash")
		now := startTime
		for range 40 {
			now = now.Add(5 * time.Second)
			registry := registries[r.IntN(len(registries))]
			decision := registry.Decide(now, crashing)
			target := upstreams[r.IntN(len(upstreams))]
			if len(decision.AllowedUpstreams) > 0 {
				target = decision.AllowedUpstreams[r.IntN(len(decision.AllowedUpstreams))]
			}
			if decision.Verdict >= Hold || len(decision.ExcludedUpstreams) > 0 && decision.ExcludedUpstreams[0] == target {
				continue
			}
			registry.AttemptStarted(crashing, target)
			registry.AttemptStarted(FingerprintOf("tagger", []byte{byte(r.IntN(4))}), target)
			crashed[target] = true
			for _, record := range registry.UpstreamCrashed(now, target) {
				for _, other := range registries {
					other.Merge(now, record)
				}
			}
		}
		assert.Assert(t, len(crashed) <= MaxCrashedUpstreams, "the request crashed %v", crashed)
	})
}

package streams

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var (
	start = time.Unix(1000, 0)
	v1    = Origin{"s", "v1"}
	v2    = Origin{"s", "v2"}
)

func TestOnlyOriginNeedsOneVersionWithinRetention(t *testing.T) {
	later := start.Add(Retention)
	for name, test := range map[string]struct {
		prepare func(*Tracker)
		want    bool
	}{
		"past not known":              {func(tr *Tracker) { tr.ObserveServing(start, []Origin{v1}) }, false},
		"nothing served before":       {func(tr *Tracker) { tr.LearnPast(start, nil); tr.ObserveServing(start, []Origin{v1}) }, true},
		"another version before":      {func(tr *Tracker) { tr.LearnPast(start, []Origin{v2}); tr.ObserveServing(start, []Origin{v1}) }, false},
		"another version beside":      {func(tr *Tracker) { tr.LearnPast(start, nil); tr.ObserveServing(start, []Origin{v1, v2}) }, false},
		"another version of a stream": {func(tr *Tracker) { tr.LearnPast(start, []Origin{v1}); tr.Learn(start, 7, v2) }, false},
		"another service":             {func(tr *Tracker) { tr.LearnPast(start, []Origin{v1, {"other", "v2"}}) }, true},
		"no version":                  {func(tr *Tracker) { tr.LearnPast(start, nil) }, false},
	} {
		t.Run(name, func(t *testing.T) {
			tracker := NewTracker(start)
			test.prepare(tracker)
			got, ok := tracker.OnlyOrigin(start.Add(time.Second), "s")
			assert.Equal(t, ok, test.want)
			if ok {
				assert.Equal(t, got, v1)
			}
		})
	}
	tracker := NewTracker(start)
	tracker.ObserveServing(start, []Origin{v2})
	tracker.ObserveServing(later, []Origin{v1})
	got, ok := tracker.OnlyOrigin(later, "s")
	assert.Assert(t, ok, "the process has run for the whole retention, in which one version served")
	assert.Equal(t, got, v1)
}

// After a loss of the past, a version that has left may have begun the streams from before, for as long as callers take them up. Those
// that begin meanwhile have to be known one by one, or they would be refused too.
func TestOnlyOriginIsUnknownWhileStreamsOfLostPastMayGoOn(t *testing.T) {
	tracker := NewTracker(start)
	tracker.LearnPast(start, []Origin{v1})
	assert.Equal(t, tracker.PastUnknownFor(start), time.Duration(0))
	lostAt := start.Add(time.Hour)
	tracker.Begin(lostAt, 1, v1)
	tracker.LosePast(lostAt)
	for _, at := range []time.Time{lostAt, lostAt.Add(Retention - 1)} {
		tracker.ObserveServing(at, []Origin{v1})
		_, ok := tracker.OnlyOrigin(at, "s")
		assert.Assert(t, !ok)
		assert.Equal(t, tracker.PastUnknownFor(at), lostAt.Add(Retention).Sub(at))
	}
	assert.DeepEqual(t, tracker.TakeAnnouncements(lostAt), map[Origin][]ID{v1: {1}})
	assert.DeepEqual(t, tracker.TakeUnstored(lostAt, 9), map[Origin][]ID{v1: {1}})
	end := lostAt.Add(Retention)
	got, ok := tracker.OnlyOrigin(end, "s")
	assert.Assert(t, ok)
	assert.Equal(t, got, v1)
	assert.Equal(t, tracker.PastUnknownFor(end), time.Duration(0))
	tracker.Begin(end, 2, v1)
	assert.Equal(t, len(tracker.TakeAnnouncements(end)), 0)
	tracker.LosePast(end)
	tracker.LearnPast(end.Add(time.Second), []Origin{v1})
	_, ok = tracker.OnlyOrigin(end.Add(time.Second), "s")
	assert.Assert(t, ok, "another instance knows the past")
}

// The store may come back from a copy that doesn't name a version which has just come, so that other versions begin the streams first. A
// version that was there first, or alone, is not new.
func TestVersionsThatJoinOthersAreNew(t *testing.T) {
	const delay = 15 * time.Second
	other := Origin{"other", "v1"}
	for name, test := range map[string]struct {
		prepare func(*Tracker)
		want    []Origin
	}{
		"first ones":          {func(tr *Tracker) { tr.ObserveServing(start, []Origin{v1, v2}) }, nil},
		"joins another one":   {func(tr *Tracker) { tr.ObserveServing(start, []Origin{v1}); tr.ObserveServing(start, []Origin{v1, v2}) }, []Origin{v2}},
		"of another service":  {func(tr *Tracker) { tr.ObserveServing(start, []Origin{v1}); tr.ObserveServing(start, []Origin{other}) }, nil},
		"announced by others": {func(tr *Tracker) { tr.ObserveServing(start, []Origin{v1}); tr.Learn(start, 1, v2) }, []Origin{v2}},
		"announced, then observed": {func(tr *Tracker) {
			tr.ObserveServing(start, []Origin{v1})
			tr.Learn(start, 1, v2)
			tr.ObserveServing(start, []Origin{v2})
		}, []Origin{v2}},
		"listed before the record": {func(tr *Tracker) {
			tr.ObserveServing(start, []Origin{v1, v2})
			tr.LearnRecorded(start, []Origin{v1}, nil)
		}, []Origin{v2}},
		"listed after the record": {func(tr *Tracker) {
			tr.LearnRecorded(start, []Origin{v1}, nil)
			tr.ObserveServing(start, []Origin{v1, v2})
		}, []Origin{v2}},
		"in the record for long": {func(tr *Tracker) {
			tr.LearnRecorded(start, []Origin{v1, v2}, map[Origin]time.Time{v2: start.Add(-delay)})
			tr.ObserveServing(start, []Origin{v1, v2})
		}, nil},
		"in the record for a moment": {func(tr *Tracker) {
			tr.LearnRecorded(start, []Origin{v1, v2}, map[Origin]time.Time{v2: start.Add(1 - delay)})
			tr.ObserveServing(start, []Origin{v1, v2})
		}, []Origin{v2}},
		"in the record by another clock": {func(tr *Tracker) {
			tr.LearnRecorded(start, []Origin{v1, v2}, map[Origin]time.Time{v2: start.Add(time.Hour)})
		}, []Origin{v2}},
		"returned after the retention": {func(tr *Tracker) {
			tr.ObserveServing(start.Add(-Retention), []Origin{v2})
			tr.ObserveServing(start, []Origin{v1})
			tr.ObserveServing(start, []Origin{v2})
		}, []Origin{v2}},
		"gone for a moment": {func(tr *Tracker) {
			tr.ObserveServing(start.Add(1-Retention), []Origin{v1, v2})
			tr.ObserveServing(start, []Origin{v1})
			tr.ObserveServing(start, []Origin{v2})
		}, nil},
	} {
		t.Run(name, func(t *testing.T) {
			tracker := NewTracker(start)
			test.prepare(tracker)
			assert.DeepEqual(t, tracker.New(start, delay), test.want)
			assert.Equal(t, len(tracker.New(start.Add(delay), delay)), 0)
			assert.Equal(t, len(tracker.New(start, 0)), 0)
			tracker.RemoveExpired(start.Add(Retention))
			assert.Equal(t, len(tracker.NewSince()), 0)
		})
	}
}

// Instances tell those that start what they know. A stream that was told on and on would never be removed.
func TestStreamsAreToldAtFirstHandOnly(t *testing.T) {
	tracker := NewTracker(start)
	tracker.Begin(start, 1, v1)
	assert.Equal(t, len(tracker.Shared(start)), 0, "one version alone serves")
	tracker.ObserveServing(start, []Origin{v1, v2})
	tracker.Learn(start, 2, v2)
	tracker.LearnStored(start, 3, v2)
	tracker.LearnTold(start, 4, v2)
	assert.DeepEqual(t, tracker.Shared(start), map[Origin][]ID{v1: {1}, v2: {2}})
	_, ok := tracker.Lookup(4)
	assert.Assert(t, ok)
}

func TestStreamsAreAnnouncedTwiceOnceSeveralVersionsServe(t *testing.T) {
	tracker := NewTracker(start)
	tracker.ObserveServing(start, []Origin{v1})
	tracker.Begin(start, 1, v1)
	assert.Equal(t, len(tracker.TakeAnnouncements(start)), 0)
	tracker.ObserveServing(start, []Origin{v2})
	tracker.Begin(start, 2, v2)
	tracker.Begin(start, 2, v2)
	want := map[Origin][]ID{v1: {1}, v2: {2}}
	assert.DeepEqual(t, tracker.TakeAnnouncements(start), want)
	tracker.Begin(start, 3, v1)
	assert.DeepEqual(t, tracker.TakeAnnouncements(start), map[Origin][]ID{v1: {1, 3}, v2: {2}})
	assert.DeepEqual(t, tracker.TakeAnnouncements(start), map[Origin][]ID{v1: {3}})
	assert.Equal(t, len(tracker.TakeAnnouncements(start)), 0)
}

func TestStreamsOfOthersAreNotAnnounced(t *testing.T) {
	tracker := NewTracker(start)
	tracker.ObserveServing(start, []Origin{v1, v2})
	tracker.Learn(start, 1, v2)
	got, ok := tracker.Lookup(1)
	assert.Assert(t, ok)
	assert.Equal(t, got, v2)
	assert.Equal(t, len(tracker.TakeAnnouncements(start)), 0)
}

func TestStreamsAndVersionsAreRemovedAfterRetention(t *testing.T) {
	tracker := NewTracker(start)
	tracker.ObserveServing(start, []Origin{v1})
	tracker.Begin(start, 1, v1)
	middle, end := start.Add(Retention/2), start.Add(Retention)
	tracker.Begin(middle, 2, v1)
	tracker.Learn(middle, 3, v2)
	tracker.RemoveExpired(end)
	_, found := tracker.Lookup(1)
	assert.Assert(t, !found)
	_, found = tracker.Lookup(2)
	assert.Assert(t, found)
	assert.DeepEqual(t, tracker.Served(end), []Origin{v2})
	tracker.RemoveExpired(middle.Add(Retention))
	assert.Equal(t, len(tracker.origins)+len(tracker.expiry)+len(tracker.pending["s"])+len(tracker.servedAt), 0)
}

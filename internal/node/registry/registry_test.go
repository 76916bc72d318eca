package registry

import (
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"savoryweir/internal/state/fleet"
)

func upstream(id fleet.UpstreamID, entry uint64, models ...string) fleet.Upstream {
	u := fleet.Upstream{ID: id, Service: "s", EntryVersion: entry, StartedAt: time.UnixMilli(1)}
	for _, m := range models {
		u.Models = append(u.Models, fleet.ResidentModel{Model: m, Adapters: []string{"a1"}})
	}
	return u
}

func newTest() (*Registry, *time.Time) {
	now := time.Unix(100, 0)
	return New(zerolog.Nop(), func() time.Time { return now }), &now
}

func usable(r *Registry, model, adapter string) int { return len(r.View().Usable("s", model, adapter)) }

func TestCorrectionsOutweighEntriesForAWhile(t *testing.T) {
	r, now := newTest()
	r.Replace([]fleet.Upstream{upstream("u", 1, "m1")}, time.Time{})
	assert.Equal(t, usable(r, "m1", "a1"), 1)
	r.MarkAbsent(ResidentKey{Upstream: "u", Model: "m1", Adapter: "a1"})
	assert.Equal(t, usable(r, "m1", "a1"), 0)
	assert.Equal(t, usable(r, "m1", ""), 1)
	r.MarkLoaded(ResidentKey{Upstream: "u", Model: "m1", Adapter: "a2"})
	assert.Equal(t, usable(r, "m1", "a2"), 1)
	r.MarkUnloading(ResidentKey{Upstream: "u", Model: "m1"})
	assert.Equal(t, usable(r, "m1", ""), 0)
	*now = now.Add(retirementTime + time.Second)
	r.RemoveExpired()
	assert.Equal(t, usable(r, "m1", "a1"), 1)
	assert.Equal(t, usable(r, "m1", "a2"), 0)
}

func TestARestartEndsWhatWasKnown(t *testing.T) {
	r, _ := newTest()
	r.Replace([]fleet.Upstream{upstream("u", 1, "m1")}, time.Time{})
	r.MarkLoaded(ResidentKey{Upstream: "u", Model: "m2"})
	again := upstream("u", 2)
	again.StartedAt = time.UnixMilli(2)
	r.Put(again)
	assert.Equal(t, usable(r, "m2", "")+usable(r, "m1", ""), 0)
}

func TestLapsedEntriesAreAwaitedUntilTheStoreIsComplete(t *testing.T) {
	r, now := newTest()
	r.Replace([]fleet.Upstream{upstream("u", 1), upstream("v", 1)}, time.Time{})
	complete := now.Add(2 * time.Second)
	r.Replace(nil, complete)
	assert.Equal(t, usable(r, "", ""), 2)
	r.Put(upstream("u", 3))
	*now = complete.Add(time.Millisecond)
	r.RemoveExpired()
	assert.Equal(t, usable(r, "", ""), 1)
	r.Replace([]fleet.Upstream{}, time.Time{})
	assert.Equal(t, usable(r, "", ""), 0)
}

func TestADrainingUpstreamIsNotAwaited(t *testing.T) {
	r, now := newTest()
	leaving := upstream("u", 1)
	leaving.Draining = true
	r.Put(leaving)
	r.Remove("u", 5, now.Add(time.Second))
	assert.Assert(t, r.View().Get("u") == nil)
}

func TestOldNewsChangeNothing(t *testing.T) {
	r, _ := newTest()
	r.Put(upstream("u", 5, "m1"))
	r.Put(upstream("u", 4))
	assert.Equal(t, usable(r, "m1", ""), 1)
	r.Remove("u", 3, time.Time{})
	assert.Equal(t, usable(r, "m1", ""), 1)
	r.Remove("u", 6, time.Time{})
	assert.Equal(t, usable(r, "m1", ""), 0)
}

func TestChangesWakeThoseWhoWait(t *testing.T) {
	r, _ := newTest()
	changed := r.Changed()
	r.Put(upstream("u", 1))
	select {
	case <-changed:
	default:
		t.Fatal("nobody is woken")
	}
}

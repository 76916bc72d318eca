package registry

import (
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"savoryweir/internal/state/fleet"
)

func newUpstream(id fleet.UpstreamID, entryVersion uint64, models ...string) fleet.Upstream {
	u := fleet.Upstream{ID: id, Service: "s", EntryVersion: entryVersion, StartedAt: time.UnixMilli(1)}
	for _, m := range models {
		u.Models = append(u.Models, fleet.ResidentModel{Model: m, Adapters: []string{"a1"}})
	}
	return u
}

// newTestRegistry returns a registry and the time that its clock returns.
func newTestRegistry() (*Registry, *time.Time) {
	now := time.Unix(100, 0)
	return New(zerolog.Nop(), func() time.Time { return now }), &now
}

func usableCount(r *Registry, model, adapter string) int {
	return len(r.View().Usable("s", model, adapter))
}

func TestOverridesTakePrecedenceOverEntriesUntilTheyExpire(t *testing.T) {
	r, now := newTestRegistry()
	r.Replace([]fleet.Upstream{newUpstream("u", 1, "m1")}, time.Time{})
	assert.Equal(t, usableCount(r, "m1", "a1"), 1)
	r.MarkAbsent(ResidentKey{Upstream: "u", Model: "m1", Adapter: "a1"})
	assert.Equal(t, usableCount(r, "m1", "a1"), 0)
	assert.Equal(t, usableCount(r, "m1", ""), 1)
	r.MarkLoaded(ResidentKey{Upstream: "u", Model: "m1", Adapter: "a2"})
	assert.Equal(t, usableCount(r, "m1", "a2"), 1)
	r.MarkUnloading(ResidentKey{Upstream: "u", Model: "m1"})
	assert.Equal(t, usableCount(r, "m1", ""), 0)
	*now = now.Add(unloadingOverrideTTL + time.Second)
	r.RemoveExpired()
	assert.Equal(t, usableCount(r, "m1", "a1"), 1)
	assert.Equal(t, usableCount(r, "m1", "a2"), 0)
}

func TestRestartedUpstreamLosesModelsAndOverrides(t *testing.T) {
	r, _ := newTestRegistry()
	r.Replace([]fleet.Upstream{newUpstream("u", 1, "m1")}, time.Time{})
	r.MarkLoaded(ResidentKey{Upstream: "u", Model: "m2"})
	restarted := newUpstream("u", 2)
	restarted.StartedAt = time.UnixMilli(2)
	r.Put(restarted)
	assert.Equal(t, usableCount(r, "m2", "")+usableCount(r, "m1", ""), 0)
}

func TestLapsedEntriesAreKeptUntilStoreIsComplete(t *testing.T) {
	r, now := newTestRegistry()
	r.Replace([]fleet.Upstream{newUpstream("u", 1), newUpstream("v", 1)}, time.Time{})
	completeAt := now.Add(2 * time.Second)
	r.Replace(nil, completeAt)
	assert.Equal(t, usableCount(r, "", ""), 2)
	r.Put(newUpstream("u", 3))
	*now = completeAt.Add(time.Millisecond)
	r.RemoveExpired()
	assert.Equal(t, usableCount(r, "", ""), 1)
	r.Replace([]fleet.Upstream{}, time.Time{})
	assert.Equal(t, usableCount(r, "", ""), 0)
}

func TestDrainingUpstreamIsRemovedImmediately(t *testing.T) {
	r, now := newTestRegistry()
	draining := newUpstream("u", 1)
	draining.Draining = true
	r.Put(draining)
	r.Remove("u", 5, now.Add(time.Second))
	assert.Assert(t, r.View().Get("u") == nil)
}

func TestOlderEntriesAndRemovalsAreIgnored(t *testing.T) {
	r, _ := newTestRegistry()
	r.Put(newUpstream("u", 5, "m1"))
	r.Put(newUpstream("u", 4))
	assert.Equal(t, usableCount(r, "m1", ""), 1)
	r.Remove("u", 3, time.Time{})
	assert.Equal(t, usableCount(r, "m1", ""), 1)
	r.Remove("u", 6, time.Time{})
	assert.Equal(t, usableCount(r, "m1", ""), 0)
}

func TestPutClosesChangedChannel(t *testing.T) {
	r, _ := newTestRegistry()
	changed := r.Changed()
	r.Put(newUpstream("u", 1))
	select {
	case <-changed:
	default:
		t.Fatal("the channel is still open after a change")
	}
}

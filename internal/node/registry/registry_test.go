package registry

import (
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"savoryweir/internal/state/fleet"
	"savoryweir/internal/state/object"
)

func newUpstream(id fleet.UpstreamID, entryVersion object.Version, models ...string) fleet.Upstream {
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

func version(t *testing.T, era object.Era, revision uint64) object.Version {
	t.Helper()
	v, err := object.NewVersion(era, object.RevisionOf(revision))
	assert.NilError(t, err)
	return v
}

// An upstream that is leaving ends soon, whatever an entry from an older copy of the store
// says.
func TestLeavingUpstreamStaysDrainingThroughNewEra(t *testing.T) {
	for name, leave := range map[string]func(r *Registry){
		"entry says draining": func(r *Registry) {
			u := newUpstream("u", version(t, 1, 900))
			u.Draining = true
			r.Put(u)
		},
		"upstream says so itself": func(r *Registry) { assert.Assert(t, r.MarkLeaving("u", time.UnixMilli(1))) },
		"entry is removed meanwhile": func(r *Registry) {
			r.MarkLeaving("u", time.UnixMilli(1))
			r.Remove("u", version(t, 1, 901), time.Time{})
		},
		"upstream says so before its entry is known": func(r *Registry) {
			r.Remove("u", version(t, 1, 901), time.Time{})
			r.MarkLeaving("u", time.UnixMilli(1))
		},
	} {
		t.Run(name, func(t *testing.T) {
			r, now := newTestRegistry()
			r.Replace([]fleet.Upstream{newUpstream("u", version(t, 1, 10))}, time.Time{})
			leave(r)
			assert.Equal(t, usableCount(r, "", ""), 0)
			assert.Assert(t, !r.MarkLeaving("u", time.UnixMilli(1)), "it was known before")
			r.Replace([]fleet.Upstream{newUpstream("u", version(t, 2, 10))}, time.Time{})
			r.Put(newUpstream("u", version(t, 2, 11)))
			*now = now.Add(time.Minute)
			r.RemoveExpired()
			assert.Equal(t, usableCount(r, "", ""), 0)
			restarted := newUpstream("u", version(t, 2, 12))
			restarted.StartedAt = time.UnixMilli(2)
			r.Put(restarted)
			assert.Equal(t, usableCount(r, "", ""), 1, "a new incarnation is not leaving")
			assert.Assert(t, !r.MarkLeaving("u", time.UnixMilli(1)), "a late message about the earlier incarnation")
			assert.Equal(t, usableCount(r, "", ""), 1)
		})
	}
}

// A copy of the store lists an upstream that was removed since. It is not used until it
// writes its entry again, or until its entry would have lapsed.
func TestRemovedUpstreamInCopyIsUnusedUntilConfirmed(t *testing.T) {
	for _, writesAgain := range []bool{true, false} {
		r, now := newTestRegistry()
		r.Replace([]fleet.Upstream{newUpstream("u", version(t, 1, 10)), newUpstream("v", version(t, 1, 11))}, time.Time{})
		r.Remove("u", version(t, 1, 12), time.Time{})
		copied := []fleet.Upstream{newUpstream("u", version(t, 2, 10)), newUpstream("v", version(t, 2, 11))}
		r.Replace(copied, time.Time{})
		r.Replace(copied, time.Time{}) // a second list of the era confirms nothing
		assert.Equal(t, usableCount(r, "", ""), 1)
		if writesAgain {
			r.Put(newUpstream("u", version(t, 2, 12)))
			assert.Equal(t, usableCount(r, "", ""), 2)
			continue
		}
		*now = now.Add(confirmationTimeout - time.Millisecond)
		r.RemoveExpired()
		assert.Equal(t, usableCount(r, "", ""), 1)
		*now = now.Add(2 * time.Millisecond)
		r.RemoveExpired()
		assert.Equal(t, usableCount(r, "", ""), 2)
	}
}

// An upstream that registered after the copy was made is missing in the store until it
// writes its entry again.
func TestUpstreamMissingInCopyIsKeptUntilListIsComplete(t *testing.T) {
	r, now := newTestRegistry()
	r.Replace([]fleet.Upstream{newUpstream("u", version(t, 1, 10)), newUpstream("v", version(t, 1, 900))}, time.Time{})
	completeAt := now.Add(2 * time.Second)
	r.Replace([]fleet.Upstream{newUpstream("u", version(t, 2, 10))}, completeAt)
	assert.Equal(t, usableCount(r, "", ""), 2)
	*now = completeAt.Add(time.Second)
	r.RemoveExpired()
	assert.Equal(t, usableCount(r, "", ""), 1)
	r.Put(newUpstream("v", version(t, 2, 60))) // late, but written in the new era
	assert.Equal(t, usableCount(r, "", ""), 2)
}

func TestRemovedUpstreamThatReturnsInSameEraIsUsed(t *testing.T) {
	r, _ := newTestRegistry()
	r.Replace([]fleet.Upstream{newUpstream("u", version(t, 1, 10))}, time.Time{})
	r.Remove("u", version(t, 1, 11), time.Time{})
	r.Put(newUpstream("u", version(t, 1, 12)))
	assert.Equal(t, usableCount(r, "", ""), 1)
}

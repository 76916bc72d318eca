package storewatch

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"savoryweir/internal/standin/objectapi"
	"savoryweir/internal/state/object"
)

const kind object.Kind = "things"

// recorder is a sink that records the present objects and the latest completeAt.
type recorder struct {
	mu         sync.Mutex
	present    map[object.Name]string
	completeAt time.Time
}

func (r *recorder) Replace(objects []object.Object, completeAt time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.present, r.completeAt = make(map[object.Name]string), completeAt
	for _, o := range objects {
		r.present[o.Name] = string(o.Data)
	}
}

func (r *recorder) Apply(events []object.Event, completeAt time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.completeAt = completeAt
	for _, e := range events {
		if e.Deleted {
			delete(r.present, e.Object.Name)
			continue
		}
		r.present[e.Object.Name] = string(e.Object.Data)
	}
}

func (r *recorder) get(name object.Name) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.present[name]
}

// fixture is a running informer with its store and sink.
type fixture struct {
	store    *objectapi.Memory
	sink     *recorder
	informer *Informer
	watches  bool
}

// start runs an informer until ctx ends.
func start(ctx context.Context, source Source, store *objectapi.Memory, relay func(Changes), watches bool) *fixture {
	f := &fixture{store: store, sink: &recorder{}, watches: watches}
	f.informer = New(Settings{
		Kind: kind, RelistGap: 100, WatchTimeout: func() time.Duration { return time.Second }, WatchPause: func() time.Duration { return 10 * time.Millisecond }, RelayChanges: relay,
		WatchesStore: func() bool { return f.watches }, RetryDelay: func() time.Duration { return 300 * time.Millisecond },
	}, source, f.sink, zerolog.Nop())
	go f.informer.Run(ctx)
	return f
}

// put creates or updates an object and returns its version.
func put(t *testing.T, store *objectapi.Memory, name object.Name, data string) object.Version {
	t.Helper()
	old, err := store.Get(t.Context(), kind, name)
	var v object.Version
	if err != nil {
		v, err = store.Create(t.Context(), kind, name, []byte(data))
	} else {
		v, err = store.Update(t.Context(), kind, name, []byte(data), old.Version)
	}
	assert.NilError(t, err)
	return v
}

// run calls test with a new store in a synctest bubble.
func run(t *testing.T, test func(t *testing.T, ctx context.Context, store *objectapi.Memory)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		test(t, ctx, objectapi.New(time.Now, objectapi.Limits{}))
		cancel()
		synctest.Wait()
	})
}

func TestCreatedUpdatedAndDeletedObjectsReachSink(t *testing.T) {
	run(t, func(t *testing.T, ctx context.Context, store *objectapi.Memory) {
		put(t, store, "a", "1")
		f := start(ctx, store, store, nil, true)
		time.Sleep(100 * time.Millisecond)
		assert.Equal(t, f.sink.get("a"), "1")
		put(t, store, "a", "2")
		time.Sleep(50 * time.Millisecond)
		assert.Equal(t, f.sink.get("a"), "2")
		o, err := store.Get(ctx, kind, "a")
		assert.NilError(t, err)
		assert.NilError(t, store.Delete(ctx, kind, "a", o.Version))
		time.Sleep(50 * time.Millisecond)
		assert.Equal(t, f.sink.get("a"), "")
	})
}

func TestObjectsAreListedAgainAfterLostHistory(t *testing.T) {
	run(t, func(t *testing.T, ctx context.Context, store *objectapi.Memory) {
		put(t, store, "a", "1")
		f := start(ctx, store, store, nil, true)
		time.Sleep(100 * time.Millisecond)
		put(t, store, "b", "1")
		store.DropHistory()
		time.Sleep(1500 * time.Millisecond)
		assert.Equal(t, f.sink.get("b"), "1")
	})
}

// silentSource does not answer watches while it is silent, like a connection that was cut
// without a reset.
type silentSource struct {
	*objectapi.Memory
	mu     sync.Mutex
	silent bool
}

func (s *silentSource) setSilent(silent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent = silent
}

func (s *silentSource) WatchSince(ctx context.Context, kind object.Kind, after object.Version, wait time.Duration) ([]object.Event, object.Version, error) {
	s.mu.Lock()
	silent := s.silent
	s.mu.Unlock()
	if !silent {
		return s.Memory.WatchSince(ctx, kind, after, wait)
	}
	ctx, cancel := context.WithTimeout(ctx, wait+300*time.Millisecond)
	defer cancel()
	<-ctx.Done()
	return nil, after, object.ErrWatchUnanswered
}

// A connection that was cut can leave a watch without a response and without an error. The informer
// must become unhealthy, and must catch up once other instances report a newer object.
func TestUnansweredWatchIsReplacedWhenPeersAreAhead(t *testing.T) {
	run(t, func(t *testing.T, ctx context.Context, store *objectapi.Memory) {
		source := &silentSource{Memory: store}
		put(t, store, "a", "1")
		f := start(ctx, source, store, nil, true)
		time.Sleep(100 * time.Millisecond)
		source.setSilent(true)
		assert.Assert(t, f.informer.Healthy())
		time.Sleep(2500 * time.Millisecond) // covers the watch in progress and one unanswered watch
		assert.Assert(t, !f.informer.Healthy(), "the informer is healthy although its watch is not answered")
		version := put(t, store, "a", "2")
		f.informer.ObservePeerVersion(time.Now(), version)
		source.setSilent(false)
		time.Sleep(350 * time.Millisecond)
		f.informer.ObservePeerVersion(time.Now(), version)
		time.Sleep(50 * time.Millisecond)
		assert.Equal(t, f.sink.get("a"), "2")
	})
}

func TestInformerWithoutWatchAppliesRelayedChangesWithFewCalls(t *testing.T) {
	run(t, func(t *testing.T, ctx context.Context, store *objectapi.Memory) {
		put(t, store, "a", "1")
		listener := start(ctx, store, store, nil, false)
		start(ctx, store, store, listener.informer.ReceiveChanges, true)
		time.Sleep(time.Second)
		before := store.Counts().Reads()
		for i := range 20 {
			put(t, store, "a", string(rune('b'+i)))
			_, err := store.Create(t.Context(), "other", object.Name(rune('b'+i)), []byte("x")) // raises the version without a change of the kind
			assert.NilError(t, err)
			time.Sleep(100 * time.Millisecond)
		}
		assert.Equal(t, listener.sink.get("a"), "u")
		reads := store.Counts().Reads() - before - 20 // put itself reads once per change
		assert.Assert(t, reads <= 24, "%d calls to the store for 20 changes at two instances", reads)
	})
}

func TestMissedChangesAreRequestedOnce(t *testing.T) {
	run(t, func(t *testing.T, ctx context.Context, store *objectapi.Memory) {
		put(t, store, "a", "1")
		listener := start(ctx, store, store, nil, false)
		time.Sleep(100 * time.Millisecond)
		put(t, store, "b", "1")
		version := put(t, store, "a", "2")
		before := store.Counts().Reads()
		for range 20 {
			listener.informer.ObservePeerVersion(time.Now(), version)
			time.Sleep(50 * time.Millisecond)
		}
		assert.Equal(t, listener.sink.get("a")+listener.sink.get("b"), "21")
		assert.Equal(t, store.Counts().Reads()-before, uint64(1))
	})
}

func TestInformerWithZeroRelistGapCatchesUpByList(t *testing.T) {
	run(t, func(t *testing.T, ctx context.Context, store *objectapi.Memory) {
		put(t, store, "a", "1")
		f := start(ctx, store, store, nil, false)
		f.informer.settings.RelistGap = 0
		time.Sleep(100 * time.Millisecond)
		for i := range 30 {
			put(t, store, "a", string(rune('b'+i)))
		}
		before := store.Counts()
		for range 10 {
			f.informer.ObservePeerVersion(time.Now(), 31)
			time.Sleep(100 * time.Millisecond)
		}
		after := store.Counts()
		assert.Equal(t, f.sink.get("a"), string(rune('b'+29)))
		assert.Equal(t, after.StaleLists-before.StaleLists, uint64(1))
		assert.Equal(t, after.Lists, before.Lists)
		assert.Equal(t, after.Watches, before.Watches)
	})
}

// A list that may be stale is cheaper, but it is of use only if it is as new as what other
// instances have seen.
func TestCatchUpListsAgainIfStaleListIsTooOld(t *testing.T) {
	run(t, func(t *testing.T, ctx context.Context, store *objectapi.Memory) {
		put(t, store, "a", "1")
		f := start(ctx, store, store, nil, false)
		f.informer.settings.RelistGap = 0
		time.Sleep(100 * time.Millisecond)
		store.SetStale(true)
		version := put(t, store, "a", "2")
		before := store.Counts()
		for range 10 {
			f.informer.ObservePeerVersion(time.Now(), version)
			time.Sleep(100 * time.Millisecond)
		}
		after := store.Counts()
		assert.Equal(t, f.sink.get("a"), "2")
		assert.Equal(t, after.StaleLists-before.StaleLists, uint64(1))
		assert.Equal(t, after.Lists-before.Lists, uint64(1))
	})
}

// slowSource delays the response to a catch-up call by a second, like a slow link.
type slowSource struct {
	*objectapi.Memory
	calls int
}

func (s *slowSource) WatchSince(ctx context.Context, kind object.Kind, after object.Version, wait time.Duration) ([]object.Event, object.Version, error) {
	if wait == 0 {
		s.calls++
		timer := time.NewTimer(time.Second)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-ctx.Done():
			return nil, after, object.ErrUnavailable
		}
	}
	return s.Memory.WatchSince(ctx, kind, after, wait)
}

// Over a slow link, a catch-up call takes longer than catchUpDelay. Canceling it because
// other instances are still ahead would repeat the call forever without a result.
func TestSlowCatchUpCallIsNotCanceled(t *testing.T) {
	for _, watches := range []bool{true, false} {
		run(t, func(t *testing.T, ctx context.Context, store *objectapi.Memory) {
			source := &slowSource{Memory: store}
			put(t, store, "a", "1")
			f := start(ctx, source, store, nil, watches)
			time.Sleep(100 * time.Millisecond)
			store.DropHistory()
			for range 30 {
				f.informer.ObservePeerVersion(time.Now(), 5) // other instances stay ahead
				time.Sleep(100 * time.Millisecond)
			}
			for range 4 {
				put(t, store, "b", time.Now().String())
				time.Sleep(time.Millisecond)
			}
			for range 30 {
				f.informer.ObservePeerVersion(time.Now(), 5)
				time.Sleep(100 * time.Millisecond)
			}
			assert.Assert(t, f.sink.get("b") != "", "the change does not reach the sink")
			assert.Assert(t, source.calls < 8, "%d catch-up calls", source.calls)
		})
	}
}

func TestRelayedChangesAreAppliedWhileStoreIsUnavailable(t *testing.T) {
	run(t, func(t *testing.T, ctx context.Context, store *objectapi.Memory) {
		link := objectapi.NewLink(store)
		put(t, store, "a", "1")
		f := start(ctx, link, store, nil, true)
		start(ctx, store, store, f.informer.ReceiveChanges, true)
		time.Sleep(100 * time.Millisecond)
		link.SetFaults(objectapi.LinkFaults{Cut: true})
		time.Sleep(2 * time.Second)
		put(t, store, "a", "2")
		time.Sleep(200 * time.Millisecond)
		assert.Equal(t, f.sink.get("a"), "2")
	})
}

func TestPeerVersionsShortenRetryDelayAfterStoreRecovers(t *testing.T) {
	run(t, func(t *testing.T, ctx context.Context, store *objectapi.Memory) {
		link := objectapi.NewLink(store)
		put(t, store, "a", "1")
		f := start(ctx, link, store, nil, false)
		f.informer.settings.RetryDelay = func() time.Duration { return 20 * time.Second } // as in a very large fleet
		time.Sleep(100 * time.Millisecond)
		link.SetFaults(objectapi.LinkFaults{Cut: true})
		version := put(t, store, "a", "2")
		for range 5 {
			f.informer.ObservePeerVersion(time.Now(), version)
			time.Sleep(200 * time.Millisecond)
		}
		link.SetFaults(objectapi.LinkFaults{})
		for range 12 {
			f.informer.ObservePeerVersion(time.Now(), version)
			time.Sleep(100 * time.Millisecond)
		}
		assert.Equal(t, f.sink.get("a"), "2")
	})
}

func TestListsMayBeIncompleteOnlyAfterLongOutage(t *testing.T) {
	for _, c := range []struct {
		outage     time.Duration
		incomplete bool
	}{{500 * time.Millisecond, false}, {5 * time.Second, true}} {
		run(t, func(t *testing.T, ctx context.Context, store *objectapi.Memory) {
			put(t, store, "a", "1")
			f := start(ctx, store, store, nil, true)
			time.Sleep(100 * time.Millisecond)
			store.SetFaults(objectapi.Faults{Outage: true})
			time.Sleep(c.outage)
			store.SetFaults(objectapi.Faults{})
			time.Sleep(time.Second)
			put(t, store, "a", "2")
			time.Sleep(50 * time.Millisecond)
			assert.Equal(t, f.sink.get("a"), "2")
			f.sink.mu.Lock()
			defer f.sink.mu.Unlock()
			assert.Equal(t, !f.sink.completeAt.IsZero(), c.incomplete)
		})
	}
}

// lostChangesFixture is a store with an informer that has seen a change that a backup lacks.
func lostChangesFixture(t *testing.T, ctx context.Context, store *objectapi.Memory, watches bool) (*fixture, objectapi.Backup) {
	t.Helper()
	put(t, store, "kept", "1")
	put(t, store, "changed", "old")
	backup := store.Backup()
	put(t, store, "changed", "new")
	put(t, store, "lost", "1")
	f := start(ctx, objectapi.NewLink(store), store, nil, watches)
	time.Sleep(100 * time.Millisecond)
	assert.Equal(t, f.sink.get("lost"), "1")
	return f, backup
}

// In a new era the store gives out the revisions of the lost changes again, so that the
// revision from which an informer watches exists with other content and no 410 comes.
func TestObjectsAreListedAgainAfterNewEra(t *testing.T) {
	for name, rewrite := range map[string]int{"revision is gone": 0, "revision exists with other content": 2, "revisions are far ahead": 50} {
		t.Run(name, func(t *testing.T) {
			run(t, func(t *testing.T, ctx context.Context, store *objectapi.Memory) {
				f, backup := lostChangesFixture(t, ctx, store, true)
				store.SetFaults(objectapi.Faults{Outage: true})
				time.Sleep(300 * time.Millisecond)
				store.Restore(backup)
				store.SetFaults(objectapi.Faults{})
				for i := range rewrite {
					put(t, store, object.Name(rune('a'+i)), "2")
				}
				time.Sleep(2 * time.Second)
				assert.Equal(t, f.sink.get("changed"), "old")
				assert.Equal(t, f.sink.get("lost"), "")
				if rewrite > 0 {
					assert.Equal(t, f.sink.get("a"), "2")
				}
				assert.Equal(t, f.informer.NewestVersion().Era(), object.Era(1))
				put(t, store, "later", "3")
				time.Sleep(500 * time.Millisecond)
				assert.Equal(t, f.sink.get("later"), "3")
			})
		})
	}
}

func TestListOfNewEraMayBeIncomplete(t *testing.T) {
	run(t, func(t *testing.T, ctx context.Context, store *objectapi.Memory) {
		f, backup := lostChangesFixture(t, ctx, store, true)
		store.Restore(backup)
		time.Sleep(1200 * time.Millisecond)
		assert.Equal(t, f.sink.get("changed"), "old")
		f.sink.mu.Lock()
		defer f.sink.mu.Unlock()
		assert.Assert(t, !f.sink.completeAt.IsZero(), "upstreams that the copy lacks would be dropped at once")
	})
}

// An instance that starts as the store has come back from a copy dropped upstreams whose old entries lapsed before they were
// written again.
func TestFirstListOfLaterEraMayBeIncomplete(t *testing.T) {
	run(t, func(t *testing.T, ctx context.Context, store *objectapi.Memory) {
		put(t, store, "old", "1")
		store.Restore(store.Backup())
		f := start(ctx, store, store, nil, true)
		time.Sleep(100 * time.Millisecond)
		assert.Equal(t, f.sink.get("old"), "1")
		f.sink.mu.Lock()
		defer f.sink.mu.Unlock()
		assert.Assert(t, !f.sink.completeAt.IsZero())
	})
}

// An instance that does not watch the store learns of a new era from the others, and lists
// within the time that one lost watch takes.
func TestListenerFindsOutAboutNewEraFromPeers(t *testing.T) {
	run(t, func(t *testing.T, ctx context.Context, store *objectapi.Memory) {
		listener, backup := lostChangesFixture(t, ctx, store, false)
		watcher := start(ctx, objectapi.NewLink(store), store, listener.informer.ReceiveChanges, true)
		time.Sleep(100 * time.Millisecond)
		store.Restore(backup)
		for range 20 {
			time.Sleep(100 * time.Millisecond)
			listener.informer.ObservePeerVersion(time.Now(), watcher.informer.NewestVersion())
		}
		assert.Equal(t, listener.sink.get("changed"), "old")
		assert.Equal(t, listener.sink.get("lost"), "")
		put(t, store, "later", "3")
		time.Sleep(500 * time.Millisecond)
		assert.Equal(t, listener.sink.get("later"), "3", "relayed changes of the new era must be applied")
	})
}

// A relay of the earlier era that arrives late must not undo what was listed in the new one.
func TestLateRelayOfEarlierEraIsIgnored(t *testing.T) {
	run(t, func(t *testing.T, ctx context.Context, store *objectapi.Memory) {
		f, backup := lostChangesFixture(t, ctx, store, false)
		lost, err := store.Get(ctx, kind, "lost")
		assert.NilError(t, err)
		late := Changes{After: lost.Version - 1, Next: lost.Version, Events: []object.Event{{Object: lost}}}
		store.Restore(backup)
		f.informer.ObservePeerVersion(time.Now(), 1<<62)
		time.Sleep(400 * time.Millisecond)
		f.informer.ObservePeerVersion(time.Now(), 1<<62)
		time.Sleep(400 * time.Millisecond)
		assert.Equal(t, f.sink.get("lost"), "")
		f.informer.ReceiveChanges(late)
		time.Sleep(200 * time.Millisecond)
		assert.Equal(t, f.sink.get("lost"), "")
	})
}

// lateSource delays responses, fails or goes on in another era. Its lists that may be stale are not delayed.
type lateSource struct {
	*objectapi.Memory
	delay time.Duration
	fails bool
	era   bool
}

func (s *lateSource) ListAt(ctx context.Context, kind object.Kind) ([]object.Object, object.Version, error) {
	objects, version, err := s.Memory.ListAt(ctx, kind)
	time.Sleep(s.delay)
	return objects, version, err
}

func (s *lateSource) WatchSince(ctx context.Context, kind object.Kind, after object.Version, wait time.Duration) ([]object.Event, object.Version, error) {
	events, next, err := s.Memory.WatchSince(ctx, kind, after, wait)
	time.Sleep(s.delay)
	switch {
	case s.fails:
		return nil, after, object.ErrUnavailable
	case s.era:
		later, eraErr := object.NewVersion(next.Era()+1, next.Revision())
		return events, later, eraErr
	}
	return events, next, err
}

// proofs records the times that responses prove.
type proofs struct {
	began time.Time
	times []time.Duration
}

func (p *proofs) begin() func() {
	calledAt := time.Since(p.began)
	return func() { p.times = append(p.times, calledAt) }
}

// Nothing tells when during a long call its response was made up: the store may have been cut off, or its response have
// lain in the socket of a process that stood still.
func TestResponseProvesTimeAtWhichCallWasSent(t *testing.T) {
	run(t, func(t *testing.T, ctx context.Context, store *objectapi.Memory) {
		put(t, store, "a", "1")
		source, p := &lateSource{Memory: store}, &proofs{began: time.Now()}
		i := New(Settings{Kind: kind, WatchesStore: func() bool { return true }, WatchTimeout: func() time.Duration { return time.Second }, BeginProof: p.begin}, source, &recorder{}, zerolog.Nop())
		assert.NilError(t, i.list(ctx))
		assert.DeepEqual(t, p.times, []time.Duration{0})
		source.delay = 20 * time.Second
		assert.NilError(t, i.watch(ctx, time.Second))
		assert.DeepEqual(t, p.times, []time.Duration{0, 0})
		assert.NilError(t, i.list(ctx))
		assert.DeepEqual(t, p.times[2:], []time.Duration{21 * time.Second})
		put(t, store, "a", "2")
		assert.NilError(t, i.watch(ctx, time.Second))
		assert.DeepEqual(t, p.times[3:], []time.Duration{41 * time.Second})
	})
}

// No proof is a call that failed, a list that may be stale, or a watch that goes on in an older copy of the store.
func TestOtherResponsesProveNothing(t *testing.T) {
	run(t, func(t *testing.T, ctx context.Context, store *objectapi.Memory) {
		put(t, store, "a", "1")
		source, p := &lateSource{Memory: store}, &proofs{began: time.Now()}
		i := New(Settings{Kind: kind, WatchesStore: func() bool { return true }, BeginProof: p.begin}, source, &recorder{}, zerolog.Nop())
		assert.NilError(t, i.list(ctx))
		source.fails = true
		assert.ErrorIs(t, i.watch(ctx, time.Second), object.ErrUnavailable)
		source.fails = false
		assert.NilError(t, i.listUpTo(ctx, i.version))
		source.era = true
		assert.NilError(t, i.watch(ctx, time.Second))
		assert.Equal(t, len(p.times), 1)
	})
}

// An instance that follows others calls the store for a proof only when told to, and a store that doesn't respond to that
// is not called more often.
func TestInstanceThatFollowsCallsStoreForProofOnDemand(t *testing.T) {
	run(t, func(t *testing.T, ctx context.Context, store *objectapi.Memory) {
		put(t, store, "a", "1")
		source, p, needs := &lateSource{Memory: store}, &proofs{began: time.Now()}, false
		i := New(Settings{
			Kind: kind, WatchesStore: func() bool { return false }, BeginProof: p.begin, NeedsProof: func() bool { return needs },
			RetryDelay: func() time.Duration { return time.Second }, WatchTimeout: func() time.Duration { return time.Second },
		}, source, &recorder{}, zerolog.Nop())
		assert.NilError(t, i.step(ctx))
		assert.Equal(t, len(p.times), 1)
		assert.NilError(t, i.step(ctx))
		assert.Equal(t, len(p.times), 1)
		needs = true
		assert.NilError(t, i.step(ctx))
		assert.Equal(t, len(p.times), 2)
		source.fails = true
		assert.NilError(t, i.step(ctx))
		assert.Equal(t, i.failures, 0)
		assert.Equal(t, len(p.times), 2)
	})
}

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

// recorder is a sink that keeps what it is told.
type recorder struct {
	mu       sync.Mutex
	present  map[object.Name]string
	complete time.Time
}

func (r *recorder) Replace(objects []object.Object, complete time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.present, r.complete = make(map[object.Name]string), complete
	for _, o := range objects {
		r.present[o.Name] = string(o.Data)
	}
}

func (r *recorder) Apply(events []object.Event, complete time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.complete = complete
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

type fixture struct {
	store    *objectapi.Memory
	sink     *recorder
	follower *Informer
	watches  bool
}

func start(ctx context.Context, source Source, store *objectapi.Memory, relay func(Changes), watches bool) *fixture {
	f := &fixture{store: store, sink: &recorder{}, watches: watches}
	f.follower = New(Settings{
		Kind: kind, RelistGap: 100, WatchTimeout: func() time.Duration { return time.Second }, WatchPause: func() time.Duration { return 10 * time.Millisecond }, RelayChanges: relay,
		WatchesStore: func() bool { return f.watches }, RetryDelay: func() time.Duration { return 300 * time.Millisecond },
	}, source, f.sink, zerolog.Nop())
	go f.follower.Run(ctx)
	return f
}

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

func run(t *testing.T, test func(t *testing.T, ctx context.Context, store *objectapi.Memory)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		test(t, ctx, objectapi.New(time.Now, objectapi.Limits{}))
		cancel()
		synctest.Wait()
	})
}

func TestChangesAreFollowed(t *testing.T) {
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

func TestAfterLostHistoryAllIsListedAgain(t *testing.T) {
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

// deafSource cuts watches without a sign: they never answer.
type deafSource struct {
	*objectapi.Memory
	mu   sync.Mutex
	deaf bool
}

func (s *deafSource) setDeaf(deaf bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deaf = deaf
}

func (s *deafSource) WatchSince(ctx context.Context, kind object.Kind, after object.Version, wait time.Duration) ([]object.Event, object.Version, error) {
	s.mu.Lock()
	deaf := s.deaf
	s.mu.Unlock()
	if !deaf {
		return s.Memory.WatchSince(ctx, kind, after, wait)
	}
	ctx, cancel := context.WithTimeout(ctx, wait+300*time.Millisecond)
	defer cancel()
	<-ctx.Done()
	return nil, after, object.ErrWatchUnanswered
}

func TestAWatchThatIsDeafIsBegunAgainWhenOthersAreAhead(t *testing.T) {
	run(t, func(t *testing.T, ctx context.Context, store *objectapi.Memory) {
		source := &deafSource{Memory: store}
		put(t, store, "a", "1")
		f := start(ctx, source, store, nil, true)
		time.Sleep(100 * time.Millisecond)
		source.setDeaf(true)
		assert.Assert(t, f.follower.Healthy())
		time.Sleep(2500 * time.Millisecond) // the watch that has begun, and one that is deaf
		assert.Assert(t, !f.follower.Healthy(), "others go on to rely on a watch that is not answered")
		version := put(t, store, "a", "2")
		f.follower.ObservePeerVersion(time.Now(), version)
		source.setDeaf(false)
		time.Sleep(350 * time.Millisecond)
		f.follower.ObservePeerVersion(time.Now(), version)
		time.Sleep(50 * time.Millisecond)
		assert.Equal(t, f.sink.get("a"), "2")
	})
}

func TestAFollowerThatDoesNotWatchTakesWhatOthersTell(t *testing.T) {
	run(t, func(t *testing.T, ctx context.Context, store *objectapi.Memory) {
		put(t, store, "a", "1")
		listener := start(ctx, store, store, nil, false)
		start(ctx, store, store, listener.follower.ReceiveChanges, true)
		time.Sleep(time.Second)
		before := store.Counts().Reads()
		for i := range 20 {
			put(t, store, "a", string(rune('b'+i)))
			_, err := store.Create(t.Context(), "other", object.Name(rune('b'+i)), []byte("x")) // versions rise without changes of the kind
			assert.NilError(t, err)
			time.Sleep(100 * time.Millisecond)
		}
		assert.Equal(t, listener.sink.get("a"), "u")
		reads := store.Counts().Reads() - before - 20 // put reads, too
		assert.Assert(t, reads <= 24, "%d calls for 20 changes at two instances", reads)
	})
}

func TestMissedChangesAreAskedForOnce(t *testing.T) {
	run(t, func(t *testing.T, ctx context.Context, store *objectapi.Memory) {
		put(t, store, "a", "1")
		listener := start(ctx, store, store, nil, false)
		time.Sleep(100 * time.Millisecond)
		put(t, store, "b", "1")
		version := put(t, store, "a", "2")
		before := store.Counts().Reads()
		for range 20 {
			listener.follower.ObservePeerVersion(time.Now(), version)
			time.Sleep(50 * time.Millisecond)
		}
		assert.Equal(t, listener.sink.get("a")+listener.sink.get("b"), "21")
		assert.Equal(t, store.Counts().Reads()-before, uint64(1))
	})
}

func TestWhereOnlyTheNewestCountsItIsListed(t *testing.T) {
	run(t, func(t *testing.T, ctx context.Context, store *objectapi.Memory) {
		put(t, store, "a", "1")
		f := start(ctx, store, store, nil, false)
		f.follower.settings.RelistGap = 0
		time.Sleep(100 * time.Millisecond)
		for i := range 30 {
			put(t, store, "a", string(rune('b'+i)))
		}
		before := store.Counts()
		for range 10 {
			f.follower.ObservePeerVersion(time.Now(), 31)
			time.Sleep(100 * time.Millisecond)
		}
		after := store.Counts()
		assert.Equal(t, f.sink.get("a"), string(rune('b'+29)))
		assert.Equal(t, after.Lists-before.Lists, uint64(1))
		assert.Equal(t, after.Watches, before.Watches)
	})
}

// slowSource answers the call that catches up only after a second, as a slow link does.
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

func TestAnAnswerOverASlowLinkIsNotBrokenOff(t *testing.T) {
	for _, watches := range []bool{true, false} {
		run(t, func(t *testing.T, ctx context.Context, store *objectapi.Memory) {
			source := &slowSource{Memory: store}
			put(t, store, "a", "1")
			f := start(ctx, source, store, nil, watches)
			time.Sleep(100 * time.Millisecond)
			store.DropHistory()
			for range 30 {
				f.follower.ObservePeerVersion(time.Now(), 5) // others are ahead all the while
				time.Sleep(100 * time.Millisecond)
			}
			for range 4 {
				put(t, store, "b", time.Now().String())
				time.Sleep(time.Millisecond)
			}
			for range 30 {
				f.follower.ObservePeerVersion(time.Now(), 5)
				time.Sleep(100 * time.Millisecond)
			}
			assert.Assert(t, f.sink.get("b") != "", "the change is never learnt")
			assert.Assert(t, source.calls < 8, "%d calls", source.calls)
		})
	}
}

func TestChangesThatOthersTellCountWhileTheStoreIsAway(t *testing.T) {
	run(t, func(t *testing.T, ctx context.Context, store *objectapi.Memory) {
		cut := objectapi.NewLink(store)
		put(t, store, "a", "1")
		f := start(ctx, cut, store, nil, true)
		start(ctx, store, store, f.follower.ReceiveChanges, true)
		time.Sleep(100 * time.Millisecond)
		cut.SetFaults(objectapi.LinkFaults{Cut: true})
		time.Sleep(2 * time.Second)
		put(t, store, "a", "2")
		time.Sleep(200 * time.Millisecond)
		assert.Equal(t, f.sink.get("a"), "2")
	})
}

func TestTheStoresReturnIsLearntFromOthers(t *testing.T) {
	run(t, func(t *testing.T, ctx context.Context, store *objectapi.Memory) {
		cut := objectapi.NewLink(store)
		put(t, store, "a", "1")
		f := start(ctx, cut, store, nil, false)
		f.follower.settings.RetryDelay = func() time.Duration { return 20 * time.Second } // of a very large fleet
		time.Sleep(100 * time.Millisecond)
		cut.SetFaults(objectapi.LinkFaults{Cut: true})
		version := put(t, store, "a", "2")
		for range 5 {
			f.follower.ObservePeerVersion(time.Now(), version)
			time.Sleep(200 * time.Millisecond)
		}
		cut.SetFaults(objectapi.LinkFaults{})
		for range 12 {
			f.follower.ObservePeerVersion(time.Now(), version)
			time.Sleep(100 * time.Millisecond)
		}
		assert.Equal(t, f.sink.get("a"), "2")
	})
}

func TestEntriesAreAwaitedOnlyAfterALongAbsence(t *testing.T) {
	for _, c := range []struct {
		away    time.Duration
		awaited bool
	}{{500 * time.Millisecond, false}, {5 * time.Second, true}} {
		run(t, func(t *testing.T, ctx context.Context, store *objectapi.Memory) {
			put(t, store, "a", "1")
			f := start(ctx, store, store, nil, true)
			time.Sleep(100 * time.Millisecond)
			store.SetFaults(objectapi.Faults{Outage: true})
			time.Sleep(c.away)
			store.SetFaults(objectapi.Faults{})
			time.Sleep(time.Second)
			put(t, store, "a", "2")
			time.Sleep(50 * time.Millisecond)
			assert.Equal(t, f.sink.get("a"), "2")
			f.sink.mu.Lock()
			defer f.sink.mu.Unlock()
			assert.Equal(t, !f.sink.complete.IsZero(), c.awaited)
		})
	}
}

// Package storewatch follows the objects of one kind in the platform's store.
package storewatch

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"savoryweir/internal/state/object"
)

// Source is what a follower needs of the store.
type Source interface {
	ListAt(ctx context.Context, kind object.Kind) ([]object.Object, object.Version, error)
	WatchSince(ctx context.Context, kind object.Kind, after object.Version, wait time.Duration) ([]object.Event, object.Version, error)
}

// Sink takes what the store tells.
type Sink interface {
	// Replace takes all objects of the kind. Objects may be missing until complete,
	// as they lapsed while the store was away; the zero time says that none does.
	Replace(objects []object.Object, complete time.Time)
	// Apply takes changes in their order.
	Apply(events []object.Event, complete time.Time)
}

// Settings of a follower.
type Settings struct {
	Kind object.Kind
	// Wait returns the longest wait of the next watch; a watch that has gone silent
	// is noticed no later than this.
	Wait func() time.Duration
	// Pause is kept between two watches, so that changes in quick succession come
	// with one call.
	Pause time.Duration
}

const (
	retryFirst = 100 * time.Millisecond
	retryMost  = time.Second
	// awayTime is how long after the store's return its lists may lack entries
	// that lapsed while it was away; the platform's contract gives about two
	// seconds, and as many for the last request to an upstream that is gone.
	awayTime = 1800 * time.Millisecond
	// lapseTime is the shortest absence in which an entry can lapse: two of the
	// three heartbeats after which it does, as the first may have been due before.
	lapseTime = 2 * time.Second
)

// Follower follows one kind.
type Follower struct {
	settings Settings
	source   Source
	sink     Sink
	log      zerolog.Logger

	version    object.Version // zero when a list is needed
	failures   int
	silent     bool          // the last watch was not answered
	lostAt     time.Time     // of the first failure in a row
	returnedAt time.Time     // end of the last absence in which entries can have lapsed
	newest     atomic.Uint64 // version of the newest object seen

	mu        sync.Mutex // guards the two below
	behind    time.Time  // since when others have seen newer objects
	interrupt context.CancelCauseFunc
}

// pokeDelay is how long another instance may be ahead before a watch is taken for
// silent: an answer of the store, and the pause between two watches.
const pokeDelay = 300 * time.Millisecond

var errBehind = errors.New("other instances have seen newer objects")

// Newest returns the version of the newest object seen.
func (f *Follower) Newest() object.Version { return object.Version(f.newest.Load()) }

// Compare takes the version of the newest object that another instance has seen.
// A watch that stays behind is given up and begun again.
func (f *Follower) Compare(now time.Time, theirs object.Version) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case theirs <= f.Newest():
	case f.behind.IsZero():
		f.behind = now
	case now.Sub(f.behind) > pokeDelay && f.interrupt != nil:
		f.interrupt(errBehind)
		f.behind = time.Time{}
	}
}

func (f *Follower) saw(objects ...object.Object) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, o := range objects {
		f.newest.Store(max(f.newest.Load(), uint64(o.Version)))
	}
	f.behind = time.Time{}
}

// watching returns a context that Compare can end.
func (f *Follower) watching(ctx context.Context) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	f.mu.Lock()
	f.interrupt = cancel
	f.mu.Unlock()
	return ctx, func() { cancel(nil) }
}

// New returns a follower; Run starts it.
func New(s Settings, source Source, sink Sink, log zerolog.Logger) *Follower {
	return &Follower{settings: s, source: source, sink: sink, log: log.With().Str("kind", string(s.Kind)).Logger()}
}

// Run follows the kind until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if err := f.step(ctx); err != nil {
			f.failed(ctx, err)
			continue
		}
		sleep(ctx, f.settings.Pause)
	}
}

func (f *Follower) step(ctx context.Context) error {
	if f.version == 0 {
		objects, version, err := f.source.ListAt(ctx, f.settings.Kind)
		if err != nil {
			return err
		}
		f.succeeded()
		f.version = version
		f.saw(objects...)
		f.sink.Replace(objects, f.complete())
		f.log.Debug().Str("event", "store.listed").Uint64("version", uint64(version)).Int("objects", len(objects)).Msg("objects listed")
		return nil
	}
	watching, done := f.watching(ctx)
	defer done()
	events, next, err := f.source.WatchSince(watching, f.settings.Kind, f.version, f.settings.Wait())
	if err != nil && errors.Is(context.Cause(watching), errBehind) {
		f.log.Info().Str("event", "store.behind").Uint64("version", uint64(f.version)).Uint64("newest", f.newest.Load()).Msg("watch was silent, beginning it again")
		return nil
	}
	if errors.Is(err, object.ErrSilent) && !f.silent {
		f.silent = true // once: a store that stays silent is lost
		f.log.Info().Str("event", "store.silent").Uint64("version", uint64(f.version)).Msg("watch was not answered, beginning it again")
		return nil
	}
	if errors.Is(err, object.ErrHistoryGone) {
		f.log.Info().Str("event", "store.history_gone").Uint64("version", uint64(f.version)).Msg("history is gone, listing again")
		f.version = 0
		return nil
	}
	if err != nil {
		return err
	}
	f.succeeded()
	f.version, f.silent = next, false
	if len(events) > 0 {
		for _, e := range events {
			f.saw(e.Object)
		}
		f.sink.Apply(events, f.complete())
	}
	return nil
}

// complete returns until when objects may be missing that lapsed while the store
// was away.
func (f *Follower) complete() time.Time {
	if until := f.returnedAt.Add(awayTime); !f.returnedAt.IsZero() && time.Now().Before(until) {
		return until
	}
	return time.Time{}
}

func (f *Follower) succeeded() {
	if f.failures == 0 {
		return
	}
	now := time.Now()
	f.log.Warn().Str("event", "store.regained").Int("failures", f.failures).Dur("away", now.Sub(f.lostAt)).Msg("store answers again")
	f.failures = 0
	if now.Sub(f.lostAt) > lapseTime {
		f.returnedAt = now
	}
}

func (f *Follower) failed(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	if f.failures == 0 {
		f.lostAt = time.Now()
		f.log.Warn().Err(err).Str("event", "store.lost").Uint64("version", uint64(f.version)).Msg("store does not answer")
	}
	f.failures++
	wait := min(retryFirst<<min(f.failures-1, 5), retryMost)
	sleep(ctx, wait/2+rand.N(wait))
}

func sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

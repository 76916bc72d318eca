// Package storewatch follows the objects of one kind in the platform's store. A
// follower watches the store itself, or takes the changes that other instances
// tell and asks the store only for what it has missed: the store counts each call.
package storewatch

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/rs/zerolog"

	"savoryweir/internal/pause"
	"savoryweir/internal/queue"
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
	// Apply takes changes. What is older than what is known by the version of the
	// object changes nothing.
	Apply(events []object.Event, complete time.Time)
}

// Changes are all changes of a kind after one version of the store up to another.
type Changes struct {
	After, Next object.Version
	Events      []object.Event
}

// Settings of a follower.
type Settings struct {
	Kind object.Kind
	// WatchTimeout returns the longest wait of the next watch; a watch that has gone silent
	// is noticed no later than this.
	WatchTimeout func() time.Duration
	// WatchPause returns the pause before the next watch, so that changes in quick
	// succession come with one call.
	WatchPause func() time.Duration
	// WatchesStore reports whether this instance watches the store itself.
	WatchesStore func() bool
	// RelayChanges is given what this instance has seen in the store; nil if nobody is told.
	RelayChanges func(Changes)
	// RelistGap is the number of versions from which on a list is shorter than the
	// changes since.
	RelistGap object.Version
	// RetryDelay returns the pause before the next call to a store that does not answer.
	RetryDelay func() time.Duration
}

const (
	// awayTime is how long after the store's return its lists may lack entries
	// that lapsed while it was away; the platform's contract gives about two
	// seconds, and as many for the last request to an upstream that is gone.
	awayTime = 1800 * time.Millisecond
	// lapseTime is the shortest absence in which an entry can lapse: two of the
	// three heartbeats after which it does, as the first may have been due before.
	lapseTime = 2 * time.Second
	// behindDelay is how long others may be ahead before this instance asks the
	// store itself: a datagram's way, an answer of the store and a pause between
	// two watches.
	behindDelay = 300 * time.Millisecond
	// behindRetry is the least time between two calls to a store that did not
	// answer, though it answers others.
	behindRetry = time.Second
	// listenInterval is the time between two looks at whether this instance is
	// behind or has to watch itself.
	listenInterval = 100 * time.Millisecond
	// relayed bounds the changes of other instances that wait to be taken.
	relayed = 64
)

// Informer follows one kind.
type Informer struct {
	settings Settings
	source   Source
	sink     Sink
	log      zerolog.Logger
	told     *queue.Queue[Changes]
	progress progress

	version    object.Version // up to which all is known, zero when a list is needed
	changed    object.Version // at the last change; nothing has changed from there to version
	failures   int
	silent     bool      // the last watch was not answered
	lostAt     time.Time // of the first failure in a row
	returnedAt time.Time // end of the last absence in which entries can have lapsed
}

// New returns a follower; Run starts it.
func New(s Settings, source Source, sink Sink, log zerolog.Logger) *Informer {
	return &Informer{
		settings: s, source: source, sink: sink, log: log.With().Str("kind", string(s.Kind)).Logger(),
		told: queue.New[Changes](relayed),
	}
}

// NewestVersion returns the version of the newest object seen.
func (f *Informer) NewestVersion() object.Version { return f.progress.newestSeen() }

// ObservePeerVersion takes the version of the newest object that another instance has seen.
// A follower that stays behind asks the store.
func (f *Informer) ObservePeerVersion(now time.Time, theirs object.Version) {
	f.progress.compare(now, theirs)
}

// ReceiveChanges takes changes that another instance has seen in the store.
func (f *Informer) ReceiveChanges(c Changes) {
	if f.settings.WatchesStore() && f.Healthy() {
		return // it sees them itself
	}
	if !f.told.Offer(c) {
		f.log.Info().Str("event", "store.told_dropped").Msg("changes told by another instance were dropped")
	}
}

// Healthy reports whether the store answered the last call.
func (f *Informer) Healthy() bool { return f.progress.isHealthy() }

// Run follows the kind until ctx ends.
func (f *Informer) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if err := f.step(ctx); err != nil {
			f.failed(ctx, err)
		}
	}
}

func (f *Informer) step(ctx context.Context) error {
	switch {
	case f.version == 0:
		return f.list(ctx)
	case f.progress.isBehind(time.Now()):
		return f.catchUp(ctx)
	case f.settings.WatchesStore() || f.failures > 0:
		watching, done := f.progress.begin(ctx)
		defer done()
		if err := f.watch(watching, f.settings.WatchTimeout()); err != nil {
			return err
		}
		pause.For(ctx, f.settings.WatchPause())
		return nil
	default:
		f.listen(ctx)
		return nil
	}
}

// catchUp asks the store for what others have seen. Nothing breaks this call off:
// over a slow link the answer takes longer than the time after which an instance
// counts as behind.
func (f *Informer) catchUp(ctx context.Context) error {
	gap := f.progress.gap()
	f.log.Info().Str("event", "store.behind").Uint64("version", uint64(f.version)).Uint64("by", uint64(gap)).Msg("others have seen newer objects, asking the store")
	f.progress.asked(time.Now())
	if gap > f.settings.RelistGap {
		return f.list(ctx)
	}
	return f.watch(ctx, 0) // answered at once
}

func (f *Informer) list(ctx context.Context) error {
	objects, version, err := f.source.ListAt(ctx, f.settings.Kind)
	if err != nil {
		return err
	}
	f.succeeded()
	f.changed = version
	f.advance(version, objects...)
	f.sink.Replace(objects, f.complete())
	f.log.Debug().Str("event", "store.listed").Uint64("version", uint64(version)).Int("objects", len(objects)).Msg("objects listed")
	return nil
}

// watch waits for changes and takes them. The context ends with errBehind where
// others are ahead.
func (f *Informer) watch(ctx context.Context, wait time.Duration) error {
	events, next, err := f.source.WatchSince(ctx, f.settings.Kind, f.version, wait)
	switch {
	case err != nil && errors.Is(context.Cause(ctx), errBehind):
		return nil // what is missing is asked for next
	case errors.Is(err, object.ErrWatchUnanswered) && !f.silent:
		f.silent = true // once: a store that stays silent is lost
		f.progress.setHealthy(false)
		f.log.Info().Str("event", "store.silent").Uint64("version", uint64(f.version)).Msg("watch was not answered, beginning it again")
		return nil
	case errors.Is(err, object.ErrHistoryGone):
		f.log.Info().Str("event", "store.history_gone").Uint64("version", uint64(f.version)).Msg("history is gone, listing again")
		f.version = 0
		return nil
	case err != nil:
		return err
	}
	f.succeeded()
	f.silent = false
	f.take(Changes{After: f.version, Next: next, Events: events}, f.settings.RelayChanges)
	return nil
}

// listen waits for changes told by other instances.
func (f *Informer) listen(ctx context.Context) { f.rest(ctx, listenInterval) }

// rest passes a time in which the store is not called, and takes what other
// instances tell meanwhile.
func (f *Informer) rest(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	for {
		select {
		case c := <-f.told.C():
			f.takeTold(c)
		case <-timer.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

// restUnlessBehind rests until the next call to a store that did not answer. If
// others have seen something newer meanwhile, the store is back, at least for them:
// then the rest is short.
func (f *Informer) restUnlessBehind(ctx context.Context, d time.Duration) {
	for rested := time.Duration(0); rested < d && ctx.Err() == nil; rested += listenInterval {
		if rested >= behindRetry && f.progress.isBehind(time.Now()) {
			return
		}
		f.rest(ctx, min(listenInterval, d-rested))
	}
}

// takeTold takes changes of another instance. Where changes before them are missing
// they count, too, but the store is asked for all since the last version known.
func (f *Informer) takeTold(c Changes) {
	c.Events = newer(c.Events, f.version)
	if c.After <= f.version {
		f.take(c, nil)
		return
	}
	if len(c.Events) > 0 {
		f.sink.Apply(c.Events, f.complete())
	}
}

func newer(events []object.Event, than object.Version) []object.Event {
	var left []object.Event
	for _, e := range events {
		if e.Object.Version > than {
			left = append(left, e)
		}
	}
	return left
}

// take applies changes and tells others of them.
func (f *Informer) take(c Changes, relay func(Changes)) {
	objects := make([]object.Object, 0, len(c.Events))
	for _, e := range c.Events {
		objects = append(objects, e.Object)
	}
	f.advance(max(c.Next, f.version), objects...)
	if len(c.Events) == 0 {
		return
	}
	f.sink.Apply(c.Events, f.complete())
	if relay != nil {
		relay(Changes{After: f.changed, Next: c.Next, Events: c.Events})
	}
	f.changed = f.version
}

func (f *Informer) advance(version object.Version, objects ...object.Object) {
	f.version = version
	f.progress.advance(version, objects)
}

// complete returns until when objects may be missing that lapsed while the store
// was away.
func (f *Informer) complete() time.Time {
	if until := f.returnedAt.Add(awayTime); !f.returnedAt.IsZero() && time.Now().Before(until) {
		return until
	}
	return time.Time{}
}

func (f *Informer) succeeded() {
	f.progress.setHealthy(true)
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

func (f *Informer) failed(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	f.progress.setHealthy(false)
	if f.failures == 0 {
		f.lostAt = time.Now()
		f.log.Warn().Err(err).Str("event", "store.lost").Uint64("version", uint64(f.version)).Msg("store does not answer")
	}
	f.failures++
	wait := f.settings.RetryDelay()
	f.restUnlessBehind(ctx, wait/2+rand.N(wait))
}

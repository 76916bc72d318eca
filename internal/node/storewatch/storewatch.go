// Package storewatch keeps track of the objects of one kind in the platform's store. An
// informer either watches the store itself, or applies the changes that other instances
// relay and calls the store only for changes it has missed. The latter saves calls,
// because the store meters every call.
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

// Source is the part of the store that an informer uses.
type Source interface {
	ListAt(ctx context.Context, kind object.Kind) ([]object.Object, object.Version, error)
	// ListStaleAt may return the objects as they were some seconds ago.
	ListStaleAt(ctx context.Context, kind object.Kind) ([]object.Object, object.Version, error)
	WatchSince(ctx context.Context, kind object.Kind, after object.Version, wait time.Duration) ([]object.Event, object.Version, error)
}

// Sink receives the objects and changes of the store.
type Sink interface {
	// Replace receives all objects of the kind. Until completeAt, objects may be missing
	// that lapsed while the store was unavailable; the zero time means that none are.
	Replace(objects []object.Object, completeAt time.Time)
	// Apply receives changes. It must ignore a change whose object version is older than
	// the known version of the object.
	Apply(events []object.Event, completeAt time.Time)
}

// Changes holds all changes of a kind after one version of the store, up to and including
// another.
type Changes struct {
	After, Next object.Version
	Events      []object.Event
}

// Settings holds the configuration of an informer.
type Settings struct {
	Kind object.Kind
	// WatchTimeout returns the longest duration of the next watch. A watch that the store
	// no longer answers is detected after this time.
	WatchTimeout func() time.Duration
	// WatchPause returns the delay before the next watch, so that one call returns several
	// changes in quick succession.
	WatchPause func() time.Duration
	// WatchesStore reports whether this instance watches the store itself.
	WatchesStore func() bool
	// RelayChanges receives the changes that this instance has seen in the store, to send
	// them to other instances. It is nil if they are not relayed.
	RelayChanges func(Changes)
	// RelistGap is the number of missing changes above which a list of all objects is
	// shorter than the changes.
	RelistGap uint64
	// RetryDelay returns the mean delay before the next call to a store that does not
	// respond.
	RetryDelay func() time.Duration
	// BeginProof is called before each call to the store. The function that it returns is called when the sink has
	// got all changes until then. It is nil if nobody needs that.
	BeginProof func() (prove func())
	// NeedsProof reports whether an instance that doesn't watch the store calls it now for a proof. It may be nil.
	NeedsProof func() bool
}

const (
	// recoveryTime is how long after an outage of the store its lists may lack entries
	// that lapsed during the outage. The platform's contract allows about two seconds,
	// and another two for the last request to an upstream that is gone.
	recoveryTime = 1800 * time.Millisecond
	// minLapseOutage is the shortest outage in which an entry can lapse: two of the three
	// missed heartbeats that it takes, as the first may have been due before the outage.
	minLapseOutage = 2 * time.Second
	// catchUpDelay is how long other instances may be ahead before this instance calls the
	// store: the delivery of a datagram, a response of the store and the pause between two
	// watches.
	catchUpDelay = 300 * time.Millisecond
	// catchUpRetryDelay is the shortest time between two calls to a store that did not
	// respond to this instance although it responds to others.
	catchUpRetryDelay = time.Second
	// checkInterval is the time between two checks whether this instance is behind or has
	// to watch the store itself.
	checkInterval = 100 * time.Millisecond
	// maxQueuedChanges bounds the queue of changes relayed by other instances.
	maxQueuedChanges = 64
)

// Informer keeps a Sink up to date with the objects of one kind.
type Informer struct {
	settings    Settings
	source      Source
	sink        Sink
	log         zerolog.Logger
	peerChanges *queue.Queue[Changes]
	progress    progress

	version           object.Version // version up to which all changes are known
	needsList         bool           // all objects must be listed, because changes after version are missing
	lastChangeVersion object.Version // version after the last change; there are no changes between it and version
	failures          int            // consecutive failed calls
	watchUnanswered   bool           // the last watch was not answered
	outageStart       time.Time      // time of the first of the consecutive failures
	outageEnd         time.Time      // end of the last outage in which entries can have lapsed
}

// New returns an informer; Run starts it.
func New(s Settings, source Source, sink Sink, log zerolog.Logger) *Informer {
	return &Informer{
		settings: s, source: source, sink: sink, log: log.With().Str("kind", string(s.Kind)).Logger(),
		peerChanges: queue.New[Changes](maxQueuedChanges), needsList: true,
	}
}

// NewestVersion returns the version of the newest object seen.
func (i *Informer) NewestVersion() object.Version { return i.progress.newestVersion() }

// Version returns the version up to which all changes are known.
func (i *Informer) Version() object.Version { return i.progress.knownVersion() }

// ObservePeerVersion records the version of the newest object that another instance has
// seen. An informer that stays behind it calls the store to catch up.
func (i *Informer) ObservePeerVersion(now time.Time, peerVersion object.Version) {
	i.progress.observePeerVersion(now, peerVersion)
}

// ReceiveChanges queues changes that another instance has seen in the store. An informer
// that watches the store successfully ignores them.
func (i *Informer) ReceiveChanges(c Changes) {
	if i.settings.WatchesStore() && i.Healthy() {
		return // the watch returns the same changes
	}
	if !i.peerChanges.Offer(c) {
		i.log.Info().Str("event", "store.told_dropped").Msg("changes relayed by another instance dropped; the queue is full")
	}
}

// Healthy reports whether the store responded to the last call.
func (i *Informer) Healthy() bool { return i.progress.isHealthy() }

// HasListed reports whether the sink has got all objects once. Before that it may have got some, from
// other instances.
func (i *Informer) HasListed() bool { return i.progress.isListed() }

// Run lists, watches and applies relayed changes until ctx ends.
func (i *Informer) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if err := i.step(ctx); err != nil {
			i.handleFailure(ctx, err)
		}
	}
}

// step makes the next call to the store or, if none is due, applies relayed changes.
func (i *Informer) step(ctx context.Context) error {
	switch {
	case i.needsList:
		return i.list(ctx)
	case i.progress.isBehind(time.Now()):
		return i.catchUp(ctx)
	case i.needsProof():
		return i.checkCurrent(ctx)
	case i.settings.WatchesStore() || i.failures > 0:
		watchCtx, done := i.progress.beginWatch(ctx)
		defer done()
		if err := i.watch(watchCtx, i.settings.WatchTimeout()); err != nil {
			return err
		}
		pause.For(ctx, i.settings.WatchPause())
		return nil
	default:
		i.awaitPeerChanges(ctx)
		return nil
	}
}

// needsProof reports whether to call the store only for a proof that all changes are known.
func (i *Informer) needsProof() bool {
	return i.settings.NeedsProof != nil && i.failures == 0 && !i.settings.WatchesStore() && i.settings.NeedsProof()
}

// checkCurrent requests the changes since the last known ones. If the store doesn't respond, others may still have a proof, so
// that the store is not called more often than without that.
func (i *Informer) checkCurrent(ctx context.Context) error {
	i.log.Info().Str("event", "store.proof").Stringer("version", i.version).Msg("no other instance has told in time that there are no newer objects; asking the store")
	if err := i.watch(ctx, 0); err != nil && ctx.Err() == nil {
		i.log.Info().Err(err).Str("event", "store.unproven").Stringer("version", i.version).Msg("the store does not tell whether there are newer objects")
		i.awaitPeerChanges(ctx)
	}
	return nil
}

// beginProof returns what to call when the sink has got all changes until now.
func (i *Informer) beginProof() func() {
	if i.settings.BeginProof == nil {
		return func() {}
	}
	return i.settings.BeginProof()
}

// catchUp requests the changes that other instances have already seen. Being behind does
// not cancel this call: over a slow link the response takes longer than catchUpDelay.
func (i *Informer) catchUp(ctx context.Context) error {
	lag := i.progress.lag()
	i.log.Info().Str("event", "store.behind").Stringer("version", i.version).Uint64("by", lag).Msg("other instances have seen newer objects; requesting the missing changes")
	i.progress.recordCatchUp(time.Now())
	if lag > i.settings.RelistGap {
		return i.listUpTo(ctx, i.progress.newestPeerVersion())
	}
	return i.watch(ctx, 0) // the store responds at once
}

// listUpTo lists all objects as of a known version or later. It first tries a list that may
// be stale, as that is cheaper.
func (i *Informer) listUpTo(ctx context.Context, known object.Version) error {
	objects, version, err := i.source.ListStaleAt(ctx, i.settings.Kind)
	if err != nil || version < known {
		return i.list(ctx)
	}
	i.replaceAll(objects, version)
	return nil
}

func (i *Informer) list(ctx context.Context) error {
	prove := i.beginProof()
	objects, version, err := i.source.ListAt(ctx, i.settings.Kind)
	if err != nil {
		return err
	}
	i.replaceAll(objects, version)
	prove()
	return nil
}

// replaceAll passes a list of all objects at a version to the sink.
func (i *Informer) replaceAll(objects []object.Object, version object.Version) {
	i.recordSuccess()
	i.recordEra(version)
	i.lastChangeVersion = version
	i.needsList = false
	i.advance(version, objects...)
	i.sink.Replace(objects, i.completeAt())
	i.progress.setListed()
	i.log.Debug().Str("event", "store.listed").Stringer("version", version).Int("objects", len(objects)).Msg("listed all objects")
}

// watch waits for changes and applies them. It returns nil if ctx was canceled with
// errBehind, because other instances are ahead.
func (i *Informer) watch(ctx context.Context, wait time.Duration) error {
	prove := i.beginProof()
	events, next, err := i.source.WatchSince(ctx, i.settings.Kind, i.version, wait)
	switch {
	case err != nil && errors.Is(context.Cause(ctx), errBehind):
		return nil // step requests the missing changes next
	case errors.Is(err, object.ErrWatchUnanswered) && !i.watchUnanswered:
		i.watchUnanswered = true // tolerated once; a second unanswered watch counts as a failure of the store
		i.progress.setHealthy(false)
		i.log.Info().Str("event", "store.silent").Stringer("version", i.version).Msg("the store did not answer the watch; starting it again")
		return nil
	case errors.Is(err, object.ErrHistoryGone):
		i.log.Info().Str("event", "store.history_gone").Stringer("version", i.version).Msg("the store no longer has the history since this version; listing all objects")
		i.needsList = true
		return nil
	case err != nil:
		return err
	}
	i.recordSuccess()
	i.watchUnanswered = false
	if next.Era() != i.version.Era() {
		i.needsList = true // the revision that the watch began from may stand for other changes now
		return nil
	}
	i.applyChanges(Changes{After: i.version, Next: next, Events: events}, i.settings.RelayChanges)
	prove()
	return nil
}

// awaitPeerChanges applies the changes that other instances relay during one
// checkInterval.
func (i *Informer) awaitPeerChanges(ctx context.Context) { i.applyPeerChangesFor(ctx, checkInterval) }

// applyPeerChangesFor applies the changes that other instances relay during d. It does
// not call the store.
func (i *Informer) applyPeerChangesFor(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	for {
		select {
		case c := <-i.peerChanges.C():
			i.applyPeerChanges(c)
		case <-timer.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

// awaitRetry waits for d before the next call to a store that did not respond. If other
// instances have seen newer objects in the meantime, the store responds again, at least
// to them, and the wait ends after catchUpRetryDelay.
func (i *Informer) awaitRetry(ctx context.Context, d time.Duration) {
	for waited := time.Duration(0); waited < d && ctx.Err() == nil; waited += checkInterval {
		if waited >= catchUpRetryDelay && i.progress.isBehind(time.Now()) {
			return
		}
		i.applyPeerChangesFor(ctx, min(checkInterval, d-waited))
	}
}

// applyPeerChanges applies changes that another instance has relayed. If changes before
// them are missing, they are applied too, but the known version stays as it is, so that
// the store is asked for all changes since.
func (i *Informer) applyPeerChanges(c Changes) {
	c.Events = eventsAfter(c.Events, i.version)
	if c.After <= i.version && c.Next.Era() == i.version.Era() {
		i.applyChanges(c, nil)
		return
	}
	if len(c.Events) > 0 {
		i.sink.Apply(c.Events, i.completeAt())
	}
}

// eventsAfter returns the events whose objects are newer than a version.
func eventsAfter(events []object.Event, version object.Version) []object.Event {
	var after []object.Event
	for _, e := range events {
		if e.Object.Version > version {
			after = append(after, e)
		}
	}
	return after
}

// applyChanges applies changes and relays them to the other instances unless relay is
// nil.
func (i *Informer) applyChanges(c Changes, relay func(Changes)) {
	objects := make([]object.Object, 0, len(c.Events))
	for _, e := range c.Events {
		objects = append(objects, e.Object)
	}
	i.advance(max(c.Next, i.version), objects...)
	if len(c.Events) == 0 {
		return
	}
	i.sink.Apply(c.Events, i.completeAt())
	if relay != nil {
		relay(Changes{After: i.lastChangeVersion, Next: c.Next, Events: c.Events})
	}
	i.lastChangeVersion = i.version
}

func (i *Informer) advance(version object.Version, objects ...object.Object) {
	i.version = version
	i.progress.advance(version, objects)
}

// recordEra notes that the store has come back from an older copy if the version of a list is
// of a later era than the changes known before, or the first list of all is not of the first era.
// Upstreams that the copy lacks, or whose entries in it are old, write their entries again, so
// the list may be incomplete like one after an outage.
func (i *Informer) recordEra(listed object.Version) {
	if listed.Era() == i.version.Era() {
		return
	}
	i.outageEnd = time.Now()
	i.log.Warn().Str("event", "store.era").Stringer("version", listed).Stringer("before", i.version).Msg("the store came back from an older copy; all objects were listed again")
}

// completeAt returns the time until which objects may be missing that lapsed during an
// outage of the store; zero if none are.
func (i *Informer) completeAt() time.Time {
	if until := i.outageEnd.Add(recoveryTime); !i.outageEnd.IsZero() && time.Now().Before(until) {
		return until
	}
	return time.Time{}
}

// recordSuccess notes that the store responded and, after failures, the end of the outage.
func (i *Informer) recordSuccess() {
	i.progress.setHealthy(true)
	if i.failures == 0 {
		return
	}
	now := time.Now()
	i.log.Warn().Str("event", "store.regained").Int("failures", i.failures).Dur("away", now.Sub(i.outageStart)).Msg("the store responds again")
	i.failures = 0
	if now.Sub(i.outageStart) > minLapseOutage {
		i.outageEnd = now
	}
}

// handleFailure notes that the store did not respond, and waits before the next call.
func (i *Informer) handleFailure(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	i.progress.setHealthy(false)
	if i.failures == 0 {
		i.outageStart = time.Now()
		i.log.Warn().Err(err).Str("event", "store.lost").Stringer("version", i.version).Msg("the store does not respond")
	}
	i.failures++
	delay := i.settings.RetryDelay()
	i.awaitRetry(ctx, delay/2+rand.N(delay))
}

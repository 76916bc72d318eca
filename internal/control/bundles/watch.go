package bundles

import (
	"context"
	"errors"
	"time"

	"savoryweir/internal/errs"
	"savoryweir/internal/protocol/approvalfile"
	"savoryweir/internal/protocol/bundlefile"
	"savoryweir/internal/state/bundle"
	"savoryweir/internal/state/object"
	"savoryweir/internal/state/timeline"
	"savoryweir/internal/transport/bundlestore"
)

// storeSource fetches sections from the store.
type storeSource struct{ store PointerStore }

// pollRetryFactor is the longest wait after failed reads of the pointer by an instance
// that polls, in poll intervals.
const pollRetryFactor = 6

// storePeer is the name of the store in errors.
const storePeer errs.Peer = "store"

// Peer implements SectionSource.
func (s storeSource) Peer() errs.Peer { return storePeer }

// FetchSections implements SectionSource. It falls back to the pointer for a hash that
// is no section, since the data of an approval is stored in the pointer.
func (s storeSource) FetchSections(ctx context.Context, hashes []bundle.Hash) ([]bundlefile.Section, error) {
	var sections []bundlefile.Section
	for _, hash := range hashes {
		o, err := s.store.Get(ctx, approvalfile.KindSection, approvalfile.SectionName(hash))
		if errors.Is(err, object.ErrNotFound) {
			o, err = s.store.Get(ctx, approvalfile.KindPointer, approvalfile.PointerName)
		}
		if errors.Is(err, object.ErrNotFound) {
			continue
		}
		if err != nil {
			return sections, errs.Wrap(err, "fetch bundle section", storePeer)
		}
		sections = append(sections, bundlefile.NewSection(o.Data))
	}
	return sections, nil
}

// pointerSource is a SectionSource that returns the approval read with the pointer and
// fetches everything else from the store.
type pointerSource struct {
	storeSource
	approval bundlefile.Section
}

// FetchSections implements SectionSource.
func (s pointerSource) FetchSections(ctx context.Context, hashes []bundle.Hash) ([]bundlefile.Section, error) {
	var rest []bundle.Hash
	var sections []bundlefile.Section
	for _, hash := range hashes {
		if hash == s.approval.Hash {
			sections = append(sections, s.approval)
			continue
		}
		rest = append(rest, hash)
	}
	fetched, err := s.storeSource.FetchSections(ctx, rest)
	return append(sections, fetched...), err
}

// followPointer watches the pointer while this instance is a watcher and polls it
// otherwise. The poll limits how long an instance that no peer reaches stays on an old
// generation.
func (m *Manager) followPointer(ctx context.Context) error {
	wait := m.settings.RetryMin
	after, err := m.readPointer(ctx)
	for ctx.Err() == nil {
		watching, watchingChanged := m.watchState()
		switch {
		case err != nil:
			m.metrics.watchErrors.Inc()
			m.log.Warn().Err(err).Msg("Latest approval not read from the store; the read will be retried.")
			sleepOrWake(ctx, m.jitter(wait), nil)
			wait = min(2*wait, m.longestRetry(watching))
			after, err = m.readPointer(ctx)
			continue
		case watching && m.options.Keys.Policy() == m.lastReadPolicy:
			after, err = m.watchPointer(ctx, after)
		case watching: // the new policy may accept an approval that was rejected under the former one
			after, err = m.readPointer(ctx)
		default:
			sleepOrWake(ctx, m.settings.PollInterval/2+m.jitter(m.settings.PollInterval), watchingChanged)
			after, err = m.readPointer(ctx)
		}
		if err == nil {
			wait = m.settings.RetryMin
		}
	}
	return nil
}

// longestRetry returns the longest wait between retries. It is short only for the few
// watchers, so that the other instances do not overload a store that recovers from an
// outage.
func (m *Manager) longestRetry(watching bool) time.Duration {
	if watching {
		return m.settings.RetryMax
	}
	return pollRetryFactor * m.settings.PollInterval
}

// jitter returns a random time up to wait, so that instances do not call the store at
// the same time.
func (m *Manager) jitter(wait time.Duration) time.Duration {
	return time.Duration(m.options.Rand.Int64N(int64(wait) + 1))
}

// sleepOrWake waits until d has passed, wake is closed or ctx ends.
func sleepOrWake(ctx context.Context, d time.Duration, wake <-chan struct{}) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-wake:
	case <-ctx.Done():
	}
}

// readPointer reads the pointer, offers its approval and returns its version, or 0 if
// there is no pointer yet.
func (m *Manager) readPointer(ctx context.Context) (object.Version, error) {
	m.lastReadPolicy = m.options.Keys.Policy()
	o, err := m.options.Store.Get(ctx, approvalfile.KindPointer, approvalfile.PointerName)
	if errors.Is(err, object.ErrNotFound) {
		return 0, nil
	}
	if err != nil {
		return 0, errs.Wrap(err, "read bundle pointer", storePeer)
	}
	return o.Version, m.offerPointer(ctx, o)
}

// watchPointer waits for changes of the pointer after the given version, offers their
// approvals and returns the version from which to continue.
func (m *Manager) watchPointer(ctx context.Context, after object.Version) (object.Version, error) {
	events, next, err := m.options.Store.Watch(ctx, approvalfile.KindPointer, after, m.settings.WatchWait)
	if err != nil {
		return after, errs.Wrap(err, "watch bundle pointer", storePeer)
	}
	for _, e := range events {
		if e.Deleted || e.Object.Name != approvalfile.PointerName {
			continue
		}
		if err := m.offerPointer(ctx, e.Object); err != nil {
			return after, err
		}
	}
	return next, nil
}

// offerPointer offers the head of the latest approval that is signed as the policy
// requires.
func (m *Manager) offerPointer(ctx context.Context, o object.Object) error {
	latest, err := bundlestore.LatestSigned(ctx, m.options.Store, *m.options.Keys.Policy(), o, m.Head().Generation)
	for _, refused := range latest.Rejected {
		m.metrics.refused.Inc()
		m.log.Error().Err(refused.Cause).Uint64("generation", uint64(refused.Head.Generation)).Msg("Approval rejected; it is not signed as the policy requires.")
		m.record(timeline.KindBundleRefused, refused.Head, refused.Cause.Error())
	}
	if err != nil {
		return err
	}
	m.Offer(latest.Head(), pointerSource{storeSource: m.store, approval: bundlefile.NewSection(latest.Data())})
	return nil
}

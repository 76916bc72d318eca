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

// pollRetryFactor is the longest wait between failed reads by an instance that does
// not watch, in poll intervals.
const pollRetryFactor = 6

// storePeer names the store in errors.
const storePeer errs.Peer = "store"

// Peer implements SectionSource.
func (s storeSource) Peer() errs.Peer { return storePeer }

// FetchSections implements SectionSource. An approval is the data of the pointer.
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

// pointerSource gives the approval that was read with the pointer, and the rest from the store.
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

// followPointer watches the pointer while this instance is a watcher, and else reads
// it now and then, which bounds how long an instance that hears no peer stays behind.
func (m *Manager) followPointer(ctx context.Context) error {
	wait := m.settings.RetryMin
	after, err := m.readPointer(ctx)
	for ctx.Err() == nil {
		watching, rewatch := m.watchState()
		switch {
		case err != nil:
			m.metrics.watchErrors.Inc()
			m.log.Warn().Err(err).Msg("Pointer not read.")
			sleepOrWake(ctx, m.jitter(wait), nil)
			wait = min(2*wait, m.longestRetry(watching))
			after, err = m.readPointer(ctx)
			continue
		case watching && m.options.Keys.Policy() == m.readUnder:
			after, err = m.watchPointer(ctx, after)
		case watching: // an approval that was refused may be signed as the new policy requires
			after, err = m.readPointer(ctx)
		default:
			sleepOrWake(ctx, m.settings.PollInterval/2+m.jitter(m.settings.PollInterval), rewatch)
			after, err = m.readPointer(ctx)
		}
		if err == nil {
			wait = m.settings.RetryMin
		}
	}
	return nil
}

// longestRetry is short for the few watchers only, so that the others do not crowd a
// store that comes back.
func (m *Manager) longestRetry(watching bool) time.Duration {
	if watching {
		return m.settings.RetryMax
	}
	return pollRetryFactor * m.settings.PollInterval
}

// jitter returns a random part of wait, so that instances do not call in step.
func (m *Manager) jitter(wait time.Duration) time.Duration {
	return time.Duration(m.options.Rand.Int64N(int64(wait) + 1))
}

// sleepOrWake waits until the time is over, wake is closed or ctx ends.
func sleepOrWake(ctx context.Context, d time.Duration, wake <-chan struct{}) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-wake:
	case <-ctx.Done():
	}
}

func (m *Manager) readPointer(ctx context.Context) (object.Version, error) {
	m.readUnder = m.options.Keys.Policy()
	o, err := m.options.Store.Get(ctx, approvalfile.KindPointer, approvalfile.PointerName)
	if errors.Is(err, object.ErrNotFound) {
		return 0, nil
	}
	if err != nil {
		return 0, errs.Wrap(err, "read bundle pointer", storePeer)
	}
	return o.Version, m.offerPointer(ctx, o)
}

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

// offerPointer puts the latest approval forward that is signed as the policy requires.
func (m *Manager) offerPointer(ctx context.Context, o object.Object) error {
	latest, err := bundlestore.LatestSigned(ctx, m.options.Store, *m.options.Keys.Policy(), o, m.Head().Generation)
	for _, refused := range latest.Rejected {
		m.metrics.refused.Inc()
		m.log.Error().Err(refused.Cause).Uint64("generation", uint64(refused.Head.Generation)).Msg("Approval refused.")
		m.record(timeline.KindBundleRefused, refused.Head, refused.Cause.Error())
	}
	if err != nil {
		return err
	}
	m.Offer(latest.Head(), pointerSource{storeSource: m.store, approval: bundlefile.NewSection(latest.Data())})
	return nil
}

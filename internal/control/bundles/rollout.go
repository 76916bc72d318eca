package bundles

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"time"

	"savoryweir/internal/errs"
	"savoryweir/internal/protocol/bundlefile"
	"savoryweir/internal/state/activebundle"
	"savoryweir/internal/state/bundle"
	"savoryweir/internal/state/rollout"
	"savoryweir/internal/state/timeline"
)

// Limits on the memory that offers from peers can take up in this process.
const (
	maxCandidates = 8
	maxSources    = 4
	maxRejected   = 256
)

// candidate is a head newer than the one in force whose roll-out is in progress.
type candidate struct {
	rollout *rollout.Rollout
	sources []SectionSource // in the order of their offers, the latest last
	fetched bundlefile.Sections
	retryAt time.Time
	backoff time.Duration
}

// rolloutWorker is the state of the goroutine that runs runRollouts.
type rolloutWorker struct {
	*Manager
	candidates []*candidate  // sorted by descending generation
	rejected   []bundle.Head // heads that are not rolled out again, at most maxRejected
}

// runRollouts rolls out the offered heads, the highest generation first, until ctx
// ends. A head that cannot be fetched does not block a lower generation that is still
// newer than the one in force.
func (m *Manager) runRollouts(ctx context.Context) error {
	w := rolloutWorker{Manager: m}
	w.waitForPeerHeads(ctx)
	for ctx.Err() == nil {
		w.addOffers(w.offers.Drain(offerCapacity))
		w.processDue(ctx)
		w.dropSuperseded()
		if next, err := w.nextOffer(ctx); err == nil {
			w.addOffers([]offer{next})
		}
	}
	return nil
}

// waitForPeerHeads waits until peers have sent their heads, or until StartWait has
// passed. Without the heads of peers, the process could take a stale generation from
// the store although its peers know a newer one.
func (w *rolloutWorker) waitForPeerHeads(ctx context.Context) {
	sleepOrWake(ctx, w.settings.StartWait, w.peersAnsweredCh)
}

// nextOffer waits for an offer and returns an error when the next candidate is due
// for a retry or ctx ends.
func (w *rolloutWorker) nextOffer(ctx context.Context) (offer, error) {
	if len(w.candidates) == 0 {
		return w.offers.Get(ctx)
	}
	due := slices.MinFunc(w.candidates, func(x, y *candidate) int { return x.retryAt.Compare(y.retryAt) })
	waiting, cancel := context.WithDeadline(ctx, due.retryAt)
	defer cancel()
	return w.offers.Get(waiting)
}

// addOffers adds candidates for the offered heads that are newer than the one in force
// and have not been rejected. It keeps the maxCandidates highest generations.
func (w *rolloutWorker) addOffers(offers []offer) {
	for _, o := range offers {
		if w.judge(o.head) != activebundle.Newer || slices.Contains(w.rejected, o.head) {
			continue
		}
		c := w.candidate(o.head)
		if o.source != nil {
			w.addSource(c, o.source)
		}
	}
	if len(w.candidates) > maxCandidates {
		w.candidates = slices.Delete(w.candidates, maxCandidates, len(w.candidates))
	}
}

// judge compares a head with the one in force.
func (w *rolloutWorker) judge(head bundle.Head) activebundle.Comparison {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.state.Compare(head)
}

// candidate returns the candidate for a head and adds one if there is none.
func (w *rolloutWorker) candidate(head bundle.Head) *candidate {
	for _, c := range w.candidates {
		if c.rollout.Head == head {
			return c
		}
	}
	c := &candidate{rollout: rollout.New(head), fetched: make(bundlefile.Sections), backoff: w.settings.RetryMin}
	w.candidates = append(w.candidates, c)
	slices.SortStableFunc(w.candidates, func(x, y *candidate) int {
		return cmp.Compare(y.rollout.Head.Generation, x.rollout.Head.Generation)
	})
	w.record(timeline.KindBundleHeard, head, "")
	return c
}

// addSource adds a source to a candidate and keeps only the latest maxSources. A new
// source makes the candidate due at once.
func (w *rolloutWorker) addSource(c *candidate, source SectionSource) {
	known := slices.ContainsFunc(c.sources, func(s SectionSource) bool { return s.Peer() == source.Peer() })
	if known {
		return
	}
	c.retryAt = time.Time{}
	c.sources = append(c.sources, source)
	if len(c.sources) > maxSources {
		c.sources = c.sources[1:]
	}
}

func (c *candidate) dropSource(source SectionSource) {
	c.sources = slices.DeleteFunc(c.sources, func(s SectionSource) bool { return s.Peer() == source.Peer() })
}

// processDue rolls out the candidates that are due, the highest generation first, and
// stops at the first one that comes into force.
func (w *rolloutWorker) processDue(ctx context.Context) {
	for _, c := range slices.Clone(w.candidates) {
		if time.Now().Before(c.retryAt) {
			continue
		}
		if w.rollOut(ctx, c) {
			return
		}
	}
}

// rollOut fetches and verifies one candidate and puts it in force. It reports whether
// the candidate is now in force.
func (w *rolloutWorker) rollOut(ctx context.Context, c *candidate) bool {
	w.apply(c, rollout.Fetch)
	next, err := w.assemble(ctx, c)
	var missing *bundlefile.MissingError
	switch {
	case errors.As(err, &missing):
		w.metrics.fetchErrors.Inc()
		w.apply(c, rollout.Fail)
		c.retryAt = time.Now().Add(c.backoff)
		c.backoff = min(2*c.backoff, w.settings.RetryMax)
		return false
	case err != nil:
		w.reject(c, err)
		return false
	}
	w.apply(c, rollout.Complete)
	if err := w.verifyContent(next); err != nil {
		w.reject(c, err)
		return false
	}
	w.record(timeline.KindBundleAccepted, next.Head, "")
	if !w.putInForce(next) {
		return false
	}
	w.apply(c, rollout.Accept)
	w.log.Info().Uint64("generation", uint64(next.Head.Generation)).Str("manifest", next.Head.Manifest.String()).Msg("Bundle is in force.")
	return true
}

// apply moves the roll-out of a candidate to its next state.
func (w *rolloutWorker) apply(c *candidate, event rollout.Event) {
	if err := c.rollout.Apply(event); err != nil {
		w.log.Error().Err(errs.Wrap(err, "move roll-out", errs.Self)).Str("event", string(event)).Msg("Roll-out rejected a state transition.")
	}
}

// reject ends the roll-out of a candidate that is not valid and remembers its head.
func (w *rolloutWorker) reject(c *candidate, err error) {
	w.apply(c, rollout.Refuse)
	head := c.rollout.Head
	w.metrics.refused.Inc()
	w.log.Error().Err(err).Uint64("generation", uint64(head.Generation)).Msg("Bundle rejected; its approval or content is not valid.")
	w.record(timeline.KindBundleRefused, head, err.Error())
	w.rejected = append(w.rejected, head)
	if len(w.rejected) > maxRejected {
		w.rejected = w.rejected[1:]
	}
	w.drop(c)
}

func (w *rolloutWorker) drop(c *candidate) {
	w.candidates = slices.DeleteFunc(w.candidates, func(other *candidate) bool { return other == c })
}

// dropSuperseded drops the candidates that are no longer newer than the generation
// in force.
func (w *rolloutWorker) dropSuperseded() {
	for _, c := range slices.Clone(w.candidates) {
		if w.judge(c.rollout.Head) == activebundle.Newer {
			continue
		}
		if c.rollout.State() != rollout.InForce {
			w.apply(c, rollout.Supersede)
			w.record(timeline.KindBundleSuperseded, c.rollout.Head, "before it was in force")
		}
		w.drop(c)
	}
}

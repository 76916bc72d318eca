package bundles

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"time"

	"savoryweir/internal/errs"
	"savoryweir/internal/protocol/bundlefile"
	"savoryweir/internal/state/bundle"
	"savoryweir/internal/state/force"
	"savoryweir/internal/state/rollout"
	"savoryweir/internal/state/timeline"
)

// Bounds on what peers can make this process remember.
const (
	maxCandidates = 8
	maxSources    = 4
	maxRefused    = 256
)

// candidate is a newer head on its way into force.
type candidate struct {
	rollout *rollout.Rollout
	sources []SectionSource // the latest last
	fetched bundlefile.Sections
	retryAt time.Time
	backoff time.Duration
}

// adopter is the state of the adopting goroutine.
type adopter struct {
	*Manager
	candidates []*candidate // the highest generation first
	refused    []bundle.Head
}

// adopt takes heads through their roll-out, the highest generation first. A head
// that cannot be fetched does not hold up a lower one that is still newer.
func (m *Manager) adopt(ctx context.Context) error {
	a := adopter{Manager: m}
	a.collectAtStart(ctx)
	for ctx.Err() == nil {
		a.takeOffers(a.offers.Drain(offerCapacity))
		a.tryDue(ctx)
		a.forgetOlder()
		if next, err := a.nextOffer(ctx); err == nil {
			a.takeOffers([]offer{next})
		}
	}
	return nil
}

// collectAtStart waits until peers have told their heads, at most the start wait.
// The store alone may answer with a generation that peers know to be stale.
func (a *adopter) collectAtStart(ctx context.Context) {
	sleepOrWake(ctx, a.settings.StartWait, a.peersHeard)
}

// nextOffer waits for a head until the next candidate is due.
func (a *adopter) nextOffer(ctx context.Context) (offer, error) {
	if len(a.candidates) == 0 {
		return a.offers.Get(ctx)
	}
	due := slices.MinFunc(a.candidates, func(x, y *candidate) int { return x.retryAt.Compare(y.retryAt) })
	waiting, cancel := context.WithDeadline(ctx, due.retryAt)
	defer cancel()
	return a.offers.Get(waiting)
}

func (a *adopter) takeOffers(offers []offer) {
	for _, o := range offers {
		if a.judge(o.head) != force.Newer || slices.Contains(a.refused, o.head) {
			continue
		}
		c := a.candidate(o.head)
		if o.source != nil {
			a.addSource(c, o.source)
		}
	}
	if len(a.candidates) > maxCandidates {
		a.candidates = slices.Delete(a.candidates, maxCandidates, len(a.candidates))
	}
}

func (a *adopter) judge(head bundle.Head) force.Verdict {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.state.Judge(head)
}

func (a *adopter) candidate(head bundle.Head) *candidate {
	for _, c := range a.candidates {
		if c.rollout.Head == head {
			return c
		}
	}
	c := &candidate{rollout: rollout.New(head), fetched: make(bundlefile.Sections), backoff: a.settings.RetryMin}
	a.candidates = append(a.candidates, c)
	slices.SortStableFunc(a.candidates, func(x, y *candidate) int {
		return cmp.Compare(y.rollout.Head.Generation, x.rollout.Head.Generation)
	})
	a.record(timeline.KindBundleHeard, head, "")
	return c
}

// addSource keeps the latest sources. A new one is tried at once.
func (a *adopter) addSource(c *candidate, source SectionSource) {
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

// tryDue works on the candidates that are due, the highest generation first, until
// one is in force.
func (a *adopter) tryDue(ctx context.Context) {
	for _, c := range slices.Clone(a.candidates) {
		if time.Now().Before(c.retryAt) {
			continue
		}
		if a.try(ctx, c) {
			return
		}
	}
}

// try fetches and verifies one candidate and puts it in force.
func (a *adopter) try(ctx context.Context, c *candidate) bool {
	a.apply(c, rollout.Fetch)
	next, err := a.assemble(ctx, c)
	var missing *bundlefile.MissingError
	switch {
	case errors.As(err, &missing):
		a.metrics.fetchErrors.Inc()
		a.apply(c, rollout.Fail)
		c.retryAt = time.Now().Add(c.backoff)
		c.backoff = min(2*c.backoff, a.settings.RetryMax)
		return false
	case err != nil:
		a.refuse(c, err)
		return false
	}
	a.apply(c, rollout.Complete)
	if err := a.verifyContent(next); err != nil {
		a.refuse(c, err)
		return false
	}
	a.record(timeline.KindBundleAccepted, next.Head, "")
	if !a.putInForce(next) {
		return false
	}
	a.apply(c, rollout.Accept)
	a.log.Info().Uint64("generation", uint64(next.Head.Generation)).Str("manifest", next.Head.Manifest.String()).Msg("Bundle in force.")
	return true
}

func (a *adopter) apply(c *candidate, event rollout.Event) {
	if err := c.rollout.Apply(event); err != nil {
		a.log.Error().Err(errs.Wrap(err, "move roll-out", errs.Self)).Str("event", string(event)).Msg("Roll-out state is wrong.")
	}
}

func (a *adopter) refuse(c *candidate, err error) {
	a.apply(c, rollout.Refuse)
	head := c.rollout.Head
	a.metrics.refused.Inc()
	a.log.Error().Err(err).Uint64("generation", uint64(head.Generation)).Msg("Bundle refused.")
	a.record(timeline.KindBundleRefused, head, err.Error())
	a.refused = append(a.refused, head)
	if len(a.refused) > maxRefused {
		a.refused = a.refused[1:]
	}
	a.drop(c)
}

func (a *adopter) drop(c *candidate) {
	a.candidates = slices.DeleteFunc(a.candidates, func(other *candidate) bool { return other == c })
}

// forgetOlder drops the candidates that a generation in force has overtaken.
func (a *adopter) forgetOlder() {
	for _, c := range slices.Clone(a.candidates) {
		if a.judge(c.rollout.Head) == force.Newer {
			continue
		}
		if c.rollout.State() != rollout.InForce {
			a.apply(c, rollout.Supersede)
			a.record(timeline.KindBundleSuperseded, c.rollout.Head, "before it was in force")
		}
		a.drop(c)
	}
}

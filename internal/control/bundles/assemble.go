package bundles

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"savoryweir/internal/coordination/bundlecheck"
	"savoryweir/internal/coordination/signoff"
	"savoryweir/internal/errs"
	"savoryweir/internal/protocol/approvalfile"
	"savoryweir/internal/protocol/bundlefile"
	"savoryweir/internal/state/bundle"
)

// assemble fetches all data of a candidate and decodes it. It verifies the approval
// before it fetches anything else. It returns a *bundlefile.MissingError if the sources
// lack data or cannot be reached; all other errors are permanent.
func (w *rolloutWorker) assemble(ctx context.Context, c *candidate) (*InForce, error) {
	head := c.rollout.Head
	if err := w.fetch(ctx, c, []bundle.Hash{head.Approval}); err != nil {
		return nil, err
	}
	if err := w.verifyApproval(head, c.fetched[head.Approval]); err != nil {
		return nil, err
	}
	if err := w.fetch(ctx, c, []bundle.Hash{head.Manifest}); err != nil {
		return nil, err
	}
	entries, err := bundlefile.DecodeManifest(c.fetched[head.Manifest])
	if err != nil {
		return nil, errs.Wrap(err, "decode manifest", errs.Self)
	}
	if err := w.fetch(ctx, c, bundlefile.Missing(entries, c.fetched)); err != nil {
		return nil, err
	}
	b, err := bundlefile.Decode(head.Manifest, c.fetched)
	if err != nil {
		return nil, errs.Wrap(err, "decode bundle", errs.Self)
	}
	b.Generation = head.Generation
	next := &InForce{
		Head:     head,
		Bundle:   b,
		Manifest: bundlefile.Section{Hash: head.Manifest, Data: c.fetched[head.Manifest]},
		Approval: bundlefile.Section{Hash: head.Approval, Data: c.fetched[head.Approval]},
	}
	for _, e := range entries {
		next.Sections = append(next.Sections, bundlefile.Section{Hash: e.Hash, Data: c.fetched[e.Hash]})
	}
	return next, nil
}

// verifyApproval checks that the approval is for the given head and is signed as the
// policy requires.
func (w *rolloutWorker) verifyApproval(head bundle.Head, data []byte) error {
	const step errs.Step = "verify approval"
	approval, err := approvalfile.DecodeApproval(data)
	if err != nil {
		return errs.Wrap(err, step, errs.Self)
	}
	if approval.Generation != head.Generation || approval.Manifest != head.Manifest {
		return errs.New(step, errs.Self, fmt.Sprintf("the approval is for generation %d, not %d, or another content", approval.Generation, head.Generation))
	}
	return errs.Wrap(signoff.VerifyApproval(*w.options.Keys.Policy(), approval), step, errs.Self)
}

// verifyContent checks the bundle without its predecessor. The change from the previous
// generation was checked when the bundle was approved; an instance that skipped a
// generation must come to the same result as the others.
func (w *rolloutWorker) verifyContent(next *InForce) error {
	if next.Bundle.Deployment != w.options.Keys.Policy().Deployment {
		return errs.New("check bundle", errs.Self, fmt.Sprintf("the bundle is for deployment %q", next.Bundle.Deployment))
	}
	faults := bundlecheck.Check(bundlecheck.Input{New: next.Bundle})
	return errs.Wrap(bundle.JoinFaults(faults), "check bundle", errs.Self)
}

// fetch adds the data with the given hashes to the candidate. It uses the data that
// this process already holds, then asks the sources that offered the head, the latest
// first, and then the store. It returns a *bundlefile.MissingError if any data is
// still missing after that.
func (w *rolloutWorker) fetch(ctx context.Context, c *candidate, hashes []bundle.Hash) error {
	w.mu.Lock()
	heldData := w.heldData()
	w.mu.Unlock()
	for _, hash := range hashes {
		if data, ok := heldData[hash]; ok {
			c.fetched[hash] = data
		}
	}
	missing := missingFrom(c.fetched, hashes)
	for _, source := range slices.Backward(slices.Clone(c.sources)) {
		missing = w.fetchAllFrom(ctx, source, w.settings.FetchTimeout, c, missing)
	}
	missing = w.fetchAllFrom(ctx, w.store, w.settings.StoreTimeout, c, missing)
	if len(missing) > 0 {
		return &bundlefile.MissingError{Hashes: missing}
	}
	return nil
}

// fetchAllFrom requests sections from one source until none is missing, the source
// returns no more or the timeout expires, and returns the hashes that are still missing.
// It calls repeatedly because a source may return fewer sections than requested. A
// source that returns nothing is dropped until it offers the head again.
func (w *rolloutWorker) fetchAllFrom(ctx context.Context, source SectionSource, timeout time.Duration, c *candidate, missing []bundle.Hash) []bundle.Hash {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	for len(missing) > 0 && ctx.Err() == nil {
		if !w.fetchFrom(ctx, source, c, missing) {
			c.dropSource(source)
			break
		}
		missing = missingFrom(c.fetched, missing)
	}
	return missing
}

// missingFrom returns those of the hashes whose data is not in have.
func missingFrom(have bundlefile.Sections, hashes []bundle.Hash) []bundle.Hash {
	var missing []bundle.Hash
	for _, hash := range hashes {
		if _, ok := have[hash]; !ok {
			missing = append(missing, hash)
		}
	}
	return missing
}

// fetchFrom calls one source once and reports whether it returned usable data. Data that
// was not requested or does not match its hash is discarded.
func (w *rolloutWorker) fetchFrom(ctx context.Context, source SectionSource, c *candidate, hashes []bundle.Hash) bool {
	sections, err := source.FetchSections(ctx, hashes)
	if err != nil && !errors.Is(err, context.Canceled) {
		w.log.Debug().Err(err).Str("peer", string(source.Peer())).Msg("Bundle sections not fetched.")
	}
	given := false
	for _, s := range sections {
		if !slices.Contains(hashes, s.Hash) || bundle.HashOf(s.Data) != s.Hash {
			continue
		}
		c.fetched[s.Hash] = s.Data
		w.metrics.fetched.Add(float64(len(s.Data)))
		given = true
	}
	return given
}

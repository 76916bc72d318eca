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

// assemble fetches all data of a candidate. The approval is verified before
// anything else is fetched. A *bundlefile.MissingError tells that sources lack
// data or cannot be reached; other errors are final.
func (a *adopter) assemble(ctx context.Context, c *candidate) (*InForce, error) {
	head := c.rollout.Head
	if err := a.fetch(ctx, c, []bundle.Hash{head.Approval}); err != nil {
		return nil, err
	}
	if err := a.verifyApproval(head, c.fetched[head.Approval]); err != nil {
		return nil, err
	}
	if err := a.fetch(ctx, c, []bundle.Hash{head.Manifest}); err != nil {
		return nil, err
	}
	entries, err := bundlefile.DecodeManifest(c.fetched[head.Manifest])
	if err != nil {
		return nil, errs.Wrap(err, "decode manifest", errs.Self)
	}
	if err := a.fetch(ctx, c, bundlefile.Missing(entries, c.fetched)); err != nil {
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

func (a *adopter) verifyApproval(head bundle.Head, data []byte) error {
	const step errs.Step = "verify approval"
	approval, err := approvalfile.DecodeApproval(data)
	if err != nil {
		return errs.Wrap(err, step, errs.Self)
	}
	if approval.Generation != head.Generation || approval.Manifest != head.Manifest {
		return errs.New(step, errs.Self, fmt.Sprintf("the approval is for generation %d, not %d, or another content", approval.Generation, head.Generation))
	}
	return errs.Wrap(signoff.VerifyApproval(*a.options.Keys.Policy(), approval), step, errs.Self)
}

// verifyContent checks the bundle by itself. The roll-out from the generation before
// was checked when it was approved; instances that skipped a generation must not
// come to another verdict.
func (a *adopter) verifyContent(next *InForce) error {
	if next.Bundle.Deployment != a.options.Keys.Policy().Deployment {
		return errs.New("check bundle", errs.Self, fmt.Sprintf("the bundle is for deployment %q", next.Bundle.Deployment))
	}
	faults := bundlecheck.Check(bundlecheck.Input{New: next.Bundle})
	return errs.Wrap(bundle.JoinFaults(faults), "check bundle", errs.Self)
}

// fetch makes sure that the candidate holds the data with the given hashes. It takes
// what this process holds already, then asks those who offered the head, the latest
// first, then the store.
func (a *adopter) fetch(ctx context.Context, c *candidate, hashes []bundle.Hash) error {
	a.mu.Lock()
	held := a.held()
	a.mu.Unlock()
	for _, hash := range hashes {
		if data, ok := held[hash]; ok {
			c.fetched[hash] = data
		}
	}
	missing := lacking(c.fetched, hashes)
	for _, source := range slices.Backward(slices.Clone(c.sources)) {
		missing = a.fetchAllFrom(ctx, source, a.settings.FetchTimeout, c, missing)
	}
	missing = a.fetchAllFrom(ctx, a.store, a.settings.StoreTimeout, c, missing)
	if len(missing) > 0 {
		return &bundlefile.MissingError{Hashes: missing}
	}
	return nil
}

// fetchAllFrom asks one source until nothing is missing, it gives nothing more or the
// time is over, and returns what is still missing. Sources may give few sections at
// once. One that gives nothing is not asked again until it offers the head again.
func (a *adopter) fetchAllFrom(ctx context.Context, source SectionSource, timeout time.Duration, c *candidate, missing []bundle.Hash) []bundle.Hash {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	for len(missing) > 0 && ctx.Err() == nil {
		if !a.fetchFrom(ctx, source, c, missing) {
			c.dropSource(source)
			break
		}
		missing = lacking(c.fetched, missing)
	}
	return missing
}

func lacking(have bundlefile.Sections, hashes []bundle.Hash) []bundle.Hash {
	var missing []bundle.Hash
	for _, hash := range hashes {
		if _, ok := have[hash]; !ok {
			missing = append(missing, hash)
		}
	}
	return missing
}

// fetchFrom asks one source and reports whether it gave anything. Data that was not
// asked for or does not match its hash is dropped.
func (a *adopter) fetchFrom(ctx context.Context, source SectionSource, c *candidate, hashes []bundle.Hash) bool {
	sections, err := source.FetchSections(ctx, hashes)
	if err != nil && !errors.Is(err, context.Canceled) {
		a.log.Debug().Err(err).Str("peer", string(source.Peer())).Msg("Sections not fetched.")
	}
	given := false
	for _, s := range sections {
		if !slices.Contains(hashes, s.Hash) || bundle.HashOf(s.Data) != s.Hash {
			continue
		}
		c.fetched[s.Hash] = s.Data
		a.metrics.fetched.Add(float64(len(s.Data)))
		given = true
	}
	return given
}

package bundlestore

import (
	"cmp"
	"context"
	"errors"
	"slices"

	"savoryweir/internal/coordination/retention"
	"savoryweir/internal/errs"
	"savoryweir/internal/protocol/approvalfile"
	"savoryweir/internal/protocol/bundlefile"
	"savoryweir/internal/state/bundle"
	"savoryweir/internal/state/object"
)

const stepFloor errs.Step = "read the earliest generation to keep"

// SweepPages is the number of parts in which the store's objects are swept, by the
// first byte of their hashes.
const SweepPages = 256

// Floor reads the earliest generation to keep. It is false while all are kept.
func (s *Store) Floor(ctx context.Context, keep int) (retention.Floor, bool, error) {
	current, err := s.Pointer(ctx)
	if err != nil {
		return retention.Floor{}, false, err
	}
	generation, ok := retention.FloorGeneration(current.Approval.Generation, keep)
	if !ok {
		return retention.Floor{}, false, nil
	}
	before, err := s.objects.Get(ctx, approvalfile.KindHistory, approvalfile.HistoryName(generation-1))
	if err != nil {
		return retention.Floor{}, false, errs.Wrap(err, stepFloor, peer)
	}
	earliest, err := s.history(ctx, generation)
	if err != nil {
		return retention.Floor{}, false, err
	}
	sections, err := s.sectionsOf(ctx, earliest.Manifest)
	return retention.Floor{Generation: generation, KeptFromVersion: before.Version, Sections: sections}, err == nil, err
}

// sectionsOf returns the hashes of a bundle's sections, its manifest included.
func (s *Store) sectionsOf(ctx context.Context, manifest bundle.Hash) (map[bundle.Hash]bool, error) {
	data, err := s.Section(ctx, manifest)
	if err != nil {
		return nil, err
	}
	entries, err := bundlefile.DecodeManifest(data)
	if err != nil {
		return nil, errs.Wrap(err, stepFloor, peer)
	}
	sections := map[bundle.Hash]bool{manifest: true}
	for _, e := range entries {
		sections[e.Hash] = true
	}
	return sections, nil
}

// SweepPage deletes sections and signatures of one page that no kept generation
// needs, and returns how many.
func (s *Store) SweepPage(ctx context.Context, floor retention.Floor, page int) (int, error) {
	prefix := bundle.Hash{byte(page)}.String()[:2]
	sections, err := s.objects.List(ctx, approvalfile.KindSection, prefix)
	if err != nil {
		return 0, errs.Wrap(err, "list bundle sections", peer)
	}
	signatures, err := s.objects.List(ctx, approvalfile.KindSignature, prefix)
	if err != nil {
		return 0, errs.Wrap(err, "list signatures", peer)
	}
	unneeded := append(floor.UnneededSections(sections), floor.UnneededSignatures(signatures, approvalfile.SignedManifest)...)
	return s.deleteAll(ctx, unneeded)
}

// SweepHistory deletes approvals from before the floor and returns how many. The
// last one before it stays, since its version tells when the floor came.
func (s *Store) SweepHistory(ctx context.Context, floor retention.Floor) (int, error) {
	var old []object.Object
	for g := floor.Generation - 1; ; g -= min(g, approvalfile.HistoryPage) {
		page, err := s.objects.List(ctx, approvalfile.KindHistory, approvalfile.HistoryPrefix(g))
		if err != nil {
			return 0, errs.Wrap(err, "list bundle history", peer)
		}
		old = append(old, page...)
		if len(page) == 0 || g < approvalfile.HistoryPage {
			break
		}
	}
	keep := approvalfile.HistoryName(floor.Generation - 1)
	old = slices.DeleteFunc(old, func(o object.Object) bool { return o.Name >= keep })
	slices.SortFunc(old, func(a, b object.Object) int { return cmp.Compare(a.Name, b.Name) })
	return s.deleteAll(ctx, old) // the oldest first, so that no gap hides the rest
}

// deleteAll deletes objects at the versions that were read. One that was written
// since, or deleted by another instance, is passed over.
func (s *Store) deleteAll(ctx context.Context, list []object.Object) (int, error) {
	deleted := 0
	for _, o := range list {
		err := s.objects.Delete(ctx, o.Kind, o.Name, o.Version)
		switch {
		case err == nil:
			deleted++
		case errors.Is(err, object.ErrConflict) || errors.Is(err, object.ErrNotFound):
		default:
			return deleted, errs.Wrap(err, "delete "+errs.Step(o.Kind), peer)
		}
	}
	return deleted, nil
}

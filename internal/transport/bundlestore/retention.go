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

// SweepPages is the number of pages that a sweep of the store's objects covers. A page holds
// the objects whose hashes begin with the same byte.
const SweepPages = 256

// Floor reads the earliest generation to keep. It returns false while all generations are
// kept.
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
	earliest, err := s.readHistory(ctx, generation)
	if err != nil {
		return retention.Floor{}, false, err
	}
	sections, err := s.sectionsOf(ctx, earliest.Manifest)
	return retention.Floor{Generation: generation, KeptFromVersion: before.Version, Sections: sections}, err == nil, err
}

// sectionsOf returns the hashes of a bundle's sections, including its manifest.
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

// SweepPage deletes the sections and signatures of one page that no kept generation needs.
// It returns the number of deleted objects.
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

// SweepHistory deletes the approvals of generations before the floor and returns their
// number. It keeps the last one before the floor, because its object version tells when the
// floor generation was approved.
func (s *Store) SweepHistory(ctx context.Context, floor retention.Floor) (int, error) {
	var old []object.Object
	for g := floor.Generation - 1; ; g -= min(g, approvalfile.HistoryPageSize) {
		page, err := s.objects.List(ctx, approvalfile.KindHistory, approvalfile.HistoryPrefix(g))
		if err != nil {
			return 0, errs.Wrap(err, "list bundle history", peer)
		}
		old = append(old, page...)
		if len(page) == 0 || g < approvalfile.HistoryPageSize {
			break
		}
	}
	keep := approvalfile.HistoryName(floor.Generation - 1)
	old = slices.DeleteFunc(old, func(o object.Object) bool { return o.Name >= keep })
	slices.SortFunc(old, func(a, b object.Object) int { return cmp.Compare(a.Name, b.Name) })
	return s.deleteAll(ctx, old) // oldest first, so that an interrupted sweep leaves no gap that ends the next listing early
}

// deleteAll deletes objects if they still have the versions that were read. It skips
// objects that were written since or deleted by another instance.
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

// Package retention decides which objects of former bundles may be deleted from the
// platform's store. It needs no clock and no lock, because it compares the versions of
// objects, which increase with each write to the store.
//
// The rule is safe for any generation that was ever in force, so a stale read of the
// pointer or of the history only retains more objects. The process that approves
// generation g+1 first reads that g is in force, and then writes every section that g
// does not have, even if the section already exists. A section that a generation after
// the floor needs is therefore either in the bundle of the floor, or was written after the
// floor came into force. A deletion is conditional on the version that the decision was
// based on, so a concurrent approval takes precedence over it, however late it arrives.
package retention

import (
	"slices"

	"savoryweir/internal/state/bundle"
	"savoryweir/internal/state/object"
)

// Floor describes the earliest generation that is retained.
type Floor struct {
	Generation bundle.Generation
	// KeptFromVersion is the version of an object that was written before the floor came
	// into force. Objects of this version or a later one are retained.
	KeptFromVersion object.Version
	// Sections holds the hashes of the sections in the bundle of the floor and of its manifest.
	Sections map[bundle.Hash]bool
}

// UnneededSections returns the sections on the page that no retained generation has.
// Objects whose names are not hashes are never returned.
func (f Floor) UnneededSections(page []object.Object) []object.Object {
	return slices.DeleteFunc(slices.Clone(page), func(o object.Object) bool {
		hash, err := bundle.ParseHash(string(o.Name))
		return err != nil || f.isNeeded(hash, o)
	})
}

// UnneededSignatures returns the signatures on the page whose manifest no retained
// generation has. A signature of a bundle that still waits for further signatures is
// retained until as many generations as are retained have come into force after it.
func (f Floor) UnneededSignatures(page []object.Object, manifestOf func(object.Name) (bundle.Hash, bool)) []object.Object {
	return slices.DeleteFunc(slices.Clone(page), func(o object.Object) bool {
		manifest, ok := manifestOf(o.Name)
		return !ok || f.isNeeded(manifest, o)
	})
}

// isNeeded reports whether a retained generation has the content of the given hash, or may
// have it because the object was written after the floor came into force.
func (f Floor) isNeeded(hash bundle.Hash, o object.Object) bool {
	return f.Sections[hash] || o.Version >= f.KeptFromVersion
}

// FloorGeneration returns the earliest generation to retain if the latest keep generations
// are retained. It returns false until the generation in force exceeds keep+1.
func FloorGeneration(inForce bundle.Generation, keep int) (bundle.Generation, bool) {
	if inForce <= bundle.Generation(keep)+1 {
		return 0, false
	}
	return inForce - bundle.Generation(keep) + 1, true
}

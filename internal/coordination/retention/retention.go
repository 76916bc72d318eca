// Package retention decides which objects of former bundles may be deleted from
// the platform's store. It needs no clock and no lock: it compares the versions of
// objects, which rise with each write to the store.
//
// The rule is sound for any generation that was ever in force, so a stale read of
// the pointer or the history only keeps more. Whoever approves generation g+1
// first reads that g is in force and then writes every section that g does not
// have, also one that exists already. So a section that a generation after the
// floor needs is either in the floor's bundle, or was written after the floor came
// into force. A deletion is conditional on the version that was decided on, so an
// approval that is under way wins over it, however late it comes.
package retention

import (
	"slices"

	"savoryweir/internal/state/bundle"
	"savoryweir/internal/state/object"
)

// Floor is the earliest generation that is kept.
type Floor struct {
	Generation bundle.Generation
	// KeptFromVersion is the version of an object that was written before the floor came into force.
	KeptFromVersion object.Version
	// Sections are those of the floor's bundle, the manifest included.
	Sections map[bundle.Hash]bool
}

// UnneededSections returns the sections of a page that no kept generation has. Objects
// whose names are no hashes are left alone.
func (f Floor) UnneededSections(page []object.Object) []object.Object {
	return slices.DeleteFunc(slices.Clone(page), func(o object.Object) bool {
		hash, err := bundle.ParseHash(string(o.Name))
		return err != nil || f.needs(hash, o)
	})
}

// UnneededSignatures returns the signatures of manifests that no kept generation has. A
// signature that waits for others is kept until as many generations came after it.
func (f Floor) UnneededSignatures(page []object.Object, manifestOf func(object.Name) (bundle.Hash, bool)) []object.Object {
	return slices.DeleteFunc(slices.Clone(page), func(o object.Object) bool {
		manifest, ok := manifestOf(o.Name)
		return !ok || f.needs(manifest, o)
	})
}

func (f Floor) needs(hash bundle.Hash, o object.Object) bool {
	return f.Sections[hash] || o.Version >= f.KeptFromVersion
}

// FloorGeneration returns the earliest generation to keep when the given number is kept,
// and false while there are not more than that.
func FloorGeneration(inForce bundle.Generation, keep int) (bundle.Generation, bool) {
	if inForce <= bundle.Generation(keep)+1 {
		return 0, false
	}
	return inForce - bundle.Generation(keep) + 1, true
}

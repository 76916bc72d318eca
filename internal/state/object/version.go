package object

import (
	"errors"
	"fmt"
	"math"
)

// Era counts how often the store has come back from an older copy of itself. In a new era
// the store lacks its latest writes and gives out their revisions again. Zero means that
// the store does not report eras.
type Era uint32

// Revision is the store's counter of changes within one era. It is a struct because the
// order of two revisions means nothing unless both are of the same era; compare Versions
// instead.
type Revision struct{ number uint64 }

// RevisionOf returns the revision with the given number.
func RevisionOf(number uint64) Revision { return Revision{number} }

// Number returns the revision as the store spells it.
func (r Revision) Number() uint64 { return r.number }

// Version is the store's version of an object's last write: the era and, within it, the
// revision. Versions are ordered by era first, so a version of a later era is newer
// whatever its revision. Zero means that the object does not exist.
type Version uint64

const (
	revisionBits = 44
	maxRevision  = 1<<revisionBits - 1
	maxEra       = 1<<(64-revisionBits) - 1
)

// ErrVersionRange reports an era or a revision that is too large for a Version.
var ErrVersionRange = errors.New("store era or revision out of range")

// NewVersion returns the version of a revision in an era. A revision of zero gives the
// zero version.
func NewVersion(era Era, r Revision) (Version, error) {
	switch {
	case era > maxEra || r.number > maxRevision:
		return 0, fmt.Errorf("%w: era %d, revision %d", ErrVersionRange, era, r.number)
	case r.number == 0:
		return 0, nil
	default:
		return Version(uint64(era)<<revisionBits | r.number), nil
	}
}

// Era returns the era of the version.
func (v Version) Era() Era { return Era(v >> revisionBits) }

// Revision returns the revision of the version within its era.
func (v Version) Revision() Revision { return Revision{uint64(v) & maxRevision} }

// ChangesSince returns how many changes lie between an earlier version and v. Across eras
// the number is unknown, and it returns math.MaxUint64.
func (v Version) ChangesSince(earlier Version) uint64 {
	switch {
	case v <= earlier:
		return 0
	case v.Era() != earlier.Era():
		return math.MaxUint64
	default:
		return uint64(v - earlier)
	}
}

// String returns the version as ERA.REVISION, or as the revision alone if the store does
// not report eras.
func (v Version) String() string {
	if v.Era() == 0 {
		return fmt.Sprint(v.Revision().number)
	}
	return fmt.Sprintf("%d.%d", v.Era(), v.Revision().number)
}

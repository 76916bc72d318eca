package restore

import (
	"time"

	"savoryweir/internal/state/object"
)

const (
	// recordTime is the time within which a new software version is in the record: the lease may have passed on meanwhile.
	recordTime = 5 * time.Second
	// maxClockError is the largest difference between the wall clocks of two instances.
	maxClockError = 2 * time.Second
)

// Copy is what an older copy of the store, from which it has come back, holds of the past.
type Copy struct {
	HasLease       bool
	LeaseEra       object.Era // in which the lease was renewed last
	LeaseRenewedAt time.Time  // by the wall clock of its holder; the Unix epoch if it did not tell
	HasRecord      bool       // of the software versions
	RecordEra      object.Era // in which it was written
	KnowsPast      bool       // the writer of the record knew all versions that had served
}

// TellsPast reports at now, of the wall clock, whether the copy names all software versions that may have begun streams. New versions
// begin none for newVersionDelay, so a copy that is recent enough names them. A copy with neither a lease nor a record was made before any
// instance had served.
func (c Copy) TellsPast(now time.Time, newVersionDelay time.Duration) bool {
	maxAge := newVersionDelay - recordTime - maxClockError
	switch {
	case maxAge <= 0:
		return false
	case !c.HasLease && !c.HasRecord:
		return true
	case !c.HasLease || !c.HasRecord || !c.KnowsPast || c.LeaseEra != c.RecordEra:
		return false
	}
	age := now.Sub(c.LeaseRenewedAt)
	return age > -maxClockError && age < maxAge
}

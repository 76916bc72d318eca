// Package lease decides when an instance acquires, renews and releases the lease of a
// task that only one instance may perform. The lease is one object in the platform's
// store and is changed by conditional updates.
//
// A holder acts only until Lifetime after it sent its last successful renewal, measured
// by a clock that includes the time in which the system was suspended. A successor acquires
// the lease only after the version has not changed for Lifetime, and acts only HandoverGap
// later. The version of the write that acquired the lease is the fencing token; it
// increases from holder to holder.
//
// In a new era the store lacks its latest writes, so it may have no record of the present
// holder, or the record of an earlier one. A holder that learns of a new era gives up the
// lease. A successor relies on a record only if it was written and applied in the same
// era; otherwise it waits as long as for a holder that renewed the lease just now.
package lease

import (
	"time"

	"savoryweir/internal/state/object"
)

// Settings holds the times of a lease.
type Settings struct {
	Lifetime      time.Duration // time for which a renewal is valid after it was sent
	RenewInterval time.Duration // time between renewals
	HandoverGap   time.Duration // minimum time between the last action of a holder and the first of its successor
	ExpiryMargin  time.Duration // time before the end of Lifetime at which a holder stops acting
}

// Record is the content of the lease object in the store.
type Record struct {
	Holder   string `json:"holder"` // instance that holds the lease; empty if released
	Nonce    string `json:"nonce"`  // identifies the holder's process
	Released bool   `json:"released"`
	// Writes counts the holder's writes, so that each write changes the object. The store
	// makes no new version for a write without changes, so the holder would look gone.
	Writes uint64     `json:"writes"`
	Era    object.Era `json:"era,omitempty"` // newest era that the holder knew of when it sent the write
	// Acted tells that the holder was allowed to act when it sent the write. Until then the
	// holder before it may have acted last.
	Acted bool `json:"acted"`
	// WrittenAt is when the write was sent by the holder's wall clock, in Unix milliseconds. It tells how old a copy of the store
	// is; the lease itself doesn't depend on it.
	WrittenAt int64 `json:"written_at,omitempty"`
	// HasCopy tells that the copy from which the store came back in the present era had a record. CopyEra and CopyWrittenAt are that
	// record's Era and WrittenAt.
	HasCopy       bool       `json:"has_copy,omitempty"`
	CopyEra       object.Era `json:"copy_era,omitempty"`
	CopyWrittenAt int64      `json:"copy_written_at,omitempty"`

	Version object.Version `json:"-"`
}

// isOfEra reports whether the record was sent and applied in the given era. A record from
// before, or one whose write arrived after the store's change to the era, does not tell who
// held the lease last.
func (r Record) isOfEra(era object.Era) bool {
	return r.Era == era && r.Version.Era() == era
}

// Step is the next operation on the lease.
type Step uint8

// The steps.
const (
	StepWait    Step = iota // wait until the returned time
	StepRead                // read the record from the store
	StepAcquire             // write this instance's record if the version is still the one that was read
	StepRenew               // write this instance's record again if the version is still that of its last write
)

// Lease is the state of the lease as known to one instance. Its times come from a clock
// that includes the time in which the system was suspended. It is not safe for concurrent
// use.
type Lease struct {
	settings Settings
	instance string
	nonce    string

	hasRecord      bool // record is known and has not become doubtful since
	record         Record
	unchangedSince time.Duration // time since which the version is known not to have changed; zero if unknown
	holderSeenAt   time.Duration // time of the last sign of life from another holder
	hasSeenHolder  bool
	fencingToken   object.Version // zero if this instance does not hold the lease
	sentAt         time.Duration  // time at which the last successful write was sent
	mayActFrom     time.Duration  // time before which this instance must not act
	writes         uint64
	era            object.Era // newest known era of the store; zero if it does not report eras
}

// New returns the lease of an instance that has not read the record yet. nonce identifies
// the process.
func New(s Settings, instance, nonce string) *Lease {
	return &Lease{settings: s, instance: instance, nonce: nonce}
}

// ObserveHolder records a sign of life from another instance that holds the lease, even if it
// may not act yet.
func (l *Lease) ObserveHolder(now time.Duration) { l.hasSeenHolder, l.holderSeenAt = true, now }

// ObserveEra records the newest known era of the store. If it is new, this instance gives up
// the lease and reads the record again.
func (l *Lease) ObserveEra(era object.Era) {
	if era > l.era {
		l.era = era
		l.RecordLost()
	}
}

// MayAct returns the fencing token and true if the instance may act now.
func (l *Lease) MayAct(now time.Duration) (object.Version, bool) {
	if !l.IsValid(now) || now < l.mayActFrom {
		return 0, false
	}
	return l.fencingToken, true
}

// IsValid reports whether the instance holds the lease and has renewed it in time, even if it
// may not act yet.
func (l *Lease) IsValid(now time.Duration) bool {
	return l.fencingToken != 0 && now < l.sentAt+l.settings.Lifetime-l.settings.ExpiryMargin
}

// Holds reports whether the instance holds the lease, even if it may not act yet.
func (l *Lease) Holds() bool { return l.fencingToken != 0 }

// Next returns the step to take now and, for StepWait, the time until which to wait.
func (l *Lease) Next(now time.Duration) (Step, time.Duration) {
	if l.fencingToken != 0 {
		if dueAt := l.sentAt + l.settings.RenewInterval; now < dueAt {
			return StepWait, dueAt
		}
		return StepRenew, 0
	}
	if holderExpiresAt := l.holderSeenAt + l.settings.Lifetime; l.hasSeenHolder && now < holderExpiresAt {
		l.hasRecord = false // the version may have changed since it was read
		return StepWait, holderExpiresAt
	}
	if !l.hasRecord {
		return StepRead, 0
	}
	if l.isAvailable() {
		return StepAcquire, 0
	}
	if dueAt := l.unchangedSince + l.settings.Lifetime; now < dueAt {
		return StepWait, dueAt
	}
	return StepAcquire, 0
}

// isAvailable reports whether the lease can be acquired without waiting for it to expire.
func (l *Lease) isAvailable() bool {
	return l.record.Version == 0 || l.record.Released || l.record.Holder == l.instance
}

// RecordRead records the result of a read that was answered at now. A record with version zero
// means that the store has none. The holder may have written the record, or released the lease,
// until the answer, however long ago the read was requested.
func (l *Lease) RecordRead(now time.Duration, r Record) {
	if r.Nonce == l.nonce && !r.Released && r.Version != 0 {
		l.adopt(now, r)
		return
	}
	if r.Version != l.record.Version || l.unchangedSince == 0 {
		l.unchangedSince = now
	}
	l.hasRecord, l.record, l.fencingToken = true, r, 0
}

// adopt accepts a record that this process wrote in an earlier write whose response was
// lost. The instance holds the lease from then on, but acts only after a renewal.
func (l *Lease) adopt(now time.Duration, r Record) {
	previous := l.record
	l.hasRecord, l.record = true, r
	if l.fencingToken == 0 {
		l.fencingToken = r.Version
		l.mayActFrom = l.earliestActionTime(now, previous)
		if !r.isOfEra(l.era) {
			l.mayActFrom = now + l.settings.Lifetime + l.settings.HandoverGap
		}
		l.sentAt = 0
	}
}

// RecordWrite records the successful write of a record, which was sent at sentAt and answered
// at now. version is the version that it created. ObserveEra must have been called with the
// version's era before. If this instance no longer holds the lease, because the write renewed
// a lease of an earlier era, the write counts as an acquisition.
func (l *Lease) RecordWrite(sentAt, now time.Duration, written Record, version object.Version) {
	if l.fencingToken == 0 {
		l.mayActFrom = l.earliestActionTime(now, l.record)
		l.fencingToken = version
	}
	l.hasRecord, l.sentAt, l.unchangedSince = true, sentAt, sentAt
	l.record = written
	l.record.Version = version
}

// earliestActionTime returns the time from which this instance may act if it acquires the lease
// after the former record and learns so at now.
func (l *Lease) earliestActionTime(now time.Duration, former Record) time.Duration {
	switch {
	case l.era > 0 && !former.isOfEra(l.era), former.Version != 0 && !former.Acted:
		return now + l.settings.Lifetime + l.settings.HandoverGap
	case former.Version == 0 || former.Holder == l.instance:
		return 0
	case former.Released:
		return l.unchangedSince + l.settings.HandoverGap
	default:
		return l.unchangedSince + l.settings.Lifetime + l.settings.HandoverGap
	}
}

// RecordLost records that this instance no longer holds the lease, because it releases the
// lease or another instance has written the record.
func (l *Lease) RecordLost() { l.fencingToken, l.hasRecord, l.unchangedSince = 0, false, 0 }

// RecordUncertainWrite records that a write failed or that its outcome is unknown. An
// instance that does not hold the lease then reads the record again.
func (l *Lease) RecordUncertainWrite() {
	if l.fencingToken == 0 {
		l.hasRecord = false
	}
}

// NextRecord returns the record for a write that this instance sends at now, and counts the
// write.
func (l *Lease) NextRecord(now time.Duration) Record {
	l.writes++
	acted := l.fencingToken != 0 && now >= l.mayActFrom
	r := Record{Holder: l.instance, Nonce: l.nonce, Writes: l.writes, Era: l.era, Acted: acted}
	r.HasCopy, r.CopyEra, r.CopyWrittenAt = l.record.InCopy(l.era)
	return r
}

// InCopy tells of the lease record in the copy from which the store came back in the given era, as r was read in that era: whether there
// was one, its Era and its WrittenAt. If r was written before, it is that record itself.
func (r Record) InCopy(era object.Era) (hasCopy bool, copyEra object.Era, writtenAt int64) {
	if r.Version != 0 && r.Era < era {
		return true, r.Era, r.WrittenAt
	}
	return r.HasCopy, r.CopyEra, r.CopyWrittenAt
}

// ExpectedVersion returns the version that the next write must find in the store. Zero means
// that no record must exist.
func (l *Lease) ExpectedVersion() object.Version { return l.record.Version }

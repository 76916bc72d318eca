// Package lease decides when an instance takes, renews and gives up the lease of
// a duty that only one instance may carry out. The lease is one object of the
// platform's store, changed by conditional update.
//
// A holder acts only until Lifetime after it sent its last successful renewal, by a
// clock that counts suspension. A successor takes the lease only after it has seen
// the same version for Lifetime, and acts only TurnGap later. The version of the
// write that took the lease is the fencing token; it rises from holder to holder.
package lease

import (
	"time"

	"savoryweir/internal/state/object"
)

// Settings are the times of a lease.
type Settings struct {
	Lifetime      time.Duration // after the renewal was sent
	RenewInterval time.Duration // between renewals
	HandoverGap   time.Duration // between the last act of a holder and the first of the next
	ExpiryMargin  time.Duration // by which a holder stops early
}

// Record is the content of the lease object.
type Record struct {
	Holder   string `json:"holder"` // instance, empty when released
	Nonce    string `json:"nonce"`  // of the holder's process
	Released bool   `json:"released"`
	// Writes counts the holder's writes: one that changes nothing makes no version,
	// and would look like a holder that is gone.
	Writes  uint64         `json:"writes"`
	Version object.Version `json:"-"`
}

// Step is what to do next.
type Step uint8

// The steps.
const (
	StepWait    Step = iota // until the returned time
	StepRead                // read the record
	StepAcquire             // write a record of one's own, on condition of the version read
	StepRenew               // write the same record again, on condition of the version
)

// Lease is one instance's view of the lease. Times are those of a clock that
// counts suspension. It is not safe for concurrent use.
type Lease struct {
	settings Settings
	instance string
	nonce    string

	known   bool // a record was read since the last doubt
	record  Record
	seenAt  time.Duration // since when the version stands unchanged
	heardAt time.Duration // last sign of life of another holder
	heard   bool
	fence   object.Version // zero if not held
	sentAt  time.Duration  // when the last successful write was sent
	actFrom time.Duration
	writes  uint64
}

// New returns the view of an instance that knows nothing yet.
func New(s Settings, instance, nonce string) *Lease {
	return &Lease{settings: s, instance: instance, nonce: nonce}
}

// ObserveHolder records a sign of life of another instance that acts as holder.
func (l *Lease) ObserveHolder(now time.Duration) { l.heard, l.heardAt = true, now }

// MayAct returns the fencing token if the instance may act now.
func (l *Lease) MayAct(now time.Duration) (object.Version, bool) {
	if l.fence == 0 || now < l.actFrom || now >= l.sentAt+l.settings.Lifetime-l.settings.ExpiryMargin {
		return 0, false
	}
	return l.fence, true
}

// Holds reports whether the instance has the lease, though it may not act yet.
func (l *Lease) Holds() bool { return l.fence != 0 }

// Next returns what to do now, and for StepWait until when.
func (l *Lease) Next(now time.Duration) (Step, time.Duration) {
	if l.fence != 0 {
		if due := l.sentAt + l.settings.RenewInterval; now < due {
			return StepWait, due
		}
		return StepRenew, 0
	}
	if quietFrom := l.heardAt + l.settings.Lifetime; l.heard && now < quietFrom {
		l.known = false // the version read before may have changed meanwhile
		return StepWait, quietFrom
	}
	if !l.known {
		return StepRead, 0
	}
	if l.isFree() {
		return StepAcquire, 0
	}
	if due := l.seenAt + l.settings.Lifetime; now < due {
		return StepWait, due
	}
	return StepAcquire, 0
}

// isFree reports whether the lease can be taken without waiting for its end.
func (l *Lease) isFree() bool {
	return l.record.Version == 0 || l.record.Released || l.record.Holder == l.instance
}

// RecordRead records what was read; version zero means that there is no record.
// askedAt is when the read was sent.
func (l *Lease) RecordRead(askedAt time.Duration, r Record) {
	if r.Nonce == l.nonce && !r.Released && r.Version != 0 {
		l.adopt(r)
		return
	}
	if r.Version != l.record.Version || l.seenAt == 0 {
		l.seenAt = askedAt
	}
	l.known, l.record, l.fence = true, r, 0
}

// adopt takes a record that an earlier write of this process left, the answer to
// which was lost. It is valid from then on only after a renewal.
func (l *Lease) adopt(r Record) {
	previous := l.record
	l.known, l.record = true, r
	if l.fence == 0 {
		l.fence = r.Version
		l.actFrom = l.firstAct(previous)
		l.sentAt = 0
	}
}

// RecordWrite records a successful write of a step that was sent at sentAt.
func (l *Lease) RecordWrite(step Step, sentAt time.Duration, version object.Version) {
	if step == StepAcquire {
		l.actFrom = l.firstAct(l.record)
		l.fence = version
	}
	l.known, l.sentAt, l.seenAt = true, sentAt, sentAt
	l.record = Record{Holder: l.instance, Nonce: l.nonce, Version: version}
}

// firstAct returns when this instance may act after a former record.
func (l *Lease) firstAct(former Record) time.Duration {
	switch {
	case former.Version == 0 || former.Holder == l.instance:
		return 0
	case former.Released:
		return l.seenAt + l.settings.HandoverGap
	default:
		return l.seenAt + l.settings.Lifetime + l.settings.HandoverGap
	}
}

// RecordLost records that another instance has written the record.
func (l *Lease) RecordLost() { l.fence, l.known, l.seenAt = 0, false, 0 }

// RecordUncertainWrite records that the outcome of a write is not known, or that it failed.
func (l *Lease) RecordUncertainWrite() {
	if l.fence == 0 {
		l.known = false
	}
}

// NextRecord returns the record for the next write of this instance.
func (l *Lease) NextRecord() Record {
	l.writes++
	return Record{Holder: l.instance, Nonce: l.nonce, Writes: l.writes}
}

// ExpectedVersion returns the version that a write must find, zero for none.
func (l *Lease) ExpectedVersion() object.Version { return l.record.Version }

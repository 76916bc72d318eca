// Package reconciler loads and unloads models and adapters on engines so that their
// placement follows demand. Every instance runs a reconciler, but only the one that
// holds the lease sends orders: it aggregates the demand that all instances report
// and carries out the plans of package rebalance.
package reconciler

import (
	"context"
	"encoding/json"
	"errors"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"savoryweir/internal/coordination/lease"
	"savoryweir/internal/pause"
	"savoryweir/internal/state/object"
)

// LeaseStore is the part of the platform's store that a LeaseManager uses.
type LeaseStore interface {
	object.Reader
	object.Writer
	// Era returns the newest era known of the store.
	Era() object.Era
}

const (
	leaseKind object.Kind = "savoryweir-leases"
	leaseName object.Name = "orders"
	// renewRetryDelay is the delay before the holder retries a failed renewal. It is
	// short enough for several attempts before the lease expires.
	renewRetryDelay = 300 * time.Millisecond
)

// LeaseSettings returns the timing of the lease that guards orders. handoverGap is the
// time that the platform requires between the last order of one holder and the
// first order of the next.
func LeaseSettings(handoverGap time.Duration) lease.Settings {
	return lease.Settings{
		Lifetime:      1500 * time.Millisecond, // three renewals, each with time for a slow response
		RenewInterval: 500 * time.Millisecond,
		HandoverGap:   handoverGap + 200*time.Millisecond, // allows for differences between clocks and between links
		ExpiryMargin:  300 * time.Millisecond,             // time for an order in flight to reach its engine
	}
}

// LeaseManager acquires, renews and releases the lease on behalf of this instance.
type LeaseManager struct {
	store LeaseStore
	log   zerolog.Logger
	clock func() (time.Duration, error)
	// retryDelay returns the delay before an instance without the lease calls a
	// store again that did not respond.
	retryDelay func() time.Duration
	// contentionDelay returns the longest random delay before an instance tries to acquire
	// the lease, so that not all instances of a large fleet try at the same time.
	contentionDelay func() time.Duration
	// jitter returns a random duration that is not negative and less than limit.
	jitter func(limit time.Duration) time.Duration

	// MayHold reports whether this instance can give orders. If not, it releases the lease and does
	// not acquire it. It may be nil, and is set before Run.
	MayHold func() bool

	isFirstHolder atomic.Bool // the lease was never held before this instance acquired it

	lease     *lease.Lease
	leaseLock chan struct{} // serves as a mutex for lease; Run holds it only briefly
}

// NewLeaseManager returns a lease manager for an instance. nonce identifies the
// process.
func NewLeaseManager(store LeaseStore, log zerolog.Logger, clock func() (time.Duration, error), retryDelay, contentionDelay func() time.Duration, jitter func(limit time.Duration) time.Duration, s lease.Settings, instance, nonce string) *LeaseManager {
	return &LeaseManager{store: store, log: log, clock: clock, retryDelay: retryDelay, contentionDelay: contentionDelay, jitter: jitter, lease: lease.New(s, instance, nonce), leaseLock: make(chan struct{}, 1)}
}

// withLease calls f while it holds the lock of the lease, which knows the newest era of the
// store by then.
func (m *LeaseManager) withLease(f func(l *lease.Lease)) {
	m.leaseLock <- struct{}{}
	defer func() { <-m.leaseLock }()
	heldBefore := m.lease.Holds()
	m.lease.ObserveEra(m.store.Era())
	if heldBefore && !m.lease.Holds() {
		m.log.Warn().Str("event", "lease.lost").Uint64("era", uint64(m.store.Era())).Msg("lease given up; the store came back from an older copy")
	}
	f(m.lease)
}

// now reads the clock that includes the time in which the system was suspended. If
// the clock can't be read, now returns false and the instance must not act as holder.
func (m *LeaseManager) now() (time.Duration, bool) {
	now, err := m.clock()
	if err != nil {
		m.log.Error().Err(err).Str("event", "lease.clock").Msg("failed to read the clock; the lease can't be used")
		return 0, false
	}
	return now, true
}

// FencingToken returns the fencing token of the lease, and whether this instance may
// send orders now.
func (m *LeaseManager) FencingToken() (object.Version, bool) {
	now, ok := m.now()
	if !ok {
		return 0, false
	}
	var fence object.Version
	m.withLease(func(l *lease.Lease) { fence, ok = l.MayAct(now) })
	return fence, ok
}

// HoldsLease reports whether this instance holds a valid lease, even if its turn to send
// orders has not come yet.
func (m *LeaseManager) HoldsLease() bool {
	now, ok := m.now()
	if !ok {
		return false
	}
	m.withLease(func(l *lease.Lease) { ok = l.IsValid(now) })
	return ok
}

// HadHolder reports whether the lease may have been held before this instance acquired it, by another one or by itself. The
// orders of that holder may still be under way.
func (m *LeaseManager) HadHolder() bool { return !m.isFirstHolder.Load() }

// ObserveHolder records that another instance has just shown that it holds the lease.
func (m *LeaseManager) ObserveHolder() {
	if now, ok := m.now(); ok {
		m.withLease(func(l *lease.Lease) { l.ObserveHolder(now) })
	}
}

// Run acquires and renews the lease until ctx ends, then releases it.
func (m *LeaseManager) Run(ctx context.Context) {
	for ctx.Err() == nil {
		now, ok := m.now()
		if !ok {
			pause.For(ctx, renewRetryDelay)
			continue
		}
		if m.MayHold != nil && !m.MayHold() {
			m.release()
			pause.For(ctx, mayHoldInterval)
			continue
		}
		var step lease.Step
		var until time.Duration
		m.withLease(func(l *lease.Lease) { step, until = l.Next(now) })
		switch step {
		case lease.StepWait:
			pause.For(ctx, min(until-now, time.Second)+m.jitter(m.contentionDelay()))
		case lease.StepRead:
			m.readRecord(ctx)
		default:
			m.writeRecord(ctx, step, now)
		}
	}
	m.release()
}

func (m *LeaseManager) readRecord(ctx context.Context) {
	record, err := ReadLease(ctx, m.store)
	if err == nil && record.Version != 0 && record.Version.Era() != m.store.Era() {
		err = errOutdatedRecord
	}
	if err != nil {
		m.log.Debug().Err(err).Str("event", "lease.unread").Msg("failed to read the lease record")
		delay := m.retryDelay()
		pause.For(ctx, delay/2+m.jitter(delay))
		return
	}
	m.recordRead(record)
}

// ReadLease returns the record of the lease of orders. Its version is zero if there is none.
func ReadLease(ctx context.Context, store object.Reader) (record lease.Record, err error) {
	o, err := store.Get(ctx, leaseKind, leaseName)
	if errors.Is(err, object.ErrNotFound) {
		return record, nil
	}
	if err == nil {
		err = json.Unmarshal(o.Data, &record)
	}
	record.Version = o.Version
	return record, err
}

// errOutdatedRecord reports that the store is known to have come back from an older copy
// since it answered a read.
var errOutdatedRecord = errors.New("lease record is of an earlier era of the store")

// recordRead records the result of a read that has just been answered, unless the store is
// known to have come back from an older copy since.
func (m *LeaseManager) recordRead(record lease.Record) {
	now, ok := m.now()
	if !ok {
		return
	}
	m.withLease(func(l *lease.Lease) {
		if record.Version == 0 || record.Version.Era() == m.store.Era() {
			l.RecordRead(now, record)
		}
	})
}

func (m *LeaseManager) writeRecord(ctx context.Context, step lease.Step, sentAt time.Duration) {
	var record lease.Record
	var expected object.Version
	m.withLease(func(l *lease.Lease) { record, expected = l.NextRecord(sentAt), l.ExpectedVersion() })
	if step == lease.StepAcquire {
		m.isFirstHolder.Store(false) // if the response is lost
	}
	record.WrittenAt = time.Now().UnixMilli()
	version, err := m.putRecord(ctx, record, expected)
	switch {
	case err == nil:
		m.recordWrite(sentAt, record, version)
		if step == lease.StepAcquire {
			m.isFirstHolder.Store(expected == 0 && version.Era() == 0) // a later era may have lost the record of one
			m.log.Info().Str("event", "lease.taken").Stringer("fence", version).Stringer("former", expected).Msg("lease acquired")
		}
	case errors.Is(err, object.ErrConflict) || errors.Is(err, object.ErrNotFound):
		m.resolveConflict(ctx)
	default:
		m.log.Info().Err(err).Str("event", "lease.doubt").Stringer("expected", expected).Msg("lease write failed or its outcome is unknown")
		m.withLease(func(l *lease.Lease) { l.RecordUncertainWrite() })
		delay := m.retryDelay()
		if step == lease.StepRenew {
			delay = renewRetryDelay
		}
		pause.For(ctx, delay/2+m.jitter(delay))
	}
}

// recordWrite records a successful write that has just been answered, unless the store is
// known to have lost it since.
func (m *LeaseManager) recordWrite(sentAt time.Duration, record lease.Record, version object.Version) {
	now, ok := m.now()
	if !ok {
		return
	}
	m.withLease(func(l *lease.Lease) {
		if version.Era() == m.store.Era() {
			l.RecordWrite(sentAt, now, record, version)
		}
	})
}

// putRecord writes the record if the stored version is still the expected one; zero
// means that no record must exist.
func (m *LeaseManager) putRecord(ctx context.Context, record lease.Record, expected object.Version) (object.Version, error) {
	data, err := json.Marshal(record)
	if err != nil {
		return 0, err
	}
	if expected == 0 {
		return m.store.Create(ctx, leaseKind, leaseName, data)
	}
	return m.store.Update(ctx, leaseKind, leaseName, data, expected)
}

// resolveConflict reads the record after a conflicting write, to find out whether
// another instance has changed it or an earlier write of this process whose response
// was lost.
func (m *LeaseManager) resolveConflict(ctx context.Context) {
	heldBefore := false
	m.withLease(func(l *lease.Lease) { heldBefore = l.Holds() })
	m.readRecord(ctx)
	stillHeld := false
	m.withLease(func(l *lease.Lease) { stillHeld = l.Holds() })
	if heldBefore && !stillHeld {
		m.log.Warn().Str("event", "lease.lost").Msg("lease lost; another instance acquired it")
	}
}

// mayHoldInterval is the interval at which an instance that can't give orders checks whether it can
// again.
const mayHoldInterval = 200 * time.Millisecond

// releaseTimeout bounds the write that releases the lease while the process stops.
const releaseTimeout = 500 * time.Millisecond

// release marks the lease as released, so that the next holder need not wait for it
// to expire.
func (m *LeaseManager) release() {
	now, ok := m.now()
	if !ok {
		return
	}
	var record lease.Record
	var expected object.Version
	held := false
	m.withLease(func(l *lease.Lease) {
		held = l.Holds()
		record, expected = l.NextRecord(now), l.ExpectedVersion()
		l.RecordLost()
	})
	if !held {
		return
	}
	record.Released = true
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	_, err := m.putRecord(ctx, record, expected)
	m.log.Info().Err(err).Str("event", "lease.released").Msg("instance stopped holding the lease")
}

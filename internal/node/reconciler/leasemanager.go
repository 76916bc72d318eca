// Package steward lets one instance at a time give orders to engines: it keeps the
// lease, follows demand over all instances, and carries out the plans of package
// steering.
package reconciler

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/rs/zerolog"

	"savoryweir/internal/coordination/lease"
	"savoryweir/internal/pause"
	"savoryweir/internal/state/object"
)

// LeaseStore is what the lease needs of the store.
type LeaseStore interface {
	object.Reader
	object.Writer
}

const (
	leaseKind object.Kind = "savoryweir-leases"
	leaseName object.Name = "orders"
	// renewRetry is the pause before a holder tries again to renew its lease, so that
	// it has several tries before the lease ends.
	renewRetry = 300 * time.Millisecond
)

// LeaseSettings returns the times of the lease of orders. turnGap is the time
// that the platform asks for between the orders of two holders.
func LeaseSettings(turnGap time.Duration) lease.Settings {
	return lease.Settings{
		Lifetime:      1500 * time.Millisecond, // three renewals, each with room for a slow answer
		RenewInterval: 500 * time.Millisecond,
		HandoverGap:   turnGap + 200*time.Millisecond, // beyond the clocks' and links' differences
		ExpiryMargin:  300 * time.Millisecond,         // an order's way to its engine
	}
}

// LeaseManager keeps this instance's view of the lease up to date.
type LeaseManager struct {
	store LeaseStore
	log   zerolog.Logger
	clock func() (time.Duration, error)
	// retry returns the pause before an instance without the lease reads it again
	// from a store that does not answer.
	retry func() time.Duration

	lease  *lease.Lease
	locked chan struct{} // a mutex for lease that Run can hold without blocking long
}

// NewLeaseManager returns a holder for an instance. nonce names the process.
func NewLeaseManager(store LeaseStore, log zerolog.Logger, clock func() (time.Duration, error), retry func() time.Duration, s lease.Settings, instance, nonce string) *LeaseManager {
	return &LeaseManager{store: store, log: log, clock: clock, retry: retry, lease: lease.New(s, instance, nonce), locked: make(chan struct{}, 1)}
}

func (h *LeaseManager) with(f func(l *lease.Lease)) {
	h.locked <- struct{}{}
	defer func() { <-h.locked }()
	f(h.lease)
}

// now reads the clock that counts suspension. Without it no lease is held.
func (h *LeaseManager) now() (time.Duration, bool) {
	now, err := h.clock()
	if err != nil {
		h.log.Error().Err(err).Str("event", "lease.clock").Msg("clock can't be read")
		return 0, false
	}
	return now, true
}

// FencingToken returns the fencing token while this instance may give orders.
func (h *LeaseManager) FencingToken() (object.Version, bool) {
	now, ok := h.now()
	if !ok {
		return 0, false
	}
	var fence object.Version
	h.with(func(l *lease.Lease) { fence, ok = l.MayAct(now) })
	return fence, ok
}

// ObserveHolder records a sign of life of another holder.
func (h *LeaseManager) ObserveHolder() {
	if now, ok := h.now(); ok {
		h.with(func(l *lease.Lease) { l.ObserveHolder(now) })
	}
}

// Run keeps the lease until ctx ends, then releases it.
func (h *LeaseManager) Run(ctx context.Context) {
	for ctx.Err() == nil {
		now, ok := h.now()
		if !ok {
			pause.For(ctx, renewRetry)
			continue
		}
		var step lease.Step
		var until time.Duration
		h.with(func(l *lease.Lease) { step, until = l.Next(now) })
		switch step {
		case lease.StepWait:
			pause.For(ctx, min(until-now, time.Second)+rand.N(50*time.Millisecond))
		case lease.StepRead:
			h.read(ctx, now)
		default:
			h.write(ctx, step, now)
		}
	}
	h.release()
}

func (h *LeaseManager) read(ctx context.Context, askedAt time.Duration) {
	o, err := h.store.Get(ctx, leaseKind, leaseName)
	if errors.Is(err, object.ErrNotFound) {
		h.with(func(l *lease.Lease) { l.RecordRead(askedAt, lease.Record{}) })
		return
	}
	var record lease.Record
	if err == nil {
		err = json.Unmarshal(o.Data, &record)
	}
	if err != nil {
		h.log.Debug().Err(err).Str("event", "lease.unread").Msg("lease was not read")
		wait := h.retry()
		pause.For(ctx, wait/2+rand.N(wait))
		return
	}
	record.Version = o.Version
	h.with(func(l *lease.Lease) { l.RecordRead(askedAt, record) })
}

func (h *LeaseManager) write(ctx context.Context, step lease.Step, sentAt time.Duration) {
	var record lease.Record
	var expected object.Version
	h.with(func(l *lease.Lease) { record, expected = l.NextRecord(), l.ExpectedVersion() })
	version, err := h.put(ctx, record, expected)
	switch {
	case err == nil:
		h.with(func(l *lease.Lease) { l.RecordWrite(step, sentAt, version) })
		if step == lease.StepAcquire {
			h.log.Info().Str("event", "lease.taken").Uint64("fence", uint64(version)).Uint64("former", uint64(expected)).Msg("lease of orders taken")
		}
	case errors.Is(err, object.ErrConflict) || errors.Is(err, object.ErrNotFound):
		h.conflict(ctx)
	default:
		h.log.Info().Err(err).Str("event", "lease.doubt").Uint64("expected", uint64(expected)).Msg("lease was not written")
		h.with(func(l *lease.Lease) { l.RecordUncertainWrite() })
		wait := h.retry()
		if step == lease.StepRenew {
			wait = renewRetry
		}
		pause.For(ctx, wait/2+rand.N(wait))
	}
}

func (h *LeaseManager) put(ctx context.Context, record lease.Record, expected object.Version) (object.Version, error) {
	data, err := json.Marshal(record)
	if err != nil {
		return 0, err
	}
	if expected == 0 {
		return h.store.Create(ctx, leaseKind, leaseName, data)
	}
	return h.store.Update(ctx, leaseKind, leaseName, data, expected)
}

// conflict finds out who has changed the record: another instance, or an earlier
// write of this one whose answer was lost.
func (h *LeaseManager) conflict(ctx context.Context) {
	askedAt, ok := h.now()
	if !ok {
		return
	}
	held := false
	h.with(func(l *lease.Lease) { held = l.Holds() })
	h.read(ctx, askedAt)
	still := false
	h.with(func(l *lease.Lease) { still = l.Holds() })
	if held && !still {
		h.log.Warn().Str("event", "lease.lost").Msg("lease of orders was taken by another instance")
	}
}

// releaseTime bounds the last write of a process that is stopping.
const releaseTime = 500 * time.Millisecond

// Release gives the lease up, so that another instance need not wait for its end.
func (h *LeaseManager) release() {
	var record lease.Record
	var expected object.Version
	held := false
	h.with(func(l *lease.Lease) {
		held = l.Holds()
		record, expected = l.NextRecord(), l.ExpectedVersion()
		l.RecordLost()
	})
	if !held {
		return
	}
	record.Released = true
	ctx, cancel := context.WithTimeout(context.Background(), releaseTime)
	defer cancel()
	_, err := h.put(ctx, record, expected)
	h.log.Info().Err(err).Str("event", "lease.released").Msg("lease of orders released")
}

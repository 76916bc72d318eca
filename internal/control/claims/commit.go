package claims

import (
	"context"
	"encoding/binary"
	"errors"
	"time"

	"savoryweir/internal/coordination/claims"
	"savoryweir/internal/pause"
	"savoryweir/internal/state/journal"
	"savoryweir/internal/state/object"
)

const maxCommitAttempts = 6

// conflictBackoff spreads the commits of owners that meet at one shard, and
// those that the store throttles.
var conflictBackoff = claims.Backoff{Base: 20 * time.Millisecond, Max: 500 * time.Millisecond}

// commit decides the operations and writes the result in one conditional
// update. A version conflict means that another owner wrote: the shard is read
// again and all operations are decided anew.
func (w *worker) commit(ctx context.Context, pending []*operation) {
	why := refusalStore
	for attempt := range maxCommitAttempts {
		pending = live(pending, time.Now())
		if len(pending) == 0 {
			return
		}
		if !w.gate.allow(time.Now()) {
			break
		}
		err := w.attempt(ctx, pending)
		w.noteStore(err)
		if err == nil {
			return
		}
		w.metrics.commitFailed(err)
		if inDoubt(err) {
			why = refusalDoubt
		}
		if errors.Is(err, object.ErrUnavailable) || ctx.Err() != nil {
			break
		}
		pause.For(ctx, w.random.backoff(conflictBackoff, attempt))
	}
	refuseAll(pending, why)
}

// inDoubt reports whether a failed commit may have taken effect.
func inDoubt(err error) bool {
	return !errors.Is(err, object.ErrUnavailable) && !errors.Is(err, object.ErrThrottled) && !errors.Is(err, object.ErrConflict)
}

// noteStore tells the gate whether the store answers.
func (w *worker) noteStore(err error) {
	if errors.Is(err, object.ErrUnavailable) {
		w.gate.failed(time.Now())
		return
	}
	w.gate.succeeded()
}

// attempt decides and writes once. It replies only when the decisions hold.
//
// Operations that nobody waits for any more are left out after the shard was read.
// A claim that is decided in time is based on a version from before its last
// release, so that the write of one of the two fails. A claim decided after its
// release would hold the order for nobody.
func (w *worker) attempt(ctx context.Context, pending []*operation) error {
	if err := w.open(ctx); err != nil {
		return err
	}
	now := time.Now()
	pending = live(pending, now)
	draft := w.shard.Begin(now)
	decisions := make([]journal.Decision, len(pending))
	for i, op := range pending {
		decisions[i] = op.decide(draft)
	}
	if draft.Changed() {
		if err := w.write(ctx, draft); err != nil {
			return err
		}
		w.metrics.batch(len(pending))
	}
	for i, op := range pending {
		op.answer <- reply{decision: decisions[i]}
	}
	return nil
}

// open reads the shard once.
func (w *worker) open(ctx context.Context) error {
	if w.loaded {
		return nil
	}
	if err := w.store.open(ctx, w.shard); err != nil {
		return err
	}
	w.loaded = true
	return nil
}

// write commits a draft. When the answer of the store is lost, the head's nonce
// tells whether the write took effect.
func (w *worker) write(ctx context.Context, draft *journal.Draft) error {
	w.lastCommit = time.Now()
	plan := draft.Plan(w.nonce())
	version, err := w.store.write(ctx, &plan)
	if err == nil {
		draft.Commit(plan, version)
		w.store.discard(plan.Obsolete)
		return nil
	}
	if errors.Is(err, object.ErrUnavailable) || errors.Is(err, object.ErrThrottled) {
		return err
	}
	if loadErr := w.store.load(ctx, w.shard); loadErr != nil {
		return err
	}
	if w.shard.Head().Nonce != plan.Head.Nonce {
		return err
	}
	w.metrics.readBack()
	w.store.discard(plan.Obsolete)
	return nil
}

func (w *worker) nonce() journal.Nonce {
	var n journal.Nonce
	binary.BigEndian.PutUint64(n[:], w.random.uint64())
	return n
}

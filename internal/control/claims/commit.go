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

// commitBackoff spreads the commits of owners that meet at one shard, and
// those that the store throttles.
var commitBackoff = claims.Backoff{Base: 20 * time.Millisecond, Max: 500 * time.Millisecond}

// commit decides the operations and writes the result in one conditional
// update. A version conflict means that another owner wrote: the shard is read
// again and all operations are decided anew.
func (w *shardWorker) commit(ctx context.Context, pending []*operation) {
	reason := refusalStoreDown
	for attempt := range maxCommitAttempts {
		pending = withoutAbandoned(pending, time.Now())
		if len(pending) == 0 {
			return
		}
		if !w.breaker.allow(time.Now()) {
			break
		}
		err := w.tryCommit(ctx, pending)
		w.recordStoreResult(err)
		if err == nil {
			return
		}
		w.metrics.countCommitFailure(err)
		if mayHaveCommitted(err) {
			reason = refusalInDoubt
		}
		if errors.Is(err, object.ErrUnavailable) || ctx.Err() != nil {
			break
		}
		pause.For(ctx, w.random.backoff(commitBackoff, attempt))
	}
	refuseAll(pending, reason)
}

// mayHaveCommitted reports whether a failed commit may have taken effect.
func mayHaveCommitted(err error) bool {
	return !errors.Is(err, object.ErrUnavailable) && !errors.Is(err, object.ErrThrottled) && !errors.Is(err, object.ErrConflict)
}

// recordStoreResult tells the gate whether the store answers.
func (w *shardWorker) recordStoreResult(err error) {
	if errors.Is(err, object.ErrUnavailable) {
		w.breaker.recordFailure(time.Now())
		return
	}
	w.breaker.recordSuccess()
}

// tryCommit decides and writes once. It replies only when the decisions hold.
//
// Operations that nobody waits for any more are left out after the shard was read.
// A claim that is decided in time is based on a version from before its last
// release, so that the write of one of the two fails. A claim decided after its
// release would hold the order for nobody.
func (w *shardWorker) tryCommit(ctx context.Context, pending []*operation) error {
	if err := w.ensureLoaded(ctx); err != nil {
		return err
	}
	now := time.Now()
	pending = withoutAbandoned(pending, now)
	draft := w.shard.Begin(now)
	decisions := make([]journal.Decision, len(pending))
	for i, op := range pending {
		decisions[i] = op.decide(draft)
	}
	if draft.Changed() {
		if err := w.writeDraft(ctx, draft); err != nil {
			return err
		}
		w.metrics.countCommit(len(pending))
	}
	for i, op := range pending {
		op.answer <- reply{decision: decisions[i]}
	}
	return nil
}

// ensureLoaded reads the shard once.
func (w *shardWorker) ensureLoaded(ctx context.Context) error {
	if w.loaded {
		return nil
	}
	if err := w.store.open(ctx, w.shard); err != nil {
		return err
	}
	w.loaded = true
	return nil
}

// writeDraft commits a draft. When the answer of the store is lost, the head's nonce
// tells whether the writeDraft took effect.
func (w *shardWorker) writeDraft(ctx context.Context, draft *journal.Draft) error {
	w.lastCommit = time.Now()
	plan := draft.Plan(w.newNonce())
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
	w.metrics.countReadBack()
	w.store.discard(plan.Obsolete)
	return nil
}

func (w *shardWorker) newNonce() journal.Nonce {
	var n journal.Nonce
	binary.BigEndian.PutUint64(n[:], w.random.uint64())
	return n
}

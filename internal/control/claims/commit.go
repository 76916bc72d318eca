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

// maxCommitAttempts is the maximum number of attempts to commit one batch before
// its operations are refused.
const maxCommitAttempts = 6

// commitBackoff delays the next attempt after a version conflict with another
// owner of the shard, or after the store throttled a commit.
var commitBackoff = claims.Backoff{Base: 20 * time.Millisecond, Max: 500 * time.Millisecond}

// commit decides the operations and writes the result in one conditional
// update. A version conflict means that another owner has written the shard;
// commit then reads the shard and decides all operations again.
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

// mayHaveCommitted reports whether a commit that returned err may have taken effect.
func mayHaveCommitted(err error) bool {
	return !errors.Is(err, object.ErrUnavailable) && !errors.Is(err, object.ErrThrottled) && !errors.Is(err, object.ErrConflict)
}

// recordStoreResult reports to the circuit breaker whether the store answered.
func (w *shardWorker) recordStoreResult(err error) {
	if errors.Is(err, object.ErrUnavailable) {
		w.breaker.recordFailure(time.Now())
		return
	}
	w.breaker.recordSuccess()
}

// tryCommit decides the operations and writes the result once. It replies to the
// operations only when the write has succeeded or none was needed.
//
// It drops abandoned operations after it has read the shard. The decision on a
// claim that is still awaited is based on a version from before the claim's last
// release, so that the write of either the claim or the release fails with a
// conflict. A claim that is decided after its release would hold the order
// although no caller uses the claim.
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
	if draft.NeedsWrite() {
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

// ensureLoaded reads the shard from the store if this worker has not read it yet.
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

// writeDraft writes a draft to the store and commits it to the shard in memory.
// When the answer of the store is lost, it reads the head back: the nonce tells
// whether the write took effect.
func (w *shardWorker) writeDraft(ctx context.Context, draft *journal.Transaction) error {
	w.lastCommit = time.Now()
	plan := draft.PlanWrite(w.newNonce())
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

// newNonce returns a random nonce, by which a head can be recognised later.
func (w *shardWorker) newNonce() journal.Nonce {
	var n journal.Nonce
	binary.BigEndian.PutUint64(n[:], w.random.uint64())
	return n
}

package claims

import (
	"context"
	"time"

	"savoryweir/internal/pause"
	"savoryweir/internal/queue"
	"savoryweir/internal/state/journal"
)

// shardWorker decides and commits the operations of one open shard. Only its
// goroutine accesses the shard.
type shardWorker struct {
	id       journal.ShardID
	shard    *journal.Shard
	store    *shardStore
	settings Settings
	breaker  *circuitBreaker
	random   *lockedRand
	metrics  *metrics
	queue    *queue.Queue[*operation]

	loaded     bool
	lastCommit time.Time
}

// queueBatches is the capacity of a worker's queue, in batches. Further operations
// are refused at once, because their callers would otherwise time out and retry at
// other members.
const queueBatches = 2

// run serves operations until ctx ends or the shard has been idle for IdleUnload.
// When the shard is idle, removeIfIdle reports whether the worker may stop.
func (w *shardWorker) run(ctx context.Context, removeIfIdle func() bool) {
	var pending []*operation
	for ctx.Err() == nil {
		if len(pending) == 0 {
			op, err := w.next(ctx, time.Now().Add(w.settings.IdleUnload))
			if err != nil && removeIfIdle() {
				return
			}
			pending = w.add(pending, op)
			continue
		}
		if op, ok := w.nextBeforeCommit(ctx, pending); ok {
			pending = w.add(pending, op)
			continue
		}
		w.commit(ctx, pending)
		pending = nil
	}
	refuseAll(pending, refusalStoreDown)
}

// next returns the next operation from the queue. It waits for one until the
// deadline.
func (w *shardWorker) next(ctx context.Context, deadline time.Time) (*operation, error) {
	waitCtx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	return w.queue.Get(waitCtx)
}

// nextBeforeCommit waits for another operation until the pending ones are due. It
// reports false when the pending operations are to be committed now.
func (w *shardWorker) nextBeforeCommit(ctx context.Context, pending []*operation) (*operation, bool) {
	if len(pending) >= w.settings.BatchSize {
		pause.For(ctx, time.Until(w.lastCommit.Add(w.settings.commitPacing().Interval)))
		return nil, false
	}
	due := w.settings.commitPacing().NextCommit(w.lastCommit, countPending(pending))
	if !time.Now().Before(due) {
		return w.takeQueued()
	}
	op, err := w.next(ctx, due)
	return op, err == nil
}

// takeQueued returns an operation from the queue without waiting for one.
func (w *shardWorker) takeQueued() (*operation, bool) {
	ops := w.queue.Drain(1)
	if len(ops) == 0 {
		return nil, false
	}
	return ops[0], true
}

// add appends an operation to the pending ones, unless it is abandoned or can be
// answered from memory.
func (w *shardWorker) add(pending []*operation, op *operation) []*operation {
	if op == nil || op.abandoned(time.Now()) {
		return pending
	}
	if w.answerFromMemory(op) {
		return pending
	}
	return append(pending, op)
}

// answerFromMemory answers a claim that needs no write. An outdated shard gives no
// wrong answer, because records of finished orders and fingerprints never change
// within a key's lifetime, and because the caller asks the claimant about an order
// that is held.
func (w *shardWorker) answerFromMemory(op *operation) bool {
	if op.claim == nil || !w.loaded {
		return false
	}
	decision := op.decide(w.shard.Begin(time.Now()))
	switch decision.Verdict {
	case journal.VerdictFinished, journal.VerdictMismatch, journal.VerdictHeld:
		op.answer <- reply{decision: decision}
		return true
	default:
		return false
	}
}

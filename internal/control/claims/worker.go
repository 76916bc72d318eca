package claims

import (
	"context"
	"time"

	"savoryweir/internal/pause"
	"savoryweir/internal/queue"
	"savoryweir/internal/state/journal"
)

// worker owns one open shard. Its goroutine alone touches the shard.
type worker struct {
	id       journal.ShardID
	shard    *journal.Shard
	store    *shardStore
	settings Settings
	gate     *gate
	random   *random
	metrics  *metrics
	ring     *queue.Queue[*operation]

	loaded     bool
	lastCommit time.Time
}

// ringFactor is the room in a worker's ring, in batches. Operations beyond it are
// refused at once: their callers would time out, and turn to other members.
const ringFactor = 2

// run serves operations until ctx ends or the shard is idle. The callback close
// reports whether the worker may stop.
func (w *worker) run(ctx context.Context, close func() bool) {
	var pending []*operation
	for ctx.Err() == nil {
		if len(pending) == 0 {
			op, err := w.next(ctx, time.Now().Add(w.settings.IdleUnload))
			if err != nil && close() {
				return
			}
			pending = w.add(pending, op)
			continue
		}
		if op, waiting := w.await(ctx, pending); waiting {
			pending = w.add(pending, op)
			continue
		}
		w.commit(ctx, pending)
		pending = nil
	}
	refuseAll(pending, refusalStore)
}

// next takes one operation from the ring and waits for it until the deadline.
func (w *worker) next(ctx context.Context, deadline time.Time) (*operation, error) {
	waitCtx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	return w.ring.Get(waitCtx)
}

// await waits for another operation until the pending ones are due. It is
// false when they are to be committed now.
func (w *worker) await(ctx context.Context, pending []*operation) (*operation, bool) {
	if len(pending) >= w.settings.BatchSize {
		pause.For(ctx, time.Until(w.lastCommit.Add(w.settings.pace().Interval)))
		return nil, false
	}
	due := w.settings.pace().NextCommit(w.lastCommit, queueOf(pending))
	if !time.Now().Before(due) {
		return w.drainOne()
	}
	op, err := w.next(ctx, due)
	return op, err == nil
}

func (w *worker) drainOne() (*operation, bool) {
	ops := w.ring.Drain(1)
	if len(ops) == 0 {
		return nil, false
	}
	return ops[0], true
}

// add appends an operation, unless the committed shard already answers it.
func (w *worker) add(pending []*operation, op *operation) []*operation {
	if op == nil || op.abandoned(time.Now()) {
		return pending
	}
	if w.answerFromMemory(op) {
		return pending
	}
	return append(pending, op)
}

// answerFromMemory answers a claim that needs no write. Records of finished
// orders and fingerprints never change within a key's lifetime, so that an
// outdated shard gives no wrong answer. A held order is asked about at its claimant.
func (w *worker) answerFromMemory(op *operation) bool {
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

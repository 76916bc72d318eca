package claims

import (
	"context"
	"time"

	"savoryweir/internal/coordination/claims"
	"savoryweir/internal/state/journal"
)

// operation is a claim or a finish that waits for its shard.
type operation struct {
	ctx     context.Context // ends when nobody waits for the answer any more
	arrived time.Time
	claim   *journal.Claim  // nil for a finish
	finish  *journal.Finish // nil for a claim
	answer  chan reply      // holds one reply
}

// reply is a decision, or the reason why there is none.
type reply struct {
	decision journal.Decision
	refusal  refusal // empty when there is a decision
}

// refusal says why nothing was granted or recorded.
type refusal string

// The refusals.
const (
	refusalNone        refusal = ""
	refusalStoreDown   refusal = "store unavailable"
	refusalOverload    refusal = "too many claims"
	refusalJournalFull refusal = "journal full"
	refusalTimeout     refusal = "no answer in time"
	refusalInDoubt     refusal = "outcome of store write unknown"
	refusalGivenUp     refusal = "claim given up"
	refusalNotRunning  refusal = "claims service not running"
	refusalMalformed   refusal = "malformed request"
)

// definite reports whether a refused claim is recorded nowhere.
func (r refusal) definite() bool { return r != refusalTimeout && r != refusalInDoubt }

// retryElsewhere reports whether another member may grant what this one refused. A
// member that is overloaded does not count: others would only contend with it.
func (r refusal) retryElsewhere() bool { return r == refusalStoreDown || r == refusalNotRunning }

func newOperation(ctx context.Context, now time.Time) *operation {
	return &operation{ctx: ctx, arrived: now, answer: make(chan reply, 1)}
}

// decide applies the operation to a draft.
func (o *operation) decide(d *journal.Draft) journal.Decision {
	if o.claim != nil {
		return d.Claim(*o.claim)
	}
	return d.Finish(*o.finish)
}

// abandoned reports whether nobody waits for the answer any more. It compares the
// deadline itself, since the context of a process that was paused ends with a delay.
func (o *operation) abandoned(now time.Time) bool {
	deadline, ok := o.ctx.Deadline()
	return o.ctx.Err() != nil || ok && !now.Before(deadline)
}

// countPending describes the waiting operations to the pace.
func countPending(pending []*operation) claims.PendingOperations {
	var q claims.PendingOperations
	for _, op := range pending {
		if op.claim != nil {
			q.Claims++
			continue
		}
		if q.Finishes == 0 {
			q.OldestFinishArrival = op.arrived
		}
		q.Finishes++
	}
	return q
}

func withoutAbandoned(pending []*operation, now time.Time) []*operation {
	var kept []*operation
	for _, op := range pending {
		if !op.abandoned(now) {
			kept = append(kept, op)
		}
	}
	return kept
}

func refuseAll(pending []*operation, reason refusal) {
	for _, op := range pending {
		op.answer <- reply{refusal: reason}
	}
}

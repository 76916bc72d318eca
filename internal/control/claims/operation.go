package claims

import (
	"context"
	"time"

	"savoryweir/internal/coordination/claims"
	"savoryweir/internal/state/journal"
)

// operation is a claim or a finish that waits to be committed to its shard.
type operation struct {
	ctx     context.Context // ends when the caller stops waiting for the answer
	arrived time.Time
	claim   *journal.Claim  // nil for a finish
	finish  *journal.Finish // nil for a claim
	answer  chan reply      // buffered, receives one reply
}

// reply contains the decision on an operation, or the reason why there is none.
type reply struct {
	decision journal.Decision
	refusal  refusal // empty when there is a decision
}

// refusal is the reason why nothing was granted or recorded. It is sent to the
// caller as the reason of the response.
type refusal string

// The reasons of refusals.
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

// definite reports whether it is certain that the refused claim is recorded
// nowhere.
func (r refusal) definite() bool { return r != refusalTimeout && r != refusalInDoubt }

// retryElsewhere reports whether another member may grant what this one refused.
// An overload is not retried at another member, since that member would only
// contend with this one for the shard.
func (r refusal) retryElsewhere() bool { return r == refusalStoreDown || r == refusalNotRunning }

func newOperation(ctx context.Context, now time.Time) *operation {
	return &operation{ctx: ctx, arrived: now, answer: make(chan reply, 1)}
}

// decide applies the operation to a draft.
func (o *operation) decide(d *journal.Transaction) journal.Decision {
	if o.claim != nil {
		return d.Claim(*o.claim)
	}
	return d.Finish(*o.finish)
}

// abandoned reports whether the caller has stopped waiting for the answer. It
// compares the deadline itself, since after a pause of the process the context
// ends with a delay.
func (o *operation) abandoned(now time.Time) bool {
	deadline, ok := o.ctx.Deadline()
	return o.ctx.Err() != nil || ok && !now.Before(deadline)
}

// countPending summarises the pending operations for the commit pacing.
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

// withoutAbandoned returns the operations whose callers still wait.
func withoutAbandoned(pending []*operation, now time.Time) []*operation {
	var kept []*operation
	for _, op := range pending {
		if !op.abandoned(now) {
			kept = append(kept, op)
		}
	}
	return kept
}

// refuseAll answers all operations with a refusal.
func refuseAll(pending []*operation, reason refusal) {
	for _, op := range pending {
		op.answer <- reply{refusal: reason}
	}
}

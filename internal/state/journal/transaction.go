package journal

import (
	"time"

	"savoryweir/internal/state/order"
)

// Claim is a request of a claimant for the right to run an order, as the owner of the
// shard receives it.
type Claim struct {
	Key         KeyHash
	Fingerprint Fingerprint
	Token       Token
	Claimant    Claimant
	Deadline    time.Time
	Supersedes  Token // an earlier claim that its claimant has abandoned, zero if none
}

// Finish reports the end of a claimed order.
type Finish struct {
	Key         KeyHash
	Token       Token
	Fingerprint Fingerprint // required for OutcomeNotRun
	Claimant    Claimant
	Result      order.Result
}

// Verdict is the response to a claim or a finish.
type Verdict string

// The verdicts.
const (
	// VerdictGranted gives the claimant the right to run the order. It takes effect when
	// the transaction is committed.
	VerdictGranted Verdict = "granted"
	// VerdictFinished comes with the record of an earlier run.
	VerdictFinished Verdict = "finished"
	// VerdictHeld comes with the record of the claim that holds the order.
	VerdictHeld Verdict = "held"
	// VerdictMismatch means that the key was used for a different order.
	VerdictMismatch Verdict = "mismatch"
	// VerdictShardFull means that the shard currently accepts no more keys.
	VerdictShardFull Verdict = "full"
	// VerdictReleased means that the same claim, by its token, was released before.
	VerdictReleased Verdict = "given up"
	// VerdictRecorded means that the finish is recorded. It takes effect when the
	// transaction is committed.
	VerdictRecorded Verdict = "recorded"
	// VerdictNotHolder means that the token of a finish holds no claim.
	VerdictNotHolder Verdict = "not holder"
)

// Decision is a verdict with the record that it is based on.
type Decision struct {
	Verdict Verdict
	Record  Record
}

// Transaction collects the changes of one write on top of the committed shard.
type Transaction struct {
	shard       *Shard
	now         time.Time
	changed     map[KeyHash]Record
	changeOrder []KeyHash // keys of changed, in the order of their first change
	newKeys     int       // number of changed keys without an unexpired committed record
	mustVerify  bool      // a decision is valid only if the committed shard is the newest
}

// Begin starts a transaction at the given time.
func (s *Shard) Begin(now time.Time) *Transaction {
	return &Transaction{shard: s, now: now, changed: make(map[KeyHash]Record)}
}

// NeedsWrite reports whether the transaction needs a write. A transaction without
// changes needs one if a decision depends on the shard being the newest: the condition
// of the write proves that, whereas a read may be stale.
func (tx *Transaction) NeedsWrite() bool { return len(tx.changed) > 0 || tx.mustVerify }

func (tx *Transaction) lookup(key KeyHash) (Record, bool) {
	if r, ok := tx.changed[key]; ok {
		return r, true
	}
	r, ok := tx.shard.records[key]
	if !ok || tx.shard.isExpired(r.Expires, tx.now) {
		return Record{State: StateAbsent}, false
	}
	return r, true
}

func (tx *Transaction) put(r Record) {
	if _, ok := tx.changed[r.Key]; !ok {
		tx.changeOrder = append(tx.changeOrder, r.Key)
	}
	if _, ok := tx.lookup(r.Key); !ok {
		tx.newKeys++
	}
	tx.changed[r.Key] = r
}

// Claim decides a claim. A repeated claim is idempotent, because a token that holds the
// order is granted it again.
func (tx *Transaction) Claim(c Claim) Decision {
	r, ok := tx.lookup(c.Key)
	if !ok {
		return tx.claimNewKey(c)
	}
	if r.Fingerprint != c.Fingerprint {
		return Decision{VerdictMismatch, r}
	}
	switch {
	case r.State == StateFinished || r.State == StateUnknown:
		return Decision{VerdictFinished, r}
	case r.State == StateReleased && r.Token == c.Token:
		return Decision{VerdictReleased, r}
	case r.State == StateReleased:
		return tx.grant(c, r.State, eventClaim)
	case r.Token == c.Token:
		return Decision{VerdictGranted, r}
	case r.Token == c.Supersedes:
		return tx.grant(c, r.State, eventSupersede)
	default:
		return Decision{VerdictHeld, r}
	}
}

func (tx *Transaction) claimNewKey(c Claim) Decision {
	if tx.shard.Len()+tx.newKeys >= tx.shard.limits.MaxRecords {
		return Decision{Verdict: VerdictShardFull}
	}
	return tx.grant(c, StateAbsent, eventClaim)
}

func (tx *Transaction) grant(c Claim, from State, event lifecycleEvent) Decision {
	state, ok := tx.shard.lifecycle.next(from, event)
	if !ok {
		return Decision{Verdict: VerdictHeld}
	}
	r := Record{
		Key:         c.Key,
		Token:       c.Token,
		Fingerprint: c.Fingerprint,
		State:       state,
		Claimant:    c.Claimant,
		Deadline:    c.Deadline.Truncate(time.Millisecond),
		Expires:     tx.now.Add(tx.shard.limits.Lifetime).Truncate(time.Millisecond),
	}
	tx.put(r)
	return Decision{VerdictGranted, r}
}

// Finish decides the end of an order. It changes nothing if the end is already recorded,
// or if the token holds no claim. The latter may be due to an outdated shard, so the
// transaction then needs a write that verifies that the shard is the newest.
func (tx *Transaction) Finish(f Finish) Decision {
	r, ok := tx.lookup(f.Key)
	if !ok && f.Result.Outcome == order.OutcomeNotRun {
		return tx.releaseUnclaimed(f)
	}
	if !ok || r.Token != f.Token {
		tx.mustVerify = true
		return Decision{VerdictNotHolder, r}
	}
	state, ok := tx.shard.lifecycle.next(r.State, finishEvent(f.Result.Outcome))
	if !ok {
		return Decision{VerdictRecorded, r}
	}
	r.State = state
	r.Result = nil
	if state == StateFinished {
		r.Result = NewStoredResult(f.Result, tx.shard.limits.MaxBodyBytes)
	}
	tx.put(r)
	return Decision{VerdictRecorded, r}
}

// releaseUnclaimed records the release of a claim that is not recorded. The claim may
// still arrive, and must not be granted then.
func (tx *Transaction) releaseUnclaimed(f Finish) Decision {
	r := Record{
		Key:         f.Key,
		Token:       f.Token,
		Fingerprint: f.Fingerprint,
		State:       StateReleased,
		Claimant:    f.Claimant,
		Deadline:    tx.now.Truncate(time.Millisecond),
		Expires:     tx.now.Add(tx.shard.limits.Lifetime).Truncate(time.Millisecond),
	}
	tx.put(r)
	return Decision{VerdictRecorded, r}
}

package journal

import (
	"time"

	"savoryweir/internal/state/order"
)

// Claim is one claim as the owner of the shard sees it.
type Claim struct {
	Key         KeyHash
	Fingerprint Fingerprint
	Token       Token
	Claimant    Claimant
	Deadline    time.Time
	Supersedes  Token // an earlier claim that its claimant gave up, zero if none
}

// Finish is the end of a claimed order.
type Finish struct {
	Key         KeyHash
	Token       Token
	Fingerprint Fingerprint // needed for OutcomeNotRun
	Claimant    Claimant
	Result      order.Result
}

// Verdict is the answer to a claim or a finish.
type Verdict string

// The verdicts.
const (
	// VerdictGranted holds once the draft is committed.
	VerdictGranted Verdict = "granted"
	// VerdictFinished carries the record of an earlier run.
	VerdictFinished Verdict = "finished"
	// VerdictHeld carries the record of the claim that holds the order.
	VerdictHeld Verdict = "held"
	// VerdictMismatch tells that the key belongs to another order.
	VerdictMismatch Verdict = "mismatch"
	// VerdictFull tells that the shard takes no more keys now.
	VerdictFull Verdict = "full"
	// VerdictGivenUp tells that this very claim was released before.
	VerdictGivenUp Verdict = "given up"
	// VerdictRecorded tells that a finish holds once the draft is committed.
	VerdictRecorded Verdict = "recorded"
	// VerdictNotHolder tells that the token of a finish holds no claim.
	VerdictNotHolder Verdict = "not holder"
)

// Decision is a verdict with the record that it is based on.
type Decision struct {
	Verdict Verdict
	Record  Record
}

// Draft collects the changes of one write on top of the committed shard.
type Draft struct {
	shard   *Shard
	now     time.Time
	changed map[KeyHash]Record
	order   []KeyHash // keys of changed, in the order of their first change
	added   int       // keys without a committed record
	verify  bool      // a decision holds only if the committed shard is the newest
}

// Begin starts a draft at the given time.
func (s *Shard) Begin(now time.Time) *Draft {
	return &Draft{shard: s, now: now, changed: make(map[KeyHash]Record)}
}

// Changed reports whether the draft needs a write. A draft without changes needs
// one when a decision depends on the shard being the newest: the write's
// condition proves it, which a read that may be stale does not.
func (d *Draft) Changed() bool { return len(d.changed) > 0 || d.verify }

func (d *Draft) lookup(key KeyHash) (Record, bool) {
	if r, ok := d.changed[key]; ok {
		return r, true
	}
	r, ok := d.shard.records[key]
	if !ok || d.shard.expired(r.Expires, d.now) {
		return Record{State: StateAbsent}, false
	}
	return r, true
}

func (d *Draft) put(r Record) {
	if _, ok := d.changed[r.Key]; !ok {
		d.order = append(d.order, r.Key)
	}
	if _, ok := d.lookup(r.Key); !ok {
		d.added++
	}
	d.changed[r.Key] = r
}

// Claim decides a claim. The same token always gets the same right, so that a
// repeated claim is idempotent.
func (d *Draft) Claim(c Claim) Decision {
	r, ok := d.lookup(c.Key)
	if !ok {
		return d.claimNew(c)
	}
	if r.Fingerprint != c.Fingerprint {
		return Decision{VerdictMismatch, r}
	}
	switch {
	case r.State == StateFinished || r.State == StateUnknown:
		return Decision{VerdictFinished, r}
	case r.State == StateReleased && r.Token == c.Token:
		return Decision{VerdictGivenUp, r}
	case r.State == StateReleased:
		return d.grant(c, r.State, eventClaim)
	case r.Token == c.Token:
		return Decision{VerdictGranted, r}
	case r.Token == c.Supersedes:
		return d.grant(c, r.State, eventSupersede)
	default:
		return Decision{VerdictHeld, r}
	}
}

func (d *Draft) claimNew(c Claim) Decision {
	if d.shard.Len()+d.added >= d.shard.limits.MaxRecords {
		return Decision{Verdict: VerdictFull}
	}
	return d.grant(c, StateAbsent, eventClaim)
}

func (d *Draft) grant(c Claim, from State, event lifecycleEvent) Decision {
	state, ok := d.shard.lifecycle.next(from, event)
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
		Expires:     d.now.Add(d.shard.limits.Lifetime).Truncate(time.Millisecond),
	}
	d.put(r)
	return Decision{VerdictGranted, r}
}

// Finish decides the end of an order. It changes nothing when the end is known
// already, or when the token holds no claim, which an outdated shard may show wrongly.
func (d *Draft) Finish(f Finish) Decision {
	r, ok := d.lookup(f.Key)
	if !ok && f.Result.Outcome == order.OutcomeNotRun {
		return d.releaseEarly(f)
	}
	if !ok || r.Token != f.Token {
		d.verify = true
		return Decision{VerdictNotHolder, r}
	}
	state, ok := d.shard.lifecycle.next(r.State, finishEvent(f.Result.Outcome))
	if !ok {
		return Decision{VerdictRecorded, r}
	}
	r.State = state
	r.Result = nil
	if state == StateFinished {
		r.Result = NewResult(f.Result, d.shard.limits.MaxBodyBytes)
	}
	d.put(r)
	return Decision{VerdictRecorded, r}
}

// releaseEarly records that a claim was given up which is not recorded. The
// claim may still arrive, and must not hold the order then.
func (d *Draft) releaseEarly(f Finish) Decision {
	r := Record{
		Key:         f.Key,
		Token:       f.Token,
		Fingerprint: f.Fingerprint,
		State:       StateReleased,
		Claimant:    f.Claimant,
		Deadline:    d.now.Truncate(time.Millisecond),
		Expires:     d.now.Add(d.shard.limits.Lifetime).Truncate(time.Millisecond),
	}
	d.put(r)
	return Decision{VerdictRecorded, r}
}

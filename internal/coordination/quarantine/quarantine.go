// Package quarantine finds out what crashes upstreams and keeps it from reaching further ones.
//
// A crash ends all requests in flight at the upstream, and almost all of them are sound. The
// cause is looked for among the traits of these requests: the content of a whole request, and each
// part of a prompt that other requests may share. A trait is quarantined once several upstreams
// have crashed in its presence and no request with it has completed since. It then accounts for
// all crashes at which it was present, so that these no longer count against other traits.
//
// A quarantine ends after a term. From then on a single request with the trait may pass at a time:
// if it completes, the trait is released; if its upstream crashes, a longer term begins.
package quarantine

import (
	"iter"
	"maps"
	"slices"
	"strconv"
	"time"

	"savoryweir/internal/state/fleet"
)

// Trait identifies what requests have in common: their whole content or a part of their prompts.
type Trait uint64

// String returns the trait as callers write the ID of a part.
func (t Trait) String() string { return strconv.FormatUint(uint64(t), 16) }

// Traits are the traits of one request.
type Traits struct {
	Content Trait
	Parts   []Trait // shared parts of its prompt, in their order
}

// all returns an iterator over the traits.
func (t Traits) all() iter.Seq[Trait] {
	return func(yield func(Trait) bool) {
		if !yield(t.Content) {
			return
		}
		for _, part := range t.Parts {
			if !yield(part) {
				return
			}
		}
	}
}

const (
	// minCrashes is the number of crashes after which a trait is quarantined. Fewer may have
	// other causes.
	minCrashes = 3
	// minCrashesAfterCompletion applies instead to a trait with which requests have completed
	// within completionTTL, and so does minTimeAfterCompletion since the first of these crashes.
	minCrashesAfterCompletion = 5
	minTimeAfterCompletion    = 2 * time.Second
	// completionTTL is how long a completed request speaks for its traits.
	completionTTL = 10 * time.Minute
	// learningTime is how long after its start a detector takes each part for one with which
	// requests have completed, and adopts what others have quarantined.
	learningTime = 10 * time.Second
	// crashTTL is how long a crash counts. It spans several restarts of an engine.
	crashTTL = time.Minute
	// mergeWindow is the time within which requests broken off at an upstream belong to the same
	// crash. An engine takes longer to start again.
	mergeWindow = 500 * time.Millisecond
	// settleTime is how long after a crash its traits are incomplete, because other instances
	// report the requests that they had in flight.
	settleTime = 100 * time.Millisecond
	// firstTerm and maxTerm are the shortest and the longest term of a quarantine. A term is
	// lengthened by up to its own length at random, so that instances end theirs one by one.
	firstTerm, maxTerm = time.Minute, 16 * time.Minute
	// trialInterval is the time between two requests that pass after the end of the term.
	trialInterval = 10 * time.Second
	// judgeIntervalPerTrait times the traits considered is the shortest time between two
	// judgements, so that these take a small share of the time after many crashes.
	judgeIntervalPerTrait = 10 * time.Microsecond

	maxCrashes         = 256
	maxTraitsPerCrash  = 512
	maxCompletedTraits = 8192
)

// BrokenRequest is a request that an upstream broke off.
type BrokenRequest struct {
	Upstream fleet.UpstreamID
	// Content is the trait of the whole request.
	Content Trait
	// Parts are the traits of the shared parts of its prompt, in the order of the prompt. There are
	// none if it is not known that the upstream has crashed: a single connection may break for
	// other reasons, and a part is present at far more breaks than a content.
	Parts []Part
}

// Part is a shared part of a prompt.
type Part struct {
	Trait Trait
	// CompletedAt is when a request with the part last completed at the instance that reports.
	// It is zero if none is known.
	CompletedAt time.Time
}

// Detector holds the crashes of all upstreams that are known to this instance, and what is
// quarantined. It is not safe for concurrent use.
type Detector struct {
	startedAt  time.Time
	random     func(limit time.Duration) time.Duration // random duration below limit
	crashes    []*crash                                // oldest first
	parts      completions                             // of requests with a part
	contents   completions                             // of requests with a content
	terms      map[Trait]*term
	isJudged   bool      // no later judgement would differ until another crash is recorded
	judgeAfter time.Time // earliest time of the next judgement
}

// crash is the end of an upstream while requests were in flight there.
type crash struct {
	upstream fleet.UpstreamID
	at       time.Time
	traits   map[Trait]int // with their specificity
}

// Specificity of traits: of those that account for the same crashes the most specific one is
// quarantined. Parts of prompts count by their position.
const contentSpecificity = 1 << 10

// term is the quarantine of a trait.
type term struct {
	length  time.Duration
	until   time.Time
	trialAt time.Time // when the last request passed after the end of the term
	// isAdopted means that another instance has judged.
	isAdopted bool
}

// New returns a detector that knows no crashes. random returns a random duration below its
// argument.
func New(now time.Time, random func(limit time.Duration) time.Duration) *Detector {
	return &Detector{startedAt: now, random: random, terms: make(map[Trait]*term), isJudged: true}
}

// RecordBroken records a request that an upstream broke off, as observed by any instance.
func (d *Detector) RecordBroken(now time.Time, r BrokenRequest) {
	c := d.crashOf(now, r.Upstream)
	d.add(now, c, r.Content, contentSpecificity)
	for i, p := range r.Parts {
		d.parts.record(p.Trait, p.CompletedAt)
		d.add(now, c, p.Trait, i)
	}
	d.isJudged = false
}

// add records that a trait was present at a crash.
func (d *Detector) add(now time.Time, c *crash, trait Trait, specificity int) {
	if len(c.traits) < maxTraitsPerCrash {
		c.traits[trait] = max(c.traits[trait], specificity)
	}
	if t := d.terms[trait]; t != nil {
		d.extend(now, t)
	}
}

// crashOf returns the crash of an upstream that is happening now.
func (d *Detector) crashOf(now time.Time, upstream fleet.UpstreamID) *crash {
	for _, c := range slices.Backward(d.crashes) {
		if now.Sub(c.at) >= mergeWindow {
			break
		}
		if c.upstream == upstream {
			return c
		}
	}
	c := &crash{upstream: upstream, at: now, traits: make(map[Trait]int)}
	d.crashes = append(d.crashes, c)
	if excess := len(d.crashes) - maxCrashes; excess > 0 {
		d.crashes = slices.Delete(d.crashes, 0, excess)
	}
	return c
}

// extend prolongs a quarantine after a crash. A crash after its end doubles its length.
func (d *Detector) extend(now time.Time, t *term) {
	if now.After(t.until) {
		t.length = min(2*t.length, maxTerm)
	}
	if until := now.Add(t.length); until.After(t.until) {
		t.until = until.Add(d.random(t.length))
	}
}

// RecordCompleted records that a request has completed. It returns the traits that are released
// from quarantine by it.
func (d *Detector) RecordCompleted(now time.Time, traits Traits) (released []Trait) {
	d.contents.record(traits.Content, now)
	for _, trait := range traits.Parts {
		d.parts.record(trait, now)
	}
	for trait := range traits.all() {
		if d.terms[trait] != nil {
			delete(d.terms, trait)
			released = append(released, trait)
		}
	}
	return released
}

// PartCompletedAt returns when a request with a part last completed, zero if none is known.
func (d *Detector) PartCompletedAt(part Trait) time.Time { return d.parts.last(part) }

// completedAt returns when a request with a trait last completed, zero if none is known.
func (d *Detector) completedAt(trait Trait) time.Time {
	if at := d.parts.last(trait); !at.IsZero() {
		return at
	}
	return d.contents.last(trait)
}

// Finding is a trait that has been quarantined.
type Finding struct {
	Trait   Trait
	IsPart  bool // of prompts, rather than the content of a request
	Crashes int  // that it accounts for
	Until   time.Time
}

// Judge quarantines the traits that account for the recorded crashes, and returns them. It ends
// quarantines that have long expired.
func (d *Detector) Judge(now time.Time) []Finding {
	if d.isJudged || len(d.crashes) == 0 {
		return nil
	}
	if now.Before(d.judgeAfter) {
		return nil
	}
	d.isJudged = now.Sub(d.crashes[len(d.crashes)-1].at) > minTimeAfterCompletion
	d.removeExpired(now)
	d.judgeAfter = now.Add(time.Duration(d.traitCount()) * judgeIntervalPerTrait)
	var findings []Finding
	for {
		trait, e := d.mostLikely(now)
		if e.crashes == 0 {
			return findings
		}
		t := &term{length: firstTerm, until: now.Add(firstTerm + d.random(firstTerm))}
		d.terms[trait] = t
		findings = append(findings, Finding{Trait: trait, IsPart: e.isOfPart(), Crashes: e.crashes, Until: t.until})
	}
}

// traitCount returns the number of traits that were present at crashes, counted at each of them.
func (d *Detector) traitCount() int {
	count := 0
	for _, c := range d.crashes {
		count += len(c.traits)
	}
	return count
}

func (d *Detector) removeExpired(now time.Time) {
	d.crashes = slices.DeleteFunc(d.crashes, func(c *crash) bool { return now.Sub(c.at) > crashTTL })
	maps.DeleteFunc(d.terms, func(_ Trait, t *term) bool { return now.Sub(t.until) > maxTerm })
}

// Blocked returns how long requests with the given traits are kept from upstreams, zero if they
// are not.
func (d *Detector) Blocked(now time.Time, traits Traits) time.Duration {
	var left time.Duration
	for trait := range traits.all() {
		if t := d.terms[trait]; t != nil {
			left = max(left, t.until.Sub(now))
		}
	}
	return left
}

// Admit is Blocked for a request that arrives. After the end of a quarantine it lets one request
// pass in each trialInterval.
func (d *Detector) Admit(now time.Time, traits Traits) time.Duration {
	if left := d.Blocked(now, traits); left > 0 {
		return left
	}
	for trait := range traits.all() {
		if t := d.terms[trait]; t != nil {
			if left := t.trialAt.Add(trialInterval).Sub(now); left > 0 {
				return left
			}
			t.trialAt = now
		}
	}
	return 0
}

// Quarantined returns the quarantined traits with the time left. While the detector is learning it
// leaves out those that it has adopted.
func (d *Detector) Quarantined(now time.Time) map[Trait]time.Duration {
	list := make(map[Trait]time.Duration)
	for trait, t := range d.terms {
		if left := t.until.Sub(now); left > 0 && !(t.isAdopted && d.IsLearning(now)) {
			list[trait] = left
		}
	}
	return list
}

// Adopt quarantines a trait that another instance has quarantined, for at least the time left
// there. It returns false if the detector judges for itself.
func (d *Detector) Adopt(now time.Time, trait Trait, left time.Duration) bool {
	if d.terms[trait] != nil || !d.IsLearning(now) {
		return false
	}
	d.terms[trait] = &term{length: firstTerm, until: now.Add(min(left, 2*maxTerm) + d.random(firstTerm)), isAdopted: true}
	return true
}

// IsLearning reports whether the detector has just started.
func (d *Detector) IsLearning(now time.Time) bool { return now.Sub(d.startedAt) < learningTime }

// Release ends the quarantine of a trait after another instance has seen a request with it complete.
func (d *Detector) Release(now time.Time, trait Trait) {
	d.parts.record(trait, now)
	delete(d.terms, trait)
}

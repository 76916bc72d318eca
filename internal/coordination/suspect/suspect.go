// Package suspect keeps a request that crashes its upstreams from reaching more than two
// of them.
//
// An entry process keeps one Registry. Before each attempt it calls Decide. A refused
// request gets its final response, a held request stays in the queue, and an isolated
// request runs only on upstreams for which RunsSuspect returns false; the entry process
// passes ExcludedUpstreams on to routing. It calls AttemptStarted and AttemptEnded around
// each attempt, and UpstreamCrashed when an upstream has closed its connection and a probe
// on a new connection has failed as well. The records that UpstreamCrashed and AttemptEnded
// return are sent to the other instances, whose records are merged by Merge.
//
// Until records have propagated, routing.PairFilter limits where a request can run.
//
// All requests in flight at a crash become suspects, and almost all of them are innocent.
// A suspect therefore runs its second attempt on an upstream without other suspects, and a
// completed attempt clears it. It is refused only if the second upstream crashed while the
// request was the only suspect on it and the upstream was not faulty itself. Another
// instance may have run a suspect on the same upstream at the same time, so no request is
// refused before the records of the crash have propagated. Until then the request is held.
// If the cause remains in doubt, the request may run again on the same two upstreams, but
// never on a third one.
package suspect

import (
	"crypto/sha256"
	"encoding/binary"
	"slices"
	"time"

	"savoryweir/internal/state/bundle"
)

// Fingerprint identifies requests with equal content.
type Fingerprint [16]byte

// FingerprintOf returns the fingerprint of a request with the given body to a service.
func FingerprintOf(service bundle.ServiceName, body []byte) Fingerprint {
	h := sha256.New()
	h.Write([]byte(service))
	h.Write([]byte{0})
	h.Write(body)
	return Fingerprint(h.Sum(nil)[:len(Fingerprint{})])
}

// Key returns the first 64 bits of the fingerprint as the routing key.
func (f Fingerprint) Key() uint64 { return binary.BigEndian.Uint64(f[:8]) }

// MaxCrashedUpstreams is the largest number of upstreams that a request may crash in the
// whole deployment.
const MaxCrashedUpstreams = 2

// Settings configures a Registry.
type Settings struct {
	// RecordTTL is the lifetime of a record after its last crash or last refusal.
	RecordTTL time.Duration
	// PropagationTime is the time within which records reach all instances.
	PropagationTime time.Duration
	// FaultyUpstreamWindow is the time within which another crash of an upstream, without
	// the request, shows that the upstream is faulty itself.
	FaultyUpstreamWindow time.Duration
	// MaxRecords is the number of records kept. The record that expires first is evicted.
	MaxRecords int
	// MaxCrashes is the number of crashes after which a request is refused even though the
	// crashes may have another cause.
	MaxCrashes int
}

// DefaultSettings returns the default settings.
func DefaultSettings() Settings {
	return Settings{RecordTTL: 24 * time.Hour, PropagationTime: 3 * time.Second, FaultyUpstreamWindow: time.Minute, MaxRecords: 4096, MaxCrashes: 5}
}

// Record is the information about a suspect that instances share. A record without
// upstreams states that the request has completed and is cleared.
type Record struct {
	Fingerprint      Fingerprint
	CrashedUpstreams []bundle.UpstreamID // in the order of their crashes, at most MaxCrashedUpstreams
	ExpiresAt        time.Time
}

// Verdict states how a request is handled.
type Verdict int

// The verdicts.
const (
	Run     Verdict = iota // run on any upstream
	Isolate                // run on an upstream without other suspects, subject to the upstreams of the decision
	Hold                   // keep the request queued until the records of its last crash have propagated
	Refuse                 // send the final response without a further attempt
)

// Decision is the verdict on one request with the upstreams that it may use.
type Decision struct {
	Verdict           Verdict
	ExcludedUpstreams []bundle.UpstreamID // upstreams that the request must not run on
	AllowedUpstreams  []bundle.UpstreamID // the only upstreams that the request may run on; empty permits all
}

// Registry holds the suspects that this instance knows. It is not safe for concurrent use.
type Registry struct {
	settings Settings
	records  map[Fingerprint]*localRecord
	attempts map[bundle.UpstreamID]map[Fingerprint]int
	crashes  map[bundle.UpstreamID][]crash
}

// localRecord is a record with the local knowledge of this instance.
type localRecord struct {
	Record
	crashes       int
	lastRefusal   time.Time // a refusal renews the record
	hasOtherCause bool      // another suspect or a fault of the upstream may have caused the last crash
}

// crash is a crash of an upstream with the requests that had attempts on it.
type crash struct {
	at       time.Time
	requests []Fingerprint
}

// lastCrashedUpstream returns the upstream that crashed last while it ran the request. It
// is empty if the request is cleared.
func (e *localRecord) lastCrashedUpstream() bundle.UpstreamID {
	if len(e.CrashedUpstreams) == 0 {
		return ""
	}
	return e.CrashedUpstreams[len(e.CrashedUpstreams)-1]
}

// New returns an empty registry.
func New(settings Settings) *Registry {
	return &Registry{
		settings: settings,
		records:  make(map[Fingerprint]*localRecord),
		attempts: make(map[bundle.UpstreamID]map[Fingerprint]int),
		crashes:  make(map[bundle.UpstreamID][]crash),
	}
}

// Decide returns whether and where the request may run. A refusal renews the record.
func (r *Registry) Decide(now time.Time, f Fingerprint) Decision {
	e := r.lookup(now, f)
	if e == nil || len(e.CrashedUpstreams) == 0 {
		return Decision{Verdict: Run}
	}
	if len(e.CrashedUpstreams) < MaxCrashedUpstreams {
		return Decision{Verdict: Isolate, ExcludedUpstreams: slices.Clone(e.CrashedUpstreams)}
	}
	if e.hasOtherCause && e.crashes < r.settings.MaxCrashes {
		return Decision{Verdict: Isolate, AllowedUpstreams: slices.Clone(e.CrashedUpstreams)}
	}
	if now.Sub(r.crashedAt(e)) < r.settings.PropagationTime {
		return Decision{Verdict: Hold}
	}
	e.lastRefusal = now
	return Decision{Verdict: Refuse}
}

// crashedAt returns the time of the last crash of an upstream that ran the request.
func (r *Registry) crashedAt(e *localRecord) time.Time { return e.ExpiresAt.Add(-r.settings.RecordTTL) }

// RunsSuspect reports whether a suspect of this entry process runs on the upstream.
func (r *Registry) RunsSuspect(now time.Time, upstream bundle.UpstreamID) bool {
	return r.countSuspects(now, upstream) > 0
}

// AttemptStarted records that an attempt was sent to the upstream.
func (r *Registry) AttemptStarted(f Fingerprint, upstream bundle.UpstreamID) {
	if r.attempts[upstream] == nil {
		r.attempts[upstream] = make(map[Fingerprint]int)
	}
	r.attempts[upstream][f]++
}

// AttemptEnded records the end of an attempt. A completed attempt clears a suspect; then
// AttemptEnded returns the record to share with other instances, and true.
func (r *Registry) AttemptEnded(now time.Time, f Fingerprint, upstream bundle.UpstreamID, completed bool) (Record, bool) {
	r.removeAttempt(f, upstream)
	e := r.lookup(now, f)
	if !completed || e == nil || len(e.CrashedUpstreams) == 0 {
		return Record{}, false
	}
	e.CrashedUpstreams = nil
	e.crashes = 0
	e.hasOtherCause = false
	e.ExpiresAt = now.Add(r.settings.RecordTTL)
	return e.Record, true
}

// UpstreamCrashed records the crash of an upstream, which ends all attempts on it, and
// returns the records to share with other instances.
func (r *Registry) UpstreamCrashed(now time.Time, upstream bundle.UpstreamID) []Record {
	requests := r.requestsOn(upstream)
	delete(r.attempts, upstream)
	suspects := 0
	for _, f := range requests {
		if e := r.lookup(now, f); e != nil && len(e.CrashedUpstreams) > 0 {
			suspects++
		}
	}
	var changed []Record
	for _, f := range requests {
		isOnlyCause := suspects == 1 && !r.isFaulty(now, upstream, f)
		changed = append(changed, r.recordCrash(now, f, upstream, !isOnlyCause))
	}
	r.crashes[upstream] = append(r.recentCrashes(now, upstream), crash{at: now, requests: requests})
	return changed
}

// recordCrash adds a crash of the upstream to the record of the request and returns the
// record to share.
func (r *Registry) recordCrash(now time.Time, f Fingerprint, upstream bundle.UpstreamID, hasOtherCause bool) Record {
	e := r.lookup(now, f)
	if e == nil {
		r.evictIfFull()
		e = &localRecord{Record: Record{Fingerprint: f}}
		r.records[f] = e
	}
	if !slices.Contains(e.CrashedUpstreams, upstream) && len(e.CrashedUpstreams) < MaxCrashedUpstreams {
		e.CrashedUpstreams = append(e.CrashedUpstreams, upstream)
	}
	e.crashes++
	e.hasOtherCause = hasOtherCause
	e.ExpiresAt = now.Add(r.settings.RecordTTL)
	return Record{Fingerprint: f, CrashedUpstreams: slices.Clone(e.CrashedUpstreams), ExpiresAt: e.ExpiresAt}
}

// isFaulty reports whether the upstream crashed recently without the request, either as
// observed by this instance or according to the records of other requests.
func (r *Registry) isFaulty(now time.Time, upstream bundle.UpstreamID, f Fingerprint) bool {
	observed := slices.ContainsFunc(r.recentCrashes(now, upstream), func(c crash) bool {
		return !slices.Contains(c.requests, f)
	})
	return observed || r.isFaultyByRecords(now, upstream, f)
}

// isFaultyByRecords reports whether the record of another request shows a recent crash of
// the upstream that happened before the present one. Records younger than PropagationTime
// may belong to the present crash and do not count.
func (r *Registry) isFaultyByRecords(now time.Time, upstream bundle.UpstreamID, f Fingerprint) bool {
	if e := r.lookup(now, f); e != nil && slices.Contains(e.CrashedUpstreams, upstream) {
		return false
	}
	for other, e := range r.records {
		age := now.Sub(r.crashedAt(e))
		if other != f && age > r.settings.PropagationTime && age < r.settings.FaultyUpstreamWindow && e.lastCrashedUpstream() == upstream {
			return true
		}
	}
	return false
}

// recentCrashes returns the crashes of the upstream within FaultyUpstreamWindow.
func (r *Registry) recentCrashes(now time.Time, upstream bundle.UpstreamID) []crash {
	return slices.DeleteFunc(slices.Clone(r.crashes[upstream]), func(c crash) bool {
		return now.Sub(c.at) > r.settings.FaultyUpstreamWindow
	})
}

// countSuspects returns the number of suspects with attempts on the upstream.
func (r *Registry) countSuspects(now time.Time, upstream bundle.UpstreamID) int {
	n := 0
	for f := range r.attempts[upstream] {
		if e := r.lookup(now, f); e != nil && len(e.CrashedUpstreams) > 0 {
			n++
		}
	}
	return n
}

func (r *Registry) removeAttempt(f Fingerprint, upstream bundle.UpstreamID) {
	attempts := r.attempts[upstream]
	if attempts[f] <= 1 {
		delete(attempts, f)
		return
	}
	attempts[f]--
}

// requestsOn returns the requests with attempts on the upstream in a deterministic order.
func (r *Registry) requestsOn(upstream bundle.UpstreamID) []Fingerprint {
	requests := make([]Fingerprint, 0, len(r.attempts[upstream]))
	for f := range r.attempts[upstream] {
		requests = append(requests, f)
	}
	slices.SortFunc(requests, compareFingerprints)
	return requests
}

func compareFingerprints(a, b Fingerprint) int { return slices.Compare(a[:], b[:]) }

// lookup returns the record of the request, or nil if there is none or it has expired.
func (r *Registry) lookup(now time.Time, f Fingerprint) *localRecord {
	e := r.records[f]
	if e == nil || !now.Before(r.expiry(e)) {
		return nil
	}
	return e
}

// expiry returns the time at which the record expires, which a refusal postpones.
func (r *Registry) expiry(e *localRecord) time.Time {
	return laterOf(e.ExpiresAt, e.lastRefusal.Add(r.settings.RecordTTL))
}

// evictIfFull removes the record that expires first if there are MaxRecords records.
func (r *Registry) evictIfFull() {
	if len(r.records) < r.settings.MaxRecords {
		return
	}
	var oldest *localRecord
	for _, e := range r.records {
		if oldest == nil || e.ExpiresAt.Before(oldest.ExpiresAt) {
			oldest = e
		}
	}
	delete(r.records, oldest.Fingerprint)
}

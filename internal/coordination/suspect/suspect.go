// Package suspect keeps a request that crashes its upstreams from reaching more
// than two of them.
//
// An entry keeps one Registry. Before each attempt it calls Decide: a refused
// request gets its final answer, a held one stays in the queue, and an isolated
// one runs only where Busy is false, with the Excluded upstreams passed on to
// routing. It calls Started and
// Ended around each attempt, and Died when an upstream broke its connection and
// a probe on a new connection failed as well. The records that Died and Ended
// return go to the other instances, whose records come in by Merge.
//
// Before records have spread, routing.PairFilter bounds where a request can run.
// All requests in flight at a death become suspects, and almost all of them are
// innocent. A suspect therefore runs its second attempt alone among suspects, and
// a completed attempt clears it. It is condemned only when the second upstream
// died under it as the only suspect, and was not dying of its own fault anyway.
// Another instance may have run a suspect there at the same moment, so nothing is
// condemned before the records of the death have spread. Until then the request is
// held, and in doubt it may run again on the same two upstreams, never on a third.
package suspect

import (
	"crypto/sha256"
	"encoding/binary"
	"slices"
	"time"

	"savoryweir/internal/state/bundle"
)

// Fingerprint identifies equal requests.
type Fingerprint [16]byte

// FingerprintOf returns the fingerprint of a request to a service.
func FingerprintOf(service bundle.ServiceName, body []byte) Fingerprint {
	h := sha256.New()
	h.Write([]byte(service))
	h.Write([]byte{0})
	h.Write(body)
	return Fingerprint(h.Sum(nil)[:len(Fingerprint{})])
}

// Key returns the fingerprint as routing uses it.
func (f Fingerprint) Key() uint64 { return binary.BigEndian.Uint64(f[:8]) }

// MaxCrashedUpstreams is the number of upstreams that a request may crash in the whole system.
const MaxCrashedUpstreams = 2

// Settings are the settings of a Registry.
type Settings struct {
	RecordTTL time.Duration // of a record after the last death or resend
	// PropagationTime is the time within which records reach all instances.
	PropagationTime time.Duration
	// FaultyUpstreamWindow is the time in which a second death of an upstream, without the
	// request, shows that the fault is its own.
	FaultyUpstreamWindow time.Duration
	MaxRecords           int // records kept, the oldest go first
	// MaxCrashes is the number of deaths after which a request is refused although
	// other causes are possible.
	MaxCrashes int
}

// DefaultSettings returns the settings to start from.
func DefaultSettings() Settings {
	return Settings{RecordTTL: 24 * time.Hour, PropagationTime: 3 * time.Second, FaultyUpstreamWindow: time.Minute, MaxRecords: 4096, MaxCrashes: 5}
}

// Record is what instances share of a suspect. No upstreams means that the
// request completed and is cleared.
type Record struct {
	Fingerprint      Fingerprint
	CrashedUpstreams []bundle.UpstreamID // in the order of their deaths, at most MaxUpstreams
	ExpiresAt        time.Time
}

// Verdict tells what to do with a request.
type Verdict int

// The verdicts.
const (
	Run     Verdict = iota // anywhere
	Isolate                // alone among suspects, within the decision's upstreams
	Hold                   // keep it waiting until the records of its last death have spread
	Refuse
)

// Decision is the verdict on one request.
type Decision struct {
	Verdict           Verdict
	ExcludedUpstreams []bundle.UpstreamID // upstreams that it must not run on
	AllowedUpstreams  []bundle.UpstreamID // the only upstreams it may run on, empty for any
}

// Registry holds the suspects that this instance knows.
type Registry struct {
	settings Settings
	records  map[Fingerprint]*entry
	flights  map[bundle.UpstreamID]map[Fingerprint]int
	deaths   map[bundle.UpstreamID][]death
}

type entry struct {
	Record
	deaths    int
	refusedAt time.Time // latest refusal, which renews the record
	ambiguous bool      // others were suspects of the same death, or the upstream was faulty
}

type death struct {
	at     time.Time
	flight []Fingerprint
}

// lastDeath returns the upstream that died last under the request, empty when it is cleared.
func (e *entry) lastDeath() bundle.UpstreamID {
	if len(e.CrashedUpstreams) == 0 {
		return ""
	}
	return e.CrashedUpstreams[len(e.CrashedUpstreams)-1]
}

// New returns an empty registry.
func New(settings Settings) *Registry {
	return &Registry{
		settings: settings,
		records:  make(map[Fingerprint]*entry),
		flights:  make(map[bundle.UpstreamID]map[Fingerprint]int),
		deaths:   make(map[bundle.UpstreamID][]death),
	}
}

// Decide returns whether and where the request may run.
func (r *Registry) Decide(now time.Time, f Fingerprint) Decision {
	e := r.lookup(now, f)
	if e == nil || len(e.CrashedUpstreams) == 0 {
		return Decision{Verdict: Run}
	}
	if len(e.CrashedUpstreams) < MaxCrashedUpstreams {
		return Decision{Verdict: Isolate, ExcludedUpstreams: slices.Clone(e.CrashedUpstreams)}
	}
	if e.ambiguous && e.deaths < r.settings.MaxCrashes {
		return Decision{Verdict: Isolate, AllowedUpstreams: slices.Clone(e.CrashedUpstreams)}
	}
	if now.Sub(r.diedAt(e)) < r.settings.PropagationTime {
		return Decision{Verdict: Hold}
	}
	e.refusedAt = now
	return Decision{Verdict: Refuse}
}

// diedAt returns the time of the last death under the request.
func (r *Registry) diedAt(e *entry) time.Time { return e.ExpiresAt.Add(-r.settings.RecordTTL) }

// RunsSuspect reports whether a suspect of this entry runs on the upstream.
func (r *Registry) RunsSuspect(now time.Time, upstream bundle.UpstreamID) bool {
	return r.suspectsOn(now, upstream) > 0
}

// AttemptStarted records that an attempt was sent.
func (r *Registry) AttemptStarted(f Fingerprint, upstream bundle.UpstreamID) {
	if r.flights[upstream] == nil {
		r.flights[upstream] = make(map[Fingerprint]int)
	}
	r.flights[upstream][f]++
}

// AttemptEnded records the end of an attempt. A completed one clears the suspect and
// returns the record to share.
func (r *Registry) AttemptEnded(now time.Time, f Fingerprint, upstream bundle.UpstreamID, completed bool) (Record, bool) {
	r.removeFlight(f, upstream)
	e := r.lookup(now, f)
	if !completed || e == nil || len(e.CrashedUpstreams) == 0 {
		return Record{}, false
	}
	e.CrashedUpstreams = nil
	e.deaths = 0
	e.ambiguous = false
	e.ExpiresAt = now.Add(r.settings.RecordTTL)
	return e.Record, true
}

// UpstreamCrashed records the death of an upstream and returns the records to share. All
// attempts on it have ended.
func (r *Registry) UpstreamCrashed(now time.Time, upstream bundle.UpstreamID) []Record {
	flight := r.flight(upstream)
	delete(r.flights, upstream)
	suspects := 0
	for _, f := range flight {
		if e := r.lookup(now, f); e != nil && len(e.CrashedUpstreams) > 0 {
			suspects++
		}
	}
	var changed []Record
	for _, f := range flight {
		alone := suspects == 1 && !r.isFaulty(now, upstream, f)
		changed = append(changed, r.blame(now, f, upstream, !alone))
	}
	r.deaths[upstream] = append(r.recentDeaths(now, upstream), death{at: now, flight: flight})
	return changed
}

func (r *Registry) blame(now time.Time, f Fingerprint, upstream bundle.UpstreamID, ambiguous bool) Record {
	e := r.lookup(now, f)
	if e == nil {
		r.makeRoom()
		e = &entry{Record: Record{Fingerprint: f}}
		r.records[f] = e
	}
	if !slices.Contains(e.CrashedUpstreams, upstream) && len(e.CrashedUpstreams) < MaxCrashedUpstreams {
		e.CrashedUpstreams = append(e.CrashedUpstreams, upstream)
	}
	e.deaths++
	e.ambiguous = ambiguous
	e.ExpiresAt = now.Add(r.settings.RecordTTL)
	return Record{Fingerprint: f, CrashedUpstreams: slices.Clone(e.CrashedUpstreams), ExpiresAt: e.ExpiresAt}
}

// isFaulty reports whether the upstream died lately without the request, as this
// instance saw it or as records of other requests tell.
func (r *Registry) isFaulty(now time.Time, upstream bundle.UpstreamID, f Fingerprint) bool {
	seen := slices.ContainsFunc(r.recentDeaths(now, upstream), func(d death) bool {
		return !slices.Contains(d.flight, f)
	})
	return seen || r.isFaultyByRecords(now, upstream, f)
}

func (r *Registry) isFaultyByRecords(now time.Time, upstream bundle.UpstreamID, f Fingerprint) bool {
	if e := r.lookup(now, f); e != nil && slices.Contains(e.CrashedUpstreams, upstream) {
		return false
	}
	for other, e := range r.records {
		age := now.Sub(r.diedAt(e))
		if other != f && age > r.settings.PropagationTime && age < r.settings.FaultyUpstreamWindow && e.lastDeath() == upstream {
			return true
		}
	}
	return false
}

func (r *Registry) recentDeaths(now time.Time, upstream bundle.UpstreamID) []death {
	return slices.DeleteFunc(slices.Clone(r.deaths[upstream]), func(d death) bool {
		return now.Sub(d.at) > r.settings.FaultyUpstreamWindow
	})
}

func (r *Registry) suspectsOn(now time.Time, upstream bundle.UpstreamID) int {
	n := 0
	for f := range r.flights[upstream] {
		if e := r.lookup(now, f); e != nil && len(e.CrashedUpstreams) > 0 {
			n++
		}
	}
	return n
}

func (r *Registry) removeFlight(f Fingerprint, upstream bundle.UpstreamID) {
	flights := r.flights[upstream]
	if flights[f] <= 1 {
		delete(flights, f)
		return
	}
	flights[f]--
}

// flight returns the requests on the upstream in a fixed order.
func (r *Registry) flight(upstream bundle.UpstreamID) []Fingerprint {
	flight := make([]Fingerprint, 0, len(r.flights[upstream]))
	for f := range r.flights[upstream] {
		flight = append(flight, f)
	}
	slices.SortFunc(flight, compare)
	return flight
}

func compare(a, b Fingerprint) int { return slices.Compare(a[:], b[:]) }

func (r *Registry) lookup(now time.Time, f Fingerprint) *entry {
	e := r.records[f]
	if e == nil || !now.Before(r.expiry(e)) {
		return nil
	}
	return e
}

func (r *Registry) expiry(e *entry) time.Time {
	return maxTime(e.ExpiresAt, e.refusedAt.Add(r.settings.RecordTTL))
}

func (r *Registry) makeRoom() {
	if len(r.records) < r.settings.MaxRecords {
		return
	}
	var oldest *entry
	for _, e := range r.records {
		if oldest == nil || e.ExpiresAt.Before(oldest.ExpiresAt) {
			oldest = e
		}
	}
	delete(r.records, oldest.Fingerprint)
}

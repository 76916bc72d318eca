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

// Of returns the fingerprint of a request to a service.
func Of(service bundle.ServiceName, body []byte) Fingerprint {
	h := sha256.New()
	h.Write([]byte(service))
	h.Write([]byte{0})
	h.Write(body)
	return Fingerprint(h.Sum(nil)[:len(Fingerprint{})])
}

// Key returns the fingerprint as routing uses it.
func (f Fingerprint) Key() uint64 { return binary.BigEndian.Uint64(f[:8]) }

// MaxUpstreams is the number of upstreams that a request may crash in the whole system.
const MaxUpstreams = 2

// Settings are the settings of a Registry.
type Settings struct {
	Lifetime time.Duration // of a record after the last death or resend
	// Spread is the time within which records reach all instances.
	Spread time.Duration
	// OwnFault is the time in which a second death of an upstream, without the
	// request, shows that the fault is its own.
	OwnFault time.Duration
	Capacity int // records kept, the oldest go first
	// MaxDeaths is the number of deaths after which a request is refused although
	// other causes are possible.
	MaxDeaths int
}

// DefaultSettings returns the settings to start from.
func DefaultSettings() Settings {
	return Settings{Lifetime: 24 * time.Hour, Spread: 3 * time.Second, OwnFault: time.Minute, Capacity: 4096, MaxDeaths: 5}
}

// Record is what instances share of a suspect. No upstreams means that the
// request completed and is cleared.
type Record struct {
	Fingerprint Fingerprint
	Upstreams   []bundle.UpstreamID // in the order of their deaths, at most MaxUpstreams
	Expires     time.Time
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
	Verdict  Verdict
	Excluded []bundle.UpstreamID // upstreams that it must not run on
	Only     []bundle.UpstreamID // the only upstreams it may run on, empty for any
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
	if len(e.Upstreams) == 0 {
		return ""
	}
	return e.Upstreams[len(e.Upstreams)-1]
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
	if e == nil || len(e.Upstreams) == 0 {
		return Decision{Verdict: Run}
	}
	if len(e.Upstreams) < MaxUpstreams {
		return Decision{Verdict: Isolate, Excluded: slices.Clone(e.Upstreams)}
	}
	if e.ambiguous && e.deaths < r.settings.MaxDeaths {
		return Decision{Verdict: Isolate, Only: slices.Clone(e.Upstreams)}
	}
	if now.Sub(r.diedAt(e)) < r.settings.Spread {
		return Decision{Verdict: Hold}
	}
	e.refusedAt = now
	return Decision{Verdict: Refuse}
}

// diedAt returns the time of the last death under the request.
func (r *Registry) diedAt(e *entry) time.Time { return e.Expires.Add(-r.settings.Lifetime) }

// Busy reports whether a suspect of this entry runs on the upstream.
func (r *Registry) Busy(now time.Time, upstream bundle.UpstreamID) bool {
	return r.suspectsOn(now, upstream) > 0
}

// Started records that an attempt was sent.
func (r *Registry) Started(f Fingerprint, upstream bundle.UpstreamID) {
	if r.flights[upstream] == nil {
		r.flights[upstream] = make(map[Fingerprint]int)
	}
	r.flights[upstream][f]++
}

// Ended records the end of an attempt. A completed one clears the suspect and
// returns the record to share.
func (r *Registry) Ended(now time.Time, f Fingerprint, upstream bundle.UpstreamID, completed bool) (Record, bool) {
	r.removeFlight(f, upstream)
	e := r.lookup(now, f)
	if !completed || e == nil || len(e.Upstreams) == 0 {
		return Record{}, false
	}
	e.Upstreams = nil
	e.deaths = 0
	e.ambiguous = false
	e.Expires = now.Add(r.settings.Lifetime)
	return e.Record, true
}

// Died records the death of an upstream and returns the records to share. All
// attempts on it have ended.
func (r *Registry) Died(now time.Time, upstream bundle.UpstreamID) []Record {
	flight := r.flight(upstream)
	delete(r.flights, upstream)
	suspects := 0
	for _, f := range flight {
		if e := r.lookup(now, f); e != nil && len(e.Upstreams) > 0 {
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
	if !slices.Contains(e.Upstreams, upstream) && len(e.Upstreams) < MaxUpstreams {
		e.Upstreams = append(e.Upstreams, upstream)
	}
	e.deaths++
	e.ambiguous = ambiguous
	e.Expires = now.Add(r.settings.Lifetime)
	return Record{Fingerprint: f, Upstreams: slices.Clone(e.Upstreams), Expires: e.Expires}
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
	if e := r.lookup(now, f); e != nil && slices.Contains(e.Upstreams, upstream) {
		return false
	}
	for other, e := range r.records {
		age := now.Sub(r.diedAt(e))
		if other != f && age > r.settings.Spread && age < r.settings.OwnFault && e.lastDeath() == upstream {
			return true
		}
	}
	return false
}

func (r *Registry) recentDeaths(now time.Time, upstream bundle.UpstreamID) []death {
	return slices.DeleteFunc(slices.Clone(r.deaths[upstream]), func(d death) bool {
		return now.Sub(d.at) > r.settings.OwnFault
	})
}

func (r *Registry) suspectsOn(now time.Time, upstream bundle.UpstreamID) int {
	n := 0
	for f := range r.flights[upstream] {
		if e := r.lookup(now, f); e != nil && len(e.Upstreams) > 0 {
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
	return maxTime(e.Expires, e.refusedAt.Add(r.settings.Lifetime))
}

func (r *Registry) makeRoom() {
	if len(r.records) < r.settings.Capacity {
		return
	}
	var oldest *entry
	for _, e := range r.records {
		if oldest == nil || e.Expires.Before(oldest.Expires) {
			oldest = e
		}
	}
	delete(r.records, oldest.Fingerprint)
}

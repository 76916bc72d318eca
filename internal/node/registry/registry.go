// Package registry holds the upstreams that this instance knows: their entries in
// the platform's store, corrected by what answers and other instances tell sooner.
package registry

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"savoryweir/internal/state/fleet"
)

const (
	// correctionPresent is how long a reported load outweighs an entry that does
	// not list it: two heartbeats of an engine.
	correctionPresent = 3 * time.Second
	// correctionAbsent is how long a refusal for want of a model outweighs an
	// entry that lists it: a heartbeat of an engine.
	correctionAbsent = 1200 * time.Millisecond
	// retirementTime is how long an announced unload outweighs the entry: the
	// unload waits for the longest streams of the model.
	retirementTime = 20 * time.Second
)

// ResidentKey names a model, or an adapter of a model, at an upstream.
type ResidentKey struct {
	Upstream fleet.UpstreamID
	Model    string
	Adapter  string // empty for the model
}

type correction struct {
	present bool
	until   time.Time
}

type entry struct {
	upstream     fleet.Upstream
	missingUntil time.Time // set while the return of a lapsed entry is awaited
}

// View is one consistent state of the registry. It does not change.
type View struct {
	byService   map[string][]*fleet.Upstream
	corrections map[ResidentKey]correction
	byID        map[fleet.UpstreamID]*fleet.Upstream
}

// Registry is safe for concurrent use.
type Registry struct {
	log zerolog.Logger
	now func() time.Time

	mu          sync.Mutex // guards all below
	entries     map[fleet.UpstreamID]entry
	corrections map[ResidentKey]correction
	view        atomic.Pointer[View]
	changed     chan struct{} // closed and replaced at each change
}

// New returns an empty registry.
func New(log zerolog.Logger, now func() time.Time) *Registry {
	r := &Registry{
		log: log, now: now, entries: make(map[fleet.UpstreamID]entry),
		corrections: make(map[ResidentKey]correction), changed: make(chan struct{}),
	}
	r.view.Store(&View{})
	return r
}

// View returns the present state.
func (r *Registry) View() *View { return r.view.Load() }

// Changed returns a channel that is closed at the next change.
func (r *Registry) Changed() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.changed
}

// Replace sets all entries, as a list of the store tells them. Entries that are
// missing are kept until complete, as they may have lapsed while the store was away.
func (r *Registry) Replace(list []fleet.Upstream, complete time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	listed := make(map[fleet.UpstreamID]bool, len(list))
	for _, u := range list {
		listed[u.ID] = true
		r.put(u)
	}
	for id := range r.entries {
		if !listed[id] {
			r.remove(id, complete)
		}
	}
	r.publish()
}

// Put records a changed entry.
func (r *Registry) Put(u fleet.Upstream) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.put(u)
	r.publish()
}

func (r *Registry) put(u fleet.Upstream) {
	old, known := r.entries[u.ID]
	if known && old.upstream.EntryVersion > u.EntryVersion {
		return
	}
	restarted := known && !old.upstream.StartedAt.Equal(u.StartedAt)
	if restarted {
		r.dropCorrections(u.ID)
	}
	if !known || restarted || old.upstream.Draining != u.Draining || old.upstream.Address != u.Address {
		r.log.Info().Str("event", "upstream.seen").Str("upstream", string(u.ID)).Str("service", u.Service).
			Str("address", u.Address).Bool("draining", u.Draining).Bool("restarted", restarted).Time("born", u.StartedAt).Msg("upstream seen")
	}
	r.entries[u.ID] = entry{upstream: u}
}

// Remove records that an entry is gone since a version of the store. It stays in
// use until complete, as entries may lapse while the store is away.
func (r *Registry) Remove(id fleet.UpstreamID, version uint64, complete time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.entries[id].upstream.EntryVersion > version {
		return // the upstream has written its entry anew since
	}
	r.remove(id, complete)
	r.publish()
}

func (r *Registry) remove(id fleet.UpstreamID, complete time.Time) {
	e, ok := r.entries[id]
	if !ok {
		return
	}
	if r.now().Before(complete) && !e.upstream.Draining {
		if e.missingUntil.IsZero() {
			e.missingUntil = complete
			r.entries[id] = e
		}
		return
	}
	delete(r.entries, id)
	r.dropCorrections(id)
	r.log.Info().Str("event", "upstream.gone").Str("upstream", string(id)).Msg("upstream gone")
}

func (r *Registry) dropCorrections(id fleet.UpstreamID) {
	for item := range r.corrections {
		if item.Upstream == id {
			delete(r.corrections, item)
		}
	}
}

// RemoveExpired drops entries whose return was awaited in vain, and old corrections.
func (r *Registry) RemoveExpired() {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	changed := false
	for id, e := range r.entries {
		if !e.missingUntil.IsZero() && now.After(e.missingUntil) {
			r.remove(id, time.Time{})
			changed = true
		}
	}
	for item, c := range r.corrections {
		if now.After(c.until) {
			delete(r.corrections, item)
			changed = true
		}
	}
	if changed {
		r.publish()
	}
}

// MarkLoaded records that a model or adapter is present, before its entry tells so.
func (r *Registry) MarkLoaded(item ResidentKey) { r.correct(item, true, correctionPresent) }

// MarkAbsent records that an upstream refused a request for want of a model or adapter.
func (r *Registry) MarkAbsent(item ResidentKey) { r.correct(item, false, correctionAbsent) }

// MarkUnloading records that a model or adapter is about to be unloaded.
func (r *Registry) MarkUnloading(item ResidentKey) { r.correct(item, false, retirementTime) }

func (r *Registry) correct(item ResidentKey, present bool, lasts time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.corrections[item] = correction{present: present, until: r.now().Add(lasts)}
	r.publish()
}

// publish makes the present state visible. The caller holds r.mu.
func (r *Registry) publish() {
	v := &View{
		byService: make(map[string][]*fleet.Upstream), byID: make(map[fleet.UpstreamID]*fleet.Upstream, len(r.entries)),
		corrections: make(map[ResidentKey]correction, len(r.corrections)),
	}
	for id, e := range r.entries {
		u := e.upstream
		v.byID[id] = &u
		v.byService[u.Service] = append(v.byService[u.Service], &u)
	}
	for _, list := range v.byService {
		slices.SortFunc(list, func(a, b *fleet.Upstream) int {
			if a.ID < b.ID {
				return -1
			}
			return 1
		})
	}
	for item, c := range r.corrections {
		v.corrections[item] = c
	}
	r.view.Store(v)
	close(r.changed)
	r.changed = make(chan struct{})
}

// ByService returns the upstreams of a service, draining ones included.
func (v *View) ByService(service string) []*fleet.Upstream { return v.byService[service] }

// Get returns an upstream, or nil.
func (v *View) Get(id fleet.UpstreamID) *fleet.Upstream { return v.byID[id] }

// Count returns how many upstreams are known.
func (v *View) Count() int { return len(v.byID) }

// Usable returns the upstreams of a service that take requests and hold the model
// and adapter; empty names ask for none.
func (v *View) Usable(service, model, adapter string) []*fleet.Upstream {
	var usable []*fleet.Upstream
	for _, u := range v.byService[service] {
		if !u.Draining && (model == "" || v.Holds(u, model, adapter)) {
			usable = append(usable, u)
		}
	}
	return usable
}

// Holds reports whether an upstream holds a model and adapter as far as is known.
func (v *View) Holds(u *fleet.Upstream, model, adapter string) bool {
	if !v.holds(u, model, "") {
		return false
	}
	return adapter == "" || v.holds(u, model, adapter)
}

func (v *View) holds(u *fleet.Upstream, model, adapter string) bool {
	if c, ok := v.corrections[ResidentKey{Upstream: u.ID, Model: model, Adapter: adapter}]; ok {
		return c.present
	}
	return u.Holds(model, adapter)
}

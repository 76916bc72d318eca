// Package registry holds the upstreams known to this instance: their entries in the
// platform's store, with overrides for changes that responses of upstreams and messages
// of other instances report before the entries do.
package registry

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"savoryweir/internal/state/fleet"
	"savoryweir/internal/state/object"
	"savoryweir/internal/state/streams"
)

const (
	// loadedOverrideTTL is how long a reported load takes precedence over an entry that
	// does not list the model or adapter: two heartbeats of an engine.
	loadedOverrideTTL = 3 * time.Second
	// absentOverrideTTL is how long a response that a model is not loaded takes
	// precedence over an entry that lists the model: one heartbeat of an engine.
	absentOverrideTTL = 1200 * time.Millisecond
	// unloadingOverrideTTL is how long an announced unload takes precedence over the
	// entry: the unload waits for the longest streams of the model to end.
	unloadingOverrideTTL = 20 * time.Second
	// confirmationTimeout is how long an entry that was removed before the store came back
	// from an older copy counts as draining: longer than the three heartbeats after which
	// the entry of an upstream that is gone is removed again.
	confirmationTimeout = 5 * time.Second
	// departureRetention is how long departures are remembered: longer than an older copy
	// of the store may be behind, and longer than upstreams serve after they were removed.
	departureRetention = 2 * time.Minute
)

// ResidentKey identifies a model, or an adapter of a model, on an upstream.
type ResidentKey struct {
	Upstream fleet.UpstreamID
	Model    string
	Adapter  string // empty for the model itself
}

// override states whether a model or adapter is present, whatever the entry lists.
type override struct {
	present   bool
	expiresAt time.Time
}

type entry struct {
	upstream     fleet.Upstream
	missingUntil time.Time // set while a lapsed entry may still return; zero otherwise
	// unconfirmedUntil is set for an entry that was removed in an earlier era of the store.
	// Until then it counts as draining, unless the upstream writes it again.
	unconfirmedUntil time.Time
}

// departure records that an upstream incarnation has left or is leaving.
type departure struct {
	startedAt time.Time // start of the incarnation
	at        time.Time
	drained   bool // it was draining or has said that it is leaving
}

// View is a consistent, immutable snapshot of the registry.
type View struct {
	byService map[string][]*fleet.Upstream
	overrides map[ResidentKey]override
	byID      map[fleet.UpstreamID]*fleet.Upstream
}

// Registry keeps the known upstreams and publishes a View of them after each change. It
// is safe for concurrent use.
type Registry struct {
	log zerolog.Logger
	now func() time.Time

	mu        sync.Mutex // guards all fields below
	entries   map[fleet.UpstreamID]entry
	departed  map[fleet.UpstreamID]departure
	era       object.Era // era of the latest list
	overrides map[ResidentKey]override
	view      atomic.Pointer[View]
	changed   chan struct{} // closed and replaced on each change
}

// New returns an empty registry.
func New(log zerolog.Logger, now func() time.Time) *Registry {
	r := &Registry{
		log: log, now: now, entries: make(map[fleet.UpstreamID]entry), departed: make(map[fleet.UpstreamID]departure),
		overrides: make(map[ResidentKey]override), changed: make(chan struct{}),
	}
	r.view.Store(&View{})
	return r
}

// View returns the current state.
func (r *Registry) View() *View { return r.view.Load() }

// Changed returns a channel that is closed on the next change.
func (r *Registry) Changed() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.changed
}

// Replace sets all entries to those of a list from the store. Missing entries are kept
// until completeAt, because they may have lapsed while the store was unavailable.
func (r *Registry) Replace(list []fleet.Upstream, completeAt time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	listed := make(map[fleet.UpstreamID]bool, len(list))
	isCopy := r.enterEra(list)
	for _, u := range list {
		listed[u.ID] = true
		r.put(u, isCopy)
	}
	for id := range r.entries {
		if !listed[id] {
			r.remove(id, completeAt)
		}
	}
	r.publish()
}

// Put adds or updates an entry. An entry older than the known one is ignored. If the
// upstream has restarted, its overrides are removed.
func (r *Registry) Put(u fleet.Upstream) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.put(u, false)
	r.publish()
}

// enterEra reports whether a list is the first of a later era of the store, so that its
// entries may be older than what is known. The caller holds r.mu.
func (r *Registry) enterEra(list []fleet.Upstream) bool {
	before := r.era
	for _, u := range list {
		r.era = max(r.era, u.EntryVersion.Era())
	}
	return r.era > before
}

// put adds or updates an entry. isCopy means that the entry may be older than what is known.
// The caller holds r.mu.
func (r *Registry) put(u fleet.Upstream, isCopy bool) {
	known, exists := r.entries[u.ID]
	if exists && known.upstream.EntryVersion > u.EntryVersion {
		return
	}
	restarted := exists && !known.upstream.StartedAt.Equal(u.StartedAt)
	if exists && !restarted && known.upstream.Draining {
		u.Draining = true // an incarnation that is leaving stays so, even if an older copy of its entry says otherwise
	}
	added := entry{upstream: u}
	if exists && !restarted && known.upstream.EntryVersion == u.EntryVersion {
		added.unconfirmedUntil = known.unconfirmedUntil
	}
	if !exists {
		added = r.recallDeparture(added, isCopy)
		u = added.upstream
	}
	if restarted {
		r.removeOverrides(u.ID)
	}
	if !exists || restarted || known.upstream.Draining != u.Draining || known.upstream.Address != u.Address {
		r.log.Info().Str("event", "upstream.seen").Str("upstream", string(u.ID)).Str("service", u.Service).Str("software", u.SoftwareVersion).
			Str("address", u.Address).Bool("draining", u.Draining).Bool("restarted", restarted).Time("born", u.StartedAt).Msg("upstream added or changed")
	}
	r.entries[u.ID] = added
}

// recallDeparture returns a new entry, marked if its upstream incarnation is known to have
// left. After the store has come back from an older copy, it may list upstreams that are gone.
func (r *Registry) recallDeparture(e entry, isCopy bool) entry {
	d, ok := r.departed[e.upstream.ID]
	if !ok || !d.startedAt.Equal(e.upstream.StartedAt) {
		return e
	}
	if d.drained {
		e.upstream.Draining = true
	} else if isCopy {
		e.unconfirmedUntil = r.now().Add(confirmationTimeout)
	}
	return e
}

// MarkLeaving records that an upstream incarnation has said that it is leaving, and reports
// whether this was not known before. The incarnation counts as draining from then on, whatever
// its entry says.
func (r *Registry) MarkLeaving(id fleet.UpstreamID, startedAt time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	e, exists := r.entries[id]
	if exists && e.upstream.StartedAt.Equal(startedAt) {
		if e.upstream.Draining {
			return false
		}
		e.upstream.Draining = true
		r.entries[id] = e
		r.publish()
		return true
	}
	if exists && startedAt.Before(e.upstream.StartedAt) {
		return false // an earlier incarnation
	}
	known := r.departed[id]
	r.departed[id] = departure{startedAt: startedAt, at: r.now(), drained: true}
	return !known.drained || !known.startedAt.Equal(startedAt)
}

// Remove records that an entry was deleted at a version of the store. The upstream stays
// in use until completeAt, because entries may lapse while the store is unavailable. A
// draining upstream is removed immediately.
func (r *Registry) Remove(id fleet.UpstreamID, version object.Version, completeAt time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.entries[id].upstream.EntryVersion > version {
		return // the upstream has rewritten its entry since
	}
	r.remove(id, completeAt)
	r.publish()
}

func (r *Registry) remove(id fleet.UpstreamID, completeAt time.Time) {
	e, ok := r.entries[id]
	if !ok {
		return
	}
	if r.now().Before(completeAt) && !e.upstream.Draining {
		if e.missingUntil.IsZero() {
			e.missingUntil = completeAt
			r.entries[id] = e
		}
		return
	}
	delete(r.entries, id)
	r.removeOverrides(id)
	r.departed[id] = departure{startedAt: e.upstream.StartedAt, at: r.now(), drained: e.upstream.Draining}
	r.log.Info().Str("event", "upstream.gone").Str("upstream", string(id)).Msg("upstream removed")
}

func (r *Registry) removeOverrides(id fleet.UpstreamID) {
	for key := range r.overrides {
		if key.Upstream == id {
			delete(r.overrides, key)
		}
	}
}

// RemoveExpired removes lapsed entries that have not returned in time, and expired
// overrides.
func (r *Registry) RemoveExpired() {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	hasChanged := false
	for id, e := range r.entries {
		if !e.missingUntil.IsZero() && now.After(e.missingUntil) {
			r.remove(id, time.Time{})
			hasChanged = true
		}
		if !e.unconfirmedUntil.IsZero() && now.After(e.unconfirmedUntil) {
			e.unconfirmedUntil = time.Time{}
			r.entries[id] = e
			hasChanged = true
		}
	}
	for id, d := range r.departed {
		if now.Sub(d.at) > departureRetention {
			delete(r.departed, id)
		}
	}
	for key, o := range r.overrides {
		if now.After(o.expiresAt) {
			delete(r.overrides, key)
			hasChanged = true
		}
	}
	if hasChanged {
		r.publish()
	}
}

// MarkLoaded records that a model or adapter is present, before the entry of its
// upstream lists it.
func (r *Registry) MarkLoaded(key ResidentKey) { r.setOverride(key, true, loadedOverrideTTL) }

// MarkAbsent records that an upstream refused a request because a model or adapter is
// not loaded.
func (r *Registry) MarkAbsent(key ResidentKey) { r.setOverride(key, false, absentOverrideTTL) }

// MarkUnloading records that a model or adapter is about to be unloaded, so that it
// receives no more requests.
func (r *Registry) MarkUnloading(key ResidentKey) { r.setOverride(key, false, unloadingOverrideTTL) }

func (r *Registry) setOverride(key ResidentKey, present bool, ttl time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.overrides[key] = override{present: present, expiresAt: r.now().Add(ttl)}
	r.publish()
}

// publish stores a new view and wakes those who wait for a change. The caller holds r.mu.
func (r *Registry) publish() {
	v := &View{
		byService: make(map[string][]*fleet.Upstream), byID: make(map[fleet.UpstreamID]*fleet.Upstream, len(r.entries)),
		overrides: make(map[ResidentKey]override, len(r.overrides)),
	}
	for id, e := range r.entries {
		u := e.upstream
		u.Draining = u.Draining || !e.unconfirmedUntil.IsZero()
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
	for key, o := range r.overrides {
		v.overrides[key] = o
	}
	r.view.Store(v)
	close(r.changed)
	r.changed = make(chan struct{})
}

// ByService returns the upstreams of a service, including draining ones.
func (v *View) ByService(service string) []*fleet.Upstream { return v.byService[service] }

// Get returns an upstream, or nil if it is not known.
func (v *View) Get(id fleet.UpstreamID) *fleet.Upstream { return v.byID[id] }

// Addresses returns the addresses of the upstreams that are not draining.
func (v *View) Addresses() []string {
	addresses := make([]string, 0, len(v.byID))
	for _, u := range v.byID {
		if !u.Draining {
			addresses = append(addresses, u.Address)
		}
	}
	return addresses
}

// All returns the known upstreams, in no order.
func (v *View) All() []*fleet.Upstream {
	all := make([]*fleet.Upstream, 0, len(v.byID))
	for _, u := range v.byID {
		all = append(all, u)
	}
	return all
}

// Count returns the number of known upstreams.
func (v *View) Count() int { return len(v.byID) }

// SoftwareVersions returns the software versions of all upstreams by service, including draining
// ones.
func (v *View) SoftwareVersions() []streams.Origin {
	var versions []streams.Origin
	for service, list := range v.byService {
		for _, u := range list {
			if origin := (streams.Origin{Service: service, Version: u.SoftwareVersion}); !slices.Contains(versions, origin) {
				versions = append(versions, origin)
			}
		}
	}
	return versions
}

// Usable returns the upstreams of a service that accept requests and hold the model and
// adapter. An empty name sets no condition.
func (v *View) Usable(service, model, adapter string) []*fleet.Upstream {
	var usable []*fleet.Upstream
	for _, u := range v.byService[service] {
		if !u.Draining && (model == "" || v.Holds(u, model, adapter)) {
			usable = append(usable, u)
		}
	}
	return usable
}

// Holds reports whether an upstream is known to hold a model and, unless adapter is
// empty, the adapter.
func (v *View) Holds(u *fleet.Upstream, model, adapter string) bool {
	if !v.isPresent(u, model, "") {
		return false
	}
	return adapter == "" || v.isPresent(u, model, adapter)
}

func (v *View) isPresent(u *fleet.Upstream, model, adapter string) bool {
	if o, ok := v.overrides[ResidentKey{Upstream: u.ID, Model: model, Adapter: adapter}]; ok {
		return o.present
	}
	return u.Holds(model, adapter)
}

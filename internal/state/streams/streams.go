// Package streams remembers at which software version of its service each stream began, and
// which versions have served lately. Only engines of the version that began a stream can
// continue it.
package streams

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// Retention is how long streams and versions are remembered: longer than callers wait
	// for a stream.
	Retention = time.Minute
	// StoredRetention is how long the store keeps a stream. It is shorter than Retention, because the record
	// of all streams is read at once.
	StoredRetention = 30 * time.Second
	// announcements is how often each stream is announced, because datagrams may be lost.
	announcements = 2
)

// ID identifies a stream. It is a hash of the ID of the request that brought the first event.
type ID uint64

// IDOf returns the ID of the stream that a request began.
func IDOf(request string) ID { return ID(xxhash.Sum64String(request)) }

// Origin is a service and a version of its software.
type Origin struct{ Service, Version string }

// Tracker holds the origins of streams and the versions that serve. It is not safe for
// concurrent use.
type Tracker struct {
	observedFrom time.Time // versions that served since then are known
	knowsPast    bool      // the versions that served before observedFrom are known
	isPastLost   bool      // neither the store nor another instance tells them
	origins      map[ID]Origin
	expiry       []timedID              // all streams, oldest first
	pending      map[string][]pendingID // streams not yet announced, by service, oldest first
	unstored     []timedID              // streams not yet taken for the record in the store, oldest first
	servedAt     map[Origin]time.Time   // when each version served last
	newSince     map[Origin]time.Time   // when versions came that joined others of their service
}

type timedID struct {
	id           ID
	addedAt      time.Time
	isSecondHand bool // told by an instance at which it neither began nor was announced first
}

type pendingID struct {
	timedID
	left int // announcements
}

// NewTracker returns a tracker of a process that starts now.
func NewTracker(now time.Time) *Tracker {
	return &Tracker{observedFrom: now, origins: make(map[ID]Origin), pending: make(map[string][]pendingID), servedAt: make(map[Origin]time.Time), newSince: make(map[Origin]time.Time)}
}

// Begin records a stream that began at this instance.
func (t *Tracker) Begin(now time.Time, id ID, origin Origin) {
	if t.add(now, id, origin, false) {
		t.unstored = append(t.unstored, timedID{id: id, addedAt: now})
		t.pending[origin.Service] = append(t.pending[origin.Service], pendingID{timedID{id: id, addedAt: now}, announcements})
	}
}

// Learn records a stream that began at another instance.
func (t *Tracker) Learn(now time.Time, id ID, origin Origin) {
	t.ObserveServing(now, []Origin{origin})
	if t.add(now, id, origin, false) {
		t.unstored = append(t.unstored, timedID{id: id, addedAt: now})
	}
}

// LearnTold records a stream that another instance has told this one at its start. It isn't passed on, since each
// instance keeps a stream for the whole retention: it would stay for as long as instances are restarted.
func (t *Tracker) LearnTold(now time.Time, id ID, origin Origin) {
	t.ObserveServing(now, []Origin{origin})
	t.add(now, id, origin, true)
}

// LearnStored records a stream that is in the record in the store.
func (t *Tracker) LearnStored(now time.Time, id ID, origin Origin) {
	t.ObserveServing(now, []Origin{origin})
	t.add(now, id, origin, true)
}

// TakeUnstored returns up to limit streams that the record in the store lacks, by their origin, oldest first. Those of a
// service of which only one version serves are kept until another does or the past is lost.
func (t *Tracker) TakeUnstored(now time.Time, limit int) map[Origin][]ID {
	taken := make(map[Origin][]ID)
	isShared := t.sharedServices(now)
	t.unstored = slices.DeleteFunc(t.unstored, func(s timedID) bool {
		origin := t.origins[s.id]
		if limit == 0 || !isShared[origin.Service] || now.Sub(s.addedAt) >= StoredRetention {
			return now.Sub(s.addedAt) >= StoredRetention
		}
		limit--
		taken[origin] = append(taken[origin], s.id)
		return true
	})
	return taken
}

// HasUnstored reports whether TakeUnstored would return streams.
func (t *Tracker) HasUnstored(now time.Time) bool {
	isShared := t.sharedServices(now)
	return slices.ContainsFunc(t.unstored, func(s timedID) bool {
		return isShared[t.origins[s.id].Service] && now.Sub(s.addedAt) < StoredRetention
	})
}

// sharedServices returns the services whose streams are announced and recorded one by one, as isShared tells.
func (t *Tracker) sharedServices(now time.Time) map[string]bool {
	shared := make(map[string]bool)
	for o := range t.servedAt {
		shared[o.Service] = shared[o.Service] || t.isShared(now, o.Service)
	}
	return shared
}

// isShared reports whether the streams of a service have to be known one by one: which version began them can't be concluded, as
// more than one has served within the retention or the past is lost.
func (t *Tracker) isShared(now time.Time, service string) bool {
	return t.PastUnknownFor(now) > 0 || len(t.versions(now, service)) > 1
}

// ForgetStored lists all streams for the record again, since the store may have lost them.
func (t *Tracker) ForgetStored() { t.unstored = slices.Clone(t.expiry) }

// add records the origin of a stream and reports whether it was not known.
func (t *Tracker) add(now time.Time, id ID, origin Origin, isSecondHand bool) bool {
	if _, known := t.origins[id]; known {
		return false
	}
	t.origins[id] = origin
	t.expiry = append(t.expiry, timedID{id: id, addedAt: now, isSecondHand: isSecondHand})
	return true
}

// Lookup returns the origin of a stream, and whether it has been recorded.
func (t *Tracker) Lookup(id ID) (Origin, bool) {
	origin, ok := t.origins[id]
	return origin, ok
}

// ObserveServing records the versions that serve now.
func (t *Tracker) ObserveServing(now time.Time, serving []Origin) {
	for _, o := range serving {
		if others := t.versions(now, o.Service); len(others) > 0 && !slices.Contains(others, o) {
			t.newSince[o] = now
		}
	}
	for _, o := range serving {
		t.servedAt[o] = now
	}
}

// LearnRecorded records the versions that served before the start of this process and, of those that joined others, since when. A version
// that serves beside them and was not recorded has just come.
func (t *Tracker) LearnRecorded(now time.Time, served []Origin, newSince map[Origin]time.Time) {
	var services []string
	for _, o := range served {
		services = append(services, o.Service)
	}
	for o := range t.servedAt {
		if slices.Contains(services, o.Service) {
			t.newSince[o] = now
		}
	}
	t.ObserveServing(now, served)
	for _, o := range served {
		delete(t.newSince, o)
		if since, ok := newSince[o]; ok && since.Before(now) {
			t.newSince[o] = since
		} else if ok {
			t.newSince[o] = now
		}
	}
}

// NewSince returns when the versions came that joined others of their service.
func (t *Tracker) NewSince() map[Origin]time.Time { return maps.Clone(t.newSince) }

// New returns the versions that joined others of their service less than a time ago.
func (t *Tracker) New(now time.Time, within time.Duration) []Origin {
	var versions []Origin
	for o, since := range t.newSince {
		if now.Sub(since) < within {
			versions = append(versions, o)
		}
	}
	return versions
}

// LearnPast records the versions that served before this process observed them, possibly none.
func (t *Tracker) LearnPast(now time.Time, served []Origin) {
	t.knowsPast, t.isPastLost = true, false
	t.ObserveServing(now, served)
}

// LosePast records that versions may have served before now that neither the store nor another instance tells.
func (t *Tracker) LosePast(now time.Time) {
	t.observedFrom, t.knowsPast, t.isPastLost = now, false, true
}

// KnowsPast reports whether the versions that have served within the retention are known.
func (t *Tracker) KnowsPast(now time.Time) bool {
	return t.knowsPast || now.Sub(t.observedFrom) >= Retention
}

// PastUnknownFor returns the time until the streams of a lost past are over, zero if the past is not lost.
func (t *Tracker) PastUnknownFor(now time.Time) time.Duration {
	if !t.isPastLost {
		return 0
	}
	return max(Retention-now.Sub(t.observedFrom), 0)
}

// OnlyOrigin returns the origin of any stream of a service that callers may still take up. It
// returns false if there is more than one version at which it may have begun.
func (t *Tracker) OnlyOrigin(now time.Time, service string) (Origin, bool) {
	served := t.versions(now, service)
	if len(served) != 1 || !t.KnowsPast(now) {
		return Origin{}, false
	}
	return served[0], true
}

// ServedCount returns how many versions of a service have served within the retention.
func (t *Tracker) ServedCount(now time.Time, service string) int {
	return len(t.versions(now, service))
}

// versions returns the versions of a service that have served within the retention.
func (t *Tracker) versions(now time.Time, service string) []Origin {
	var served []Origin
	for o, at := range t.servedAt {
		if o.Service == service && now.Sub(at) < Retention {
			served = append(served, o)
		}
	}
	return served
}

// Served returns the versions of all services that have served within the retention, sorted.
func (t *Tracker) Served(now time.Time) []Origin {
	var served []Origin
	for o, at := range t.servedAt {
		if now.Sub(at) < Retention {
			served = append(served, o)
		}
	}
	slices.SortFunc(served, func(a, b Origin) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Version, b.Version))
	})
	return served
}

// TakeAnnouncements returns the streams that the other instances have to be told of, by their
// origin. Streams of a service of which only one version serves are kept until another does or the past is lost.
func (t *Tracker) TakeAnnouncements(now time.Time) map[Origin][]ID {
	due := make(map[Origin][]ID)
	for service, list := range t.pending {
		if !t.isShared(now, service) {
			continue
		}
		var remaining []pendingID
		for _, p := range list {
			origin, ok := t.origins[p.id]
			if !ok {
				continue // expired
			}
			due[origin] = append(due[origin], p.id)
			if p.left--; p.left > 0 {
				remaining = append(remaining, p)
			}
		}
		t.pending[service] = remaining
	}
	return due
}

// Shared returns the streams that have to be known one by one, by their origin, but for those that are known at second hand.
func (t *Tracker) Shared(now time.Time) map[Origin][]ID {
	isShared, known := t.sharedServices(now), make(map[Origin][]ID)
	for _, s := range t.expiry {
		if origin := t.origins[s.id]; isShared[origin.Service] && !s.isSecondHand {
			known[origin] = append(known[origin], s.id)
		}
	}
	return known
}

// RemoveExpired removes the streams and versions whose retention is over.
func (t *Tracker) RemoveExpired(now time.Time) {
	expired := countExpired(now, t.expiry, Retention, func(s timedID) time.Time { return s.addedAt })
	for _, s := range t.expiry[:expired] {
		delete(t.origins, s.id)
	}
	t.expiry = slices.Delete(t.expiry, 0, expired)
	t.unstored = slices.Delete(t.unstored, 0, countExpired(now, t.unstored, StoredRetention, func(s timedID) time.Time { return s.addedAt }))
	for service, list := range t.pending {
		t.pending[service] = slices.Delete(list, 0, countExpired(now, list, Retention, func(p pendingID) time.Time { return p.addedAt }))
	}
	for o, at := range t.servedAt {
		if now.Sub(at) >= Retention {
			delete(t.servedAt, o)
			delete(t.newSince, o)
		}
	}
}

// countExpired returns how many elements at the start of a list, oldest first, were added
// longer ago than the retention.
func countExpired[T any](now time.Time, list []T, retention time.Duration, addedAt func(T) time.Time) int {
	n := 0
	for n < len(list) && now.Sub(addedAt(list[n])) >= retention {
		n++
	}
	return n
}

package suspect

import (
	"slices"
	"time"

	"savoryweir/internal/state/bundle"
)

// Merge takes in a record of another instance and reports whether it was news.
func (r *Registry) Merge(now time.Time, record Record) bool {
	if !now.Before(record.Expires) {
		return false
	}
	e := r.lookup(now, record.Fingerprint)
	if e == nil {
		r.makeRoom()
		e = &entry{Record: Record{Fingerprint: record.Fingerprint}}
		r.records[record.Fingerprint] = e
		r.adopt(now, e, record)
		return true
	}
	if cleared := len(record.Upstreams) == 0 || len(e.Upstreams) == 0; cleared {
		return r.mergeCleared(now, e, record)
	}
	return r.mergeUnion(now, e, record)
}

// mergeCleared lets the later of a cleared and an uncleared record win.
func (r *Registry) mergeCleared(now time.Time, e *entry, record Record) bool {
	if !record.Expires.After(e.Expires) {
		return false
	}
	r.adopt(now, e, record)
	return true
}

// mergeUnion joins the upstreams of two records, since neither side may have
// known of the other's.
func (r *Registry) mergeUnion(now time.Time, e *entry, record Record) bool {
	before := len(e.Upstreams)
	news := record.Expires.After(e.Expires)
	union := slices.Clone(e.Upstreams)
	for _, u := range record.Upstreams {
		if !slices.Contains(union, u) && len(union) < MaxUpstreams {
			union = append(union, u)
		}
	}
	if len(union) == before && !news {
		return false
	}
	record.Upstreams = union
	record.Expires = maxTime(e.Expires, record.Expires)
	r.adopt(now, e, record)
	return true
}

func (r *Registry) adopt(now time.Time, e *entry, record Record) {
	if record.Expires.After(e.Expires) {
		e.deaths++
	}
	if len(record.Upstreams) == 0 {
		e.deaths = 0
	}
	e.Upstreams = slices.Clone(record.Upstreams)
	e.Expires = record.Expires
	e.ambiguous = false
	if len(e.Upstreams) < MaxUpstreams {
		return
	}
	for _, other := range r.records {
		if r.sharesDeath(e, other) {
			e.ambiguous = true
			other.ambiguous = true
		}
	}
}

// sharesDeath reports whether two suspects may have been on the same upstream when it died last.
func (r *Registry) sharesDeath(a, b *entry) bool {
	if a == b || len(b.Upstreams) < MaxUpstreams {
		return false
	}
	gap := a.Expires.Sub(b.Expires).Abs()
	return gap < r.settings.Spread && slices.ContainsFunc(a.Upstreams, func(u bundle.UpstreamID) bool {
		return slices.Contains(b.Upstreams, u)
	})
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

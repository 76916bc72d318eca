package suspect

import (
	"slices"
	"time"

	"savoryweir/internal/state/bundle"
)

// Merge takes in a record of another instance and reports whether it was news.
func (r *Registry) Merge(now time.Time, record Record) bool {
	if !now.Before(record.ExpiresAt) {
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
	if cleared := len(record.CrashedUpstreams) == 0 || len(e.CrashedUpstreams) == 0; cleared {
		return r.mergeCleared(now, e, record)
	}
	return r.mergeUnion(now, e, record)
}

// mergeCleared lets the later of a cleared and an uncleared record win.
func (r *Registry) mergeCleared(now time.Time, e *entry, record Record) bool {
	if !record.ExpiresAt.After(e.ExpiresAt) {
		return false
	}
	r.adopt(now, e, record)
	return true
}

// mergeUnion joins the upstreams of two records, since neither side may have
// known of the other's.
func (r *Registry) mergeUnion(now time.Time, e *entry, record Record) bool {
	before := len(e.CrashedUpstreams)
	news := record.ExpiresAt.After(e.ExpiresAt)
	union := slices.Clone(e.CrashedUpstreams)
	for _, u := range record.CrashedUpstreams {
		if !slices.Contains(union, u) && len(union) < MaxCrashedUpstreams {
			union = append(union, u)
		}
	}
	if len(union) == before && !news {
		return false
	}
	record.CrashedUpstreams = union
	record.ExpiresAt = maxTime(e.ExpiresAt, record.ExpiresAt)
	r.adopt(now, e, record)
	return true
}

func (r *Registry) adopt(now time.Time, e *entry, record Record) {
	if record.ExpiresAt.After(e.ExpiresAt) {
		e.deaths++
	}
	if len(record.CrashedUpstreams) == 0 {
		e.deaths = 0
	}
	e.CrashedUpstreams = slices.Clone(record.CrashedUpstreams)
	e.ExpiresAt = record.ExpiresAt
	e.ambiguous = false
	if len(e.CrashedUpstreams) < MaxCrashedUpstreams {
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
	if a == b || len(b.CrashedUpstreams) < MaxCrashedUpstreams {
		return false
	}
	gap := a.ExpiresAt.Sub(b.ExpiresAt).Abs()
	return gap < r.settings.PropagationTime && slices.ContainsFunc(a.CrashedUpstreams, func(u bundle.UpstreamID) bool {
		return slices.Contains(b.CrashedUpstreams, u)
	})
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

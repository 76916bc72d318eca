package suspect

import (
	"slices"
	"time"

	"savoryweir/internal/state/bundle"
)

// Merge merges a record of another instance and reports whether it contained anything new.
func (r *Registry) Merge(now time.Time, record Record) bool {
	if !now.Before(record.ExpiresAt) {
		return false
	}
	e := r.lookup(now, record.Fingerprint)
	if e == nil {
		r.evictIfFull()
		e = &localRecord{Record: Record{Fingerprint: record.Fingerprint}}
		r.records[record.Fingerprint] = e
		r.replace(now, e, record)
		return true
	}
	if cleared := len(record.CrashedUpstreams) == 0 || len(e.CrashedUpstreams) == 0; cleared {
		return r.mergeCleared(now, e, record)
	}
	return r.mergeUnion(now, e, record)
}

// mergeCleared keeps the later one of a cleared and an uncleared record.
func (r *Registry) mergeCleared(now time.Time, e *localRecord, record Record) bool {
	if !record.ExpiresAt.After(e.ExpiresAt) {
		return false
	}
	r.replace(now, e, record)
	return true
}

// mergeUnion merges the upstreams of two records, because each instance may have recorded
// a crash that the other one did not know of.
func (r *Registry) mergeUnion(now time.Time, e *localRecord, record Record) bool {
	oldCount := len(e.CrashedUpstreams)
	isNewer := record.ExpiresAt.After(e.ExpiresAt)
	union := slices.Clone(e.CrashedUpstreams)
	for _, u := range record.CrashedUpstreams {
		if !slices.Contains(union, u) && len(union) < MaxCrashedUpstreams {
			union = append(union, u)
		}
	}
	if len(union) == oldCount && !isNewer {
		return false
	}
	record.CrashedUpstreams = union
	record.ExpiresAt = laterOf(e.ExpiresAt, record.ExpiresAt)
	r.replace(now, e, record)
	return true
}

// replace takes over the contents of a record and counts a crash if the record is newer.
// If two suspects may have been on the same upstream at its crash, neither is known to be
// the cause.
func (r *Registry) replace(now time.Time, e *localRecord, record Record) {
	if record.ExpiresAt.After(e.ExpiresAt) {
		e.crashes++
	}
	if len(record.CrashedUpstreams) == 0 {
		e.crashes = 0
	}
	e.CrashedUpstreams = slices.Clone(record.CrashedUpstreams)
	e.ExpiresAt = record.ExpiresAt
	e.hasOtherCause = false
	if len(e.CrashedUpstreams) < MaxCrashedUpstreams {
		return
	}
	for _, other := range r.records {
		if r.mayShareCrash(e, other) {
			e.hasOtherCause = true
			other.hasOtherCause = true
		}
	}
}

// mayShareCrash reports whether two suspects may have been on the same upstream at its
// last crash.
func (r *Registry) mayShareCrash(a, b *localRecord) bool {
	if a == b || len(b.CrashedUpstreams) < MaxCrashedUpstreams {
		return false
	}
	gap := a.ExpiresAt.Sub(b.ExpiresAt).Abs()
	return gap < r.settings.PropagationTime && slices.ContainsFunc(a.CrashedUpstreams, func(u bundle.UpstreamID) bool {
		return slices.Contains(b.CrashedUpstreams, u)
	})
}

func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

package warmup

import (
	"time"

	"savoryweir/internal/coordination/permits"
	"savoryweir/internal/state/fleet"
)

const (
	// settleTime is the time from the first upstreams that an instance sees to the first one that
	// counts as started. Before, all upstreams are new to the instance only.
	settleTime = 5 * time.Second
	// maxStartAge is the age beyond which an upstream that is seen for the first time doesn't count as
	// started: its entry has come late.
	maxStartAge = 10 * time.Second
	// incarnationMemory is how long an upstream that is no longer listed is remembered, so that one
	// whose entry comes back doesn't count as started.
	incarnationMemory = 2 * time.Minute
	// downRate is the share of failed requests from which an upstream counts as down: almost all of
	// them, so that one that fails a part of them stays with the choice by failure rate.
	downRate = 0.7
	// upRate is the share below which an upstream that was down may count as down again.
	upRate = 0.5
	// episodeMemory is the time after which an upstream counts as warm although its owner was not
	// asked.
	episodeMemory = 30 * time.Second
)

// Episode is a time in which an upstream is limited by a window, as one instance knows it.
type Episode struct {
	Since     time.Time
	HasFailed bool // the upstream was down; else it has started
	seenAt    time.Time
}

// isOver reports whether the upstream counts as warm although its owner was not asked. One that has
// started and got no request, such as an engine without a model, is not limited later.
func (e Episode) isOver(now time.Time) bool {
	if !e.HasFailed {
		return now.Sub(e.Since) > maxOpenTime
	}
	return now.Sub(e.seenAt) > episodeMemory
}

// Detector finds the upstreams that have started or are down, as one instance sees them. It is not safe
// for concurrent use.
type Detector struct {
	settledAt time.Time
	seen      map[permits.Incarnation]time.Time // when it was last listed
	episodes  map[permits.Incarnation]Episode
	isDown    map[permits.Incarnation]bool // had downRate and not yet upRate again
}

// NewDetector returns a detector that has seen no upstream.
func NewDetector() *Detector {
	return &Detector{seen: make(map[permits.Incarnation]time.Time), episodes: make(map[permits.Incarnation]Episode), isDown: make(map[permits.Incarnation]bool)}
}

// Observe records the upstreams that are listed now. failureRate returns the share of requests that one
// fails, over all instances.
func (d *Detector) Observe(now time.Time, listed []*fleet.Upstream, failureRate func(fleet.UpstreamID) float64) {
	if len(listed) > 0 && d.settledAt.IsZero() {
		d.settledAt = now.Add(settleTime)
	}
	for _, u := range listed {
		of := permits.IncarnationOf(u)
		d.observeStart(now, of, u.StartedAt)
		d.seen[of] = now
		d.observeFailures(now, of, failureRate(u.ID))
	}
	d.forget(now)
}

func (d *Detector) observeStart(now time.Time, of permits.Incarnation, startedAt time.Time) {
	if _, isKnown := d.seen[of]; isKnown || now.Before(d.settledAt) || now.Sub(startedAt) > maxStartAge {
		return
	}
	d.episodes[of] = Episode{Since: now, seenAt: now}
}

func (d *Detector) observeFailures(now time.Time, of permits.Incarnation, rate float64) {
	switch {
	case rate >= downRate:
		e, isKnown := d.episodes[of]
		if !isKnown && !d.isDown[of] {
			e = Episode{Since: now, HasFailed: true}
		}
		if !e.Since.IsZero() {
			e.seenAt = now
			d.episodes[of] = e
		}
		d.isDown[of] = true
	case rate < upRate:
		delete(d.isDown, of)
	}
}

func (d *Detector) forget(now time.Time) {
	for of, at := range d.seen {
		if now.Sub(at) > incarnationMemory {
			delete(d.seen, of)
			delete(d.isDown, of)
		}
	}
	for of, e := range d.episodes {
		if e.isOver(now) || !d.seen[of].Equal(now) {
			delete(d.episodes, of)
		}
	}
}

// Episode returns the episode of an upstream, false if it is warm.
func (d *Detector) Episode(of permits.Incarnation) (Episode, bool) {
	e, ok := d.episodes[of]
	return e, ok
}

// Count returns the number of upstreams that are not warm.
func (d *Detector) Count() int { return len(d.episodes) }

// End records that an upstream is warm.
func (d *Detector) End(of permits.Incarnation) { delete(d.episodes, of) }

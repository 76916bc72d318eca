package rebalance

import (
	"math"
	"time"
)

// DemandKey names a model or adapter of a service.
type DemandKey struct{ Service, Model, Adapter string }

// Counts are cumulative over the life of a process.
type Counts struct {
	Requests, Tokens uint64
}

const (
	// fastWindow follows a demand that moves to another model within seconds.
	fastWindow = 4 * time.Second
	// slowWindow keeps replicas through short lulls.
	slowWindow = 8 * time.Second
	// slowShare is the share of the slow average that counts as demand.
	slowShare = 0.6
)

type sourceKey struct {
	instance string
	key      DemandKey
}

type source struct {
	incarnation int64
	counts      Counts
}

// average is an exponentially weighted rate in two windows.
type average struct {
	fast, slow float64 // a second
	at         time.Time
}

func (a *average) decay(now time.Time) {
	age := now.Sub(a.at).Seconds()
	if age <= 0 {
		return
	}
	a.fast *= math.Exp(-age / fastWindow.Seconds())
	a.slow *= math.Exp(-age / slowWindow.Seconds())
	a.at = now
}

func (a *average) add(now time.Time, n float64) {
	a.decay(now)
	a.fast += n / fastWindow.Seconds()
	a.slow += n / slowWindow.Seconds()
}

func (a *average) rate() float64 { return max(a.fast, slowShare*a.slow) }

type demand struct {
	requests, tokens average
	last             time.Time
}

// DemandTracker follows how much of each model and adapter callers ask for, over all
// instances. It is not safe for concurrent use.
type DemandTracker struct {
	sources map[sourceKey]source
	known   map[string]int64 // incarnation by instance
	by      map[DemandKey]*demand
}

// NewDemandTracker returns a demand that knows no requests.
func NewDemandTracker() *DemandTracker {
	return &DemandTracker{sources: make(map[sourceKey]source), known: make(map[string]int64), by: make(map[DemandKey]*demand)}
}

// Observe records the counts of an instance's process. What a process counted
// before it was first heard of is left out.
func (d *DemandTracker) Observe(now time.Time, instance string, incarnation int64, counts map[DemandKey]Counts) {
	first := d.known[instance] != incarnation
	d.known[instance] = incarnation
	for key, c := range counts {
		at := sourceKey{instance, key}
		old, ok := d.sources[at]
		if !ok || old.incarnation != incarnation {
			old = source{incarnation: incarnation}
			if first {
				old.counts = c
			}
		}
		if c.Requests > old.counts.Requests {
			d.add(now, key, float64(c.Requests-old.counts.Requests), float64(c.Tokens-old.counts.Tokens))
			old.counts = c
		}
		d.sources[at] = old
	}
}

func (d *DemandTracker) add(now time.Time, key DemandKey, requests, tokens float64) {
	entry := d.by[key]
	if entry == nil {
		entry = &demand{}
		d.by[key] = entry
	}
	entry.requests.add(now, requests)
	entry.tokens.add(now, tokens)
	entry.last = now
}

// Rates returns the work of each model in tokens a second, and the requests a
// second of each adapter, of one service.
func (d *DemandTracker) Rates(now time.Time, service string) (map[string]float64, map[AdapterKey]float64) {
	work := make(map[string]float64)
	adapters := make(map[AdapterKey]float64)
	for key, entry := range d.by {
		if now.Sub(entry.last) > DemandRetention {
			delete(d.by, key)
			continue
		}
		if key.Service != service {
			continue
		}
		entry.requests.decay(now)
		entry.tokens.decay(now)
		work[key.Model] += entry.tokens.rate()
		if key.Adapter != "" {
			adapters[AdapterKey{key.Model, key.Adapter}] = entry.requests.rate()
		}
	}
	return work, adapters
}

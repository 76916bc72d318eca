package rebalance

import (
	"math"
	"time"
)

// DemandKey identifies a model of a service, or an adapter if Adapter is set.
type DemandKey struct{ Service, Model, Adapter string }

// Counts holds the requests and prompt tokens that a process has counted since its start.
type Counts struct {
	Requests, Tokens uint64
}

const (
	// fastWindow is the time constant of the average that follows demand which shifts to
	// another model within seconds.
	fastWindow = 4 * time.Second
	// slowWindow is the time constant of the average that keeps replicas during short
	// drops in demand.
	slowWindow = 8 * time.Second
	// slowWeight is the factor by which the slow average counts as demand.
	slowWeight = 0.6
)

// sourceKey identifies the counter of one model or adapter at one instance.
type sourceKey struct {
	instance string
	key      DemandKey
}

// instanceReport is the last count that an instance's process reported.
type instanceReport struct {
	incarnation int64
	counts      Counts
}

// decayingRate is an exponentially weighted moving average of a rate with two time constants.
type decayingRate struct {
	fast, slow float64 // per second
	updatedAt  time.Time
}

// decay ages both averages to now.
func (a *decayingRate) decay(now time.Time) {
	elapsed := now.Sub(a.updatedAt).Seconds()
	if elapsed <= 0 {
		return
	}
	a.fast *= math.Exp(-elapsed / fastWindow.Seconds())
	a.slow *= math.Exp(-elapsed / slowWindow.Seconds())
	a.updatedAt = now
}

// add records n events at now.
func (a *decayingRate) add(now time.Time, n float64) {
	a.decay(now)
	a.fast += n / fastWindow.Seconds()
	a.slow += n / slowWindow.Seconds()
}

// rate returns the events per second as of the last update.
func (a *decayingRate) rate() float64 { return max(a.fast, slowWeight*a.slow) }

// demandEntry is the demand for one model or adapter.
type demandEntry struct {
	requests, tokens decayingRate
	lastRequestAt    time.Time
}

// DemandTracker measures the demand for each model and adapter over all instances. It
// is not safe for concurrent use.
type DemandTracker struct {
	lastReports  map[sourceKey]instanceReport
	incarnations map[string]int64 // last known incarnation by instance
	byKey        map[DemandKey]*demandEntry
}

// NewDemandTracker returns a DemandTracker without any demand.
func NewDemandTracker() *DemandTracker {
	return &DemandTracker{lastReports: make(map[sourceKey]instanceReport), incarnations: make(map[string]int64), byKey: make(map[DemandKey]*demandEntry)}
}

// Observe records the counts that an instance's process reports. Requests that a process
// counted before its first report are not added to the demand.
func (d *DemandTracker) Observe(now time.Time, instance string, incarnation int64, counts map[DemandKey]Counts) {
	isFirstReport := d.incarnations[instance] != incarnation
	d.incarnations[instance] = incarnation
	for key, c := range counts {
		reportKey := sourceKey{instance, key}
		previous, ok := d.lastReports[reportKey]
		if !ok || previous.incarnation != incarnation {
			previous = instanceReport{incarnation: incarnation}
			if isFirstReport {
				previous.counts = c
			}
		}
		if c.Requests > previous.counts.Requests {
			d.add(now, key, float64(c.Requests-previous.counts.Requests), float64(c.Tokens-previous.counts.Tokens))
			previous.counts = c
		}
		d.lastReports[reportKey] = previous
	}
}

// add records requests and tokens for a model or adapter.
func (d *DemandTracker) add(now time.Time, key DemandKey, requests, tokens float64) {
	entry := d.byKey[key]
	if entry == nil {
		entry = &demandEntry{}
		d.byKey[key] = entry
	}
	entry.requests.add(now, requests)
	entry.tokens.add(now, tokens)
	entry.lastRequestAt = now
}

// Rates returns the demand for the models of a service in prompt tokens per second, and
// the demand for its adapters in requests per second. It drops models and adapters
// without a request in the last DemandRetention.
func (d *DemandTracker) Rates(now time.Time, service string) (map[string]float64, map[AdapterKey]float64) {
	tokenRates := make(map[string]float64)
	adapterRates := make(map[AdapterKey]float64)
	for key, entry := range d.byKey {
		if now.Sub(entry.lastRequestAt) > DemandRetention {
			delete(d.byKey, key)
			continue
		}
		if key.Service != service {
			continue
		}
		entry.requests.decay(now)
		entry.tokens.decay(now)
		tokenRates[key.Model] += entry.tokens.rate()
		if key.Adapter != "" {
			adapterRates[AdapterKey{key.Model, key.Adapter}] = entry.requests.rate()
		}
	}
	return tokenRates, adapterRates
}

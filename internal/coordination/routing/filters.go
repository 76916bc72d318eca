package routing

import (
	"slices"
	"time"

	"savoryweir/internal/state/bundle"
)

// UsableFilter keeps candidates that are up, are below their concurrency limit, have the
// model and are not excluded.
type UsableFilter struct{}

// Filter implements Filter.
func (UsableFilter) Filter(_ time.Time, request Request, candidates []Candidate) []Candidate {
	return Usable(request, candidates)
}

// CapacityFilter keeps candidates whose estimated load leaves capacity in the batch, so
// that a request waits in the entry process, which enforces its deadline, and not in the
// engine. Candidates with an unknown batch size are kept.
type CapacityFilter struct {
	// Overbook is the number of requests above the batch size that may wait at the
	// engine. They cover the round trip between the entry process and the engine.
	Overbook int
	// SendFactor is the number of requests that all entry processes together are assumed
	// to send to an upstream for each one counted in SentSinceReport. Zero stands for one.
	SendFactor float64
	// OvernightShare is the share of the batch up to which overnight requests are
	// sent, so that they do not slow down other requests. Zero stands for the whole batch.
	OvernightShare float64
}

// Filter implements Filter.
func (f CapacityFilter) Filter(_ time.Time, request Request, candidates []Candidate) []Candidate {
	var kept []Candidate
	for _, c := range candidates {
		if c.BatchSize == 0 || f.estimatedUse(c) < f.allowedUse(request, c) {
			kept = append(kept, c)
		}
	}
	return kept
}

func (f CapacityFilter) estimatedUse(c Candidate) float64 {
	sent := max(f.SendFactor, 1) * float64(c.SentSinceReport)
	return max(c.reportedLoad()+sent, float64(c.InFlight))
}

func (f CapacityFilter) allowedUse(request Request, c Candidate) float64 {
	limit := float64(c.BatchSize + f.Overbook)
	if request.Class == ClassOvernight && f.OvernightShare > 0 {
		limit = f.OvernightShare * float64(c.BatchSize)
	}
	if c.RecoveryShare > 0 {
		limit *= c.RecoveryShare
	}
	return limit
}

// DeadlineFilter drops candidates that are currently too slow to answer before the
// deadline, so that a slow upstream with free capacity does not attract requests that
// must time out there. It keeps candidates of unknown speed, and all candidates for a
// request whose expected length is unknown.
type DeadlineFilter struct{}

// Filter implements Filter.
func (DeadlineFilter) Filter(now time.Time, request Request, candidates []Candidate) []Candidate {
	var kept []Candidate
	for _, c := range candidates {
		answer := time.Duration(request.Tokens * float64(c.TimePerToken))
		if answer == 0 || !now.Add(answer).After(request.Deadline) {
			kept = append(kept, c)
		}
	}
	return kept
}

// ZoneFilter keeps local candidates, and those of other availability zones only while
// they have spare capacity. A zone that loses its upstreams can then use the spare
// capacity of other zones, but it cannot displace the requests of those zones.
type ZoneFilter struct {
	Local bundle.Zone
	// SpilloverThreshold is the share of the batch in use below which an upstream of
	// another zone may be used.
	SpilloverThreshold float64
}

// Filter implements Filter.
func (f ZoneFilter) Filter(_ time.Time, _ Request, candidates []Candidate) []Candidate {
	var kept []Candidate
	for _, c := range candidates {
		if c.Zone == f.Local || f.hasSpareCapacity(c) {
			kept = append(kept, c)
		}
	}
	return kept
}

func (f ZoneFilter) hasSpareCapacity(c Candidate) bool {
	return c.BatchSize == 0 || c.estimatedLoad() < f.SpilloverThreshold*float64(c.BatchSize)
}

// PairFilter narrows the candidates to the pair that rendezvous hashing selects for the
// request. Equal requests have the same pair in every entry process, so that a request
// that crashes its upstream reaches at most two upstreams, even when entry processes
// that know nothing of each other run it at the same time.
//
// PairFilter must be the first filter, since it selects the pair from all hosts of the
// model, including those without capacity. An upstream leaves its pairs only after it
// has been down for SettleTime, by which time all entry processes have been notified of
// the requests that were running on it. Excluded upstreams stay in the pair, so that a
// retry goes to the other upstream of the pair.
type PairFilter struct {
	SettleTime time.Duration
	// ByPrefix selects the first upstream by the prefix hash instead of the fingerprint.
	// The requests of a hot prefix are still distributed over all upstreams by the second
	// one, which is selected by the fingerprint.
	ByPrefix bool
}

// Filter implements Filter.
func (f PairFilter) Filter(now time.Time, request Request, candidates []Candidate) []Candidate {
	hosts := f.hosts(now, request, candidates)
	if len(hosts) < 2 {
		return hosts
	}
	first := highestWeight(hosts, f.firstChoiceKey(request), "")
	second := highestWeight(hosts, request.Fingerprint, hosts[first].Upstream)
	hosts[first].firstChoice = true
	return []Candidate{hosts[first], hosts[second]}
}

func (f PairFilter) hosts(now time.Time, request Request, candidates []Candidate) []Candidate {
	hosts := make([]Candidate, 0, len(candidates))
	for _, c := range candidates {
		if request.Model != "" && !c.HasModel {
			continue
		}
		if f.hasLeftPairs(now, c) && !slices.Contains(request.Excluded, c.Upstream) {
			continue
		}
		hosts = append(hosts, c)
	}
	return hosts
}

func (f PairFilter) hasLeftPairs(now time.Time, c Candidate) bool {
	return !c.DownSince.IsZero() && now.Sub(c.DownSince) >= f.SettleTime
}

func (f PairFilter) firstChoiceKey(request Request) uint64 {
	if f.ByPrefix && request.PrefixHash != 0 {
		return request.PrefixHash
	}
	return ^request.Fingerprint
}

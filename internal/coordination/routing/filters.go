package routing

import (
	"slices"
	"time"

	"savoryweir/internal/state/bundle"
)

// UsableFilter keeps candidates that are up, below their limit and have the model.
type UsableFilter struct{}

// Filter implements Filter.
func (UsableFilter) Filter(_ time.Time, request Request, candidates []Candidate) []Candidate {
	return Usable(request, candidates)
}

// CapacityFilter keeps candidates whose estimated load leaves a place in the batch,
// so that the request waits in the entry, where its deadline counts, and not in
// the engine. Candidates with unknown batch size are kept.
type CapacityFilter struct {
	// Overbook is how many requests above the batch size may wait at the engine.
	// It hides the round trip between the entry and the engine.
	Overbook int
	// SendFactor is how many requests all entries send to an upstream for each one
	// of this entry since the last report, as far as they are counted. Zero stands for one.
	SendFactor float64
	// OvernightShare is the share of the batch up to which overnight requests are
	// sent, so that they don't slow down the others. Zero stands for all.
	OvernightShare float64
}

// Filter implements Filter.
func (f CapacityFilter) Filter(_ time.Time, request Request, candidates []Candidate) []Candidate {
	var kept []Candidate
	for _, c := range candidates {
		if c.BatchSize == 0 || f.used(c) < f.places(request, c) {
			kept = append(kept, c)
		}
	}
	return kept
}

func (f CapacityFilter) used(c Candidate) float64 {
	sent := max(f.SendFactor, 1) * float64(c.SentSinceReport)
	return max(c.reported()+sent, float64(c.InFlight))
}

func (f CapacityFilter) places(request Request, c Candidate) float64 {
	places := float64(c.BatchSize + f.Overbook)
	if request.Class == ClassOvernight && f.OvernightShare > 0 {
		places = f.OvernightShare * float64(c.BatchSize)
	}
	if c.RecoveryShare > 0 {
		places *= c.RecoveryShare
	}
	return places
}

// DeadlineFilter drops candidates that are too slow at present to answer before
// the deadline, so that a slow upstream with free places draws no requests that
// must fail there. Candidates of unknown pace are kept,
// and all for a request of unknown length.
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

// ZoneFilter keeps local candidates, and those of other availability zones only
// while they have spare places. A zone that loses its upstreams can then use the
// spare places of its neighbours but not crowd out their own requests.
type ZoneFilter struct {
	Local bundle.Zone
	// SpilloverThreshold is the share of the batch in use up to which other zones may be used.
	SpilloverThreshold float64
}

// Filter implements Filter.
func (f ZoneFilter) Filter(_ time.Time, _ Request, candidates []Candidate) []Candidate {
	var kept []Candidate
	for _, c := range candidates {
		if c.Zone == f.Local || f.isSpare(c) {
			kept = append(kept, c)
		}
	}
	return kept
}

func (f ZoneFilter) isSpare(c Candidate) bool {
	return c.BatchSize == 0 || c.estimate() < f.SpilloverThreshold*float64(c.BatchSize)
}

// PairFilter narrows the candidates to the two that the request's hashes name.
// Equal requests have the same pair at every entry, so a request that crashes its
// upstream reaches at most two, even when entries run it at the same moment and
// know nothing of each other.
//
// It must be the first filter: the pair is taken from all hosts of the model,
// also those without room. An upstream leaves the pairs only after it was down
// for Settle, when all entries have heard which requests were running on it.
// Excluded upstreams stay in the pair, so that a retry goes to the other of the two.
type PairFilter struct {
	SettleTime time.Duration
	// ByPrefix takes the first upstream by the prefix in place of the fingerprint.
	// A hot prefix still spreads over all upstreams by the second one.
	ByPrefix bool
}

// Filter implements Filter.
func (f PairFilter) Filter(now time.Time, request Request, candidates []Candidate) []Candidate {
	hosts := f.hosts(now, request, candidates)
	if len(hosts) < 2 {
		return hosts
	}
	first := highest(hosts, f.firstKey(request), "")
	second := highest(hosts, request.Fingerprint, hosts[first].Upstream)
	hosts[first].firstChoice = true
	return []Candidate{hosts[first], hosts[second]}
}

func (f PairFilter) hosts(now time.Time, request Request, candidates []Candidate) []Candidate {
	hosts := make([]Candidate, 0, len(candidates))
	for _, c := range candidates {
		if request.Model != "" && !c.HasModel {
			continue
		}
		if f.hasSettled(now, c) && !slices.Contains(request.Excluded, c.Upstream) {
			continue
		}
		hosts = append(hosts, c)
	}
	return hosts
}

func (f PairFilter) hasSettled(now time.Time, c Candidate) bool {
	return !c.DownSince.IsZero() && now.Sub(c.DownSince) >= f.SettleTime
}

func (f PairFilter) firstKey(request Request) uint64 {
	if f.ByPrefix && request.PrefixHash != 0 {
		return request.PrefixHash
	}
	return ^request.Fingerprint
}

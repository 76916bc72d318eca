package routing

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"savoryweir/internal/state/bundle"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func newCandidates(n int) []Candidate {
	var candidates []Candidate
	for i := range n {
		candidates = append(candidates, Candidate{
			Upstream: bundle.UpstreamID(fmt.Sprintf("engine-%d", i)),
			Zone:     bundle.Zone(fmt.Sprintf("zone-%d", i%3)),
			Limit:    32, BatchSize: 32, HasModel: true,
		})
	}
	return candidates
}

func TestPoliciesNeverPickAnUnusableUpstream(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		candidates := newCandidates(rapid.IntRange(1, 12).Draw(t, "hosts"))
		for i := range candidates {
			candidates[i].Ejected = r.IntN(3) == 0
			candidates[i].Leaving = r.IntN(4) == 0
			candidates[i].HasModel = r.IntN(4) != 0
			candidates[i].InFlight = r.IntN(40)
		}
		request := Request{Model: "m", Fingerprint: r.Uint64(), Excluded: []bundle.UpstreamID{"engine-0"}}
		for _, p := range []Picker{
			NewRandom(r), NewLeastReportedLoad(), NewTwoChoices(r), NewLateBindingTwoChoices(r, 2),
			NewLeastEstimatedLoad(2), NewHashedPair(DefaultHashedPairSettings("zone-0")), PowerOfTwoChoices{Rand: r},
		} {
			id, err := p.Pick(start, request, candidates)
			if err != nil {
				assert.ErrorIs(t, err, ErrNoUpstream)
				continue
			}
			for _, c := range candidates {
				assert.Assert(t, c.Upstream != id || c.accepts(request), "picked %s", id)
			}
		}
	})
}

// TestEqualRequestsReachAtMostTwoUpstreams guards against a request that crashes its
// upstreams reaching more than its pair. Entry processes see different loads and ejections
// of the same upstreams, and an upstream that is down must stay in its pairs for the settle
// time.
func TestEqualRequestsReachAtMostTwoUpstreams(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 2))
		settings := DefaultHashedPairSettings("zone-0")
		settings.PrefixAffinity = float64(r.IntN(2) * 4)
		picker := NewHashedPair(settings)
		request := Request{Model: "m", Fingerprint: r.Uint64(), PrefixHash: r.Uint64()}
		reached := make(map[bundle.UpstreamID]bool)
		for range 50 {
			candidates := newCandidates(9)
			for i := range candidates {
				candidates[i].InFlight = r.IntN(33)
				candidates[i].Ejected = r.IntN(3) == 0
				if candidates[i].Ejected {
					candidates[i].DownSince = start.Add(-time.Duration(r.Int64N(int64(settings.SettleTime))))
				}
			}
			if id, err := picker.Pick(start, request, candidates); err == nil {
				reached[id] = true
			}
		}
		assert.Assert(t, len(reached) <= 2, "reached %v", reached)
	})
}

func TestRequestLeavesItsPairAfterTheSettleTime(t *testing.T) {
	picker := NewHashedPair(DefaultHashedPairSettings("zone-0"))
	request := Request{Model: "m", Fingerprint: 42}
	candidates := newCandidates(9)
	for _, c := range (PairFilter{}).Filter(start, request, candidates) {
		for i := range candidates {
			if candidates[i].Upstream == c.Upstream {
				candidates[i].Ejected = true
				candidates[i].DownSince = start
			}
		}
	}
	_, err := picker.Pick(start.Add(time.Second), request, candidates)
	assert.ErrorIs(t, err, ErrNoUpstream)
	_, err = picker.Pick(start.Add(5*time.Second), request, candidates)
	assert.NilError(t, err)
}

func TestRetryGoesToTheOtherUpstreamOfThePair(t *testing.T) {
	picker := NewHashedPair(DefaultHashedPairSettings("zone-0"))
	request := Request{Model: "m", Fingerprint: 7}
	first, err := picker.Pick(start, request, newCandidates(9))
	assert.NilError(t, err)
	request.Excluded = []bundle.UpstreamID{first}
	candidates := newCandidates(9)
	for i := range candidates {
		if candidates[i].Upstream == first {
			candidates[i].Ejected = true
			candidates[i].DownSince = start.Add(-time.Hour)
		}
	}
	second, err := picker.Pick(start, request, candidates)
	assert.NilError(t, err)
	pair := (PairFilter{}).Filter(start, Request{Model: "m", Fingerprint: 7}, newCandidates(9))
	assert.Assert(t, second != first)
	assert.Assert(t, pair[0].Upstream == second || pair[1].Upstream == second)
}

func TestZoneFilterDropsBusyUpstreamsOfOtherZones(t *testing.T) {
	filter := ZoneFilter{Local: "zone-0", SpilloverThreshold: 0.5}
	candidates := newCandidates(3)
	candidates[0].Reported.Running = 32
	candidates[1].Reported.Running = 20
	candidates[2].Reported.Running = 10
	kept := filter.Filter(start, Request{}, candidates)
	assert.Equal(t, len(kept), 2)
	assert.Equal(t, kept[0].Upstream, bundle.UpstreamID("engine-0"))
	assert.Equal(t, kept[1].Upstream, bundle.UpstreamID("engine-2"))
}

func TestCapacityFilterCountsRequestsSentAfterTheReport(t *testing.T) {
	candidates := newCandidates(1)
	candidates[0].Reported.Running = 30
	assert.Equal(t, len(CapacityFilter{}.Filter(start, Request{}, candidates)), 1)
	candidates[0].SentSinceReport = 2
	assert.Equal(t, len(CapacityFilter{}.Filter(start, Request{}, candidates)), 0)
	assert.Equal(t, len(CapacityFilter{Overbook: 2}.Filter(start, Request{}, candidates)), 1)
	candidates[0].SentSinceReport = 1
	assert.Equal(t, len(CapacityFilter{}.Filter(start, Request{}, candidates)), 1)
	assert.Equal(t, len(CapacityFilter{SendFactor: 4}.Filter(start, Request{}, candidates)), 0)
}

func TestRecoveringUpstreamIsLimitedToItsShare(t *testing.T) {
	candidates := newCandidates(1)
	candidates[0].RecoveryShare = 0.25
	candidates[0].Reported.Running = 7
	assert.Equal(t, len(CapacityFilter{}.Filter(start, Request{}, candidates)), 1)
	candidates[0].Reported.Running = 8
	assert.Equal(t, len(CapacityFilter{}.Filter(start, Request{}, candidates)), 0)
}

func TestOwnerChangesOnlyForKeysOfTheMemberThatLeft(t *testing.T) {
	members := []string{"a", "b", "c", "d"}
	for key := range uint64(500) {
		before := Owner(key, members)
		after := Owner(key, members[:3])
		assert.Assert(t, before == "d" || before == after)
	}
	assert.Equal(t, Owner(1, nil), "")
}

func TestSlowUpstreamGetsNoRequestThatWouldMissItsDeadline(t *testing.T) {
	candidates := newCandidates(2)
	candidates[0].TimePerToken = 300 * time.Millisecond
	candidates[1].TimePerToken = 60 * time.Millisecond
	candidates[1].InFlight = 20
	request := Request{Model: "m", Tokens: 100, Deadline: start.Add(8 * time.Second)}
	picker := NewHashedPair(DefaultHashedPairSettings("zone-0"))
	id, err := picker.Pick(start, request, candidates)
	assert.NilError(t, err)
	assert.Equal(t, id, candidates[1].Upstream)
	request.Deadline = start.Add(time.Second)
	_, err = picker.Pick(start, request, candidates)
	assert.ErrorIs(t, err, ErrNoUpstream)
	request.Tokens = 0 // unknown length
	id, err = picker.Pick(start, request, candidates)
	assert.NilError(t, err)
	assert.Equal(t, id, candidates[0].Upstream)
}

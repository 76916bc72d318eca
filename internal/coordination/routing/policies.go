package routing

import (
	"math/rand/v2"
	"time"

	"savoryweir/internal/state/bundle"
)

// NewRandom returns the policy that picks a random usable upstream.
func NewRandom(r *rand.Rand) Scheduler {
	return Scheduler{Filters: []Filter{UsableFilter{}}, Chooser: RandomChoice{Rand: r}}
}

// NewLeastReportedLoad returns the policy that picks the usable upstream with the lowest
// reported load.
func NewLeastReportedLoad() Scheduler {
	return Scheduler{
		Filters: []Filter{UsableFilter{}},
		Scorers: []Scorer{ReportedLoad{}},
		Chooser: LowestCost{},
	}
}

// NewTwoChoices returns the power of two choices on the requests in flight from this entry
// process plus the reported load.
func NewTwoChoices(r *rand.Rand) Scheduler {
	return Scheduler{
		Filters: []Filter{UsableFilter{}},
		Scorers: []Scorer{OwnAndReportedLoad{}},
		Chooser: TwoChoices{Rand: r},
	}
}

// NewLateBindingTwoChoices returns the power of two choices on the estimated load.
// Requests wait in the entry process until an upstream has capacity.
func NewLateBindingTwoChoices(r *rand.Rand, overbook int) Scheduler {
	return Scheduler{
		Filters: []Filter{UsableFilter{}, newCapacityFilter(overbook)},
		Scorers: []Scorer{EstimatedLoad{}},
		Chooser: TwoChoices{Rand: r},
	}
}

// NewLeastEstimatedLoad returns the policy that picks the lowest estimated load among
// upstreams with capacity. It suits a deployment in which one entry process dispatches
// all requests of a model, since the estimate of that process then misses few of them.
func NewLeastEstimatedLoad(overbook int) Scheduler {
	return Scheduler{
		Filters: []Filter{UsableFilter{}, newCapacityFilter(overbook)},
		Scorers: []Scorer{EstimatedLoad{}},
		Chooser: LowestCost{},
	}
}

// HashedPairSettings are the settings of NewHashedPair.
type HashedPairSettings struct {
	SettleTime     time.Duration // time for which an upstream that is down stays in its pairs
	Overbook       int           // requests above the batch size that may wait at an engine
	SendFactor     float64       // see CapacityFilter
	PrefixAffinity float64       // additional load that is acceptable for a cached prefix, zero for no affinity
	Zone           bundle.Zone   // availability zone of this instance
	ZonePenalty    float64       // additional load that is acceptable for a local upstream
}

// DefaultHashedPairSettings returns the default settings for an instance in the given zone.
func DefaultHashedPairSettings(zone bundle.Zone) HashedPairSettings {
	return HashedPairSettings{SettleTime: 4 * time.Second, SendFactor: 4, Zone: zone, ZonePenalty: 0.5}
}

// NewHashedPair returns the policy that picks the cheaper of the two upstreams that
// PairFilter selects for the request. With a PrefixAffinity above zero, it implements
// prefix affinity with bounded load.
func NewHashedPair(s HashedPairSettings) Scheduler {
	pair := PairFilter{SettleTime: s.SettleTime, ByPrefix: s.PrefixAffinity > 0}
	capacity := newCapacityFilter(s.Overbook)
	capacity.SendFactor = s.SendFactor
	return Scheduler{
		Filters: []Filter{pair, UsableFilter{}, DeadlineFilter{}, capacity},
		Scorers: []Scorer{
			EstimatedLoad{},
			PrefixMissPenalty{Requests: s.PrefixAffinity},
			ZonePenalty{Local: s.Zone, Requests: s.ZonePenalty},
		},
		Chooser: LowestCost{},
	}
}

// overnightShare leaves free the share of the batch that package admission reserves for
// requests of other classes.
const overnightShare = 0.7

func newCapacityFilter(overbook int) CapacityFilter {
	return CapacityFilter{Overbook: overbook, OvernightShare: overnightShare}
}

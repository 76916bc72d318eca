package routing

import (
	"math/rand/v2"
	"time"

	"savoryweir/internal/state/bundle"
)

// NewRandom returns the policy that picks any usable upstream.
func NewRandom(r *rand.Rand) Scheduler {
	return Scheduler{Filters: []Filter{UsableFilter{}}, Chooser: RandomChoice{Rand: r}}
}

// NewLeastReportedLoad returns the policy that picks the lowest reported load.
func NewLeastReportedLoad() Scheduler {
	return Scheduler{
		Filters: []Filter{UsableFilter{}},
		Scorers: []Scorer{ReportedLoad{}},
		Chooser: LowestCost{},
	}
}

// NewTwoChoices returns power of two choices on own in-flight plus reported load.
func NewTwoChoices(r *rand.Rand) Scheduler {
	return Scheduler{
		Filters: []Filter{UsableFilter{}},
		Scorers: []Scorer{OwnAndReportedLoad{}},
		Chooser: TwoChoices{Rand: r},
	}
}

// NewLateBindingTwoChoices returns power of two choices on the estimated load. Requests
// wait in the entry until an upstream has room.
func NewLateBindingTwoChoices(r *rand.Rand, overbook int) Scheduler {
	return Scheduler{
		Filters: []Filter{UsableFilter{}, newRoomFilter(overbook)},
		Scorers: []Scorer{EstimatedLoad{}},
		Chooser: TwoChoices{Rand: r},
	}
}

// NewLeastEstimatedLoad returns the policy that picks the lowest estimated load
// among upstreams with room. A home queue uses it: one entry binds all requests
// of a model, so that its estimate misses few of them.
func NewLeastEstimatedLoad(overbook int) Scheduler {
	return Scheduler{
		Filters: []Filter{UsableFilter{}, newRoomFilter(overbook)},
		Scorers: []Scorer{EstimatedLoad{}},
		Chooser: LowestCost{},
	}
}

// HashedPairSettings are the settings of NewKeyed.
type HashedPairSettings struct {
	SettleTime     time.Duration // how long a lost upstream keeps its place in the pairs
	Overbook       int           // requests above the batch size that may wait at an engine
	SendFactor     float64       // see RoomFilter
	PrefixAffinity float64       // load that a cached prefix outweighs, zero for no affinity
	Zone           bundle.Zone   // availability zone of this instance
	ZonePenalty    float64       // load that a local upstream may have more
}

// DefaultHashedPairSettings returns the settings to start from.
func DefaultHashedPairSettings(zone bundle.Zone) HashedPairSettings {
	return HashedPairSettings{SettleTime: 4 * time.Second, SendFactor: 4, Zone: zone, ZonePenalty: 0.5}
}

// NewHashedPair returns the cheaper of the two upstreams that the request's hashes
// name, see PairFilter. With a PrefixBonus it is prefix affinity with bounded load.
func NewHashedPair(s HashedPairSettings) Scheduler {
	pair := PairFilter{SettleTime: s.SettleTime, ByPrefix: s.PrefixAffinity > 0}
	room := newRoomFilter(s.Overbook)
	room.SendFactor = s.SendFactor
	return Scheduler{
		Filters: []Filter{pair, UsableFilter{}, DeadlineFilter{}, room},
		Scorers: []Scorer{
			EstimatedLoad{},
			PrefixMissPenalty{Requests: s.PrefixAffinity},
			ZonePenalty{Local: s.Zone, Requests: s.ZonePenalty},
		},
		Chooser: LowestCost{},
	}
}

// overnightShare leaves the room that package admission reserves.
const overnightShare = 0.7

func newRoomFilter(overbook int) CapacityFilter {
	return CapacityFilter{Overbook: overbook, OvernightShare: overnightShare}
}

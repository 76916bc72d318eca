package loads

import (
	"maps"
	"time"

	"savoryweir/internal/state/fleet"
)

// Stats is what one or several instances report of the upstreams.
type Stats struct {
	Loads     map[fleet.UpstreamID]Load
	Outcomes  map[fleet.UpstreamID]OutcomeCounts
	Instances int // number of instances that the stats cover
}

// NewStats returns stats that cover no instance.
func NewStats() Stats {
	return Stats{Loads: make(map[fleet.UpstreamID]Load), Outcomes: make(map[fleet.UpstreamID]OutcomeCounts)}
}

// add adds the stats of other instances.
func (s *Stats) add(other Stats) {
	for id, l := range other.Loads {
		sum := s.Loads[id]
		sum.Add(l)
		s.Loads[id] = sum
	}
	for id, counts := range other.Outcomes {
		s.Outcomes[id] = s.Outcomes[id].add(counts)
	}
	s.Instances += other.Instances
}

// without returns the stats without a part that they contain.
func (s Stats) without(part Stats) Stats {
	rest := Stats{Loads: maps.Clone(s.Loads), Outcomes: maps.Clone(s.Outcomes), Instances: s.Instances - part.Instances}
	for id, l := range part.Loads {
		if left := rest.Loads[id].minus(l); left.IsZero() {
			delete(rest.Loads, id)
		} else {
			rest.Loads[id] = left
		}
	}
	for id, counts := range part.Outcomes {
		rest.Outcomes[id] = rest.Outcomes[id].add(counts.scaled(-1))
	}
	return rest
}

// minus returns the load without a part that it contains.
func (l Load) minus(part Load) Load {
	for i := range l.PendingPrefill {
		l.PendingPrefill[i] -= part.PendingPrefill[i]
	}
	l.Running -= part.Running
	l.RecentPrefill -= part.RecentPrefill
	l.Pace = l.Pace.plus(PaceSum{Count: -part.Pace.Count, Total: -part.Pace.Total})
	return l
}

// timedStats are stats with the time at which they were received.
type timedStats struct {
	Stats
	receivedAt time.Time
}

// Aggregate sums the reports of the instances of an availability zone and the sums of the
// other zones. It is not safe for concurrent use.
type Aggregate struct {
	maxReportAge time.Duration         // age beyond which a report is dropped
	members      map[string]timedStats // by instance
	zones        map[string]timedStats // sums of the other zones
}

// NewAggregate returns an aggregate without reports. It drops reports older than
// maxReportAge.
func NewAggregate(maxReportAge time.Duration) *Aggregate {
	return &Aggregate{maxReportAge: maxReportAge, members: make(map[string]timedStats), zones: make(map[string]timedStats)}
}

// SetMember replaces the report of an instance of the zone.
func (a *Aggregate) SetMember(now time.Time, instance string, s Stats) {
	s.Instances = 1
	a.members[instance] = timedStats{Stats: s, receivedAt: now}
}

// SetZone replaces the sum of another zone.
func (a *Aggregate) SetZone(now time.Time, zone string, s Stats) {
	a.zones[zone] = timedStats{Stats: s, receivedAt: now}
}

// Members returns the instances of the zone whose reports are in use.
func (a *Aggregate) Members(now time.Time) []string {
	a.removeExpired(now)
	names := make([]string, 0, len(a.members))
	for name := range a.members {
		names = append(names, name)
	}
	return names
}

func (a *Aggregate) removeExpired(now time.Time) {
	expired := func(_ string, s timedStats) bool { return now.Sub(s.receivedAt) > a.maxReportAge }
	maps.DeleteFunc(a.members, expired)
	maps.DeleteFunc(a.zones, expired)
}

// ZoneSum returns the sum over the instances of the zone.
func (a *Aggregate) ZoneSum(now time.Time) Stats {
	a.removeExpired(now)
	sum := NewStats()
	for _, s := range a.members {
		sum.add(s.Stats)
	}
	return sum
}

// FleetSum returns the sum over all zones, given the sum of this one.
func (a *Aggregate) FleetSum(now time.Time, zoneSum Stats) Stats {
	a.removeExpired(now)
	sum := NewStats()
	sum.add(zoneSum)
	for _, s := range a.zones {
		sum.add(s.Stats)
	}
	return sum
}

// WithoutMember returns the fleet's sum without the report of one instance of the zone, which
// knows its own loads better. fleetSum must contain that report.
func (a *Aggregate) WithoutMember(fleetSum Stats, instance string) Stats {
	return fleetSum.without(a.members[instance].Stats)
}

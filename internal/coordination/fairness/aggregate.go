package fairness

import (
	"maps"
	"time"
)

// timedRows are rows with the time at which they were received.
type timedRows struct {
	rows       map[Row]Work
	receivedAt time.Time
}

// Aggregate sums the work of the instances of an availability zone and the sums of the other zones. It
// is not safe for concurrent use.
type Aggregate struct {
	maxAge  time.Duration
	members map[string]timedRows // by instance
	zones   map[string]timedRows // sums of the other zones
}

// NewAggregate returns an aggregate without reports. It drops reports older than maxAge.
func NewAggregate(maxAge time.Duration) *Aggregate {
	return &Aggregate{maxAge: maxAge, members: make(map[string]timedRows), zones: make(map[string]timedRows)}
}

// SetMember replaces the report of an instance of the zone.
func (a *Aggregate) SetMember(now time.Time, instance string, rows map[Row]Work) {
	a.members[instance] = timedRows{rows: rows, receivedAt: now}
}

// SetZone replaces the sum of another zone.
func (a *Aggregate) SetZone(now time.Time, zone string, rows map[Row]Work) {
	a.zones[zone] = timedRows{rows: rows, receivedAt: now}
}

// ZoneSum returns the sum over the instances of the zone.
func (a *Aggregate) ZoneSum(now time.Time) map[Row]Work {
	a.removeExpired(now)
	return sum(a.members)
}

// Sum returns the sum over all zones.
func (a *Aggregate) Sum(now time.Time) map[Row]Work {
	total := a.ZoneSum(now)
	for row, work := range sum(a.zones) {
		total[row] = total[row].add(work)
	}
	return total
}

func sum(reports map[string]timedRows) map[Row]Work {
	total := make(map[Row]Work)
	for _, r := range reports {
		for row, work := range r.rows {
			total[row] = total[row].add(work)
		}
	}
	return total
}

// WithoutMember returns a sum without the report of an instance of the zone that it contains.
func (a *Aggregate) WithoutMember(total map[Row]Work, instance string) map[Row]Work {
	rest := maps.Clone(total)
	for row, work := range a.members[instance].rows {
		rest[row] = rest[row].add(work.scaled(-1))
	}
	return rest
}

func (a *Aggregate) removeExpired(now time.Time) {
	isExpired := func(_ string, r timedRows) bool { return now.Sub(r.receivedAt) > a.maxAge }
	maps.DeleteFunc(a.members, isExpired)
	maps.DeleteFunc(a.zones, isExpired)
}

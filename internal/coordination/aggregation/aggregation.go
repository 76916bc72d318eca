// Package aggregation decides which instances aggregate the loads that the instances of a
// large fleet report. If each instance reported to all others, the messages would grow with
// the square of the fleet. Instead, the instances of an availability zone report to two of
// them, the aggregators, which exchange sums with the aggregators of the other zones and send
// each instance the sum over the whole fleet. All instances choose the aggregators on their
// own, by hash, and pass over those that don't respond.
package aggregation

import (
	"cmp"
	"hash/fnv"
	"math"
	"slices"
	"time"
)

const (
	// AggregatorsPerZone is the number of aggregators of an availability zone. The second
	// one holds the same reports, so that it takes over at once when the first one stops.
	AggregatorsPerZone = 2
	// responseTimeout is how long an aggregator may stay silent before it is passed over:
	// longer than two messages at the pace of the second aggregator.
	responseTimeout = 1500 * time.Millisecond
	// suspicionPeriod is how long an unresponsive aggregator that stays silent is passed over
	// before it is tried again.
	suspicionPeriod = 6 * time.Second
	// takeoverTimeout is the silence of the first aggregator after which the second one
	// leads: several messages at the pace of the first.
	takeoverTimeout = 500 * time.Millisecond
)

// Candidate is an instance that may be an aggregator of its availability zone.
type Candidate struct {
	Instance string
	LinkMbps float64   // capacity of its network link; zero if not known
	HeardAt  time.Time // time of its latest message; zero if none was received
}

// Selector chooses the aggregators of one availability zone. It is not safe for concurrent
// use.
type Selector struct {
	zone         string
	self         string               // this instance, which is always responsive
	selectedAt   map[string]time.Time // time since which an instance has been selected
	suspectSince map[string]time.Time // time since which an instance has been passed over
}

// NewSelector returns a selector for a zone. self is the instance that chooses.
func NewSelector(zone, self string) *Selector {
	return &Selector{zone: zone, self: self, selectedAt: make(map[string]time.Time), suspectSince: make(map[string]time.Time)}
}

// Select returns the aggregators among the candidates, in the order of their rank.
func (s *Selector) Select(now time.Time, candidates []Candidate) []Candidate {
	ranked := s.rank(candidates)
	var selected []Candidate
	for _, c := range ranked {
		if s.isUnresponsive(now, c) {
			s.suspectSince[c.Instance] = now
		}
		if s.isSuspect(now, c) {
			continue
		}
		if selected = append(selected, c); len(selected) == AggregatorsPerZone {
			break
		}
	}
	selectedAt := make(map[string]time.Time, len(selected))
	for _, c := range selected {
		selectedAt[c.Instance] = now
		if since, ok := s.selectedAt[c.Instance]; ok {
			selectedAt[c.Instance] = since
		}
	}
	s.selectedAt = selectedAt
	return selected
}

// rank returns the candidates with the fastest links first and those with equal links by descending hash, so that all
// instances rank them alike and the zones' aggregators are spread over the instances. An aggregator sends a sum to each
// instance of its zone some times a second. A slow link drops the ends of these bursts and the relayed changes among them.
func (s *Selector) rank(candidates []Candidate) []Candidate {
	ranked := slices.Clone(candidates)
	if slices.ContainsFunc(ranked, func(c Candidate) bool { return c.LinkMbps == 0 }) {
		for i := range ranked { // beside builds that rank by hash alone
			ranked[i].LinkMbps = 0
		}
	}
	slices.SortFunc(ranked, func(a, b Candidate) int {
		return cmp.Or(cmp.Compare(math.Floor(b.LinkMbps), math.Floor(a.LinkMbps)), cmp.Compare(s.weight(b.Instance), s.weight(a.Instance)), cmp.Compare(a.Instance, b.Instance))
	})
	return ranked
}

func (s *Selector) weight(instance string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(instance + "/" + s.zone))
	return h.Sum64()
}

// isUnresponsive reports whether a selected instance has sent nothing for too long.
func (s *Selector) isUnresponsive(now time.Time, c Candidate) bool {
	since, selected := s.selectedAt[c.Instance]
	if !selected || c.Instance == s.self {
		return false
	}
	if c.HeardAt.After(since) {
		since = c.HeardAt
	}
	return now.Sub(since) > responseTimeout
}

// isSuspect reports whether an instance is passed over. A message of it ends that at once: an aggregator that is passed
// over gets no messages and so passes over its peer in turn, and without this rule the two would do so by turns for ever.
func (s *Selector) isSuspect(now time.Time, c Candidate) bool {
	since, ok := s.suspectSince[c.Instance]
	if ok && (now.Sub(since) >= suspicionPeriod || c.HeardAt.After(since)) {
		delete(s.suspectSince, c.Instance)
		return false
	}
	return ok
}

// Leads reports whether this instance leads among the selected aggregators: it is the first
// one, or those before it are silent.
func (s *Selector) Leads(now time.Time, selected []Candidate) bool {
	for _, c := range selected {
		if c.Instance == s.self {
			return true
		}
		if now.Sub(c.HeardAt) < takeoverTimeout {
			return false
		}
	}
	return false
}

package node

import (
	"slices"
	"sync"
	"time"

	pb "savoryweir/api/savoryweir/v1"
	"savoryweir/internal/coordination/aggregation"
	"savoryweir/internal/coordination/fairness"
	"savoryweir/internal/state/loads"
)

const (
	// minAggregatedPeers is the number of other instances from which loads are aggregated.
	// In a smaller fleet, direct reports cost less and arrive sooner.
	minAggregatedPeers = 24
	// aggregateMaxAge is the age beyond which an aggregator drops a report: two idle
	// intervals.
	aggregateMaxAge = 2 * idleReportInterval
	// standbyTicks is the number of ticks of the report loop between two sums that an
	// aggregator sends while it does not lead.
	standbyTicks = 5
	// beaconInterval is the time between two beacons of an instance that watches the store
	// or holds the lease.
	beaconInterval = 500 * time.Millisecond
	// helloInterval is the time between two beacons of the other instances, by which all
	// instances know each other although only aggregators get their reports.
	helloInterval = 30 * time.Second
)

// aggregator exchanges the loads of a large fleet: it reports the loads of this instance to
// the aggregators of its availability zone and, if this instance is one of them, sums up what
// it receives.
type aggregator struct {
	node     *Node
	minPeers int

	mu           sync.Mutex // guards all fields below
	aggregate    *loads.Aggregate
	work         *fairness.Aggregate              // of customers
	selectors    map[string]*aggregation.Selector // by availability zone
	isAggregator bool                             // this instance is an aggregator of its zone
	leads        bool                             // this instance leads the aggregators of its zone
	sumsUp       bool                             // this instance computes the fleet's sum itself
}

func newAggregator(n *Node) *aggregator {
	return &aggregator{node: n, minPeers: minAggregatedPeers, aggregate: loads.NewAggregate(aggregateMaxAge), work: fairness.NewAggregate(aggregateMaxAge), selectors: make(map[string]*aggregation.Selector)}
}

// aggregatesLoads reports whether the fleet is large enough for loads to be aggregated.
func (r *reporter) aggregatesLoads() bool {
	return r.node.mesh.PeerCount() >= r.aggregator.minPeers
}

// peerTimeout returns the time without a datagram after which another instance no longer
// counts as alive.
func (r *reporter) peerTimeout() time.Duration {
	if r.aggregatesLoads() {
		return missedReports * helloInterval
	}
	return missedReports * maxReportInterval
}

// missedReports is the number of messages of an instance that may be missing before it no
// longer counts as alive.
const missedReports = 3

// exchange sends the report of this instance to the aggregators of its availability zone if
// isDue is set, and the sums that are due if this instance is an aggregator.
func (a *aggregator) exchange(tick int, own report, isDue bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	zone, self := a.node.settings.Instance.Zone, a.node.settings.Instance.ID
	zones := a.candidates(now)
	selected := a.selector(zone).Select(now, zones[zone])
	a.isAggregator = slices.ContainsFunc(selected, func(c aggregation.Candidate) bool { return c.Instance == self })
	if isDue {
		for _, c := range selected {
			if c.Instance != self {
				a.node.mesh.Send(c.Instance, own.message())
			}
		}
	}
	a.leads = a.selector(zone).Leads(now, selected)
	members := a.aggregate.Members(now)
	a.sumsUp = a.leads && 2*len(members) >= len(zones[zone])
	if len(members) == 0 && !a.leads || !a.leads && tick%standbyTicks != 0 {
		return
	}
	a.aggregate.SetMember(now, self, own.stats())
	a.sendSums(now, own, members, zones)
}

// isZoneAggregator reports whether this instance is an aggregator of its availability zone.
func (a *aggregator) isZoneAggregator() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.isAggregator
}

// candidates returns all instances by availability zone. The caller holds a.mu.
func (a *aggregator) candidates(now time.Time) map[string][]aggregation.Candidate {
	zones := make(map[string][]aggregation.Candidate)
	for _, p := range a.node.mesh.Peers() {
		zones[p.Zone] = append(zones[p.Zone], aggregation.Candidate{Instance: p.Instance, LinkMbps: p.LinkMbps, HeardAt: p.HeardAt})
	}
	delete(zones, "") // zone not known yet
	own := a.node.settings.Instance
	zones[own.Zone] = append(zones[own.Zone], aggregation.Candidate{Instance: own.ID, LinkMbps: a.node.settings.Mesh.LinkMbps, HeardAt: now})
	return zones
}

func (a *aggregator) selector(zone string) *aggregation.Selector {
	if a.selectors[zone] == nil {
		a.selectors[zone] = aggregation.NewSelector(zone, a.node.settings.Instance.ID)
	}
	return a.selectors[zone]
}

// sendSums sends each member of the zone the sum over all other instances, and the
// aggregators of the other zones the sum over this zone. The caller holds a.mu.
func (a *aggregator) sendSums(now time.Time, own report, members []string, zones map[string][]aggregation.Candidate) {
	self, ownZone := a.node.settings.Instance.ID, a.node.settings.Instance.Zone
	zoneSum := a.aggregate.ZoneSum(now)
	fleetSum := a.aggregate.FleetSum(now, zoneSum)
	for _, member := range members {
		if member != self {
			a.node.mesh.Send(member, own.summed("", a.aggregate.WithoutMember(fleetSum, member)))
		}
	}
	for zone, candidates := range zones {
		if zone == ownZone {
			continue
		}
		for _, c := range a.selector(zone).Select(now, candidates) {
			a.node.mesh.Send(c.Instance, own.summed(ownZone, zoneSum))
		}
	}
	if a.sumsUp {
		a.node.tracker.RecordFleetStats(a.aggregate.WithoutMember(fleetSum, self))
	}
}

// relay sends packed changes to all instances: through the aggregators of this availability
// zone, or directly if this instance leads them.
func (a *aggregator) relay(packed []byte) {
	if a.forward(packed, pb.PackedChanges_SCOPE_FLEET) {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	now, zone := time.Now(), a.node.settings.Instance.Zone
	a.sendToAggregators(now, zone, a.candidates(now)[zone], packed, pb.PackedChanges_SCOPE_FLEET)
}

// forward sends packed changes to the aggregators of the other zones, for the scope of the fleet, and
// then to the instances of this zone: a link drops the end of a burst that exceeds its queue. It does nothing and returns false unless this
// instance leads the aggregators of its zone.
func (a *aggregator) forward(packed []byte, scope pb.PackedChanges_Scope) bool {
	if scope == pb.PackedChanges_SCOPE_UNSPECIFIED {
		return false
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.leads {
		return false
	}
	if scope == pb.PackedChanges_SCOPE_FLEET {
		now := time.Now()
		for zone, candidates := range a.candidates(now) {
			if zone != a.node.settings.Instance.Zone {
				a.sendToAggregators(now, zone, candidates, packed, pb.PackedChanges_SCOPE_ZONE)
			}
		}
	}
	a.node.mesh.SendByZone(packedRelay(packed, pb.PackedChanges_SCOPE_UNSPECIFIED), true)
	return true
}

// announceStreams sends the streams that began at this instance to the aggregators of its
// availability zone.
func (a *aggregator) announceStreams(origins []*pb.StreamOrigin) {
	if len(origins) == 0 {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	now, zone := time.Now(), a.node.settings.Instance.Zone
	for _, c := range a.selector(zone).Select(now, a.candidates(now)[zone]) {
		for _, o := range origins {
			a.node.mesh.Send(c.Instance, &pb.FleetMessage{StreamOrigins: []*pb.StreamOrigin{o}})
		}
	}
}

// sendToAllAggregators sends a message to the aggregators of all availability zones.
func (a *aggregator) sendToAllAggregators(m *pb.FleetMessage) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	for zone, candidates := range a.candidates(now) {
		for _, c := range a.selector(zone).Select(now, candidates) {
			a.node.mesh.Send(c.Instance, m)
		}
	}
}

// sendToAggregators sends packed changes to the aggregators of a zone. The caller holds a.mu.
func (a *aggregator) sendToAggregators(now time.Time, zone string, candidates []aggregation.Candidate, packed []byte, scope pb.PackedChanges_Scope) {
	for _, c := range a.selector(zone).Select(now, candidates) {
		a.node.mesh.Send(c.Instance, packedRelay(packed, scope))
	}
}

func packedRelay(packed []byte, scope pb.PackedChanges_Scope) *pb.FleetMessage {
	return &pb.FleetMessage{PackedRelays: []*pb.PackedChanges{{Packed: packed, Scope: scope}}}
}

// receiveReport records the report of another instance, in case this one aggregates.
func (a *aggregator) receiveReport(m *pb.FleetMessage) {
	if m.Zone != a.node.settings.Instance.Zone {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.aggregate.SetMember(time.Now(), m.Instance, decodeStats(m.Loads))
}

// receiveSum records a sum that an aggregator has sent: over a zone to another aggregator, or
// over all instances but this one.
func (a *aggregator) receiveSum(s *pb.SummedLoads) {
	stats := decodeStats(s.Loads)
	stats.Instances = int(s.Instances)
	a.mu.Lock()
	defer a.mu.Unlock()
	switch {
	case s.Zone != "":
		a.aggregate.SetZone(time.Now(), s.Zone, stats)
	case !a.sumsUp:
		a.node.tracker.RecordFleetStats(stats)
	}
}

// stats returns the report's loads and outcomes.
func (r report) stats() loads.Stats { return loads.Stats{Loads: r.loads, Outcomes: r.outcomes} }

// summed encodes a sum that this instance sends as aggregator.
func (r report) summed(zone string, s loads.Stats) *pb.FleetMessage {
	m := r.beacon()
	m.Summed = &pb.SummedLoads{Zone: zone, Instances: uint32(max(s.Instances, 0)), Loads: encodeLoads(s.Loads, s.Outcomes)}
	return m
}

func decodeStats(list []*pb.FleetLoad) loads.Stats {
	return loads.Stats{Loads: decodeLoads(list), Outcomes: decodeOutcomes(list)}
}

// beaconPacer decides when an instance of a large fleet sends a beacon to all others.
type beaconPacer struct {
	last        report
	lastSentAt  time.Time
	wasRelevant bool
}

// isDue reports whether a beacon must be sent now, and records it as sent if so. An instance
// that watches the store, holds the lease or is cut off from its upstreams is relevant to all
// others; once it no longer is, it says so in one more beacon.
func (p *beaconPacer) isDue(now time.Time, r report) bool {
	isRelevant := r.healthyWatcher || r.holdsLease || r.isCutOff
	elapsed := now.Sub(p.lastSentAt)
	hasNews := r.newestVersions != p.last.newestVersions || r.healthyWatcher != p.last.healthyWatcher || r.holdsLease != p.last.holdsLease || r.isCutOff != p.last.isCutOff
	due := elapsed >= helloInterval
	if isRelevant || p.wasRelevant {
		due = due || hasNews || elapsed >= beaconInterval
	}
	if due {
		p.last, p.lastSentAt, p.wasRelevant = r, now, isRelevant
	}
	return due
}

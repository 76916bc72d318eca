package node

import (
	"context"
	"sync"
	"time"

	pb "savoryweir/api/savoryweir/v1"
	"savoryweir/internal/coordination/rebalance"
	"savoryweir/internal/node/registry"
	"savoryweir/internal/pause"
	"savoryweir/internal/state/fleet"
	"savoryweir/internal/state/loads"
	"savoryweir/internal/state/object"
)

const (
	// minReportInterval is the shortest time between two load reports: the time in which an
	// engine prefills one long prompt.
	minReportInterval = 100 * time.Millisecond
	// sameZoneIntervalPerPeer and crossZoneIntervalPerPeer lengthen the report interval in
	// proportion to the number of instances in the availability zone of this instance and in
	// other zones. Each instance then receives fewer than 200 datagrams per second, and the
	// traffic between zones, which is charged, does not grow with the square of the fleet size.
	sameZoneIntervalPerPeer  = 10 * time.Millisecond
	crossZoneIntervalPerPeer = 15 * time.Millisecond
	// idleReportInterval is the time within which a report is sent even without changes.
	idleReportInterval = time.Second
	// ticksPerDemandReport is the number of ticks of the report loop between two demand reports.
	ticksPerDemandReport = 3
	// wantInterval is the shortest time between two requests for the same load. The requests
	// of many callers that wait for it become one.
	wantInterval = 50 * time.Millisecond
	// maxReportInterval limits the age of reports to less than the time for which receivers
	// use them.
	maxReportInterval = time.Second
)

// reporter exchanges loads, demand and requests for models with the other instances.
type reporter struct {
	node        *Node
	incarnation int64 // identifies this process in the demand records of the reconciler

	mu                 sync.Mutex // guards the fields below
	demand             map[rebalance.DemandKey]rebalance.Counts
	unreportedDemand   map[rebalance.DemandKey]bool
	leaseHolder        string // instance that last reported that it holds the lease
	leaseHolderSeenAt  time.Time
	watchersSeenAt     map[string]time.Time // last report of each instance that watches the store and gets responses
	wantSentAt         map[rebalance.DemandKey]time.Time
	pendingChanges     []*pb.ResidencyChange // announced with the next tick of the report loop
	startedPeers       startedPeers
	newestPeerUpstream object.Version       // newest version of an upstream's entry that another instance has seen
	cutOffPeers        map[string]bool      // instances that have reported that they reach no upstreams
	silentPeers        map[string]time.Time // until when no requests are forwarded to an instance

	aggregator *aggregator
}

func newReporter(n *Node) *reporter {
	return &reporter{
		node: n, incarnation: time.Now().UnixMilli(),
		demand: make(map[rebalance.DemandKey]rebalance.Counts), unreportedDemand: make(map[rebalance.DemandKey]bool),
		watchersSeenAt: make(map[string]time.Time), wantSentAt: make(map[rebalance.DemandKey]time.Time), aggregator: newAggregator(n), startedPeers: make(startedPeers), cutOffPeers: make(map[string]bool), silentPeers: make(map[string]time.Time),
	}
}

// recordDemand counts a request for a model or adapter, and its tokens.
func (r *reporter) recordDemand(service, model, adapter string, tokens int) {
	key := rebalance.DemandKey{Service: service, Model: model, Adapter: adapter}
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.demand[key]
	c.Requests++
	c.Tokens += uint64(tokens)
	r.demand[key], r.unreportedDemand[key] = c, true
}

// requestLoad informs the lease holder that a request is waiting for a model or adapter.
func (r *reporter) requestLoad(service, model, adapter string) {
	key := rebalance.DemandKey{Service: service, Model: model, Adapter: adapter}
	if _, ok := r.node.leaseManager.FencingToken(); ok {
		r.node.reconciler.MarkWanted(key, r.node.settings.Instance.ID)
		return
	}
	if !r.mayRequestLoad(key) {
		return
	}
	r.node.mesh.SendTo(r.currentLeaseHolder(), &pb.FleetMessage{Wants: []*pb.FleetWant{{Service: service, Model: model, Adapter: adapter}}})
}

// mayRequestLoad reports whether wantInterval has passed since the last request for a load,
// and records the next one if so.
func (r *reporter) mayRequestLoad(key rebalance.DemandKey) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	if now.Sub(r.wantSentAt[key]) < wantInterval {
		return false
	}
	r.wantSentAt[key] = now
	return true
}

// currentLeaseHolder returns the instance that holds the lease, or "" if none has reported
// recently that it does.
func (r *reporter) currentLeaseHolder() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if time.Since(r.leaseHolderSeenAt) > 2*idleReportInterval {
		return ""
	}
	return r.leaseHolder
}

// announceResidency informs the other instances that an order has loaded or unloaded a model
// or adapter. In a large fleet, a change of an adapter is sent at once only to the instances
// whose requests wait for it, and to the others together with other changes.
func (r *reporter) announceResidency(item registry.ResidentKey, present bool, waiting []string) {
	change := &pb.ResidencyChange{Upstream: string(item.Upstream), Model: item.Model, Adapter: item.Adapter, Present: present}
	if item.Adapter == "" || !r.aggregatesLoads() {
		r.node.mesh.Broadcast(&pb.FleetMessage{Changes: []*pb.ResidencyChange{change}})
		return
	}
	for _, instance := range waiting {
		r.node.mesh.Send(instance, &pb.FleetMessage{Changes: []*pb.ResidencyChange{change}})
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.pendingChanges = append(r.pendingChanges, change)
}

// sendPendingChanges announces the changes that were not announced at once.
func (r *reporter) sendPendingChanges() {
	r.mu.Lock()
	changes := r.pendingChanges
	r.pendingChanges = nil
	r.mu.Unlock()
	if len(changes) > 0 {
		r.node.mesh.Broadcast(&pb.FleetMessage{Changes: changes})
	}
}

// broadcastLeaving informs the other instances that an upstream has said that it is leaving.
func (r *reporter) broadcastLeaving(u *fleet.Upstream) {
	r.broadcastNotice(u, &pb.UpstreamNotice{Leaving: true})
}

// broadcastPause informs the other instances that an upstream has asked this one for a pause.
func (r *reporter) broadcastPause(u *fleet.Upstream, d time.Duration) {
	r.broadcastNotice(u, &pb.UpstreamNotice{PauseMillis: uint64(d.Milliseconds())})
}

func (r *reporter) broadcastNotice(u *fleet.Upstream, notice *pb.UpstreamNotice) {
	notice.Upstream, notice.StartedAt = string(u.ID), u.StartedAt.UnixMilli()
	r.node.mesh.Broadcast(&pb.FleetMessage{Notices: []*pb.UpstreamNotice{notice}})
}

// receiveNotice records what an upstream has said to another instance. A pause concerns that
// instance alone, so it is only a hint here.
func (r *reporter) receiveNotice(notice *pb.UpstreamNotice) {
	id := fleet.UpstreamID(notice.Upstream)
	if notice.Leaving && r.node.registry.MarkLeaving(id, time.UnixMilli(notice.StartedAt)) {
		r.node.log.Info().Str("event", "upstream.leaving").Str("upstream", notice.Upstream).Msg("upstream has told another instance that it is leaving; no more requests are sent to it")
	}
	if notice.PauseMillis > 0 {
		r.node.tracker.RecordPeerPause(id, time.Duration(notice.PauseMillis)*time.Millisecond)
	}
}

// run sends reports until ctx ends.
func (r *reporter) run(ctx context.Context) {
	sameZone, otherZones, toAggregators, beacons := &reportPacer{}, &reportPacer{}, &reportPacer{}, &beaconPacer{}
	for tick := 0; pause.For(ctx, minReportInterval); tick++ {
		r.reportDemand(tick)
		r.node.freshness.ask()
		r.reportWork(tick)
		r.sendPendingChanges()
		origins := r.node.streams.takeAnnouncements()
		if r.aggregatesLoads() {
			report, now := r.currentReport(), time.Now()
			r.aggregator.exchange(tick, report, toAggregators.isDue(now, report, minReportInterval))
			r.aggregator.announceStreams(origins)
			if beacons.isDue(now, report) {
				r.node.mesh.Broadcast(report.beacon())
			}
			continue
		}
		r.announceStreams(origins)
		sameZonePeers, otherZonePeers := r.node.mesh.PeerCountByZone()
		report, now := r.currentReport(), time.Now()
		if sameZone.isDue(now, report, sameZoneIntervalPerPeer*time.Duration(sameZonePeers)) {
			r.node.mesh.SendByZone(report.message(), true)
		}
		if otherZones.isDue(now, report, crossZoneIntervalPerPeer*time.Duration(otherZonePeers)) {
			r.node.mesh.SendByZone(report.message(), false)
		}
	}
}

// report is the state of an instance that it reports to the others.
type report struct {
	loads          map[fleet.UpstreamID]loads.Load
	outcomes       map[fleet.UpstreamID]loads.OutcomeCounts
	newestVersions objectVersions
	fencingToken   uint64 // zero if the instance may not send orders now
	holdsLease     bool
	healthyWatcher bool
	isCutOff       bool // from all upstreams
	era            *pb.StoreEra
}

// currentReport returns the current state of this instance.
func (r *reporter) currentReport() report {
	fencingToken, _ := r.node.leaseManager.FencingToken()
	inFlight, outcomes := r.node.tracker.LocalStats()
	isCutOff := r.node.gateway.IsCutOff()
	if isCutOff {
		outcomes = nil // its failures say nothing of the upstreams
	}
	return report{isCutOff: isCutOff, era: r.node.upstreamView.encode(), loads: inFlight, outcomes: outcomes, newestVersions: r.newestVersions(), fencingToken: uint64(fencingToken), holdsLease: r.node.leaseManager.HoldsLease(), healthyWatcher: r.isHealthyWatcher(time.Now())}
}

// message encodes the report.
func (r report) message() *pb.FleetMessage {
	m := r.beacon()
	m.Beacon, m.Loads = false, encodeLoads(r.loads, r.outcomes)
	return m
}

// beacon encodes the report without the loads.
func (r report) beacon() *pb.FleetMessage {
	m := &pb.FleetMessage{
		Beacon: true, NewestConfig: uint64(r.newestVersions.config), NewestUpstream: uint64(r.newestVersions.upstream), Relaying: r.healthyWatcher, CutOff: r.isCutOff, StoreEra: r.era,
	}
	if r.holdsLease {
		m.Holding = &pb.Holding{Fence: r.fencingToken}
	}
	return m
}

// reportPacer decides when to send a report.
type reportPacer struct {
	lastReport report
	lastSentAt time.Time
}

// isDue reports whether a report must be sent now, and records it as sent if so. A report with
// changes is due after interval, but at the latest after maxReportInterval. A report without
// changes is due when, in addition, half of idleReportInterval has passed.
func (p *reportPacer) isDue(now time.Time, r report, interval time.Duration) bool {
	elapsed := now.Sub(p.lastSentAt)
	hasChanges := !loads.SameInFlight(r.loads, p.lastReport.loads) || r.newestVersions != p.lastReport.newestVersions || r.healthyWatcher != p.lastReport.healthyWatcher || r.holdsLease != p.lastReport.holdsLease || r.isCutOff != p.lastReport.isCutOff
	if elapsed < min(interval, maxReportInterval) || !hasChanges && elapsed < idleReportInterval/2 {
		return false
	}
	p.lastReport, p.lastSentAt = r, now
	return true
}

// objectVersions holds the newest versions of each kind of object that an instance has seen
// in the store.
type objectVersions struct{ config, upstream object.Version }

func (r *reporter) newestVersions() objectVersions {
	return objectVersions{config: r.node.configInformer.NewestVersion(), upstream: r.node.upstreamInformer.NewestVersion()}
}

// reportDemand passes the demand counted since the last demand report to the local reconciler
// and sends it to the lease holder. It does so only every ticksPerDemandReport ticks.
func (r *reporter) reportDemand(tick int) {
	if tick%ticksPerDemandReport != 0 {
		return
	}
	r.mu.Lock()
	demand := make(map[rebalance.DemandKey]rebalance.Counts, len(r.unreportedDemand))
	for key := range r.unreportedDemand {
		demand[key] = r.demand[key]
	}
	clear(r.unreportedDemand)
	r.mu.Unlock()
	r.node.reconciler.RecordDemand(r.node.settings.Instance.ID, r.incarnation, demand)
	holder := r.currentLeaseHolder()
	if holder == "" || len(demand) == 0 {
		return
	}
	message := &pb.FleetMessage{}
	for key, c := range demand {
		message.Demands = append(message.Demands, &pb.FleetDemand{
			Service: key.Service, Model: key.Model, Adapter: key.Adapter, Requests: c.Requests, Tokens: c.Tokens,
		})
	}
	r.node.mesh.SendTo(holder, message)
}

// Receive implements mesh.Handler.
func (r *reporter) Receive(m *pb.FleetMessage) {
	if m.Holding != nil {
		r.node.leaseManager.ObserveHolder()
		r.mu.Lock()
		r.leaseHolder, r.leaseHolderSeenAt = m.Instance, time.Now()
		r.mu.Unlock()
	}
	r.receiveLoads(m)
	if len(m.Demands) > 0 {
		r.node.reconciler.RecordDemand(m.Instance, m.Incarnation, decodeDemands(m.Demands))
	}
	r.node.freshness.receive(m)
	r.recordWatcher(m)
	r.recordCutOff(m)
	r.node.store.ObserveEra(max(object.Version(m.NewestConfig), object.Version(m.NewestUpstream)).Era())
	r.node.upstreamView.receive(m)
	if m.NewestConfig > 0 {
		r.node.configInformer.ObservePeerVersion(time.Now(), object.Version(m.NewestConfig))
	}
	if m.NewestUpstream > 0 {
		r.mu.Lock()
		r.newestPeerUpstream = max(r.newestPeerUpstream, object.Version(m.NewestUpstream))
		r.mu.Unlock()
		r.node.upstreamInformer.ObservePeerVersion(time.Now(), object.Version(m.NewestUpstream))
	}
	if known := r.node.streams.receive(m); len(known) > 0 {
		r.node.mesh.Send(m.Instance, &pb.FleetMessage{StreamOrigins: known})
	}
	for _, w := range m.Wants {
		r.node.reconciler.MarkWanted(rebalance.DemandKey{Service: w.Service, Model: w.Model, Adapter: w.Adapter}, m.Instance)
	}
	for _, c := range m.Relays {
		r.node.upstreamInformer.ReceiveChanges(decodeChanges(c))
	}
	for _, c := range m.PackedRelays {
		r.receivePacked(c)
	}
	r.node.permits.Receive(m)
	r.node.quotas.Receive(m)
	r.node.receiveWarmup(m)
	r.receiveWork(m)
	r.receiveCrashes(m)
	r.tellStarted(m)
	for _, notice := range m.Notices {
		r.receiveNotice(notice)
	}
	for _, c := range m.Changes {
		item := registry.ResidentKey{Upstream: fleet.UpstreamID(c.Upstream), Model: c.Model, Adapter: c.Adapter}
		if c.Present {
			r.node.registry.MarkLoaded(item)
		} else {
			r.node.registry.MarkUnloading(item)
		}
	}
}

// receiveLoads records the loads of one or several other instances.
func (r *reporter) receiveLoads(m *pb.FleetMessage) {
	isReport := m.NewestUpstream > 0 && !m.Beacon
	switch {
	case m.Summed != nil:
		r.aggregator.receiveSum(m.Summed)
	case isReport && r.aggregatesLoads():
		r.aggregator.receiveReport(m)
	case isReport:
		r.node.tracker.RecordPeerStats(m.Instance, decodeLoads(m.Loads), decodeOutcomes(m.Loads))
	}
}

// outcomeUnit is the weight of an outcome that one unit in a report stands for, as reports
// carry weights as whole numbers of units.
const outcomeUnit = 0.0625

// encodeLoads encodes the loads of upstreams and the outcomes of their requests. An upstream
// may have outcomes without a load.
func encodeLoads(local map[fleet.UpstreamID]loads.Load, outcomes map[fleet.UpstreamID]loads.OutcomeCounts) []*pb.FleetLoad {
	list := make([]*pb.FleetLoad, 0, len(outcomes))
	for id, t := range outcomes {
		if _, ok := local[id]; !ok {
			list = append(list, &pb.FleetLoad{Upstream: string(id), Answered: toOutcomeUnits(t.Answered), Failed: toOutcomeUnits(t.Failed)})
		}
	}
	for id, l := range local {
		load := &pb.FleetLoad{
			Upstream: string(id), Running: uint32(max(l.Running, 0)),
			Answered: toOutcomeUnits(outcomes[id].Answered), Failed: toOutcomeUnits(outcomes[id].Failed),
			RecentMicros: uint32(max(l.RecentPrefill, 0) / time.Microsecond), PaceCount: uint32(max(l.Pace.Count, 0)), PaceTotal: uint32(max(l.Pace.Total, 0)),
		}
		for _, pending := range l.PendingPrefill {
			load.UnreadMicros = append(load.UnreadMicros, uint32(max(pending, 0)/time.Microsecond))
		}
		list = append(list, load)
	}
	return list
}

// decodeLoads returns the loads in a report, without those that are zero.
func decodeLoads(list []*pb.FleetLoad) map[fleet.UpstreamID]loads.Load {
	decoded := make(map[fleet.UpstreamID]loads.Load, len(list))
	for _, l := range list {
		load := loads.Load{
			Running: int(l.Running), RecentPrefill: time.Duration(l.RecentMicros) * time.Microsecond,
			Pace: loads.PaceSum{Count: int(l.PaceCount), Total: int(l.PaceTotal)},
		}
		for i := 0; i < min(len(l.UnreadMicros), loads.PriorityRanks); i++ {
			load.PendingPrefill[i] = time.Duration(l.UnreadMicros[i]) * time.Microsecond
		}
		if !load.IsZero() {
			decoded[fleet.UpstreamID(l.Upstream)] = load
		}
	}
	return decoded
}

// toOutcomeUnits returns the nearest number of outcome units for a weight.
func toOutcomeUnits(weight float64) uint32 { return uint32(weight/outcomeUnit + 0.5) }

// decodeOutcomes returns the outcomes in a report, without those that are zero.
func decodeOutcomes(list []*pb.FleetLoad) map[fleet.UpstreamID]loads.OutcomeCounts {
	decoded := make(map[fleet.UpstreamID]loads.OutcomeCounts, len(list))
	for _, l := range list {
		if l.Answered > 0 || l.Failed > 0 {
			decoded[fleet.UpstreamID(l.Upstream)] = loads.OutcomeCounts{Answered: outcomeUnit * float64(l.Answered), Failed: outcomeUnit * float64(l.Failed)}
		}
	}
	return decoded
}

func decodeDemands(list []*pb.FleetDemand) map[rebalance.DemandKey]rebalance.Counts {
	decoded := make(map[rebalance.DemandKey]rebalance.Counts, len(list))
	for _, d := range list {
		key := rebalance.DemandKey{Service: d.Service, Model: d.Model, Adapter: d.Adapter}
		decoded[key] = rebalance.Counts{Requests: d.Requests, Tokens: d.Tokens}
	}
	return decoded
}

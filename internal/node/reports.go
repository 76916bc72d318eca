package node

import (
	"context"
	"maps"
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
	// reportInterval is the shortest time between two reports of loads: the time
	// in which an engine reads one long prompt.
	reportInterval = 100 * time.Millisecond
	// nearPerPeer and farPerPeer stretch the intervals with the number of instances
	// in the own availability zone and in others, so that the datagrams received a
	// second stay below 200 an instance and the priced bytes between zones do not
	// grow with the square of the fleet.
	nearPerPeer = 10 * time.Millisecond
	farPerPeer  = 15 * time.Millisecond
	// reportIdle is the time between reports that tell nothing new.
	reportIdle = time.Second
	// demandEvery is the number of reports that come with one report of demand.
	demandEvery = 3
	// maxInterval bounds the age of reports, below the time within which they count.
	maxInterval = time.Second
)

// reporter exchanges loads, demand and wants with the other instances.
type reporter struct {
	node  *Node
	begun int64 // identifies the process to the steward of this instance

	mu       sync.Mutex // guards all below
	counts   map[rebalance.DemandKey]rebalance.Counts
	changed  map[rebalance.DemandKey]bool
	holder   string // instance that was last heard to give orders
	holderAt time.Time
	relays   map[string]time.Time // instances that follow the store, when last heard
}

func newReporter(n *Node) *reporter {
	return &reporter{
		node: n, begun: time.Now().UnixMilli(),
		counts: make(map[rebalance.DemandKey]rebalance.Counts), changed: make(map[rebalance.DemandKey]bool),
		relays: make(map[string]time.Time),
	}
}

// count records a request for a model or adapter.
func (r *reporter) count(service, model, adapter string, tokens int) {
	key := rebalance.DemandKey{Service: service, Model: model, Adapter: adapter}
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.counts[key]
	c.Requests++
	c.Tokens += uint64(tokens)
	r.counts[key], r.changed[key] = c, true
}

// ask tells the holder of orders that a request waits for a model or adapter.
func (r *reporter) ask(service, model, adapter string) {
	if _, ok := r.node.holder.FencingToken(); ok {
		r.node.steward.MarkWanted(rebalance.DemandKey{Service: service, Model: model, Adapter: adapter})
		return
	}
	r.node.mesh.SendTo(r.holderName(), &pb.FleetMessage{Wants: []*pb.FleetWant{{Service: service, Model: model, Adapter: adapter}}})
}

func (r *reporter) holderName() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if time.Since(r.holderAt) > 2*reportIdle {
		return ""
	}
	return r.holder
}

// announce tells the other instances what an order has changed.
func (r *reporter) announce(item registry.ResidentKey, present bool) {
	r.node.mesh.Broadcast(&pb.FleetMessage{Changes: []*pb.ResidencyChange{{
		Upstream: string(item.Upstream), Model: item.Model, Adapter: item.Adapter, Present: present,
	}}})
}

// tellBreak tells the other instances that an upstream broke off a request.
func (r *reporter) tellBreak(fingerprint uint64, upstream fleet.UpstreamID) {
	r.node.mesh.Broadcast(&pb.FleetMessage{Breaks: []*pb.RequestBreak{{Fingerprint: fingerprint, Upstream: string(upstream)}}})
}

func (r *reporter) run(ctx context.Context) {
	near, far := &pacer{}, &pacer{}
	for number := 0; pause.For(ctx, reportInterval); number++ {
		r.feedOwnDemand(number)
		nearPeers, farPeers := r.node.mesh.PeerCountByZone()
		report, now := r.report(), time.Now()
		if near.isDue(now, report, nearPerPeer*time.Duration(nearPeers)) {
			r.node.mesh.SendByZone(report.message(), true)
		}
		if far.isDue(now, report, farPerPeer*time.Duration(farPeers)) {
			r.node.mesh.SendByZone(report.message(), false)
		}
	}
}

// report is what an instance tells of itself.
type report struct {
	loads    map[fleet.UpstreamID]loads.Load
	outcomes map[fleet.UpstreamID]loads.OutcomeCounts
	newest   seen
	fence    uint64 // zero if it holds no lease
	relaying bool
}

func (r *reporter) report() report {
	fence, _ := r.node.holder.FencingToken()
	inFlight, outcomes := r.node.tracker.LocalStats()
	return report{loads: inFlight, outcomes: outcomes, newest: r.newest(), fence: uint64(fence), relaying: r.isRelay(time.Now())}
}

func (r report) message() *pb.FleetMessage {
	m := &pb.FleetMessage{
		Loads: encodeLoads(r.loads, r.outcomes), NewestConfig: uint64(r.newest.config), NewestUpstream: uint64(r.newest.upstream), Relaying: r.relaying,
	}
	if r.fence != 0 {
		m.Holding = &pb.Holding{Fence: r.fence}
	}
	return m
}

// pacer decides when a report is sent.
type pacer struct {
	last   report
	sentAt time.Time
}

// isDue reports whether a report is to be sent: soon if it tells news, else rarely.
func (p *pacer) isDue(now time.Time, r report, interval time.Duration) bool {
	since := now.Sub(p.sentAt)
	news := !maps.Equal(r.loads, p.last.loads) || r.newest != p.last.newest || r.relaying != p.last.relaying
	if since < min(interval, maxInterval) || !news && since < reportIdle/2 {
		return false
	}
	p.last, p.sentAt = r, now
	return true
}

// seen are the newest versions of objects that an instance has seen in the store.
type seen struct{ config, upstream object.Version }

func (r *reporter) newest() seen {
	return seen{config: r.node.followConfig.NewestVersion(), upstream: r.node.followUpstreams.NewestVersion()}
}

// feedOwnDemand gives the demand counted since the last call to the holder.
func (r *reporter) feedOwnDemand(number int) {
	if number%demandEvery != 0 {
		return
	}
	r.mu.Lock()
	changed := make(map[rebalance.DemandKey]rebalance.Counts, len(r.changed))
	for key := range r.changed {
		changed[key] = r.counts[key]
	}
	clear(r.changed)
	r.mu.Unlock()
	r.node.steward.RecordDemand(r.node.settings.Instance.ID, r.begun, changed)
	holder := r.holderName()
	if holder == "" || len(changed) == 0 {
		return
	}
	message := &pb.FleetMessage{}
	for key, c := range changed {
		message.Demands = append(message.Demands, &pb.FleetDemand{
			Service: key.Service, Model: key.Model, Adapter: key.Adapter, Requests: c.Requests, Tokens: c.Tokens,
		})
	}
	r.node.mesh.SendTo(holder, message)
}

// Receive implements mesh.Handler.
func (r *reporter) Receive(m *pb.FleetMessage) {
	if m.Holding != nil {
		r.node.holder.ObserveHolder()
		r.mu.Lock()
		r.holder, r.holderAt = m.Instance, time.Now()
		r.mu.Unlock()
	}
	if m.NewestUpstream > 0 { // a report of loads; other messages carry none
		r.node.tracker.RecordPeerStats(m.Instance, decodeLoads(m.Loads), decodeOutcomes(m.Loads))
	}
	if len(m.Demands) > 0 {
		r.node.steward.RecordDemand(m.Instance, m.Incarnation, decodeDemands(m.Demands))
	}
	r.noteRelay(m)
	if m.NewestConfig > 0 {
		r.node.followConfig.ObservePeerVersion(time.Now(), object.Version(m.NewestConfig))
	}
	if m.NewestUpstream > 0 {
		r.node.followUpstreams.ObservePeerVersion(time.Now(), object.Version(m.NewestUpstream))
	}
	for _, w := range m.Wants {
		r.node.steward.MarkWanted(rebalance.DemandKey{Service: w.Service, Model: w.Model, Adapter: w.Adapter})
	}
	for _, c := range m.Relays {
		r.node.followUpstreams.ReceiveChanges(decodeChanges(c))
	}
	for _, b := range m.Breaks {
		r.node.gateway.RecordCrash(b.Fingerprint, fleet.UpstreamID(b.Upstream))
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

// tallyUnit is the weight of an outcome in a report, of which reports tell whole ones.
const tallyUnit = 0.0625

func encodeLoads(own map[fleet.UpstreamID]loads.Load, outcomes map[fleet.UpstreamID]loads.OutcomeCounts) []*pb.FleetLoad {
	list := make([]*pb.FleetLoad, 0, len(outcomes))
	for id, t := range outcomes {
		if _, ok := own[id]; !ok {
			list = append(list, &pb.FleetLoad{Upstream: string(id), Answered: tallyUnits(t.Answered), Failed: tallyUnits(t.Failed)})
		}
	}
	for id, l := range own {
		load := &pb.FleetLoad{
			Upstream: string(id), Running: uint32(max(l.Running, 0)),
			Answered: tallyUnits(outcomes[id].Answered), Failed: tallyUnits(outcomes[id].Failed),
		}
		for _, reading := range l.PendingPrefill {
			load.UnreadMicros = append(load.UnreadMicros, uint32(max(reading, 0)/time.Microsecond))
		}
		list = append(list, load)
	}
	return list
}

func decodeLoads(list []*pb.FleetLoad) map[fleet.UpstreamID]loads.Load {
	decoded := make(map[fleet.UpstreamID]loads.Load, len(list))
	for _, l := range list {
		load := loads.Load{Running: int(l.Running)}
		for i := 0; i < min(len(l.UnreadMicros), loads.PriorityRanks); i++ {
			load.PendingPrefill[i] = time.Duration(l.UnreadMicros[i]) * time.Microsecond
		}
		if !load.IsZero() {
			decoded[fleet.UpstreamID(l.Upstream)] = load
		}
	}
	return decoded
}

func tallyUnits(weight float64) uint32 { return uint32(weight/tallyUnit + 0.5) }

func decodeOutcomes(list []*pb.FleetLoad) map[fleet.UpstreamID]loads.OutcomeCounts {
	decoded := make(map[fleet.UpstreamID]loads.OutcomeCounts, len(list))
	for _, l := range list {
		if l.Answered > 0 || l.Failed > 0 {
			decoded[fleet.UpstreamID(l.Upstream)] = loads.OutcomeCounts{Answered: tallyUnit * float64(l.Answered), Failed: tallyUnit * float64(l.Failed)}
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

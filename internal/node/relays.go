package node

import (
	"context"
	"encoding/json"
	"maps"
	"math/rand/v2"
	"net/netip"
	"sync/atomic"
	"time"

	pb "savoryweir/api/savoryweir/v1"
	"savoryweir/internal/node/mesh"
	"savoryweir/internal/node/storewatch"
	"savoryweir/internal/pause"
	"savoryweir/internal/protocol/relaycodec"
	"savoryweir/internal/state/object"
	"savoryweir/platform"
)

// To keep the number of calls to the store independent of the fleet size, only a few
// instances watch the store and relay the changes they see to the others. Each instance
// decides on its own whether it watches: it does if fewer than watcherCount of the
// watching instances precede it in the order of their names.
const (
	// watcherCount is the number of instances that watch the store. One of them relays
	// changes and two are on standby, because half of a fleet may fail at once.
	watcherCount = 3
	// minWatcherTimeout is the shortest time without reports after which an instance no longer
	// counts as watching: two report intervals without changes, and one lost report.
	minWatcherTimeout = 1200 * time.Millisecond
	// maxWatcherTimeout is the same time at the slowest pace of reports.
	maxWatcherTimeout = 5 * maxReportInterval / 2
	// assumedWatcherPeriod is the time after the start in which other instances are assumed
	// to watch the store.
	assumedWatcherPeriod = 5 * time.Second
	// maxRelayBytes limits the changes relayed in one datagram. Larger changes are not relayed;
	// the other instances get them from the store.
	maxRelayBytes = 32 << 10
)

// watchesStore reports whether this instance watches the store itself.
func (r *reporter) watchesStore(now time.Time) bool {
	rank, _ := r.watcherRank(now)
	return rank < watcherCount
}

// watcherRank returns the rank of this instance, counted from zero, among the instances that
// watch the store, and the number of instances whose watches take turns. Just after the start,
// any instance that is listed, and later any that was heard, may turn out to watch. Without
// that assumption all instances of a fleet that starts would watch until they have heard each
// other.
func (r *reporter) watcherRank(now time.Time) (rank, watchers int) {
	_, otherZonePeers := r.node.mesh.PeerCountByZone()
	timeout := max(minWatcherTimeout, min(5*crossZoneIntervalPerPeer*time.Duration(otherZonePeers)/2, maxWatcherTimeout))
	r.mu.Lock()
	seenAt := maps.Clone(r.watchersSeenAt)
	r.mu.Unlock()
	if age := now.Sub(r.node.startedAt); age < assumedWatcherPeriod {
		peers := r.node.mesh.Peers()
		if len(peers) == 0 && age < startupListInterval {
			return watcherCount, watcherCount
		}
		for _, p := range peers {
			if age < assumedWatcherPeriod/2 || !p.HeardAt.IsZero() {
				seenAt[p.Instance] = now
			}
		}
	}
	own := r.node.settings.Instance.ID
	for instance, at := range seenAt {
		if now.Sub(at) < timeout && instance < own {
			rank++
		}
	}
	return rank, watcherCount
}

// recentWatchers returns the other instances that have reported recently that they watch the store and get responses.
func (r *reporter) recentWatchers(now time.Time) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var watchers []string
	for instance, at := range r.watchersSeenAt {
		if now.Sub(at) < minWatcherTimeout {
			watchers = append(watchers, instance)
		}
	}
	return watchers
}

// isHealthyWatcher reports whether this instance watches the store and the store responds.
func (r *reporter) isHealthyWatcher(now time.Time) bool {
	return r.watchesStore(now) && r.node.upstreamInformer.Healthy() && r.node.configInformer.Healthy()
}

// recordWatcher updates the time of the last report of an instance that watches the store.
func (r *reporter) recordWatcher(m *pb.FleetMessage) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case m.Relaying:
		r.watchersSeenAt[m.Instance] = time.Now()
	case m.NewestUpstream > 0: // a load report of an instance that does not watch
		delete(r.watchersSeenAt, m.Instance)
	}
}

// relayChanges sends changes that this instance has seen in the store to the other
// instances. Only the watcher of rank zero does so.
func (r *reporter) relayChanges(c storewatch.Changes) {
	if rank, _ := r.watcherRank(time.Now()); rank > 0 {
		return // standby: this instance takes over when the watcher before it stops reporting
	}
	message := &pb.RelayedChanges{Kind: string(platform.KindUpstreams), After: uint64(c.After), Next: uint64(c.Next)}
	size := 0
	for _, e := range c.Events {
		size += len(e.Object.Data)
		message.Objects = append(message.Objects, &pb.RelayedObject{
			Name: string(e.Object.Name), Version: uint64(e.Object.Version), Data: e.Object.Data, Deleted: e.Deleted,
		})
	}
	if r.aggregatesLoads() {
		r.relayPacked(message)
		return
	}
	if size <= maxRelayBytes {
		r.node.mesh.Broadcast(&pb.FleetMessage{Relays: []*pb.RelayedChanges{message}})
	}
}

// relayPacked sends changes to the aggregators of this availability zone, which forward them
// to the zone and to the aggregators of the other zones. The link of one instance could not
// carry them to each instance of a large fleet.
func (r *reporter) relayPacked(changes *pb.RelayedChanges) {
	packed, err := relaycodec.Pack(changes)
	if err != nil || len(packed) > maxRelayBytes {
		r.node.log.Info().Err(err).Str("event", "store.relay_skipped").Int("objects", len(changes.Objects)).Int("bytes", len(packed)).Msg("changes are too large to be relayed; other instances request them from the store")
		return
	}
	r.aggregator.relay(packed)
}

// receivePacked applies relayed changes and forwards them as far as their scope says.
func (r *reporter) receivePacked(c *pb.PackedChanges) {
	r.aggregator.forward(c.Packed, c.Scope)
	changes, err := relaycodec.Unpack(c.Packed)
	if err != nil {
		r.node.log.Warn().Err(err).Str("event", "mesh.foreign").Msg("discarded relayed changes that can't be unpacked")
		return
	}
	r.node.upstreamInformer.ReceiveChanges(decodeChanges(changes))
}

// decodeChanges returns the changes in a relayed message.
func decodeChanges(m *pb.RelayedChanges) storewatch.Changes {
	c := storewatch.Changes{After: object.Version(m.After), Next: object.Version(m.Next)}
	for _, o := range m.Objects {
		c.Events = append(c.Events, object.Event{Deleted: o.Deleted, Object: object.Object{
			Kind: object.Kind(m.Kind), Name: object.Name(o.Name), Version: object.Version(o.Version), Data: o.Data,
		}})
	}
	return c
}

const (
	// startupListInterval is the mean delay before an instance that has just started, or knows
	// no others, lists the instances again. By then, all instances that started at the same
	// time have written their entries.
	startupListInterval = 1500 * time.Millisecond
	// relistInterval is the mean time between two lists of the instances in a small fleet. It
	// grows with the fleet. New instances become known without a list, by their reports.
	relistInterval = 20 * time.Second
	// listSpread spreads the lists of instances that started together over some time.
	listSpread = 500 * time.Millisecond
	// peerSilenceTimeout is the time without datagrams after which an instance that is not
	// listed is removed.
	peerSilenceTimeout = 5 * time.Second
)

// listInstances keeps the mesh up to date with the instances that are listed in the store.
// An instance that starts lists the others, and they learn of it by its reports.
func (n *Node) listInstances(ctx context.Context) {
	for wait := time.Duration(0); pause.For(ctx, wait); {
		if err := n.listInstancesOnce(ctx); err != nil {
			n.log.Info().Err(err).Str("event", "instances.unread").Msg("failed to list the instances; the store call will be retried")
			wait = n.storeRetryDelay()
			continue
		}
		if wait = startupListInterval; n.mesh.PeerCount() > 0 && time.Since(n.startedAt) > startupListInterval {
			wait = relistInterval + time.Duration(n.mesh.PeerCount())*relistInterval/10
		}
		wait = wait/2 + rand.N(wait)
		if incompleteFor := n.store.IncompleteFor(); incompleteFor > 0 && !n.knowsPeers() {
			wait = min(wait, incompleteFor+rand.N(listSpread))
		}
	}
}

// peerLists records whether the other instances have been listed since the start.
type peerLists struct {
	isComplete atomic.Bool
	calledAt   atomic.Int64 // time of the latest call, in nanoseconds of the boot-time clock; zero if there was none
}

// knowsPeers reports whether all other instances have been listed since the start. A list doesn't count while the store may lack
// entries after its return from an older copy.
func (n *Node) knowsPeers() bool {
	lists := &n.peerLists
	if lists.isComplete.Load() {
		return true
	}
	calledAt := lists.calledAt.Load()
	if calledAt == 0 || time.Duration(calledAt) < n.store.CompleteFrom() {
		return false
	}
	lists.isComplete.Store(true)
	return true
}

// listInstancesOnce lists the instances, and adds them to the mesh. It removes silent instances
// that are not listed.
func (n *Node) listInstancesOnce(ctx context.Context) error {
	list, calledAt := n.store.ListStaleAt, n.bootTime()
	if n.store.Era() > 0 && !n.knowsPeers() {
		list = n.store.ListAt // a stale list may be of the copy
	}
	objects, _, err := list(ctx, object.KindInstances)
	if err != nil {
		return err
	}
	peers := make(map[string]mesh.Listed)
	for _, o := range objects {
		var instance object.Instance
		decodeErr := json.Unmarshal(o.Data, &instance)
		address, addressErr := netip.ParseAddrPort(instance.Address)
		if decodeErr != nil || addressErr != nil {
			n.log.Warn().Str("event", "instance.unread").Str("name", string(o.Name)).Msg("store entry does not describe an instance; ignoring it")
			continue
		}
		peers[instance.ID] = mesh.Listed{Address: address, Zone: instance.Zone, LinkMbps: instance.LinkMbps}
	}
	n.mesh.AddPeers(peers)
	n.peerLists.calledAt.Store(int64(calledAt))
	n.mesh.RemoveSilentPeers(time.Now().Add(-peerSilenceTimeout), peers)
	n.log.Info().Str("event", "instances.known").Int("listed", len(peers)).Int("others", n.mesh.PeerCount()).Msg("instances listed")
	return nil
}

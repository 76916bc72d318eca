package node

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/netip"
	"time"

	pb "savoryweir/api/savoryweir/v1"
	"savoryweir/internal/node/storewatch"
	"savoryweir/internal/pause"
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
// watch the store, and the number of instances whose watches take turns.
func (r *reporter) watcherRank(now time.Time) (rank, watchers int) {
	_, otherZonePeers := r.node.mesh.PeerCountByZone()
	timeout := max(minWatcherTimeout, 5*crossZoneIntervalPerPeer*time.Duration(otherZonePeers)/2)
	r.mu.Lock()
	defer r.mu.Unlock()
	own := r.node.settings.Instance.ID
	for instance, seenAt := range r.watchersSeenAt {
		if now.Sub(seenAt) < timeout && instance < own {
			rank++
		}
	}
	return rank, watcherCount
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
	if size <= maxRelayBytes {
		r.node.mesh.Broadcast(&pb.FleetMessage{Relays: []*pb.RelayedChanges{message}})
	}
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
	}
}

// listInstancesOnce lists the instances, and adds them to the mesh. It removes silent instances
// that are not listed.
func (n *Node) listInstancesOnce(ctx context.Context) error {
	objects, _, err := n.store.ListAt(ctx, object.KindInstances)
	if err != nil {
		return err
	}
	peers := make(map[string]netip.AddrPort)
	for _, o := range objects {
		var instance object.Instance
		decodeErr := json.Unmarshal(o.Data, &instance)
		address, addressErr := netip.ParseAddrPort(instance.Address)
		if decodeErr != nil || addressErr != nil {
			n.log.Warn().Str("event", "instance.unread").Str("name", string(o.Name)).Msg("store entry does not describe an instance; ignoring it")
			continue
		}
		peers[instance.ID] = address
	}
	n.mesh.AddPeers(peers)
	n.mesh.RemoveSilentPeers(time.Now().Add(-peerSilenceTimeout), peers)
	n.log.Info().Str("event", "instances.known").Int("listed", len(peers)).Int("others", n.mesh.PeerCount()).Msg("instances listed")
	return nil
}

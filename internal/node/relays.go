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

// A few instances follow the store and tell the others what they see, so that the
// calls to the store do not grow with the fleet. Each instance decides by itself:
// it follows the store if fewer than watchers instances before it by name do.
const (
	// watchers is the number of instances that follow the store: one tells, two
	// stand by, as half of a fleet may be lost at once.
	watchers = 3
	// relaySilence is the least silence after which an instance no longer counts as
	// one that follows the store: two reports without news, and a lost one.
	relaySilence = 1200 * time.Millisecond
	// maxRelayBytes bounds the changes told in one datagram; what is larger the
	// others ask the store for.
	maxRelayBytes = 32 << 10
)

// watches reports whether this instance follows the store itself.
func (r *reporter) watches(now time.Time) bool {
	rank, _ := r.watcherRank(now)
	return rank < watchers
}

// watcherRank returns the place of this instance among those that follow the store,
// and how many instances begin watches by turns.
func (r *reporter) watcherRank(now time.Time) (rank, of int) {
	_, far := r.node.mesh.PeerCountByZone()
	silence := max(relaySilence, 5*farPerPeer*time.Duration(far)/2)
	r.mu.Lock()
	defer r.mu.Unlock()
	own := r.node.settings.Instance.ID
	for instance, at := range r.relays {
		if now.Sub(at) < silence && instance < own {
			rank++
		}
	}
	return rank, watchers
}

// isRelay reports whether this instance tells the others what it sees: it follows
// the store, and the store answers.
func (r *reporter) isRelay(now time.Time) bool {
	return r.watches(now) && r.node.followUpstreams.Healthy() && r.node.followConfig.Healthy()
}

func (r *reporter) noteRelay(m *pb.FleetMessage) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case m.Relaying:
		r.relays[m.Instance] = time.Now()
	case m.NewestUpstream > 0: // a report of one that does not
		delete(r.relays, m.Instance)
	}
}

// relay tells the other instances changes that this one has seen in the store.
func (r *reporter) relay(c storewatch.Changes) {
	if rank, _ := r.watcherRank(time.Now()); rank > 0 {
		return // the one before tells it, this one takes over if it falls silent
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
	// settleTime is how long after its start an instance lists the others: all
	// instances that start together have written their entries by then.
	settleTime = 1500 * time.Millisecond
	// relistInterval is the time between two lists of the instances in a small
	// fleet; new ones are heard of at once. It grows with the fleet.
	relistInterval = 20 * time.Second
	// forgetAfter is the silence after which an instance that is not listed is dropped.
	forgetAfter = 5 * time.Second
)

// listInstances tells the mesh which other instances there are. An instance that
// starts lists the others; these learn of it by its reports.
func (n *Node) listInstances(ctx context.Context) {
	for wait := time.Duration(0); pause.For(ctx, wait); {
		if err := n.listInstancesOnce(ctx); err != nil {
			n.log.Info().Err(err).Str("event", "instances.unread").Msg("instances were not listed")
			wait = n.storeRetry()
			continue
		}
		if wait = settleTime; n.mesh.PeerCount() > 0 && time.Since(n.started) > settleTime {
			wait = relistInterval + time.Duration(n.mesh.PeerCount())*relistInterval/10
		}
		wait = wait/2 + rand.N(wait)
	}
}

func (n *Node) listInstancesOnce(ctx context.Context) error {
	objects, _, err := n.store.ListAt(ctx, object.KindInstances)
	if err != nil {
		return err
	}
	peers := make(map[string]netip.AddrPort)
	for _, o := range objects {
		var i object.Instance
		errRead := json.Unmarshal(o.Data, &i)
		address, errAddress := netip.ParseAddrPort(i.Address)
		if errRead != nil || errAddress != nil {
			n.log.Warn().Str("event", "instance.unread").Str("name", string(o.Name)).Msg("entry names no instance")
			continue
		}
		peers[i.ID] = address
	}
	n.mesh.AddPeers(peers)
	n.mesh.RemoveSilentPeers(time.Now().Add(-forgetAfter), peers)
	n.log.Info().Str("event", "instances.known").Int("listed", len(peers)).Int("others", n.mesh.PeerCount()).Msg("instances listed")
	return nil
}

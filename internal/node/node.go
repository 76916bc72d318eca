// Package node runs all duties of an instance on the users' platform in one
// process: it serves callers, follows the store, exchanges datagrams with the other
// instances and, while it holds the lease, gives orders to engines. Each duty has a
// goroutine of its own; one that fails is restarted and takes no other along.
package node

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/rs/zerolog"

	"savoryweir/internal/coordination/retry"
	"savoryweir/internal/errs"
	"savoryweir/internal/logging"
	"savoryweir/internal/node/gateway"
	"savoryweir/internal/node/mesh"
	"savoryweir/internal/node/reconciler"
	"savoryweir/internal/node/registry"
	"savoryweir/internal/node/storewatch"
	"savoryweir/internal/node/telemetry"
	"savoryweir/internal/pause"
	"savoryweir/internal/state/fleet"
	"savoryweir/internal/state/object"
	"savoryweir/internal/transport/boottime"
	"savoryweir/internal/transport/storeclient"
	"savoryweir/internal/transport/upstreamconn"
	"savoryweir/platform"
)

// Node is one instance.
type Node struct {
	settings Settings
	bounds   atomic.Pointer[BoundSettings]
	log      zerolog.Logger
	lines    *logging.AsyncWriter
	metrics  *telemetry.Metrics

	store    *storeclient.Client
	registry *registry.Registry
	tracker  *gateway.UpstreamTracker
	pool     *upstreamconn.Pool
	gateway  *gateway.Gateway
	mesh     *mesh.Mesh
	steward  *reconciler.Reconciler
	holder   *reconciler.LeaseManager
	reports  *reporter

	followConfig, followUpstreams *storewatch.Informer

	started  time.Time
	stopping atomic.Bool
}

// New returns a node that is ready to run. lines takes its log.
func New(s Settings, lines *logging.AsyncWriter) (*Node, error) {
	n := &Node{settings: s, lines: lines, started: time.Now(), log: logging.NewAsync(lines, s.Log, "node", s.Instance.ID, s.Instance.Zone)}
	n.bounds.Store(&s.Bounds)
	n.metrics = telemetry.New(lines.Dropped)
	store, err := storeclient.New(s.Store)
	if err != nil {
		return nil, err
	}
	n.store = store
	n.store.Observe(n.observeStore)
	n.registry = registry.New(logging.WithComponent(n.log, "registry"), time.Now)
	n.tracker = gateway.NewUpstreamTracker(time.Now, newRandom())
	n.pool = upstreamconn.NewPool(n.metrics.UpstreamConnections.Inc)
	n.reports = newReporter(n)
	address, err := netip.ParseAddr(s.Instance.Address)
	if err != nil {
		return nil, errs.Wrap(err, "read address", errs.Self)
	}
	port := netip.AddrPortFrom(address, uint16(s.Mesh.Port))
	if n.mesh, err = mesh.Listen(logging.WithComponent(n.log, "mesh"), port, s.Instance.ID, s.Instance.Zone, n.reports); err != nil {
		return nil, err
	}
	n.build()
	return n, nil
}

func newRandom() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }

func (n *Node) build() {
	n.gateway = gateway.New(gateway.Options{
		Zone: n.settings.Instance.Zone, Log: logging.WithComponent(n.log, "gateway"), Metrics: n.metrics,
		Registry: n.registry, Tracker: n.tracker, Pool: n.pool, RetrySettings: n.retryBounds, InstanceCount: n.instances,
		RequestLoad: n.reports.ask, RecordDemand: n.reports.count, BroadcastCrash: n.reports.tellBreak,
	})
	leases := reconciler.LeaseSettings(n.settings.Bounds.TurnGap)
	n.followConfig = n.follow(platform.KindConfig, configPause, configSink{n}, configListGap, nil)
	n.followUpstreams = n.follow(platform.KindUpstreams, upstreamPause, upstreamSink{n}, upstreamListGap, n.reports.relay)
	n.holder = reconciler.NewLeaseManager(n.store, logging.WithComponent(n.log, "lease"), boottime.Now, n.storeRetry, leases, n.settings.Instance.ID, uuid.NewString())
	n.steward = reconciler.New(reconciler.Options{
		Instance: n.settings.Instance.ID, Log: logging.WithComponent(n.log, "steward"), Metrics: n.metrics, Registry: n.registry,
		Pool: n.pool, Leases: n.holder, Config: n.gateway.Config, Announce: n.reports.announce, PrefillTokensPerSecond: n.tracker.PrefillTokensPerSecond, FailureRatio: n.tracker.FailureRate,
		LoadWindow: func() time.Duration { return n.bounds.Load().LoadWindow },
	})
}

func (n *Node) observeStore(step errs.Step, took time.Duration, err error) {
	result := "ok"
	if err != nil {
		result = object.ErrorName(err)
	}
	n.metrics.ObserveStoreCall(string(step), result, took)
}

func (n *Node) retryBounds() retry.WindowSettings {
	b := n.bounds.Load()
	return retry.WindowSettings{Ratio: b.RetryRatio, Slack: b.RetrySlack, Window: b.RetryWindow}
}

// instances returns how many instances share the bounds of the fleet: those that
// are listed, as one that can't be heard may still serve.
func (n *Node) instances() int { return n.mesh.PeerCount() + 1 }

const (
	// pollShare is the part of the time within which a change must be in force that a
	// silent watch may take; the rest is for the other instances to learn of it.
	pollShare = 4
	// maxWatch bounds a watch.
	maxWatch = 25 * time.Second
	// Pauses gather changes in quick succession into one answer of the store.
	configPause   = 100 * time.Millisecond
	upstreamPause = 150 * time.Millisecond
	standbyPause  = 400 * time.Millisecond
	// configListGap is zero: there is one object, which may have hundreds of
	// kilobytes, and only its newest version counts.
	configListGap = 0
	// upstreamListGap is about the number of entries in a large fleet.
	upstreamListGap = 200
	// A store that does not answer is called ten times a second by all instances
	// together, and by each within these bounds.
	retryPerInstance = 100 * time.Millisecond
	retryFloor       = 300 * time.Millisecond
	retryCeiling     = 2 * time.Second
)

// pollEvery returns the time within which some instance begins a new watch of each
// kind, and tells the others what it finds: it bounds how long watches that have all
// gone silent hide a change.
func (n *Node) pollEvery() time.Duration {
	b := n.bounds.Load()
	return min(b.ConfigApply, b.Drain) / pollShare
}

// watchTurn returns the wait of a watch, so that the watches of the instances that
// watch end one after the other, though they begin together after a change: first
// by the rank of this instance, then the time of a whole round.
func (n *Node) watchTurn(newest object.Version, last *object.Version) time.Duration {
	rank, of := n.reports.watcherRank(time.Now())
	if newest != *last {
		*last = newest
		return min(time.Duration(rank+1)*n.pollEvery(), maxWatch)
	}
	return min(time.Duration(of)*n.pollEvery(), maxWatch)
}

// watchPause returns the pause between two watches: longer for an instance that
// only stands by for the one that tells the others.
func (n *Node) watchPause(pause time.Duration) time.Duration {
	if rank, _ := n.reports.watcherRank(time.Now()); rank > 0 {
		return max(pause, standbyPause)
	}
	return pause
}

// storeRetry returns the pause before an instance calls a store again that does
// not answer. Whoever is answered first tells the others.
func (n *Node) storeRetry() time.Duration {
	return min(max(time.Duration(n.instances())*retryPerInstance, retryFloor), retryCeiling)
}

func (n *Node) follow(kind object.Kind, pause time.Duration, sink storewatch.Sink, listGap object.Version, relay func(storewatch.Changes)) *storewatch.Informer {
	var f *storewatch.Informer
	var last object.Version
	s := storewatch.Settings{
		Kind: kind, RetryDelay: n.storeRetry, RelistGap: listGap, RelayChanges: relay, WatchPause: func() time.Duration { return n.watchPause(pause) },
		WatchTimeout: func() time.Duration { return n.watchTurn(f.NewestVersion(), &last) },
		WatchesStore: func() bool { return n.reports.watches(time.Now()) },
	}
	f = storewatch.New(s, n.store, sink, logging.WithComponent(n.log, "store"))
	return f
}

// duties returns what the node does besides serving callers.
func (n *Node) duties() map[string]func(context.Context) {
	return map[string]func(context.Context){
		"config":    n.followConfig.Run,
		"upstreams": n.followUpstreams.Run,
		"instances": n.listInstances,
		"register":  n.register,
		"mesh":      n.mesh.Run,
		"reports":   n.reports.run,
		"lease":     n.holder.Run,
		"steward":   n.steward.Run,
		"tidy":      n.tidy,
		"settings":  n.followSettings,
	}
}

// restartPause is the pause before a duty that has failed starts again.
const restartPause = time.Second

// supervise runs a duty until ctx ends and restarts it if it fails.
func (n *Node) supervise(ctx context.Context, name string, duty func(context.Context)) {
	for ctx.Err() == nil {
		n.runDuty(ctx, name, duty)
		select {
		case <-time.After(restartPause):
		case <-ctx.Done():
		}
	}
}

func (n *Node) runDuty(ctx context.Context, name string, duty func(context.Context)) {
	defer func() {
		if failed := recover(); failed != nil {
			n.log.Error().Str("event", "duty.failed").Str("duty", name).Str("error", fmt.Sprint(failed)).Msg("duty failed, restarting it")
		}
	}()
	duty(ctx)
}

const (
	tidyInterval = 200 * time.Millisecond
	// registerRetry is the pause between tries to write this instance's entry.
	registerRetry = 500 * time.Millisecond
)

func (n *Node) tidy(ctx context.Context) {
	for pause.For(ctx, tidyInterval) {
		n.registry.RemoveExpired()
		n.pool.CloseExpired()
		view := n.registry.View()
		n.tracker.Prune(func(id fleet.UpstreamID) (time.Time, bool) {
			if u := view.Get(id); u != nil {
				return u.StartedAt, true
			}
			return time.Time{}, false
		})
		n.metrics.Upstreams.Set(float64(view.Count()))
		n.metrics.Peers.Set(float64(n.mesh.AlivePeerCount(time.Now())))
	}
}

// register writes this instance's entry, by which the others find it.
func (n *Node) register(ctx context.Context) {
	entry := object.Instance{
		ID: n.settings.Instance.ID, Zone: n.settings.Instance.Zone, Role: object.RoleSavoryweir,
		Address: netip.AddrPortFrom(netip.MustParseAddr(n.settings.Instance.Address), uint16(n.settings.Mesh.Port)).String(),
	}
	data, err := json.Marshal(entry)
	if err != nil {
		n.log.Error().Err(err).Str("event", "register.failed").Msg("entry was not encoded")
		return
	}
	for ctx.Err() == nil {
		if n.isListed(ctx, object.Name(entry.ID), data) {
			<-ctx.Done()
			return
		}
		pause.For(ctx, registerRetry/2+rand.N(registerRetry))
	}
}

// isListed reports whether the entry stands in the store, writing it if need be.
func (n *Node) isListed(ctx context.Context, name object.Name, data []byte) bool {
	_, err := n.store.Create(ctx, object.KindInstances, name, data)
	if errors.Is(err, object.ErrConflict) {
		var found object.Object
		if found, err = n.store.Get(ctx, object.KindInstances, name); err == nil && string(found.Data) != string(data) {
			_, err = n.store.Update(ctx, object.KindInstances, name, data, found.Version)
		}
	}
	if err != nil {
		n.log.Info().Err(err).Str("event", "register.failed").Msg("entry was not written")
	}
	return err == nil
}

func (n *Node) operationsAddress() string {
	return netip.AddrPortFrom(netip.MustParseAddr(n.settings.Instance.Address), uint16(n.settings.Operations.Port)).String()
}

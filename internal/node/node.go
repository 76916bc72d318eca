// Package node runs an instance on the users' platform in a single process: it serves
// callers, tracks the objects in the platform's store, exchanges datagrams with the other
// instances and, while it holds the lease, sends orders to engines. Each background task
// runs in a goroutine of its own; a task that fails is restarted without affecting others.
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
	"savoryweir/internal/node/permits"
	"savoryweir/internal/node/quota"
	"savoryweir/internal/node/reconciler"
	"savoryweir/internal/node/registry"
	"savoryweir/internal/node/storewatch"
	"savoryweir/internal/node/telemetry"
	"savoryweir/internal/node/warmup"
	"savoryweir/internal/pause"
	"savoryweir/internal/state/fleet"
	"savoryweir/internal/state/object"
	"savoryweir/internal/transport/boottime"
	"savoryweir/internal/transport/storeclient"
	"savoryweir/internal/transport/upstreamconn"
	"savoryweir/platform"
)

// Node is an instance.
type Node struct {
	settings  Settings
	bounds    atomic.Pointer[BoundSettings]
	log       zerolog.Logger
	logWriter *logging.AsyncWriter
	metrics   *telemetry.Metrics

	store          *storeclient.Client
	registry       *registry.Registry
	tracker        *gateway.UpstreamTracker
	pool           *upstreamconn.Pool
	gateway        *gateway.Gateway
	mesh           *mesh.Mesh
	reconciler     *reconciler.Reconciler
	leaseManager   *reconciler.LeaseManager
	reporter       *reporter
	streams        *streamOrigins
	streamRecorder *streamRecorder
	versionCheck   *versionCheck
	upstreamView   *upstreamView
	permits        *permits.Permits
	freshness      *configFreshness
	quotas         *quota.Quotas
	peerLists      peerLists
	warmup         *warmup.Warmup // nil if it is not enabled

	configInformer, upstreamInformer *storewatch.Informer

	startedAt time.Time
	stopping  atomic.Bool
}

// New returns a node for the given settings; Run starts it. The node writes its log to
// logWriter.
func New(s Settings, logWriter *logging.AsyncWriter) (*Node, error) {
	n := &Node{settings: s, logWriter: logWriter, startedAt: time.Now(), log: logging.NewAsync(logWriter, s.Log, "node", s.Instance.ID, s.Instance.Zone)}
	n.bounds.Store(&s.Bounds)
	n.metrics = telemetry.New(logWriter.Dropped)
	store, err := storeclient.New(s.Store)
	if err != nil {
		return nil, err
	}
	n.store = store
	n.store.SetClock(n.bootTime)
	n.store.Observe(n.recordStoreCall)
	n.store.OnUnreadable(n.logUnreadable)
	n.registry = registry.New(logging.WithComponent(n.log, "registry"), time.Now)
	n.tracker = gateway.NewUpstreamTracker(time.Now, newRandom())
	n.pool = upstreamconn.NewPool(n.metrics.UpstreamConnections.Inc)
	n.reporter = newReporter(n)
	n.freshness = newConfigFreshness(n)
	n.streams = newStreamOrigins(n)
	n.streamRecorder = newStreamRecorder(n)
	n.versionCheck = &versionCheck{node: n}
	n.upstreamView = &upstreamView{node: n}
	address, err := netip.ParseAddr(s.Instance.Address)
	if err != nil {
		return nil, errs.Wrap(err, "read address", errs.Self)
	}
	port := netip.AddrPortFrom(address, uint16(s.Mesh.Port))
	if n.mesh, err = mesh.Listen(logging.WithComponent(n.log, "mesh"), port, s.Instance.ID, s.Instance.Zone, s.Mesh.LinkMbps, n.reporter); err != nil {
		return nil, err
	}
	n.permits = permits.New(permits.Options{
		Instance: s.Instance.ID, Log: logging.WithComponent(n.log, "permits"), Others: n.mesh.PeerIDs, Send: n.mesh.Send, Broadcast: n.mesh.Broadcast,
	})
	n.quotas = n.newQuotas()
	n.buildComponents()
	n.buildWarmup()
	return n, nil
}

func newRandom() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }

// buildComponents creates the components that need each other or the settings of the node.
func (n *Node) buildComponents() {
	n.gateway = gateway.New(gateway.Options{
		Zone: n.settings.Instance.Zone, Log: logging.WithComponent(n.log, "gateway"), Metrics: n.metrics,
		Registry: n.registry, Tracker: n.tracker, Pool: n.pool, RetrySettings: n.retrySettings, InstanceCount: n.instanceCount,
		RequestLoad: n.reporter.requestLoad, RecordDemand: n.reporter.recordDemand, BroadcastBroken: n.reporter.broadcastBroken, BroadcastRelease: n.reporter.broadcastRelease,
		BroadcastLeaving: n.reporter.broadcastLeaving, BroadcastPause: n.reporter.broadcastPause, Permits: n.permits, Quotas: n.quotas, FairShares: n.settings.Fairness.Shares, PeerPool: upstreamconn.NewPool(func() {}), Peers: n.reporter.forwardTargets, ReportSilentPeer: n.reporter.recordSilentPeer, Streams: n.streams, BootTime: n.bootTime, Freshness: n.freshness,
		MaxBodyMemory: func() int64 { return int64(bodyMemoryRatio * float64(n.bounds.Load().MemoryMB) * (1 << 20)) },
	})
	leases := reconciler.LeaseSettings(n.settings.Bounds.TurnGap)
	n.configInformer = n.newInformer(platform.KindConfig, configWatchPause, configSink{n}, configRelistGap, nil)
	n.upstreamInformer = n.newInformer(platform.KindUpstreams, upstreamWatchPause, upstreamSink{n}, upstreamRelistGap, n.reporter.relayChanges)
	n.leaseManager = reconciler.NewLeaseManager(n.store, logging.WithComponent(n.log, "lease"), boottime.Now, n.storeRetryDelay, n.leaseContentionDelay, rand.N[time.Duration], leases, n.settings.Instance.ID, uuid.NewString())
	n.leaseManager.MayHold = n.mayHoldLease
	n.reconciler = reconciler.New(reconciler.Options{
		Instance: n.settings.Instance.ID, Log: logging.WithComponent(n.log, "steward"), Metrics: n.metrics, Registry: n.registry,
		Pool: n.pool, Leases: n.leaseManager, Config: n.gateway.Config, Announce: n.reporter.announceResidency, PrefillTokensPerSecond: n.tracker.PrefillTokensPerSecond, FailureRatio: n.tracker.FailureRate,
		Slowness: n.tracker.Slowness,
		IsPaused: n.gateway.IsPaused, IsLimited: n.permits.IsLimited, ObserveResponse: n.gateway.ObserveResponse,
		LoadWindow: func() time.Duration { return n.bounds.Load().LoadWindow },
	})
}

// bodyMemoryRatio is the fraction of the memory limit that the request bodies of all callers may take up. The buffers that a
// body has outgrown, until they are collected, need about as much again.
const bodyMemoryRatio = 0.2

// bootTime returns the time of a clock that includes suspended time. If the clock can't be
// read, it returns the time since the process started.
func (n *Node) bootTime() time.Duration {
	now, err := boottime.Now()
	if err != nil {
		n.log.Error().Err(err).Str("event", "clock.failed").Msg("failed to read the boot-time clock; suspended time is not counted")
		return time.Since(n.startedAt)
	}
	return now
}

// recordStoreCall records the duration and the result of a call to the store.
func (n *Node) recordStoreCall(step errs.Step, duration time.Duration, err error) {
	result := "ok"
	if err != nil {
		result = object.ErrorName(err)
	}
	n.metrics.ObserveStoreCall(string(step), result, duration)
}

// logUnreadable logs that the store returned objects that can't be decoded.
func (n *Node) logUnreadable(kind object.Kind, count int) {
	n.log.Warn().Str("event", "store.unread").Str("kind", string(kind)).Int("objects", count).Msg("store returned objects without readable metadata; they are not used")
}

func (n *Node) retrySettings() retry.WindowSettings {
	b := n.bounds.Load()
	return retry.WindowSettings{Ratio: b.RetryRatio, Slack: b.RetrySlack, Window: b.RetryWindow}
}

// instanceCount returns the number of instances that share the limits of the fleet. It counts
// all known instances, because an instance that can't be heard may still serve requests.
func (n *Node) instanceCount() int { return n.mesh.PeerCount() + 1 }

const (
	// pollsPerDeadline is the divisor that gives the poll interval from the time within which
	// a change must be in force. Unresponsive watches may take up that part of the time; the
	// rest is for the other instances to learn of the change.
	pollsPerDeadline = 4
	// maxWatchTimeout limits the duration of a watch.
	maxWatchTimeout = 25 * time.Second
	// The pauses between watches let one response of the store carry several changes in quick
	// succession.
	configWatchPause   = 100 * time.Millisecond
	upstreamWatchPause = 150 * time.Millisecond
	standbyWatchPause  = 400 * time.Millisecond
	// configRelistGap is zero because there is a single configuration object, of which only
	// the newest version matters and which may be hundreds of kilobytes in size.
	configRelistGap = 0
	// upstreamRelistGap is about the number of upstreams in a large fleet.
	upstreamRelistGap = 200
	// All instances together call an unresponsive store ten times per second, and each
	// instance waits between the minimum and the maximum delay.
	storeRetryDelayPerInstance = 100 * time.Millisecond
	minStoreRetryDelay         = 300 * time.Millisecond
	maxStoreRetryDelay         = 2 * time.Second
	// All instances together try to acquire a free lease once in 5 ms on average, and each
	// instance waits up to a random delay between the minimum and the maximum.
	leaseContentionDelayPerInstance = 5 * time.Millisecond
	minLeaseContentionDelay         = 50 * time.Millisecond
	maxLeaseContentionDelay         = time.Second
	// storeRewriteDelayPerInstance spreads the writes with which all instances restore their
	// entries after the store came back from an older copy: a hundred per second. In a fleet of hundreds they
	// are made within maxStoreRewriteDelay, since lists count as complete after restore.RewriteTime.
	storeRewriteDelayPerInstance = 10 * time.Millisecond
	maxStoreRewriteDelay         = time.Second
)

// storeRewriteDelay returns the time over which a number of instances spread these writes.
func storeRewriteDelay(instances int) time.Duration {
	return min(time.Duration(instances)*storeRewriteDelayPerInstance, maxStoreRewriteDelay)
}

// pollInterval returns the time within which some instance starts a new watch of each kind
// and relays the changes that it finds. It limits how long a change stays unnoticed if none
// of the running watches gets a response any more.
func (n *Node) pollInterval() time.Duration {
	b := n.bounds.Load()
	return min(b.ConfigApply, b.Drain) / pollsPerDeadline
}

// watchTimeout returns the timeout of the next watch. The instances that watch the store
// start new watches at the same time after a change, but their watches must end one after
// another. The first watch after a change therefore lasts as many poll intervals as the rank
// of this instance, counted from one, and the following watches one poll interval for each
// watching instance.
func (n *Node) watchTimeout(newest object.Version, lastVersion *object.Version) time.Duration {
	rank, watchers := n.reporter.watcherRank(time.Now())
	if newest != *lastVersion {
		*lastVersion = newest
		return min(time.Duration(rank+1)*n.pollInterval(), maxWatchTimeout)
	}
	return min(time.Duration(watchers)*n.pollInterval(), maxWatchTimeout)
}

// watchPause returns the pause between two watches. It is longer for an instance that is only
// on standby for the instance that relays the changes.
func (n *Node) watchPause(pause time.Duration) time.Duration {
	if rank, _ := n.reporter.watcherRank(time.Now()); rank > 0 {
		return max(pause, standbyWatchPause)
	}
	return pause
}

// storeRetryDelay returns the delay before this instance calls an unresponsive store again.
// The first instance that gets a response informs the others.
func (n *Node) storeRetryDelay() time.Duration {
	return min(max(time.Duration(n.instanceCount())*storeRetryDelayPerInstance, minStoreRetryDelay), maxStoreRetryDelay)
}

// leaseContentionDelay returns the longest random delay before this instance tries to acquire
// the lease. The beacon of the first one to do so reaches the others meanwhile.
func (n *Node) leaseContentionDelay() time.Duration {
	return min(max(time.Duration(n.instanceCount())*leaseContentionDelayPerInstance, minLeaseContentionDelay), maxLeaseContentionDelay)
}

// newInformer returns an informer that tracks the objects of one kind in the store.
func (n *Node) newInformer(kind object.Kind, pause time.Duration, sink storewatch.Sink, relistGap uint64, relay func(storewatch.Changes)) *storewatch.Informer {
	var informer *storewatch.Informer
	var lastVersion object.Version
	s := storewatch.Settings{
		Kind: kind, RetryDelay: n.storeRetryDelay, RelistGap: relistGap, RelayChanges: relay, WatchPause: func() time.Duration { return n.watchPause(pause) },
		WatchTimeout: func() time.Duration { return n.watchTimeout(informer.NewestVersion(), &lastVersion) },
		WatchesStore: func() bool { return n.reporter.watchesStore(time.Now()) },
	}
	switch kind {
	case platform.KindConfig:
		n.freshness.attach(&s)
	case platform.KindUpstreams:
		s.BeginProof = n.upstreamView.beginProof
	}
	informer = storewatch.New(s, n.store, sink, logging.WithComponent(n.log, "store"))
	return informer
}

// backgroundTasks returns the tasks of the node by the names under which they are logged. The
// server for callers is not among them.
func (n *Node) backgroundTasks() map[string]func(context.Context) {
	return map[string]func(context.Context){
		"config":    n.configInformer.Run,
		"upstreams": n.upstreamInformer.Run,
		"instances": n.listInstances,
		"register":  n.registerInstance,
		"versions":  n.keepVersionRecord,
		"streams":   n.streamRecorder.run,
		"mesh":      n.mesh.Run,
		"reports":   n.reporter.run,
		"reach":     n.gateway.ProbeUpstreams,
		"quotas":    n.quotas.Run,
		"lease":     n.leaseManager.Run,
		"steward":   n.reconciler.Run,
		"tidy":      n.removeStaleState,
		"settings":  n.watchSettingsFile,
	}
}

// taskRestartDelay is the delay before a task that has ended or panicked is restarted.
const taskRestartDelay = time.Second

// supervise runs a task until ctx ends, and restarts it whenever it ends or panics before.
func (n *Node) supervise(ctx context.Context, name string, task func(context.Context)) {
	for ctx.Err() == nil {
		n.runTask(ctx, name, task)
		select {
		case <-time.After(taskRestartDelay):
		case <-ctx.Done():
		}
	}
}

// runTask runs a task and logs a panic instead of passing it on.
func (n *Node) runTask(ctx context.Context, name string, task func(context.Context)) {
	defer func() {
		if panicValue := recover(); panicValue != nil {
			n.log.Error().Str("event", "duty.failed").Str("duty", name).Str("error", fmt.Sprint(panicValue)).Msg("background task panicked; restarting it")
		}
	}()
	task(ctx)
}

const (
	cleanupInterval = 200 * time.Millisecond
	// registerRetryDelay is the mean delay between attempts to write the store entry of this
	// instance.
	registerRetryDelay = 500 * time.Millisecond
)

// removeStaleState periodically removes expired entries of the registry, expired connections
// and the state of upstreams that are no longer registered. It also updates the metrics of
// known upstreams and live instances.
func (n *Node) removeStaleState(ctx context.Context) {
	for pause.For(ctx, cleanupInterval) {
		n.registry.RemoveExpired()
		n.pool.CloseExpired()
		view := n.registry.View()
		n.tracker.Prune(func(id fleet.UpstreamID) (time.Time, bool) {
			if u := view.Get(id); u != nil {
				return u.StartedAt, true
			}
			return time.Time{}, false
		})
		n.permits.Retain(view.Get)
		n.updateWarmup(view)
		n.metrics.Upstreams.Set(float64(view.Count()))
		n.metrics.Peers.Set(float64(n.mesh.AlivePeerCount(time.Now(), n.reporter.peerTimeout())))
	}
}

// registerInstance writes the store entry of this instance, by which the other instances find it.
func (n *Node) registerInstance(ctx context.Context) {
	entry := object.Instance{
		ID: n.settings.Instance.ID, Zone: n.settings.Instance.Zone, Role: object.RoleSavoryweir,
		Address:  netip.AddrPortFrom(netip.MustParseAddr(n.settings.Instance.Address), uint16(n.settings.Mesh.Port)).String(),
		LinkMbps: n.settings.Mesh.LinkMbps,
	}
	data, err := json.Marshal(entry)
	if err != nil {
		n.log.Error().Err(err).Str("event", "register.failed").Msg("failed to encode the store entry of this instance")
		return
	}
	for ctx.Err() == nil {
		version, err := n.ensureEntry(ctx, object.Name(entry.ID), data)
		if err != nil {
			n.log.Info().Err(err).Str("event", "register.failed").Msg("failed to write the store entry of this instance; it will be retried")
			pause.For(ctx, registerRetryDelay/2+rand.N(registerRetryDelay))
			continue
		}
		if n.store.AwaitEraAfter(ctx, version.Era()) { // the store may have lost the entry
			n.log.Info().Str("event", "register.again").Uint64("era", uint64(n.store.Era())).Msg("the store came back from an older copy; writing the entry of this instance again")
			pause.For(ctx, rand.N(storeRewriteDelay(n.instanceCount())))
		}
	}
}

// ensureEntry creates the store entry of this instance, or updates an entry with other
// content. It returns the version of the entry.
func (n *Node) ensureEntry(ctx context.Context, name object.Name, data []byte) (object.Version, error) {
	version, err := n.store.Create(ctx, object.KindInstances, name, data)
	if !errors.Is(err, object.ErrConflict) {
		return version, err
	}
	found, err := n.store.Get(ctx, object.KindInstances, name)
	if err != nil || string(found.Data) == string(data) {
		return found.Version, err
	}
	return n.store.Update(ctx, object.KindInstances, name, data, found.Version)
}

func (n *Node) operationsAddress() string {
	return netip.AddrPortFrom(netip.MustParseAddr(n.settings.Instance.Address), uint16(n.settings.Operations.Port)).String()
}

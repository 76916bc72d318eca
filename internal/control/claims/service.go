package claims

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	pb "savoryweir/api/savoryweir/v1"
	"savoryweir/internal/coordination/claims"
	"savoryweir/internal/pause"
	"savoryweir/internal/protocol/ordermsg"
	"savoryweir/internal/queue"
	"savoryweir/internal/state/hlc"
	"savoryweir/internal/state/journal"
	"savoryweir/internal/state/timeline"
)

// MemberLister returns the view of live instances, including this one. A returned
// slice is not modified later, and the same slice is returned again only while the
// view is unchanged.
type MemberLister interface {
	Members() []claims.Member
}

// Dialer returns a client of the Orders service at the address of a control
// process. It does not wait for a connection.
type Dialer interface {
	Orders(address string) (pb.OrdersClient, error)
}

// Options contains the settings and dependencies of a Service.
type Options struct {
	Settings   Settings
	Self       claims.Member
	Members    MemberLister
	Dialer     Dialer
	Store      Store
	Recorder   *timeline.Recorder
	Logger     zerolog.Logger
	Registerer prometheus.Registerer // nil for none
	Random     *rand.Rand            // must not be used by others, since it is not safe for concurrent use
}

// Service claims orders for the local entry and commits the claims of its peers as
// the owner of journal shards. It implements the Orders gRPC service. It refuses
// claims and results unless Run is running.
type Service struct {
	pb.UnimplementedOrdersServer
	options          Options
	settings         Settings
	random           *lockedRand
	breaker          *circuitBreaker
	holds            *holdTable
	peers            *peerTable
	links            *linkTable
	owners           ownerCache
	metrics          *metrics
	finishQueue      *queue.Queue[*finishTask]
	obsoleteSegments *queue.Queue[journal.SegmentRef]

	mu      sync.Mutex // guards the rest
	running context.Context
	workers map[journal.ShardID]*shardWorker
	tasks   sync.WaitGroup
}

// obsoleteQueueCapacity is the number of obsolete segments that can wait for their
// deletion.
const obsoleteQueueCapacity = 1024

// New returns a service, which is started by Run.
func New(o Options) *Service {
	source := &lockedRand{source: o.Random}
	s := &Service{
		options:          o,
		settings:         o.Settings,
		random:           source,
		breaker:          &circuitBreaker{random: source, backoff: storeBackoff, probeInterval: o.Settings.StoreTimeout},
		holds:            newHoldTable(o.Settings.MaxHeld),
		peers:            newPeerTable(o.Dialer, source),
		finishQueue:      queue.New[*finishTask](o.Settings.MaxHeld),
		obsoleteSegments: queue.New[journal.SegmentRef](obsoleteQueueCapacity),
		workers:          make(map[journal.ShardID]*shardWorker),
		running:          canceledContext(),
	}
	s.links = &linkTable{
		dialer: o.Dialer, settings: o.Settings, clock: s.clock(), self: s.selfClaimant(),
		startTask: s.startTaskIfRunning, byPeer: make(map[string]*link),
	}
	s.metrics = newMetrics(o.Registerer, func() float64 { return float64(s.holds.len()) })
	return s
}

// canceledContext returns the context of a service that is not running.
func canceledContext() context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	return ctx
}

// Run starts the background tasks of the service and returns when ctx has ended
// and all tasks have returned.
func (s *Service) Run(ctx context.Context) error {
	s.mu.Lock()
	s.running = ctx
	s.mu.Unlock()
	for range finishWorkerCount {
		s.startTask(func() { s.runFinishWorker(ctx) })
	}
	s.startTask(func() { s.runSegmentDeletion(ctx) })
	s.startTask(func() { s.runHoldExpiry(ctx) })
	<-ctx.Done()
	s.tasks.Wait()
	return nil
}

// startTask runs a task in a goroutine that Run waits for.
func (s *Service) startTask(task func()) {
	s.tasks.Add(1)
	go func() {
		defer s.tasks.Done()
		task()
	}()
}

// startTaskIfRunning starts a task with the context of Run. It reports false when
// the service is not running.
func (s *Service) startTaskIfRunning(task func(context.Context)) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	ctx := s.running
	if ctx.Err() != nil {
		return false
	}
	s.startTask(func() { task(ctx) })
	return true
}

// drainPollInterval is the time between two checks of Drain.
const drainPollInterval = 50 * time.Millisecond

// Drain waits until all orders of the local entry are finished and their results
// are durable. It returns the cause when ctx ends before that. A process that shuts
// down calls Drain before it ends the context of Run.
func (s *Service) Drain(ctx context.Context) error {
	for s.holds.len()+s.finishQueue.Len() > 0 {
		if ctx.Err() != nil {
			return context.Cause(ctx)
		}
		pause.For(ctx, drainPollInterval)
	}
	return nil
}

// runContext returns the context of Run. The context has ended when the service is
// not running.
func (s *Service) runContext() context.Context {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.running
}

// HeldCount returns the number of orders of the local entry that are claimed and
// unfinished.
func (s *Service) HeldCount() int { return s.holds.len() }

// submit queues an operation at the worker of its shard and waits for the reply.
func (s *Service) submit(id journal.ShardID, op *operation) reply {
	running, reason := s.enqueue(id, op)
	if reason != refusalNone {
		return reply{refusal: reason}
	}
	select {
	case r := <-op.answer:
		return r
	case <-op.ctx.Done():
	case <-running.Done():
	}
	return reply{refusal: refusalTimeout}
}

// enqueue queues an operation at the worker of its shard, which it starts if there
// is none, and returns the context of Run. The lock ensures that no worker stops
// with an operation in its queue.
func (s *Service) enqueue(id journal.ShardID, op *operation) (context.Context, refusal) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.running.Err() != nil {
		return nil, refusalNotRunning
	}
	w, ok := s.workers[id]
	if !ok {
		w = s.newWorker(id)
		s.workers[id] = w
		ctx := s.running
		s.startTask(func() { w.run(ctx, func() bool { return s.removeIfIdle(ctx, w) }) })
	}
	if !w.queue.Offer(op) {
		return nil, refusalOverload
	}
	return s.running, refusalNone
}

// newWorker returns a worker for a shard that has not been loaded yet.
func (s *Service) newWorker(id journal.ShardID) *shardWorker {
	return &shardWorker{
		id:       id,
		shard:    journal.NewShard(id, s.settings.journalLimits()),
		store:    &shardStore{id: id, store: s.options.Store, timeout: s.settings.StoreTimeout, obsoleteSegments: s.obsoleteSegments, metrics: s.metrics},
		settings: s.settings,
		breaker:  s.breaker,
		random:   s.random,
		metrics:  s.metrics,
		queue:    queue.New[*operation](s.settings.BatchSize * queueBatches),
	}
}

// removeIfIdle removes a worker whose queue is empty or whose service stops. It
// reports false when operations wait in the queue.
func (s *Service) removeIfIdle(ctx context.Context, w *shardWorker) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if w.queue.Len() > 0 && ctx.Err() == nil {
		return false
	}
	delete(s.workers, w.id)
	return true
}

// segmentDeletionInterval is the time between two deletions of segments to which no
// head refers.
const segmentDeletionInterval = 100 * time.Millisecond

// runSegmentDeletion deletes obsolete segments until ctx ends. It does not retry a
// failed deletion; the segment is found again when the shard is next opened.
func (s *Service) runSegmentDeletion(ctx context.Context) {
	for {
		ref, err := s.obsoleteSegments.Get(ctx)
		if err != nil {
			return
		}
		callCtx, cancel := context.WithTimeout(ctx, s.settings.StoreTimeout)
		err = s.options.Store.Delete(callCtx, journal.KindSegment, ref.Name, ref.Version)
		cancel()
		if err != nil {
			s.options.Logger.Debug().Err(err).Str("segment", string(ref.Name)).Msg("Segment not deleted; it is found again when the shard is next opened.")
		}
		pause.For(ctx, segmentDeletionInterval)
	}
}

// runHoldExpiry periodically removes claims of the local entry whose keys have
// expired, until ctx ends.
func (s *Service) runHoldExpiry(ctx context.Context) {
	for ctx.Err() == nil {
		pause.For(ctx, s.settings.ClockTolerance)
		s.holds.removeExpired(time.Now().Add(-s.settings.KeyLifetime - s.settings.ClockTolerance))
	}
}

func (s *Service) clock() *hlc.Clock { return s.options.Recorder.Clock() }

func (s *Service) timestamp() *pb.Timestamp { return ordermsg.TimestampToWire(s.clock().Now()) }

func (s *Service) observeTime(t *pb.Timestamp) { s.clock().Observe(ordermsg.TimestampFromWire(t)) }

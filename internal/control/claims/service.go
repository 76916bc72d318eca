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

// MemberLister gives the view of live instances, this one included. A slice that was
// returned does not change; the same slice tells that the view is the same.
type MemberLister interface {
	Members() []claims.Member
}

// Dialer returns a client of the claims service at a control process. It does
// not wait for a connection.
type Dialer interface {
	Orders(address string) (pb.OrdersClient, error)
}

// Options are what the service needs from its process.
type Options struct {
	Settings   Settings
	Self       claims.Member
	Members    MemberLister
	Dialer     Dialer
	Store      Store
	Recorder   *timeline.Recorder
	Logger     zerolog.Logger
	Registerer prometheus.Registerer // nil for none
	Random     *rand.Rand            // used by this service alone
}

// Service claims orders for the local entry and serves shards to its peers. It
// implements the Orders gRPC service. Run must be running for it to answer.
type Service struct {
	pb.UnimplementedOrdersServer
	options   Options
	settings  Settings
	random    *random
	gate      *gate
	holds     *holds
	peers     *peers
	links     *links
	owners    ownerTable
	metrics   *metrics
	finishing *queue.Queue[*finishTask]
	obsolete  *queue.Queue[journal.SegmentRef]

	mu      sync.Mutex // guards the rest
	running context.Context
	workers map[journal.ShardID]*worker
	wait    sync.WaitGroup
}

const obsoleteCapacity = 1024

// New returns a service that does not run yet.
func New(o Options) *Service {
	source := &random{source: o.Random}
	s := &Service{
		options:   o,
		settings:  o.Settings,
		random:    source,
		gate:      &gate{random: source, backoff: storeBackoff, probe: o.Settings.StoreTimeout},
		holds:     newHolds(o.Settings.MaxHeld),
		peers:     newPeers(o.Dialer, source),
		finishing: queue.New[*finishTask](o.Settings.MaxHeld),
		obsolete:  queue.New[journal.SegmentRef](obsoleteCapacity),
		workers:   make(map[journal.ShardID]*worker),
		running:   notRunning(),
	}
	s.links = &links{
		dialer: o.Dialer, settings: o.Settings, clock: s.clock(), self: s.claimant(),
		start: s.startDuty, byPeer: make(map[string]*link),
	}
	s.metrics = newMetrics(o.Registerer, func() float64 { return float64(s.holds.len()) })
	return s
}

func notRunning() context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	return ctx
}

// Run starts the duties of the service and waits until ctx ends and all are done.
func (s *Service) Run(ctx context.Context) error {
	s.mu.Lock()
	s.running = ctx
	s.mu.Unlock()
	for range finishWorkers {
		s.start(func() { s.finishDuty(ctx) })
	}
	s.start(func() { s.janitorDuty(ctx) })
	s.start(func() { s.expiryDuty(ctx) })
	<-ctx.Done()
	s.wait.Wait()
	return nil
}

func (s *Service) start(duty func()) {
	s.wait.Add(1)
	go func() {
		defer s.wait.Done()
		duty()
	}()
}

// startDuty starts a duty that ends with the service. It is false when the service does not run.
func (s *Service) startDuty(duty func(context.Context)) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	ctx := s.running
	if ctx.Err() != nil {
		return false
	}
	s.start(func() { duty(ctx) })
	return true
}

const drainPoll = 50 * time.Millisecond

// Drain waits until all orders of the local entry are finished and durable, or
// ctx ends. A process that shuts down calls it before it ends Run's context.
func (s *Service) Drain(ctx context.Context) error {
	for s.holds.len()+s.finishing.Len() > 0 {
		if ctx.Err() != nil {
			return context.Cause(ctx)
		}
		pause.For(ctx, drainPoll)
	}
	return nil
}

// runContext returns the context of Run. It has ended when the service does not run.
func (s *Service) runContext() context.Context {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.running
}

// HeldCount returns how many orders of the local entry are claimed and unfinished.
func (s *Service) HeldCount() int { return s.holds.len() }

// submit gives an operation to the worker of its shard and waits for the reply.
func (s *Service) submit(id journal.ShardID, op *operation) reply {
	running, why := s.enqueue(id, op)
	if why != refusalNone {
		return reply{refusal: why}
	}
	select {
	case r := <-op.answer:
		return r
	case <-op.ctx.Done():
	case <-running.Done():
	}
	return reply{refusal: refusalTimeout}
}

// enqueue opens the shard when needed, and returns the context of the running
// service. The lock keeps a worker from stopping with an operation in its ring.
func (s *Service) enqueue(id journal.ShardID, op *operation) (context.Context, refusal) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.running.Err() != nil {
		return nil, refusalStopped
	}
	w, ok := s.workers[id]
	if !ok {
		w = s.newWorker(id)
		s.workers[id] = w
		ctx := s.running
		s.start(func() { w.run(ctx, func() bool { return s.close(ctx, w) }) })
	}
	if !w.ring.Offer(op) {
		return nil, refusalOverload
	}
	return s.running, refusalNone
}

func (s *Service) newWorker(id journal.ShardID) *worker {
	return &worker{
		id:       id,
		shard:    journal.NewShard(id, s.settings.limits()),
		store:    &shardStore{id: id, store: s.options.Store, timeout: s.settings.StoreTimeout, obsolete: s.obsolete, metrics: s.metrics},
		settings: s.settings,
		gate:     s.gate,
		random:   s.random,
		metrics:  s.metrics,
		ring:     queue.New[*operation](s.settings.BatchSize * ringFactor),
	}
}

// close takes an idle worker off the table. It is false while operations wait.
func (s *Service) close(ctx context.Context, w *worker) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if w.ring.Len() > 0 && ctx.Err() == nil {
		return false
	}
	delete(s.workers, w.id)
	return true
}

// janitorInterval spaces the deletions of segments that no head names.
const janitorInterval = 100 * time.Millisecond

// janitorDuty deletes obsolete segments. A failed deletion is left to the next
// opening of the shard.
func (s *Service) janitorDuty(ctx context.Context) {
	for {
		ref, err := s.obsolete.Get(ctx)
		if err != nil {
			return
		}
		callCtx, cancel := context.WithTimeout(ctx, s.settings.StoreTimeout)
		err = s.options.Store.Delete(callCtx, journal.KindSegment, ref.Name, ref.Version)
		cancel()
		if err != nil {
			s.options.Logger.Debug().Err(err).Str("segment", string(ref.Name)).Msg("Segment not deleted.")
		}
		pause.For(ctx, janitorInterval)
	}
}

// expiryDuty forgets claims of the local entry whose keys have expired.
func (s *Service) expiryDuty(ctx context.Context) {
	for ctx.Err() == nil {
		pause.For(ctx, s.settings.ClockTolerance)
		s.holds.expire(time.Now().Add(-s.settings.KeyLifetime - s.settings.ClockTolerance))
	}
}

func (s *Service) clock() *hlc.Clock { return s.options.Recorder.Clock() }

func (s *Service) stamp() *pb.Timestamp { return ordermsg.Stamp(s.clock().Now()) }

func (s *Service) observe(t *pb.Timestamp) { s.clock().Observe(ordermsg.Time(t)) }

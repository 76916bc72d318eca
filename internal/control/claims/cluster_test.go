package claims

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"

	pb "savoryweir/api/savoryweir/v1"
	"savoryweir/internal/coordination/claims"
	"savoryweir/internal/settings"
	"savoryweir/internal/standin/objectapi"
	"savoryweir/internal/state/hlc"
	"savoryweir/internal/state/object"
	"savoryweir/internal/state/timeline"
	"savoryweir/internal/transport/orderclient"
)

// cluster is a set of instances in one process. The calls and streams between them
// can fail.
type cluster struct {
	ctx          context.Context
	store        *objectapi.Memory
	settings     Settings
	wait         sync.WaitGroup
	traffic      *traffic     // nil when traffic is not counted
	writtenBytes atomic.Int64 // bytes written to the store

	mu             sync.Mutex // guards the rest
	random         *rand.Rand
	nodes          map[string]*node
	lostReplyShare float64 // share of calls between instances whose reply is lost
}

// node is one instance, which has a control process and an entry process.
type node struct {
	cluster *cluster
	id      string
	link    *objectapi.Link
	client  *orderclient.Client // of the entry process

	mu           sync.Mutex // guards the rest
	service      *Service
	incarnation  uint64
	stopControl  context.CancelFunc // of the control process
	entryContext context.Context    // ends when the entry process is killed
	stopEntry    context.CancelFunc
	dead         bool
	frozen       chan struct{} // closed by thaw, nil when the control process is not frozen
	view         []claims.Member
}

// testSettings returns settings with few shards and the timeouts of the product.
func testSettings() Settings {
	return Settings{
		Shards: 8, KeyLifetime: time.Hour, ClockTolerance: time.Minute, WritesPerSecond: 40,
		FinishDelay: 200 * time.Millisecond, BatchSize: 256, ActiveKiB: 8, SegmentKiB: 512,
		MaxRecords: 200000, MaxBodyBytes: 256, MaxHeld: 4096, PeerTimeout: time.Second,
		StoreTimeout: time.Second, WaitSlice: time.Second, RetrySpread: 5 * time.Second,
		ResendGrace: 30 * time.Second, IdleUnload: time.Minute,
	}
}

// clientSettings returns the default settings of the product.
func clientSettings() orderclient.Settings { return settings.Defaults[orderclient.Settings]() }

func newCluster(t *testing.T, instances int, seed uint64, settings Settings, limits objectapi.Limits) *cluster {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	c := &cluster{
		ctx:      ctx,
		store:    objectapi.New(time.Now, limits),
		settings: settings,
		random:   rand.New(rand.NewPCG(seed, 1)),
		nodes:    make(map[string]*node),
	}
	t.Cleanup(func() {
		for _, n := range c.nodes {
			n.thaw()
		}
		cancel()
		c.wait.Wait()
	})
	for i := range instances {
		c.add(fmt.Sprintf("i%03d", i))
	}
	synctest.Wait() // a service refuses claims before its Run has started
	return c
}

func (c *cluster) add(id string) {
	n := &node{cluster: c, id: id, link: objectapi.NewLink(c.store)}
	c.nodes[id] = n
	n.startControl()
	n.startEntry()
	c.publishMembers(0)
}

func (c *cluster) goRun(run func()) {
	c.wait.Add(1)
	go func() {
		defer c.wait.Done()
		run()
	}()
}

func (c *cluster) randomFloat() float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.random.Float64()
}

func (c *cluster) losesReply() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.random.Float64() < c.lostReplyShare
}

func (c *cluster) setLostReplies(share float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lostReplyShare = share
}

func (c *cluster) randomIntN(n int) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.random.IntN(n)
}

// publishMembers gives the current members to each instance, after a random lag of
// up to maxLag that differs between instances.
func (c *cluster) publishMembers(maxLag time.Duration) {
	var members []claims.Member
	for _, n := range c.nodes {
		if !n.isDead() {
			members = append(members, claims.Member{ID: n.id, Address: n.id, Incarnation: n.currentIncarnation()})
		}
	}
	for _, n := range c.nodes {
		lag := time.Duration(0)
		if maxLag > 0 {
			lag = time.Duration(c.randomIntN(int(maxLag)))
		}
		if lag == 0 {
			n.setView(members)
			continue
		}
		time.AfterFunc(lag, func() { n.setView(members) })
	}
}

func (n *node) setView(view []claims.Member) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.view = view
}

// Members implements MemberLister.
func (n *node) Members() []claims.Member {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.view
}

// Orders implements Dialer.
func (n *node) Orders(address string) (pb.OrdersClient, error) {
	return &conn{from: n, to: n.cluster.nodes[address], cluster: n.cluster}, nil
}

func (n *node) startControl() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.incarnation++
	n.dead = false
	ctx, stop := context.WithCancel(n.cluster.ctx)
	n.stopControl = stop
	clock := hlc.New(time.Now)
	n.service = New(Options{
		Settings: n.cluster.settings,
		Self:     claims.Member{ID: n.id, Address: n.id, Incarnation: n.incarnation},
		Members:  n,
		Dialer:   n,
		Store:    &nodeStore{node: n, incarnation: n.incarnation},
		Recorder: timeline.NewRecorder(clock, "control", n.id, "", 16),
		Logger:   zerolog.Nop(),
		Random:   rand.New(rand.NewPCG(uint64(len(n.id))+n.incarnation, uint64(n.cluster.randomIntN(1<<30)))),
	})
	service := n.service
	n.cluster.goRun(func() { _ = service.Run(ctx) })
}

func (n *node) startEntry() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.entryContext, n.stopEntry = context.WithCancel(n.cluster.ctx)
	n.client = orderclient.New(clientSettings(), &conn{from: n, to: n, cluster: n.cluster}, hlc.New(time.Now))
	client, ctx := n.client, n.entryContext
	n.cluster.goRun(func() { _ = client.Run(ctx) })
}

// kill terminates both processes of the instance.
func (n *node) kill() {
	n.mu.Lock()
	n.dead = true
	n.stopControl()
	n.stopEntry()
	n.mu.Unlock()
	n.thaw()
}

// killControl terminates the control process only.
func (n *node) killControl() {
	n.mu.Lock()
	n.dead = true
	n.stopControl()
	n.mu.Unlock()
	n.thaw()
}

// freeze pauses the control process until thaw.
func (n *node) freeze() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.frozen == nil {
		n.frozen = make(chan struct{})
	}
}

func (n *node) thaw() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.frozen != nil {
		close(n.frozen)
		n.frozen = nil
	}
}

// awaitThaw blocks while the control process is frozen, regardless of any timeout.
func (n *node) awaitThaw() {
	for {
		n.mu.Lock()
		frozen := n.frozen
		n.mu.Unlock()
		if frozen == nil {
			return
		}
		<-frozen
	}
}

func (n *node) isDead() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.dead
}

func (n *node) currentIncarnation() uint64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.incarnation
}

func (n *node) currentClient() *orderclient.Client {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.client
}

func (n *node) currentService() *Service {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.service
}

// nodeStore is the store client of one control process. Its calls block while the
// process is frozen and fail once the process has terminated.
type nodeStore struct {
	node        *node
	incarnation uint64
}

func (s *nodeStore) isAlive() bool {
	return !s.node.isDead() && s.node.currentIncarnation() == s.incarnation
}

func (s *nodeStore) call(do func(*objectapi.Link) error) error {
	s.node.awaitThaw()
	if !s.isAlive() {
		return object.ErrUnavailable
	}
	err := do(s.node.link)
	s.node.awaitThaw()
	return err
}

func (s *nodeStore) Get(ctx context.Context, kind object.Kind, name object.Name) (o object.Object, err error) {
	return o, s.call(func(l *objectapi.Link) error { o, err = l.Get(ctx, kind, name); return err })
}

func (s *nodeStore) List(ctx context.Context, kind object.Kind, prefix string) (list []object.Object, err error) {
	return list, s.call(func(l *objectapi.Link) error { list, err = l.List(ctx, kind, prefix); return err })
}

func (s *nodeStore) Create(ctx context.Context, kind object.Kind, name object.Name, data []byte) (v object.Version, err error) {
	s.node.cluster.writtenBytes.Add(int64(len(data)))
	return v, s.call(func(l *objectapi.Link) error { v, err = l.Create(ctx, kind, name, data); return err })
}

func (s *nodeStore) Update(ctx context.Context, kind object.Kind, name object.Name, data []byte, expected object.Version) (v object.Version, err error) {
	s.node.cluster.writtenBytes.Add(int64(len(data)))
	return v, s.call(func(l *objectapi.Link) error { v, err = l.Update(ctx, kind, name, data, expected); return err })
}

func (s *nodeStore) Touch(ctx context.Context, kind object.Kind, name object.Name, expected object.Version) (v object.Version, err error) {
	return v, s.call(func(l *objectapi.Link) error { v, err = l.Touch(ctx, kind, name, expected); return err })
}

func (s *nodeStore) Delete(ctx context.Context, kind object.Kind, name object.Name, expected object.Version) error {
	return s.call(func(l *objectapi.Link) error { return l.Delete(ctx, kind, name, expected) })
}

// conn carries calls from a control process or an entry process to a control process.
type conn struct {
	cluster  *cluster
	from, to *node
}

var errUnreachable = status.Error(codes.Unavailable, "unreachable")

// call runs a handler at the receiver. A frozen receiver handles the call after its
// thaw, even if the sender has stopped waiting.
func call[Request, Response proto.Message](ctx context.Context, c *conn, request Request, handle func(*Service, context.Context, Request) (Response, error)) (Response, error) {
	type result struct {
		response Response
		err      error
	}
	var none Response
	if c.to == nil || c.to.isDead() {
		return none, errUnreachable
	}
	loseReply := c.from != c.to && c.cluster.losesReply()
	done := make(chan result, 1)
	handlerCtx := ctx
	if c.cluster.randomIntN(2) == 0 { // the receiver does not learn that the call has ended
		handlerCtx = context.WithoutCancel(ctx)
	}
	go func() {
		c.to.awaitThaw()
		service := c.to.currentService()
		response, err := handle(service, handlerCtx, request)
		c.to.awaitThaw()
		if service != c.to.currentService() {
			err = errUnreachable
		}
		done <- result{response, err}
	}()
	select {
	case r := <-done:
		if loseReply || c.to.isDead() {
			return none, errUnreachable
		}
		if c.cluster.traffic != nil && c.from != c.to {
			c.cluster.traffic.count(c.from.id, c.to.id, callOverheadBytes, request, r.response)
		}
		return r.response, r.err
	case <-ctx.Done():
		return none, ctx.Err()
	}
}

func (c *conn) Claim(ctx context.Context, r *pb.ClaimRequest, _ ...grpc.CallOption) (*pb.ClaimResponse, error) {
	return call(ctx, c, r, (*Service).Claim)
}

func (c *conn) Finish(ctx context.Context, r *pb.FinishRequest, _ ...grpc.CallOption) (*pb.FinishResponse, error) {
	return call(ctx, c, r, (*Service).Finish)
}

func (c *conn) Lookup(ctx context.Context, r *pb.LookupRequest, _ ...grpc.CallOption) (*pb.LookupResponse, error) {
	return call(ctx, c, r, (*Service).Lookup)
}

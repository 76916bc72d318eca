package peers_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"google.golang.org/grpc"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	pb "savoryweir/api/savoryweir/v1"
	"savoryweir/internal/control/cells"
	"savoryweir/internal/control/peers"
	"savoryweir/internal/coordination/gossip"
	"savoryweir/internal/coordination/membership"
	"savoryweir/internal/protocol/bundlefile"
	"savoryweir/internal/settings"
	"savoryweir/internal/state/bundle"
	"savoryweir/internal/state/demand"
	"savoryweir/internal/state/hlc"
	"savoryweir/internal/state/member"
	"savoryweir/internal/state/news"
	"savoryweir/internal/state/replica"
	"savoryweir/internal/state/timeline"
	"savoryweir/internal/transport/peerconn"
)

// waitTimeout is the timeout for states that the instances reach eventually.
const waitTimeout = 30 * time.Second

// instance is the peers service and the cell store of one control process.
type instance struct {
	*peers.Service
	cells  *cells.Store
	cancel context.CancelFunc
	done   chan error
	server *grpc.Server
}

// noopDependencies implements the listeners and stores that these tests do not need.
type noopDependencies struct{}

func (noopDependencies) OfferHead(bundle.Head, member.Member) {}
func (noopDependencies) OnPeersAnswered()                     {}
func (noopDependencies) OnDemand(demand.Report)               {}
func (noopDependencies) Section(bundle.Hash) (bundlefile.Section, bool) {
	return bundlefile.Section{}, false
}

// start runs a new instance and stops it at the end of the test.
func start(t *testing.T, id string, seeds ...string) *instance {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	clock := hlc.New(time.Now)
	store := cells.New(zerolog.Nop())
	counter := &peerconn.ByteCounter{}
	detection := settings.Defaults[membership.Settings]()
	detection.ProbeInterval, detection.SuspicionTime = 100*time.Millisecond, 500*time.Millisecond
	service := peers.New(peers.Options{
		Membership: detection,
		Gossip:     settings.Defaults[gossip.Settings](),
		Seeds:      seeds,
		Self: member.Member{
			ID: member.ID(id), Address: listener.Addr().String(), Zone: "z1", Incarnation: member.NewIncarnation(time.Now()),
		},
		Pool:     peerconn.NewPool(nil, counter),
		Clock:    clock,
		Recorder: timeline.NewRecorder(clock, "control", id, "z1", 100),
		Log:      zerolog.Nop(),
		Random:   rand.New(rand.NewPCG(1, uint64(len(id)))),
		Heads:    noopDependencies{},
		Sections: noopDependencies{},
		Cells:    store,
		Demand:   noopDependencies{},
	})
	server := grpc.NewServer(peerconn.ServerOptions(nil)...)
	pb.RegisterPeerServer(server, service)
	go func() { _ = server.Serve(counter.WrapListener(listener)) }()
	ctx, cancel := context.WithCancel(context.Background())
	i := &instance{Service: service, cells: store, cancel: cancel, done: make(chan error, 2), server: server}
	go func() { i.done <- service.Run(ctx) }()
	go func() { i.done <- store.Run(ctx, service, service) }()
	t.Cleanup(i.stop)
	return i
}

func (i *instance) stop() {
	i.cancel()
	i.server.Stop()
	i.Pool.Close()
}

// waitForMembers waits until each instance has exactly count usable members.
func waitForMembers(t *testing.T, count int, instances ...*instance) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		for _, i := range instances {
			if n := len(i.Snapshot().Usable()); n != count {
				return poll.Continue("%s has %d usable members", i.Self.ID, n)
			}
		}
		return poll.Success()
	}, poll.WithTimeout(waitTimeout))
}

func TestMembershipFollowsJoinDeathAndLeave(t *testing.T) {
	a := start(t, "a")
	b := start(t, "b", a.Self.Address)
	c := start(t, "c", a.Self.Address)
	d := start(t, "d", b.Self.Address)
	waitForMembers(t, 4, a, b, c, d)
	d.stop()
	waitForMembers(t, 3, a, b, c)
	assert.NilError(t, c.Leave(t.Context()))
	waitForMembers(t, 2, a, b)
	left := a.Snapshot().Members[2]
	assert.Equal(t, left.ID, member.ID("c"))
	assert.Equal(t, left.State, member.Left)
}

func TestCellReplicasReachAllInstances(t *testing.T) {
	a := start(t, "a")
	others := make([]*instance, 0, 3)
	for n := range 3 {
		others = append(others, start(t, fmt.Sprintf("o%d", n), a.Self.Address))
	}
	waitForMembers(t, 4, append(others, a)...)
	for version := range uint64(3) {
		cell := replica.Cell{
			Head:     news.CellHead{Cell: "cell-1", Version: version + 1},
			Replicas: []replica.Replica{{Upstream: "e1", Model: "m1", Ready: version == 2}},
		}
		assert.NilError(t, a.cells.Publish(t.Context(), cell, a))
	}
	late := start(t, "late", a.Self.Address)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		for _, i := range append(others, late) {
			c, _ := i.cells.Cell("cell-1")
			if len(c.Replicas) != 1 || !c.Replicas[0].Ready {
				return poll.Continue("%s has %v", i.Self.ID, c)
			}
		}
		return poll.Success()
	}, poll.WithTimeout(waitTimeout))
}

func TestNewsReachesAllInstances(t *testing.T) {
	a := start(t, "a")
	b := start(t, "b", a.Self.Address)
	c := start(t, "c", a.Self.Address)
	waitForMembers(t, 3, a, b, c)
	suspect := news.CrashSuspect{Fingerprint: news.Fingerprint{9}, Upstreams: []bundle.UpstreamID{"e1"}, Expires: time.Now().Add(time.Hour)}
	leaving := news.UpstreamLeaving{Upstream: "e2", Since: time.Now()}
	assert.NilError(t, a.Offer(t.Context(), news.Batch{Suspects: []news.CrashSuspect{suspect}, Leaving: []news.UpstreamLeaving{leaving}}))
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		for _, i := range []*instance{b, c} {
			known := i.Snapshot().News
			if len(known.Suspects) != 1 || len(known.Leaving) != 1 {
				return poll.Continue("%s has news %v", i.Self.ID, known)
			}
		}
		return poll.Success()
	}, poll.WithTimeout(waitTimeout))
}

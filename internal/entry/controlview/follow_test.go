package controlview

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"google.golang.org/grpc"
	"gotest.tools/v3/assert"

	pb "savoryweir/api/savoryweir/v1"
	"savoryweir/internal/entry"
	"savoryweir/internal/protocol/peercodec"
	"savoryweir/internal/settings"
	"savoryweir/internal/state/bundle"
	"savoryweir/internal/state/hlc"
)

const (
	seed      = 1
	heartbeat = 500 * time.Millisecond
	// propagationLimit is the time within which an accepted bundle must be in use by all entries.
	propagationLimit = 10 * time.Second
)

var errDown = errors.New("connection refused")

// fakeControl is the client of a control process whose faults a test sets.
type fakeControl struct {
	mu             sync.Mutex // guards the fields below
	view           *pb.View
	down           bool
	frozen         bool
	rejectsStreams bool
	streams        int
	reports        int
}

// update changes the state under the lock.
func (c *fakeControl) update(change func(*fakeControl)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	change(c)
}

// counts returns how many streams were requested and how many reports were received.
func (c *fakeControl) counts() (opened, reports int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.streams, c.reports
}

func (c *fakeControl) WatchView(ctx context.Context, _ *pb.WatchViewRequest, _ ...grpc.CallOption) (pb.Local_WatchViewClient, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.streams++
	if c.down || c.rejectsStreams {
		return nil, errDown
	}
	return &fakeStream{ctx: ctx, control: c}, nil
}

func (c *fakeControl) Report(context.Context, *pb.ReportRequest, ...grpc.CallOption) (*pb.ReportResponse, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reports++
	return &pb.ReportResponse{}, nil
}

// fakeStream sends the view whenever it has changed, and heartbeats in between.
type fakeStream struct {
	grpc.ClientStream
	ctx     context.Context
	control *fakeControl
	sent    *pb.View
}

func (s *fakeStream) Recv() (*pb.View, error) {
	for last := time.Now(); s.ctx.Err() == nil; time.Sleep(time.Millisecond) {
		message, err := s.poll(time.Since(last))
		if message != nil || err != nil {
			return message, err
		}
	}
	return nil, s.ctx.Err()
}

// poll returns the next message, or nil when none is due.
func (s *fakeStream) poll(quiet time.Duration) (*pb.View, error) {
	c := s.control
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.down:
		return nil, errDown
	case c.frozen:
		return nil, nil
	case s.sent != c.view:
		s.sent = c.view
		return c.view, nil
	case quiet >= heartbeat:
		return &pb.View{Heartbeat: true}, nil
	default:
		return nil, nil
	}
}

// fakeDialer maps addresses to control processes. It implements Dialer.
type fakeDialer map[string]*fakeControl

func (i fakeDialer) Client(address string) (pb.LocalClient, error) {
	if c, ok := i[address]; ok {
		return c, nil
	}
	return nil, errDown
}

func (i fakeDialer) Drop(string) {}

// runSource runs a source within the synctest bubble until the test ends.
func runSource(t *testing.T, local *fakeControl, peers fakeDialer, peerAddresses ...string) *Source {
	t.Helper()
	s := New(Options{
		Settings: entry.ViewSettings{Silence: 2 * time.Second, PeerAfter: 2 * time.Second, Peers: peerAddresses},
		Instance: settings.Instance{ID: "a", Zone: "z1"},
		Local:    local, Peers: peers, Clock: hlc.New(time.Now), Log: zerolog.Nop(),
		Random: rand.New(rand.NewPCG(seed, 0)),
	})
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		s.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-ended
	})
	return s
}

func currentGeneration(s *Source) bundle.Generation {
	if s.View() == nil {
		return 0
	}
	return s.View().Bundle.Generation
}

func newMember(id, zone, address string, state pb.MemberState) *pb.Member {
	return &pb.Member{Id: id, Zone: zone, Address: address, State: state}
}

// viewNamingPeer returns a view whose members include the instance b.
func viewNamingPeer(t *testing.T, g bundle.Generation) *pb.View {
	v := encodeView(t, g, fmt.Sprint(g))
	v.Members = []*pb.Member{newMember("b", "z1", "b:1", pb.MemberState_MEMBER_STATE_ALIVE)}
	return v
}

// The local control process ends, or stops sending messages. New generations must still arrive, from
// another instance, which also receives the reports. The local process is followed again once it answers.
func TestPeerViewIsFollowedWhileLocalControlDoesNotAnswer(t *testing.T) {
	for name, fail := range map[string]func(*fakeControl){
		"killed": func(c *fakeControl) { c.down = true },
		"frozen": func(c *fakeControl) { c.frozen = true },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				local, peer := &fakeControl{view: viewNamingPeer(t, 1)}, &fakeControl{view: viewNamingPeer(t, 1)}
				s := runSource(t, local, fakeDialer{"b:1": peer})
				time.Sleep(time.Minute)
				assert.Assert(t, !wasContacted(peer))
				local.update(fail)
				setView(peer, viewNamingPeer(t, 2))
				time.Sleep(propagationLimit)
				assert.Equal(t, currentGeneration(s), bundle.Generation(2))
				assert.Assert(t, s.FollowsPeer())
				assert.NilError(t, s.Report(t.Context(), entry.Report{}))
				_, reports := peer.counts()
				assert.Equal(t, reports, 1)

				local.update(func(c *fakeControl) { c.down, c.frozen = false, false })
				setView(local, viewNamingPeer(t, 3))
				time.Sleep(propagationLimit)
				assert.Equal(t, currentGeneration(s), bundle.Generation(3))
				assert.Assert(t, !s.FollowsPeer())
				assert.NilError(t, s.Report(t.Context(), entry.Report{}))
				_, reports = local.counts()
				assert.Equal(t, reports, 1)
			})
		})
	}
}

func setView(c *fakeControl, v *pb.View) { c.update(func(c *fakeControl) { c.view = v }) }

func wasContacted(c *fakeControl) bool {
	opened, _ := c.counts()
	return opened > 0
}

// The entry has no view yet and only one of the configured peers gives one.
func TestEntryStartsWithViewOfPeer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		overloaded, stopped, peer := &fakeControl{rejectsStreams: true}, &fakeControl{down: true}, &fakeControl{view: viewNamingPeer(t, 4)}
		s := runSource(t, &fakeControl{down: true}, fakeDialer{"b:1": peer, "c:1": overloaded, "d:1": stopped}, "c:1", "d:1", "b:1", "e:1")
		time.Sleep(propagationLimit)
		assert.Equal(t, currentGeneration(s), bundle.Generation(4))
	})
}

// A restart that is shorter than Settings.PeerAfter must not cause load on other instances.
func TestShortRestartOfLocalControlContactsNoPeer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		local, peer := &fakeControl{view: viewNamingPeer(t, 1)}, &fakeControl{view: viewNamingPeer(t, 1)}
		s := runSource(t, local, fakeDialer{"b:1": peer})
		time.Sleep(time.Minute)
		local.update(func(c *fakeControl) { c.down = true })
		time.Sleep(time.Second)
		local.update(func(c *fakeControl) { c.down = false })
		setView(local, viewNamingPeer(t, 2))
		time.Sleep(propagationLimit)
		assert.Equal(t, currentGeneration(s), bundle.Generation(2))
		assert.Assert(t, !wasContacted(peer))
	})
}

// The other instance has an older generation than the one in use.
func TestOlderViewOfPeerIsIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		local, peer := &fakeControl{view: viewNamingPeer(t, 7)}, &fakeControl{view: viewNamingPeer(t, 6)}
		s := runSource(t, local, fakeDialer{"b:1": peer})
		time.Sleep(time.Second)
		local.update(func(c *fakeControl) { c.down = true })
		time.Sleep(propagationLimit)
		assert.Assert(t, wasContacted(peer))
		assert.Equal(t, currentGeneration(s), bundle.Generation(7))
	})
}

func TestCandidatesListSameZoneFirst(t *testing.T) {
	s := newSource()
	s.Instance = settings.Instance{ID: "a", Zone: "z1"}
	s.Settings.Peers = []string{"seed:1", "far:1"}
	s.Random = rand.New(rand.NewPCG(seed, 0))
	s.members = peercodec.DecodeMembers([]*pb.Member{
		newMember("a", "z1", "self:1", pb.MemberState_MEMBER_STATE_ALIVE),
		newMember("far", "z2", "far:1", pb.MemberState_MEMBER_STATE_ALIVE),
		newMember("dead", "z1", "dead:1", pb.MemberState_MEMBER_STATE_DEAD),
		newMember("near", "z1", "near:1", pb.MemberState_MEMBER_STATE_SUSPECT),
	})
	assert.Assert(t, slices.Equal(s.candidates(), []string{"near:1", "far:1", "seed:1"}), s.candidates())
}

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
	// inForce is the time in which an accepted bundle is in force everywhere.
	inForce = 10 * time.Second
)

var errDown = errors.New("connection refused")

// control is a control process.
type control struct {
	mu      sync.Mutex // guards the rest
	view    *pb.View
	down    bool
	frozen  bool
	full    bool
	opened  int
	reports int
}

// set changes the process's state.
func (c *control) set(change func(*control)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	change(c)
}

// seen returns how many streams were asked for and how many reports came.
func (c *control) seen() (opened, reports int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.opened, c.reports
}

func (c *control) WatchView(ctx context.Context, _ *pb.WatchViewRequest, _ ...grpc.CallOption) (pb.Local_WatchViewClient, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.opened++
	if c.down || c.full {
		return nil, errDown
	}
	return &stream{ctx: ctx, control: c}, nil
}

func (c *control) Report(context.Context, *pb.ReportRequest, ...grpc.CallOption) (*pb.ReportResponse, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reports++
	return &pb.ReportResponse{}, nil
}

// stream sends the view when it has changed, and heartbeats.
type stream struct {
	grpc.ClientStream
	ctx     context.Context
	control *control
	sent    *pb.View
}

func (s *stream) Recv() (*pb.View, error) {
	for last := time.Now(); s.ctx.Err() == nil; time.Sleep(time.Millisecond) {
		message, err := s.poll(time.Since(last))
		if message != nil || err != nil {
			return message, err
		}
	}
	return nil, s.ctx.Err()
}

// poll returns a message when one is due.
func (s *stream) poll(quiet time.Duration) (*pb.View, error) {
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

// instances are the control processes by address.
type instances map[string]*control

func (i instances) Client(address string) (pb.LocalClient, error) {
	if c, ok := i[address]; ok {
		return c, nil
	}
	return nil, errDown
}

func (i instances) Drop(string) {}

// follow runs a source in the bubble until the test ends.
func follow(t *testing.T, own *control, others instances, seeds ...string) *Source {
	t.Helper()
	s := New(Options{
		Settings: entry.ViewSettings{Silence: 2 * time.Second, PeerAfter: 2 * time.Second, Peers: seeds},
		Instance: settings.Instance{ID: "a", Zone: "z1"},
		Local:    own, Peers: others, Clock: hlc.New(time.Now), Log: zerolog.Nop(),
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

func generation(s *Source) bundle.Generation {
	if s.View() == nil {
		return 0
	}
	return s.View().Bundle.Generation
}

func memberOf(id, zone, address string, state pb.MemberState) *pb.Member {
	return &pb.Member{Id: id, Zone: zone, Address: address, State: state}
}

// viewOf returns a view that names the other instance.
func viewOf(t *testing.T, g bundle.Generation) *pb.View {
	v := message(t, g, fmt.Sprint(g))
	v.Members = []*pb.Member{memberOf("b", "z1", "b:1", pb.MemberState_MEMBER_STATE_ALIVE)}
	return v
}

func TestOtherInstanceIsFollowedWhileOwnControlIsGone(t *testing.T) {
	for name, fail := range map[string]func(*control){
		"killed": func(c *control) { c.down = true },
		"frozen": func(c *control) { c.frozen = true },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				own, other := &control{view: viewOf(t, 1)}, &control{view: viewOf(t, 1)}
				s := follow(t, own, instances{"b:1": other})
				time.Sleep(time.Minute)
				assert.Assert(t, !isAsked(other))
				own.set(fail)
				setView(other, viewOf(t, 2))
				time.Sleep(inForce)
				assert.Equal(t, generation(s), bundle.Generation(2))
				assert.Assert(t, s.FollowsPeer())
				assert.NilError(t, s.Report(t.Context(), entry.Report{}))
				_, reports := other.seen()
				assert.Equal(t, reports, 1)

				own.set(func(c *control) { c.down, c.frozen = false, false })
				setView(own, viewOf(t, 3))
				time.Sleep(inForce)
				assert.Equal(t, generation(s), bundle.Generation(3))
				assert.Assert(t, !s.FollowsPeer())
				assert.NilError(t, s.Report(t.Context(), entry.Report{}))
				_, reports = own.seen()
				assert.Equal(t, reports, 1)
			})
		})
	}
}

func setView(c *control, v *pb.View) { c.set(func(c *control) { c.view = v }) }

func isAsked(c *control) bool {
	opened, _ := c.seen()
	return opened > 0
}

func TestEntryStartsOnTheViewOfAnotherInstance(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		full, dead, other := &control{full: true}, &control{down: true}, &control{view: viewOf(t, 4)}
		s := follow(t, &control{down: true}, instances{"b:1": other, "c:1": full, "d:1": dead}, "c:1", "d:1", "b:1", "e:1")
		time.Sleep(inForce)
		assert.Equal(t, generation(s), bundle.Generation(4))
	})
}

func TestShortRestartOfOwnControlAsksNobodyElse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		own, other := &control{view: viewOf(t, 1)}, &control{view: viewOf(t, 1)}
		s := follow(t, own, instances{"b:1": other})
		time.Sleep(time.Minute)
		own.set(func(c *control) { c.down = true })
		time.Sleep(time.Second)
		own.set(func(c *control) { c.down = false })
		setView(own, viewOf(t, 2))
		time.Sleep(inForce)
		assert.Equal(t, generation(s), bundle.Generation(2))
		assert.Assert(t, !isAsked(other))
	})
}

func TestOtherInstanceThatLagsTakesNothingBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		own, other := &control{view: viewOf(t, 7)}, &control{view: viewOf(t, 6)}
		s := follow(t, own, instances{"b:1": other})
		time.Sleep(time.Second)
		own.set(func(c *control) { c.down = true })
		time.Sleep(inForce)
		assert.Assert(t, isAsked(other))
		assert.Equal(t, generation(s), bundle.Generation(7))
	})
}

func TestCandidates(t *testing.T) {
	s := newSource()
	s.Instance = settings.Instance{ID: "a", Zone: "z1"}
	s.Settings.Peers = []string{"seed:1", "far:1"}
	s.Random = rand.New(rand.NewPCG(seed, 0))
	s.members = peercodec.DecodeMembers([]*pb.Member{
		memberOf("a", "z1", "self:1", pb.MemberState_MEMBER_STATE_ALIVE),
		memberOf("far", "z2", "far:1", pb.MemberState_MEMBER_STATE_ALIVE),
		memberOf("dead", "z1", "dead:1", pb.MemberState_MEMBER_STATE_DEAD),
		memberOf("near", "z1", "near:1", pb.MemberState_MEMBER_STATE_SUSPECT),
	})
	assert.Assert(t, slices.Equal(s.candidates(), []string{"near:1", "far:1", "seed:1"}), s.candidates())
}

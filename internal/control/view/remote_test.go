package view

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"gotest.tools/v3/assert"

	pb "savoryweir/api/savoryweir/v1"
	"savoryweir/internal/protocol/bundlefile"
	"savoryweir/internal/state/bundle"
	"savoryweir/internal/state/hlc"
	"savoryweir/internal/state/member"
	"savoryweir/internal/state/news"
	"savoryweir/internal/state/replica"
)

const heartbeat = time.Second

type noBundles struct{}

func (noBundles) InForce() (bundle.Head, []bundlefile.Section) {
	return bundle.Head{Generation: 1}, nil
}

type noPeers struct{ Peers }

func (noPeers) MembersAndNews() ([]member.Member, news.Batch) { return nil, news.Batch{} }

type noCells struct{}

func (noCells) Since([]news.CellHead, bool) []replica.Delta { return nil }

// newService returns a Service with an empty view.
func newService() *Service {
	return New(Options{Clock: hlc.New(time.Now), Bundles: noBundles{}, Peers: noPeers{}, Cells: noCells{}, Heartbeat: heartbeat})
}

// stream counts the views and heartbeats that are sent to it.
type stream struct {
	grpc.ServerStream
	ctx context.Context

	mu                sync.Mutex // guards the fields below
	views, heartbeats int
}

func (s *stream) Context() context.Context { return s.ctx }

func (s *stream) Send(v *pb.View) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if v.GetHeartbeat() {
		s.heartbeats++
		return nil
	}
	s.views++
	return nil
}

// counts returns the numbers of views and heartbeats sent so far.
func (s *stream) counts() (views, heartbeats int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.views, s.heartbeats
}

// watch starts a stream and returns it with the function that ends it.
func watch(t *testing.T, server pb.LocalServer) (*stream, context.CancelFunc) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	s := &stream{ctx: ctx}
	go func() { _ = server.WatchView(&pb.WatchViewRequest{}, s) }()
	synctest.Wait()
	return s, cancel
}

func TestHeartbeatsAreSentWhileTheViewIsUnchanged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		service := newService()
		s, cancel := watch(t, service)
		defer cancel()
		time.Sleep(10 * heartbeat)
		synctest.Wait()
		views, heartbeats := s.counts()
		assert.Equal(t, views, 1)
		assert.Equal(t, heartbeats, 10)
		service.Notify()
		time.Sleep(minInterval)
		synctest.Wait()
		views, _ = s.counts()
		assert.Equal(t, views, 2)
	})
}

func TestRemoteEntriesAreLimitedAndDoNotDelayShutdown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		service := newService()
		remote := service.NewRemoteServer(1)
		first, leave := watch(t, remote)
		views, _ := first.counts()
		assert.Equal(t, views, 1)
		refused := remote.WatchView(&pb.WatchViewRequest{}, &stream{ctx: t.Context()})
		assert.Equal(t, status.Code(refused), codes.ResourceExhausted)
		start := time.Now()
		service.WaitForNoWatchers(t.Context(), time.Minute)
		assert.Equal(t, time.Since(start), time.Duration(0))
		leave()
		synctest.Wait()
		second, leave := watch(t, remote)
		defer leave()
		views, _ = second.counts()
		assert.Equal(t, views, 1)
	})
}

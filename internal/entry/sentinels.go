package entry

import (
	"context"
	"sync"
	"time"

	"savoryweir/internal/pause"
	"savoryweir/internal/state/bundle"
	"savoryweir/internal/transport/upstreamhttp"
)

// Times of sentinel connections.
const (
	// sentinelGrace is how long the end of a process may take to break its other connections.
	sentinelGrace = 50 * time.Millisecond
	// sentinelWindow is the time around a cut in which a broken sentinel connection speaks of the same event.
	sentinelWindow = time.Second
	// sentinelReopen is the wait before a broken sentinel connection is opened again.
	sentinelReopen = 100 * time.Millisecond
)

// sentinels keeps one idle connection to each upstream with work, to tell the
// end of the upstream's process from the cut of a connection.
type sentinels struct {
	ctx    context.Context
	cancel context.CancelFunc
	group  sync.WaitGroup
}

func newSentinels() *sentinels {
	ctx, cancel := context.WithCancel(context.Background())
	return &sentinels{ctx: ctx, cancel: cancel}
}

func (s *sentinels) close() {
	s.cancel()
	s.group.Wait()
}

// watchUpstream opens a sentinel connection unless the upstream has one, and
// waits until it is open or could not be opened.
func (s *Server) watchUpstream(ctx context.Context, u bundle.Upstream) {
	if s.sentinels.ctx.Err() != nil {
		return
	}
	ready, start := s.table.startWatch(u.ID)
	if start {
		s.sentinels.group.Go(func() { s.keepSentinel(u) })
	}
	select {
	case <-ready:
	case <-ctx.Done():
	}
}

// keepSentinel keeps the connection open while the upstream has work.
func (s *Server) keepSentinel(u bundle.Upstream) {
	for s.sentinels.ctx.Err() == nil {
		opened := s.now()
		s.runSentinel(u)
		if !s.table.keepsWatch(u.ID) {
			return
		}
		if s.now().Sub(opened) < sentinelWindow {
			pause.For(s.sentinels.ctx, sentinelReopen)
		}
	}
}

// runSentinel opens the connection and waits for its end.
func (s *Server) runSentinel(u bundle.Upstream) {
	ctx, cancel := context.WithTimeout(s.sentinels.ctx, s.settings.Upstreams.ConnectTimeout)
	sentinel, err := s.repeat.OpenSentinel(ctx, u.Address)
	cancel()
	if err != nil {
		s.table.setWatched(u.ID, time.Time{})
		return
	}
	s.table.setWatched(u.ID, s.now())
	awaitBreak(s.sentinels.ctx, sentinel)
	s.table.setBroken(u.ID, s.now())
}

func awaitBreak(ctx context.Context, sentinel *upstreamhttp.Sentinel) {
	stop := context.AfterFunc(ctx, sentinel.Close)
	<-sentinel.Broken()
	stop()
	sentinel.Close()
}

// processEnded reports whether the upstream's process ended when a connection
// to it broke. Without a sentinel connection of that time, it is taken for ended.
func (s *Server) processEnded(f *flight, brokenAt time.Time) bool {
	pause.For(s.sentinels.ctx, sentinelGrace)
	since, ended := s.table.watchOf(f.upstream.ID)
	if ended.After(brokenAt.Add(-sentinelWindow)) {
		return true
	}
	return since.IsZero() || since.After(brokenAt)
}

// startWatch returns a channel that is closed once the opening of the sentinel
// connection has ended, and whether the caller is to open it.
func (t *upstreamTable) startWatch(id bundle.UpstreamID) (<-chan struct{}, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	state := t.state(id)
	if state.watched {
		return state.watchReady, false
	}
	state.watched = true
	state.watchReady = make(chan struct{})
	return state.watchReady, true
}

// keepsWatch reports whether the upstream still has work, and ends the watch otherwise.
func (t *upstreamTable) keepsWatch(id bundle.UpstreamID) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	state := t.state(id)
	state.watched = len(state.flights) > 0
	if state.watched {
		state.watchReady = make(chan struct{})
	}
	return state.watched
}

// setWatched notes since when the sentinel connection is open, zero when it could not be opened.
func (t *upstreamTable) setWatched(id bundle.UpstreamID, since time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	state := t.state(id)
	state.watchedSince = since
	close(state.watchReady)
}

func (t *upstreamTable) setBroken(id bundle.UpstreamID, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	state := t.state(id)
	state.watchedSince = time.Time{}
	state.processEnded = now
}

// watchOf returns since when the sentinel connection is open, and when the last one broke.
func (t *upstreamTable) watchOf(id bundle.UpstreamID) (since, ended time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	state := t.state(id)
	return state.watchedSince, state.processEnded
}

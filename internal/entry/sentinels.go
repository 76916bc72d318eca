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
	// sentinelReopenDelay is the wait before a broken sentinel connection is opened again.
	sentinelReopenDelay = 100 * time.Millisecond
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

// ensureSentinel opens a sentinel connection unless the upstream has one, and
// waits until it is open or could not be opened.
func (s *Server) ensureSentinel(ctx context.Context, u bundle.Upstream) {
	if s.sentinels.ctx.Err() != nil {
		return
	}
	ready, start := s.table.startSentinel(u.ID)
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
		if !s.table.keepsSentinel(u.ID) {
			return
		}
		if s.now().Sub(opened) < sentinelWindow {
			pause.For(s.sentinels.ctx, sentinelReopenDelay)
		}
	}
}

// runSentinel opens the connection and waits for its end.
func (s *Server) runSentinel(u bundle.Upstream) {
	ctx, cancel := context.WithTimeout(s.sentinels.ctx, s.settings.Upstreams.ConnectTimeout)
	sentinel, err := s.repeatClient.OpenSentinel(ctx, u.Address)
	cancel()
	if err != nil {
		s.table.setSentinelOpen(u.ID, time.Time{})
		return
	}
	s.table.setSentinelOpen(u.ID, s.now())
	awaitBreak(s.sentinels.ctx, sentinel)
	s.table.setSentinelBroken(u.ID, s.now())
}

func awaitBreak(ctx context.Context, sentinel *upstreamhttp.Sentinel) {
	stop := context.AfterFunc(ctx, sentinel.Close)
	<-sentinel.Broken()
	stop()
	sentinel.Close()
}

// processEnded reports whether the upstream's process ended when a connection
// to it broke. Without a sentinel connection of that time, it is taken for ended.
func (s *Server) processEnded(f *attempt, brokenAt time.Time) bool {
	pause.For(s.sentinels.ctx, sentinelGrace)
	since, sentinelBrokenAt := s.table.sentinelTimes(f.upstream.ID)
	if sentinelBrokenAt.After(brokenAt.Add(-sentinelWindow)) {
		return true
	}
	return since.IsZero() || since.After(brokenAt)
}

// startSentinel returns a channel that is closed once the opening of the sentinel
// connection has ended, and whether the caller is to open it.
func (t *upstreamTable) startSentinel(id bundle.UpstreamID) (<-chan struct{}, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	state := t.state(id)
	if state.sentinelActive {
		return state.sentinelReady, false
	}
	state.sentinelActive = true
	state.sentinelReady = make(chan struct{})
	return state.sentinelReady, true
}

// keepsSentinel reports whether the upstream still has work, and ends the watch otherwise.
func (t *upstreamTable) keepsSentinel(id bundle.UpstreamID) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	state := t.state(id)
	state.sentinelActive = len(state.attempts) > 0
	if state.sentinelActive {
		state.sentinelReady = make(chan struct{})
	}
	return state.sentinelActive
}

// setSentinelOpen notes since when the sentinel connection is open, zero when it could not be opened.
func (t *upstreamTable) setSentinelOpen(id bundle.UpstreamID, since time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	state := t.state(id)
	state.sentinelOpenSince = since
	close(state.sentinelReady)
}

func (t *upstreamTable) setSentinelBroken(id bundle.UpstreamID, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	state := t.state(id)
	state.sentinelOpenSince = time.Time{}
	state.sentinelBrokenAt = now
}

// sentinelTimes returns since when the sentinel connection is open, and when the last one broke.
func (t *upstreamTable) sentinelTimes(id bundle.UpstreamID) (since, brokenAt time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	state := t.state(id)
	return state.sentinelOpenSince, state.sentinelBrokenAt
}

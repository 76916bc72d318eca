package entry

import (
	"context"
	"sync"
	"time"

	"savoryweir/internal/pause"
	"savoryweir/internal/state/bundle"
	"savoryweir/internal/transport/upstreamhttp"
)

// Durations of sentinel connections.
const (
	// sentinelGrace is the time allowed for the end of a process to break its other connections.
	sentinelGrace = 50 * time.Millisecond
	// sentinelWindow is the time by which a sentinel connection may break earlier than another
	// connection for both to count as the same event.
	sentinelWindow = time.Second
	// sentinelReopenDelay is the delay before a sentinel connection is opened again that lasted
	// less than sentinelWindow.
	sentinelReopenDelay = 100 * time.Millisecond
)

// sentinels keeps one idle connection to each upstream with requests in progress. Its break tells
// the end of the upstream's process from the break of a single connection.
type sentinels struct {
	ctx    context.Context
	cancel context.CancelFunc
	group  sync.WaitGroup
}

func newSentinels() *sentinels {
	ctx, cancel := context.WithCancel(context.Background())
	return &sentinels{ctx: ctx, cancel: cancel}
}

// close closes all sentinel connections and waits for their goroutines.
func (s *sentinels) close() {
	s.cancel()
	s.group.Wait()
}

// ensureSentinel opens a sentinel connection to the upstream if there is none. It waits until the
// connection is open or could not be opened, or until ctx ends.
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

// keepSentinel keeps a sentinel connection open while the upstream has requests in progress.
func (s *Server) keepSentinel(u bundle.Upstream) {
	for s.sentinels.ctx.Err() == nil {
		opened := s.now()
		s.runSentinel(u)
		if !s.table.retainSentinel(u.ID) {
			return
		}
		if s.now().Sub(opened) < sentinelWindow {
			pause.For(s.sentinels.ctx, sentinelReopenDelay)
		}
	}
}

// runSentinel opens a sentinel connection and waits until it breaks.
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

// awaitBreak waits until the connection breaks or ctx ends, and closes it.
func awaitBreak(ctx context.Context, sentinel *upstreamhttp.Sentinel) {
	stop := context.AfterFunc(ctx, sentinel.Close)
	<-sentinel.Broken()
	stop()
	sentinel.Close()
}

// processEnded reports whether the upstream's process ended when a connection to it broke. It
// returns true if no sentinel connection was open at that time.
func (s *Server) processEnded(a *attempt, brokenAt time.Time) bool {
	pause.For(s.sentinels.ctx, sentinelGrace)
	since, sentinelBrokenAt := s.table.sentinelTimes(a.upstream.ID)
	if sentinelBrokenAt.After(brokenAt.Add(-sentinelWindow)) {
		return true
	}
	return since.IsZero() || since.After(brokenAt)
}

// startSentinel returns a channel that is closed once the sentinel connection is open or could not
// be opened, and whether the caller must open it.
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

// retainSentinel reports whether the upstream still has requests in progress. If not, it marks the
// sentinel connection as no longer needed.
func (t *upstreamTable) retainSentinel(id bundle.UpstreamID) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	state := t.state(id)
	state.sentinelActive = len(state.attempts) > 0
	if state.sentinelActive {
		state.sentinelReady = make(chan struct{})
	}
	return state.sentinelActive
}

// setSentinelOpen records the time at which the sentinel connection was opened, or zero if it could
// not be opened.
func (t *upstreamTable) setSentinelOpen(id bundle.UpstreamID, since time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	state := t.state(id)
	state.sentinelOpenSince = since
	close(state.sentinelReady)
}

// setSentinelBroken records the time at which the sentinel connection broke.
func (t *upstreamTable) setSentinelBroken(id bundle.UpstreamID, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	state := t.state(id)
	state.sentinelOpenSince = time.Time{}
	state.sentinelBrokenAt = now
}

// sentinelTimes returns the time since which the sentinel connection is open, zero if it is not, and
// the time at which the last one broke.
func (t *upstreamTable) sentinelTimes(id bundle.UpstreamID) (since, brokenAt time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	state := t.state(id)
	return state.sentinelOpenSince, state.sentinelBrokenAt
}

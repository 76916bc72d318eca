package entry

import (
	"context"
	"sync"
	"time"

	"savoryweir/internal/state/bundle"
)

// waitForUpstream acquires an upstream, and waits for one until the queue's limit or ctx ends.
func (s *Server) waitForUpstream(ctx context.Context, c *call, suspect bool) (*flight, error) {
	f, err := s.queueForUpstream(ctx, c, suspect)
	if err == nil {
		s.watchUpstream(f.upstream)
	}
	return f, err
}

func (s *Server) queueForUpstream(ctx context.Context, c *call, suspect bool) (*flight, error) {
	f, freed, err := s.table.acquire(s.now(), c, suspect)
	if err == nil {
		return f, nil
	}
	if !s.queue.enter(c.service.Name) {
		return nil, err
	}
	defer s.queue.leave(c.service.Name)
	ctx, cancel := context.WithTimeoutCause(ctx, s.settings.Queue.MaxWait, err)
	defer cancel()
	for {
		if err := waitFreed(ctx, freed); err != nil {
			return nil, err
		}
		if f, freed, err = s.table.acquire(s.now(), c, suspect); err == nil {
			return f, nil
		}
	}
}

// queuePoll is the longest time between looks for an upstream whose ejection or loading ended.
const queuePoll = 50 * time.Millisecond

func waitFreed(ctx context.Context, freed <-chan struct{}) error {
	timer := time.NewTimer(queuePoll)
	defer timer.Stop()
	select {
	case <-freed:
		return nil
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

// queueCounts bounds the requests that wait for each service.
type queueCounts struct {
	limit int

	mu      sync.Mutex // guards waiting
	waiting map[bundle.ServiceName]int
}

func newQueueCounts(limit int) *queueCounts {
	return &queueCounts{limit: limit, waiting: make(map[bundle.ServiceName]int)}
}

func (q *queueCounts) enter(name bundle.ServiceName) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.waiting[name] >= q.limit {
		return false
	}
	q.waiting[name]++
	return true
}

func (q *queueCounts) leave(name bundle.ServiceName) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.waiting[name]--
}

package entry

import (
	"context"
	"sync"
	"time"
)

const (
	// expireEvery is the time between looks for waiting requests that can't meet their deadline.
	expireEvery = 20 * time.Millisecond
	// mergeEvery is the time between looks for suspects in a new view.
	mergeEvery = 50 * time.Millisecond
)

// RunBackgroundTasks runs the background duties until ctx ends.
func (s *Server) RunBackgroundTasks(ctx context.Context) {
	var group sync.WaitGroup
	group.Go(func() { s.runReports(ctx) })
	group.Go(func() { every(ctx, expireEvery, func() { s.table.expire(s.now()) }) })
	group.Go(func() { every(ctx, s.settings.Upstreams.ProbeEvery, func() { s.probeDown(ctx) }) })
	group.Go(func() { s.mergeSuspects(ctx) })
	group.Wait()
}

func every(ctx context.Context, period time.Duration, do func()) {
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			do()
		}
	}
}

// mergeSuspects takes in the suspects of each new view.
func (s *Server) mergeSuspects(ctx context.Context) {
	var last *View
	every(ctx, mergeEvery, func() {
		view := s.views.View()
		if view == nil || view == last {
			return
		}
		last = view
		s.table.merge(s.now(), view.Suspects)
	})
}

// probeDown probes the upstreams that could not be reached.
func (s *Server) probeDown(ctx context.Context) {
	var group sync.WaitGroup
	for _, u := range s.table.down() {
		group.Go(func() {
			limited, cancel := context.WithTimeout(ctx, s.settings.Upstreams.ProbeTimeout)
			defer cancel()
			if s.repeat.Probe(limited, u.address) == nil {
				s.table.setUp(u.id)
			}
		})
	}
	group.Wait()
}

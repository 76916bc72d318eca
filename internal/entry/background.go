package entry

import (
	"context"
	"sync"
	"time"
)

const (
	// expireInterval is the time between checks for waiting requests that can't meet their deadline.
	expireInterval = 20 * time.Millisecond
	// suspectMergeInterval is the time between checks for a new view with suspects.
	suspectMergeInterval = 50 * time.Millisecond
)

// RunBackgroundTasks sends reports, expires waiting requests, probes upstreams that are down and
// merges suspects, until ctx ends.
func (s *Server) RunBackgroundTasks(ctx context.Context) {
	var group sync.WaitGroup
	group.Go(func() { s.runReports(ctx) })
	group.Go(func() { runEvery(ctx, expireInterval, func() { s.table.expire(s.now()) }) })
	group.Go(func() { runEvery(ctx, s.settings.Upstreams.ProbeEvery, func() { s.probeDownUpstreams(ctx) }) })
	group.Go(func() { s.mergeSuspects(ctx) })
	group.Wait()
}

// runEvery calls task once per period until ctx ends.
func runEvery(ctx context.Context, period time.Duration, task func()) {
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			task()
		}
	}
}

// mergeSuspects merges the suspects of each new view into the table until ctx ends.
func (s *Server) mergeSuspects(ctx context.Context) {
	var last *View
	runEvery(ctx, suspectMergeInterval, func() {
		view := s.views.View()
		if view == nil || view == last {
			return
		}
		last = view
		s.table.mergeSuspects(s.now(), view.Suspects)
	})
}

// probeDownUpstreams probes the upstreams that could not be reached and marks those that answer as up.
func (s *Server) probeDownUpstreams(ctx context.Context) {
	var group sync.WaitGroup
	for _, u := range s.table.downUpstreams() {
		group.Go(func() {
			probeCtx, cancel := context.WithTimeout(ctx, s.settings.Upstreams.ProbeTimeout)
			defer cancel()
			if s.repeatClient.Probe(probeCtx, u.address) == nil {
				s.table.setUp(u.id)
			}
		})
	}
	group.Wait()
}

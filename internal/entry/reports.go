package entry

import (
	"context"
	"sync"
	"time"

	"savoryweir/internal/coordination/routing"
	"savoryweir/internal/coordination/suspect"
	"savoryweir/internal/queue"
	"savoryweir/internal/state/bundle"
)

// Reporter sends reports to the control process.
type Reporter interface {
	// Report sends one report. After an error, its suspects and leaving upstreams are sent again
	// with the next report and its demand is lost.
	Report(ctx context.Context, report Report) error
}

// Limits and intervals of reports.
const (
	reportQueueLength    = 256
	demandReportInterval = time.Second
	reportInterval       = 100 * time.Millisecond // also the largest delay of suspects and leaving upstreams
	reportTimeout        = time.Second
)

// pendingReports queues suspects and leaving upstreams until they are reported.
type pendingReports struct {
	suspects *queue.Queue[suspect.Record]
	leaving  *queue.Queue[bundle.UpstreamID]
}

func newPendingReports() *pendingReports {
	return &pendingReports{suspects: queue.New[suspect.Record](reportQueueLength), leaving: queue.New[bundle.UpstreamID](reportQueueLength)}
}

func (r *pendingReports) addSuspect(s suspect.Record)     { r.suspects.Offer(s) }
func (r *pendingReports) addLeaving(id bundle.UpstreamID) { r.leaving.Offer(id) }

// demandKey identifies the model and the adapter that a request asked for.
type demandKey struct {
	model   bundle.ModelID
	adapter bundle.AdapterID
}

// demandCounts counts the traffic of each model until it is reported.
type demandCounts struct {
	mu     sync.Mutex // guards counts
	counts map[demandKey]ModelDemand
}

func newDemandCounts() *demandCounts { return &demandCounts{counts: make(map[demandKey]ModelDemand)} }

// countRequest counts a request on arrival, so that demand for a model without replicas is reported
// before its callers time out.
func (d *demandCounts) countRequest(c *call) {
	d.update(c, func(n *ModelDemand) { n.Requests++ })
}

// countResult counts the tokens of a request and whether it was completed. A failed request of class
// now counts as a missed deadline.
func (d *demandCounts) countResult(c *call, tokens int, failure *Failure) {
	d.update(c, func(n *ModelDemand) {
		n.Tokens += uint64(max(tokens, 0))
		if failure == nil {
			n.Completed++
		}
		if failure != nil && c.request.Class == routing.ClassNow {
			n.MissedDeadlines++
		}
	})
}

func (d *demandCounts) update(c *call, change func(*ModelDemand)) {
	key := demandKey{c.request.Model, c.request.Adapter}
	d.mu.Lock()
	defer d.mu.Unlock()
	n := d.counts[key]
	n.Model, n.Adapter = key.model, key.adapter
	change(&n)
	d.counts[key] = n
}

// drain returns the counts and resets them.
func (d *demandCounts) drain() []ModelDemand {
	d.mu.Lock()
	defer d.mu.Unlock()
	var drained []ModelDemand
	for _, n := range d.counts {
		drained = append(drained, n)
	}
	clear(d.counts)
	return drained
}

// runReports sends reports until ctx ends.
func (s *Server) runReports(ctx context.Context) {
	if s.reporter == nil {
		return
	}
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	var lastDemand time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			report := Report{Suspects: s.reports.suspects.Drain(reportQueueLength), Leaving: s.reports.leaving.Drain(reportQueueLength)}
			if now.Sub(lastDemand) >= demandReportInterval {
				report.Demand = s.demand.drain()
				lastDemand = now
			}
			s.sendReport(ctx, report)
		}
	}
}

// sendReport sends a report unless it is empty. It queues suspects and leaving upstreams again
// if the report fails.
func (s *Server) sendReport(ctx context.Context, report Report) {
	if len(report.Suspects)+len(report.Leaving)+len(report.Demand) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	if err := s.reporter.Report(ctx, report); err == nil {
		return
	}
	for _, record := range report.Suspects {
		s.reports.addSuspect(record)
	}
	for _, id := range report.Leaving {
		s.reports.addLeaving(id)
	}
}

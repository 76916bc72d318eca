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

// Reporter passes reports on to the control process.
type Reporter interface {
	// Report passes one report on. Reports that fail are lost but for their suspects.
	Report(ctx context.Context, report Report) error
}

// Sizes and times of reports.
const (
	reportRing     = 256
	reportEvery    = time.Second
	reportSuspects = 100 * time.Millisecond // largest delay of suspects and leaving upstreams
	reportTimeout  = time.Second
)

// reports collects what is to be reported.
type reports struct {
	suspects *queue.Queue[suspect.Record]
	leaving  *queue.Queue[bundle.UpstreamID]
}

func newReports() *reports {
	return &reports{suspects: queue.New[suspect.Record](reportRing), leaving: queue.New[bundle.UpstreamID](reportRing)}
}

func (r *reports) addSuspect(s suspect.Record)     { r.suspects.Offer(s) }
func (r *reports) addLeaving(id bundle.UpstreamID) { r.leaving.Offer(id) }

// demandKey names what callers asked for.
type demandKey struct {
	model   bundle.ModelID
	adapter bundle.AdapterID
}

// demandCounts adds up the traffic of each model until it is reported.
type demandCounts struct {
	mu     sync.Mutex // guards counts
	counts map[demandKey]ModelDemand
}

func newDemandCounts() *demandCounts { return &demandCounts{counts: make(map[demandKey]ModelDemand)} }

// arrived counts a request at once, so that a model without replicas is missed before its callers give up.
func (d *demandCounts) arrived(c *call) {
	d.change(c, func(n *ModelDemand) { n.Requests++ })
}

// ended counts the tokens of a request, and whether it was completed or missed its deadline.
func (d *demandCounts) ended(c *call, tokens int, failure *Failure) {
	d.change(c, func(n *ModelDemand) {
		n.Tokens += uint64(max(tokens, 0))
		if failure == nil {
			n.Completed++
		}
		if failure != nil && c.request.Class == routing.ClassNow {
			n.MissedDeadlines++
		}
	})
}

func (d *demandCounts) change(c *call, change func(*ModelDemand)) {
	key := demandKey{c.request.Model, c.request.Adapter}
	d.mu.Lock()
	defer d.mu.Unlock()
	n := d.counts[key]
	n.Model, n.Adapter = key.model, key.adapter
	change(&n)
	d.counts[key] = n
}

func (d *demandCounts) take() []ModelDemand {
	d.mu.Lock()
	defer d.mu.Unlock()
	var taken []ModelDemand
	for _, n := range d.counts {
		taken = append(taken, n)
	}
	clear(d.counts)
	return taken
}

// runReports passes reports on until ctx ends.
func (s *Server) runReports(ctx context.Context) {
	if s.reporter == nil {
		return
	}
	ticker := time.NewTicker(reportSuspects)
	defer ticker.Stop()
	var full time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			report := Report{Suspects: s.reports.suspects.Drain(reportRing), Leaving: s.reports.leaving.Drain(reportRing)}
			if now.Sub(full) >= reportEvery {
				report.Demand = s.demand.take()
				full = now
			}
			s.sendReport(ctx, report)
		}
	}
}

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

// Package demandflow reports the models' traffic, as seen by the entries, to the instances
// that hold the placement cells, and sums it up there.
package demandflow

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"savoryweir/internal/control/placing"
	"savoryweir/internal/queue"
	"savoryweir/internal/state/bundle"
	"savoryweir/internal/state/demand"
	"savoryweir/internal/state/member"
)

// Settings configures the reporting of demand.
type Settings struct {
	Interval time.Duration `help:"Time between two reports of an entry's traffic to the holders of placement cells." default:"5s" min:"100ms" max:"5m"`
}

const (
	localQueueLength = 256
	sendTimeout      = time.Second
	// staleAfterIntervals is the number of intervals after which an instance's report is ignored.
	staleAfterIntervals = 3
)

// OwnerLookup finds the instance that holds the placement cell of a model.
type OwnerLookup interface {
	// Owner returns the holder, or false if the model is in no bundle.
	Owner(id bundle.ModelID) (member.Member, bool)
}

// Sender sends a report to another instance.
type Sender interface {
	SendDemand(ctx context.Context, to member.Member, report demand.Report) error
}

// demandKey identifies a model or one of its adapters.
type demandKey struct {
	model   bundle.ModelID
	adapter bundle.AdapterID
}

// receivedReport is the last report of one instance.
type receivedReport struct {
	at     time.Time
	report demand.Report
}

// Aggregator reports the demand of the local entry to the holders of the placement cells, and sums
// up the demand that all instances report to this one.
type Aggregator struct {
	settings Settings
	self     member.ID
	log      zerolog.Logger
	local    *queue.Queue[demand.Report]

	mu     sync.Mutex // guards latest
	latest map[string]receivedReport
}

// New returns an aggregator for the instance self.
func New(s Settings, self member.ID, log zerolog.Logger) *Aggregator {
	return &Aggregator{
		settings: s,
		self:     self,
		log:      log,
		local:    queue.New[demand.Report](localQueueLength),
		latest:   make(map[string]receivedReport),
	}
}

// AddLocal queues a report of the local entry. If the queue is full, the report is dropped.
func (a *Aggregator) AddLocal(report demand.Report) { a.local.Offer(report) }

// OnDemand stores the report of an instance about models whose cells are held by this instance.
func (a *Aggregator) OnDemand(report demand.Report) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.latest[report.Instance] = receivedReport{at: time.Now(), report: report}
}

// Run reports the local entry's demand until ctx ends.
func (a *Aggregator) Run(ctx context.Context, owners OwnerLookup, sender Sender) error {
	ticker := time.NewTicker(a.settings.Interval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			a.flush(ctx, owners, sender)
		case <-ctx.Done():
			return nil
		}
	}
}

// flush sums up the queued local reports and sends each owner the part about its models.
func (a *Aggregator) flush(ctx context.Context, owners OwnerLookup, sender Sender) {
	sums := make(map[demandKey]demand.Model)
	for _, report := range a.local.Drain(localQueueLength) {
		for _, m := range report.Models {
			key := demandKey{m.Model, m.Adapter}
			sum := sums[key]
			sum.Model, sum.Adapter = m.Model, m.Adapter
			sum.Requests += m.Requests
			sum.Tokens += m.Tokens
			sum.MissedDeadlines += m.MissedDeadlines
			sum.Completed += m.Completed
			sums[key] = sum
		}
	}
	parts := make(map[member.Member][]demand.Model)
	for _, sum := range sums {
		if owner, ok := owners.Owner(sum.Model); ok {
			parts[owner] = append(parts[owner], sum)
		}
	}
	for owner, models := range parts {
		a.deliver(ctx, sender, owner, demand.Report{Instance: string(a.self), Interval: a.settings.Interval, Models: models})
	}
}

func (a *Aggregator) deliver(ctx context.Context, sender Sender, owner member.Member, report demand.Report) {
	if owner.ID == a.self {
		a.OnDemand(report)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	if err := sender.SendDemand(ctx, owner, report); err != nil {
		a.log.Debug().Err(err).Msg("demand not reported to the holder of the placement cell")
	}
}

// Demand returns the sum of the reports that are not stale, sorted by model and adapter.
func (a *Aggregator) Demand(now time.Time) []placing.Demand {
	a.mu.Lock()
	defer a.mu.Unlock()
	sums := make(map[demandKey]placing.Demand)
	for instance, r := range a.latest {
		if now.Sub(r.at) > staleAfterIntervals*a.settings.Interval {
			delete(a.latest, instance)
			continue
		}
		for _, m := range r.report.Models {
			addRates(sums, m, r.report.Interval.Seconds())
		}
	}
	var all []placing.Demand
	for _, sum := range sums {
		all = append(all, sum)
	}
	slices.SortFunc(all, func(a, b placing.Demand) int {
		return cmp.Or(cmp.Compare(a.Model, b.Model), cmp.Compare(a.Adapter, b.Adapter))
	})
	return all
}

func addRates(sums map[demandKey]placing.Demand, m demand.Model, seconds float64) {
	if seconds <= 0 {
		return
	}
	key := demandKey{m.Model, m.Adapter}
	sum := sums[key]
	sum.Model, sum.Adapter = m.Model, m.Adapter
	sum.RequestsPerSecond += float64(m.Requests) / seconds
	sum.TokensPerSecond += float64(m.Tokens) / seconds
	sum.CompletedPerSecond += float64(m.Completed) / seconds
	sums[key] = sum
}

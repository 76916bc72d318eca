// Package demandflow brings what the entries saw of models to the instances that
// hold the placement cells, and adds it up there.
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

// Settings configure the flow of demand.
type Settings struct {
	Interval time.Duration `help:"Time between two reports of an entry's traffic to the holders of placement cells." default:"5s" min:"100ms" max:"5m"`
}

const (
	ringLength  = 256
	sendTimeout = time.Second
	// staleAfter is the number of intervals after which an instance's report no longer counts.
	staleAfter = 3
)

// OwnerLookup finds the instance that holds the cell of a model.
type OwnerLookup interface {
	// Owner returns the holder, or false if the model is in no bundle.
	Owner(id bundle.ModelID) (member.Member, bool)
}

// Sender sends a report to another instance.
type Sender interface {
	SendDemand(ctx context.Context, to member.Member, report demand.Report) error
}

// slot is a model or an adapter of it.
type slot struct {
	model   bundle.ModelID
	adapter bundle.AdapterID
}

// received is the last report of one instance.
type received struct {
	at     time.Time
	report demand.Report
}

// Aggregator collects the demand of the local entry and of the other instances.
type Aggregator struct {
	settings Settings
	self     member.ID
	log      zerolog.Logger
	local    *queue.Queue[demand.Report]

	mu     sync.Mutex // guards latest
	latest map[string]received
}

// New returns a flow for the instance self.
func New(s Settings, self member.ID, log zerolog.Logger) *Aggregator {
	return &Aggregator{
		settings: s,
		self:     self,
		log:      log,
		local:    queue.New[demand.Report](ringLength),
		latest:   make(map[string]received),
	}
}

// AddLocal takes in a report of the local entry. A full ring drops it.
func (f *Aggregator) AddLocal(report demand.Report) { f.local.Offer(report) }

// OnDemand takes in what an instance's entry saw of models whose cells are held here.
func (f *Aggregator) OnDemand(report demand.Report) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.latest[report.Instance] = received{at: time.Now(), report: report}
}

// Run reports the local entry's demand until ctx ends.
func (f *Aggregator) Run(ctx context.Context, owners OwnerLookup, sender Sender) error {
	ticker := time.NewTicker(f.settings.Interval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			f.flush(ctx, owners, sender)
		case <-ctx.Done():
			return nil
		}
	}
}

// flush sums up the local reports and sends each owner its part.
func (f *Aggregator) flush(ctx context.Context, owners OwnerLookup, sender Sender) {
	sums := make(map[slot]demand.Model)
	for _, report := range f.local.Drain(ringLength) {
		for _, m := range report.Models {
			key := slot{m.Model, m.Adapter}
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
		f.deliver(ctx, sender, owner, demand.Report{Instance: string(f.self), Interval: f.settings.Interval, Models: models})
	}
}

func (f *Aggregator) deliver(ctx context.Context, sender Sender, owner member.Member, report demand.Report) {
	if owner.ID == f.self {
		f.OnDemand(report)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	if err := sender.SendDemand(ctx, owner, report); err != nil {
		f.log.Debug().Err(err).Msg("Demand was not reported.")
	}
}

// Demand returns the sum of the reports that are not stale, in order of models and adapters.
func (f *Aggregator) Demand(now time.Time) []placing.Demand {
	f.mu.Lock()
	defer f.mu.Unlock()
	sums := make(map[slot]placing.Demand)
	for instance, r := range f.latest {
		if now.Sub(r.at) > staleAfter*f.settings.Interval {
			delete(f.latest, instance)
			continue
		}
		for _, m := range r.report.Models {
			add(sums, m, r.report.Interval.Seconds())
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

func add(sums map[slot]placing.Demand, m demand.Model, seconds float64) {
	if seconds <= 0 {
		return
	}
	key := slot{m.Model, m.Adapter}
	sum := sums[key]
	sum.Model, sum.Adapter = m.Model, m.Adapter
	sum.RequestsPerSecond += float64(m.Requests) / seconds
	sum.TokensPerSecond += float64(m.Tokens) / seconds
	sum.CompletedPerSecond += float64(m.Completed) / seconds
	sums[key] = sum
}

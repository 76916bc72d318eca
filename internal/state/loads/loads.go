// Package loads tracks the requests that all instances have in flight at each
// upstream, as far as this instance knows, and how fast and how reliably each
// upstream answers.
package loads

import (
	"maps"
	"math"
	"time"

	"savoryweir/internal/state/fleet"
)

// PriorityRanks is the number of ranks that loads are counted by. Rank 0 is served first.
const PriorityRanks = 5

// Load is the work in flight at one upstream.
type Load struct {
	// PendingPrefill is the expected prefill time, by rank, of the requests whose
	// first event has not arrived. It is a time and not a number of tokens because
	// the models that share an engine differ in prefill speed.
	PendingPrefill [PriorityRanks]time.Duration
	// Running counts the requests in flight whose first event has arrived, and all
	// requests in flight at a plain service.
	Running int
	// RecentPrefill is the prefill time of the prompts sent lately, of which each loses
	// weight with recentTimeConstant.
	RecentPrefill time.Duration
	// Pace is what the upstream told lately of how long work takes there.
	Pace PaceSum
}

// Add adds other to l.
func (l *Load) Add(other Load) {
	l.RecentPrefill += other.RecentPrefill
	l.Pace = l.Pace.plus(other.Pace)
	for i := range l.PendingPrefill {
		l.PendingPrefill[i] += other.PendingPrefill[i]
	}
	l.Running += other.Running
}

// IsZero reports whether nothing is in flight.
func (l Load) IsZero() bool { return l == Load{} }

// PendingPrefillUpTo returns the prefill time of the prompts that are served at
// rank or before it.
func (l Load) PendingPrefillUpTo(rank int) time.Duration {
	var sum time.Duration
	for i := 0; i <= rank; i++ {
		sum += l.PendingPrefill[i]
	}
	return sum
}

// remoteReport is the last report of another instance.
type remoteReport struct {
	loads      map[fleet.UpstreamID]Load
	receivedAt time.Time
}

// fractionalLoad is a weighted sum of loads, so that its counts are fractions.
type fractionalLoad struct {
	pendingPrefill       [PriorityRanks]float64
	running              float64
	recentPrefill        float64
	paceCount, paceTotal float64
}

const (
	// averageTimeConstant is the time constant of the moving average of an
	// upstream's load. It spans several intervals of the slowest reports.
	averageTimeConstant = 1500 * time.Millisecond
	// reportTimeConstant is the age at which the weight of a report has fallen to
	// about a third (1/e). Prefill of a prompt takes about that time, so an older
	// report says little about the present load. The average load is the better
	// estimate then, and it keeps all instances from sending to the same upstream
	// because it was idle in its last report.
	reportTimeConstant = 200 * time.Millisecond
	// minAveragePrefill, in nanoseconds, and minAverageRunning, in requests, are the
	// averages below which an upstream's average load is dropped.
	minAveragePrefill = float64(time.Millisecond)
	minAverageRunning = 0.05
	// estimateInterval is how long an estimate from the reports of the other instances
	// is reused. It is about the time of one batch step of an engine.
	estimateInterval = 30 * time.Millisecond
)

// scaleLoad returns the given share of a load.
func scaleLoad(l Load, share float64) fractionalLoad {
	f := fractionalLoad{
		running: share * float64(l.Running), recentPrefill: share * float64(l.RecentPrefill),
		paceCount: share * float64(l.Pace.Count), paceTotal: share * float64(l.Pace.Total),
	}
	for i := range f.pendingPrefill {
		f.pendingPrefill[i] = share * float64(l.PendingPrefill[i])
	}
	return f
}

// scaled returns the given share of the load.
func (f fractionalLoad) scaled(share float64) fractionalLoad {
	for i := range f.pendingPrefill {
		f.pendingPrefill[i] *= share
	}
	f.running *= share
	f.recentPrefill *= share
	f.paceCount *= share
	f.paceTotal *= share
	return f
}

// isNegligible reports whether the load is too small to be kept as an average.
func (f fractionalLoad) isNegligible() bool {
	sum := f.recentPrefill
	for _, prefill := range f.pendingPrefill {
		sum += prefill
	}
	return sum < minAveragePrefill && f.running < minAverageRunning && f.paceCount < minPaceCount
}

// plus returns the sum of two loads.
func (f fractionalLoad) plus(other fractionalLoad) fractionalLoad {
	for i := range f.pendingPrefill {
		f.pendingPrefill[i] += other.pendingPrefill[i]
	}
	f.running += other.running
	f.recentPrefill += other.recentPrefill
	f.paceCount += other.paceCount
	f.paceTotal += other.paceTotal
	return f
}

// toLoad rounds the number of running requests to a whole number.
func (f fractionalLoad) toLoad() Load {
	l := Load{
		Running: int(math.Round(f.running)), RecentPrefill: time.Duration(f.recentPrefill),
		Pace: PaceSum{Count: int(math.Round(f.paceCount)), Total: int(math.Round(f.paceTotal))},
	}
	for i := range f.pendingPrefill {
		l.PendingPrefill[i] = time.Duration(f.pendingPrefill[i])
	}
	return l
}

// Tracker tracks the load of each upstream over all instances. It is not safe for
// concurrent use.
type Tracker struct {
	maxReportAge   time.Duration // age beyond which the report of another instance is dropped
	local          map[fleet.UpstreamID]Load
	recent         map[fleet.UpstreamID]recentWork // of this instance
	remote         map[string]remoteReport
	average        map[fleet.UpstreamID]fractionalLoad // moving average of the reported loads, summed over all other instances
	remoteEstimate map[fleet.UpstreamID]fractionalLoad // estimated present load, summed over all other instances
	estimatedAt    time.Time
}

// NewTracker returns an empty tracker that drops reports older than maxReportAge.
func NewTracker(maxReportAge time.Duration) *Tracker {
	return &Tracker{maxReportAge: maxReportAge, local: make(map[fleet.UpstreamID]Load), recent: make(map[fleet.UpstreamID]recentWork), remote: make(map[string]remoteReport), average: make(map[fleet.UpstreamID]fractionalLoad)}
}

// UpdateLocal applies update to the load that this instance has at an upstream.
func (t *Tracker) UpdateLocal(id fleet.UpstreamID, update func(*Load)) {
	l := t.local[id]
	update(&l)
	if l.IsZero() {
		delete(t.local, id)
		return
	}
	t.local[id] = l
}

// Local returns the loads that this instance has at the upstreams at now.
func (t *Tracker) Local(now time.Time) map[fleet.UpstreamID]Load {
	local := maps.Clone(t.local)
	for id, r := range t.recent {
		if r = r.decayed(now); r.isNegligible() {
			delete(t.recent, id)
			continue
		}
		l := local[id]
		l.Add(r.load())
		local[id] = l
	}
	return local
}

// SetRemote replaces the loads that another instance has at the upstreams by
// those of its report, which was received at now.
func (t *Tracker) SetRemote(now time.Time, instance string, l map[fleet.UpstreamID]Load) {
	t.remote[instance] = remoteReport{loads: l, receivedAt: now}
}

// ReplaceRemote replaces the loads of all other instances by their sum, which was received
// at now.
func (t *Tracker) ReplaceRemote(now time.Time, sum map[fleet.UpstreamID]Load) {
	clear(t.remote)
	t.remote[allInstances] = remoteReport{loads: sum, receivedAt: now}
}

// allInstances stands for all other instances where their reports were summed.
const allInstances = ""

// Total returns the estimated load of an upstream over all instances.
func (t *Tracker) Total(now time.Time, id fleet.UpstreamID) Load {
	t.refresh(now)
	total := t.local[id]
	if r, ok := t.recent[id]; ok {
		total.Add(r.decayed(now).load())
	}
	total.Add(t.remoteEstimate[id].toLoad())
	return total
}

// refresh estimates the load of the other instances, unless the last estimate is
// younger than estimateInterval. Each report is weighted by its freshness; the
// average load takes the remaining weight.
func (t *Tracker) refresh(now time.Time) {
	elapsed := now.Sub(t.estimatedAt)
	if elapsed < estimateInterval {
		return
	}
	t.estimatedAt = now
	latest := make(map[fleet.UpstreamID]fractionalLoad, len(t.average))
	t.remoteEstimate = make(map[fleet.UpstreamID]fractionalLoad, len(t.average))
	slow, streams := make(map[fleet.UpstreamID]fractionalLoad), make(map[fleet.UpstreamID]bool)
	freshnessSum := 0.0
	for name, r := range t.remote {
		age := now.Sub(r.receivedAt)
		if age > t.maxReportAge {
			delete(t.remote, name)
			continue
		}
		freshness := math.Exp(-float64(age) / float64(reportTimeConstant))
		freshnessSum += freshness
		for id, l := range r.loads {
			latest[id] = latest[id].plus(scaleLoad(l, 1))
			t.remoteEstimate[id] = t.remoteEstimate[id].plus(scaleLoad(l, freshness))
			slow[id] = slow[id].plus(scaleLoad(l, 1).slowPart(age))
			streams[id] = streams[id] || l.isStreaming()
		}
	}
	if len(t.remote) == 0 {
		clear(t.average)
		return
	}
	t.updateAverage(latest, 1-math.Exp(-float64(elapsed)/float64(averageTimeConstant)))
	averageWeight := 1 - freshnessSum/float64(len(t.remote))
	for id, m := range t.average {
		t.remoteEstimate[id] = t.remoteEstimate[id].plus(m.scaled(averageWeight))
	}
	for id, s := range slow {
		if !streams[id] {
			continue
		}
		s.pendingPrefill = t.remoteEstimate[id].pendingPrefill
		t.remoteEstimate[id] = s
	}
}

// isStreaming reports whether the load is that of an engine, to which prompts were sent lately.
func (l Load) isStreaming() bool { return l.RecentPrefill > 0 || l.Pace.Count > 0 }

// slowPart returns the part of a reported load that changes slowly at an engine, so that the report
// of the given age is a better estimate than an average: all but the pending prefill.
func (f fractionalLoad) slowPart(age time.Duration) fractionalLoad {
	weight := math.Exp(-float64(age) / float64(recentTimeConstant))
	return fractionalLoad{running: f.running, recentPrefill: f.recentPrefill * weight, paceCount: f.paceCount * weight, paceTotal: f.paceTotal * weight}
}

// updateAverage moves the average load towards the latest reports, which get the
// given weight between 0 and 1.
func (t *Tracker) updateAverage(latest map[fleet.UpstreamID]fractionalLoad, weight float64) {
	for id, m := range t.average {
		m = m.scaled(1 - weight).plus(latest[id].scaled(weight))
		if _, reported := latest[id]; !reported && m.isNegligible() {
			delete(t.average, id)
			continue
		}
		t.average[id] = m
	}
	for id, l := range latest {
		if _, ok := t.average[id]; !ok {
			t.average[id] = l.scaled(weight)
		}
	}
}

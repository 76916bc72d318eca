package loads

import (
	"math"
	"time"

	"savoryweir/internal/state/fleet"
)

const (
	// outcomeHalfLife is the time in which an outcome loses half of its weight. An
	// upstream that gets no requests is therefore tried again after some half-lives.
	outcomeHalfLife = 1500 * time.Millisecond
	// maxOutcomeWeight bounds the total weight of the outcomes at one upstream, over
	// all instances, so that an avoided upstream is tried again after the same time in
	// a small and in a large fleet.
	maxOutcomeWeight = 32.0
	// priorAnswers is the weight of the successful answers that every upstream is
	// credited with, so that a few failures alone do not yield a high failure rate.
	priorAnswers = 3.0
	// minOutcomeWeight is the weight below which outcomes are dropped.
	minOutcomeWeight = 0.1
)

// OutcomeCounts holds the decayed numbers of recent requests that an upstream
// answered and failed.
type OutcomeCounts struct{ Answered, Failed float64 }

func (c OutcomeCounts) add(other OutcomeCounts) OutcomeCounts {
	return OutcomeCounts{Answered: c.Answered + other.Answered, Failed: c.Failed + other.Failed}
}

func (c OutcomeCounts) scaled(factor float64) OutcomeCounts {
	return OutcomeCounts{Answered: c.Answered * factor, Failed: c.Failed * factor}
}

func (c OutcomeCounts) weight() float64 { return c.Answered + c.Failed }

// timedCounts are counts that were decayed up to a point in time.
type timedCounts struct {
	OutcomeCounts
	at time.Time
}

// decayed returns the counts with the weights that they have left at now.
func (c timedCounts) decayed(now time.Time) OutcomeCounts {
	return c.scaled(math.Exp2(-float64(now.Sub(c.at)) / float64(outcomeHalfLife)))
}

// remoteCounts is the last report of another instance.
type remoteCounts struct {
	upstreams  map[fleet.UpstreamID]OutcomeCounts
	instances  int // number of instances that the counts cover
	receivedAt time.Time
}

// FailureTracker estimates the failure rate of each upstream from the outcomes that
// all instances report. One instance alone sends too few requests to an upstream to
// detect failures quickly. It is not safe for concurrent use.
type FailureTracker struct {
	maxReportAge time.Duration // age beyond which the report of another instance is dropped
	local        map[fleet.UpstreamID]timedCounts
	remote       map[string]remoteCounts
	remoteSum    map[fleet.UpstreamID]OutcomeCounts // decayed sum over all other instances
	summedAt     time.Time
}

// NewFailureTracker returns an empty tracker that drops reports older than maxReportAge.
func NewFailureTracker(maxReportAge time.Duration) *FailureTracker {
	return &FailureTracker{maxReportAge: maxReportAge, local: make(map[fleet.UpstreamID]timedCounts), remote: make(map[string]remoteCounts)}
}

// Record records the outcome of a request that this instance sent to an upstream.
func (t *FailureTracker) Record(now time.Time, id fleet.UpstreamID, answered bool) {
	counts := t.local[id].decayed(now)
	if answered {
		counts.Answered++
	} else {
		counts.Failed++
	}
	if weight, limit := counts.weight(), maxOutcomeWeight/float64(t.remoteInstances()+1); weight > limit {
		counts = counts.scaled(limit / weight)
	}
	t.local[id] = timedCounts{OutcomeCounts: counts, at: now}
}

// Local returns the counts that this instance reports to the others. They cover only
// the upstreams that failed requests of any instance: upstreams without failures need
// no report, which keeps the reports of a large fleet short.
func (t *FailureTracker) Local(now time.Time) map[fleet.UpstreamID]OutcomeCounts {
	t.refresh(now)
	reported := make(map[fleet.UpstreamID]OutcomeCounts)
	for id, timed := range t.local {
		counts := timed.decayed(now)
		if counts.weight() < minOutcomeWeight {
			delete(t.local, id)
			continue
		}
		if counts.Failed+t.remoteSum[id].Failed >= minOutcomeWeight {
			reported[id] = counts
		}
	}
	return reported
}

// SetRemote replaces the counts of another instance by those of its report, which
// was received at now.
func (t *FailureTracker) SetRemote(now time.Time, instance string, counts map[fleet.UpstreamID]OutcomeCounts) {
	t.remote[instance] = remoteCounts{upstreams: counts, instances: 1, receivedAt: now}
}

// ReplaceRemote replaces the counts of all other instances by their sum, which was received
// at now.
func (t *FailureTracker) ReplaceRemote(now time.Time, sum map[fleet.UpstreamID]OutcomeCounts, instances int) {
	clear(t.remote)
	t.remote[allInstances] = remoteCounts{upstreams: sum, instances: instances, receivedAt: now}
}

func (t *FailureTracker) remoteInstances() int {
	n := 0
	for _, r := range t.remote {
		n += r.instances
	}
	return n
}

// FailureRate returns the estimated share of requests that an upstream fails, over
// all instances.
func (t *FailureTracker) FailureRate(now time.Time, id fleet.UpstreamID) float64 {
	t.refresh(now)
	total := t.local[id].decayed(now).add(t.remoteSum[id])
	return total.Failed / (total.weight() + priorAnswers)
}

// refresh sums the counts of the other instances, unless the last sum is younger
// than estimateInterval.
func (t *FailureTracker) refresh(now time.Time) {
	if now.Sub(t.summedAt) < estimateInterval {
		return
	}
	t.summedAt = now
	t.remoteSum = make(map[fleet.UpstreamID]OutcomeCounts, len(t.remoteSum))
	for name, r := range t.remote {
		age := now.Sub(r.receivedAt)
		if age > t.maxReportAge {
			delete(t.remote, name)
			continue
		}
		decay := math.Exp2(-float64(age) / float64(outcomeHalfLife))
		for id, counts := range r.upstreams {
			t.remoteSum[id] = t.remoteSum[id].add(counts.scaled(decay))
		}
	}
}

// Forget drops all counts of an upstream, because it restarted or was removed.
func (t *FailureTracker) Forget(id fleet.UpstreamID) {
	delete(t.local, id)
	delete(t.remoteSum, id)
	for _, r := range t.remote {
		delete(r.upstreams, id)
	}
}

package loads

import (
	"math"
	"time"

	"savoryweir/internal/state/fleet"
)

const (
	// recentTimeConstant is the age at which the weight of a prompt or of a told pace has
	// fallen to about a third (1/e). It spans several prompts of a busy engine and the
	// interval of the slowest reports.
	recentTimeConstant = time.Second
	// PaceUnit is the weight of one told pace in a PaceSum. Paces are summed in whole units, so
	// that sums of sums can be taken apart again.
	PaceUnit = 16
	// minPaceCount, in units, is the weight below which told paces are dropped.
	minPaceCount = 4
	// minTold and maxTold bound a told pace, so that a false one neither draws all requests to
	// an upstream nor keeps them away for good.
	minTold, maxTold = 0.5, 5.0
	// slowTimeConstant is the time constant of the slow average of an upstream's pace. It spans
	// many of the spells in which an engine is slow for a moment.
	slowTimeConstant = 15 * time.Second
	// priorPaceSeconds is the weight of the usual pace in the slow average, as the time in which
	// it was told once a second.
	priorPaceSeconds = 0.5
	// priorPaceCount is the weight, in told paces, of the slow average in the present pace. It is
	// more than a busy engine tells in a spell, so that not all instances flee it at once.
	priorPaceCount = 20.0
	// minSlowSeconds is the weight below which a slow average is dropped.
	minSlowSeconds = 0.01
	// maxPaceStep bounds the time for which one update counts in the slow average.
	maxPaceStep = time.Second
)

// PaceSum sums how long work takes at an upstream, as it told in its recent responses.
type PaceSum struct {
	Count int // weight of the summed paces, PaceUnit for a fresh one
	Total int // sum of the weighted paces, where 1 is as usual
}

func (s PaceSum) plus(other PaceSum) PaceSum {
	return PaceSum{Count: s.Count + other.Count, Total: s.Total + other.Total}
}

// recentWork is the decayed work that this instance has lately sent to an upstream and the
// decayed sum of the paces that the upstream told it.
type recentWork struct {
	prefill              float64 // nanoseconds
	paceCount, paceTotal float64 // in PaceUnit
	at                   time.Time
}

// decayed returns the work with the weight that it has left at now.
func (r recentWork) decayed(now time.Time) recentWork {
	weight := math.Exp(-float64(now.Sub(r.at)) / float64(recentTimeConstant))
	return recentWork{prefill: r.prefill * weight, paceCount: r.paceCount * weight, paceTotal: r.paceTotal * weight, at: now}
}

// SameInFlight reports whether two reports have the same requests in flight, whatever was sent and told
// lately.
func SameInFlight(a, b map[fleet.UpstreamID]Load) bool {
	return containsInFlight(a, b) && containsInFlight(b, a)
}

// containsInFlight reports whether all requests in flight of part are in whole.
func containsInFlight(whole, part map[fleet.UpstreamID]Load) bool {
	for id, l := range part {
		if w := whole[id]; w.PendingPrefill != l.PendingPrefill || w.Running != l.Running {
			return false
		}
	}
	return true
}

func (r recentWork) isNegligible() bool {
	return r.prefill < minAveragePrefill && r.paceCount < minPaceCount
}

// load returns the work as a load without requests in flight.
func (r recentWork) load() Load {
	return Load{
		RecentPrefill: time.Duration(r.prefill).Truncate(time.Microsecond),
		Pace:          PaceSum{Count: int(math.Round(r.paceCount)), Total: int(math.Round(r.paceTotal))},
	}
}

// AddPrefill records that this instance sends a prompt to an upstream.
func (t *Tracker) AddPrefill(now time.Time, id fleet.UpstreamID, prefill time.Duration) {
	r := t.recent[id].decayed(now)
	r.prefill += float64(prefill)
	t.recent[id] = r
}

// AddPace records how long work takes at an upstream, as it told: 1 is as usual.
func (t *Tracker) AddPace(now time.Time, id fleet.UpstreamID, told float64) {
	r := t.recent[id].decayed(now)
	r.paceCount += PaceUnit
	r.paceTotal += PaceUnit * BoundPace(told)
	t.recent[id] = r
}

// UtilizationOf returns the share of an engine's time that the prompts sent lately take, if work takes
// as long as usual there and a prompt of the given prefill time is added.
func (l Load) UtilizationOf(added time.Duration) float64 {
	return float64(l.RecentPrefill+added) / float64(recentTimeConstant)
}

// BoundPace returns a told pace within the bounds in which it is believed.
func BoundPace(told float64) float64 { return min(max(told, minTold), maxTold) }

// slowAverage is the average of the paces that an upstream has told.
type slowAverage struct{ seconds, total float64 }

// mean returns the average with the prior.
func (a slowAverage) mean() float64 {
	return (a.total + priorPaceSeconds) / (a.seconds + priorPaceSeconds)
}

// PaceTracker averages the paces that upstreams tell all instances. It is not safe for concurrent use.
type PaceTracker struct {
	slow      map[fleet.UpstreamID]slowAverage
	updatedAt time.Time
}

// NewPaceTracker returns a tracker that knows no pace.
func NewPaceTracker() *PaceTracker { return &PaceTracker{slow: make(map[fleet.UpstreamID]slowAverage)} }

// Update moves the slow averages towards the paces told lately, as loads holds them at now.
func (p *PaceTracker) Update(now time.Time, loads *Tracker) {
	elapsed := min(now.Sub(p.updatedAt), maxPaceStep)
	if elapsed < estimateInterval {
		return
	}
	p.updatedAt = now
	keep := math.Exp(-float64(elapsed) / float64(slowTimeConstant))
	for id, a := range p.slow {
		if a = (slowAverage{seconds: a.seconds * keep, total: a.total * keep}); a.seconds < minSlowSeconds {
			delete(p.slow, id)
			continue
		}
		p.slow[id] = a
	}
	loads.eachPace(now, func(id fleet.UpstreamID, count, total float64) {
		if count < minPaceCount {
			return
		}
		weight := elapsed.Seconds() * min(count/PaceUnit, 1)
		a := p.slow[id]
		p.slow[id] = slowAverage{seconds: a.seconds + weight, total: a.total + weight*BoundPace(total/count)}
	})
}

// eachPace calls visit with the paces that each upstream told all instances lately.
func (t *Tracker) eachPace(now time.Time, visit func(id fleet.UpstreamID, count, total float64)) {
	t.refresh(now)
	for id, own := range t.recent {
		own, rest := own.decayed(now), t.remoteEstimate[id]
		visit(id, own.paceCount+rest.paceCount, own.paceTotal+rest.paceTotal)
	}
	for id, rest := range t.remoteEstimate {
		if _, ok := t.recent[id]; !ok {
			visit(id, rest.paceCount, rest.paceTotal)
		}
	}
}

// Slowness returns the slow average of how long work takes at an upstream, 1 if unknown.
func (p *PaceTracker) Slowness(id fleet.UpstreamID) float64 { return p.slow[id].mean() }

// Present returns how long work takes at an upstream now, given its load: the paces told lately, held
// by the slow average.
func (p *PaceTracker) Present(id fleet.UpstreamID, l Load) float64 {
	count, total := float64(max(l.Pace.Count, 0))/PaceUnit, float64(max(l.Pace.Total, 0))/PaceUnit
	return min(max((total+priorPaceCount*p.Slowness(id))/(count+priorPaceCount), minTold), maxTold)
}

// Forget drops the pace of an upstream.
func (p *PaceTracker) Forget(id fleet.UpstreamID) { delete(p.slow, id) }

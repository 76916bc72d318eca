package loads

import (
	"math"
	"time"

	"savoryweir/internal/state/fleet"
)

const (
	// tallyHalfLife is the time within which an outcome loses half of its weight: an
	// upstream that gets no requests is tried again some half-lives later.
	tallyHalfLife = 1500 * time.Millisecond
	// tallyMost bounds the weight of all outcomes at one upstream, over all instances, so
	// that an upstream is tried again after the same time in a small and a large fleet.
	tallyMost = 32.0
	// assumedAnswers is the weight of the answers that an upstream is credited with, so
	// that few failures say little.
	assumedAnswers = 3.0
	// leastTally is the weight below which outcomes are forgotten.
	leastTally = 0.1
)

// OutcomeCounts is the weight of the recent outcomes of requests at an upstream.
type OutcomeCounts struct{ Answered, Failed float64 }

func (t OutcomeCounts) add(other OutcomeCounts) OutcomeCounts {
	return OutcomeCounts{Answered: t.Answered + other.Answered, Failed: t.Failed + other.Failed}
}

func (t OutcomeCounts) scaled(by float64) OutcomeCounts {
	return OutcomeCounts{Answered: t.Answered * by, Failed: t.Failed * by}
}

func (t OutcomeCounts) weight() float64 { return t.Answered + t.Failed }

type datedTally struct {
	OutcomeCounts
	at time.Time
}

func (d datedTally) decayed(now time.Time) OutcomeCounts {
	return d.scaled(math.Exp2(-float64(now.Sub(d.at)) / float64(tallyHalfLife)))
}

type remoteTallies struct {
	by    map[fleet.UpstreamID]OutcomeCounts
	heard time.Time
}

// FailureTracker gathers over all instances how often each upstream fails. One instance
// alone sends too few requests to an upstream to tell soon. It is not safe for
// concurrent use.
type FailureTracker struct {
	freshness time.Duration // age beyond which another instance's report counts no more
	own       map[fleet.UpstreamID]datedTally
	remote    map[string]remoteTallies
	others    map[fleet.UpstreamID]OutcomeCounts // of all others
	othersAt  time.Time
}

// NewFailureTracker returns a soundness that knows no upstream.
func NewFailureTracker(freshness time.Duration) *FailureTracker {
	return &FailureTracker{freshness: freshness, own: make(map[fleet.UpstreamID]datedTally), remote: make(map[string]remoteTallies)}
}

// Record records the outcome of a request at an upstream.
func (s *FailureTracker) Record(now time.Time, id fleet.UpstreamID, answered bool) {
	t := s.own[id].decayed(now)
	if answered {
		t.Answered++
	} else {
		t.Failed++
	}
	if w, most := t.weight(), tallyMost/float64(len(s.remote)+1); w > most {
		t = t.scaled(most / w)
	}
	s.own[id] = datedTally{OutcomeCounts: t, at: now}
}

// Local returns what this instance tells the others: its tallies of the upstreams that
// failed requests of any instance. Of those that fail none there is nothing to tell,
// which keeps the reports of a large fleet short.
func (s *FailureTracker) Local(now time.Time) map[fleet.UpstreamID]OutcomeCounts {
	s.refresh(now)
	own := make(map[fleet.UpstreamID]OutcomeCounts)
	for id, d := range s.own {
		t := d.decayed(now)
		if t.weight() < leastTally {
			delete(s.own, id)
			continue
		}
		if t.Failed+s.others[id].Failed >= leastTally {
			own[id] = t
		}
	}
	return own
}

// SetRemote replaces the tallies of another instance.
func (s *FailureTracker) SetRemote(now time.Time, instance string, by map[fleet.UpstreamID]OutcomeCounts) {
	s.remote[instance] = remoteTallies{by: by, heard: now}
}

// FailureRate returns the share of requests that an upstream fails, over all instances.
func (s *FailureTracker) FailureRate(now time.Time, id fleet.UpstreamID) float64 {
	s.refresh(now)
	total := s.own[id].decayed(now).add(s.others[id])
	return total.Failed / (total.weight() + assumedAnswers)
}

// refresh adds up the tallies of all others, unless that was done a moment ago.
func (s *FailureTracker) refresh(now time.Time) {
	if now.Sub(s.othersAt) < estimateEvery {
		return
	}
	s.othersAt = now
	s.others = make(map[fleet.UpstreamID]OutcomeCounts, len(s.others))
	for name, r := range s.remote {
		age := now.Sub(r.heard)
		if age > s.freshness {
			delete(s.remote, name)
			continue
		}
		left := math.Exp2(-float64(age) / float64(tallyHalfLife))
		for id, t := range r.by {
			s.others[id] = s.others[id].add(t.scaled(left))
		}
	}
}

// Forget drops what is known of an upstream: it has restarted, or is gone.
func (s *FailureTracker) Forget(id fleet.UpstreamID) {
	delete(s.own, id)
	delete(s.others, id)
	for _, r := range s.remote {
		delete(r.by, id)
	}
}

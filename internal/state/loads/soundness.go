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

// Tally is the weight of the recent outcomes of requests at an upstream.
type Tally struct{ Answered, Failed float64 }

func (t Tally) add(other Tally) Tally {
	return Tally{Answered: t.Answered + other.Answered, Failed: t.Failed + other.Failed}
}

func (t Tally) scaled(by float64) Tally {
	return Tally{Answered: t.Answered * by, Failed: t.Failed * by}
}

func (t Tally) weight() float64 { return t.Answered + t.Failed }

type datedTally struct {
	Tally
	at time.Time
}

func (d datedTally) decayed(now time.Time) Tally {
	return d.scaled(math.Exp2(-float64(now.Sub(d.at)) / float64(tallyHalfLife)))
}

type remoteTallies struct {
	by    map[fleet.UpstreamID]Tally
	heard time.Time
}

// Soundness gathers over all instances how often each upstream fails. One instance
// alone sends too few requests to an upstream to tell soon. It is not safe for
// concurrent use.
type Soundness struct {
	freshness time.Duration // age beyond which another instance's report counts no more
	own       map[fleet.UpstreamID]datedTally
	remote    map[string]remoteTallies
	others    map[fleet.UpstreamID]Tally // of all others
	othersAt  time.Time
}

// NewSoundness returns a soundness that knows no upstream.
func NewSoundness(freshness time.Duration) *Soundness {
	return &Soundness{freshness: freshness, own: make(map[fleet.UpstreamID]datedTally), remote: make(map[string]remoteTallies)}
}

// Note records the outcome of a request at an upstream.
func (s *Soundness) Note(now time.Time, id fleet.UpstreamID, answered bool) {
	t := s.own[id].decayed(now)
	if answered {
		t.Answered++
	} else {
		t.Failed++
	}
	if w, most := t.weight(), tallyMost/float64(len(s.remote)+1); w > most {
		t = t.scaled(most / w)
	}
	s.own[id] = datedTally{Tally: t, at: now}
}

// Own returns what this instance tells the others: its tallies of the upstreams that
// failed requests of any instance. Of those that fail none there is nothing to tell,
// which keeps the reports of a large fleet short.
func (s *Soundness) Own(now time.Time) map[fleet.UpstreamID]Tally {
	s.refresh(now)
	own := make(map[fleet.UpstreamID]Tally)
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

// Learn replaces the tallies of another instance.
func (s *Soundness) Learn(now time.Time, instance string, by map[fleet.UpstreamID]Tally) {
	s.remote[instance] = remoteTallies{by: by, heard: now}
}

// FailShare returns the share of requests that an upstream fails, over all instances.
func (s *Soundness) FailShare(now time.Time, id fleet.UpstreamID) float64 {
	s.refresh(now)
	total := s.own[id].decayed(now).add(s.others[id])
	return total.Failed / (total.weight() + assumedAnswers)
}

// refresh adds up the tallies of all others, unless that was done a moment ago.
func (s *Soundness) refresh(now time.Time) {
	if now.Sub(s.othersAt) < estimateEvery {
		return
	}
	s.othersAt = now
	s.others = make(map[fleet.UpstreamID]Tally, len(s.others))
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
func (s *Soundness) Forget(id fleet.UpstreamID) {
	delete(s.own, id)
	delete(s.others, id)
	for _, r := range s.remote {
		delete(r.by, id)
	}
}

package soak

import (
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// leastEndured and mostEndured are the rejections in a second that brittle engines endure.
	leastEndured, mostEndured = 2, 6
	// brittleSlots is the room that they have.
	brittleSlots = 1
	// fallsAllowed and fallsAllowedShare, of the engines, may fall over in one time in which they are brittle.
	fallsAllowed, fallsAllowedShare = 2, 0.1
)

// AddBrittleness adds to a plan that all engines are brittle for most of it. It is drawn apart, so that the
// other faults of a seed stay the same.
func AddBrittleness(plan []Fault, seed uint64, length time.Duration) []Fault {
	random := rand.New(rand.NewPCG(seed, 13))
	plan = append(slices.Clone(plan), Fault{At: time.Duration(random.Int64N(int64(length / 8))), Lasts: length * 3 / 4, Kind: KindBrittle, Share: random.Float64()})
	slices.SortStableFunc(plan, func(a, b Fault) int { return int(a.At - b.At) })
	return plan
}

// makeBrittle has all engines be brittle for a time. That is no disturbance.
func (c *cluster) makeBrittle(f Fault) {
	endures := leastEndured + int(f.Share*float64(mostEndured-leastEndured+1))
	for _, s := range c.stations()[:c.options.Engines] {
		s.SetBrittle(endures, brittleSlots)
	}
	time.Sleep(f.Lasts)
	for _, s := range c.stations()[:c.options.Engines] {
		s.SetBrittle(0, 0)
	}
}

// fall is one brittle engine that fell over.
type fall struct {
	upstream string
	at       time.Time
	rejected []string // requests that it had to reject
}

// Fell implements upstream.Journal.
func (l *ledger) Fell(upstream string, rejected []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	l.falls = append(l.falls, fall{upstream, now, rejected})
	l.disturbances.add(span{subject: atCrashed, kind: unplanned, from: now, to: now.Add(engineRestart)})
}

// judgeFalls checks that few brittle engines fell over. A fall counts if most of what was rejected came
// from instances that were not disturbed themselves.
func (c *cluster) judgeFalls(requests []*sent) {
	byID := make(map[string]*sent, len(requests))
	for _, s := range requests {
		byID[s.id] = s
	}
	counted := 0
	for _, f := range c.ledger.falls {
		inTouch := 0
		for _, id := range f.rejected {
			if s := byID[id]; s != nil && c.disturbances.isInTouch(s.instance, s.at, f.at) {
				inTouch++
			}
		}
		if 2*inTouch > len(f.rejected) {
			counted++
		}
	}
	if allowed := fallsAllowed + fallsAllowedShare*float64(c.options.Engines); float64(counted) > allowed {
		c.ledger.violate(PromiseFalls, c.ledger.falls[0].at, "brittle engines fell over %d times, %.1f allowed", counted, allowed)
	}
}

package soak

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"syscall"
	"time"

	"savoryweir/internal/standin/upstream"
)

const (
	// leaveShare is the share of requests whose caller leaves, in a burst of leavers.
	leaveShare = 0.7
	// lateNotice is how late an upstream may learn that a caller has left.
	lateNotice = 500 * time.Millisecond
	// lateArrivals is how many requests of callers that have left may reach upstreams later than that.
	lateArrivals = 3
	// workingShare is the largest share of upstreams that may be at work later than that, of those whose
	// work would have lasted so long; from workingLeast on.
	workingShare = 0.25
	workingLeast = 8
	// leaverEvents bounds the events of streams where callers leave, so that they outlast the notice.
	leaverEvents = 120
	// A slow instance runs for slowRun and then stands still for up to longestStop.
	slowRun     = 60 * time.Millisecond
	longestStop = 700 * time.Millisecond
)

// leaveStages are the times after which callers leave: before their request is read, while it waits, and in the
// middle of the response.
var leaveStages = []time.Duration{time.Millisecond, 30 * time.Millisecond, 150 * time.Millisecond, 400 * time.Millisecond}

// AddLeavers adds to a plan that callers leave in bursts, and that half of the instances are slow meanwhile.
// It is drawn apart, so that the other faults of a seed stay the same.
func AddLeavers(plan []Fault, seed uint64, length time.Duration, instances int) []Fault {
	random := rand.New(rand.NewPCG(seed, 13))
	plan = slices.Clone(plan)
	for burst := range 3 {
		at := time.Duration(burst) * length / 3
		plan = append(plan, Fault{At: at, Lasts: length / 4, Kind: KindLeavers})
		for _, target := range random.Perm(instances)[:instances/2] {
			plan = append(plan, Fault{At: at, Lasts: length / 4, Kind: KindSlow, Target: target, Share: random.Float64()})
		}
	}
	slices.SortStableFunc(plan, func(a, b Fault) int { return int(a.At - b.At) })
	return plan
}

// slowDown lets an instance run by turns only. Promises about callers that leave hold for it too.
func (i *instance) slowDown(f Fault) {
	i.disturbances.add(span{subject: i.number, kind: unplanned, from: time.Now(), to: time.Now().Add(f.Lasts + longestStop), isSlow: true})
	stop := longestStop/4 + time.Duration(f.Share*float64(longestStop*3/4))
	for end := time.Now().Add(f.Lasts); time.Now().Before(end); time.Sleep(slowRun) {
		p, ok := i.signal(syscall.SIGSTOP, false)
		if !ok {
			continue
		}
		time.Sleep(stop)
		if i.runs(p) {
			i.signal(syscall.SIGCONT, false)
		}
	}
}

// leaveLater has a caller leave during a burst of leavers: it cancels the request at one of the stages.
func (c *caller) leaveLater(s *sent, cancel context.CancelFunc) {
	if !c.cluster.leaving.Load() || c.random.Float64() > leaveShare {
		return
	}
	time.AfterFunc(leaveStages[c.random.IntN(len(leaveStages))], func() {
		c.cluster.ledger.Left(s)
		cancel()
	})
}

// Left records that the caller of a request leaves.
func (l *ledger) Left(s *sent) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s.ended.IsZero() {
		s.left = time.Now()
	}
}

// Stopped implements upstream.Journal.
func (l *ledger) Stopped(r upstream.Run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stopped[r] = time.Now()
}

// atUpstreams returns when requests arrived at upstreams, and when runs stopped. Runs may still stop
// while a run of the soak is judged.
func (l *ledger) atUpstreams() (arrived map[string][]time.Time, stopped map[upstream.Run]time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return maps.Clone(l.arrived), maps.Clone(l.stopped)
}

// judgeLeavers checks that upstreams neither get requests of callers that have left nor work on for them,
// summed over the instances in touch.
func (c *cluster) judgeLeavers(requests []*sent, runs map[string][]upstream.Run) {
	arrived, stopped := c.ledger.atUpstreams()
	late, outlasting, working := 0, 0, 0
	var example *sent
	for _, s := range requests {
		bound := s.left.Add(lateNotice)
		if s.left.IsZero() || !c.disturbances.isInTouchWithCallers(s.instance, s.at, bound) {
			continue
		}
		for _, at := range arrived[s.id] {
			if at.After(bound) {
				late++
				example = s
			}
		}
		if c.disturbances.isSlow(s.instance, s.left, bound) {
			bound = bound.Add(longestStop) // it can't be told while it stands still
		}
		for _, r := range runs[s.id] {
			if !s.repeatable && !s.isStream || r.Began.Add(s.work).Before(bound) {
				continue
			}
			outlasting++
			if at, ok := stopped[r]; !ok || at.After(bound) {
				working++
				example = s
			}
		}
	}
	if late > lateArrivals {
		c.ledger.violate(PromiseLeft, example.left, "%d requests reached upstreams over %v after their callers had left, one of them %s at i%d", late, lateNotice, example.id, example.instance)
	}
	if outlasting >= workingLeast && float64(working) > workingShare*float64(outlasting) {
		c.ledger.violate(PromiseLeft, example.left, "upstreams worked on for %d of %d callers that had left, one of them %s at i%d", working, outlasting, example.id, example.instance)
	}
}

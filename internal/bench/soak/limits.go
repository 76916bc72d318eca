package soak

import (
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// limitWindow is the window in which the requests at an upstream with a limit are counted.
	limitWindow = 4 * time.Second
	// An upstream may get limitFactor times its limit and limitSlack requests.
	limitFactor, limitSlack = 1.5, 5
	// passedOnFor is how long an instance must have passed on an answer with a limit to be counted.
	passedOnFor = 500 * time.Millisecond
	// leastLimit and mostLimit are the limits that engines name, in requests per second.
	leastLimit, mostLimit = 0.2, 1.0
	limitsPerRun          = 3
)

// AddNamedLimits adds to a plan that engines name limits for some seconds. It is drawn apart, so that
// the other faults of a seed stay the same.
func AddNamedLimits(plan []Fault, seed uint64, length time.Duration) []Fault {
	random := rand.New(rand.NewPCG(seed, 11))
	plan = slices.Clone(plan)
	for range limitsPerRun {
		at := time.Duration(random.Int64N(int64(length / 3)))
		plan = append(plan, Fault{At: at, Lasts: length/2 + time.Duration(random.Int64N(int64(length/6))), Kind: KindNamedLimit, Target: random.IntN(1 << 10), Share: random.Float64()})
	}
	slices.SortStableFunc(plan, func(a, b Fault) int { return int(a.At - b.At) })
	return plan
}

// nameLimit has an engine name a limit for a time, which changes half-way. That is no disturbance.
func (c *cluster) nameLimit(f Fault) {
	s := c.upstreams[f.Target%c.options.Engines]
	first := leastLimit + f.Share*(mostLimit-leastLimit)
	s.SetLimit(first)
	time.Sleep(f.Lasts / 2)
	s.SetLimit(leastLimit + mostLimit - first)
	time.Sleep(f.Lasts / 2)
	s.SetLimit(0)
}

// limitedArrival is a request that reached an upstream which names a limit.
type limitedArrival struct {
	request string
	at      time.Time
	limit   float64
}

// Arrived implements upstream.Journal.
func (l *ledger) Arrived(request, upstream string, limit float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.arrived[request] = append(l.arrived[request], time.Now())
	if limit == 0 {
		return
	}
	l.limited[upstream] = append(l.limited[upstream], limitedArrival{request, time.Now(), limit})
}

// judgeLimits checks that upstreams get no more requests than they name, summed over the instances in
// touch that have passed on an answer with a limit.
func (c *cluster) judgeLimits(requests []*sent) {
	instances := make(map[string]int, len(requests))
	for _, s := range requests {
		instances[s.id] = s.instance
	}
	for upstream, arrivals := range c.ledger.limited {
		counted := c.toldArrivals(arrivals, instances)
		for n, first := range counted {
			limit, last := first.limit, n
			for last < len(counted) && counted[last].at.Sub(first.at) < limitWindow {
				limit = max(limit, counted[last].limit)
				last++
			}
			if allowed := limitFactor*limit*limitWindow.Seconds() + limitSlack; float64(last-n) > allowed {
				c.ledger.violate(PromiseLimit, first.at, "%s got %d requests in %v, %.0f allowed by its limit of %.2f a second", upstream, last-n, limitWindow, allowed, limit)
				break
			}
		}
	}
}

// toldArrivals returns the arrivals from instances in touch that had passed on a limit for long enough.
func (c *cluster) toldArrivals(arrivals []limitedArrival, instances map[string]int) []limitedArrival {
	told := make(map[int]time.Time)
	var counted []limitedArrival
	for _, a := range arrivals {
		instance, isKnown := instances[a.request]
		if !isKnown {
			continue
		}
		since, isTold := told[instance]
		if !isTold {
			told[instance] = a.at
			continue
		}
		if a.at.Sub(since) >= passedOnFor && !c.disturbances.between(instance, a.at.Add(-stable), a.at, unplanned) && !c.disturbances.between(instance, a.at.Add(-stable), a.at, planned) {
			counted = append(counted, a)
		}
	}
	return counted
}

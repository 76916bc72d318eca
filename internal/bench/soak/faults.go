package soak

import (
	"context"
	"slices"
	"sync"
	"syscall"
	"time"

	"savoryweir/internal/standin/objectapi"
	"savoryweir/internal/standin/upstream"
	"savoryweir/platform"
)

// play causes the faults of a plan at their times and returns when all have ended.
func (c *cluster) play(plan []Fault, stop <-chan struct{}) {
	began := time.Now()
	var group sync.WaitGroup
	for n, f := range plan {
		time.Sleep(time.Until(began.Add(f.At)))
		c.options.Progress("seed %d: %s", c.options.Seed, f)
		group.Go(func() { c.cause(f, n, stop) })
	}
	group.Wait()
}

// cause brings about one fault and lifts it.
func (c *cluster) cause(f Fault, number int, stop <-chan struct{}) {
	i := c.instances[f.Target%len(c.instances)]
	switch f.Kind {
	case KindTerm:
		i.terminate()
	case KindKill:
		i.kill()
	case KindKillAll:
		for _, each := range c.instances {
			each.kill()
		}
	case KindPause:
		i.pause(f.Lasts)
	case KindReload:
		c.reload(i, retryRatio, retrySlack+f.Target%2, f.Share < 0.5)
	case KindConfig:
		c.mu.Lock()
		c.extras[f.Target%extraRoutes] = !c.extras[f.Target%extraRoutes]
		c.mu.Unlock()
		c.tryConfigure()
	case KindNoRetries:
		for _, each := range c.instances {
			c.reload(each, 0, 0, true)
		}
	case KindLimits:
		c.mu.Lock()
		c.idleTimeout = shortestIdle + time.Duration(f.Share*float64(usualIdle-shortestIdle))
		c.routeTimeout = shortestRoute + time.Duration(f.Target%2)*(callerDeadline-shortestRoute)
		c.mu.Unlock()
		c.tryConfigure()
	case KindPoison:
		newCaller(c, poisonCallers+number).poison(stop)
	case KindCrashingPart:
		c.sendCrashingParts(f, stop)
	case KindCallersReset:
		c.disturb(i.number, 0, i.callers.Reset, func() {})
	case KindCallersDelay:
		c.harm(i.number, i.callers, Link{Delay: linkDelay}, f.Lasts)
	case KindStoreCut:
		c.harm(i.number, i.store, heldLink(f.Share), f.Lasts)
	case KindStoreRefused:
		c.disturb(i.number, f.Lasts, func() { i.store.Set(Link{Refuse: true}); i.store.Reset() }, func() { i.store.Set(Link{}) })
	case KindStoreSilent:
		c.disturb(i.number, 0, i.store.Silence, func() {})
	case KindStoreDown:
		c.disturbStore(objectapi.Faults{Outage: true}, f.Lasts)
	case KindStoreSlow:
		c.disturbStore(objectapi.Faults{Delay: time.Duration(f.Share * float64(storeDelay))}, f.Lasts)
	case KindStoreLost:
		c.disturbStore(objectapi.Faults{LoseAnswers: 1 + int(f.Share*lostAnswers)}, time.Second)
	case KindStoreForgets:
		c.disturb(everywhere, 0, c.store.DropHistory, func() {})
	case KindStoreRestored:
		c.restoreStore(f.Lasts)
	case KindVersionRelease:
		c.release(f, stop)
	case KindLeavers:
		c.leaving.Store(true)
		time.Sleep(f.Lasts)
		c.leaving.Store(false)
	case KindReplace:
		_, second := c.options.builds()
		i.replace(second)
	case KindSlow:
		i.slowDown(f)
	case KindInstanceCut:
		c.cutOff(i, f)
	case KindBrittle:
		c.makeBrittle(f)
	case KindNamedLimit:
		c.nameLimit(f)
	default:
		c.causeAtUpstream(f)
	}
}

const (
	poisonCallers = 1000 // numbers of callers that send crashing requests begin here
	linkDelay     = 150 * time.Millisecond
	storeDelay    = 1500 * time.Millisecond
	lostAnswers   = 6
	// greyShare is the largest share of requests that a grey upstream fails.
	greyShare = 0.6
	// Configurations that change the limits have idle timeouts from shortestIdle to usualIdle, and
	// the routes have shortestRoute or the usual timeout.
	shortestIdle, usualIdle = 300 * time.Millisecond, 15 * time.Second
	shortestRoute           = 2500 * time.Millisecond
)

func (c *cluster) causeAtUpstream(f Fault) {
	s := c.station(f.Target)
	switch f.Kind {
	case KindEnginePause:
		c.pauseEngine(c.upstreams[f.Target%c.options.Engines], f.Lasts)
	case KindUpstreamCut:
		c.harm(atUpstreams, s.proxy(), heldLink(f.Share), f.Lasts)
	case KindUpstreamReset:
		c.disturb(atUpstreams, 0, s.proxy().Reset, func() {})
	case KindUpstreamSilent:
		c.disturb(atUpstreams, 0, s.proxy().Silence, func() {})
	case KindUpstreamDelay:
		c.harm(atUpstreams, s.proxy(), Link{Delay: linkDelay}, f.Lasts)
	case KindUpstreamCrash:
		c.disturb(atUpstreams, f.Lasts, func() { s.Crash() }, func() { s.Lapse(); c.restart(s) })
	case KindUpstreamLeaves:
		c.drain(s, f.Lasts)
	case KindUpstreamGrey:
		c.disturb(atUpstreams, f.Lasts, func() { s.SetFaults(upstream.Faults{FailShare: greyShare * f.Share}) }, func() { s.SetFaults(upstream.Faults{}) })
	case KindAnswersLost:
		c.disturb(atUpstreams, f.Lasts, func() { s.SetFaults(upstream.Faults{LoseShare: greyShare * f.Share}) }, func() { s.SetFaults(upstream.Faults{}) })
	case KindOrdersLate:
		c.disturb(atUpstreams, f.Lasts, func() { s.SetFaults(upstream.Faults{LateShare: f.Share}) }, func() { s.SetFaults(upstream.Faults{}) })
	case KindEntryLapses:
		c.disturb(atUpstreams, f.Lasts, s.Lapse, s.Register)
	}
}

// disturb causes a fault for a time, or for a moment, and remembers it.
func (c *cluster) disturb(subject int, lasts time.Duration, cause, lift func()) {
	c.disturbances.begin(subject, unplanned)
	defer c.disturbances.end(subject, unplanned)
	cause()
	time.Sleep(lasts)
	lift()
}

func (c *cluster) disturbStore(f objectapi.Faults, lasts time.Duration) {
	c.disturb(everywhere, lasts, func() { c.store.SetFaults(f) }, func() { c.store.SetFaults(objectapi.Faults{}) })
}

// restoreStore lets the store come back from a copy of the given age after a pause. The
// operator then writes its configuration again; upstreams do so with their next heartbeat.
func (c *cluster) restoreStore(age time.Duration) {
	backup := c.store.Backup()
	time.Sleep(age)
	c.disturbStore(objectapi.Faults{Outage: true}, restorePause)
	c.disturb(everywhere, restorePause, func() { c.store.Restore(backup) }, func() {
		c.tryConfigure()
	})
	time.Sleep(missedHeartbeats * heartbeat)
	c.removeGoneEntries()
}

// removeGoneEntries removes the entries of upstreams that ended after a copy was made, as the
// store does when their heartbeats stay away.
func (c *cluster) removeGoneEntries() {
	entries, err := c.store.List(context.Background(), platform.KindUpstreams, "")
	if err != nil {
		return // the store is away again; its next copy lacks them or the next restore removes them
	}
	stations := c.stations()
	for _, e := range entries {
		if !slices.ContainsFunc(stations, func(s *station) bool { return s.ID() == string(e.Name) && (s.IsUp() || !s.retired.Load()) }) {
			_ = c.store.Delete(context.Background(), e.Kind, e.Name, e.Version) // changed meanwhile: it lives
		}
	}
}

// missedHeartbeats is the number of heartbeats after which the store removes an entry.
const missedHeartbeats = 3

// restorePause is how long the store is away before it comes back from a copy, and how long the
// operator takes to notice that.
const restorePause = 400 * time.Millisecond

func (c *cluster) harm(subject int, p *Proxy, l Link, lasts time.Duration) {
	c.disturb(subject, lasts, func() { p.Set(l) }, func() { p.Set(Link{}) })
}

// heldLink holds one direction or both, by the strength of a fault.
func heldLink(share float64) Link {
	return Link{HoldToServer: share < 2.0/3, HoldToClient: share > 1.0/3}
}

// reload changes the settings of an instance, and tells it so by SIGHUP or not.
func (c *cluster) reload(i *instance, ratio float64, slack int, tells bool) {
	c.disturbances.begin(i.number, planned)
	defer c.disturbances.end(i.number, planned)
	if err := i.configure(ratio, slack); err != nil {
		c.ledger.violate(PromiseAlive, time.Now(), "the settings of i%d were not written: %v", i.number, err)
	}
	if tells {
		i.signal(syscall.SIGHUP, false)
	}
}

// tryConfigure sends the next configuration; a store that is away takes none.
func (c *cluster) tryConfigure() {
	if err := c.configure(); err != nil {
		c.options.Progress("seed %d: the store took no configuration: %v", c.options.Seed, err)
	}
}

// pauseEngine holds both directions of an engine's link for a time. That is no disturbance: the
// engine is sound and goes on, so that its requests must not suffer.
func (c *cluster) pauseEngine(s *station, lasts time.Duration) {
	p := s.proxy()
	p.Set(Link{HoldToServer: true, HoldToClient: true})
	time.Sleep(lasts)
	p.Set(Link{})
}

// restart starts an upstream anew unless another one has replaced it; the run goes on without
// one that does not start.
func (c *cluster) restart(s *station) {
	if s.retired.Load() {
		return
	}
	if err := s.Start(); err != nil {
		c.options.Progress("seed %d: an upstream did not start again: %v", c.options.Seed, err)
	}
}

// drain lets an upstream leave as planned: it tells so, serves on, ends and comes back unless
// another one has replaced it.
func (c *cluster) drain(s *station, lasts time.Duration) {
	id := s.ID()
	s.Drain()
	c.mu.Lock()
	c.left[id] = time.Now()
	c.mu.Unlock()
	time.Sleep(drainBound + lasts)
	if s.ID() != id {
		return // it has crashed meanwhile and is back
	}
	c.disturb(atUpstreams, 0, func() { s.Crash() }, func() { s.Lapse(); c.restart(s) })
}

package soak

import (
	"errors"
	"net/http"
	"slices"
	"strings"
	"time"

	"savoryweir/internal/standin/upstream"
)

const (
	// recoveryBound is the time after the last fault within which service is back; the
	// platform's usual bound.
	recoveryBound = 12 * time.Second
	// recoveredShare is the share of requests that is served from then on.
	recoveredShare = 0.9
	// thaw is the time after a pause in which an order that was on its way may arrive.
	thaw = 300 * time.Millisecond
	// containedRuns are the runs of a crashing request that are allowed once it has
	// crashed crashesKnown upstreams for longer than stable.
	crashesKnown  = 3
	containedRuns = 3
	// drainMargin is the time of a request's way to its upstream.
	drainMargin = 500 * time.Millisecond
	// plannedMargin is the time after planned work in which it still counts.
	plannedMargin = time.Second
	// unreadBound is the time from which a request without an answer counts as read.
	unreadBound = 200 * time.Millisecond
)

// judge checks the promises that show only over a whole run.
func (c *cluster) judge(lifted time.Time) {
	requests, runs, orders := c.ledger.all()
	c.judgeRefusals(requests, runs)
	c.judgeConfigurations(requests)
	c.judgeLeaving(runs)
	c.judgeRepeats(requests, runs)
	c.judgeOrders(orders)
	c.judgePoison(requests, runs)
	c.judgeRecovery(requests, lifted)
	c.judgeVersions(requests)
	c.judgeTakenUp(requests)
	c.judgeParts(requests, runs)
	c.judgeLimits(requests)
	c.judgeCuts(requests)
	c.judgeFalls(requests)
	c.judgeLeavers(requests, runs)
}

func (c *cluster) judgeRefusals(requests []*sent, runs map[string][]upstream.Run) {
	for _, s := range requests {
		ran := runs[s.id]
		switch s.status {
		case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
			if len(ran) > 0 && !s.repeatable {
				c.ledger.violate(PromiseNotRun, s.at, "request %s got %d from i%d and ran at %s", s.id, s.status, s.instance, ran[0].Upstream)
			}
		}
		from := s.at.Add(-stable)
		took := s.ended.Sub(s.at)
		isCut := s.err != nil && s.left.IsZero() && !errors.Is(s.err, errLinkLost) && (len(ran) > 0 || took > unreadBound) && took < s.deadline*7/10
		if !isCut || c.cuts.beganDuring(s) || c.disturbances.between(s.instance, from, s.ended, unplanned) || c.disturbances.between(everywhere, from, s.ended, unplanned) {
			continue
		}
		if c.disturbances.between(s.instance, s.at.Add(-grace-plannedMargin), s.ended, planned) {
			c.ledger.violate(PromiseGraceful, s.at, "request %s (%s) at i%d was cut: %v", s.id, s.path, s.instance, s.err)
		}
		if c.isBesideConfiguration(s) {
			c.ledger.violate(PromiseAnswered, s.at, "request %s (%s) at i%d was cut after %v: %v", s.id, s.path, s.instance, took, s.err)
		}
	}
}

// isBesideConfiguration reports whether a configuration was sent, or came into force, while a
// request was under way.
func (c *cluster) isBesideConfiguration(s *sent) bool {
	return slices.ContainsFunc(c.history(), func(v configuration) bool {
		return v.sent.Before(s.ended) && v.acknowledged.Add(configApply+plannedMargin).After(s.at)
	})
}

// judgeConfigurations checks requests on routes that come and go.
func (c *cluster) judgeConfigurations(requests []*sent) {
	for _, s := range requests {
		if s.status == 0 {
			continue
		}
		prefix := "/" + strings.SplitN(strings.TrimPrefix(s.path, "/"), "/", 2)[0] + "/"
		everPresent, alwaysPresent := c.presence(prefix, s)
		switch {
		case s.status == http.StatusNotFound && alwaysPresent:
			c.ledger.violate(PromiseConfig, s.at, "request %s on %s got 404 from i%d", s.id, prefix, s.instance)
		case s.served && !everPresent && c.disturbances.isCalm(s.instance, s.at.Add(-configApply), s.ended):
			c.ledger.violate(PromiseConfig, s.at, "request %s on %s was served by i%d after the route had gone", s.id, prefix, s.instance)
		}
	}
}

// presence tells whether a route is in any, and in all, of the configurations that may
// be in force for a request. Of an instance that is not calm, older ones may be.
func (c *cluster) presence(prefix string, s *sent) (ever, always bool) {
	calm := c.disturbances.isCalm(s.instance, s.at.Add(-configApply), s.ended)
	considered := 0
	always = true
	for n, v := range c.history() {
		next := s.ended
		if n+1 < len(c.history()) {
			next = c.history()[n+1].acknowledged
		}
		if v.sent.After(s.ended) || calm && next.Before(s.at.Add(-configApply)) {
			continue
		}
		considered++
		has := slices.Contains(v.prefixes, prefix)
		ever, always = ever || has, always && has
	}
	return ever, always && considered > 0
}

// judgeLeaving checks that upstreams that leave get no more requests.
func (c *cluster) judgeLeaving(runs map[string][]upstream.Run) {
	for id, left := range c.departures() {
		for _, list := range runs {
			for _, r := range list {
				if r.Upstream == id && r.Began.After(left.Add(drainBound+drainMargin)) && c.disturbances.isCalm(everywhere, left, r.Began) {
					c.ledger.violate(PromiseDrain, r.Began, "%s ran request %s %v after it began to leave", id, r.Request, r.Began.Sub(left))
				}
			}
		}
	}
}

// judgeRepeats counts the repeats of each service in sliding windows.
func (c *cluster) judgeRepeats(requests []*sent, runs map[string][]upstream.Run) {
	var repeats, firsts []time.Time
	for _, s := range requests {
		firsts = append(firsts, s.at)
		for n, r := range runs[s.id] {
			if n > 0 {
				repeats = append(repeats, r.Began)
			}
		}
	}
	slices.SortFunc(repeats, func(a, b time.Time) int { return a.Compare(b) })
	within := func(list []time.Time, from time.Time) int {
		n := 0
		for _, t := range list {
			if !t.Before(from) && t.Before(from.Add(retryWindow)) {
				n++
			}
		}
		return n
	}
	for _, from := range repeats {
		allowed := retryRatio*float64(max(within(firsts, from), within(firsts, from.Add(-retryWindow)))) + 2*retrySlack // two services
		if n := within(repeats, from); float64(n) > allowed {
			c.ledger.violate(PromiseRepeats, from, "%d repeats in a window, %.0f allowed", n, allowed)
			return
		}
	}
}

// judgeOrders checks turns and fences at each engine.
func (c *cluster) judgeOrders(orders []upstream.Order) {
	last := make(map[string]upstream.Order)
	for _, o := range orders {
		before, known := last[o.Upstream]
		if c.thawed(o) {
			continue
		}
		last[o.Upstream] = o
		if !known || before.Holder == o.Holder {
			continue
		}
		if o.Fence <= before.Fence || o.At.Sub(before.At) < turnGap {
			c.ledger.violate(PromiseOneHolder, o.At, "%s got an order of %s with fence %d, %v after one of %s with fence %d",
				o.Upstream, o.Holder, o.Fence, o.At.Sub(before.At), before.Holder, before.Fence)
		}
	}
}

// thawed reports whether the sender of an order had just been frozen.
func (c *cluster) thawed(o upstream.Order) bool {
	for _, i := range c.instances {
		if i.name() == o.Holder && c.disturbances.own(i.number, o.At.Add(-thaw), o.At) {
			return true
		}
	}
	return false
}

// judgePoison checks that requests that crash what runs them are contained.
func (c *cluster) judgePoison(requests []*sent, runs map[string][]upstream.Run) {
	byPath := make(map[string][]time.Time)
	for _, s := range requests {
		if strings.Contains(s.path, upstream.PoisonPath) {
			for _, r := range runs[s.id] {
				byPath[s.path] = append(byPath[s.path], r.Began)
			}
		}
	}
	for path, times := range byPath {
		slices.SortFunc(times, func(a, b time.Time) int { return a.Compare(b) })
		if len(times) <= crashesKnown {
			continue
		}
		known := times[crashesKnown-1].Add(stable)
		late := 0
		for _, t := range times {
			if t.After(known) && c.disturbances.isCalm(everywhere, times[0], t) {
				late++
			}
		}
		if late > containedRuns {
			c.ledger.violate(PromiseContained, known, "%s ran %d times once it was known to crash upstreams", path, late)
		}
	}
}

func (c *cluster) judgeRecovery(requests []*sent, lifted time.Time) {
	if c.disturbances.between(everywhere, lifted.Add(stable), time.Now(), unplanned) {
		return // the machine stalled: service need not be back yet
	}
	asked, served := 0, 0
	for _, s := range requests {
		if s.at.After(lifted.Add(recoveryBound)) && !s.crashing && !strings.HasPrefix(s.path, "/extra") && !s.ended.IsZero() && s.left.IsZero() && !errors.Is(s.err, errLinkLost) {
			asked++
			if s.served {
				served++
			}
		}
	}
	if asked == 0 || float64(served) < recoveredShare*float64(asked) {
		c.ledger.violate(PromiseRecovery, lifted, "%d of %d requests were served after the last fault", served, asked)
	}
}

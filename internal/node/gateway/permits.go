package gateway

import (
	"context"
	"net/http"
	"time"

	"savoryweir/internal/coordination/dispatch"
	"savoryweir/internal/coordination/permits"
	"savoryweir/internal/state/fleet"
	"savoryweir/platform"
)

// Permits keeps what upstreams in need name, for the requests of all instances together.
type Permits interface {
	// Impose records the value of a term that an upstream names.
	Impose(u *fleet.Upstream, t permits.Term, value float64)
	// Lift records that an upstream did not name a term in its response to a request that was sent
	// at a time.
	Lift(u *fleet.Upstream, t permits.Term, sentAt time.Time)
	// RecordRejected records that an upstream has rejected a request for want of room.
	RecordRejected(u *fleet.Upstream)
	// IsLimited reports whether an upstream has named a limit of requests.
	IsLimited(u *fleet.Upstream) bool
	// Acquire obtains a permit to send one request, and waits until it is due, for maxWait at
	// most. If it returns false, wait is the time after which there may be one.
	Acquire(ctx context.Context, u *fleet.Upstream, maxWait time.Duration) (granted bool, wait time.Duration)
}

// liftTerms ends what an upstream no longer names in its response to a request that was sent at a time.
func (g *Gateway) liftTerms(u *fleet.Upstream, r platform.Response, sentAt time.Time) {
	if r.Limit == 0 {
		g.Permits.Lift(u, permits.TermRate, sentAt)
	}
	if r.Rejections == 0 {
		g.Permits.Lift(u, permits.TermRejections, sentAt)
	}
}

// maxPermitWait is the longest wait for a permit.
const maxPermitWait = time.Second

// choosePermitted chooses one of the candidates and obtains a permit for it if it is in need. A
// request that admits does not admit is returned without a permit; nil admits all. Without an upstream
// it returns nil; isDenied then means that all had no permit left, and wait is the time until one may have.
func (c *call) choosePermitted(ctx context.Context, candidates []*fleet.Upstream, mayWait bool, admits func(*trackedRequest) bool) (tracked *trackedRequest, wait time.Duration, isDenied bool) {
	for {
		tracked, ok := c.gateway.Tracker.choose(c, candidates, c.gateway.Zone)
		if !ok {
			return nil, wait, isDenied
		}
		if admits != nil && !admits(tracked) {
			return tracked, 0, false
		}
		granted, left := c.acquirePermit(ctx, tracked, mayWait && len(candidates) == 1)
		if granted {
			return tracked, 0, false
		}
		if !isDenied || left < wait {
			wait, isDenied = left, true
		}
		candidates = without(candidates, map[fleet.UpstreamID]bool{tracked.upstream.ID: true})
	}
}

// acquirePermit obtains a permit for a request to the upstream that was chosen for it. Only where
// isLast says that no other upstream is left, it waits for one as long as the response can still be
// in time.
func (c *call) acquirePermit(ctx context.Context, tracked *trackedRequest, isLast bool) (granted bool, wait time.Duration) {
	g, u := c.gateway, tracked.upstream
	var maxWait time.Duration
	if isLast {
		maxWait = min(time.Until(c.arrivedAt.Add(c.route.TargetLatency))-tracked.expectedTTFB, maxPermitWait)
	}
	if granted, wait = g.Permits.Acquire(ctx, u, max(maxWait, 0)); !granted {
		return false, wait
	}
	listed := g.Registry.View().Get(u.ID) // the upstream may have left while the request waited
	return listed != nil && listed.StartedAt.Equal(u.StartedAt) && !listed.Draining && !g.IsPaused(u), 0
}

// withoutLimited returns the upstreams that have not named a limit. Permits are left to requests that
// no other upstream has.
func (g *Gateway) withoutLimited(upstreams []*fleet.Upstream) []*fleet.Upstream {
	var rest []*fleet.Upstream
	for _, u := range upstreams {
		if !g.Permits.IsLimited(u) {
			rest = append(rest, u)
		}
	}
	return rest
}

const reasonLimited = "upstreams take no more requests now"

// refuseLimited ends a request for which no upstream has a permit within the given time. A load of its
// model on another engine may serve the next ones.
func (c *call) refuseLimited(wait time.Duration) {
	if c.engineClass != nil && c.params.Model != "" {
		c.gateway.RequestLoad(c.service, c.params.Model, c.params.Adapter)
	}
	if !c.firstByteAt.IsZero() {
		c.abortStream(reasonLimited)
	}
	c.refuse(http.StatusServiceUnavailable, max(wait, dispatch.RetryDelay(time.Until(c.deadline))), reasonLimited)
}

package gateway

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"savoryweir/internal/coordination/dispatch"
	pace "savoryweir/internal/coordination/warmup"
	"savoryweir/internal/node/warmup"
	"savoryweir/internal/pause"
	"savoryweir/internal/state/fleet"
)

// Warmup limits the requests to upstreams that have just started or recovered, over all instances
// together.
type Warmup interface {
	// IsIdle reports whether all upstreams are warm, at no cost.
	IsIdle() bool
	// IsWarm reports whether an upstream is not limited by a window.
	IsWarm(u *fleet.Upstream) bool
	// Acquire asks for room for one request at an upstream.
	Acquire(ctx context.Context, u *fleet.Upstream, d warmup.Demand) warmup.Answer
	// Finish records what a request shows of the pace of its upstream, and gives the room back.
	Finish(s *warmup.Slot, o pace.Outcome)
}

const (
	// maxWarmupAsks bounds the upstreams at which room is asked for before a request is sent.
	maxWarmupAsks = 2
	// maxWarmupWait is the longest wait for room where no other upstream is left.
	maxWarmupWait = time.Second
	// minWarmupWait is the shortest time between two requests for room.
	minWarmupWait = 20 * time.Millisecond
	// slowAnswerFactor is the multiple of the expected time to the first byte from which an answer is
	// slow. One that takes less than slowAnswerShare of the target latency is not.
	slowAnswerFactor = 2
	slowAnswerShare  = 0.5
)

// admitWarming returns the candidates among which an upstream is chosen. Those that have just started or
// recovered are left out unless there is room for the request. A request that may be repeated goes to
// an upstream with room, so that the window finds its pace; others leave that to the choice. Without
// another upstream, the request waits for room; if wait is positive there was none.
func (c *call) admitWarming(ctx context.Context, candidates []*fleet.Upstream) (admitted []*fleet.Upstream, wait time.Duration) {
	w := c.gateway.Warmup
	if w == nil || w.IsIdle() {
		return candidates, 0
	}
	c.releaseWarmupSlot()
	end := time.Now().Add(min(time.Until(c.arrivedAt.Add(c.route.TargetLatency)), maxWarmupWait))
	for {
		warm, cold := c.splitWarm(candidates)
		if len(cold) == 0 {
			return candidates, 0
		}
		room := c.acquireWarming(ctx, warm, cold)
		switch {
		case room.becameWarm:
			continue
		case room.upstream != nil && c.route.IsRepeatable():
			return []*fleet.Upstream{room.upstream}, 0
		case room.upstream != nil:
			return append(warm, room.upstream), 0
		case len(warm) > 0:
			return warm, 0
		case room.isUnlimited || !c.firstByteAt.IsZero():
			return candidates, 0
		}
		if wait = max(room.wait, minWarmupWait); time.Now().Add(wait).After(end) || !pause.For(ctx, wait) {
			return c.giveUpWarming(candidates, wait)
		}
	}
}

// giveUpWarming returns what a request is left with that got no room. One that may not be repeated
// must not wait for the probes of others for ever.
func (c *call) giveUpWarming(candidates []*fleet.Upstream, wait time.Duration) ([]*fleet.Upstream, time.Duration) {
	if !c.route.IsRepeatable() {
		return candidates, 0
	}
	return nil, wait
}

func (c *call) splitWarm(candidates []*fleet.Upstream) (warm, cold []*fleet.Upstream) {
	for _, u := range candidates {
		if c.gateway.Warmup.IsWarm(u) {
			warm = append(warm, u)
		} else {
			cold = append(cold, u)
		}
	}
	return warm, cold
}

// warmingRoom is the result of asking for room.
type warmingRoom struct {
	upstream    *fleet.Upstream // has room; nil if none has
	becameWarm  bool            // an upstream needs no window any more
	isUnlimited bool            // the owner of an upstream is silent
	wait        time.Duration   // until there may be room
}

// acquireWarming asks for room at some of the cold upstreams.
func (c *call) acquireWarming(ctx context.Context, warm, cold []*fleet.Upstream) warmingRoom {
	room := warmingRoom{}
	usual := 0.0
	if c.route.Kind != fleet.KindStream { // streams stay in flight after their first byte
		usual = c.gateway.meanInFlight(warm)
	}
	rand.Shuffle(len(cold), func(i, j int) { cold[i], cold[j] = cold[j], cold[i] })
	for _, u := range cold[:min(len(cold), maxWarmupAsks)] {
		if len(warm) > 0 && !c.isExpectedInTime(u) {
			continue
		}
		answer := c.gateway.Warmup.Acquire(ctx, u, warmup.Demand{Repeatable: c.route.IsRepeatable(), Usual: usual})
		switch {
		case answer.Slot != nil:
			c.setWarmupSlot(answer.Slot)
			room.upstream = u
			return room
		case answer.IsWarm:
			room.becameWarm = true
			return room
		case answer.IsSilent:
			room.isUnlimited = true
		case room.wait == 0 || answer.Wait < room.wait:
			room.wait = answer.Wait
		}
	}
	return room
}

// isExpectedInTime reports whether admission would let the request go to an upstream.
func (c *call) isExpectedInTime(u *fleet.Upstream) bool {
	if c.route.Kind != fleet.KindStream {
		return true
	}
	tracked, ok := c.gateway.Tracker.choose(c, []*fleet.Upstream{u}, c.gateway.Zone)
	return ok && dispatch.Admit(tracked.expectedTTFB, c.patience()).Admitted
}

// meanInFlight returns the mean number of requests that all instances have in flight at some upstreams.
func (g *Gateway) meanInFlight(upstreams []*fleet.Upstream) float64 {
	if len(upstreams) == 0 {
		return 0
	}
	sum := 0
	for _, u := range upstreams {
		sum += g.Tracker.EstimatedLoad(u.ID).Running
	}
	return float64(sum) / float64(len(upstreams))
}

// withoutWarming returns the upstreams that are not limited by a window, or all if there are none: a
// request that another upstream has already is no probe.
func (c *call) withoutWarming(upstreams []*fleet.Upstream) []*fleet.Upstream {
	if w := c.gateway.Warmup; w == nil || w.IsIdle() {
		return upstreams
	}
	if warm, _ := c.splitWarm(upstreams); len(warm) > 0 {
		return warm
	}
	return upstreams
}

// releaseWarmupSlot gives room back that the request no longer needs.
func (c *call) releaseWarmupSlot() {
	if slot := c.takeWarmupSlot(""); slot != nil {
		c.gateway.Warmup.Finish(slot, pace.OutcomeUnknown)
	}
}

// takeWarmupSlot returns the room that the request has at an upstream, or anywhere if id is empty, nil if
// it has none. Only one call returns it.
func (c *call) takeWarmupSlot(id fleet.UpstreamID) *warmup.Slot {
	c.mu.Lock()
	defer c.mu.Unlock()
	slot := c.warmupSlot
	if slot == nil || id != "" && slot.Upstream() != id {
		return nil
	}
	c.warmupSlot = nil
	return slot
}

func (c *call) setWarmupSlot(s *warmup.Slot) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.warmupSlot = s
}

// keepWarmupSlot gives room back unless it is at the upstream that was chosen, which is nil if none was.
func (c *call) keepWarmupSlot(chosen *trackedRequest) {
	c.mu.Lock()
	isKept := chosen != nil && c.warmupSlot != nil && c.warmupSlot.Upstream() == chosen.upstream.ID
	c.mu.Unlock()
	if !isKept {
		c.releaseWarmupSlot()
	}
}

// reportWarmup records what an attempt shows of the pace of its upstream, if that is warming up.
func (c *call) reportWarmup(a *attempt, isFailure bool) {
	slot := c.takeWarmupSlot(a.tracked.upstream.ID)
	if slot == nil {
		return
	}
	outcome := pace.OutcomeInTime
	switch {
	case isFailure:
		outcome = pace.OutcomeFailed
	case c.isSlowAnswer(time.Since(a.tracked.startedAt), time.Duration(float64(a.tracked.expectedTTFB)/max(a.tracked.lateness, 1))):
		outcome = pace.OutcomeSlow
	}
	c.gateway.Warmup.Finish(slot, outcome)
}

// isSlowAnswer reports whether the first byte of a response has come later than it may from an upstream
// at its pace.
func (c *call) isSlowAnswer(took, expected time.Duration) bool {
	return took > slowAnswerFactor*expected && float64(took) > slowAnswerShare*float64(c.route.TargetLatency)
}

// reportFailedWarmup records a failed attempt, unless the caller or this instance's own path is the cause.
func (c *call) reportFailedWarmup(a *attempt) {
	hasFailed := a.failure != failureNone || a.exchange.Response.StatusCode >= http.StatusInternalServerError
	if !hasFailed || a.failure == failureCanceled || c.callerDisconnected() || c.gateway.IsCutOff() {
		return
	}
	if a.exchange != nil && a.exchange.Response.StatusCode == http.StatusMisdirectedRequest {
		return // the upstream lacks the model, which says nothing of its pace
	}
	c.reportWarmup(a, true)
}

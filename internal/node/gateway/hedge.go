package gateway

import (
	"context"
	"errors"
	"sync"
	"time"
)

var (
	errStalled        = errors.New("no event from the engine within the stall timeout")
	errAttemptTimeout = errors.New("no response from the upstream within the attempt timeout")
	errResponded      = errors.New("the former upstream responded after all")
)

const (
	// hedgeRecheckInterval is the interval at which a second send that was not possible is
	// tried again: the retry budget and the engines change within a fraction of a second.
	hedgeRecheckInterval = 200 * time.Millisecond
	// maxOverlap is how long two upstreams may have the request. An upstream that refuses it does
	// so sooner. It is short because an engine must stop soon after another one has begun.
	maxOverlap = 250 * time.Millisecond
)

// hedge sends a request to another upstream as well while that of the present attempt is silent.
// Since a sound upstream may be silent for a while and another one may refuse, the present
// attempt ends only when the other one has begun to respond or has had the request for
// maxOverlap. If the present one responds before, it goes on.
type hedge struct {
	call    *call
	ctx     context.Context // of the request
	present *attempt
	rules   hedgeRules

	mu       sync.Mutex    // guards the fields below
	timer    *time.Timer   // nil if the request can't be sent again
	silence  int           // number of the current silence; it rises with each sign of the upstream
	left     int           // sends that the route still allows
	isDenied bool          // the latest retry was denied
	isPaused bool          // the gateway is forwarding, so that silence proves nothing
	isOver   bool          // the present attempt has ended or was given up
	hasEnded bool          // end was called
	next     *attempt      // sent, or being sent, to the other upstream
	settled  chan struct{} // closed when the result of next is known; nil before the first one
}

// hedgeRules hold what differs between the kinds of requests.
type hedgeRules struct {
	first, gap time.Duration // silence after which the request is sent again, at first and later
	cause      error         // with which the present attempt ends
	// choose chooses the upstream that continues the request, nil if there is none. hasBegun
	// means that a part of the response has been forwarded.
	choose func(hasBegun bool) *trackedRequest
	// accepts reports whether a response continues the request.
	accepts func(*attempt) bool
}

// startHedge watches an attempt. The caller has to call end after the attempt. Requests that
// can't be repeated, or have no attempt left, are not hedged.
func (c *call) startHedge(ctx context.Context, present *attempt, rules hedgeRules) *hedge {
	h := &hedge{call: c, ctx: ctx, present: present, rules: rules, left: c.attemptsLeftBeside(present)}
	if !c.route.IsRepeatable() || h.left <= 0 || rules.first <= 0 {
		return h
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.timer = time.AfterFunc(rules.first, h.expire)
	return h
}

// pause records a sign of the upstream and stops the timer until resume is called. It returns
// false if the attempt has been given up, so that what has arrived must not be forwarded.
func (h *hedge) pause() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.isOver {
		return false
	}
	h.isPaused = true
	h.silence++
	if h.timer != nil {
		h.timer.Stop()
	}
	if h.next != nil {
		h.next.cancel(errResponded)
	}
	return true
}

// resume starts the timer again after pause.
func (h *hedge) resume() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.isPaused = false
	if h.timer != nil {
		h.timer.Reset(h.rules.gap)
	}
}

// expire tries to send the request to another upstream. It runs beside the present attempt.
func (h *hedge) expire() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.isOver || h.isPaused || h.next != nil || h.left <= 0 {
		return
	}
	if !h.present.isSilent {
		h.present.isSilent = true
		h.present.tracked.recordUnserved()
	}
	silence, resumeAfter, hasBegun := h.silence, h.call.lastEventID, !h.call.firstByteAt.IsZero()
	h.mu.Unlock()
	tracked := h.rules.choose(hasBegun)
	isGranted := tracked != nil && h.acquireRetry()
	h.mu.Lock()
	switch {
	case h.isOver || silence != h.silence:
		return
	case !isGranted:
		h.timer.Reset(hedgeRecheckInterval)
		return
	}
	h.next, h.settled = h.call.newAttempt(h.ctx, tracked), make(chan struct{})
	h.next.settled = h.settled
	go h.send(h.next, silence, resumeAfter)
}

// acquireRetry takes a retry from the budget unless the request has one already.
func (h *hedge) acquireRetry() bool {
	c := h.call
	isGranted := !c.callerDisconnected() && c.acquireHedgeRetry(h.present)
	if isGranted || !h.isDenied {
		c.logRetryDecision(h.rules.cause.Error(), c.sendCount(), isGranted)
	}
	h.isDenied = !isGranted
	return isGranted
}

// send sends the request to the other upstream, and gives the present attempt up if that one
// continues the request. The same upstream may have the request twice for longer than another:
// its new connection shows whether only the former one has gone silent.
func (h *hedge) send(next *attempt, silence int, resumeAfter string) {
	if next.tracked.upstream.ID != h.present.tracked.upstream.ID {
		defer time.AfterFunc(maxOverlap, h.giveUpPresent).Stop()
	}
	h.call.send(next, resumeAfter)
	h.mu.Lock()
	defer h.mu.Unlock()
	defer close(h.settled)
	switch {
	case next.failure == failureNone && h.rules.accepts(next) && context.Cause(next.ctx) == nil:
		h.endPresent()
		return
	case h.present.isGivenUp:
		return // nothing is left to go on with, so that this failure counts
	}
	next.discard()
	h.next = nil
	if next.failure != failureConnect && next.failure != failureCanceled {
		h.left--
	}
	if !h.isOver && silence == h.silence && h.left > 0 {
		h.timer.Reset(hedgeRecheckInterval)
	}
}

// giveUpPresent ends the present attempt although the other upstream has not responded yet.
func (h *hedge) giveUpPresent() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.next != nil && context.Cause(h.next.ctx) == nil {
		h.endPresent()
	}
}

// endPresent gives the present attempt up unless it has ended. The caller holds h.mu.
func (h *hedge) endPresent() {
	if !h.isOver {
		h.isOver, h.present.isGivenUp = true, true
		h.call.recordGivenUp(h.present.tracked.upstream.ID)
		h.present.cancel(h.rules.cause)
	}
}

// end ends the hedge after the present attempt. Unless that was served, end returns the
// attempt at the other upstream, nil if there is none. If the present attempt was given up, the
// result of the other one may not be known yet. Only the first call has an effect.
func (h *hedge) end(isServed bool) *attempt {
	settled := h.stop(isServed)
	if settled != nil {
		<-settled
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.hasEnded {
		return nil
	}
	h.hasEnded = true
	if h.next != nil && isServed {
		h.next.discard()
		return nil
	}
	return h.next
}

// stop keeps the hedge from sending the request again, and returns a channel that is closed
// when the result of the last send is known, nil if there was none or nothing has to wait for it.
func (h *hedge) stop(isServed bool) <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.isOver = true
	if h.timer != nil {
		h.timer.Stop()
	}
	if h.hasEnded || h.present.isGivenUp && !isServed {
		return nil
	}
	if h.next != nil && isServed {
		h.next.cancel(errResponded)
	}
	return h.settled
}

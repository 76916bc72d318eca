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
)

// handoverRecheckInterval is the interval at which a silent attempt that can't be handed over
// is checked again: the retry budget and the engines change within a fraction of a second.
const handoverRecheckInterval = 100 * time.Millisecond

// handoverTimer ends an attempt whose upstream is silent, but only after the request has been
// granted a retry and another attempt is possible. Until then the attempt goes on, because a
// sound upstream may be silent for a while.
type handoverTimer struct {
	call   *call
	cancel context.CancelCauseFunc // ends the attempt
	cause  error
	gap    time.Duration // silence after which the attempt is handed over
	sends  int           // sends of the request, this attempt included

	mu      sync.Mutex // guards the fields below
	timer   *time.Timer
	denied  bool // a retry was denied before
	granted bool // the attempt was ended and may be repeated
	stopped bool
}

// startHandoverTimer starts a timer for an attempt that cancel ends. The upstream may be silent
// for first, and for gap after each reset. It returns nil, which is a timer that never
// expires, if the request can't be repeated or has no attempt left.
func (c *call) startHandoverTimer(cancel context.CancelCauseFunc, cause error, first, gap time.Duration) *handoverTimer {
	if !c.route.IsRepeatable() || c.attempts+1 >= c.route.MaxAttempts {
		return nil
	}
	t := &handoverTimer{call: c, cancel: cancel, cause: cause, gap: gap, sends: c.attempts + 1}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.timer = time.AfterFunc(first, t.expire)
	return t
}

// expire ends the attempt if the request may be sent again.
func (t *handoverTimer) expire() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.stopped {
		return
	}
	if !t.acquireRetry() {
		t.timer.Reset(handoverRecheckInterval)
		return
	}
	t.granted = true
	t.cancel(t.cause)
}

// acquireRetry takes a retry from the budget if an upstream could serve it. It runs beside
// the attempt, so that it reads only what the attempt does not change.
func (t *handoverTimer) acquireRetry() bool {
	c := t.call
	if c.callerDisconnected() || time.Until(c.deadline) < minAttemptTime {
		return false
	}
	usable := c.usableEngines(c.params.Model, c.params.Adapter)
	if available, _ := c.gateway.pauses.available(usable); len(available) == 0 {
		return false
	}
	allowed := c.gateway.spendRetry(c.service)
	if allowed || !t.denied {
		c.logRetryDecision(t.cause.Error(), t.sends, allowed)
	}
	t.denied = !allowed
	return allowed
}

// reset restarts the timer after the upstream has sent something.
func (t *handoverTimer) reset() {
	if t != nil {
		t.timer.Reset(t.gap)
	}
}

// stop stops the timer. It returns true if the timer has ended the attempt and the request has
// been granted a retry.
func (t *handoverTimer) stop() bool {
	if t == nil {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stopped = true
	t.timer.Stop()
	return t.granted
}

// endHandover stops the timer of an attempt. It returns true if the timer has ended the
// attempt, so that the request has to be sent again.
func (c *call) endHandover(t *handoverTimer) bool {
	handedOver := t.stop()
	if handedOver {
		c.retryGranted = true
	}
	return handedOver
}

package entry

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"savoryweir/internal/coordination/admission"
	"savoryweir/internal/coordination/routing"
	"savoryweir/internal/coordination/suspect"
	"savoryweir/internal/state/bundle"
)

// queueRefusedError reports that the admission queue refused a request.
type queueRefusedError struct{ refusal admission.Refusal }

// Error implements the error interface.
func (e *queueRefusedError) Error() string {
	return fmt.Sprintf("admission queue refused the request: %s", e.refusal.Reason)
}

// errSuspectRefused reports that a request is not sent because processes of upstreams ended while they ran it.
var errSuspectRefused = errors.New("processes of upstreams ended while they ran the request")

// waiter is a queued request that waits for an upstream.
type waiter struct {
	id     admission.RequestID
	call   *call
	result chan grant // receives exactly one grant unless the waiter was cancelled
}

// grant is the result of a wait: an attempt, or the error that ended the wait.
type grant struct {
	attempt *attempt
	err     error
}

// acquire waits until an upstream is assigned to the call. It returns an error when the call's
// deadline can no longer be met, when the queue's maximum wait has passed, or when ctx ends.
func (t *upstreamTable) acquire(ctx context.Context, now func() time.Time, c *call) (*attempt, error) {
	w, err := t.enqueue(now(), c)
	if err != nil {
		return nil, err
	}
	timer := time.NewTimer(t.settings.Queue.MaxWait)
	defer timer.Stop()
	select {
	case g := <-w.result:
		return g.attempt, g.err
	case <-timer.C:
		err = routing.ErrNoUpstream
	case <-ctx.Done():
		err = context.Cause(ctx)
	}
	if t.cancel(w) {
		return nil, err
	}
	g := <-w.result
	if g.attempt != nil {
		t.release(now(), g.attempt, attemptResult{abandoned: true})
	}
	return nil, err
}

// enqueue offers the call to the queue of its service and dispatches the requests that can be sent now.
func (t *upstreamTable) enqueue(now time.Time, c *call) (*waiter, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.suspects.Decide(now, c.suspectID()).Verdict == suspect.Refuse {
		return nil, errSuspectRefused
	}
	s := t.service(c)
	t.nextID++
	request := admission.Request{
		ID: t.nextID, Caller: c.caller, Class: c.request.Class, Deadline: c.request.Deadline,
		ExpectedDuration: t.expectedDuration(now, s, c),
	}
	if refusal, ok := s.queue.Offer(now, request); !ok {
		return nil, &queueRefusedError{refusal}
	}
	w := &waiter{id: request.ID, call: c, result: make(chan grant, 1)}
	s.waiters[w.id] = w
	t.dispatch(now, s)
	return w, nil
}

// cancel removes a request from the queue and reports whether it was still waiting.
func (t *upstreamTable) cancel(w *waiter) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.service(w.call)
	delete(s.waiters, w.id)
	return s.queue.Cancel(w.id)
}

// dispatch assigns upstreams to waiting requests while there is capacity. The caller holds mu.
func (t *upstreamTable) dispatch(now time.Time, s *serviceState) {
	capacity := t.serviceCapacity(s)
	for s.queue.Len() > 0 {
		var g grant
		assign := func(r admission.Request) bool {
			g = t.assignUpstream(now, s.waiters[r.ID])
			return g != grant{}
		}
		request, ok := s.queue.Take(now, capacity, assign)
		if !ok {
			return
		}
		if g.err != nil {
			s.queue.Done(request.ID)
		} else {
			capacity.Free--
		}
		w := s.waiters[request.ID]
		w.call.queueID = request.ID
		w.result <- g
		delete(s.waiters, request.ID)
	}
}

// serviceCapacity returns the total and the free capacity of the service's upstreams that are
// up, in requests. The caller holds mu.
func (t *upstreamTable) serviceCapacity(s *serviceState) admission.Capacity {
	var total admission.Capacity
	for _, w := range s.waiters {
		for _, u := range w.call.view.upstreams[w.call.service.Name] {
			state := t.state(u.ID)
			if !state.downSince.IsZero() {
				continue
			}
			used := max(state.load.Running+state.load.Waiting+state.sentSinceReport, len(state.attempts))
			total.Total += state.limiter.Limit()
			total.Free += max(state.limiter.Limit()-used, 0)
		}
		total.Instances = w.call.view.Instances
		break
	}
	return total
}

// assignUpstream picks an upstream for a waiting request. It refuses the request if processes of
// upstreams ended under it meanwhile, and returns an empty grant if no upstream has capacity.
// The caller holds mu.
func (t *upstreamTable) assignUpstream(now time.Time, w *waiter) grant {
	c := w.call
	decision := t.suspects.Decide(now, c.suspectID())
	if decision.Verdict == suspect.Refuse {
		return grant{err: errSuspectRefused}
	}
	if decision.Verdict == suspect.Hold {
		return grant{}
	}
	candidates := t.candidates(now, c)
	if decision.Verdict != suspect.Run {
		t.excludeForSuspect(now, decision, candidates)
	}
	id, ok := t.pickUpstream(now, c, candidates)
	if !ok {
		return grant{}
	}
	return grant{attempt: t.startAttempt(now, c, id)}
}

// startAttempt returns a new attempt of the call at an upstream. The caller holds mu.
func (t *upstreamTable) startAttempt(now time.Time, c *call, id bundle.UpstreamID) *attempt {
	state := t.state(id)
	a := &attempt{upstream: c.view.byID[id], call: c, started: now, newConnection: id == c.reconnectUpstream, inFlightAtStart: len(state.attempts)}
	c.reconnectUpstream = ""
	state.attempts[a] = struct{}{}
	state.sentSinceReport++
	t.suspects.AttemptStarted(c.suspectID(), id)
	return a
}

// excludeForSuspect marks the candidates that a suspect request must not run on as ejected. The caller holds mu.
func (t *upstreamTable) excludeForSuspect(now time.Time, d suspect.Decision, candidates []routing.Candidate) {
	for i, c := range candidates {
		outside := len(d.AllowedUpstreams) > 0 && !slices.Contains(d.AllowedUpstreams, c.Upstream)
		if outside || slices.Contains(d.ExcludedUpstreams, c.Upstream) || t.suspects.RunsSuspect(now, c.Upstream) {
			candidates[i].Ejected = true
		}
	}
}

// pickUpstream picks an upstream for the call. It prefers the upstream whose connection broke
// under the call, so that only the connection is replaced. It falls back to upstreams that were
// excluded after a fault if no other one is left. The caller holds mu.
func (t *upstreamTable) pickUpstream(now time.Time, c *call, candidates []routing.Candidate) (bundle.UpstreamID, bool) {
	if c.reconnectUpstream != "" && isUsable(c, candidates, c.reconnectUpstream) {
		return c.reconnectUpstream, true
	}
	id, err := t.picker.Pick(now, c.request, candidates)
	if err != nil && len(c.request.Excluded) > 0 {
		unrestricted := c.request
		unrestricted.Excluded = nil
		id, err = t.picker.Pick(now, unrestricted, candidates)
	}
	return id, err == nil
}

// isUsable reports whether the upstream is among the candidates that can take the call now.
func isUsable(c *call, candidates []routing.Candidate, id bundle.UpstreamID) bool {
	return slices.ContainsFunc(routing.Usable(c.request, candidates), func(u routing.Candidate) bool { return u.Upstream == id })
}

// slowCallFactor is the multiple of a plain call's usual duration after which a missed deadline
// counts as a fault of the upstream.
const slowCallFactor = 5

// attemptResult is the result of one attempt.
type attemptResult struct {
	abandoned      bool // nothing was sent, or the caller disconnected
	failed         bool
	deadlineMissed bool // the caller's deadline passed
	overloaded     bool // the upstream refused the request because it is full
	tokens         int  // number of events of a stream
}

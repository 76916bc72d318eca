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

// refusedError reports that the queue refused a request.
type refusedError struct{ refusal admission.Refusal }

// Error implements the error interface.
func (e *refusedError) Error() string { return fmt.Sprintf("request refused: %s", e.refusal.Reason) }

// errSuspect reports that a request is not sent because upstreams died under it.
var errSuspect = errors.New("upstreams died under the request")

// waiter is a request that waits for an upstream.
type waiter struct {
	id     admission.RequestID
	call   *call
	result chan grant // takes exactly one grant unless the waiter was cancelled
}

// grant is the end of a wait.
type grant struct {
	flight *flight
	err    error
}

// acquire waits for an upstream until the call's deadline can't be met, the
// queue's longest wait has passed, or ctx ends.
func (t *upstreamTable) acquire(ctx context.Context, now func() time.Time, c *call) (*flight, error) {
	w, err := t.enqueue(now(), c)
	if err != nil {
		return nil, err
	}
	timer := time.NewTimer(t.settings.Queue.MaxWait)
	defer timer.Stop()
	select {
	case g := <-w.result:
		return g.flight, g.err
	case <-timer.C:
		err = routing.ErrNoUpstream
	case <-ctx.Done():
		err = context.Cause(ctx)
	}
	if t.cancel(w) {
		return nil, err
	}
	g := <-w.result
	if g.flight != nil {
		t.release(now(), g.flight, attemptResult{abandoned: true})
	}
	return nil, err
}

// enqueue admits the call and dispatches what can be sent now.
func (t *upstreamTable) enqueue(now time.Time, c *call) (*waiter, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.suspects.Decide(now, c.suspectID()).Verdict == suspect.Refuse {
		return nil, errSuspect
	}
	s := t.service(c)
	t.nextID++
	request := admission.Request{
		ID: t.nextID, Caller: c.caller, Class: c.request.Class, Deadline: c.request.Deadline,
		ExpectedDuration: t.expect(now, s, c),
	}
	if refusal, ok := s.queue.Offer(now, request); !ok {
		return nil, &refusedError{refusal}
	}
	w := &waiter{id: request.ID, call: c, result: make(chan grant, 1)}
	s.waiters[w.id] = w
	t.dispatch(now, s)
	return w, nil
}

// cancel removes a waiting request and reports whether it still waited.
func (t *upstreamTable) cancel(w *waiter) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.service(w.call)
	delete(s.waiters, w.id)
	return s.queue.Cancel(w.id)
}

// dispatch gives upstreams to waiting requests while there is room. The caller holds mu.
func (t *upstreamTable) dispatch(now time.Time, s *serviceState) {
	places := t.places(s)
	for s.queue.Len() > 0 {
		var g grant
		place := func(r admission.Request) bool {
			g = t.place(now, s.waiters[r.ID])
			return g != grant{}
		}
		request, ok := s.queue.Take(now, places, place)
		if !ok {
			return
		}
		if g.err != nil {
			s.queue.Done(request.ID)
		} else {
			places.Free--
		}
		w := s.waiters[request.ID]
		w.call.queueID = request.ID
		w.result <- g
		delete(s.waiters, request.ID)
	}
}

// places returns the places of the service's upstreams. The caller holds mu.
func (t *upstreamTable) places(s *serviceState) admission.Capacity {
	var p admission.Capacity
	for _, w := range s.waiters {
		for _, u := range w.call.view.upstreams[w.call.service.Name] {
			state := t.state(u.ID)
			if !state.downSince.IsZero() {
				continue
			}
			used := max(state.load.Running+state.load.Waiting+state.sent, len(state.flights))
			p.Total += state.limiter.Limit()
			p.Free += max(state.limiter.Limit()-used, 0)
		}
		p.Instances = w.call.view.Instances
		break
	}
	return p
}

// place picks an upstream for a waiting request, or refuses it when upstreams
// died under it meanwhile. It returns an empty grant when there is no room. The caller holds mu.
func (t *upstreamTable) place(now time.Time, w *waiter) grant {
	c := w.call
	decision := t.suspects.Decide(now, c.suspectID())
	if decision.Verdict == suspect.Refuse {
		return grant{err: errSuspect}
	}
	if decision.Verdict == suspect.Hold {
		return grant{}
	}
	candidates := t.candidates(now, c)
	if decision.Verdict != suspect.Run {
		t.isolate(now, decision, candidates)
	}
	id, ok := t.pick(now, c, candidates)
	if !ok {
		return grant{}
	}
	state := t.state(id)
	f := &flight{upstream: c.view.byID[id], call: c, started: now, fresh: id == c.sameUpstream, beside: len(state.flights)}
	c.sameUpstream = ""
	state.flights[f] = struct{}{}
	state.sent++
	t.suspects.AttemptStarted(c.suspectID(), id)
	return grant{flight: f}
}

// isolate marks the upstreams that a suspect must not run on as ejected. The caller holds mu.
func (t *upstreamTable) isolate(now time.Time, d suspect.Decision, candidates []routing.Candidate) {
	for i, c := range candidates {
		outside := len(d.AllowedUpstreams) > 0 && !slices.Contains(d.AllowedUpstreams, c.Upstream)
		if outside || slices.Contains(d.ExcludedUpstreams, c.Upstream) || t.suspects.RunsSuspect(now, c.Upstream) {
			candidates[i].Ejected = true
		}
	}
}

// pick prefers the upstream whose connection broke under the call, so that the
// connection alone is replaced. Upstreams left out for a fault come back when no
// other one is left. The caller holds mu.
func (t *upstreamTable) pick(now time.Time, c *call, candidates []routing.Candidate) (bundle.UpstreamID, bool) {
	if c.sameUpstream != "" && usable(c, candidates, c.sameUpstream) {
		return c.sameUpstream, true
	}
	id, err := t.picker.Pick(now, c.request, candidates)
	if err != nil && len(c.request.Excluded) > 0 {
		again := c.request
		again.Excluded = nil
		id, err = t.picker.Pick(now, again, candidates)
	}
	return id, err == nil
}

func usable(c *call, candidates []routing.Candidate, id bundle.UpstreamID) bool {
	return slices.ContainsFunc(routing.Usable(c.request, candidates), func(u routing.Candidate) bool { return u.Upstream == id })
}

// lateFactor is how many times the usual time of a plain call may pass before a
// missed deadline counts against the upstream.
const lateFactor = 5

// attemptResult is the end of one send.
type attemptResult struct {
	abandoned bool // nothing was sent, or the caller left
	failed    bool
	late      bool // the caller's deadline passed
	refused   bool // by the upstream, for load
	tokens    int  // of a stream
}

package gateway

import (
	"context"
	"errors"
	"net/http"
	"time"

	"savoryweir/internal/coordination/dispatch"
	"savoryweir/internal/node/registry"
	"savoryweir/internal/transport/upstreamconn"
	"savoryweir/platform"
)

// attempt is one send of the request to an upstream, with its result.
type attempt struct {
	ctx       context.Context
	cancel    context.CancelCauseFunc // ends the attempt
	tracked   *trackedRequest
	isRetry   bool            // the attempt uses the retry that the request was granted; guarded by the mutex of the call
	isCounted bool            // its result was counted; guarded by the mutex of the call
	settled   <-chan struct{} // closed when the fields below hold the result; nil if the attempt is not sent by a hedge
	exchange  *upstreamconn.Exchange
	response  platform.Response
	failure   failureKind
	err       error
	isSilent  bool // the upstream has been silent for longer than the route allows
	isGivenUp bool // another upstream continues the request
}

// newAttempt returns an attempt that has not been sent.
func (c *call) newAttempt(ctx context.Context, tracked *trackedRequest) *attempt {
	c.mu.Lock()
	defer c.mu.Unlock()
	a := &attempt{tracked: tracked, isRetry: c.retryGranted}
	a.ctx, a.cancel = context.WithCancelCause(ctx)
	return a
}

// discard releases the resources of an attempt whose response is not needed.
func (a *attempt) discard() {
	if a.failure == failureNone {
		a.tracked.finish()
		a.exchange.Close()
	}
	a.cancel(nil)
}

// failureKind classifies the result of an attempt by what the upstream may have done.
type failureKind uint8

const (
	failureNone          failureKind = iota
	failureConnect                   // no part of the request was sent
	failureNotExecuted               // the upstream responded that it did not execute the request
	failureIndeterminate             // the request may have been executed
	failureCanceled                  // the context ended, or the caller disconnected, before the request was sent
)

// String returns the value used in metric labels and log fields.
func (k failureKind) String() string {
	return [...]string{"answered", "no connection", "not run", "lost", "ended"}[k]
}

// sendOrAwait sends the request to an upstream, or waits for the result if a hedge does so.
func (c *call) sendOrAwait(a *attempt, resumeAfter string) {
	if a.settled != nil {
		<-a.settled
		return
	}
	c.send(a, resumeAfter)
}

// send sends the request to an upstream and reads the status and headers of the response.
// A stream is resumed after the event resumeAfter unless that is empty. On failure, the
// exchange is closed and the tracked request finished.
func (c *call) send(a *attempt, resumeAfter string) {
	g, upstream := c.gateway, a.tracked.upstream
	c.markTried(upstream.ID)
	left := time.Until(c.deadline)
	header := platform.ForwardHeaders(c.request.Header, platform.Attempt{
		Upstream: string(upstream.ID), Remaining: left, Urgency: c.urgency(), LastEventID: resumeAfter, Identity: c.identity(),
	})
	c.recordFairAdmission()
	a.tracked.start()
	g.Log.Info().Str("event", "request.sent").Str("request", c.params.ID).Str("upstream", string(upstream.ID)).
		Uint64("config", c.configVersion).Stringer("entry", upstream.EntryVersion).Str("model", c.params.Model).Str("adapter", c.params.Adapter).
		Dur("expected", a.tracked.expectedTTFB).Dur("unread", a.tracked.pendingPrefillAhead).Int("running", a.tracked.runningAtStart).Float64("slow", a.tracked.slowdown).Float64("utilization", a.tracked.outlook.Utilization).Dur("gap", a.tracked.outlook.Gap).Dur("others_gap", a.tracked.outlook.OthersGap).Float64("fails", a.tracked.failureRate).
		Str("software", upstream.SoftwareVersion).Str("resumes", c.params.ResumedID).Str("resume_after", resumeAfter).Dur("left", left).Msg("sending request to upstream")
	a.exchange, a.err = g.Pool.Do(a.ctx, upstreamconn.Request{
		Address: upstream.Address, Method: c.request.Method, Target: c.requestURI, Host: c.request.Host,
		Header: header, Body: c.body, AtMostOnce: !c.route.IsRepeatable(), IsAbandoned: c.callerDisconnected,
	})
	if a.err != nil {
		a.failure = classifyError(a.ctx, a.err)
		if a.failure == failureIndeterminate {
			g.Metrics.CountBreak(breakCause(a.ctx))
		}
	} else {
		g.ObserveResponse(upstream, a.exchange.Response.StatusCode, a.exchange.Response.Header)
		a.response = platform.DecodeResponse(a.exchange.Response.StatusCode, a.exchange.Response.Header)
		a.tracked.recordPace(a.response.Load.Slowness)
		a.failure = c.checkResponse(a)
		if a.failure == failureNone && a.response.Signed {
			g.liftTerms(upstream, a.response, a.tracked.startedAt)
		}
	}
	c.recordAttempt(a)
}

// urgency returns the urgency that engines schedule the request by, derived from its rank, or
// -1 for services without engines, which take none.
func (c *call) urgency() int {
	if c.engineClass == nil {
		return -1
	}
	return min(c.rank()*urgencyPerRank, platform.MaxUrgency)
}

// rank returns the rank at which engines serve the request.
func (c *call) rank() int { return dispatch.Rank(c.priority(), c.route.TargetLatency) }

// priority returns the priority of the customer or, if it has none, of the route.
func (c *call) priority() int {
	if c.customer != nil && c.customer.Priority != nil {
		return *c.customer.Priority
	}
	return c.route.Priority
}

// urgencyPerRank spreads the ranks over the range of urgency values.
const urgencyPerRank = 2

// classifyError returns the kind of failure for an error of an exchange. An error that
// does not tell whether the request was sent counts as sent.
func classifyError(ctx context.Context, err error) failureKind {
	var connFailure *upstreamconn.Failure
	sent := !errors.As(err, &connFailure) || connFailure.MaybeSent
	switch {
	case !sent && (ctx.Err() != nil || errors.Is(err, upstreamconn.ErrAbandoned)):
		return failureCanceled
	case !sent:
		return failureConnect
	default:
		return failureIndeterminate
	}
}

// breakCause returns the metric label for the cause of an exchange that ended without a
// complete response. ctx is the context of the attempt.
func breakCause(ctx context.Context) string {
	cause := context.Cause(ctx)
	switch {
	case cause == nil:
		return "upstream"
	case errors.Is(cause, errStalled), errors.Is(cause, errAttemptTimeout):
		return "silence"
	case errors.Is(cause, errDeadlineExceeded):
		return "deadline"
	default:
		return "canceled"
	}
}

// checkResponse reports by status and headers whether a response belongs to the request
// and may be forwarded. Only its ID ties it to the request, refusals too: an upstream may repeat an
// earlier one. A success must be signed and its body not be encoded on the way.
func (c *call) checkResponse(a *attempt) failureKind {
	switch {
	case a.response.RequestID != c.params.ID:
		a.err = errForeignResponse
		return failureIndeterminate
	case a.response.NotExecuted && a.exchange.Response.StatusCode >= http.StatusBadRequest:
		return failureNotExecuted
	case a.exchange.Response.StatusCode < http.StatusMultipleChoices && (!a.response.Signed || a.response.Encoded):
		a.err = errUnsignedResponse
		return failureIndeterminate
	default:
		return failureNone
	}
}

var (
	errForeignResponse  = errors.New("response of the upstream does not carry the ID of the request")
	errUnsignedResponse = errors.New("response of the upstream is unsigned or its body is encoded")
)

// recordAttempt counts the attempt, records its result for the upstream and releases the
// resources of a failed one. An indeterminate attempt is not held against the upstream if
// the caller has disconnected or another upstream has responded.
func (c *call) recordAttempt(a *attempt) {
	g := c.gateway
	id := a.tracked.upstream.ID
	c.countAttempt(a)
	g.Metrics.CountSend(a.failure.String())
	c.reportFailedWarmup(a)
	switch a.failure {
	case failureConnect:
		a.tracked.recordUnserved()
		if !g.IsCutOff() { // else the path of this instance has failed rather than the upstream
			a.tracked.recordFault()
		}
		g.Pool.CloseIdle(a.tracked.upstream.Address)
	case failureNotExecuted:
		c.recordRefusal(a)
	case failureIndeterminate:
		if !c.callerDisconnected() && !errors.Is(context.Cause(a.ctx), errResponded) {
			a.tracked.recordUnserved()
			c.reportCrash(a.tracked, a.err)
		}
	case failureNone, failureCanceled:
	}
	if a.failure == failureNone {
		return
	}
	entry := g.Log.Info().Str("event", "request.send_failed").Str("request", c.params.ID).Str("upstream", string(id)).
		Str("address", a.tracked.upstream.Address).Str("failure", a.failure.String()).Int("sends", c.sendCount()).
		Dur("took", time.Since(a.tracked.startedAt)).Dur("expected", a.tracked.expectedTTFB)
	if a.exchange != nil {
		entry = entry.Int("status", a.exchange.Response.StatusCode)
	}
	if a.failure == failureIndeterminate {
		entry = entry.Strs("parts", c.sharedPartIDs())
	}
	entry.Err(a.err).Msg("attempt failed")
	a.tracked.finish()
	if a.exchange != nil {
		a.exchange.Close()
	}
}

// recordRefusal records that an upstream did not execute a request. After 421 the model or
// adapter is marked as absent from the upstream; otherwise the upstream is avoided for a
// time.
func (c *call) recordRefusal(a *attempt) {
	u := a.tracked.upstream
	if a.exchange.Response.StatusCode == http.StatusMisdirectedRequest && c.params.Model != "" {
		c.gateway.Registry.MarkAbsent(registry.ResidentKey{Upstream: u.ID, Model: c.params.Model, Adapter: c.params.Adapter})
		return
	}
	a.tracked.recordUnserved()
	c.gateway.Permits.RecordRejected(u)
	c.foundNoRoom.Store(true)
}

package entry

import (
	"context"
	"crypto/sha256"
	"errors"
	"net/http"
	"sync/atomic"

	"github.com/google/uuid"

	"savoryweir/internal/protocol/httpapi"
	"savoryweir/internal/state/order"
	"savoryweir/internal/state/timeline"
)

// Claims grants the right to run an order, once for each idempotency key.
type Claims interface {
	// Claim requests the right to run an order. It waits while another claim holds the right,
	// until ctx ends or the claim's deadline passes. An error means that the claim was not granted.
	Claim(ctx context.Context, claim order.Claim) (order.Answer, error)
	// Finish records the result of an order whose claim was granted. It returns within a timeout of
	// its own, and the recording is retried until it succeeds.
	Finish(ctx context.Context, claim order.Claim, token string, result order.Result) error
}

// upstreamID returns a new request id for one attempt, so that a late answer to an earlier
// attempt is recognized as such.
func (p *plainCall) upstreamID() string { return uuid.NewString() }

// fingerprintPlain returns the hash of the method, the path and the body of a call.
func fingerprintPlain(p *plainCall) [sha256.Size]byte {
	h := sha256.New()
	for _, part := range []string{p.method, p.path} {
		h.Write([]byte(part))
		h.Write([]byte{0})
	}
	h.Write(p.body)
	return [sha256.Size]byte(h.Sum(nil))
}

// orderRun is the state of one order. It continues after its caller has disconnected.
type orderRun struct {
	server *Server
	call   *plainCall
	claim  order.Claim
	token  string
	// phase is changed atomically, so that an order is either sent or abandoned.
	phase atomic.Int32
}

// The phases of an order run.
const (
	phasePending   int32 = iota // nothing was sent
	phaseSending                // bytes may be sent
	phaseAbandoned              // nothing will be sent
)

// orderResult is the result of an order run: either an answer or a failure.
type orderResult struct {
	answer  *plainAnswer
	failure *Failure
}

// serveOrder handles a call that must not be repeated. The run continues in the background when
// ctx ends, for Orders.MaxWait at most.
func (s *Server) serveOrder(ctx context.Context, w http.ResponseWriter, p *plainCall) {
	run := &orderRun{server: s, call: p, claim: order.Claim{
		Service: p.service.Name, Key: p.headers.IdempotencyKey, Fingerprint: order.Fingerprint(p.fingerprint),
		Request: p.id, Deadline: p.request.Deadline,
	}}
	results := make(chan orderResult, 1)
	detached, cancel := context.WithTimeoutCause(context.WithoutCancel(ctx), s.settings.Orders.MaxWait, errDeadlineExceeded)
	s.drain.runInBackground(func() {
		defer cancel()
		results <- run.run(detached, ctx)
	})
	select {
	case result := <-results:
		s.answerOrder(w, p, result)
	case <-ctx.Done():
		s.answerOrder(w, p, orderResult{failure: run.abandon()})
	}
}

// withFinalOutcome marks the failure of a result that follows from the order's record. Its
// outcome holds for all sends of the order.
func (r orderResult) withFinalOutcome() orderResult {
	if r.failure != nil {
		r.failure.OutcomeIsFinal = true
	}
	return r
}

func (s *Server) answerOrder(w http.ResponseWriter, p *plainCall, result orderResult) {
	if result.failure != nil {
		s.reject(w, p.call, result.failure)
		return
	}
	s.writePlain(w, p.call, result.answer)
}

// abandon returns the answer to a caller whose wait ended. The order did not run if no attempt
// had started.
func (o *orderRun) abandon() *Failure {
	if o.phase.CompareAndSwap(phasePending, phaseAbandoned) {
		return deadlineFailure(order.OutcomeNotRun, o.server.settings.Queue.RetryAfter)
	}
	return deadlineFailure(order.OutcomeUnknown, o.server.settings.Queue.RetryAfter)
}

// run claims the order and sends it. The context caller ends when the caller no longer waits.
func (o *orderRun) run(ctx, caller context.Context) orderResult {
	if o.claim.Key == "" {
		return o.sendUnclaimed(ctx, caller)
	}
	answer, err := o.server.claims.Claim(caller, o.claim)
	if err != nil {
		return orderResult{failure: o.claimFailure(caller, err)}
	}
	switch answer.State {
	case order.ClaimGranted:
		o.token = answer.Token
		o.server.recordEvent(o.call.call, timeline.KindOrderClaimed, "", "")
		return o.sendClaimed(ctx, caller).withFinalOutcome()
	case order.ClaimFinished:
		return o.replay(answer.Result).withFinalOutcome()
	case order.ClaimMismatch:
		return orderResult{failure: keyReusedFailure()}.withFinalOutcome()
	default:
		return orderResult{failure: o.runningFailure()}
	}
}

func (o *orderRun) sendUnclaimed(ctx, caller context.Context) orderResult {
	answer, failure := o.send(ctx, caller)
	return orderResult{answer, failure}
}

// claimFailure answers a call whose claim was not granted, so that nothing was sent.
func (o *orderRun) claimFailure(caller context.Context, err error) *Failure {
	if cause := endCause(caller); errors.Is(cause, errDeadlineExceeded) {
		return deadlineFailure(order.OutcomeNotRun, o.server.settings.Queue.RetryAfter)
	}
	retryAfter := o.server.settings.Queue.RetryAfter
	var unavailableErr *order.UnavailableError
	if errors.As(err, &unavailableErr) && unavailableErr.RetryAfter > 0 {
		retryAfter = unavailableErr.RetryAfter
	}
	failure := unavailableFailure(httpapi.CodeClaimsUnavailable, "Orders can't be claimed now, so this call was not sent.", order.OutcomeNotRun, retryAfter)
	failure.Cause = err
	return failure
}

func keyReusedFailure() *Failure {
	return &Failure{
		Code: httpapi.CodeKeyReused, Status: http.StatusUnprocessableEntity,
		Message: "The idempotency key was used for a different order, so this call was not sent.",
		Outcome: order.OutcomeNotRun,
	}
}

func (o *orderRun) runningFailure() *Failure {
	return &Failure{
		Code: httpapi.CodeOrderRunning, Status: http.StatusConflict, Message: "An earlier send of this order is in progress.",
		Outcome: order.OutcomeUnknown, RetryAfter: o.server.settings.Queue.RetryAfter,
	}
}

func unknownOrderFailure(cause error) *Failure {
	return &Failure{
		Code: httpapi.CodeOrderUnknown, Status: http.StatusBadGateway,
		Message: "The order was sent and its answer was lost, so it may have run. It is not sent again.",
		Outcome: order.OutcomeUnknown, Cause: cause,
	}
}

// answerNotKeptFailure answers a resend of an order that ran and whose answer body was too long to record.
func answerNotKeptFailure(r order.Result) *Failure {
	return &Failure{
		Code: httpapi.CodeAnswerNotKept, Status: http.StatusGone,
		Message: "The order ran. The body of its answer was too long to be kept for resends.",
		Outcome: order.OutcomeRan, OmittedResult: &r,
	}
}

// replay returns the recorded result of an earlier run.
func (o *orderRun) replay(r order.Result) orderResult {
	if r.Outcome == order.OutcomeNotRun {
		return orderResult{failure: (&statusError{status: r.Status, outcome: r.Outcome}).failure(o.server.settings.Queue.RetryAfter)}
	}
	if r.Outcome != order.OutcomeRan {
		return orderResult{failure: unknownOrderFailure(nil)}
	}
	if r.BodyOmitted {
		return orderResult{failure: answerNotKeptFailure(r)}
	}
	return orderResult{answer: &plainAnswer{
		status: r.Status, contentType: r.ContentType, body: r.Body, outcome: r.Outcome, replayed: true,
	}}
}

// sendClaimed sends the order and records its result.
func (o *orderRun) sendClaimed(ctx, caller context.Context) orderResult {
	answer, failure := o.send(ctx, caller)
	result := order.Result{Outcome: order.OutcomeUnknown}
	switch {
	case answer != nil:
		result = order.Result{
			Outcome: answer.outcome, Status: answer.status, ContentType: answer.contentType, Body: answer.body,
		}
	case failure != nil:
		result.Outcome = failure.Outcome
	}
	o.recordResult(ctx, result)
	return orderResult{answer, failure}
}

func (o *orderRun) recordResult(ctx context.Context, result order.Result) {
	s := o.server
	kind := timeline.KindOrderFinished
	if result.Outcome == order.OutcomeUnknown {
		kind = timeline.KindOrderUnknown
	}
	s.recordEvent(o.call.call, kind, "", string(result.Outcome))
	if err := s.claims.Finish(context.WithoutCancel(ctx), o.claim, o.token, result); err != nil {
		s.metrics.unrecordedOrders.Inc()
		s.log.Warn().Str("request", o.call.id).Err(err).Msg("Result of order not recorded.")
	}
}

// send sends the order to one upstream after another until a byte may have been sent.
func (o *orderRun) send(ctx, caller context.Context) (*plainAnswer, *Failure) {
	s, p := o.server, o.call
	for failed := 1; ; failed++ {
		a, err := s.waitForUpstream(caller, p.call)
		if err != nil {
			return nil, s.plainFailure(caller, err, order.OutcomeNotRun)
		}
		if !o.phase.CompareAndSwap(phasePending, phaseSending) {
			s.releaseAttempt(a, attemptResult{abandoned: true})
			return nil, deadlineFailure(order.OutcomeNotRun, s.settings.Queue.RetryAfter)
		}
		s.recordEvent(p.call, timeline.KindRequestRouted, a.upstream.ID, "")
		answer, maybeSent, err := s.sendPlain(ctx, s.onceClient, p, a, nil)
		if err == nil && maybeSent {
			s.releaseAttempt(a, attemptResult{failed: answer.status >= http.StatusInternalServerError})
			return o.checkAnswer(answer)
		}
		s.handlePlainFailure(p, a, answer, err, maybeSent)
		s.releaseAttempt(a, attemptResult{failed: true})
		if maybeSent {
			return nil, unknownOrderFailure(err)
		}
		o.phase.Store(phasePending)
		if !s.mayRetry(p.call, failed) {
			return nil, o.refusedFailure(answer, err)
		}
		p.exclude(a.upstream.ID)
	}
}

// checkAnswer returns a complete answer, or a failure if its status is that of a gateway error,
// which leaves open whether the order ran.
func (o *orderRun) checkAnswer(answer *plainAnswer) (*plainAnswer, *Failure) {
	if answer.outcome == order.OutcomeRan {
		return answer, nil
	}
	return nil, unknownOrderFailure(newFault(faultStatus, "gateway status %d leaves open whether the order ran", answer.status))
}

// refusedFailure answers an order of which no byte was sent, or which the upstream refused to run.
func (o *orderRun) refusedFailure(answer *plainAnswer, err error) *Failure {
	retryAfter := o.server.settings.Queue.RetryAfter
	if answer != nil {
		return (&statusError{status: answer.status, outcome: order.OutcomeNotRun}).failure(retryAfter)
	}
	return upstreamFailure(err, order.OutcomeNotRun, retryAfter)
}

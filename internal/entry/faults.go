package entry

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"savoryweir/internal/protocol/httpapi"
	"savoryweir/internal/state/bundle"
	"savoryweir/internal/state/order"
	"savoryweir/internal/state/timeline"
)

// statusError is an upstream's answer with an error status.
type statusError struct {
	status  int
	outcome order.Outcome
	// modelMissing reports that an engine does not have a model that the bundle lists, because
	// the model was unloaded after the view was built. It is no sign of a fault of the engine.
	modelMissing bool
}

// newStatusError returns the error for an engine's answer.
func newStatusError(response *http.Response) *statusError {
	return &statusError{
		status:       response.StatusCode,
		outcome:      outcomeFromHeader(response.Header),
		modelMissing: response.StatusCode == http.StatusNotFound,
	}
}

// outcomeFromHeader returns OutcomeNotRun if the upstream says that the call did not run, and
// OutcomeUnknown for every other value of the header.
func outcomeFromHeader(h http.Header) order.Outcome {
	if h.Get(httpapi.HeaderOutcome) == string(order.OutcomeNotRun) {
		return order.OutcomeNotRun
	}
	return order.OutcomeUnknown
}

// Error implements the error interface.
func (e *statusError) Error() string {
	return fmt.Sprintf("upstream answered with status %d, expected success", e.status)
}

// failure returns the caller's answer to the error. Server errors and a missing model become
// status 503, since a retry may succeed.
func (e *statusError) failure(retryAfter time.Duration) *Failure {
	status := e.status
	if status >= http.StatusInternalServerError || e.modelMissing {
		status = http.StatusServiceUnavailable
	}
	return &Failure{
		Code: httpapi.CodeUpstreamRefused, Status: status, Message: "The upstream refused the request.",
		Outcome: e.outcome, RetryAfter: retryAfter, Cause: e,
	}
}

// classifySendError turns an error of sending a request, or of reading its answer, into an
// *upstreamFault or the cause that ended ctx. maybeSent reports whether a byte of the
// request may have been sent.
func classifySendError(ctx context.Context, err error, maybeSent bool) error {
	cause := context.Cause(ctx)
	switch {
	case errors.Is(cause, errUpstreamIdle):
		return &upstreamFault{kind: faultSilent, err: cause}
	case cause != nil:
		return endCause(ctx)
	case maybeSent:
		return &upstreamFault{kind: faultCut, err: err}
	default:
		return &upstreamFault{kind: faultConnect, err: err}
	}
}

// mayRetry reports whether the call continues: either the retry limits allow one more attempt,
// or the call is a suspect that is held or refused, which acquire decides.
func (s *Server) mayRetry(c *call, failed int) bool {
	return s.table.isSuspect(s.now(), c) || s.spendRetry(c, failed)
}

// spendRetry reports whether the retry limits allow one more attempt, and counts it.
func (s *Server) spendRetry(c *call, failed int) bool {
	if !s.table.spendRetry(c, failed+1) {
		return false
	}
	s.metrics.retries.WithLabelValues(string(c.service.Name)).Inc()
	return true
}

// handleFault records a fault of an upstream. It reports whether the call must not be sent to
// that upstream again.
func (s *Server) handleFault(c *call, a *attempt, fault *upstreamFault, maybeSent bool) bool {
	id := a.upstream.ID
	s.metrics.faults.WithLabelValues(string(id), string(fault.kind)).Inc()
	if a.continuation.granted {
		return s.recordContinuation(c, a, fault)
	}
	switch fault.kind {
	case faultConnect:
		s.recordFault(c, id, true, fault)
		return true
	case faultCut, faultSilent:
		return s.handleBrokenConnection(c, a, fault, maybeSent)
	default:
		s.recordFault(c, id, false, fault)
		return true
	}
}

// handleBrokenConnection probes the upstream over a new connection to tell a broken connection
// from an upstream whose process ended. It probes even if the caller has disconnected, since the
// caller may send the request again.
func (s *Server) handleBrokenConnection(c *call, a *attempt, fault *upstreamFault, maybeSent bool) bool {
	brokenAt := s.now()
	probeErr := s.probe(context.Background(), a.upstream)
	var timeout net.Error
	unreachable := probeErr != nil && errors.As(probeErr, &timeout) && timeout.Timeout()
	crashed := fault.kind == faultCut && maybeSent && !unreachable && (probeErr != nil || s.processEnded(a, brokenAt))
	if crashed {
		s.recordCrash(c, a)
	}
	if probeErr == nil && !crashed {
		c.reconnectUpstream = a.upstream.ID
		return false
	}
	s.recordFault(c, a.upstream.ID, probeErr != nil, fault)
	return true
}

// probe checks over a new connection whether an upstream answers within the probe's timeout.
func (s *Server) probe(ctx context.Context, u bundle.Upstream) error {
	ctx, cancel := context.WithTimeout(ctx, s.settings.Upstreams.ProbeTimeout)
	defer cancel()
	return s.repeatClient.Probe(ctx, u.Address)
}

// probeSilent probes an upstream that is silent under a call which goes on, so that no further
// calls are sent to it if it can't be reached.
func (s *Server) probeSilent(c *call, a *attempt) {
	s.drain.runInBackground(func() {
		fault := &upstreamFault{kind: faultSilent, err: errUpstreamIdle}
		s.metrics.faults.WithLabelValues(string(a.upstream.ID), string(fault.kind)).Inc()
		if s.probe(context.Background(), a.upstream) != nil {
			s.recordFault(c, a.upstream.ID, true, fault)
		}
	})
}

// recordCrash records that an upstream's process ended, and reports the requests that ran on it
// as suspects.
func (s *Server) recordCrash(c *call, a *attempt) {
	records := s.table.recordCrash(s.now(), a)
	if len(records) == 0 {
		return
	}
	id := a.upstream.ID
	for _, r := range records {
		s.reports.addSuspect(r)
	}
	s.metrics.crashes.WithLabelValues(string(id)).Inc()
	s.recordEvent(c, timeline.KindUpstreamEjected, id, "its process ended")
	s.log.Warn().Str("upstream", string(id)).Int("requests", len(records)).Msg("Process of upstream ended; its requests are suspects.")
}

// recordFault logs a fault and marks the upstream as down if it can't be reached. Other faults
// count against the upstream when the attempt is released.
func (s *Server) recordFault(c *call, id bundle.UpstreamID, unreachable bool, fault *upstreamFault) {
	s.log.Debug().Str("request", c.id).Str("upstream", string(id)).Err(fault).Msg("Attempt failed because of an upstream fault.")
	if unreachable {
		s.table.setDown(s.now(), id)
	}
}

// releaseAttempt ends an attempt and reports the suspect records that it refuted.
func (s *Server) releaseAttempt(a *attempt, r attemptResult) {
	s.table.release(s.now(), a, r)
	s.reportRefuted(a.call)
}

// reportRefuted reports the suspect records that the attempts of a call refuted.
func (s *Server) reportRefuted(c *call) {
	for _, record := range c.refutedSuspects {
		s.reports.addSuspect(record)
	}
	c.refutedSuspects = nil
}

// attemptResultOf returns what the end of an attempt says about its upstream.
func attemptResultOf(ctx context.Context, err error, tokens int) attemptResult {
	if err == nil {
		return attemptResult{tokens: tokens}
	}
	cause := endCause(ctx)
	if errors.Is(cause, errDeadlineExceeded) || errors.Is(err, errDeadlineUnreachable) {
		return attemptResult{deadlineMissed: true, tokens: tokens}
	}
	if cause != nil || errors.Is(err, errCallerDisconnected) {
		return attemptResult{abandoned: true}
	}
	var statusErr *statusError
	if !errors.As(err, &statusErr) {
		return attemptResult{failed: true, tokens: tokens}
	}
	switch {
	case statusErr.isOverload():
		return attemptResult{overloaded: true}
	case statusErr.modelMissing:
		return attemptResult{abandoned: true}
	default:
		return attemptResult{failed: true, tokens: tokens}
	}
}

// isOverload reports whether the upstream refused the request because it is full.
func (e *statusError) isOverload() bool {
	return e.status == http.StatusTooManyRequests || e.status == http.StatusServiceUnavailable
}

// waitForUpstream acquires an upstream for the call and makes sure that it has a sentinel connection.
func (s *Server) waitForUpstream(ctx context.Context, c *call) (*attempt, error) {
	a, err := s.table.acquire(ctx, s.now, c)
	if err == nil {
		s.ensureSentinel(ctx, a.upstream)
	}
	return a, err
}

// readUpstreamState reads the load and the leaving flag that an upstream sends with its answers.
func (s *Server) readUpstreamState(id bundle.UpstreamID, h http.Header) {
	if !s.table.observe(s.now(), id, h) {
		return
	}
	s.reports.addLeaving(id)
	s.recorder.Record(timeline.Event{Kind: timeline.KindUpstreamLeaving, Upstream: string(id)})
	s.log.Info().Str("upstream", string(id)).Msg("Upstream announced that it is leaving.")
}

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

// statusError is an upstream's answer with a status other than success.
type statusError struct {
	status  int
	outcome order.Outcome
	// modelMissing tells that an engine does not have the model, which the bundle lists: it
	// was unloaded after the view was made. That says nothing of the engine's health.
	modelMissing bool
}

// newStatusError describes the answer of an engine.
func newStatusError(response *http.Response) *statusError {
	return &statusError{
		status:       response.StatusCode,
		outcome:      outcomeFromHeader(response.Header),
		modelMissing: response.StatusCode == http.StatusNotFound,
	}
}

// outcomeFromHeader believes an upstream only when it says that the call did not run.
func outcomeFromHeader(h http.Header) order.Outcome {
	if h.Get(httpapi.HeaderOutcome) == string(order.OutcomeNotRun) {
		return order.OutcomeNotRun
	}
	return order.OutcomeUnknown
}

// Error implements the error interface.
func (r *statusError) Error() string {
	return fmt.Sprintf("the upstream answered with status %d", r.status)
}

func (r *statusError) failure(retryAfter time.Duration) *Failure {
	status := r.status
	if status >= http.StatusInternalServerError || r.modelMissing {
		status = http.StatusServiceUnavailable
	}
	return &Failure{
		Code: httpapi.CodeUpstreamRefused, Status: status, Message: "The upstream refused the request.",
		Outcome: r.outcome, RetryAfter: retryAfter, Cause: r,
	}
}

// classifySendError classifies an error of sending a request.
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

// mayRetry reports whether the call goes on: the limits allow one more send, or the
// verdict on a call that upstreams died under is still to come.
func (s *Server) mayRetry(c *call, failed int) bool {
	if s.table.isSuspect(s.now(), c) {
		return true
	}
	if !s.table.spendRetry(c, failed+1) {
		return false
	}
	s.metrics.retries.WithLabelValues(string(c.service.Name)).Inc()
	return true
}

// handleFault notes a fault of an upstream. It reports whether the call must
// not be sent to the upstream again.
func (s *Server) handleFault(c *call, f *attempt, fault *upstreamFault, maybeSent bool) bool {
	id := f.upstream.ID
	s.metrics.faults.WithLabelValues(string(id), string(fault.kind)).Inc()
	switch fault.kind {
	case faultConnect:
		s.recordFault(c, id, true, fault)
		return true
	case faultCut, faultSilent:
		return s.handleBrokenConnection(c, f, fault, maybeSent)
	default:
		s.recordFault(c, id, false, fault)
		return true
	}
}

// handleBrokenConnection probes the upstream over a new connection, so that a broken
// connection is not taken for a dead upstream. It does so also when the caller
// has left, since the caller may send the request again.
func (s *Server) handleBrokenConnection(c *call, f *attempt, fault *upstreamFault, sent bool) bool {
	brokenAt := s.now()
	probeCtx, cancel := context.WithTimeout(context.Background(), s.settings.Upstreams.ProbeTimeout)
	defer cancel()
	probeErr := s.repeatClient.Probe(probeCtx, f.upstream.Address)
	var timeout net.Error
	unreachable := probeErr != nil && errors.As(probeErr, &timeout) && timeout.Timeout()
	died := fault.kind == faultCut && sent && !unreachable && (probeErr != nil || s.processEnded(f, brokenAt))
	if died {
		s.recordDeath(c, f)
	}
	if probeErr == nil && !died {
		c.reconnectUpstream = f.upstream.ID
		return false
	}
	s.recordFault(c, f.upstream.ID, probeErr != nil, fault)
	return true
}

// recordDeath remembers the requests that an upstream died under.
func (s *Server) recordDeath(c *call, f *attempt) {
	records := s.table.recordDeath(s.now(), f)
	if len(records) == 0 {
		return
	}
	id := f.upstream.ID
	for _, r := range records {
		s.reports.addSuspect(r)
	}
	s.metrics.deaths.WithLabelValues(string(id)).Inc()
	s.recordEvent(c, timeline.KindUpstreamEjected, id, "its process ended")
	s.log.Warn().Str("upstream", string(id)).Int("requests", len(records)).Msg("Upstream died.")
}

// recordFault notes an upstream that can't be reached. Other faults are judged when the request is released.
func (s *Server) recordFault(c *call, id bundle.UpstreamID, unreachable bool, fault *upstreamFault) {
	s.log.Debug().Str("request", c.id).Str("upstream", string(id)).Err(fault).Msg("Upstream fault.")
	if unreachable {
		s.table.setDown(s.now(), id)
	}
}

// releaseAttempt ends a send and shares the suspicions that it refuted.
func (s *Server) releaseAttempt(f *attempt, r attemptResult) {
	s.table.release(s.now(), f, r)
	for _, record := range f.call.refutedSuspects {
		s.reports.addSuspect(record)
	}
	f.call.refutedSuspects = nil
}

// attemptResultOf tells what a send's end says of its upstream.
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

// isOverload reports whether the upstream refused because it is full.
func (r *statusError) isOverload() bool {
	return r.status == http.StatusTooManyRequests || r.status == http.StatusServiceUnavailable
}

// waitForUpstream acquires an upstream for the call and watches over it.
func (s *Server) waitForUpstream(ctx context.Context, c *call) (*attempt, error) {
	f, err := s.table.acquire(ctx, s.now, c)
	if err == nil {
		s.ensureSentinel(ctx, f.upstream)
	}
	return f, err
}

// readUpstreamState takes an upstream's own word from an answer.
func (s *Server) readUpstreamState(id bundle.UpstreamID, h http.Header) {
	if !s.table.observe(s.now(), id, h) {
		return
	}
	s.reports.addLeaving(id)
	s.recorder.Record(timeline.Event{Kind: timeline.KindUpstreamLeaving, Upstream: string(id)})
	s.log.Info().Str("upstream", string(id)).Msg("Upstream leaves.")
}

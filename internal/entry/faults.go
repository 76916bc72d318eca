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

// refusal is an upstream's answer with a status other than success.
type refusal struct {
	status  int
	outcome order.Outcome
	// absent tells that an engine does not have the model, which the bundle lists: it
	// was unloaded after the view was made. That says nothing of the engine's health.
	absent bool
}

// newRefusal describes the answer of an engine.
func newRefusal(response *http.Response) *refusal {
	return &refusal{
		status:  response.StatusCode,
		outcome: refusalOutcome(response.Header),
		absent:  response.StatusCode == http.StatusNotFound,
	}
}

// refusalOutcome believes an upstream only when it says that the call did not run.
func refusalOutcome(h http.Header) order.Outcome {
	if h.Get(httpapi.HeaderOutcome) == string(order.OutcomeNotRun) {
		return order.OutcomeNotRun
	}
	return order.OutcomeUnknown
}

// Error implements the error interface.
func (r *refusal) Error() string {
	return fmt.Sprintf("the upstream answered with status %d", r.status)
}

func (r *refusal) failure(retryAfter time.Duration) *Failure {
	status := r.status
	if status >= http.StatusInternalServerError || r.absent {
		status = http.StatusServiceUnavailable
	}
	return &Failure{
		Code: httpapi.CodeUpstreamRefused, Status: status, Message: "The upstream refused the request.",
		Outcome: r.outcome, RetryAfter: retryAfter, Cause: r,
	}
}

// sendFault classifies an error of sending a request.
func sendFault(ctx context.Context, err error, left bool) error {
	cause := context.Cause(ctx)
	switch {
	case errors.Is(cause, errSilent):
		return &upstreamFault{kind: faultSilent, err: cause}
	case cause != nil:
		return causeOf(ctx)
	case left:
		return &upstreamFault{kind: faultCut, err: err}
	default:
		return &upstreamFault{kind: faultConnect, err: err}
	}
}

// mayRetry reports whether the call goes on: the limits allow one more send, or the
// verdict on a call that upstreams died under is still to come.
func (s *Server) mayRetry(c *call, failed int) bool {
	if s.table.awaitsVerdict(s.now(), c) {
		return true
	}
	if !s.table.spend(c, failed+1) {
		return false
	}
	s.metrics.retries.WithLabelValues(string(c.service.Name)).Inc()
	return true
}

// judgeFault notes a fault of an upstream. It reports whether the call must
// not be sent to the upstream again.
func (s *Server) judgeFault(c *call, f *flight, fault *upstreamFault, sent bool) bool {
	id := f.upstream.ID
	s.metrics.faults.WithLabelValues(string(id), string(fault.kind)).Inc()
	switch fault.kind {
	case faultConnect:
		s.noteFailed(c, id, true, fault)
		return true
	case faultCut, faultSilent:
		return s.judgeBroken(c, f, fault, sent)
	default:
		s.noteFailed(c, id, false, fault)
		return true
	}
}

// judgeBroken probes the upstream over a new connection, so that a broken
// connection is not taken for a dead upstream. It does so also when the caller
// has left, since the caller may send the request again.
func (s *Server) judgeBroken(c *call, f *flight, fault *upstreamFault, sent bool) bool {
	brokenAt := s.now()
	limited, cancel := context.WithTimeout(context.Background(), s.settings.Upstreams.ProbeTimeout)
	defer cancel()
	probe := s.repeat.Probe(limited, f.upstream.Address)
	var timeout net.Error
	unreachable := probe != nil && errors.As(probe, &timeout) && timeout.Timeout()
	died := fault.kind == faultCut && sent && !unreachable && (probe != nil || s.processEnded(f, brokenAt))
	if died {
		s.noteDeath(c, f)
	}
	if probe == nil && !died {
		c.sameUpstream = f.upstream.ID
		return false
	}
	s.noteFailed(c, f.upstream.ID, probe != nil, fault)
	return true
}

// noteDeath remembers the requests that an upstream died under.
func (s *Server) noteDeath(c *call, f *flight) {
	records := s.table.died(s.now(), f)
	if len(records) == 0 {
		return
	}
	id := f.upstream.ID
	for _, r := range records {
		s.reports.addSuspect(r)
	}
	s.metrics.deaths.WithLabelValues(string(id)).Inc()
	s.record(c, timeline.KindUpstreamEjected, id, "its process ended")
	s.log.Warn().Str("upstream", string(id)).Int("requests", len(records)).Msg("Upstream died.")
}

// noteFailed notes an upstream that can't be reached. Other faults are judged when the request is released.
func (s *Server) noteFailed(c *call, id bundle.UpstreamID, unreachable bool, fault *upstreamFault) {
	s.log.Debug().Str("request", c.id).Str("upstream", string(id)).Err(fault).Msg("Upstream fault.")
	if unreachable {
		s.table.setDown(s.now(), id)
	}
}

// releaseFlight ends a send and shares the suspicions that it refuted.
func (s *Server) releaseFlight(f *flight, r attemptResult) {
	s.table.release(s.now(), f, r)
	for _, record := range f.call.cleared {
		s.reports.addSuspect(record)
	}
	f.call.cleared = nil
}

// resultOf tells what a send's end says of its upstream.
func resultOf(ctx context.Context, err error, tokens int) attemptResult {
	if err == nil {
		return attemptResult{tokens: tokens}
	}
	cause := causeOf(ctx)
	if errors.Is(cause, errDeadline) || errors.Is(err, errLate) {
		return attemptResult{late: true, tokens: tokens}
	}
	if cause != nil || errors.Is(err, errCallerGone) {
		return attemptResult{abandoned: true}
	}
	var refused *refusal
	if !errors.As(err, &refused) {
		return attemptResult{failed: true, tokens: tokens}
	}
	switch {
	case refused.forLoad():
		return attemptResult{refused: true}
	case refused.absent:
		return attemptResult{abandoned: true}
	default:
		return attemptResult{failed: true, tokens: tokens}
	}
}

// forLoad reports whether the upstream refused because it is full.
func (r *refusal) forLoad() bool {
	return r.status == http.StatusTooManyRequests || r.status == http.StatusServiceUnavailable
}

// waitForUpstream acquires an upstream for the call and watches over it.
func (s *Server) waitForUpstream(ctx context.Context, c *call) (*flight, error) {
	f, err := s.table.acquire(ctx, s.now, c)
	if err == nil {
		s.watchUpstream(ctx, f.upstream)
	}
	return f, err
}

// observe takes an upstream's own word from an answer.
func (s *Server) observe(id bundle.UpstreamID, h http.Header) {
	if !s.table.observe(s.now(), id, h) {
		return
	}
	s.reports.addLeaving(id)
	s.recorder.Record(timeline.Event{Kind: timeline.KindUpstreamLeaving, Upstream: string(id)})
	s.log.Info().Str("upstream", string(id)).Msg("Upstream leaves.")
}

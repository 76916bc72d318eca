package entry

import (
	"context"
	"crypto/sha256"
	"errors"
	"io"
	"net/http"
	"slices"
	"time"

	"github.com/google/uuid"

	"savoryweir/internal/coordination/admission"
	"savoryweir/internal/coordination/routing"
	"savoryweir/internal/coordination/suspect"
	"savoryweir/internal/protocol/httpapi"
	"savoryweir/internal/state/bundle"
	"savoryweir/internal/state/order"
	"savoryweir/internal/state/timeline"
)

// The causes with which the context of a call ends.
var (
	errDeadlineExceeded    = errors.New("the deadline of the request passed")
	errCallerDisconnected  = errors.New("the caller disconnected")
	errDeadlineUnreachable = errors.New("the answer would not be complete before the deadline")
	errHandover            = errors.New("this instance is shutting down and hands its streams over to other instances")
)

// call is one request of a caller. It uses one view for its whole lifetime.
type call struct {
	id              string
	headers         httpapi.RequestHeaders
	view            *View
	service         bundle.Service
	request         routing.Request
	fingerprint     [sha256.Size]byte // hash of the work that the request asks for
	started         time.Time
	mayBeResend     bool // an earlier send of the same order may exist
	caller          admission.Caller
	holdsSlot       bool                // the call counts against its service's limit of requests in progress
	queueID         admission.RequestID // identifies the attempt in progress in the queue
	refutedSuspects []suspect.Record    // suspect records that the call's answer refuted
	// reconnectUpstream is the upstream that gets the next attempt on a new connection. It is
	// empty when any upstream may be picked.
	reconnectUpstream bundle.UpstreamID
}

// suspectID returns the fingerprint by which the suspect registry tracks requests during which
// an upstream's process ended.
func (c *call) suspectID() suspect.Fingerprint {
	return suspect.FingerprintOf(c.service.Name, c.fingerprint[:])
}

// outcomeOf returns whether a generation ran, as far as its attempts tell.
func outcomeOf(sent, progressed bool) order.Outcome {
	switch {
	case progressed:
		return order.OutcomeRan
	case sent:
		return order.OutcomeUnknown
	default:
		return order.OutcomeNotRun
	}
}

// requestID returns the request id that the caller sent, or a new one if it sent none or an invalid one.
func requestID(headers httpapi.RequestHeaders, err error) string {
	var headerErr *httpapi.HeaderError
	isInvalid := errors.As(err, &headerErr) && headerErr.Header == httpapi.HeaderRequestID
	if headers.RequestID == "" || isInvalid {
		return uuid.NewString()
	}
	return headers.RequestID
}

// newCall parses the headers that all requests have in common. It returns a call also with a
// failure, so that the failure can be answered under the call's id.
func (s *Server) newCall(r *http.Request) (*call, *Failure) {
	c := &call{started: s.now(), mayBeResend: mayBeResend(r)}
	headers, err := httpapi.ParseHeaders(r.Header)
	c.headers = headers
	c.id = requestID(headers, err)
	if err != nil {
		return c, badHeaderFailure(err)
	}
	c.view = s.views.View()
	if c.view == nil {
		return c, unavailableFailure(httpapi.CodeNotReady, "This instance has no configuration yet.", order.OutcomeNotRun, s.settings.Queue.RetryAfter)
	}
	c.request.Class = headers.Class
	return c, nil
}

// assignService sets the service and the deadline of the call and acquires a slot of the service.
func (s *Server) assignService(r *http.Request, c *call, service bundle.Service) *Failure {
	c.service = service
	timeout := c.headers.Deadline
	if timeout == 0 {
		timeout = service.Deadline
	}
	if timeout == 0 {
		timeout = s.settings.Callers.DefaultDeadline
	}
	c.request.Service = service.Name
	c.request.Deadline = c.started.Add(timeout)
	c.caller = admission.Caller(r.Header.Get("Authorization"))
	c.request.Fingerprint = c.suspectID().Key()
	s.table.recordRequest(c)
	s.metrics.requests.WithLabelValues(string(service.Name), string(c.headers.Class)).Inc()
	s.recordEvent(c, timeline.KindRequestReceived, "", "")
	if !s.table.acquireSlot(c) {
		return unavailableFailure(httpapi.CodeNoCapacity, "Too many requests to this service are in progress.",
			order.OutcomeNotRun, s.settings.Queue.RetryAfter)
	}
	return nil
}

// readBody reads the request body within the size and time limits. After a failure it leaves the
// read deadline set, so that the server does not wait for the rest of the body.
func (s *Server) readBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(time.Now().Add(s.settings.Callers.ReadTimeout))
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, s.settings.Callers.MaxBodyBytes))
	if err != nil {
		return nil, err
	}
	_ = control.SetReadDeadline(time.Time{})
	return body, nil
}

// context returns the call's context, which ends at the deadline or when the caller disconnects.
func (c *call) context(r *http.Request) (context.Context, context.CancelFunc) {
	return context.WithDeadlineCause(r.Context(), c.request.Deadline, errDeadlineExceeded)
}

// endCause returns why the context of a call ended, or nil while it has not ended.
func endCause(ctx context.Context) error {
	if ctx.Err() == nil {
		return nil
	}
	switch cause := context.Cause(ctx); {
	case errors.Is(cause, errDeadlineExceeded), errors.Is(cause, errHandover), errors.Is(cause, errDeadlineUnreachable):
		return cause
	default:
		return errCallerDisconnected
	}
}

// recordEvent adds an event of the call to the timeline.
func (s *Server) recordEvent(c *call, kind timeline.Kind, upstream bundle.UpstreamID, note string) {
	s.recorder.Record(timeline.Event{
		Kind:       kind,
		Request:    c.id,
		Order:      string(c.headers.IdempotencyKey),
		Upstream:   string(upstream),
		Model:      string(c.request.Model),
		Generation: uint64(c.view.Bundle.Generation),
		Note:       note,
	})
}

// exclude adds an upstream to those that the call's next attempts avoid.
func (c *call) exclude(id bundle.UpstreamID) {
	if !slices.Contains(c.request.Excluded, id) {
		c.request.Excluded = append(c.request.Excluded, id)
	}
}

// reject records the failure and writes it as the complete answer.
func (s *Server) reject(w http.ResponseWriter, c *call, f *Failure) {
	if c.mayBeResend {
		f = f.forResend()
	}
	s.recordFailure(c, f)
	f.setHeaders(w.Header())
	httpapi.WriteError(w, f.Status, f.detail(c.id))
}

// recordFailure counts, records and logs a failure of a call.
func (s *Server) recordFailure(c *call, f *Failure) {
	s.metrics.failures.WithLabelValues(string(c.service.Name), string(f.Code), string(f.Outcome)).Inc()
	if c.view != nil {
		s.recordEvent(c, timeline.KindRequestRefused, "", f.Error())
	}
	s.log.Debug().Str("request", c.id).Err(f).Msg("Call failed.")
}

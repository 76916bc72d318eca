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

// The causes that end a call's context.
var (
	errDeadlineExceeded    = errors.New("the deadline passed")
	errCallerDisconnected  = errors.New("the caller left")
	errDeadlineUnreachable = errors.New("the answer would not be whole before the deadline")
	errHandover            = errors.New("this instance stops and hands its streams over")
)

// call is one request of a caller. It keeps one view from start to end.
type call struct {
	id              string
	headers         httpapi.RequestHeaders
	view            *View
	service         bundle.Service
	request         routing.Request
	fingerprint     [sha256.Size]byte // of the work
	started         time.Time
	mayBeResend     bool // of an order that was sent before
	caller          admission.Caller
	holdsSlot       bool                // the call holds a place of its service
	queueID         admission.RequestID // of the send in progress
	refutedSuspects []suspect.Record    // suspicions that the call's answer refuted
	// reconnectUpstream gets the next send on a new connection. Empty when there is none.
	reconnectUpstream bundle.UpstreamID
}

// suspectID identifies the work among those under which upstreams died.
func (c *call) suspectID() suspect.Fingerprint { return suspect.Of(c.service.Name, c.fingerprint[:]) }

// outcomeOf tells whether a generation ran, from what is known of its sends.
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

// requestID returns the caller's id of a request, or a new one when there is none
// that may be used.
func requestID(headers httpapi.RequestHeaders, err error) string {
	var headerErr *httpapi.HeaderError
	isInvalid := errors.As(err, &headerErr) && headerErr.Header == httpapi.HeaderRequestID
	if headers.RequestID == "" || isInvalid {
		return uuid.NewString()
	}
	return headers.RequestID
}

// newCall checks what all requests have in common.
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

// assignService completes the call once its service is known, and takes a place of the service.
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

// readBody reads the request's body within the size and time limits. After a
// failure the deadline stays, so that the rest of the body is not waited for.
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

// context returns the call's context, which ends at the deadline or when the caller leaves.
func (c *call) context(r *http.Request) (context.Context, context.CancelFunc) {
	return context.WithDeadlineCause(r.Context(), c.request.Deadline, errDeadlineExceeded)
}

// endCause tells why a call's context ended. It returns nil while the context lasts.
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

// recordEvent adds an event of the call to the time line.
func (s *Server) recordEvent(c *call, kind timeline.Kind, upstream bundle.UpstreamID, note string) {
	s.recorder.Record(timeline.Event{
		Kind:       kind,
		Request:    c.id,
		Order:      string(c.headers.Key),
		Upstream:   string(upstream),
		Model:      string(c.request.Model),
		Generation: uint64(c.view.Bundle.Generation),
		Note:       note,
	})
}

// exclude keeps the call's next sends from an upstream.
func (c *call) exclude(id bundle.UpstreamID) {
	if !slices.Contains(c.request.Excluded, id) {
		c.request.Excluded = append(c.request.Excluded, id)
	}
}

// reject writes the failure as the whole answer.
func (s *Server) reject(w http.ResponseWriter, c *call, f *Failure) {
	if c.mayBeResend {
		f = f.forResend()
	}
	s.recordFailure(c, f)
	f.setHeaders(w.Header())
	httpapi.WriteError(w, f.Status, f.detail(c.id))
}

func (s *Server) recordFailure(c *call, f *Failure) {
	s.metrics.failures.WithLabelValues(string(c.service.Name), string(f.Code), string(f.Outcome)).Inc()
	if c.view != nil {
		s.recordEvent(c, timeline.KindRequestRefused, "", f.Error())
	}
	s.log.Debug().Str("request", c.id).Err(f).Msg("Call failed.")
}

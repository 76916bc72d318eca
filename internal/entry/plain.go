package entry

import (
	"context"
	"errors"
	"net/http"
	"path"
	"strings"

	"savoryweir/internal/protocol/httpapi"
	"savoryweir/internal/state/bundle"
	"savoryweir/internal/state/order"
	"savoryweir/internal/state/timeline"
)

const servicesPath = "/services/"

// plainCall is a call of a plain service, which is a service other than generation.
type plainCall struct {
	*call
	method string
	path   string // path at the upstream, with the query
	header http.Header
	body   []byte
}

// plainAnswer is the complete answer of a plain service.
type plainAnswer struct {
	status      int
	contentType string
	header      http.Header // further headers that are forwarded; nil for a recorded answer
	body        []byte
	outcome     order.Outcome
	replayed    bool
}

var (
	errAmbiguousPath  = errors.New("the path holds empty or relative parts, or encoded separators")
	errUnknownLength  = errors.New("answer has neither a length nor chunked encoding, so its end can't be detected")
	errFailedCall     = errors.New("upstream gave no answer to the call")
	errAnswerTooLarge = errors.New("answer body is larger than the limit")
)

// servePlain handles a call of a plain service.
func (s *Server) servePlain(w http.ResponseWriter, r *http.Request) {
	c, failure := s.newCall(r)
	if failure != nil {
		s.reject(w, c, failure)
		return
	}
	name, upstreamPath, err := splitServicePath(r)
	if err != nil {
		s.reject(w, c, badRequestFailure(err))
		return
	}
	service, ok := c.view.Bundle.Service(name)
	if !ok || service.Kind != bundle.KindPlain {
		s.reject(w, c, notFoundFailure(httpapi.CodeUnknownService, "No plain service has this name."))
		return
	}
	body, err := s.readBody(w, r)
	if err != nil {
		s.reject(w, c, badRequestFailure(err))
		return
	}
	p := &plainCall{call: c, method: r.Method, path: upstreamPath, header: selectHeaders(r.Header, forwardedRequestHeaders), body: body}
	if r.URL.RawQuery != "" {
		p.path += "?" + r.URL.RawQuery
	}
	c.fingerprint = fingerprintPlain(p)
	defer s.table.releaseSlot(c)
	if failure := s.assignService(r, c, service); failure != nil {
		s.reject(w, c, failure)
		return
	}
	ctx, cancel := c.context(r)
	defer cancel()
	if isOrderPath(service, upstreamPath) {
		s.serveOrder(ctx, w, p)
		return
	}
	s.serveRead(ctx, w, p)
}

// splitServicePath returns the service's name and the path at its upstreams. It rejects paths that
// an upstream could interpret differently, so that no order is treated as a read.
func splitServicePath(r *http.Request) (bundle.ServiceName, string, error) {
	full := r.URL.Path
	if r.URL.RawPath != "" || strings.ContainsAny(full, "\\\x00;") {
		return "", "", errAmbiguousPath
	}
	clean := path.Clean(full)
	if full != clean && full != clean+"/" {
		return "", "", errAmbiguousPath
	}
	name, rest, _ := strings.Cut(strings.TrimPrefix(full, servicesPath), "/")
	return bundle.ServiceName(name), "/" + rest, nil
}

// isOrderPath reports whether calls of the path are orders, which must not be repeated.
func isOrderPath(service bundle.Service, path string) bool {
	for _, prefix := range service.OrderPaths {
		if strings.HasPrefix(strings.ToLower(path)+"/", strings.ToLower(prefix)) {
			return true
		}
	}
	return false
}

// forwardedRequestHeaders are the headers of a request that are forwarded to a plain service.
var forwardedRequestHeaders = []string{
	"Accept", "Accept-Language", "Authorization", "Content-Type", "If-Match", "If-None-Match", httpapi.HeaderIdempotencyKey,
}

// forwardedResponseHeaders are the headers of a plain service's answer that are forwarded to the caller.
var forwardedResponseHeaders = []string{
	"Cache-Control", "Content-Disposition", "Content-Language", "Etag", "Expires", "Last-Modified", "Location",
	"Retry-After", "Www-Authenticate",
}

func selectHeaders(h http.Header, names []string) http.Header {
	passed := make(http.Header)
	for _, name := range names {
		if values := h.Values(name); len(values) > 0 {
			passed[http.CanonicalHeaderKey(name)] = values
		}
	}
	return passed
}

// serveRead handles a call that may be repeated.
func (s *Server) serveRead(ctx context.Context, w http.ResponseWriter, p *plainCall) {
	answer, failure := s.read(ctx, p)
	if failure != nil {
		s.reject(w, p.call, s.withRetryAfter(p.call, failure))
		return
	}
	s.writePlain(w, p.call, answer)
}

// read sends the call to one upstream after another until an answer arrives that is no server
// error, or the call must not be retried.
func (s *Server) read(ctx context.Context, p *plainCall) (*plainAnswer, *Failure) {
	outcome := order.OutcomeNotRun
	var a *attempt
	for failed := 1; ; failed++ {
		if a == nil {
			var err error
			if a, err = s.waitForUpstream(ctx, p.call); err != nil {
				return nil, s.plainFailure(ctx, err, outcome)
			}
		}
		s.recordEvent(p.call, timeline.KindRequestRouted, a.upstream.ID, "")
		mayRepeat := func(connected bool) bool {
			return (isRepeatable(p.method) || !connected) && s.spendRetry(p.call, failed)
		}
		answer, maybeSent, err := s.sendPlain(ctx, s.repeatClient, p, a, mayRepeat)
		if err == nil && answer.status < http.StatusInternalServerError {
			s.releaseAttempt(a, attemptResult{})
			return answer, nil
		}
		if maybeSent {
			outcome = order.OutcomeUnknown
		}
		s.handlePlainFailure(p, a, answer, err, maybeSent)
		if cause := endCause(ctx); cause != nil {
			s.releaseAttempt(a, failedPlainResult(ctx, answer))
			return nil, s.plainFailure(ctx, cause, outcome)
		}
		if !isRepeatable(p.method) && maybeSent || !a.continuation.granted && !s.mayRetry(p.call, failed) {
			s.releaseAttempt(a, failedPlainResult(ctx, answer))
			return s.finalReadAnswer(answer, err, outcome)
		}
		s.recordEvent(p.call, timeline.KindRequestRetried, a.upstream.ID, "")
		a = s.nextAttempt(ctx, a, failedPlainResult(ctx, answer))
	}
}

// isRepeatable reports whether calls with the method may be sent again after a byte may have been sent.
func isRepeatable(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodPut, http.MethodDelete:
		return true
	default:
		return false
	}
}

// finalReadAnswer returns the service's own answer if there is one, and a failure otherwise.
func (s *Server) finalReadAnswer(answer *plainAnswer, err error, outcome order.Outcome) (*plainAnswer, *Failure) {
	if answer != nil {
		return answer, nil
	}
	return nil, upstreamFailure(err, outcome, s.settings.Queue.RetryAfter)
}

// plainFailure returns the caller's answer to a plain call that ended with err or with its context.
func (s *Server) plainFailure(ctx context.Context, err error, outcome order.Outcome) *Failure {
	var refusedErr *queueRefusedError
	switch cause := endCause(ctx); {
	case errors.Is(err, errSuspectRefused):
		return suspectFailure(outcome)
	case errors.As(err, &refusedErr):
		return queueFailure(refusedErr, outcome)
	case errors.Is(cause, errDeadlineExceeded):
		return deadlineFailure(outcome, s.settings.Queue.RetryAfter)
	case cause != nil:
		return upstreamFailure(cause, outcome, 0)
	case outcome == order.OutcomeNotRun:
		return unavailableFailure(httpapi.CodeNoCapacity, "No upstream can take the request.", outcome, s.settings.Queue.RetryAfter)
	default:
		return upstreamFailure(err, outcome, s.settings.Queue.RetryAfter)
	}
}

// failedPlainResult returns what a failed call says about its upstream. The answer is nil if there was none.
func failedPlainResult(ctx context.Context, answer *plainAnswer) attemptResult {
	if answer == nil {
		return attemptResultOf(ctx, errFailedCall, 0)
	}
	return attemptResultOf(ctx, &statusError{status: answer.status, outcome: answer.outcome}, 0)
}

// handlePlainFailure handles the fault of a failed call and excludes the upstream if the call must
// not be sent to it again.
func (s *Server) handlePlainFailure(p *plainCall, a *attempt, answer *plainAnswer, err error, maybeSent bool) {
	var fault *upstreamFault
	switch {
	case err == nil:
		fault = &upstreamFault{kind: faultStatus, err: &statusError{status: answer.status, outcome: answer.outcome}}
	case !errors.As(err, &fault):
		return
	}
	if s.handleFault(p.call, a, fault, maybeSent) {
		p.exclude(a.upstream.ID)
	}
}

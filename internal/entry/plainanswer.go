package entry

import (
	"context"
	"io"
	"maps"
	"net/http"
	"time"

	"savoryweir/internal/protocol/httpapi"
	"savoryweir/internal/state/order"
	"savoryweir/internal/transport/upstreamhttp"
)

// sendPlain makes one attempt. The returned boolean reports whether a byte may have been sent; it
// is false only if the call did not run and will not run. A silent attempt ends before the caller's
// deadline only if mayRepeat, which is nil for orders, allows another one.
func (s *Server) sendPlain(ctx context.Context, client *upstreamhttp.Client, p *plainCall, a *attempt, mayRepeat func(connected bool) bool) (*plainAnswer, bool, error) {
	limits := s.settings.Upstreams
	once := mayRepeat == nil
	ctx, cancel := context.WithCancelCause(ctx)
	timeouts := newWatchdog(limits.IdleTimeout, cancel)
	if once {
		timeouts.tolerateUntil(p.request.Deadline, func() { s.probeSilent(p.call, a) })
	} else {
		timeouts.tolerate = func() time.Duration {
			return s.tolerateSilence(ctx, a, timeouts, func() bool { return mayRepeat(timeouts.connected.Load()) })
		}
	}
	timeouts.start(limits.FirstByteTimeout)
	defer timeouts.stop()
	defer cancel(nil) // ends a probe for which stop would wait
	upstreamID := p.upstreamID()
	h := p.header.Clone()
	h.Set(httpapi.HeaderRequestID, upstreamID)
	response, sent, err := client.Do(timeouts.traceConnection(ctx), upstreamhttp.Request{
		Method: p.method, Address: a.upstream.Address, Path: p.path, Header: h, Body: p.body, AtMostOnce: once, NewConnection: a.newConnection,
	})
	if err != nil {
		maybeSent := sent.MaybeSent()
		return nil, maybeSent, classifySendError(ctx, err, maybeSent)
	}
	defer closeBody(response)
	s.readUpstreamState(a.upstream.ID, response.Header)
	if answerID := response.Header.Get(httpapi.HeaderRequestID); answerID != upstreamID {
		return nil, true, newFault(faultCrossed, "answer carries the request id %q, which is not the id of this attempt", answerID)
	}
	answer, err := readPlain(ctx, response, timeouts, limits.MaxAnswerBytes)
	if err != nil {
		return nil, true, err
	}
	return answer, answer.outcome != order.OutcomeNotRun, nil
}

// readPlain reads a complete answer of limit bytes at most.
func readPlain(ctx context.Context, response *http.Response, timeouts *watchdog, limit int64) (*plainAnswer, error) {
	if !hasDetectableEnd(response) {
		return nil, &upstreamFault{kind: faultNoEnd, err: errUnknownLength}
	}
	body, err := io.ReadAll(io.LimitReader(progressReader{response.Body, timeouts}, limit+1))
	if err != nil {
		return nil, classifySendError(ctx, err, true)
	}
	if int64(len(body)) > limit {
		return nil, &upstreamFault{kind: faultTooLarge, err: errAnswerTooLarge}
	}
	return &plainAnswer{
		status:      response.StatusCode,
		contentType: response.Header.Get("Content-Type"),
		header:      selectHeaders(response.Header, forwardedResponseHeaders),
		body:        body,
		outcome:     answerOutcome(response),
	}, nil
}

// hasDetectableEnd reports whether a complete answer can be told from one that a broken connection cut short.
func hasDetectableEnd(response *http.Response) bool {
	chunked := len(response.TransferEncoding) > 0
	return response.ContentLength >= 0 || chunked || response.ProtoMajor >= 2
}

// answerOutcome returns whether a call ran, as far as the service's complete answer tells.
func answerOutcome(response *http.Response) order.Outcome {
	switch response.StatusCode {
	case http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout, http.StatusTooManyRequests:
		return outcomeFromHeader(response.Header)
	default:
		return order.OutcomeRan
	}
}

// writePlain writes the answer of a plain service to the caller.
func (s *Server) writePlain(w http.ResponseWriter, c *call, a *plainAnswer) {
	h := w.Header()
	maps.Copy(h, a.header)
	setAnswerHeaders(h, c)
	h.Set(httpapi.HeaderOutcome, string(a.outcome))
	if a.contentType != "" {
		h.Set("Content-Type", a.contentType)
	}
	if a.replayed {
		h.Set(httpapi.HeaderReplayed, "true")
	}
	w.WriteHeader(a.status)
	_, _ = w.Write(a.body)
	s.recordFinished(c)
}

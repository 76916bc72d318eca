package entry

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"savoryweir/internal/coordination/routing"
	"savoryweir/internal/protocol/httpapi"
	"savoryweir/internal/state/order"
	"savoryweir/internal/state/timeline"
	"savoryweir/internal/transport/upstreamhttp"
)

const chatPath = "/v1/chat/completions"

// serveChat handles a chat completion request.
func (s *Server) serveChat(w http.ResponseWriter, r *http.Request) {
	c, failure := s.newCall(r)
	if failure != nil {
		s.reject(w, c, failure)
		return
	}
	body, err := s.readBody(w, r)
	if err != nil {
		s.reject(w, c, badRequestFailure(err))
		return
	}
	chat, err := httpapi.ParseChat(body)
	if err != nil {
		s.reject(w, c, badRequestFailure(err))
		return
	}
	defer s.table.releaseSlot(c)
	if failure := s.routeChat(r, c, chat); failure != nil {
		s.reject(w, c, failure)
		return
	}
	s.generate(w, r, c, chat)
}

// routeChat resolves the model and its service and assigns them to the call.
func (s *Server) routeChat(r *http.Request, c *call, chat httpapi.ChatRequest) *Failure {
	model, adapter, ok := c.view.Resolve(chat.Model)
	if !ok {
		return notFoundFailure(httpapi.CodeUnknownModel, "No model or adapter has this name.")
	}
	service, ok := c.view.Bundle.Service(model.Service)
	if !ok {
		return notFoundFailure(httpapi.CodeUnknownModel, "The model belongs to no service.")
	}
	c.request.Model = model.ID
	c.request.Adapter = adapter
	c.request.PrefixHash = chat.PrefixHash
	c.fingerprint = chat.Fingerprint
	s.demand.countRequest(c)
	return s.assignService(r, c, service)
}

// generate runs a chat completion and writes its answer, streamed or as one body.
func (s *Server) generate(w http.ResponseWriter, r *http.Request, c *call, chat httpapi.ChatRequest) {
	g := &generationRun{server: s, call: c, chat: chat}
	g.reader = streamReader{
		upstreamID: httpapi.UpstreamRequestID(c.id, chat.Fingerprint),
		callerID:   c.id,
		maxTokens:  s.settings.Upstreams.MaxTokens,
	}
	if chat.Stream {
		g.reader.offset = c.headers.ResumeOffset
		g.sink = newStreamSink(w, c, s.settings.Callers.WriteTimeout)
	} else {
		g.sink = &completionSink{w: w, call: c, model: chat.Model}
	}
	g.startOffset = g.reader.offset
	ctx, cancel := c.context(r)
	defer cancel()
	if chat.Stream {
		var stop func()
		ctx, stop = s.drain.withHandover(ctx)
		defer stop()
	}
	failure := s.withRetryAfter(c, g.run(ctx))
	s.demand.countResult(c, g.reader.offset-g.startOffset, failure)
	if failure == nil {
		s.recordFinished(c)
		return
	}
	s.recordFailure(c, failure)
	g.sink.fail(failure)
}

// generationRun is the state of one chat completion over all its attempts.
type generationRun struct {
	server      *Server
	call        *call
	chat        httpapi.ChatRequest
	reader      streamReader
	sink        answerSink
	startOffset int  // offset after which the caller's answer starts
	maybeSent   bool // a byte of the request may have been sent to an upstream
	// attemptsWithoutProgress is the number of failed attempts in a row that returned no event.
	attemptsWithoutProgress int
}

func (g *generationRun) outcome() order.Outcome {
	return outcomeOf(g.maybeSent, g.reader.offset > g.startOffset)
}

// run sends the request to one upstream after another until its answer is complete. It returns
// the failure if the request is not retried any more.
func (g *generationRun) run(ctx context.Context) *Failure {
	s := g.server
	var a *attempt
	for {
		g.call.request.Tokens = float64(max(g.call.headers.AnswerTokens-g.reader.offset, 0))
		if a == nil {
			var err error
			if a, err = s.waitForUpstream(ctx, g.call); err != nil {
				return g.acquireFailure(ctx, err)
			}
		}
		s.recordEvent(g.call, timeline.KindRequestRouted, a.upstream.ID, "")
		offsetBefore := g.reader.offset
		err := g.send(ctx, a)
		failure := g.handleSendResult(ctx, a, err, offsetBefore)
		result := attemptResultOf(ctx, err, g.reader.offset-offsetBefore)
		if err == nil || failure != nil {
			s.releaseAttempt(a, result)
			return failure
		}
		s.recordEvent(g.call, timeline.KindRequestRetried, a.upstream.ID, err.Error())
		a = s.nextAttempt(ctx, a, result)
	}
}

// handleSendResult counts a failed attempt. It returns the failure if the request must not be
// retried, and nil otherwise.
func (g *generationRun) handleSendResult(ctx context.Context, a *attempt, err error, offsetBefore int) *Failure {
	if err == nil {
		return nil
	}
	g.attemptsWithoutProgress++
	if g.reader.offset > offsetBefore {
		g.attemptsWithoutProgress = 0
	}
	return g.failureAfterSend(ctx, a, err)
}

// acquireFailure returns the caller's answer when no upstream could be acquired.
func (g *generationRun) acquireFailure(ctx context.Context, err error) *Failure {
	if cause := endCause(ctx); cause != nil {
		return g.contextFailure(cause)
	}
	if errors.Is(err, errSuspectRefused) {
		return suspectFailure(g.outcome())
	}
	var refusedErr *queueRefusedError
	if errors.As(err, &refusedErr) {
		return queueFailure(refusedErr, g.outcome())
	}
	if g.maybeSent {
		return upstreamFailure(err, g.outcome(), g.server.settings.Queue.RetryAfter)
	}
	return unavailableFailure(httpapi.CodeNoCapacity, "No upstream can take the request.", order.OutcomeNotRun, g.server.settings.Queue.RetryAfter)
}

// contextFailure returns the caller's answer when the call's context ended with cause.
func (g *generationRun) contextFailure(cause error) *Failure {
	switch {
	case errors.Is(cause, errDeadlineUnreachable):
		return unreachableDeadlineFailure(g.outcome(), g.server.settings.Queue.RetryAfter)
	case errors.Is(cause, errDeadlineExceeded):
		return deadlineFailure(g.outcome(), g.server.settings.Queue.RetryAfter)
	case errors.Is(cause, errHandover):
		return unavailableFailure(httpapi.CodeStopping,
			"This instance stops. Send the request again with its id and the id of the last event.",
			g.outcome(), g.server.settings.Queue.RetryAfter)
	default:
		return upstreamFailure(cause, g.outcome(), 0)
	}
}

// failureAfterSend handles the fault of a failed attempt. It returns the caller's answer if the
// request must not be retried, and nil if another attempt follows.
func (g *generationRun) failureAfterSend(ctx context.Context, a *attempt, err error) *Failure {
	s := g.server
	var fault *upstreamFault
	if errors.As(err, &fault) && s.handleFault(g.call, a, fault, g.maybeSent) {
		g.call.exclude(a.upstream.ID)
	}
	if cause := endCause(ctx); cause != nil {
		return g.contextFailure(cause)
	}
	if errors.Is(err, errCallerDisconnected) || errors.Is(err, errDeadlineUnreachable) {
		return g.contextFailure(err)
	}
	var statusErr *statusError
	if errors.As(err, &statusErr) {
		return g.failureAfterStatus(a, statusErr)
	}
	if g.attemptsWithoutProgress > 0 && !a.continuation.granted && !s.mayRetry(g.call, g.attemptsWithoutProgress) {
		return upstreamFailure(err, g.outcome(), s.settings.Queue.RetryAfter)
	}
	return nil
}

// failureAfterStatus handles an error status of an engine. A status below 500 is the caller's answer
// at once, unless the engine is overloaded or lacks the model. After every other status the request
// is retried at other upstreams while the limits allow it.
func (g *generationRun) failureAfterStatus(a *attempt, statusErr *statusError) *Failure {
	s := g.server
	isFinal := statusErr.status < http.StatusInternalServerError && !statusErr.isOverload() && !statusErr.modelMissing
	if isFinal {
		return statusErr.failure(0)
	}
	g.call.exclude(a.upstream.ID)
	if !s.mayRetry(g.call, g.attemptsWithoutProgress) {
		return statusErr.failure(s.settings.Queue.RetryAfter)
	}
	return nil
}

// send makes one attempt. The request resumes after the last event that the caller has.
func (g *generationRun) send(ctx context.Context, a *attempt) error {
	s := g.server
	ctx, cancel := context.WithCancelCause(ctx)
	timeouts := newWatchdog(s.settings.Upstreams.IdleTimeout, cancel)
	timeouts.tolerate = func() time.Duration {
		return s.tolerateSilence(ctx, a, timeouts, func() bool {
			return s.table.hasEvents(a) || s.spendRetry(g.call, g.attemptsWithoutProgress+1)
		})
	}
	timeouts.start(s.settings.Upstreams.FirstByteTimeout)
	defer timeouts.stop()
	defer cancel(nil) // ends a probe for which stop would wait
	response, sent, err := s.repeatClient.Do(ctx, g.request(a))
	if err != nil {
		maybeSent := sent.MaybeSent()
		g.maybeSent = g.maybeSent || maybeSent
		return classifySendError(ctx, err, maybeSent)
	}
	defer closeBody(response)
	s.readUpstreamState(a.upstream.ID, response.Header)
	if response.StatusCode != http.StatusOK {
		statusErr := newStatusError(response)
		g.maybeSent = g.maybeSent || statusErr.outcome != order.OutcomeNotRun
		return statusErr
	}
	g.maybeSent = true
	if answerID := response.Header.Get(httpapi.HeaderRequestID); answerID != g.reader.upstreamID {
		return newFault(faultCrossed, "answer carries the request id %q, which is not the id of this attempt", answerID)
	}
	g.reader.received = s.table.trackStream(a, cancel)
	body := progressReader{response.Body, timeouts}
	return g.reader.copyEvents(ctx, body, s.settings.Upstreams.MaxEventBytes, g.sink)
}

func (g *generationRun) request(a *attempt) upstreamhttp.Request {
	h := make(http.Header)
	h.Set("Content-Type", "application/json")
	h.Set("Accept", "text/event-stream")
	h.Set(httpapi.HeaderRequestID, g.reader.upstreamID)
	h.Set(httpapi.HeaderPriority, strconv.Itoa(priorityOf(g.call.request.Class)))
	if g.reader.offset > 0 {
		h.Set(httpapi.HeaderResumeOffset, strconv.Itoa(g.reader.offset))
	}
	return upstreamhttp.Request{
		Method: http.MethodPost, Address: a.upstream.Address, Path: chatPath, Header: h, Body: g.chat.Body, NewConnection: a.newConnection,
	}
}

// Priorities of the request classes at engines. An engine runs a lower number first.
const (
	priorityNow       = 0
	priorityLong      = 1
	priorityOvernight = 2
)

func priorityOf(class routing.Class) int {
	switch class {
	case routing.ClassLong:
		return priorityLong
	case routing.ClassOvernight:
		return priorityOvernight
	default:
		return priorityNow
	}
}

// maxDrainBytes is the number of unread bytes of an answer that are read so that its connection can be reused.
const maxDrainBytes = 4 << 10

// closeBody reads the rest of a short body and closes it.
func closeBody(response *http.Response) {
	_, _ = io.CopyN(io.Discard, response.Body, maxDrainBytes)
	_ = response.Body.Close()
}

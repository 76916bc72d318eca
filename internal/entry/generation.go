package entry

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"

	"savoryweir/internal/coordination/routing"
	"savoryweir/internal/protocol/httpapi"
	"savoryweir/internal/state/order"
	"savoryweir/internal/state/timeline"
	"savoryweir/internal/transport/upstreamhttp"
)

const chatPath = "/v1/chat/completions"

// serveChat answers a chat completion request.
func (s *Server) serveChat(w http.ResponseWriter, r *http.Request) {
	c, failure := s.newCall(r)
	if failure != nil {
		s.reject(w, c, failure)
		return
	}
	body, err := s.readBody(w, r)
	if err != nil {
		s.reject(w, c, badRequest(err))
		return
	}
	chat, err := httpapi.ParseChat(body)
	if err != nil {
		s.reject(w, c, badRequest(err))
		return
	}
	defer s.table.leave(c)
	if failure := s.routeChat(r, c, chat); failure != nil {
		s.reject(w, c, failure)
		return
	}
	s.generate(w, r, c, chat)
}

// routeChat finds the model and its service.
func (s *Server) routeChat(r *http.Request, c *call, chat httpapi.ChatRequest) *Failure {
	model, adapter, ok := c.view.Resolve(chat.Model)
	if !ok {
		return notFound(httpapi.CodeUnknownModel, "No model or adapter has this name.")
	}
	service, ok := c.view.Bundle.Service(model.Service)
	if !ok {
		return notFound(httpapi.CodeUnknownModel, "The model belongs to no service.")
	}
	c.request.Model = model.ID
	c.request.Adapter = adapter
	c.request.PrefixHash = chat.PrefixHash
	c.fingerprint = chat.Fingerprint
	s.demand.arrived(c)
	return s.setService(r, c, service)
}

func (s *Server) generate(w http.ResponseWriter, r *http.Request, c *call, chat httpapi.ChatRequest) {
	g := &generation{server: s, call: c, chat: chat}
	g.reader = streamReader{
		upstreamID: httpapi.UpstreamRequestID(c.id, chat.Fingerprint),
		callerID:   c.id,
		maxTokens:  s.settings.Upstreams.MaxTokens,
	}
	if chat.Stream {
		g.reader.offset = c.headers.Offset
		g.sink = newStreamSink(w, c, s.settings.Callers.WriteTimeout)
	} else {
		g.sink = &wholeSink{w: w, call: c, model: chat.Model}
	}
	g.first = g.reader.offset
	ctx, cancel := c.context(r)
	defer cancel()
	if chat.Stream {
		var stop func()
		ctx, stop = s.drain.handingOver(ctx)
		defer stop()
	}
	failure := s.withRetryAfter(c, g.run(ctx))
	s.demand.ended(c, g.reader.offset-g.first, failure)
	if failure == nil {
		s.finished(c)
		return
	}
	s.noteFailure(c, failure)
	g.sink.fail(failure)
}

// generation is the work for one chat completion over all its sends.
type generation struct {
	server *Server
	call   *call
	chat   httpapi.ChatRequest
	reader streamReader
	sink   answerSink
	first  int  // offset at which the caller's answer starts
	sent   bool // a byte may have left towards an upstream
	// fruitless counts the failed sends in a row that brought nothing.
	fruitless int
}

func (g *generation) outcome() order.Outcome {
	return outcomeOf(g.sent, g.reader.offset > g.first)
}

// run sends the request until its answer is whole or it is given up.
func (g *generation) run(ctx context.Context) *Failure {
	s := g.server
	for {
		g.call.request.Tokens = float64(max(g.call.headers.Tokens-g.reader.offset, 0))
		f, err := s.waitForUpstream(ctx, g.call)
		if err != nil {
			return g.noUpstream(ctx, err)
		}
		s.record(g.call, timeline.KindRequestRouted, f.upstream.ID, "")
		before := g.reader.offset
		err = g.send(ctx, f)
		failure := g.after(ctx, f, err, before)
		s.releaseFlight(f, resultOf(ctx, err, g.reader.offset-before))
		if err == nil || failure != nil {
			return failure
		}
		s.record(g.call, timeline.KindRequestRetried, f.upstream.ID, err.Error())
	}
}

// after judges a failed send.
func (g *generation) after(ctx context.Context, f *flight, err error, before int) *Failure {
	if err == nil {
		return nil
	}
	g.fruitless++
	if g.reader.offset > before {
		g.fruitless = 0
	}
	return g.giveUp(ctx, f, err)
}

func (g *generation) noUpstream(ctx context.Context, err error) *Failure {
	if cause := causeOf(ctx); cause != nil {
		return g.ended(cause)
	}
	if errors.Is(err, errSuspect) {
		return suspectFailure(g.outcome())
	}
	var refused *refusedError
	if errors.As(err, &refused) {
		return queueFailure(refused, g.outcome())
	}
	if g.sent {
		return upstreamFailure(err, g.outcome(), g.server.settings.Queue.RetryAfter)
	}
	return unavailable(httpapi.CodeNoCapacity, "No upstream can take the request.", order.OutcomeNotRun, g.server.settings.Queue.RetryAfter)
}

// ended turns the end of the call's context into the caller's answer.
func (g *generation) ended(cause error) *Failure {
	switch {
	case errors.Is(cause, errLate):
		return lateFailure(g.outcome(), g.server.settings.Queue.RetryAfter)
	case errors.Is(cause, errDeadline):
		return deadlineFailure(g.outcome(), g.server.settings.Queue.RetryAfter)
	case errors.Is(cause, errHandover):
		return unavailable(httpapi.CodeStopping,
			"This instance stops. Send the request again with its id and the id of the last event.",
			g.outcome(), g.server.settings.Queue.RetryAfter)
	default:
		return upstreamFailure(cause, g.outcome(), 0)
	}
}

// giveUp decides after a failed send whether the request is finally refused.
func (g *generation) giveUp(ctx context.Context, f *flight, err error) *Failure {
	s := g.server
	var fault *upstreamFault
	if errors.As(err, &fault) && s.judgeFault(g.call, f, fault, g.sent) {
		g.call.exclude(f.upstream.ID)
	}
	if cause := causeOf(ctx); cause != nil {
		return g.ended(cause)
	}
	if errors.Is(err, errCallerGone) || errors.Is(err, errLate) {
		return g.ended(err)
	}
	var refused *refusal
	if errors.As(err, &refused) {
		return g.afterRefusal(f, refused)
	}
	if g.fruitless > 0 && !s.mayRetry(g.call, g.fruitless) {
		return upstreamFailure(err, g.outcome(), s.settings.Queue.RetryAfter)
	}
	return nil
}

func (g *generation) afterRefusal(f *flight, refused *refusal) *Failure {
	s := g.server
	isFinal := refused.status < http.StatusInternalServerError && !refused.forLoad() && !refused.absent
	if isFinal {
		return refused.failure(0)
	}
	g.call.exclude(f.upstream.ID)
	if !s.mayRetry(g.call, g.fruitless) {
		return refused.failure(s.settings.Queue.RetryAfter)
	}
	return nil
}

// send sends the request once, from the offset that the caller has.
func (g *generation) send(ctx context.Context, f *flight) error {
	s := g.server
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	dog := newWatchdog(s.settings.Upstreams.FirstByteTimeout, s.settings.Upstreams.IdleTimeout, cancel)
	defer dog.stop()
	response, sent, err := s.repeat.Do(ctx, g.request(f))
	if err != nil {
		left := sent.MayHaveLeft()
		g.sent = g.sent || left
		return sendFault(ctx, err, left)
	}
	defer closeBody(response)
	s.observe(f.upstream.ID, response.Header)
	if response.StatusCode != http.StatusOK {
		refused := newRefusal(response)
		g.sent = g.sent || refused.outcome != order.OutcomeNotRun
		return refused
	}
	g.sent = true
	if got := response.Header.Get(httpapi.HeaderRequestID); got != g.reader.upstreamID {
		return newFault(faultCrossed, "the answer carries the id %q", got)
	}
	g.reader.arrived = s.table.follow(f, cancel)
	body := progressReader{response.Body, dog}
	return g.reader.copy(ctx, body, s.settings.Upstreams.MaxEventBytes, g.sink)
}

func (g *generation) request(f *flight) upstreamhttp.Request {
	h := make(http.Header)
	h.Set("Content-Type", "application/json")
	h.Set("Accept", "text/event-stream")
	h.Set(httpapi.HeaderRequestID, g.reader.upstreamID)
	h.Set(httpapi.HeaderPriority, strconv.Itoa(priorityOf(g.call.request.Class)))
	if g.reader.offset > 0 {
		h.Set(httpapi.HeaderResumeOffset, strconv.Itoa(g.reader.offset))
	}
	return upstreamhttp.Request{
		Method: http.MethodPost, Address: f.upstream.Address, Path: chatPath, Header: h, Body: g.chat.Body, Fresh: f.fresh,
	}
}

// Priorities of the classes at engines; a lower number runs first.
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

// maxDrainBytes is how much of an unread answer is read to keep its connection.
const maxDrainBytes = 4 << 10

func closeBody(response *http.Response) {
	_, _ = io.CopyN(io.Discard, response.Body, maxDrainBytes)
	_ = response.Body.Close()
}

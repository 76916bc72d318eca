package gateway

import (
	"context"
	"errors"
	"net/http"
	"time"

	"savoryweir/internal/node/registry"
	"savoryweir/internal/state/fleet"
	"savoryweir/internal/transport/upstreamconn"
	"savoryweir/platform"
)

// attempt is one send of the request and what came of it.
type attempt struct {
	flight   *flight
	exchange *upstreamconn.Exchange
	answer   platform.Response
	failure  failure
	err      error
}

type failure uint8

const (
	failureNone   failure = iota
	failureDial           // nothing was sent
	failureNotRun         // the upstream says that it did not run the request
	failureLost           // the request may have run
	failureCaller         // the caller has left or the time is over
)

func (f failure) String() string {
	return [...]string{"answered", "no connection", "not run", "lost", "ended"}[f]
}

// send sends the request to an upstream and reads the head of the answer.
func (c *call) send(ctx context.Context, f *flight, resumeAfter string) attempt {
	g := c.gateway
	left := time.Until(c.due)
	header := platform.ForwardHeaders(c.request.Header, platform.Attempt{
		Upstream: string(f.upstream.ID), Remaining: left, Urgency: c.urgency(), LastEventID: resumeAfter,
	})
	f.begin()
	g.Log.Info().Str("event", "request.sent").Str("request", c.wire.ID).Str("upstream", string(f.upstream.ID)).
		Uint64("config", c.version).Uint64("entry", f.upstream.EntryVersion).Str("model", c.wire.Model).Str("adapter", c.wire.Adapter).
		Dur("expected", f.expected).Dur("unread", f.ahead).Int("running", f.running).Float64("slow", f.slow).Float64("fails", f.fails).
		Str("resume_after", resumeAfter).Dur("left", left).Msg("request sent on")
	exchange, err := g.Pool.Do(ctx, upstreamconn.Request{
		Address: f.upstream.Address, Method: c.request.Method, Target: c.target, Host: c.request.Host,
		Header: header, Body: c.body, AtMostOnce: !c.route.IsRepeatable(),
	})
	a := attempt{flight: f, exchange: exchange, err: err}
	if err != nil {
		a.failure = c.classify(ctx, err)
	} else {
		a.answer = platform.DecodeResponse(exchange.Response.StatusCode, exchange.Response.Header)
		a.failure = c.judge(&a)
	}
	c.record(&a)
	return a
}

// urgency ranks a stream by the priority of its route; plain services take none.
func (c *call) urgency() int {
	if c.engines == nil {
		return -1
	}
	return min(c.route.Priority*urgencyStep, platform.MaxUrgency)
}

// urgencyStep spreads the priorities over the values of urgency.
const urgencyStep = 2

func (c *call) classify(ctx context.Context, err error) failure {
	var failed *upstreamconn.Failure
	sent := !errors.As(err, &failed) || failed.MaybeSent
	switch {
	case !sent && ctx.Err() != nil:
		return failureCaller
	case !sent:
		return failureDial
	default:
		return failureLost
	}
}

// judge tells whether an answer's head belongs to the request and is fit to pass on.
func (c *call) judge(a *attempt) failure {
	switch {
	case a.answer.RequestID == "" && a.answer.NotExecuted:
		return failureNotRun // refusals need not name the request
	case a.answer.RequestID != c.wire.ID:
		a.err = errForeignAnswer
		return failureLost
	case a.answer.NotExecuted && a.exchange.Response.StatusCode >= http.StatusBadRequest:
		return failureNotRun
	case a.exchange.Response.StatusCode < http.StatusMultipleChoices && (!a.answer.Signed || a.answer.Encoded):
		a.err = errUnsigned
		return failureLost
	default:
		return failureNone
	}
}

var (
	errForeignAnswer = errors.New("the answer belongs to another request")
	errUnsigned      = errors.New("the answer has no signature")
)

// record counts the attempt and learns from it.
func (c *call) record(a *attempt) {
	g := c.gateway
	id := a.flight.upstream.ID
	c.tried[id] = true
	g.Metrics.CountSend(a.failure.String())
	switch a.failure {
	case failureDial:
		c.dials++
		a.flight.failed()
		a.flight.erred()
		g.Pool.CloseIdle(a.flight.upstream.Address)
	case failureNotRun:
		c.sends++
		c.learnRefusal(a)
	case failureLost:
		c.sends++
		c.mayHaveRun = true
		if !c.hasLeft() {
			a.flight.failed()
			c.brokeOff(a.flight, a.err)
		}
	case failureNone:
		c.sends++
		c.mayHaveRun = true
	}
	if a.failure == failureNone {
		return
	}
	line := g.Log.Info().Str("event", "request.send_failed").Str("request", c.wire.ID).Str("upstream", string(id)).
		Str("address", a.flight.upstream.Address).Str("failure", a.failure.String()).Int("sends", c.sends).
		Dur("took", time.Since(a.flight.began)).Dur("expected", a.flight.expected)
	if a.exchange != nil {
		line = line.Int("status", a.exchange.Response.StatusCode)
	}
	line.Err(a.err).Msg("send failed")
	a.flight.end()
	if a.exchange != nil {
		a.exchange.Close()
	}
}

// learnRefusal corrects what is known of an upstream that did not run a request.
func (c *call) learnRefusal(a *attempt) {
	u := a.flight.upstream
	if a.exchange.Response.StatusCode == http.StatusMisdirectedRequest && c.wire.Model != "" {
		c.gateway.Registry.MarkAbsent(registry.ResidentKey{Upstream: u.ID, Model: c.wire.Model, Adapter: c.wire.Adapter})
		return
	}
	a.flight.failed()
}

// untried returns the upstreams that this request was not sent to, or all of them
// where there are no others.
func (c *call) untried(from []*fleet.Upstream) []*fleet.Upstream {
	var fresh []*fleet.Upstream
	for _, u := range from {
		if !c.tried[u.ID] {
			fresh = append(fresh, u)
		}
	}
	return fresh
}

package gateway

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"savoryweir/internal/protocol/forwardhttp"
	"savoryweir/internal/state/fleet"
	"savoryweir/internal/transport/upstreamconn"
	"savoryweir/platform"
)

// Peer is another instance that a request can be forwarded to.
type Peer struct {
	Instance string
	Address  string // IP address and port for forwarded requests
}

const (
	// maxForwards bounds the instances that one request is forwarded to.
	maxForwards = 3
	// reasonUnreachable is the reason of a refusal because no upstream is within reach.
	reasonUnreachable = "no upstream within reach"
)

// ForwardedHandler returns the handler of the requests that other instances forward. They are sent to
// upstreams only, never to a further instance.
func (g *Gateway) ForwardedHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		forwarded := forwardhttp.Decode(r.Header)
		forwardhttp.Remove(r.Header)
		g.serveHTTP(w, r, &forwarded)
	})
}

// encodeForwardedResponse sets what the instance that forwarded the request has to know of a response.
func (c *call) encodeForwardedResponse(isOwn, tryOther bool) {
	if c.forwarded != nil {
		forwardhttp.Response{IsOwn: isOwn, TryOther: tryOther, Sends: c.sendCount(), Config: c.configVersion}.Encode(c.writer.Header())
	}
}

// serveThroughPeers serves a request whose upstreams are all out of reach of this instance: it forwards
// it to other instances until one of them responds. If none does, the request ends with the reason.
func (c *call) serveThroughPeers(ctx context.Context, reason string) {
	if c.forwarded == nil {
		for n, peer := range c.gateway.Peers() {
			if n == maxForwards || ctx.Err() != nil {
				break
			}
			switch c.forwardTo(ctx, peer) {
			case forwardDone:
				return
			case forwardFailed:
				c.failStream(ctx, reason)
				return
			case forwardNext:
			}
		}
	}
	if !c.firstByteAt.IsZero() {
		c.abortStream(reason)
	}
	if c.forwarded != nil && !c.possiblyExecuted() {
		c.refuseAtThisInstance(http.StatusServiceUnavailable, unservedRetryAfter, reason)
		return
	}
	c.respondUnserved(ctx, reason)
}

// refuseAtThisInstance refuses a request for a reason that concerns this instance alone. If another
// instance has forwarded the request, it may try a further one.
func (c *call) refuseAtThisInstance(status int, retryAfter time.Duration, reason string) {
	c.tryOther = true
	c.refuse(status, retryAfter, reason)
}

// forwardOutcome is how a forwarded request ended.
type forwardOutcome uint8

const (
	forwardDone   forwardOutcome = iota // the caller has its final response
	forwardNext                         // another instance may serve the request
	forwardFailed                       // the request may have been executed and can't be sent again
)

// forwardTo forwards the request to another instance and the response to the caller.
func (c *call) forwardTo(ctx context.Context, peer Peer) forwardOutcome {
	a := c.newAttempt(ctx, &trackedRequest{upstream: &fleet.Upstream{ID: fleet.UpstreamID("instance " + peer.Instance), Address: peer.Address}})
	defer a.cancel(nil)
	own := c.sendToPeer(a)
	switch {
	case a.failure == failureConnect:
		c.gateway.ReportSilentPeer(peer.Instance)
		return forwardNext
	case a.failure == failureIndeterminate:
		return c.retryForward(ctx, a.failure.String())
	case a.failure == failureCanceled:
		return forwardFailed
	}
	defer a.exchange.Close()
	if own.IsOwn {
		return c.respondAsPeer(a, own)
	}
	result := c.relayForwarded(ctx, a)
	if result.isFinal {
		return forwardDone
	}
	return c.retryForward(ctx, result.reason)
}

// relayForwarded forwards the response of an upstream to the caller. Once a stream has begun, only events may follow.
func (c *call) relayForwarded(ctx context.Context, a *attempt) attemptResult {
	h := &hedge{call: c, ctx: ctx, present: a}
	switch {
	case c.route.Kind == fleet.KindStream && a.exchange.Response.StatusCode == http.StatusOK:
		return c.relayEvents(a, h)
	case !c.firstByteAt.IsZero():
		return attemptResult{reason: reasonEngineFailed}
	default:
		return c.relayPeerResponse(a, h)
	}
}

// retryForward returns whether a forwarded request whose response did not arrive is forwarded again.
func (c *call) retryForward(ctx context.Context, reason string) forwardOutcome {
	if !c.route.IsRepeatable() || ctx.Err() != nil || !c.acquireRetry(reason) {
		return forwardFailed
	}
	return forwardNext
}

// sendToPeer sends the request to another instance and reads the head of the response.
func (c *call) sendToPeer(a *attempt) (own forwardhttp.Response) {
	g := c.gateway
	left := time.Until(c.deadline)
	header := platform.ForwardHeaders(c.request.Header, platform.Attempt{Remaining: left, Urgency: -1, LastEventID: c.lastEventID, Identity: c.identity()})
	if c.lastEventID != "" {
		platform.SetResumed(header, c.streamRequest())
	}
	c.forwardedRequest().Encode(header)
	g.Log.Info().Str("event", "request.forwarded").Str("request", c.params.ID).Str("to", string(a.tracked.upstream.ID)).Str("resume_after", c.lastEventID).
		Dur("left", left).Msg("no upstream within reach; request forwarded to another instance")
	a.exchange, a.err = g.PeerPool.Do(a.ctx, upstreamconn.Request{
		Address: a.tracked.upstream.Address, Method: c.request.Method, Target: c.requestURI, Host: c.request.Host,
		Header: header, Body: c.body, AtMostOnce: !c.route.IsRepeatable(), IsAbandoned: c.callerDisconnected,
	})
	if a.err != nil {
		a.failure = classifyError(a.ctx, a.err)
	} else {
		h := a.exchange.Response.Header
		own = forwardhttp.DecodeResponse(h)
		if !own.TryOther {
			g.configs.recordServed(own.Config)
		}
		forwardhttp.Remove(h)
		a.response = platform.DecodeResponse(a.exchange.Response.StatusCode, h)
		if !own.IsOwn {
			a.failure = c.checkResponse(a)
		}
	}
	c.recordForward(a, own)
	return own
}

// recordForward counts a forwarded request by its result, with the sends of the other instance.
func (c *call) recordForward(a *attempt, own forwardhttp.Response) {
	c.gateway.Metrics.CountForward(a.failure.String())
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case a.failure == failureConnect, a.failure == failureCanceled:
		return
	case a.failure == failureNone && own.IsOwn && (own.TryOther || platform.PromisesNotExecuted(a.exchange.Response.StatusCode)):
	default:
		c.mayHaveExecuted = true
		c.countRun()
	}
	if a.exchange == nil {
		c.attempts++ // the other instance may have sent it before it was lost
	} else {
		c.attempts = max(c.attempts, own.Sends)
	}
	c.consumeRetry(a)
	if a.failure != failureNone && a.exchange != nil {
		a.exchange.Close()
	}
}

// respondAsPeer ends the request with the response that another instance has generated itself.
func (c *call) respondAsPeer(a *attempt, own forwardhttp.Response) forwardOutcome {
	r := a.exchange.Response
	reason, err := io.ReadAll(io.LimitReader(a.exchange, maxBufferedBodyBytes))
	if own.TryOther {
		return forwardNext
	}
	text := string(bytes.TrimSpace(reason))
	if err != nil || text == "" {
		text = "refused by another instance"
	}
	if !c.firstByteAt.IsZero() {
		c.abortStream(text)
	}
	if platform.PromisesNotExecuted(r.StatusCode) {
		c.refuseAfter(r.StatusCode, r.Header.Get("Retry-After"), text)
	} else {
		c.respond(r.StatusCode, text)
	}
	return forwardDone
}

// refuseAfter refuses the request with the Retry-After of another instance.
func (c *call) refuseAfter(status int, retryAfter, reason string) {
	seconds, err := strconv.ParseFloat(retryAfter, 64)
	if err != nil {
		seconds = 0
	}
	c.refuse(status, time.Duration(seconds*float64(time.Second)), reason)
}

// relayPeerResponse forwards a response that is no stream of events.
func (c *call) relayPeerResponse(a *attempt, h *hedge) attemptResult {
	body, isWhole, err := c.bufferResponse(a)
	switch {
	case err != nil:
		c.logBrokenResponse(a, err)
		return attemptResult{reason: "answer broke off"}
	case !isWhole:
		return c.relayLongResponse(a, io.MultiReader(bytes.NewReader(body), a.exchange), h)
	}
	c.writeResponse(a, body)
	return finalResult
}

package gateway

import (
	"net/http"
	"time"

	"github.com/rs/zerolog"

	"savoryweir/internal/transport/hangup"
)

// finish records how the request ended. It is deferred, so that it also runs when the
// handler panics with http.ErrAbortHandler to close the caller's connection; it then
// panics again. Other panics are logged and close the connection in the same way.
func (c *call) finish() {
	recovered := recover()
	if recovered != nil && recovered != http.ErrAbortHandler {
		c.gateway.Log.Error().Str("event", "request.panic").Str("request", c.params.ID).Interface("panic", recovered).Msg("request handler panicked; connection to the caller is closed")
		recovered = http.ErrAbortHandler
	}
	c.gateway.bodyMemory.release(c.bodyMemory)
	c.gateway.responses.release(c.responseBytes)
	c.returnCredit()
	c.releaseWarmupSlot()
	c.recordFairRefusal()
	c.recordCompletion(recovered != nil)
	if recovered != nil {
		if !c.request.ProtoAtLeast(1, 1) { // a response without a length ends with its connection
			hangup.ResetOnClose(c.request.Context())
		}
		panic(recovered)
	}
}

// outcomeCallerDisconnected is the outcome of a request whose caller disconnected before
// the response was complete.
const outcomeCallerDisconnected = "caller left"

// stage returns how far the request has come: the values of the metric label and log field "stage".
func (c *call) stage() string {
	switch {
	case !c.firstByteAt.IsZero():
		return "response"
	case c.sendCount() > 0:
		return "sent"
	case c.isRead:
		return "waiting"
	default:
		return "body"
	}
}

// recordCompletion counts the request and writes its log line, as a warning if the
// request failed or was refused while its caller was still connected.
func (c *call) recordCompletion(aborted bool) {
	g := c.gateway
	g.Metrics.CountRequest(routeKindLabel(c.route), outcomeLabel(c.status, aborted))
	if c.outcome == outcomeCallerDisconnected {
		g.Metrics.CountCallerLeft(c.stage())
	}
	level := zerolog.InfoLevel
	if (aborted || c.status >= http.StatusBadRequest) && c.outcome != outcomeCallerDisconnected {
		level = zerolog.WarnLevel
	}
	entry := g.Log.WithLevel(level).Str("event", "request.end").Str("request", c.params.ID).Str("kind", routeKindLabel(c.route)).
		Uint64("config", c.configVersion).Str("outcome", c.outcome).Int("status", c.status).Bool("aborted", aborted).
		Str("stage", c.stage()).Int("sends", c.attempts).Int("dials", c.failedDials).Dur("took", time.Since(c.arrivedAt))
	if c.route != nil {
		entry = entry.Str("route", c.route.Name).Str("service", c.service).Dur("limit", c.deadline.Sub(c.arrivedAt))
	}
	if c.customer != nil {
		entry = entry.Str("customer", c.customer.Name)
	}
	if c.params.Model != "" {
		entry = entry.Str("model", c.params.Model).Str("adapter", c.params.Adapter).Int("prompt_tokens", c.params.PromptTokens)
	}
	if !c.firstByteAt.IsZero() {
		entry = entry.Dur("first_byte", c.firstByteAt.Sub(c.arrivedAt)).Str("last_event", c.lastEventID)
	}
	entry.Msg("request ended")
}

// outcomeLabel returns the metric label for a final status. aborted means that the
// connection to the caller was closed without a complete response.
func outcomeLabel(status int, aborted bool) string {
	switch {
	case aborted:
		return "aborted"
	case status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests:
		return "refused"
	case status >= http.StatusInternalServerError:
		return "failed"
	case status >= http.StatusBadRequest:
		return "rejected"
	default:
		return "answered"
	}
}

package gateway

import (
	"net/http"
	"time"

	"github.com/rs/zerolog"
)

// finish records how the request ended. It runs also where the handler aborts the
// caller's connection, and lets that go on.
func (c *call) finish() {
	recovered := recover()
	if recovered != nil && recovered != http.ErrAbortHandler {
		c.gateway.Log.Error().Str("event", "request.panic").Str("request", c.params.ID).Interface("panic", recovered).Msg("request failed")
		recovered = http.ErrAbortHandler
	}
	c.recordCompletion(recovered != nil)
	if recovered != nil {
		panic(recovered)
	}
}

// outcomeCallerDisconnected is the outcome of a request whose caller did not wait for the answer.
const outcomeCallerDisconnected = "caller left"

func (c *call) recordCompletion(aborted bool) {
	g := c.gateway
	g.Metrics.CountRequest(routeKindLabel(c.route), outcomeLabel(c.status, aborted))
	level := zerolog.InfoLevel
	if (aborted || c.status >= http.StatusBadRequest) && c.outcome != outcomeCallerDisconnected {
		level = zerolog.WarnLevel
	}
	entry := g.Log.WithLevel(level).Str("event", "request.end").Str("request", c.params.ID).Str("kind", routeKindLabel(c.route)).
		Uint64("config", c.configVersion).Str("outcome", c.outcome).Int("status", c.status).Bool("aborted", aborted).
		Int("sends", c.attempts).Int("dials", c.failedDials).Dur("took", time.Since(c.arrivedAt))
	if c.route != nil {
		entry = entry.Str("route", c.route.Name).Str("service", c.service).Dur("limit", c.deadline.Sub(c.arrivedAt))
	}
	if c.params.Model != "" {
		entry = entry.Str("model", c.params.Model).Str("adapter", c.params.Adapter).Int("prompt_tokens", c.params.PromptTokens)
	}
	if !c.firstByteAt.IsZero() {
		entry = entry.Dur("first_byte", c.firstByteAt.Sub(c.arrivedAt)).Str("last_event", c.lastEventID)
	}
	entry.Msg("request ended")
}

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

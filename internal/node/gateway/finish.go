package gateway

import (
	"net/http"
	"time"

	"github.com/rs/zerolog"
)

// finish records how the request ended. It runs also where the handler aborts the
// caller's connection, and lets that go on.
func (c *call) finish() {
	aborted := recover()
	if aborted != nil && aborted != http.ErrAbortHandler {
		c.gateway.Log.Error().Str("event", "request.panic").Str("request", c.wire.ID).Interface("panic", aborted).Msg("request failed")
		aborted = http.ErrAbortHandler
	}
	c.report(aborted != nil)
	if aborted != nil {
		panic(aborted)
	}
}

// outcomeLeft is the outcome of a request whose caller did not wait for the answer.
const outcomeLeft = "caller left"

func (c *call) report(aborted bool) {
	g := c.gateway
	g.Metrics.CountRequest(kindName(c.route), outcomeLabel(c.status, aborted))
	level := zerolog.InfoLevel
	if (aborted || c.status >= http.StatusBadRequest) && c.outcome != outcomeLeft {
		level = zerolog.WarnLevel
	}
	line := g.Log.WithLevel(level).Str("event", "request.end").Str("request", c.wire.ID).Str("kind", kindName(c.route)).
		Uint64("config", c.version).Str("outcome", c.outcome).Int("status", c.status).Bool("aborted", aborted).
		Int("sends", c.sends).Int("dials", c.dials).Dur("took", time.Since(c.arrived))
	if c.route != nil {
		line = line.Str("route", c.route.Name).Str("service", c.service).Dur("limit", c.due.Sub(c.arrived))
	}
	if c.wire.Model != "" {
		line = line.Str("model", c.wire.Model).Str("adapter", c.wire.Adapter).Int("prompt_tokens", c.wire.PromptTokens)
	}
	if !c.firstByteAt.IsZero() {
		line = line.Dur("first_byte", c.firstByteAt.Sub(c.arrived)).Str("last_event", c.lastEvent)
	}
	line.Msg("request ended")
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

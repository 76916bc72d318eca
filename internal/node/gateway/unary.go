package gateway

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"savoryweir/internal/state/fleet"
	"savoryweir/platform"
)

const (
	// maxBufferedBodyBytes is the size up to which an answer is read whole before it is
	// passed on, so that one that breaks off can be asked for again.
	maxBufferedBodyBytes = 256 << 10
	// attemptTimeoutTargets is the multiple of the target after which a safe request that
	// has no answer is sent to another upstream.
	attemptTimeoutTargets = 2.5
	// minAttemptTimeout is the shortest such time: two exchanges between zones with a lost packet.
	minAttemptTimeout = 250 * time.Millisecond
)

// serveUnary serves a request that is answered at once.
func (c *call) serveUnary(ctx context.Context) {
	for {
		tracked, ok := c.chooseUnaryUpstream()
		if !ok {
			c.respondUnserved(ctx, "no upstream")
			return
		}
		retryNeeded, reason := c.attemptUnary(ctx, tracked)
		if !retryNeeded {
			return
		}
		if ctx.Err() != nil || !c.acquireRetry(reason) {
			c.respondUnserved(ctx, reason)
			return
		}
	}
}

func (c *call) chooseUnaryUpstream() (*trackedRequest, bool) {
	g := c.gateway
	usable := g.Registry.View().Usable(c.service, "", "")
	candidates := c.untried(usable)
	if len(candidates) == 0 && c.route.IsRepeatable() {
		candidates = usable
	}
	return g.Tracker.choose(c, candidates, g.Zone)
}

// attemptUnary sends the request once. It returns true with the reason if the request
// needs another send, and false once the caller has its answer.
func (c *call) attemptUnary(ctx context.Context, tracked *trackedRequest) (bool, string) {
	attemptCtx, cancel := c.withAttemptTimeout(ctx)
	defer cancel()
	a := c.send(attemptCtx, tracked, "")
	if a.failure != failureNone {
		return true, a.failure.String()
	}
	defer a.exchange.Close()
	defer tracked.finish()
	if a.exchange.Response.ContentLength > maxBufferedBodyBytes {
		tracked.recordFirstByte()
		c.copyResponse(a, a.exchange)
		return false, ""
	}
	body, err := io.ReadAll(io.LimitReader(a.exchange, maxBufferedBodyBytes+1))
	switch {
	case err != nil:
		tracked.recordUnserved()
		c.logBrokenResponse(a, err)
		c.reportCrash(tracked, err)
		return true, "answer broke off"
	case len(body) > maxBufferedBodyBytes:
		tracked.recordFirstByte()
		c.copyResponse(a, io.MultiReader(bytes.NewReader(body), a.exchange))
		return false, ""
	}
	if a.exchange.Response.StatusCode >= http.StatusInternalServerError {
		tracked.recordFault()
	} else {
		tracked.recordFirstByte()
	}
	if c.isRetryableResponse(a) && c.canRetryFailedResponse() {
		return true, "upstream failed"
	}
	c.writeResponse(a, body)
	return false, ""
}

// withAttemptTimeout bounds the time of one send where another upstream could still answer.
func (c *call) withAttemptTimeout(ctx context.Context) (context.Context, context.CancelFunc) {
	timeout := max(time.Duration(attemptTimeoutTargets*float64(c.route.TargetLatency)), minAttemptTimeout)
	if c.route.Kind != fleet.KindSafe || c.attempts+1 >= c.route.MaxAttempts || time.Until(c.deadline) < 2*timeout {
		return context.WithCancel(ctx)
	}
	return context.WithTimeoutCause(ctx, timeout, errAttemptTimeout)
}

var errAttemptTimeout = errors.New("another upstream is asked")

// isRetryableResponse reports whether an upstream's failure may be one of its own rather
// than the answer to the request.
func (c *call) isRetryableResponse(a attempt) bool {
	return a.exchange.Response.StatusCode >= http.StatusInternalServerError && c.route.IsRepeatable()
}

// canRetryFailedResponse reports whether a failed answer is asked for again. The failure
// is passed on where it is not.
func (c *call) canRetryFailedResponse() bool {
	return c.attempts < c.route.MaxAttempts && len(c.untried(c.gateway.Registry.View().Usable(c.service, "", ""))) > 0
}

func (c *call) logBrokenResponse(a attempt, err error) {
	c.gateway.Log.Info().Str("event", "request.broke_off").Str("request", c.params.ID).Str("upstream", string(a.tracked.upstream.ID)).
		Err(err).Dur("took", time.Since(a.tracked.startedAt)).Msg("answer broke off")
}

// writeResponse gives the caller an answer that was read whole.
func (c *call) writeResponse(a attempt, body []byte) {
	c.outcome, c.status = "answered", a.exchange.Response.StatusCode
	c.firstByteAt = time.Now()
	platform.CopyResponseHeaders(c.writer.Header(), a.exchange.Response.Header)
	c.writer.Header().Del("Content-Length")
	if a.exchange.Response.ContentLength >= 0 && c.request.Method == http.MethodHead {
		c.writer.Header()["Content-Length"] = a.exchange.Response.Header["Content-Length"]
	}
	c.writer.WriteHeader(a.exchange.Response.StatusCode)
	if _, err := c.writer.Write(body); err != nil {
		c.outcome = outcomeCallerDisconnected
	}
}

// copyResponse passes on an answer that is too long to be held. One that breaks
// off ends the caller's connection, so that it does not look complete.
func (c *call) copyResponse(a attempt, body io.Reader) {
	c.outcome, c.status = "answered", a.exchange.Response.StatusCode
	c.firstByteAt = time.Now()
	platform.CopyResponseHeaders(c.writer.Header(), a.exchange.Response.Header)
	c.writer.WriteHeader(a.exchange.Response.StatusCode)
	if _, err := io.Copy(c.writer, body); err != nil {
		c.outcome = "broke off: " + err.Error()
		panic(http.ErrAbortHandler)
	}
}

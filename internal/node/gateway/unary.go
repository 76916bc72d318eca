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
	// heldAnswerBytes is the size up to which an answer is read whole before it is
	// passed on, so that one that breaks off can be asked for again.
	heldAnswerBytes = 256 << 10
	// hedgeTargets is the multiple of the target after which a safe request that
	// has no answer is sent to another upstream.
	hedgeTargets = 2.5
	// minHedge is the shortest such time: two exchanges between zones with a lost packet.
	minHedge = 250 * time.Millisecond
)

// servePlain serves a request that is answered at once.
func (c *call) servePlain(ctx context.Context) {
	for {
		f, ok := c.choosePlain()
		if !ok {
			c.giveUp(ctx, "no upstream")
			return
		}
		again, reason := c.tryPlain(ctx, f)
		if !again {
			return
		}
		if ctx.Err() != nil || !c.mayRepeat(reason) {
			c.giveUp(ctx, reason)
			return
		}
	}
}

func (c *call) choosePlain() (*flight, bool) {
	g := c.gateway
	usable := g.Registry.View().Usable(c.service, "", "")
	from := c.untried(usable)
	if len(from) == 0 && c.route.IsRepeatable() {
		from = usable
	}
	return g.Tracker.choose(c, from, g.Zone)
}

// tryPlain sends the request once. It returns true with the reason if the request
// needs another send, and false once the caller has its answer.
func (c *call) tryPlain(ctx context.Context, f *flight) (bool, string) {
	trying, cancel := c.hedged(ctx)
	defer cancel()
	a := c.send(trying, f, "")
	if a.failure != failureNone {
		return true, a.failure.String()
	}
	defer a.exchange.Close()
	defer f.end()
	if a.exchange.Response.ContentLength > heldAnswerBytes {
		f.answered()
		c.copyAnswerFrom(a, a.exchange)
		return false, ""
	}
	body, err := io.ReadAll(io.LimitReader(a.exchange, heldAnswerBytes+1))
	switch {
	case err != nil:
		f.failed()
		c.logBroken(a, err)
		c.brokeOff(f, err)
		return true, "answer broke off"
	case len(body) > heldAnswerBytes:
		f.answered()
		c.copyAnswerFrom(a, io.MultiReader(bytes.NewReader(body), a.exchange))
		return false, ""
	}
	if a.exchange.Response.StatusCode >= http.StatusInternalServerError {
		f.erred()
	} else {
		f.answered()
	}
	if c.worthRepeat(a) && c.mayRepeatFailed() {
		return true, "upstream failed"
	}
	c.passOn(a, body)
	return false, ""
}

// hedged bounds the time of one send where another upstream could still answer.
func (c *call) hedged(ctx context.Context) (context.Context, context.CancelFunc) {
	wait := max(time.Duration(hedgeTargets*float64(c.route.TargetLatency)), minHedge)
	if c.route.Kind != fleet.KindSafe || c.sends+1 >= c.route.MaxAttempts || time.Until(c.due) < 2*wait {
		return context.WithCancel(ctx)
	}
	return context.WithTimeoutCause(ctx, wait, errHedge)
}

var errHedge = errors.New("another upstream is asked")

// worthRepeat reports whether an upstream's failure may be one of its own rather
// than the answer to the request.
func (c *call) worthRepeat(a attempt) bool {
	return a.exchange.Response.StatusCode >= http.StatusInternalServerError && c.route.IsRepeatable()
}

// mayRepeatFailed reports whether a failed answer is asked for again. The failure
// is passed on where it is not.
func (c *call) mayRepeatFailed() bool {
	return c.sends < c.route.MaxAttempts && len(c.untried(c.gateway.Registry.View().Usable(c.service, "", ""))) > 0
}

func (c *call) logBroken(a attempt, err error) {
	c.gateway.Log.Info().Str("event", "request.broke_off").Str("request", c.wire.ID).Str("upstream", string(a.flight.upstream.ID)).
		Err(err).Dur("took", time.Since(a.flight.began)).Msg("answer broke off")
}

// passOn gives the caller an answer that was read whole.
func (c *call) passOn(a attempt, body []byte) {
	c.outcome, c.status = "answered", a.exchange.Response.StatusCode
	c.firstByteAt = time.Now()
	platform.CopyResponseHeaders(c.writer.Header(), a.exchange.Response.Header)
	c.writer.Header().Del("Content-Length")
	if a.exchange.Response.ContentLength >= 0 && c.request.Method == http.MethodHead {
		c.writer.Header()["Content-Length"] = a.exchange.Response.Header["Content-Length"]
	}
	c.writer.WriteHeader(a.exchange.Response.StatusCode)
	if _, err := c.writer.Write(body); err != nil {
		c.outcome = outcomeLeft
	}
}

// copyAnswerFrom passes on an answer that is too long to be held. One that breaks
// off ends the caller's connection, so that it does not look complete.
func (c *call) copyAnswerFrom(a attempt, from io.Reader) {
	c.outcome, c.status = "answered", a.exchange.Response.StatusCode
	c.firstByteAt = time.Now()
	platform.CopyResponseHeaders(c.writer.Header(), a.exchange.Response.Header)
	c.writer.WriteHeader(a.exchange.Response.StatusCode)
	if _, err := io.Copy(c.writer, from); err != nil {
		c.outcome = "broke off: " + err.Error()
		panic(http.ErrAbortHandler)
	}
}

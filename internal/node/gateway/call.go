package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"savoryweir/internal/coordination/dispatch"
	"savoryweir/internal/coordination/quarantine"
	"savoryweir/internal/node/warmup"
	"savoryweir/internal/protocol/forwardhttp"
	"savoryweir/internal/state/fleet"
	"savoryweir/internal/state/streams"
	"savoryweir/internal/transport/hangup"
	"savoryweir/platform"
)

// call holds the state of one caller request from its arrival to its final response.
type call struct {
	gateway    *Gateway
	writer     http.ResponseWriter
	request    *http.Request
	arrivedAt  time.Time
	params     platform.Request
	requestURI string

	config        *fleet.Config // nil if no route matches
	configVersion uint64        // version of the configuration that the request is served with
	route         *fleet.Route
	service       string
	engineClass   *fleet.EngineClass // nil if the service has no engines
	customer      *fleet.Customer    // nil if the configuration names no customers, or the route is public
	credit        credit
	body          []byte
	isRead        bool  // the request has been read to its end
	bodyMemory    int64 // bytes reserved for the body
	responseBytes int64 // bytes reserved for the buffered response
	traits        quarantine.Traits
	deadline      time.Time // time by which the final response must be sent

	lastEventID string // ID of the last event forwarded to the caller
	// origin is the software version that began the stream. It is nil before the first event of
	// a stream that the caller has not taken up from an earlier request.
	origin atomic.Pointer[streams.Origin]

	forwarded *forwardhttp.Request // what another instance tells of a request that it has forwarded; nil for a caller's own
	tryOther  bool                 // another instance may serve the request if this one refuses it

	outcome     string
	status      int
	firstByteAt time.Time
	hasBegun    atomic.Bool // firstByteAt is set
	isAdmitted  atomic.Bool // counts as admitted for fairness
	foundNoRoom atomic.Bool // an upstream has rejected the request

	mu              sync.Mutex // guards the fields below, as two attempts may overlap
	attempts        int        // sends that reached an upstream or may have reached one
	failedDials     int        // sends that failed before a connection was established
	retryGranted    bool       // a retry was taken from the budget and has not reached an upstream yet
	mayHaveExecuted bool
	triedUpstreams  map[fleet.UpstreamID]bool
	unreachable     map[fleet.UpstreamID]bool // tried, and the last connection attempt failed
	givenUp         fleet.UpstreamID          // was only silent, so that the request may return to it once
	returnsTo       fleet.UpstreamID          // the only upstream that the request may still be sent to; empty for any
	warmupSlot      *warmup.Slot              // room at an upstream that has just started or recovered; nil if it has none
}

// serve reads the request body and forwards the request to an upstream. The final
// response is due after the route's timeout or the caller's deadline, whichever is
// shorter.
func (c *call) serve(limits fleet.Limits) {
	c.deadline = c.arrivedAt.Add(c.route.Timeout)
	if c.params.Deadline > 0 {
		elapsed := time.Duration(0) // before the deadline that the request carries began
		if c.forwarded != nil {
			elapsed = c.forwarded.Elapsed
		}
		if end := c.arrivedAt.Add(elapsed + c.params.Deadline); end.Before(c.deadline) {
			c.deadline = end
		}
	}
	body, err := c.readBody(limits.MaxBodyBytes)
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		c.respond(http.StatusRequestEntityTooLarge, "body too large")
		return
	case errors.Is(err, errBodyMemory):
		c.writer.Header().Set("Connection", "close")
		c.limitUnreadBody()
		c.refuse(http.StatusServiceUnavailable, bodyMemoryRetryAfter, "too many large bodies")
		return
	case errors.Is(err, os.ErrDeadlineExceeded):
		c.writer.Header().Set("Connection", "close")
		c.refuse(http.StatusRequestTimeout, 0, "body not received in time")
		return
	case errors.Is(err, io.ErrUnexpectedEOF), errors.Is(err, syscall.ECONNRESET):
		c.abandon()
	case err != nil:
		c.outcome = "body not read: " + err.Error()
		panic(http.ErrAbortHandler)
	}
	c.body, c.isRead = body, true
	if c.forwarded == nil {
		c.gateway.countRequest(c.service) // else the other instance has counted it
	}
	if c.callerDisconnected() {
		c.abandon()
	}
	if !c.takeCredit() {
		return
	}
	c.triedUpstreams = make(map[fleet.UpstreamID]bool)
	c.unreachable = make(map[fleet.UpstreamID]bool)
	c.findTraits()
	if wait := c.admit(); wait > 0 {
		c.refuseBlocked(wait)
		return
	}
	ctx, cancel := context.WithDeadlineCause(c.request.Context(), c.deadline, errDeadlineExceeded)
	defer cancel()
	defer context.AfterFunc(c.gateway.inFlightContext, cancel)()
	defer context.AfterFunc(c.gateway.unansweredContext, func() {
		if !c.hasBegun.Load() {
			cancel()
		}
	})()
	defer watchCaller(c.request.Context(), cancel)()
	if c.refuseOverShare() {
		return
	}
	if c.route.Kind == fleet.KindStream {
		c.serveStream(ctx)
		return
	}
	c.serveUnary(ctx)
}

var errDeadlineExceeded = errors.New("request deadline exceeded")

// readBody reads the request body, which must arrive before the request's deadline.
// It returns an *http.MaxBytesError if the body is longer than limit bytes, and errBodyMemory if there is
// no memory for it. After an error the read deadline stays, since net/http would else wait for the rest of
// the body.
func (c *call) readBody(limit int64) ([]byte, error) {
	if c.request.Body == nil || c.request.ContentLength == 0 {
		return nil, nil
	}
	controller := http.NewResponseController(c.writer)
	if err := controller.SetReadDeadline(c.deadline); err != nil {
		return nil, err
	}
	reader := http.MaxBytesReader(c.writer, c.request.Body, limit)
	body, err := c.bufferBody(reader, c.request.ContentLength)
	if err != nil {
		return nil, err
	}
	return body, controller.SetReadDeadline(time.Time{})
}

// limitUnreadBody limits how long net/http waits for a body that the gateway does not read, which
// it does before the response and before it closes the connection.
func (c *call) limitUnreadBody() {
	if c.request.ContentLength == 0 {
		return
	}
	limit := maxUnreadBodyTime
	if c.params.Deadline > 0 {
		limit = min(limit, c.params.Deadline)
	}
	_ = http.NewResponseController(c.writer).SetReadDeadline(c.arrivedAt.Add(limit))
}

// modelClass returns the class of the request's model. Its weights have size zero if
// the service has no engines or does not offer the model.
func (c *call) modelClass() dispatch.ModelClass {
	class := dispatch.ModelClass{Service: c.service}
	if c.engineClass == nil {
		return class
	}
	if m := c.engineClass.Model(c.params.Model); m != nil {
		class.WeightsMB = m.WeightsMB
	}
	return class
}

// callerDisconnected reports whether the caller has closed its connection. It asks the kernel as well:
// net/http cancels the context in a goroutine that may run later than the handler, and not at all while
// bytes of a next request wait.
func (c *call) callerDisconnected() bool {
	ctx := c.request.Context()
	return ctx.Err() != nil || hangup.IsSeen(ctx)
}

// abandon ends a request whose caller has disconnected. It does not return.
func (c *call) abandon() {
	c.outcome = outcomeCallerDisconnected
	panic(http.ErrAbortHandler)
}

// limitWrites makes writes to the caller fail soon after the deadline. It is called where a
// response is forwarded while it arrives: the upstream's part ends at the deadline, but a write
// to a caller that does not read would block for ever. net/http lifts the limit after the
// response.
func (c *call) limitWrites() {
	_ = http.NewResponseController(c.writer).SetWriteDeadline(c.deadline.Add(lateWriteTime))
}

// acquireRetry reports whether the request may be sent again. A retry after an attempt
// that may have reached an upstream is taken from the service's retry budget. Sends that
// reached none are bounded by maxFailedDials alone and leave a granted retry as it is.
func (c *call) acquireRetry(reason string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.callerDisconnected() || time.Until(c.deadline) < minAttemptTime || c.isBlocked():
		return false
	case c.attempts == 0 || c.retryGranted:
		return c.failedDials < maxFailedDials
	case c.mayHaveExecuted && !c.route.IsRepeatable():
		return false
	case c.attempts >= c.route.MaxAttempts && c.givenUp == "":
		return false
	case c.attempts >= c.route.MaxAttempts:
		c.returnsTo, c.givenUp = c.givenUp, ""
	}
	c.retryGranted = c.gateway.spendRetry(c.service)
	c.logRetryDecision(reason, c.attempts, c.retryGranted)
	return c.retryGranted
}

// recordGivenUp records that the request was handed over by an upstream that was silent. Returning
// to it adds no upstream to those that have the request, so that the route allows it.
func (c *call) recordGivenUp(id fleet.UpstreamID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.givenUp = id
}

// acquireHedgeRetry reports whether the request may be sent to another upstream while that of
// the present attempt is silent. The present attempt keeps the retry that it uses.
func (c *call) acquireHedgeRetry(present *attempt) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Until(c.deadline) < minAttemptTime || c.isBlocked() {
		return false
	}
	c.consumeRetry(present)
	c.retryGranted = c.retryGranted || c.gateway.spendHedgeRetry(c.service)
	return c.retryGranted
}

// logRetryDecision logs whether the retry budget allowed a retry after a number of sends.
func (c *call) logRetryDecision(reason string, sends int, allowed bool) {
	c.gateway.Log.Info().Str("event", "request.repeat").Str("request", c.params.ID).Str("reason", reason).Int("sends", sends).
		Bool("allowed", allowed).Int("instances", c.gateway.InstanceCount()).Msg("retry budget checked")
}

// sendCount returns how often the request has been sent.
func (c *call) sendCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.attempts
}

// attemptsLeftBeside returns how often the route still allows the request to be sent beside an
// attempt whose result may not be known yet.
func (c *call) attemptsLeftBeside(a *attempt) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	left := c.route.MaxAttempts - c.attempts
	if !a.isCounted {
		left--
	}
	return left
}

// attemptsLeft returns how often the route still allows the request to be sent.
func (c *call) attemptsLeft() int {
	return c.route.MaxAttempts - c.sendCount()
}

// countAttempt counts an attempt by its result.
func (c *call) countAttempt(a *attempt) {
	c.mu.Lock()
	defer c.mu.Unlock()
	a.isCounted = true
	c.unreachable[a.tracked.upstream.ID] = a.failure == failureConnect
	switch a.failure {
	case failureConnect:
		c.failedDials++
		return
	case failureCanceled:
		return
	case failureNone, failureIndeterminate:
		c.mayHaveExecuted = true
		c.countRun()
	case failureNotExecuted:
	}
	c.attempts++
	c.consumeRetry(a)
}

// consumeRetry records that the retry which an attempt uses, if any, is not available to others.
// The caller holds c.mu.
func (c *call) consumeRetry(a *attempt) {
	c.retryGranted = c.retryGranted && !a.isRetry
	a.isRetry = false
}

// possiblyExecuted reports whether the request may have been executed, or may be later.
func (c *call) possiblyExecuted() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.mayHaveExecuted
}

// markTried records that the request is sent to an upstream.
func (c *call) markTried(id fleet.UpstreamID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.triedUpstreams[id] = true
}

// untried returns the upstreams to which this request has not been sent, nil if there are
// none.
func (c *call) untried(upstreams []*fleet.Upstream) []*fleet.Upstream {
	c.mu.Lock()
	defer c.mu.Unlock()
	return without(upstreams, c.triedUpstreams)
}

// retryCandidates returns the upstreams that a repeatable request may be sent to: the one that it
// returns to, else the untried ones, else those that could be reached, else all.
func (c *call) retryCandidates(upstreams []*fleet.Upstream) []*fleet.Upstream {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.returnsTo != "" {
		return slices.DeleteFunc(slices.Clone(upstreams), func(u *fleet.Upstream) bool { return u.ID != c.returnsTo })
	}
	for _, candidates := range [][]*fleet.Upstream{without(upstreams, c.triedUpstreams), without(upstreams, c.unreachable)} {
		if len(candidates) > 0 {
			return candidates
		}
	}
	return upstreams
}

// without returns the upstreams that are not excluded, nil if there are none.
func without(upstreams []*fleet.Upstream, excluded map[fleet.UpstreamID]bool) []*fleet.Upstream {
	var rest []*fleet.Upstream
	for _, u := range upstreams {
		if !excluded[u.ID] {
			rest = append(rest, u)
		}
	}
	return rest
}

const (
	// minAttemptTime is the least time before the deadline at which a retry is still started.
	minAttemptTime = 10 * time.Millisecond
	// lateWriteTime is how long after the deadline the last bytes that the upstream sent before
	// it may be written.
	lateWriteTime = 250 * time.Millisecond
	// maxUnreadBodyTime is the longest wait for the rest of a body that is not read.
	maxUnreadBodyTime = 5 * time.Second
	// maxFailedDials bounds the failed connection attempts for one request.
	maxFailedDials = 8
)

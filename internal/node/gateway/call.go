package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"savoryweir/internal/coordination/dispatch"
	"savoryweir/internal/state/fleet"
	"savoryweir/platform"
)

// call is one request of a caller.
type call struct {
	gateway *Gateway
	writer  http.ResponseWriter
	request *http.Request
	arrived time.Time
	wire    platform.Request
	target  string

	version uint64 // of the configuration that the request is bound to
	route   *fleet.Route
	service string
	engines *fleet.EngineClass // nil for plain services
	body    []byte
	due     time.Time // when the final answer must be out

	sends      int // that reached an upstream, or may have
	dials      int // that reached none
	mayHaveRun bool
	tried      map[fleet.UpstreamID]bool
	lastEvent  string // last event passed on

	outcome     string
	status      int
	firstByteAt time.Time
}

// serve reads the body and sends the request on.
func (c *call) serve(limits fleet.Limits) {
	limit := c.route.Timeout
	if c.wire.Deadline > 0 {
		limit = min(limit, c.wire.Deadline)
	}
	c.due = c.arrived.Add(limit)
	body, err := c.readBody(limits.MaxBodyBytes)
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		c.answer(http.StatusRequestEntityTooLarge, "body too large")
		return
	case err != nil:
		c.outcome = "body not read: " + err.Error()
		panic(http.ErrAbortHandler)
	}
	c.body = body
	c.gateway.countRequest(c.service)
	c.tried = make(map[fleet.UpstreamID]bool)
	if c.gateway.crashes.isBlocked(c.fingerprint(), c.arrived) {
		c.refuse(http.StatusServiceUnavailable, 0, "crashed several upstreams")
		return
	}
	ctx, cancel := context.WithDeadlineCause(c.request.Context(), c.due, errDue)
	defer cancel()
	defer context.AfterFunc(c.gateway.ending, cancel)()
	if c.route.Kind == fleet.KindStream {
		c.serveStream(ctx)
		return
	}
	c.servePlain(ctx)
}

var errDue = errors.New("the time of the request is over")

func (c *call) readBody(limit int64) ([]byte, error) {
	if c.request.Body == nil || c.request.ContentLength == 0 {
		return nil, nil
	}
	control := http.NewResponseController(c.writer)
	if err := control.SetReadDeadline(c.due); err != nil {
		return nil, err
	}
	reader := http.MaxBytesReader(c.writer, c.request.Body, limit)
	var body []byte
	var err error
	if n := c.request.ContentLength; n > 0 && n <= limit {
		body = make([]byte, n)
		_, err = io.ReadFull(reader, body)
		if err == nil {
			_, err = reader.Read(make([]byte, 1)) // reaches the end, so that the caller's leaving is noticed
			if errors.Is(err, io.EOF) {
				err = nil
			}
		}
	} else {
		body, err = io.ReadAll(reader)
	}
	return body, errors.Join(err, control.SetReadDeadline(time.Time{}))
}

// modelClass returns the class of the request's model.
func (c *call) modelClass() dispatch.ModelClass {
	class := dispatch.ModelClass{Service: c.service}
	if c.engines == nil {
		return class
	}
	if m := c.engines.Model(c.wire.Model); m != nil {
		class.WeightsMB = m.WeightsMB
	}
	return class
}

// hasLeft reports whether the caller has closed its connection.
func (c *call) hasLeft() bool { return c.request.Context().Err() != nil }

// mayRepeat reports whether another send is allowed and takes it from the budget.
func (c *call) mayRepeat(reason string) bool {
	g := c.gateway
	switch {
	case c.hasLeft() || time.Until(c.due) < minSendTime:
		return false
	case c.sends == 0:
		return c.dials < maxDials
	case c.sends >= c.route.MaxAttempts || c.mayHaveRun && !c.route.IsRepeatable():
		return false
	}
	ok := g.spendRepeat(c.service)
	g.Log.Info().Str("event", "request.repeat").Str("request", c.wire.ID).Str("reason", reason).Int("sends", c.sends).
		Bool("allowed", ok).Int("instances", g.InstanceCount()).Msg("repeat decided")
	return ok
}

const (
	// minSendTime is the least time left with which a request is still sent on.
	minSendTime = 10 * time.Millisecond
	// maxDials bounds the connections that are tried for one request.
	maxDials = 4
)

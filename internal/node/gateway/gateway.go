// Package gateway serves callers: it takes a request, finds its route, sends it to
// an upstream and passes the answer on. What may be repeated is repeated elsewhere
// within its bounds; what may have run is never called not run.
package gateway

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"savoryweir/internal/coordination/retry"
	"savoryweir/internal/coordination/routetable"
	"savoryweir/internal/node/registry"
	"savoryweir/internal/node/telemetry"
	"savoryweir/internal/state/fleet"
	"savoryweir/internal/transport/upstreamconn"
	"savoryweir/platform"
)

// Current is the configuration in force with its routes.
type Current struct {
	Config *fleet.Config
	Table  *routetable.Table
}

// Options are what a gateway works with.
type Options struct {
	Zone      string
	Log       zerolog.Logger
	Metrics   *telemetry.Metrics
	Registry  *registry.Registry
	Tracker   *Tracker
	Pool      *upstreamconn.Pool
	Retry     func() retry.WindowSettings
	Instances func() int // alive, this one included
	// Ask tells the holder of orders that a request waits for a model or adapter.
	Ask func(service, model, adapter string)
	// TellBreak tells the other instances that an upstream broke off a request.
	TellBreak func(fingerprint uint64, upstream fleet.UpstreamID)
	// Count records a request for a model or adapter with the work that it brings.
	Count func(service, model, adapter string, tokens int)
}

// Gateway serves callers.
type Gateway struct {
	Options
	current  atomic.Pointer[Current]
	inFlight atomic.Int64
	crashes  *crashGuard
	leaving  atomic.Bool

	mu      sync.Mutex // guards budgets
	budgets map[string]*retry.Window
}

// New returns a gateway without a configuration: it refuses all requests.
func New(o Options) *Gateway {
	return &Gateway{Options: o, budgets: make(map[string]*retry.Window), crashes: newCrashGuard()}
}

// Apply puts a configuration in force for the requests that arrive from now on.
func (g *Gateway) Apply(c *fleet.Config) {
	g.current.Store(&Current{Config: c, Table: routetable.New(c.Routes)})
	g.Metrics.ConfigVersion.Set(float64(c.Version))
}

// Config returns the configuration in force, or nil.
func (g *Gateway) Config() *fleet.Config {
	if current := g.current.Load(); current != nil {
		return current.Config
	}
	return nil
}

// Leave refuses all requests that arrive from now on.
func (g *Gateway) Leave() { g.leaving.Store(true) }

// InFlight returns how many requests of callers are being served.
func (g *Gateway) InFlight() int64 { return g.inFlight.Load() }

// ServeHTTP implements http.Handler.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.Metrics.InFlight.Set(float64(g.inFlight.Add(1)))
	defer func() { g.Metrics.InFlight.Set(float64(g.inFlight.Add(-1))) }()
	c := &call{gateway: g, writer: w, request: r, arrived: time.Now(), wire: platform.DecodeRequest(r.Header)}
	defer c.finish()
	current := g.current.Load()
	if current == nil {
		c.refuse(http.StatusServiceUnavailable, unknownConfigWait, "no configuration yet")
		return
	}
	if g.leaving.Load() {
		c.refuse(http.StatusServiceUnavailable, leavingWait, "instance is leaving")
		return
	}
	c.target = target(r)
	path, _, _ := strings.Cut(c.target, "?")
	if c.route = current.Table.Match(r.Host, path); c.route == nil {
		c.version = current.Config.Version
		c.answer(http.StatusNotFound, "no route")
		return
	}
	c.version = current.Config.Version
	c.service = routetable.Service(c.route, rand.Float64())
	c.engines = current.Config.Services[c.service].EnginesOrNil()
	c.serve(current.Config.Limits)
}

// unknownConfigWait is the time after which an instance that has just started
// surely knows the configuration.
const unknownConfigWait = 500 * time.Millisecond

// leavingWait is the time after which a caller that met an instance that is
// leaving comes back, to another one.
const leavingWait = 50 * time.Millisecond

// target returns path and query as the caller sent them.
func target(r *http.Request) string {
	if strings.HasPrefix(r.RequestURI, "/") {
		return r.RequestURI
	}
	return r.URL.RequestURI()
}

// budget returns the repeats of a service. The caller holds g.mu.
func (g *Gateway) budget(service string) *retry.Window {
	b := g.budgets[service]
	if b == nil {
		b = retry.NewWindow(g.Retry())
		g.budgets[service] = b
	}
	b.Configure(g.Retry())
	return b
}

func (g *Gateway) countRequest(service string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.budget(service).Request(time.Now())
}

func (g *Gateway) spendRepeat(service string) bool {
	instances := g.Instances()
	g.mu.Lock()
	defer g.mu.Unlock()
	b := g.budget(service)
	now := time.Now()
	ok := b.Spend(now, instances)
	g.Metrics.RetriesLeft.WithLabelValues(service).Set(b.Left(now, instances))
	return ok
}

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
		Bool("allowed", ok).Int("instances", g.Instances()).Msg("repeat decided")
	return ok
}

const (
	// minSendTime is the least time left with which a request is still sent on.
	minSendTime = 10 * time.Millisecond
	// maxDials bounds the connections that are tried for one request.
	maxDials = 4
)

// attempt is one send of the request and what came of it.
type attempt struct {
	flight   *flight
	exchange *upstreamconn.Exchange
	answer   platform.Answer
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
		Upstream: string(f.upstream.ID), Left: left, Urgency: c.urgency(), LastEventID: resumeAfter,
	})
	f.begin()
	g.Log.Info().Str("event", "request.sent").Str("request", c.wire.ID).Str("upstream", string(f.upstream.ID)).
		Uint64("config", c.version).Uint64("entry", f.upstream.Entry).Str("model", c.wire.Model).Str("adapter", c.wire.Adapter).
		Dur("expected", f.expected).Int("unread_tokens", f.ahead).Int("running", f.running).Float64("slow", f.slow).
		Str("resume_after", resumeAfter).Dur("left", left).Msg("request sent on")
	exchange, err := g.Pool.Do(ctx, upstreamconn.Request{
		Address: f.upstream.Address, Method: c.request.Method, Target: c.target, Host: c.request.Host,
		Header: header, Body: c.body, Once: !c.route.IsRepeatable(),
	})
	a := attempt{flight: f, exchange: exchange, err: err}
	if err != nil {
		a.failure = c.classify(ctx, err)
	} else {
		a.answer = platform.DecodeAnswer(exchange.Response.StatusCode, exchange.Response.Header)
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
	sent := !errors.As(err, &failed) || failed.Sent
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
	case a.exchange.Response.StatusCode < http.StatusMultipleChoices && (!a.answer.Sealed || a.answer.Encoded):
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
	g.Metrics.Sent(a.failure.String())
	switch a.failure {
	case failureDial:
		c.dials++
		a.flight.failed()
		g.Pool.Forget(a.flight.upstream.Address)
	case failureNotRun:
		c.sends++
		c.learnRefusal(a)
	case failureLost:
		c.sends++
		c.mayHaveRun = true
		if !c.hasLeft() {
			a.flight.failed()
			c.brokeOff(a.flight.upstream.ID, a.err)
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
		c.gateway.Registry.Refused(registry.Item{Upstream: u.ID, Model: c.wire.Model, Adapter: c.wire.Adapter})
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

// refuse answers that the request has not run and never will.
func (c *call) refuse(status int, retryAfter time.Duration, reason string) {
	if c.mayHaveRun {
		c.answer(http.StatusBadGateway, reason)
		return
	}
	c.gateway.Metrics.Refused(reason)
	if retryAfter > 0 {
		spread := time.Duration(float64(retryAfter) * (1 + retrySpread*rand.Float64()))
		c.writer.Header().Set("Retry-After", strconv.FormatFloat(spread.Seconds(), 'f', 3, 64))
	}
	c.answer(status, reason)
}

// retrySpread keeps callers that were refused together from coming back together.
const retrySpread = 0.25

// answer sends an answer of the system's own.
func (c *call) answer(status int, reason string) {
	c.outcome, c.status = reason, status
	if c.wire.ID != "" {
		platform.StampRequestID(c.writer.Header(), c.wire.ID)
	}
	c.writer.Header().Set("Content-Type", "text/plain; charset=utf-8")
	c.writer.WriteHeader(status)
	_, _ = io.WriteString(c.writer, reason+"\n")
}

// giveUp answers a request that no upstream has served.
func (c *call) giveUp(ctx context.Context, reason string) {
	switch {
	case c.hasLeft():
		c.outcome = outcomeLeft
		panic(http.ErrAbortHandler)
	case !c.mayHaveRun:
		c.refuse(http.StatusServiceUnavailable, retryUnserved, reason)
	case ctx.Err() != nil:
		c.answer(http.StatusGatewayTimeout, reason)
	default:
		c.answer(http.StatusBadGateway, reason)
	}
}

// retryUnserved is the time after which a request that met no sound upstream is
// asked back: an upstream that failed is avoided for about as long.
const retryUnserved = 300 * time.Millisecond

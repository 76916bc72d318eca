package placing

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"savoryweir/internal/coordination/placement"
	"savoryweir/internal/errs"
	"savoryweir/internal/state/bundle"
	"savoryweir/internal/state/ledger"
	"savoryweir/internal/state/object"
)

// Scope is the part of the system that one cell is in charge of.
type Scope struct {
	Name       object.Name
	Generation bundle.Generation
	Upstreams  []bundle.Upstream
	Models     []bundle.Model
	Adapters   []bundle.Adapter
	Leaving    []bundle.UpstreamID
	Demand     []Demand
	LoadLimits placement.LoadLimits
	// Assignment is the roster's word. Without it the cell has all Upstreams, for good.
	Assignment *Assignment
	// IsPublishedReady tells whether a cell has published a model as ready. It may be nil.
	IsPublishedReady func(cell object.Name, model bundle.ModelID) bool
	// kept are the models of other cells that must not leave yet.
	kept []bundle.ModelID
	// IsInstanceAlive tells whether an instance is still a member.
	IsInstanceAlive func(instance string) bool
}

// Cell is one instance's hold on one placement cell. It is not safe for concurrent use.
type Cell struct {
	instance  string
	settings  Settings
	store     object.Store
	engines   EngineConnector
	policy    placement.Policy
	estimator *placement.Estimator
	nonce     func() uint64
	sessions  map[bundle.UpstreamID]Session
	tracker   *tracker
	last      *ledger.Ledger
	answered  map[bundle.UpstreamID]time.Time // last report of each engine
	known     *stored                         // as this instance wrote it last, nil if it has to be read
	homes     map[object.Name]homeView        // what was read of other cells
}

// NewCell returns a cell that has read nothing yet. nonce returns a new random number at each call.
func NewCell(instance string, s Settings, store object.Store, engines EngineConnector, policy placement.Policy, nonce func() uint64) *Cell {
	return &Cell{
		instance: instance, settings: s, store: store, engines: engines, policy: policy, nonce: nonce,
		sessions: make(map[bundle.UpstreamID]Session), tracker: newTracker(),
		answered: make(map[bundle.UpstreamID]time.Time), homes: make(map[object.Name]homeView),
		estimator: &placement.Estimator{EngineTokens: s.EngineTokens, Smoothing: s.Policy.Smoothing},
	}
}

// Reconcile reads the cell, and if this instance may hold it, settles it by the engines'
// reports, decides, writes the intents and sends the orders.
func (c *Cell) Reconcile(ctx context.Context, now time.Time, scope Scope) error {
	current, err := c.current(ctx, scope.Name)
	if err != nil {
		return err
	}
	if !c.mayHold(now, current.ledger, scope) {
		c.last = current.ledger
		c.closeSessions()
		return nil
	}
	next := current.ledger.Clone()
	moved, err := c.handOver(ctx, now, next, scope, current.version)
	if err != nil {
		c.known = nil
		return errs.Wrap(err, "hand over engines", errs.Self)
	}
	if !moved && c.isIdle(current, scope) {
		c.last = next
		return nil
	}
	scope = scope.owned(next)
	due := scope.Upstreams
	if !moved {
		due = c.due(now, next, scope)
	}
	orders := c.decide(ctx, now, next, scope, due, current.version)
	next = c.last
	if len(orders) == 0 && !moved && !c.mustRenew(now, current, scope) {
		return nil
	}
	version, err := c.write(ctx, now, scope, next, current.version)
	if err != nil {
		c.known = nil
		return err
	}
	c.known = &stored{ledger: next, version: version}
	c.tracker.observe(now, next)
	c.send(ctx, orders)
	return nil
}

// decide settles the engines that are due and plans. If something is to move, the
// other engines are settled as well and the plan is made anew: plans on old reports
// are not carried out.
func (c *Cell) decide(ctx context.Context, now time.Time, l *ledger.Ledger, scope Scope, due []bundle.Upstream, version object.Version) []ledger.Order {
	orders := c.settleAndPlan(ctx, now, l, scope, due, version)
	rest := except(scope, due)
	if len(orders) == 0 || len(rest) == 0 {
		return orders
	}
	return c.settleAndPlan(ctx, now, l, scope, rest, version)
}

// settleAndPlan settles the engines asked in l and plans on a copy, which is the last ledger then.
func (c *Cell) settleAndPlan(ctx context.Context, now time.Time, l *ledger.Ledger, scope Scope, asked []bundle.Upstream, version object.Version) []ledger.Order {
	c.settle(ctx, now, l, scope, asked)
	c.tracker.observe(now, l)
	c.last = l.Clone()
	scope.kept = c.keep(ctx, now, c.last, scope)
	return c.plan(now, c.last, scope, c.last.FenceAt(version))
}

// Ledger returns the cell's account as of the last step, or nil. It must not be changed.
func (c *Cell) Ledger() *ledger.Ledger { return c.last }

// mayHold reports whether no other live holder has a lease. It spares conflicting work only.
func (c *Cell) mayHold(now time.Time, l *ledger.Ledger, scope Scope) bool {
	if l.Holder == c.instance || l.Holder == "" || !now.Before(l.LeaseUntil) {
		return true
	}
	return !scope.IsInstanceAlive(l.Holder)
}

// fetched is the outcome of asking one engine for its report.
type fetched struct {
	session Session
	report  ledger.Report
	err     error
}

// settle brings the ledger up to the bundle in force and to the reports of the given engines.
func (c *Cell) settle(ctx context.Context, now time.Time, l *ledger.Ledger, scope Scope, asked []bundle.Upstream) {
	results := make([]fetched, len(asked))
	var group errgroup.Group
	group.SetLimit(c.settings.ReportsAtOnce)
	for i, u := range asked {
		session := c.sessions[u.ID]
		group.Go(func() error {
			results[i] = c.fetch(ctx, u, session)
			return nil
		})
	}
	_ = group.Wait() // failures are in the results
	for _, u := range scope.Upstreams {
		l.SetEngine(u.ID, u.Memory, c.delivery(u))
	}
	for i, u := range asked {
		c.settleEngine(now, l, u.ID, results[i])
	}
}

func (c *Cell) settleEngine(now time.Time, l *ledger.Ledger, id bundle.UpstreamID, f fetched) {
	if f.session != nil {
		c.sessions[id] = f.session
	}
	if f.err != nil {
		c.closeSession(id)
		l.SetUnreachable(id)
		return
	}
	c.answered[id] = now
	l.ApplyReport(id, f.report)
}

func (c *Cell) delivery(u bundle.Upstream) ledger.Delivery {
	switch {
	case u.ChecksFence:
		return ledger.DeliveryFenced
	case c.settings.Copies:
		return ledger.DeliveryAny
	default:
		return ledger.DeliveryOnce
	}
}

// fetch reads an engine's report, on a new connection if there is none.
func (c *Cell) fetch(ctx context.Context, u bundle.Upstream, session Session) fetched {
	ctx, cancel := context.WithTimeout(ctx, c.settings.EngineTimeout)
	defer cancel()
	if session == nil {
		opened, err := c.engines.Open(ctx, u)
		if err != nil {
			return fetched{err: err}
		}
		session = opened
	}
	report, err := session.Report(ctx)
	return fetched{session: session, report: report, err: err}
}

// send sends each order once, on the connection to the boot that the order was planned for.
func (c *Cell) send(ctx context.Context, orders []ledger.Order) {
	for _, o := range orders {
		session, ok := c.sessions[o.Engine]
		if !ok {
			continue
		}
		sendCtx, cancel := context.WithTimeout(ctx, c.settings.EngineTimeout)
		err := session.Send(sendCtx, o)
		cancel()
		if err != nil {
			c.closeSession(o.Engine)
		}
	}
}

func (c *Cell) closeSession(id bundle.UpstreamID) {
	if session, ok := c.sessions[id]; ok {
		session.Close()
		delete(c.sessions, id)
	}
}

func (c *Cell) closeSessions() {
	for id := range c.sessions {
		c.closeSession(id)
	}
}

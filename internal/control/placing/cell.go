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

// Scope is the part of the system that one placement cell manages.
type Scope struct {
	Name       object.Name
	Generation bundle.Generation
	Upstreams  []bundle.Upstream
	Models     []bundle.Model
	Adapters   []bundle.Adapter
	Leaving    []bundle.UpstreamID
	Demand     []Demand
	LoadLimits placement.LoadLimits
	// Assignment is the cell's share of the roster. If it is nil, the cell permanently owns all Upstreams.
	Assignment *Assignment
	// IsPublishedReady reports whether a cell has published a model as ready. It may be nil.
	IsPublishedReady func(cell object.Name, model bundle.ModelID) bool
	// retained lists the models of other cells that must not be unloaded yet.
	retained []bundle.ModelID
	// IsInstanceAlive reports whether an instance is still a member.
	IsInstanceAlive func(instance string) bool
}

// Cell manages one placement cell on behalf of one instance. It is not safe for concurrent use.
type Cell struct {
	instance     string
	settings     Settings
	store        object.Store
	engines      EngineConnector
	policy       placement.Policy
	estimator    *placement.Estimator
	nonce        func() uint64
	sessions     map[bundle.UpstreamID]Session
	tracker      *tracker
	lastLedger   *ledger.Ledger
	lastReportAt map[bundle.UpstreamID]time.Time // time of the last report of each engine
	lastWritten  *storedLedger                   // the ledger as this instance last wrote it; nil if it has to be read
	homeLedgers  map[object.Name]cachedLedger    // cached ledgers of other cells
}

// NewCell returns a cell that has not read its ledger yet. The nonce function must return a
// new random number at each call.
func NewCell(instance string, s Settings, store object.Store, engines EngineConnector, policy placement.Policy, nonce func() uint64) *Cell {
	return &Cell{
		instance: instance, settings: s, store: store, engines: engines, policy: policy, nonce: nonce,
		sessions: make(map[bundle.UpstreamID]Session), tracker: newTracker(),
		lastReportAt: make(map[bundle.UpstreamID]time.Time), homeLedgers: make(map[object.Name]cachedLedger),
		estimator: &placement.Estimator{EngineTokens: s.EngineTokens, Smoothing: s.Policy.Smoothing},
	}
}

// Reconcile reads the cell's ledger and, if this instance may hold the cell, updates the ledger
// with the engines' reports, decides on orders, writes them to the ledger and then sends them.
func (c *Cell) Reconcile(ctx context.Context, now time.Time, scope Scope) error {
	current, err := c.current(ctx, scope.Name)
	if err != nil {
		return err
	}
	if !c.canAcquire(now, current.ledger, scope) {
		c.lastLedger = current.ledger
		c.closeSessions()
		return nil
	}
	next := current.ledger.Clone()
	handoversChanged, err := c.advanceHandovers(ctx, now, next, scope, current.version)
	if err != nil {
		c.lastWritten = nil
		return errs.Wrap(err, "hand over engines", errs.Self)
	}
	if !handoversChanged && c.isIdle(current, scope) {
		c.lastLedger = next
		return nil
	}
	scope = scope.withOwnedEngines(next)
	toPoll := scope.Upstreams
	if !handoversChanged {
		toPoll = c.enginesToPoll(now, next, scope)
	}
	orders := c.decide(ctx, now, next, scope, toPoll, current.version)
	next = c.lastLedger
	if len(orders) == 0 && !handoversChanged && !c.mustRenew(now, current, scope) {
		return nil
	}
	version, err := c.write(ctx, now, scope, next, current.version)
	if err != nil {
		c.lastWritten = nil
		return err
	}
	c.lastWritten = &storedLedger{ledger: next, version: version}
	c.tracker.observe(now, next)
	c.send(ctx, orders)
	return nil
}

// decide polls the given engines, updates the ledger and plans. If the plan has orders, it polls
// the remaining engines too and plans again, because orders based on old reports are not sent.
func (c *Cell) decide(ctx context.Context, now time.Time, l *ledger.Ledger, scope Scope, toPoll []bundle.Upstream, version object.Version) []ledger.Order {
	orders := c.updateAndPlan(ctx, now, l, scope, toPoll, version)
	rest := upstreamsExcept(scope, toPoll)
	if len(orders) == 0 || len(rest) == 0 {
		return orders
	}
	return c.updateAndPlan(ctx, now, l, scope, rest, version)
}

// updateAndPlan updates l with the reports of the polled engines and plans on a copy, which
// becomes lastLedger.
func (c *Cell) updateAndPlan(ctx context.Context, now time.Time, l *ledger.Ledger, scope Scope, polled []bundle.Upstream, version object.Version) []ledger.Order {
	c.updateLedger(ctx, now, l, scope, polled)
	c.tracker.observe(now, l)
	c.lastLedger = l.Clone()
	scope.retained = c.modelsToRetain(ctx, now, c.lastLedger, scope)
	return c.plan(now, c.lastLedger, scope, c.lastLedger.FenceAt(version))
}

// Ledger returns the cell's ledger as of the last call of Reconcile, or nil. Callers must not change it.
func (c *Cell) Ledger() *ledger.Ledger { return c.lastLedger }

// canAcquire reports whether no other live instance has a lease on the cell. It only avoids
// conflicting work; the conditional update of the ledger prevents conflicts.
func (c *Cell) canAcquire(now time.Time, l *ledger.Ledger, scope Scope) bool {
	if l.Holder == c.instance || l.Holder == "" || !now.Before(l.LeaseUntil) {
		return true
	}
	return !scope.IsInstanceAlive(l.Holder)
}

// pollResult is the outcome of asking one engine for its report.
type pollResult struct {
	session Session
	report  ledger.Report
	err     error
}

// updateLedger updates the ledger to the bundle in force and to the reports of the polled engines.
func (c *Cell) updateLedger(ctx context.Context, now time.Time, l *ledger.Ledger, scope Scope, polled []bundle.Upstream) {
	results := make([]pollResult, len(polled))
	var group errgroup.Group
	group.SetLimit(c.settings.ReportsAtOnce)
	for i, u := range polled {
		session := c.sessions[u.ID]
		group.Go(func() error {
			results[i] = c.fetchReport(ctx, u, session)
			return nil
		})
	}
	_ = group.Wait() // the results carry the errors
	for _, u := range scope.Upstreams {
		l.SetEngine(u.ID, u.Memory, c.delivery(u))
	}
	for i, u := range polled {
		c.applyPollResult(now, l, u.ID, results[i])
	}
}

func (c *Cell) applyPollResult(now time.Time, l *ledger.Ledger, id bundle.UpstreamID, f pollResult) {
	if f.session != nil {
		c.sessions[id] = f.session
	}
	if f.err != nil {
		c.closeSession(id)
		l.SetUnreachable(id)
		return
	}
	c.lastReportAt[id] = now
	l.ApplyReport(id, f.report)
}

func (c *Cell) delivery(u bundle.Upstream) ledger.Delivery {
	switch {
	case u.ChecksFence:
		return ledger.DeliveryFenced
	case c.settings.Copies:
		return ledger.DeliveryAtLeastOnce
	default:
		return ledger.DeliveryAtMostOnce
	}
}

// fetchReport reads an engine's report. It opens a connection if session is nil.
func (c *Cell) fetchReport(ctx context.Context, u bundle.Upstream, session Session) pollResult {
	ctx, cancel := context.WithTimeout(ctx, c.settings.EngineTimeout)
	defer cancel()
	if session == nil {
		opened, err := c.engines.Open(ctx, u)
		if err != nil {
			return pollResult{err: err}
		}
		session = opened
	}
	report, err := session.Report(ctx)
	return pollResult{session: session, report: report, err: err}
}

// send sends each order once, on the connection to the engine boot for which the order was planned.
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

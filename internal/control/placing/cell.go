package placing

import (
	"context"
	"errors"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"savoryweir/internal/coordination/placement"
	"savoryweir/internal/errs"
	"savoryweir/internal/protocol/ledgerfile"
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
	Rates      placement.Rates
	// OthersAlive tells whether an instance is still a member.
	OthersAlive func(instance string) bool
}

// Cell is one instance's hold on one placement cell. It is not safe for concurrent use.
type Cell struct {
	instance  string
	settings  Settings
	store     object.Store
	engines   Engines
	policy    placement.Policy
	estimator *placement.Estimator
	nonce     func() uint64
	sessions  map[bundle.UpstreamID]Session
	tracker   *tracker
	last      *ledger.Ledger
	answered  map[bundle.UpstreamID]time.Time // last report of each engine
	reported  time.Time                       // last time that all engines were asked
	known     *stored                         // as this instance wrote it last, nil if it has to be read
}

// NewCell returns a cell that has read nothing yet. nonce returns a new random number at each call.
func NewCell(instance string, s Settings, store object.Store, engines Engines, policy placement.Policy, nonce func() uint64) *Cell {
	return &Cell{
		instance: instance, settings: s, store: store, engines: engines, policy: policy, nonce: nonce,
		sessions: make(map[bundle.UpstreamID]Session), tracker: newTracker(),
		answered:  make(map[bundle.UpstreamID]time.Time),
		estimator: &placement.Estimator{EngineTokens: s.EngineTokens, Smoothing: s.Policy.Smoothing},
	}
}

// stored is a ledger with the version of its object, zero if there is none yet.
type stored struct {
	ledger  *ledger.Ledger
	version object.Version
}

// Step reads the cell, and if this instance may hold it, settles it by the engines'
// reports, decides, writes the intents and sends the orders.
func (c *Cell) Step(ctx context.Context, now time.Time, scope Scope) error {
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
	quiet := c.isQuiet(now, next, scope)
	if !quiet {
		c.settle(ctx, now, next, scope)
		c.reported = now
	}
	c.tracker.observe(now, next)
	c.last = next
	if quiet {
		next = next.Clone() // plans on old reports are not carried out
	}
	orders := c.plan(now, next, scope, ledger.Fence(current.version))
	if quiet && len(orders) > 0 {
		c.reported = time.Time{}
		return nil
	}
	if len(orders) == 0 && !c.mustRenew(now, current, scope) {
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

// isQuiet reports whether the engines need not be asked in this step: nothing is
// under way, and their last reports are not too old to be shown to entries. A
// quiet cell that wants to move something asks first, in the next step.
func (c *Cell) isQuiet(now time.Time, l *ledger.Ledger, scope Scope) bool {
	if now.Sub(c.reported) >= c.settings.ReportInterval || l.Generation != scope.Generation {
		return false
	}
	return !slices.ContainsFunc(l.Engines, func(e ledger.Engine) bool { return e.Unreachable || !e.IsSettled() })
}

// Ledger returns the cell's account as of the last step, or nil. It must not be changed.
func (c *Cell) Ledger() *ledger.Ledger { return c.last }

// current returns the stored ledger. What this instance wrote last needs no read: if
// another instance has written since, the next conditional update fails and shows it.
func (c *Cell) current(ctx context.Context, name object.Name) (stored, error) {
	if c.known != nil {
		return *c.known, nil
	}
	return c.read(ctx, name)
}

func (c *Cell) read(ctx context.Context, name object.Name) (stored, error) {
	const step errs.Step = "read placement cell"
	o, err := c.store.Get(ctx, CellKind, name)
	if errors.Is(err, object.ErrNotFound) {
		return stored{ledger: &ledger.Ledger{}}, nil
	}
	if err != nil {
		return stored{}, errs.Wrap(err, step, "store")
	}
	l, err := ledgerfile.Decode(o.Data)
	if err != nil {
		return stored{}, errs.Wrap(err, step, "store")
	}
	return stored{ledger: l, version: o.Version}, nil
}

// mayHold reports whether no other live holder has a lease. It spares conflicting work only.
func (c *Cell) mayHold(now time.Time, l *ledger.Ledger, scope Scope) bool {
	if l.Holder == c.instance || l.Holder == "" || !now.Before(l.LeaseUntil) {
		return true
	}
	return !scope.OthersAlive(l.Holder)
}

// fetched is the outcome of asking one engine for its report.
type fetched struct {
	session Session
	report  ledger.Report
	err     error
}

// settle brings the ledger up to the bundle in force and to the engines' reports.
func (c *Cell) settle(ctx context.Context, now time.Time, l *ledger.Ledger, scope Scope) {
	results := make([]fetched, len(scope.Upstreams))
	var group errgroup.Group
	group.SetLimit(c.settings.ReportsAtOnce)
	for i, u := range scope.Upstreams {
		session := c.sessions[u.ID]
		group.Go(func() error {
			results[i] = c.fetch(ctx, u, session)
			return nil
		})
	}
	_ = group.Wait() // failures are in the results
	for i, u := range scope.Upstreams {
		l.SetEngine(u.ID, u.Memory, c.delivery(u))
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

// mustRenew reports whether the lease or the generation has to be written anew.
func (c *Cell) mustRenew(now time.Time, current stored, scope Scope) bool {
	l := current.ledger
	half := l.LeaseUntil.Add(-c.settings.Lease / 2)
	return current.version == 0 || l.Holder != c.instance || !now.Before(half) || l.Generation != scope.Generation
}

// write replaces the ledger by conditional update and learns the outcome of a lost answer.
func (c *Cell) write(ctx context.Context, now time.Time, scope Scope, l *ledger.Ledger, expected object.Version) (object.Version, error) {
	const step errs.Step = "write placement cell"
	l.Holder, l.LeaseUntil = c.instance, now.Add(c.settings.Lease)
	l.Nonce, l.Generation = c.nonce(), scope.Generation
	data, err := ledgerfile.Encode(l)
	if err != nil {
		return 0, errs.Wrap(err, step, errs.Self)
	}
	version, err := c.replace(ctx, scope.Name, data, expected)
	if !errors.Is(err, object.ErrOutcomeUnknown) {
		return version, errs.Wrap(err, step, "store")
	}
	found, readErr := c.read(ctx, scope.Name)
	if readErr != nil {
		return 0, readErr
	}
	if found.ledger.Nonce != l.Nonce {
		return 0, errs.Wrap(err, step, "store")
	}
	return found.version, nil
}

func (c *Cell) replace(ctx context.Context, name object.Name, data []byte, expected object.Version) (object.Version, error) {
	if expected == 0 {
		return c.store.Create(ctx, CellKind, name, data)
	}
	return c.store.Update(ctx, CellKind, name, data, expected)
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

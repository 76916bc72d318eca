package placing

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"savoryweir/internal/coordination/placement"
	"savoryweir/internal/protocol/enginehttp"
	"savoryweir/internal/protocol/ledgerfile"
	"savoryweir/internal/standin/objectapi"
	"savoryweir/internal/standin/residency"
	"savoryweir/internal/standin/weights"
	"savoryweir/internal/state/bundle"
	"savoryweir/internal/state/ledger"
	"savoryweir/internal/state/object"
	"savoryweir/internal/transport/engineclient"
)

const cellName object.Name = "tagger-0"

var errNoAnswer = errors.New("no answer")

// faultRates are the probabilities of faults, per order unless noted.
type faultRates struct {
	lose, late, twice, kill, freeze float64
	staleReport, loseAnswer         float64 // per report, per write
	lateWrite, interleave           float64 // per write
	restart, rollout, outage        float64 // per second
	crossBoot                       bool    // orders may reach a later boot (violates the contract of Session)
}

// faultCounts counts the reports, the orders and the faults that were injected.
type faultCounts struct {
	reports, orders, lost, late, twice, kills, freezes, restarts, rollouts, nestedWrites int
}

func (c *faultCounts) add(d faultCounts) {
	c.reports += d.reports
	c.orders += d.orders
	c.lost += d.lost
	c.late += d.late
	c.twice += d.twice
	c.kills += d.kills
	c.freezes += d.freezes
	c.restarts += d.restarts
	c.rollouts += d.rollouts
	c.nestedWrites += d.nestedWrites
}

// delivery is an order in transit.
type delivery struct {
	at     time.Time
	engine int
	boot   int
	sent   time.Time
	order  ledger.Order
}

// simulation is a cell of simulated engines with holders and faults under virtual time.
type simulation struct {
	rand          *rand.Rand
	faults        faultRates
	store         *objectapi.Memory
	weights       *weights.Store
	engines       []*residency.Engine
	boots         []int
	down          []bool
	lastLoss      time.Time
	reports       [][]ledger.Report // per engine, since its last boot
	pending       []delivery
	scope         Scope
	holders       []*simulatedHolder
	failures      []string
	stats         faultCounts
	checkOverride func(event string) // replaces the check of one cell, if not nil
}

// simulatedHolder is one instance with its own connection to the store.
type simulatedHolder struct {
	w      *simulation
	name   string
	link   *objectapi.Link
	cell   *Cell
	frozen time.Time
	killed bool
	nested bool
	// stepCells reconciles the cells of an instance with several cells. It may be nil.
	stepCells func(now time.Time)
}

func newSimulation(seed uint64, scope Scope, limits weights.Limits, s Settings, f faultRates) *simulation {
	w := &simulation{
		rand: rand.New(rand.NewPCG(seed, 1)), faults: f, scope: scope,
		store: objectapi.New(time.Now, objectapi.Limits{}), weights: weights.New(limits),
	}
	for _, u := range scope.Upstreams {
		config := residency.Config{Name: string(u.ID), CapacityMiB: int64(u.Memory), ChecksFence: u.ChecksFence}
		w.engines = append(w.engines, residency.New(config, w.weights, time.Now()))
		w.boots = append(w.boots, 0)
		w.down = append(w.down, false)
		w.reports = append(w.reports, nil)
	}
	w.scope.IsInstanceAlive = func(string) bool { return w.rand.Float64() > 0.1 }
	for _, name := range []string{"a", "b"} {
		h := &simulatedHolder{w: w, name: name, link: objectapi.NewLink(w.store)}
		h.start(s)
		w.holders = append(w.holders, h)
	}
	return w
}

func (h *simulatedHolder) start(s Settings) {
	h.cell = NewCell(h.name, s, holderStore{h.link, h}, fakeEngineConnector{h}, placement.NewCostAware(s.Policy), h.w.rand.Uint64)
	h.killed = false
}

func (w *simulation) happens(p float64) bool { return w.rand.Float64() < p }

func (w *simulation) fail(format string, args ...any) {
	w.failures = append(w.failures, fmt.Sprintf(format, args...))
}

// advanceSecond advances the simulation by one second: it delivers orders, injects faults, lets
// each holder reconcile and checks the ledgers.
func (w *simulation) advanceSecond(s Settings) {
	time.Sleep(time.Second)
	now := time.Now()
	w.weights.Advance(now)
	w.deliverDue(now)
	w.injectFaults(now)
	for _, h := range w.holders {
		if h.killed {
			h.start(s)
		}
		h.step(now)
	}
	w.check("second")
}

func (w *simulation) injectFaults(now time.Time) {
	if w.happens(w.faults.restart) {
		w.restart(w.rand.IntN(len(w.engines)), now)
	}
	if w.happens(w.faults.rollout) {
		w.rollout()
	}
	w.store.SetFaults(objectapi.Faults{Outage: w.happens(w.faults.outage)})
}

func (w *simulation) restart(e int, now time.Time) {
	w.stats.restarts++
	w.boots[e]++
	w.reports[e] = nil
	w.lastLoss = now
	w.engines[e].Restart(now)
}

// rollout puts a new version of some models in force.
func (w *simulation) rollout() {
	w.stats.rollouts++
	w.scope.Generation++
	w.scope.Models = slices.Clone(w.scope.Models)
	for i := range w.scope.Models {
		if w.happens(0.5) {
			w.scope.Models[i].Version = fmt.Sprint(w.scope.Generation)
		}
	}
}

func (h *simulatedHolder) step(now time.Time) {
	if h.killed || now.Before(h.frozen) {
		return
	}
	if h.stepCells != nil {
		h.stepCells(now)
		return
	}
	_ = h.cell.Reconcile(context.Background(), now, h.w.scope)
	h.w.check("step of " + h.name)
}

func (w *simulation) deliverDue(now time.Time) {
	for i := 0; i < len(w.pending); i++ {
		if d := w.pending[i]; !d.at.After(now) {
			w.pending = slices.Delete(w.pending, i, i+1)
			i--
			w.deliver(d)
		}
	}
}

// deliver applies an order to its engine and reports whether the order arrived. Unless crossBoot is
// set, an order is lost if the engine has restarted since the connection was opened.
func (w *simulation) deliver(d delivery) bool {
	if w.down[d.engine] || (!w.faults.crossBoot && d.boot != w.boots[d.engine]) {
		return false
	}
	if slices.Contains(w.scope.Leaving, w.scope.Upstreams[d.engine].ID) {
		w.fail("order %s to a leaving engine", d.order.ID())
	}
	action := residency.Load
	if d.order.Action == ledger.Unload {
		action = residency.Unload
	}
	order := engineclient.ToWire(d.order)
	wasReady := w.engines[d.engine].HasReady(order.Slot)
	w.engines[d.engine].Apply(time.Now(), action, order)
	if wasReady && !w.engines[d.engine].HasReady(order.Slot) {
		w.checkLastReplica(d, order.Slot)
	}
	w.check("delivery of " + d.order.ID())
	return true
}

// checkLastReplica fails if an unload has taken a model's last ready replica, unless a replica
// was lost with its engine after the order had been sent.
func (w *simulation) checkLastReplica(d delivery, slot enginehttp.Slot) {
	if slot.Adapter != "" || !w.lastLoss.Before(d.sent) {
		return
	}
	for _, e := range w.engines {
		for _, r := range e.Now().Residents {
			if r.Slot.Model == slot.Model && r.Slot.Adapter == "" && r.State == enginehttp.StateReady {
				return
			}
		}
	}
	w.fail("unload of the last ready replica: %s at %s", d.order.ID(), d.order.Engine)
}

// check checks that no engine uses more memory than the stored ledger charges for it.
func (w *simulation) check(event string) {
	if w.checkOverride != nil {
		w.checkOverride(event)
		return
	}
	w.store.SetFaults(objectapi.Faults{})
	o, err := w.store.Get(context.Background(), CellKind, cellName)
	if err != nil {
		return
	}
	l, err := ledgerfile.Decode(o.Data)
	if err != nil {
		w.fail("stored ledger: %v", err)
		return
	}
	for i, e := range w.engines {
		account := e.Account()
		if account.Refused > 0 {
			w.fail("%s: engine %d would have been overcommitted", event, i)
		}
		ledgerEngine := l.Engine(w.scope.Upstreams[i].ID)
		if ledgerEngine == nil || ledgerEngine.Boot != e.Now().Boot {
			if account.UsedMiB > 0 {
				w.fail("%s: engine %d uses memory in a boot that the ledger does not know", event, i)
			}
			continue
		}
		if charged := ledgerEngine.ChargedMemory(); int64(charged) < account.UsedMiB {
			w.fail("%s: engine %d uses %d MiB and is charged %d", event, i, account.UsedMiB, charged)
		}
	}
}

// holderStore is a holder's connection to the store. The other holder may act just before a write.
type holderStore struct {
	*objectapi.Link
	h *simulatedHolder
}

func (s holderStore) before() {
	w := s.h.w
	f := objectapi.LinkFaults{}
	if w.happens(w.faults.loseAnswer) {
		f.LoseAnswers = 1
	}
	if w.happens(w.faults.lateWrite) {
		f.LateWrites, f.LateBy = 1, time.Duration(1+w.rand.IntN(5000))*time.Millisecond
	}
	if w.happens(w.faults.interleave) && !s.h.nested {
		w.stats.nestedWrites++
		s.h.nested = true
		for _, other := range w.holders {
			if other != s.h && !other.nested {
				other.step(time.Now())
			}
		}
		s.h.nested = false
	}
	s.Link.SetFaults(f)
}

func (s holderStore) Create(ctx context.Context, k object.Kind, n object.Name, data []byte) (object.Version, error) {
	s.before()
	return s.Link.Create(ctx, k, n, data)
}

func (s holderStore) Update(ctx context.Context, k object.Kind, n object.Name, data []byte, v object.Version) (object.Version, error) {
	s.before()
	return s.Link.Update(ctx, k, n, data, v)
}

// fakeEngineConnector opens the sessions of one holder.
type fakeEngineConnector struct{ h *simulatedHolder }

func (f fakeEngineConnector) Open(_ context.Context, u bundle.Upstream) (Session, error) {
	w := f.h.w
	i := slices.IndexFunc(w.scope.Upstreams, func(other bundle.Upstream) bool { return other.ID == u.ID })
	if w.down[i] {
		return nil, errNoAnswer
	}
	return &fakeSession{h: f.h, engine: i, boot: w.boots[i]}, nil
}

// fakeSession is a connection to one boot of an engine.
type fakeSession struct {
	h      *simulatedHolder
	engine int
	boot   int
}

func (s *fakeSession) Close() {}

func (s *fakeSession) Report(context.Context) (ledger.Report, error) {
	w := s.h.w
	w.stats.reports++
	if w.down[s.engine] || s.boot != w.boots[s.engine] {
		return ledger.Report{}, errNoAnswer
	}
	if old := w.reports[s.engine]; len(old) > 0 && w.happens(w.faults.staleReport) {
		return old[w.rand.IntN(len(old))], nil
	}
	r := engineclient.FromWire(w.engines[s.engine].Now())
	w.reports[s.engine] = append(w.reports[s.engine], r)
	return r, nil
}

func (s *fakeSession) Send(_ context.Context, o ledger.Order) error {
	w, now := s.h.w, time.Now()
	d := delivery{at: now, engine: s.engine, boot: s.boot, sent: now, order: o}
	if s.h.killed {
		return errNoAnswer
	}
	w.stats.orders++
	late := time.Duration(1+w.rand.IntN(60)) * time.Second
	switch {
	case now.Before(s.h.frozen):
		d.at = s.h.frozen
	case w.happens(w.faults.kill):
		w.stats.kills++
		s.h.killed = true
		if w.happens(0.5) {
			w.deliver(d)
		}
		return errNoAnswer
	case w.happens(w.faults.freeze):
		w.stats.freezes++
		s.h.frozen = now.Add(late)
		d.at = s.h.frozen
	case w.happens(w.faults.lose):
		w.stats.lost++
		return errNoAnswer
	case w.happens(w.faults.late):
		w.stats.late++
		d.at = now.Add(late)
	default:
		if w.happens(w.faults.twice) {
			w.stats.twice++
			again := d
			again.at = now.Add(late)
			w.pending = append(w.pending, again)
		}
		if !w.deliver(d) {
			return errNoAnswer
		}
		return nil
	}
	w.pending = append(w.pending, d)
	return errNoAnswer
}

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

var errLost = errors.New("no answer")

// chances are the probabilities of faults, per order unless noted.
type chances struct {
	lose, late, twice, kill, freeze float64
	staleReport, loseAnswer         float64 // per report, per write
	lateWrite, interleave           float64 // per write
	restart, rollout, outage        float64 // per second
	crossBoot                       bool    // orders may outlive a restart (breaks the connection rule)
}

// counts are the faults that were brought about.
type counts struct {
	reports, orders, lost, late, twice, kills, freezes, restarts, rollouts, nestedWrites int
}

func (c *counts) add(d counts) {
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

// delivery is an order under way.
type delivery struct {
	at     time.Time
	engine int
	boot   int
	sent   time.Time
	order  ledger.Order
}

// world is a cell of engine stand-ins with holders and faults under virtual time.
type world struct {
	rand     *rand.Rand
	faults   chances
	store    *objectapi.Memory
	weights  *weights.Store
	engines  []*residency.Engine
	boots    []int
	down     []bool
	lastLoss time.Time
	reports  [][]ledger.Report // per engine, of this boot
	pending  []delivery
	scope    Scope
	holders  []*holder
	failures []string
	seen     counts
	checks   func(event string) // in place of the check of one cell, if not nil
}

// holder is one instance with its own path to the store.
type holder struct {
	w      *world
	name   string
	link   *objectapi.Link
	cell   *Cell
	frozen time.Time
	killed bool
	nested bool
	// stepCells is the step of an instance with several cells, if not nil.
	stepCells func(now time.Time)
}

func newWorld(seed uint64, scope Scope, limits weights.Limits, s Settings, f chances) *world {
	w := &world{
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
		h := &holder{w: w, name: name, link: objectapi.NewLink(w.store)}
		h.start(s)
		w.holders = append(w.holders, h)
	}
	return w
}

func (h *holder) start(s Settings) {
	h.cell = NewCell(h.name, s, holderStore{h.link, h}, fakeEngines{h}, placement.NewCostAware(s.Policy), h.w.rand.Uint64)
	h.killed = false
}

func (w *world) chance(p float64) bool { return w.rand.Float64() < p }

func (w *world) fail(format string, args ...any) {
	w.failures = append(w.failures, fmt.Sprintf(format, args...))
}

// second lets one second pass, with all that may happen in it.
func (w *world) second(s Settings) {
	time.Sleep(time.Second)
	now := time.Now()
	w.weights.Advance(now)
	w.deliverDue(now)
	w.shake(now)
	for _, h := range w.holders {
		if h.killed {
			h.start(s)
		}
		h.step(now)
	}
	w.check("second")
}

func (w *world) shake(now time.Time) {
	if w.chance(w.faults.restart) {
		w.restart(w.rand.IntN(len(w.engines)), now)
	}
	if w.chance(w.faults.rollout) {
		w.rollout()
	}
	w.store.SetFaults(objectapi.Faults{Outage: w.chance(w.faults.outage)})
}

func (w *world) restart(e int, now time.Time) {
	w.seen.restarts++
	w.boots[e]++
	w.reports[e] = nil
	w.lastLoss = now
	w.engines[e].Restart(now)
}

// rollout puts a new version of some models in force.
func (w *world) rollout() {
	w.seen.rollouts++
	w.scope.Generation++
	w.scope.Models = slices.Clone(w.scope.Models)
	for i := range w.scope.Models {
		if w.chance(0.5) {
			w.scope.Models[i].Version = fmt.Sprint(w.scope.Generation)
		}
	}
}

func (h *holder) step(now time.Time) {
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

func (w *world) deliverDue(now time.Time) {
	for i := 0; i < len(w.pending); i++ {
		if d := w.pending[i]; !d.at.After(now) {
			w.pending = slices.Delete(w.pending, i, i+1)
			i--
			w.deliver(d)
		}
	}
}

// deliver lets an order arrive. It ends with the boot that its connection was opened to.
func (w *world) deliver(d delivery) bool {
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
func (w *world) checkLastReplica(d delivery, slot enginehttp.Slot) {
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

// check compares every engine's own account with what the stored ledger charges.
func (w *world) check(event string) {
	if w.checks != nil {
		w.checks(event)
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
		booked := l.Engine(w.scope.Upstreams[i].ID)
		if booked == nil || booked.Boot != e.Now().Boot {
			if account.UsedMiB > 0 {
				w.fail("%s: engine %d uses memory in a boot that the ledger does not know", event, i)
			}
			continue
		}
		if charged := booked.Charged(); int64(charged) < account.UsedMiB {
			w.fail("%s: engine %d uses %d MiB and is charged %d", event, i, account.UsedMiB, charged)
		}
	}
}

// holderStore is a holder's path to the store. The other holder may act just before a write.
type holderStore struct {
	*objectapi.Link
	h *holder
}

func (s holderStore) before() {
	w := s.h.w
	f := objectapi.LinkFaults{}
	if w.chance(w.faults.loseAnswer) {
		f.LoseAnswers = 1
	}
	if w.chance(w.faults.lateWrite) {
		f.LateWrites, f.LateBy = 1, time.Duration(1+w.rand.IntN(5000))*time.Millisecond
	}
	if w.chance(w.faults.interleave) && !s.h.nested {
		w.seen.nestedWrites++
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

// fakeEngines opens sessions of one holder.
type fakeEngines struct{ h *holder }

func (f fakeEngines) Open(_ context.Context, u bundle.Upstream) (Session, error) {
	w := f.h.w
	i := slices.IndexFunc(w.scope.Upstreams, func(other bundle.Upstream) bool { return other.ID == u.ID })
	if w.down[i] {
		return nil, errLost
	}
	return &fakeSession{h: f.h, engine: i, boot: w.boots[i]}, nil
}

// fakeSession is a connection to one boot of an engine.
type fakeSession struct {
	h      *holder
	engine int
	boot   int
}

func (s *fakeSession) Close() {}

func (s *fakeSession) Report(context.Context) (ledger.Report, error) {
	w := s.h.w
	w.seen.reports++
	if w.down[s.engine] || s.boot != w.boots[s.engine] {
		return ledger.Report{}, errLost
	}
	if old := w.reports[s.engine]; len(old) > 0 && w.chance(w.faults.staleReport) {
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
		return errLost
	}
	w.seen.orders++
	late := time.Duration(1+w.rand.IntN(60)) * time.Second
	switch {
	case now.Before(s.h.frozen):
		d.at = s.h.frozen
	case w.chance(w.faults.kill):
		w.seen.kills++
		s.h.killed = true
		if w.chance(0.5) {
			w.deliver(d)
		}
		return errLost
	case w.chance(w.faults.freeze):
		w.seen.freezes++
		s.h.frozen = now.Add(late)
		d.at = s.h.frozen
	case w.chance(w.faults.lose):
		w.seen.lost++
		return errLost
	case w.chance(w.faults.late):
		w.seen.late++
		d.at = now.Add(late)
	default:
		if w.chance(w.faults.twice) {
			w.seen.twice++
			again := d
			again.at = now.Add(late)
			w.pending = append(w.pending, again)
		}
		if !w.deliver(d) {
			return errLost
		}
		return nil
	}
	w.pending = append(w.pending, d)
	return errLost
}

package reconciler

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"savoryweir/internal/coordination/rebalance"
	"savoryweir/internal/state/fleet"
	"savoryweir/internal/state/object"
	"savoryweir/platform"
)

// modelClass is a class of engines with room for two of three models and two adapters.
var modelClass = &fleet.EngineClass{WeightsMB: 100, AdapterSlots: 2, LoadsPerSecond: 100, Models: []fleet.Model{
	{Name: "m0", WeightsMB: 40, AdapterMB: 1, Adapters: 4}, {Name: "m1", WeightsMB: 40, AdapterMB: 1, Adapters: 4}, {Name: "m2", WeightsMB: 40},
}}

// modelEngine is an engine as the platform's pages describe it. It panics if it is ordered to hold more than it has
// room for.
type modelEngine struct {
	seq       uint64
	models    map[string][]string // adapters by model
	inUse     map[rebalance.AdapterKey]bool
	unloading map[rebalance.AdapterKey]bool // accepted, waits for requests in progress
	busyWith  *modelOrder                   // order for a model in progress
	overload  string
}

type modelOrder struct {
	rebalance.Action
	expect uint64
}

// accept carries an order out and returns the status of the response.
func (e *modelEngine) accept(o modelOrder) int {
	key := o.AdapterKey()
	adapters, holdsModel := e.models[o.Model]
	holds := holdsModel && (o.Adapter == "" || slices.Contains(adapters, o.Adapter))
	switch {
	case o.expect != e.seq:
		return 409
	case e.unloading[key] && !o.Load:
		return 202 // in progress, not counted
	case o.Load == holds && !e.unloading[key]:
		return 200
	case o.Adapter == "" && e.busyWith != nil:
		return 409
	case o.Adapter != "" && !holdsModel || e.unloading[key]:
		return 409
	}
	e.seq++
	switch {
	case o.Adapter == "":
		e.busyWith = &o
		if o.Load && 40*(len(e.models)+1) > 100 {
			e.overload = fmt.Sprintf("%v beside %v", o, e.models)
		}
	case o.Load:
		if e.models[o.Model] = append(slices.Clone(adapters), o.Adapter); e.adapterCount() > 2 {
			e.overload = fmt.Sprintf("%v beside %v", o, e.models)
		}
	case e.inUse[key]:
		e.unloading[key] = true
	default:
		e.drop(key)
		return 200
	}
	return 202
}

func (e *modelEngine) adapterCount() (n int) {
	for _, adapters := range e.models {
		n += len(adapters)
	}
	return n
}

func (e *modelEngine) drop(key rebalance.AdapterKey) {
	delete(e.unloading, key)
	e.models[key.Model] = slices.DeleteFunc(slices.Clone(e.models[key.Model]), func(a string) bool { return a == key.Adapter })
}

// finish ends the order for a model in progress.
func (e *modelEngine) finish() {
	if e.busyWith == nil {
		return
	}
	if e.busyWith.Load {
		e.models[e.busyWith.Model] = nil
	} else {
		for _, a := range e.models[e.busyWith.Model] {
			delete(e.unloading, rebalance.AdapterKey{Model: e.busyWith.Model, Adapter: a})
		}
		delete(e.models, e.busyWith.Model)
	}
	e.busyWith = nil
}

// report returns the engine's present state.
func (e *modelEngine) report() fleet.Upstream {
	u := fleet.Upstream{ID: "e1", AcceptedOrders: e.seq, OrderInProgress: e.busyWith != nil}
	for _, name := range slices.Sorted(maps.Keys(e.models)) {
		u.Models = append(u.Models, fleet.ResidentModel{Model: name, Adapters: slices.Clone(e.models[name])})
	}
	return u
}

// orderModel is an engine, the holder that gives it orders, and what is under way between them.
type orderModel struct {
	now     time.Time
	engine  *modelEngine
	holder  *Reconciler
	state   *engineState
	late    []modelOrder     // orders without a response that may be carried out at any time
	reports []timedReport    // recent states, as reports may be old
	entries []fleet.Upstream // states that the engine has written and that the holder has not read
	entry   object.Version
	// lastEntry are the models in the entry that the instances know.
	lastEntry []fleet.ResidentModel
}

type timedReport struct {
	at     time.Time
	report fleet.Upstream
}

func newOrderModel(t *rapid.T) *orderModel {
	models := rapid.SampledFrom([]map[string][]string{{"m0": {"a1", "a2"}, "m1": nil}, {"m0": {"a1", "a2"}}, {"m0": {"a1"}}}).Draw(t, "models")
	m := &orderModel{now: time.Unix(1000, 0), engine: &modelEngine{
		models: maps.Clone(models), inUse: make(map[rebalance.AdapterKey]bool), unloading: make(map[rebalance.AdapterKey]bool),
	}}
	m.observe()
	m.handOver()
	return m
}

// observe records the present state of the engine, for reports.
func (m *orderModel) observe() {
	m.reports = slices.DeleteFunc(m.reports, func(r timedReport) bool { return m.now.Sub(r.at) >= maxReportAge })
	m.reports = append(m.reports, timedReport{m.now, m.engine.report()})
}

// handOver lets another instance hold the lease, which knows nothing of earlier orders.
func (m *orderModel) handOver() {
	m.holder = &Reconciler{termStart: m.now, hadHolder: m.holder != nil}
	m.state = &engineState{upstream: fleet.Upstream{ID: "e1"}, entryModels: m.lastEntry, drainingModels: make(map[string]time.Time), loadOrderedAt: make(map[string]time.Time)}
}

// plan sends the order that the holder plans, if any, given what is wanted.
func (m *orderModel) plan(t *rapid.T, wanted rebalance.AdapterKey) {
	snapshot := rebalance.Snapshot{
		Class: modelClass, Engines: []rebalance.Engine{m.state.snapshot(m.now)}, StoreLoadBudget: 10,
		HasWaitingRequests: map[rebalance.AdapterKey]bool{wanted: true, {Model: wanted.Model}: true},
		TokenRates:         map[string]float64{wanted.Model: 1000}, PrefillRates: map[string]float64{"m0": 2000, "m1": 2000, "m2": 2000},
		AdapterRates: map[rebalance.AdapterKey]float64{},
	}
	if wanted.Adapter != "" {
		snapshot.AdapterRates[wanted] = 5
	}
	for _, a := range rebalance.Plan(snapshot) {
		if a.Load && a.Adapter == "" {
			m.state.loading, m.state.loadOrderedAt[a.Model] = a.Model, m.now
		}
		if !a.Load && a.Adapter == "" {
			m.state.drainingModels[a.Model], m.state.loading = m.now, a.MakesRoomFor
		}
		m.order(t, a)
	}
}

// use begins or ends the use of an adapter by requests.
func (m *orderModel) use(key rebalance.AdapterKey, inUse bool) {
	m.engine.inUse[key] = inUse
	if !inUse && m.engine.unloading[key] {
		m.engine.drop(key)
	}
}

// order sends an order up to maxOrderAttempts times. Each attempt is answered, or not answered and carried out now,
// later or never.
func (m *orderModel) order(t *rapid.T, a rebalance.Action) {
	o := modelOrder{Action: a, expect: m.state.upstream.AcceptedOrders}
	outcome := orderOutcome{expectedOrders: o.expect, sentAt: m.now}
	for ; outcome.attempts < maxOrderAttempts && outcome.result == platform.OrderUnknown; outcome.attempts++ {
		switch rapid.SampledFrom([]string{"answered", "answered", "response lost", "late", "request lost"}).Draw(t, "attempt") {
		case "answered":
			outcome.result = platform.DecodeOrderStatus(m.engine.accept(o))
		case "response lost":
			m.engine.accept(o)
		case "late":
			m.late = append(m.late, o)
		}
		m.observe()
	}
	m.holder.settle(m.state, modelClass, a, outcome, m.now)
}

// read has the holder read a report of the engine, which may be old.
func (m *orderModel) read(t *rapid.T) {
	m.observe()
	r := rapid.SampledFrom(m.reports).Draw(t, "report")
	report := r.report
	report.EntryVersion = m.state.upstream.EntryVersion
	m.holder.applyReport(m.state, report, m.now)
	if m.state.confirmed {
		m.state.resolveUnloads(report, m.now, m.now)
	}
}

// An order without an answer was carried out after a later one, beside which the engine had no room for it. The
// engine crashed with all that ran there.
func TestEngineIsNeverOrderedAboveItsRoom(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newOrderModel(t)
		keys := []rebalance.AdapterKey{{Model: "m0", Adapter: "a1"}, {Model: "m0", Adapter: "a2"}, {Model: "m0", Adapter: "a3"}, {Model: "m1", Adapter: "a4"}, {Model: "m2"}, {Model: "m1"}}
		t.Repeat(map[string]func(*rapid.T){
			"plan": func(t *rapid.T) {
				for range rapid.IntRange(1, 4).Draw(t, "plans") {
					m.now = m.now.Add(time.Duration(rapid.IntRange(10, 800).Draw(t, "ms")) * time.Millisecond)
					if !m.state.confirmed || m.state.upstream.OrderInProgress {
						m.read(t)
					}
					m.plan(t, rapid.SampledFrom(keys).Draw(t, "wanted"))
				}
			},
			"read": m.read,
			"wait": func(t *rapid.T) {
				m.now = m.now.Add(time.Duration(rapid.IntRange(1, 1500).Draw(t, "ms")) * time.Millisecond)
			},
			"late order": func(t *rapid.T) {
				if len(m.late) > 0 {
					n := rapid.IntRange(0, len(m.late)-1).Draw(t, "order")
					m.engine.accept(m.late[n])
					m.late = slices.Delete(m.late, n, n+1)
				}
			},
			"requests": func(t *rapid.T) {
				for _, key := range keys[:4] {
					m.use(key, rapid.Bool().Draw(t, "in use"))
				}
			},
			"order is done": func(*rapid.T) {
				if m.engine.busyWith != nil {
					m.engine.finish()
					m.entries = append(m.entries, m.engine.report())
				}
			},
			"heartbeat": func(*rapid.T) { m.entries = append(m.entries, m.engine.report()) },
			"entry arrives": func(*rapid.T) {
				if len(m.entries) > 0 {
					entry := m.entries[0]
					m.entry++
					entry.EntryVersion, entry.AcceptedOrders, entry.OrderInProgress = m.entry, 0, false
					m.entries, m.lastEntry = m.entries[1:], entry.Models
					m.state.mergeEntry(&entry, m.now)
				}
			},
			"hand-over": func(t *rapid.T) {
				// Turns are apart; an earlier holder's unload may go on for the whole of formerOrderPeriod.
				m.now = m.now.Add(3 * time.Second)
				m.handOver()
			},
			"long term": func(*rapid.T) {
				// All that an earlier holder began is over by then.
				for _, key := range keys[:4] {
					m.use(key, false)
				}
				m.late = nil
				m.now = m.now.Add(formerOrderPeriod)
			},
			"": func(t *rapid.T) {
				assert.Assert(t, m.engine.overload == "", "the engine was ordered to hold %s", m.engine.overload)
				m.observe()
			},
		})
	})
}

package placing

import (
	"context"
	"testing"
	"time"

	"savoryweir/internal/control/rosters"
	"savoryweir/internal/coordination/rosterplan"
	"savoryweir/internal/protocol/ledgerfile"
	"savoryweir/internal/protocol/rosterfile"
	"savoryweir/internal/standin/objectapi"
	"savoryweir/internal/standin/weights"
	"savoryweir/internal/state/bundle"
	"savoryweir/internal/state/ledger"
	"savoryweir/internal/state/object"
	"savoryweir/internal/state/roster"
)

const fleetService bundle.ServiceName = "tagger"

// fleetSimulation is a simulation of one service with several cells whose number changes.
type fleetSimulation struct {
	*simulation
	t             *testing.T
	settings      Settings
	planning      rosterplan.Settings
	members       []*fleetInstance
	present       []bool // whether an engine is in the bundle
	resizes       int
	moved         int // number of times an engine changed its ledger
	owners        map[bundle.UpstreamID]int
	cachedLedgers map[int]*ledger.Ledger // decoded when the store had counted this number of writes
	writes        uint64
}

// fleetInstance is one instance: a holder with all cells of the service, its own copy of the
// roster, and a planner.
type fleetInstance struct {
	*simulatedHolder
	cells  map[int]*Cell
	roster roster.Stored
}

func newFleetSimulation(seed uint64, scope Scope, limits weights.Limits, s Settings, f faultRates) *fleetSimulation {
	w := &fleetSimulation{
		simulation: newSimulation(seed, scope, limits, s, f), settings: s, planning: rosterplan.Settings{CellSize: 4, CellCount: 1}, owners: make(map[bundle.UpstreamID]int),
	}
	w.checkOverride = w.checkFleet
	for range scope.Upstreams {
		w.present = append(w.present, true)
	}
	for _, h := range w.holders {
		m := &fleetInstance{simulatedHolder: h, cells: make(map[int]*Cell)}
		w.members = append(w.members, m)
		h.stepCells = func(now time.Time) { w.stepInstance(m, now) }
	}
	return w
}

func (w *fleetSimulation) ledgers() map[int]*ledger.Ledger {
	w.store.SetFaults(objectapi.Faults{})
	writes := w.store.Counts().Writes()
	if w.cachedLedgers != nil && writes == w.writes {
		return w.cachedLedgers
	}
	objects, err := w.store.List(context.Background(), CellKind, ledgerfile.Prefix(fleetService))
	if err != nil {
		w.fail("list: %v", err)
	}
	found := make(map[int]*ledger.Ledger)
	for _, o := range objects {
		index, _ := ledgerfile.Index(fleetService, o.Name)
		l, err := ledgerfile.Decode(o.Data)
		if err != nil {
			w.fail("stored ledger: %v", err)
			continue
		}
		found[index] = l
	}
	w.cachedLedgers, w.writes = found, writes
	return found
}

// checkFleet checks that no engine is in two ledgers, and that no engine uses more memory than
// the ledgers charge for it.
func (w *fleetSimulation) checkFleet(event string) {
	all := w.ledgers()
	for i, e := range w.engines {
		id := w.scope.Upstreams[i].ID
		account := e.Account()
		if account.Refused > 0 {
			w.fail("%s: engine %d would have been overcommitted", event, i)
		}
		var ledgerEngine *ledger.Engine
		owners := 0
		for index, l := range all {
			if own := l.Engine(id); own != nil {
				ledgerEngine = own
				owners++
				if before, ok := w.owners[id]; ok && before != index {
					w.moved++
				}
				w.owners[id] = index
			}
		}
		if owners > 1 {
			w.fail("%s: engine %d is in %d ledgers", event, i, owners)
		}
		for _, l := range all {
			for _, h := range l.Outgoing {
				if h.Engine.ID == id && ledgerEngine == nil {
					ledgerEngine = &h.Engine
				}
			}
		}
		if ledgerEngine == nil || ledgerEngine.Boot != e.Now().Boot {
			if account.UsedMiB > 0 {
				w.fail("%s: engine %d uses memory in a boot that no ledger knows", event, i)
			}
			continue
		}
		if charged := ledgerEngine.ChargedMemory(); int64(charged) < account.UsedMiB {
			w.fail("%s: engine %d uses %d MiB and is charged %d", event, i, account.UsedMiB, charged)
		}
	}
}

// stepInstance lets an instance read and plan the roster at random times, and reconcile all its cells.
func (w *fleetSimulation) stepInstance(m *fleetInstance, now time.Time) {
	if m.killed || now.Before(m.frozen) {
		return
	}
	if w.happens(0.3) {
		m.readRoster()
	}
	if w.happens(0.3) {
		m.planRoster(w)
	}
	for index := range m.roster.Ledgers {
		if m.killed || now.Before(m.frozen) {
			return // the rest of the process has stopped too
		}
		_ = m.cellOf(w, index).Reconcile(context.Background(), now, w.scopeOf(m, index))
		w.checkFleet("step of " + m.name)
	}
}

func (m *fleetInstance) readRoster() {
	o, err := m.link.Get(context.Background(), rosters.Kind, object.Name(fleetService))
	if err != nil {
		return
	}
	if r, err := rosterfile.Decode(o.Data); err == nil {
		m.roster = roster.Stored{Roster: r, Version: o.Version}
	}
}

func (m *fleetInstance) planRoster(w *fleetSimulation) {
	planner := rosters.NewPlanner(holderStore{m.link, m.simulatedHolder}, w.planning)
	next, written, err := planner.Plan(context.Background(), fleetService, w.engineList(), m.roster)
	if err == nil && written {
		m.roster = next
	}
}

func (w *fleetSimulation) engineList() []bundle.Upstream {
	var list []bundle.Upstream
	for i, u := range w.scope.Upstreams {
		if w.present[i] {
			list = append(list, u)
		}
	}
	return list
}

func (m *fleetInstance) cellOf(w *fleetSimulation, index int) *Cell {
	if m.cells[index] == nil {
		h := m.simulatedHolder
		h.start(w.settings)
		m.cells[index] = h.cell
	}
	return m.cells[index]
}

func (w *fleetSimulation) scopeOf(m *fleetInstance, index int) Scope {
	s := w.scope
	s.Name = CellName(fleetService, index)
	s.Upstreams = w.engineList()
	s.Models, s.Adapters = nil, nil
	a := &Assignment{Service: fleetService, Index: index, Roster: m.roster, Upstreams: s.Upstreams, HomeCells: make(map[bundle.ModelID]int)}
	for i, model := range w.scope.Models {
		a.HomeCells[model.ID] = m.roster.HomeCell(model.ID)
		if a.HomeCells[model.ID] == index {
			s.Models = append(s.Models, model)
			s.Adapters = append(s.Adapters, w.scope.Adapters[i])
		}
	}
	s.Assignment = a
	return s
}

// settleSeconds is enough time for all engines of a schedule to change their cell one after
// another, and for the leases of killed holders to expire.
const settleSeconds = 60

// runUntilSettled continues the simulation without faults. It reports a failure if in the end an
// engine of the bundle is not in the ledger of its cell, or a handover is still in progress.
func (w *fleetSimulation) runUntilSettled() {
	w.faults = faultRates{}
	for _, m := range w.members {
		m.frozen = time.Time{}
	}
	for range settleSeconds {
		w.advanceSecond(w.settings)
	}
	all := w.ledgers()
	for _, u := range w.engineList() {
		entry, _ := w.members[0].roster.Entry(u.ID)
		if l := all[entry.Cell]; l == nil || l.Engine(u.ID) == nil {
			w.fail("engine %s is not in the ledger of its cell %d", u.ID, entry.Cell)
		}
	}
	for index, l := range all {
		if len(l.Outgoing) > 0 {
			w.fail("handover of engine %s from the ledger of cell %d is not complete", l.Outgoing[0].Engine.ID, index)
		}
	}
}

// changeRandomly changes the number of cells, or lets an engine join or leave the bundle.
func (w *fleetSimulation) changeRandomly() {
	if w.happens(0.06) {
		w.resizes++
		w.planning.CellCount = 1 + w.rand.IntN(4)
	}
	if w.happens(0.03) {
		i := w.rand.IntN(len(w.present))
		w.present[i] = !w.present[i]
		w.scope.Generation++
	}
}

func (w *fleetSimulation) advanceFleetSecond() {
	for _, m := range w.members {
		if m.killed {
			m.cells = make(map[int]*Cell)
			m.roster = roster.Stored{}
			m.killed = false
		}
	}
	w.changeRandomly()
	w.advanceSecond(w.settings)
}

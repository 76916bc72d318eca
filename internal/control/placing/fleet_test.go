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

// fleetWorld is a world of several cells over one service, whose number changes.
type fleetWorld struct {
	*world
	t        *testing.T
	settings Settings
	planning rosterplan.Settings
	members  []*fleetMember
	present  []bool // whether an engine is in the bundle
	resizes  int
	moved    int // engines that have changed their ledger
	owners   map[bundle.UpstreamID]int
	stored   map[int]*ledger.Ledger // as decoded after the given number of writes
	writes   uint64
}

// fleetMember is one instance: a holder with all cells of the service, its own knowledge of
// the roster, and a planner.
type fleetMember struct {
	*holder
	cells  map[int]*Cell
	roster roster.Stored
}

func newFleetWorld(seed uint64, scope Scope, limits weights.Limits, s Settings, f chances) *fleetWorld {
	w := &fleetWorld{
		world: newWorld(seed, scope, limits, s, f), settings: s, planning: rosterplan.Settings{CellSize: 4, CellCount: 1}, owners: make(map[bundle.UpstreamID]int),
	}
	w.checks = w.checkFleet
	for range scope.Upstreams {
		w.present = append(w.present, true)
	}
	for _, h := range w.holders {
		m := &fleetMember{holder: h, cells: make(map[int]*Cell)}
		w.members = append(w.members, m)
		h.stepCells = func(now time.Time) { w.step(m, now) }
	}
	return w
}

func (w *fleetWorld) ledgers() map[int]*ledger.Ledger {
	w.store.SetFaults(objectapi.Faults{})
	writes := w.store.Counts().Writes()
	if w.stored != nil && writes == w.writes {
		return w.stored
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
	w.stored, w.writes = found, writes
	return found
}

// checkFleet compares every engine's own account with what the ledgers charge together.
func (w *fleetWorld) checkFleet(event string) {
	all := w.ledgers()
	for i, e := range w.engines {
		id := w.scope.Upstreams[i].ID
		account := e.Account()
		if account.Refused > 0 {
			w.fail("%s: engine %d would have been overcommitted", event, i)
		}
		var booked *ledger.Engine
		owners := 0
		for index, l := range all {
			if own := l.Engine(id); own != nil {
				booked = own
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
				if h.Engine.ID == id && booked == nil {
					booked = &h.Engine
				}
			}
		}
		if booked == nil || booked.Boot != e.Now().Boot {
			if account.UsedMiB > 0 {
				w.fail("%s: engine %d uses memory in a boot that no ledger knows", event, i)
			}
			continue
		}
		if charged := booked.Charged(); int64(charged) < account.UsedMiB {
			w.fail("%s: engine %d uses %d MiB and is charged %d", event, i, account.UsedMiB, charged)
		}
	}
}

// step lets an instance read the roster, plan it now and then, and step all its cells.
func (w *fleetWorld) step(m *fleetMember, now time.Time) {
	if m.killed || now.Before(m.frozen) {
		return
	}
	if w.chance(0.3) {
		m.readRoster()
	}
	if w.chance(0.3) {
		m.planRoster(w)
	}
	for index := range m.roster.Ledgers {
		if m.killed || now.Before(m.frozen) {
			return // the rest of the process stands still too
		}
		_ = m.cellOf(w, index).Reconcile(context.Background(), now, w.scopeOf(m, index))
		w.checkFleet("step of " + m.name)
	}
}

func (m *fleetMember) readRoster() {
	o, err := m.link.Get(context.Background(), rosters.Kind, object.Name(fleetService))
	if err != nil {
		return
	}
	if r, err := rosterfile.Decode(o.Data); err == nil {
		m.roster = roster.Stored{Roster: r, Version: o.Version}
	}
}

func (m *fleetMember) planRoster(w *fleetWorld) {
	planner := rosters.NewPlanner(holderStore{m.link, m.holder}, w.planning)
	next, written, err := planner.Plan(context.Background(), fleetService, w.engineList(), m.roster)
	if err == nil && written {
		m.roster = next
	}
}

func (w *fleetWorld) engineList() []bundle.Upstream {
	var list []bundle.Upstream
	for i, u := range w.scope.Upstreams {
		if w.present[i] {
			list = append(list, u)
		}
	}
	return list
}

func (m *fleetMember) cellOf(w *fleetWorld, index int) *Cell {
	if m.cells[index] == nil {
		h := m.holder
		h.start(w.settings)
		m.cells[index] = h.cell
	}
	return m.cells[index]
}

func (w *fleetWorld) scopeOf(m *fleetMember, index int) Scope {
	s := w.scope
	s.Name = CellName(fleetService, index)
	s.Upstreams = w.engineList()
	s.Models, s.Adapters = nil, nil
	a := &Assignment{Service: fleetService, Index: index, Roster: m.roster, Upstreams: s.Upstreams, HomeCells: make(map[bundle.ModelID]int)}
	for i, model := range w.scope.Models {
		a.HomeCells[model.ID] = m.roster.Home(model.ID)
		if a.HomeCells[model.ID] == index {
			s.Models = append(s.Models, model)
			s.Adapters = append(s.Adapters, w.scope.Adapters[i])
		}
	}
	s.Assignment = a
	return s
}

// secondsToSettle is enough for all engines of a schedule to change their cell one after
// another, with the leases of holders that were killed.
const secondsToSettle = 60

// settle lets the world go on without faults, and fails if an engine of the bundle is not
// in the ledger of its cell in the end, or still on its way.
func (w *fleetWorld) settle() {
	w.faults = chances{}
	for _, m := range w.members {
		m.frozen = time.Time{}
	}
	for range secondsToSettle {
		w.second(w.settings)
	}
	all := w.ledgers()
	for _, u := range w.engineList() {
		entry, _ := w.members[0].roster.Entry(u.ID)
		if l := all[entry.Cell]; l == nil || l.Engine(u.ID) == nil {
			w.fail("engine %s has not come to cell %d", u.ID, entry.Cell)
		}
	}
	for index, l := range all {
		if len(l.Outgoing) > 0 {
			w.fail("engine %s has not left the ledger of cell %d", l.Outgoing[0].Engine.ID, index)
		}
	}
}

// change resizes the service or lets an engine join or leave the bundle.
func (w *fleetWorld) change() {
	if w.chance(0.06) {
		w.resizes++
		w.planning.CellCount = 1 + w.rand.IntN(4)
	}
	if w.chance(0.03) {
		i := w.rand.IntN(len(w.present))
		w.present[i] = !w.present[i]
		w.scope.Generation++
	}
}

func (w *fleetWorld) fleetSecond() {
	for _, m := range w.members {
		if m.killed {
			m.cells = make(map[int]*Cell)
			m.roster = roster.Stored{}
			m.killed = false
		}
	}
	w.change()
	w.second(w.settings)
}

package placing

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"savoryweir/internal/coordination/placement"
	"savoryweir/internal/protocol/ledgerfile"
	"savoryweir/internal/standin/objectapi"
	"savoryweir/internal/state/bundle"
	"savoryweir/internal/state/ledger"
	"savoryweir/internal/state/object"
	"savoryweir/internal/state/roster"
)

// reportingEngines answers with the same report for every engine.
type reportingEngines struct{ report *ledger.Report }

func (r reportingEngines) Open(context.Context, bundle.Upstream) (Session, error) { return r, nil }
func (r reportingEngines) Report(context.Context) (ledger.Report, error)          { return *r.report, nil }
func (r reportingEngines) Send(context.Context, ledger.Order) error               { return nil }
func (r reportingEngines) Close()                                                 {}

// guestHouse is a cell with a model of another cell, and the store with that cell's ledger.
type guestHouse struct {
	t      *testing.T
	cell   *Cell
	own    *ledger.Ledger
	store  *objectapi.Memory
	report *ledger.Report
}

func newGuestHouse(t *testing.T) *guestHouse {
	resident := []ledger.Resident{{Slot: ledger.Slot{Model: "m", Version: "1"}, Memory: 60, Ready: true}}
	h := &guestHouse{
		t: t, own: &ledger.Ledger{}, store: objectapi.New(time.Now, objectapi.Limits{}),
		report: &ledger.Report{Boot: "1", Sequence: 1, Residents: resident},
	}
	h.own.SetEngine("e", 100, ledger.DeliveryFenced)
	h.own.ApplyReport("e", *h.report)
	s := testSettings(true)
	h.cell = NewCell("a", s, h.store, reportingEngines{h.report}, placement.NewCostAware(s.Policy), func() uint64 { return 1 })
	return h
}

// putHome stores the home's ledger with a ready replica, as written by a version of the roster.
func (h *guestHouse) putHome(version object.Version) {
	home := h.own.Clone()
	home.Engines[0].ID, home.Roster = "f", version
	data, err := ledgerfile.Encode(home)
	assert.NilError(h.t, err)
	name := CellName(fleetService, 1)
	before, _ := h.store.Get(context.Background(), CellKind, name)
	if before.Version == 0 {
		_, err = h.store.Create(context.Background(), CellKind, name, data)
	} else {
		_, err = h.store.Update(context.Background(), CellKind, name, data, before.Version)
	}
	assert.NilError(h.t, err)
}

func (h *guestHouse) kept(at time.Duration) int {
	a := &Assignment{
		Service: fleetService, HomeCells: map[bundle.ModelID]int{"m": 1}, Upstreams: []bundle.Upstream{{ID: "e"}, {ID: "f"}},
		Roster: roster.Stored{Version: 7, Roster: roster.Roster{Cells: 2, Ledgers: 2}},
	}
	return len(h.cell.keep(context.Background(), time.Unix(0, 0).Add(at), h.own, Scope{Assignment: a}))
}

func TestGuestStaysUntilItsHomeKnowsOfTheDutyAndHasItReady(t *testing.T) {
	h := newGuestHouse(t)
	assert.Equal(t, h.kept(0), 1) // the home has no ledger yet
	h.putHome(6)
	assert.Equal(t, h.kept(homeInterval), 1) // its next writer may follow the roster before
	h.putHome(7)
	assert.Equal(t, h.kept(2*homeInterval), 0)
	h.report.Residents = nil
	assert.Equal(t, h.kept(2*homeInterval), 1) // lost since the home's last write
}

func TestWhatWasReadOfAHomeIsDroppedWhenAnotherHolderMayHaveAdopted(t *testing.T) {
	h := newGuestHouse(t)
	h.putHome(7)
	assert.Equal(t, h.kept(0), 0)
	assert.Equal(t, len(h.cell.homes), 1)
	_, err := h.cell.current(context.Background(), CellName(fleetService, 0))
	assert.NilError(t, err)
	assert.Equal(t, len(h.cell.homes), 0)
}

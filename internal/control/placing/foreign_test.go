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

// fixedReportEngine is a connector and session that returns the same report for every engine.
type fixedReportEngine struct{ report *ledger.Report }

func (r fixedReportEngine) Open(context.Context, bundle.Upstream) (Session, error) { return r, nil }
func (r fixedReportEngine) Report(context.Context) (ledger.Report, error)          { return *r.report, nil }
func (r fixedReportEngine) Send(context.Context, ledger.Order) error               { return nil }
func (r fixedReportEngine) Close()                                                 {}

// foreignModelFixture is a cell with a model of another cell, and the store with that cell's ledger.
type foreignModelFixture struct {
	t      *testing.T
	cell   *Cell
	own    *ledger.Ledger
	store  *objectapi.Memory
	report *ledger.Report
}

func newForeignModelFixture(t *testing.T) *foreignModelFixture {
	resident := []ledger.Resident{{Slot: ledger.Slot{Model: "m", Version: "1"}, Memory: 60, Ready: true}}
	h := &foreignModelFixture{
		t: t, own: &ledger.Ledger{}, store: objectapi.New(time.Now, objectapi.Limits{}),
		report: &ledger.Report{Boot: "1", Sequence: 1, Residents: resident},
	}
	h.own.SetEngine("e", 100, ledger.DeliveryFenced)
	h.own.ApplyReport("e", *h.report)
	s := testSettings(true)
	h.cell = NewCell("a", s, h.store, fixedReportEngine{h.report}, placement.NewCostAware(s.Policy), func() uint64 { return 1 })
	return h
}

// storeHomeLedger stores the home cell's ledger with a ready replica, as written under a version
// of the roster.
func (h *foreignModelFixture) storeHomeLedger(version object.Version) {
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

// retained returns the number of models that the cell retains at a time after the start.
func (h *foreignModelFixture) retained(at time.Duration) int {
	a := &Assignment{
		Service: fleetService, HomeCells: map[bundle.ModelID]int{"m": 1}, Upstreams: []bundle.Upstream{{ID: "e"}, {ID: "f"}},
		Roster: roster.Stored{Version: 7, Roster: roster.Roster{Cells: 2, Ledgers: 2}},
	}
	return len(h.cell.modelsToRetain(context.Background(), time.Unix(0, 0).Add(at), h.own, Scope{Assignment: a}))
}

// A foreign model that is unloaded too early is ready nowhere. Its home cell must have it ready,
// and must have written its ledger under the current roster: a writer that follows an older
// roster doesn't know that its cell has to keep the model.
func TestForeignModelIsRetainedUntilReadyInItsHomeCell(t *testing.T) {
	h := newForeignModelFixture(t)
	assert.Equal(t, h.retained(0), 1) // the home cell has no ledger yet
	h.storeHomeLedger(6)
	assert.Equal(t, h.retained(homeReadInterval), 1) // its next writer may follow the previous roster
	h.storeHomeLedger(7)
	assert.Equal(t, h.retained(2*homeReadInterval), 0)
	h.report.Residents = nil
	assert.Equal(t, h.retained(2*homeReadInterval), 1) // lost since the home cell's last write
}

// If the own ledger has to be read again, another holder may have adopted engines. The replica in
// a cached home ledger may then be the one that was adopted.
func TestCachedHomeLedgersAreDroppedWhenTheLedgerIsReread(t *testing.T) {
	h := newForeignModelFixture(t)
	h.storeHomeLedger(7)
	assert.Equal(t, h.retained(0), 0)
	assert.Equal(t, len(h.cell.homeLedgers), 1)
	_, err := h.cell.current(context.Background(), CellName(fleetService, 0))
	assert.NilError(t, err)
	assert.Equal(t, len(h.cell.homeLedgers), 0)
}

package ledger

import (
	"testing"

	"gotest.tools/v3/assert"

	"savoryweir/internal/state/bundle"
)

func modelSlot(model, version string) Slot {
	return Slot{Model: bundle.ModelID(model), Version: version}
}

// newReportedLedger returns a ledger whose engines have 100 MiB and have reported no resident slot.
func newReportedLedger(d Delivery, ids ...bundle.UpstreamID) *Ledger {
	l := &Ledger{}
	for _, id := range ids {
		l.SetEngine(id, 100, d)
		l.ApplyReport(id, Report{Boot: "1", Sequence: 1})
	}
	return l
}

func readyResident(s Slot) Resident { return Resident{Slot: s, Memory: 60, Ready: true} }

func mustPlanLoad(t *testing.T, l *Ledger, id bundle.UpstreamID, s Slot, f Fence) Order {
	t.Helper()
	o, err := l.PlanLoad(id, s, 60, f)
	assert.NilError(t, err)
	return o
}

func TestPlannedLoadIsChargedAndLoadThatDoesNotFitIsRefused(t *testing.T) {
	l := newReportedLedger(DeliveryFenced, "e")
	mustPlanLoad(t, l, "e", modelSlot("a", "1"), 1)
	assert.Equal(t, l.Engine("e").ChargedMemory(), bundle.MiB(60))
	_, err := l.PlanLoad("e", modelSlot("a", "2"), 60, 2)
	assert.ErrorIs(t, err, ErrNoMemory)
	mustPlanLoad(t, l, "e", modelSlot("a", "1"), 3) // another attempt is not charged again
	assert.Equal(t, l.Engine("e").ChargedMemory(), bundle.MiB(60))
	_, err = l.PlanLoad("other", modelSlot("a", "1"), 60, 3)
	assert.ErrorIs(t, err, ErrUnknownEngine)
}

func TestLoadIsChargedUntilNoCopyOfItCanTakeEffect(t *testing.T) {
	cases := []struct {
		name     string
		delivery Delivery
		report   func(load Order) Report
		charged  bundle.MiB
	}{
		{"lower fence seen, fenced", DeliveryFenced, func(Order) Report { return Report{Boot: "1", Sequence: 2, Fence: 4} }, 60},
		{"same fence seen, fenced", DeliveryFenced, func(Order) Report { return Report{Boot: "1", Sequence: 2, Fence: 5} }, 60},
		{"higher fence seen, fenced", DeliveryFenced, func(Order) Report { return Report{Boot: "1", Sequence: 2, Fence: 6} }, 0},
		{"not handled, at most once", DeliveryAtMostOnce, func(Order) Report { return Report{Boot: "1", Sequence: 2, Fence: 6} }, 60},
		{"handled, at most once", DeliveryAtMostOnce, func(o Order) Report {
			return Report{Boot: "1", Sequence: 2, Handled: []string{o.ID()}}
		}, 0},
		{"handled, at least once", DeliveryAtLeastOnce, func(o Order) Report {
			return Report{Boot: "1", Sequence: 2, Fence: 6, Handled: []string{o.ID()}}
		}, 60},
		{"new boot, at least once", DeliveryAtLeastOnce, func(Order) Report { return Report{Boot: "2", Sequence: 1} }, 0},
		{"older report, fenced", DeliveryFenced, func(Order) Report { return Report{Boot: "1", Sequence: 0, Fence: 6} }, 60},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			l := newReportedLedger(c.delivery, "e")
			order := mustPlanLoad(t, l, "e", modelSlot("a", "1"), 5)
			l.ApplyReport("e", c.report(order))
			assert.Equal(t, l.Engine("e").ChargedMemory(), c.charged)
		})
	}
}

func TestUnloadOfLastReadyReplicaIsRefused(t *testing.T) {
	a := modelSlot("a", "1")
	l := newReportedLedger(DeliveryFenced, "e", "f")
	l.ApplyReport("e", Report{Boot: "1", Sequence: 2, Residents: []Resident{readyResident(a)}})
	_, err := l.PlanUnload("e", a, false, 1)
	assert.ErrorIs(t, err, ErrLastReplica)
	mustPlanLoad(t, l, "f", modelSlot("a", "2"), 1)
	_, err = l.PlanUnload("e", a, false, 2)
	assert.ErrorIs(t, err, ErrLastReplica) // the replica of the new version is not ready yet
	l.ApplyReport("f", Report{Boot: "1", Sequence: 2, Fence: 1, Residents: []Resident{readyResident(modelSlot("a", "2"))}})
	_, err = l.PlanUnload("e", a, false, 3)
	assert.NilError(t, err)
	_, err = l.PlanUnload("f", modelSlot("a", "2"), false, 4)
	assert.ErrorIs(t, err, ErrLastReplica) // the other replica has a pending unload
	_, err = l.PlanUnload("f", modelSlot("a", "2"), true, 5)
	assert.NilError(t, err)
}

func TestReplicaOnUnreachableEngineIsChargedButNotReady(t *testing.T) {
	a := modelSlot("a", "1")
	l := newReportedLedger(DeliveryFenced, "e", "f")
	for _, id := range []bundle.UpstreamID{"e", "f"} {
		l.ApplyReport(id, Report{Boot: "1", Sequence: 2, Residents: []Resident{readyResident(a)}})
	}
	l.SetUnreachable("f")
	assert.Equal(t, l.ReadyReplicas("a"), 1)
	_, err := l.PlanUnload("e", a, false, 1)
	assert.ErrorIs(t, err, ErrLastReplica)
	assert.Equal(t, l.Engine("f").ChargedMemory(), bundle.MiB(60))
}

func TestPendingOrdersBlockNewOrdersWithoutFencing(t *testing.T) {
	a := modelSlot("a", "1")
	atMostOnce := newReportedLedger(DeliveryAtMostOnce, "e", "f")
	for _, id := range []bundle.UpstreamID{"e", "f"} {
		atMostOnce.ApplyReport(id, Report{Boot: "1", Sequence: 2, Residents: []Resident{readyResident(a)}})
	}
	_, err := atMostOnce.PlanUnload("e", a, false, 1)
	assert.NilError(t, err)
	atMostOnce.ApplyReport("e", Report{Boot: "1", Sequence: 3}) // not resident, but the unload is not reported as handled
	_, err = atMostOnce.PlanLoad("e", a, 60, 2)
	assert.ErrorIs(t, err, ErrOrderPending)
	atLeastOnce := newReportedLedger(DeliveryAtLeastOnce, "e")
	mustPlanLoad(t, atLeastOnce, "e", a, 1)
	_, err = atLeastOnce.PlanUnload("e", a, true, 2)
	assert.ErrorIs(t, err, ErrChargeUntilRestart)
}

func TestAllocationIsRemovedWhenUnloadedSlotIsNotReported(t *testing.T) {
	a := modelSlot("a", "1")
	l := newReportedLedger(DeliveryFenced, "e")
	l.ApplyReport("e", Report{Boot: "1", Sequence: 2, Residents: []Resident{readyResident(a)}})
	_, err := l.PlanUnload("e", a, true, 5)
	assert.NilError(t, err)
	l.ApplyReport("e", Report{Boot: "1", Sequence: 2, Residents: []Resident{readyResident(a)}})
	assert.Equal(t, len(l.Engine("e").Items), 1)
	l.ApplyReport("e", Report{Boot: "1", Sequence: 3, Fence: 5})
	assert.Equal(t, len(l.Engine("e").Items), 0)
}

func TestChangeOfDeliveryKeepsEarlierOrdersPendingUntilRestart(t *testing.T) {
	l := newReportedLedger(DeliveryFenced, "e")
	order := mustPlanLoad(t, l, "e", modelSlot("a", "1"), 5)
	l.SetEngine("e", 100, DeliveryAtMostOnce)
	l.ApplyReport("e", Report{Boot: "1", Sequence: 2, Fence: 9, Handled: []string{order.ID()}})
	assert.Equal(t, l.Engine("e").ChargedMemory(), bundle.MiB(60))
	l.ApplyReport("e", Report{Boot: "2", Sequence: 1})
	l.SetEngine("e", 100, DeliveryAtMostOnce)
	assert.Equal(t, l.Engine("e").Delivery, DeliveryAtMostOnce)
}

func TestAdapterLoadIsRefusedUnlessModelIsReadyWithoutPendingUnload(t *testing.T) {
	a := modelSlot("a", "1")
	adapter := a
	adapter.Adapter = "x"
	l := newReportedLedger(DeliveryFenced, "e", "f")
	_, err := l.PlanLoad("e", adapter, 1, 1)
	assert.ErrorIs(t, err, ErrNoModel)
	for _, id := range []bundle.UpstreamID{"e", "f"} {
		l.ApplyReport(id, Report{Boot: "1", Sequence: 2, Residents: []Resident{readyResident(a)}})
	}
	_, err = l.PlanLoad("e", adapter, 1, 2)
	assert.NilError(t, err)
	_, err = l.PlanUnload("e", a, false, 3)
	assert.NilError(t, err)
	l.Engine("e").Items = l.Engine("e").Items[:1]
	_, err = l.PlanLoad("e", adapter, 1, 4)
	assert.ErrorIs(t, err, ErrNoModel)
}

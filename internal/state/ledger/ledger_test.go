package ledger

import (
	"testing"

	"gotest.tools/v3/assert"

	"savoryweir/internal/state/bundle"
)

func slot(model, version string) Slot { return Slot{Model: bundle.ModelID(model), Version: version} }

// booted returns a ledger of engines of 100 MiB that have reported empty.
func booted(d Delivery, ids ...bundle.UpstreamID) *Ledger {
	l := &Ledger{}
	for _, id := range ids {
		l.SetEngine(id, 100, d)
		l.ApplyReport(id, Report{Boot: "1", Sequence: 1})
	}
	return l
}

func resident(s Slot) Resident { return Resident{Slot: s, Memory: 60, Ready: true} }

func mustLoad(t *testing.T, l *Ledger, id bundle.UpstreamID, s Slot, f Fence) Order {
	t.Helper()
	o, err := l.PlanLoad(id, s, 60, f)
	assert.NilError(t, err)
	return o
}

func TestLoadIsChargedFromItsIntentAndRefusedWhenItDoesNotFit(t *testing.T) {
	l := booted(DeliveryFenced, "e")
	mustLoad(t, l, "e", slot("a", "1"), 1)
	assert.Equal(t, l.Engine("e").Charged(), bundle.MiB(60))
	_, err := l.PlanLoad("e", slot("a", "2"), 60, 2)
	assert.ErrorIs(t, err, ErrNoMemory)
	mustLoad(t, l, "e", slot("a", "1"), 3) // a further attempt costs nothing more
	assert.Equal(t, l.Engine("e").Charged(), bundle.MiB(60))
	_, err = l.PlanLoad("other", slot("a", "1"), 60, 3)
	assert.ErrorIs(t, err, ErrUnknownEngine)
}

func TestChargeEndsWhenNoCopyOfTheOrderCanTakeEffect(t *testing.T) {
	cases := []struct {
		name     string
		delivery Delivery
		report   func(load Order) Report
		charged  bundle.MiB
	}{
		{"lost, fenced", DeliveryFenced, func(Order) Report { return Report{Boot: "1", Sequence: 2, Fence: 4} }, 60},
		{"same fence seen", DeliveryFenced, func(Order) Report { return Report{Boot: "1", Sequence: 2, Fence: 5} }, 60},
		{"higher fence seen", DeliveryFenced, func(Order) Report { return Report{Boot: "1", Sequence: 2, Fence: 6} }, 0},
		{"not handled, once", DeliveryOnce, func(Order) Report { return Report{Boot: "1", Sequence: 2, Fence: 6} }, 60},
		{"handled, once", DeliveryOnce, func(o Order) Report {
			return Report{Boot: "1", Sequence: 2, Handled: []string{o.ID()}}
		}, 0},
		{"handled, copies", DeliveryAny, func(o Order) Report {
			return Report{Boot: "1", Sequence: 2, Fence: 6, Handled: []string{o.ID()}}
		}, 60},
		{"new boot, copies", DeliveryAny, func(Order) Report { return Report{Boot: "2", Sequence: 1} }, 0},
		{"older report", DeliveryFenced, func(Order) Report { return Report{Boot: "1", Sequence: 0, Fence: 6} }, 60},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			l := booted(c.delivery, "e")
			order := mustLoad(t, l, "e", slot("a", "1"), 5)
			l.ApplyReport("e", c.report(order))
			assert.Equal(t, l.Engine("e").Charged(), c.charged)
		})
	}
}

func TestLastReadyReplicaStays(t *testing.T) {
	a := slot("a", "1")
	l := booted(DeliveryFenced, "e", "f")
	l.ApplyReport("e", Report{Boot: "1", Sequence: 2, Residents: []Resident{resident(a)}})
	_, err := l.PlanUnload("e", a, false, 1)
	assert.ErrorIs(t, err, ErrLastReplica)
	mustLoad(t, l, "f", slot("a", "2"), 1)
	_, err = l.PlanUnload("e", a, false, 2)
	assert.ErrorIs(t, err, ErrLastReplica) // the successor is not ready yet
	l.ApplyReport("f", Report{Boot: "1", Sequence: 2, Fence: 1, Residents: []Resident{resident(slot("a", "2"))}})
	_, err = l.PlanUnload("e", a, false, 3)
	assert.NilError(t, err)
	_, err = l.PlanUnload("f", slot("a", "2"), false, 4)
	assert.ErrorIs(t, err, ErrLastReplica) // the other one has an unload under way
	_, err = l.PlanUnload("f", slot("a", "2"), true, 5)
	assert.NilError(t, err)
}

func TestLostEngineHoldsNoReadyReplica(t *testing.T) {
	a := slot("a", "1")
	l := booted(DeliveryFenced, "e", "f")
	for _, id := range []bundle.UpstreamID{"e", "f"} {
		l.ApplyReport(id, Report{Boot: "1", Sequence: 2, Residents: []Resident{resident(a)}})
	}
	l.SetUnreachable("f")
	assert.Equal(t, l.ReadyReplicas("a"), 1)
	_, err := l.PlanUnload("e", a, false, 1)
	assert.ErrorIs(t, err, ErrLastReplica)
	assert.Equal(t, l.Engine("f").Charged(), bundle.MiB(60))
}

func TestEnginesWithoutFencingKeepUnsettledSlots(t *testing.T) {
	a := slot("a", "1")
	once := booted(DeliveryOnce, "e", "f")
	for _, id := range []bundle.UpstreamID{"e", "f"} {
		once.ApplyReport(id, Report{Boot: "1", Sequence: 2, Residents: []Resident{resident(a)}})
	}
	_, err := once.PlanUnload("e", a, false, 1)
	assert.NilError(t, err)
	once.ApplyReport("e", Report{Boot: "1", Sequence: 3}) // gone, but the order was not seen as handled
	_, err = once.PlanLoad("e", a, 60, 2)
	assert.ErrorIs(t, err, ErrUnsettled)
	copies := booted(DeliveryAny, "e")
	mustLoad(t, copies, "e", a, 1)
	_, err = copies.PlanUnload("e", a, true, 2)
	assert.ErrorIs(t, err, ErrKeepsCharge)
}

func TestUnloadIsForgottenWhenTheSlotIsGone(t *testing.T) {
	a := slot("a", "1")
	l := booted(DeliveryFenced, "e")
	l.ApplyReport("e", Report{Boot: "1", Sequence: 2, Residents: []Resident{resident(a)}})
	_, err := l.PlanUnload("e", a, true, 5)
	assert.NilError(t, err)
	l.ApplyReport("e", Report{Boot: "1", Sequence: 2, Residents: []Resident{resident(a)}})
	assert.Equal(t, len(l.Engine("e").Items), 1)
	l.ApplyReport("e", Report{Boot: "1", Sequence: 3, Fence: 5})
	assert.Equal(t, len(l.Engine("e").Items), 0)
}

func TestChangedDeliveryRuleDoesNotSettleEarlierOrders(t *testing.T) {
	l := booted(DeliveryFenced, "e")
	order := mustLoad(t, l, "e", slot("a", "1"), 5)
	l.SetEngine("e", 100, DeliveryOnce)
	l.ApplyReport("e", Report{Boot: "1", Sequence: 2, Fence: 9, Handled: []string{order.ID()}})
	assert.Equal(t, l.Engine("e").Charged(), bundle.MiB(60))
	l.ApplyReport("e", Report{Boot: "2", Sequence: 1})
	l.SetEngine("e", 100, DeliveryOnce)
	assert.Equal(t, l.Engine("e").Delivery, DeliveryOnce)
}

func TestAdapterNeedsItsModelToStay(t *testing.T) {
	a := slot("a", "1")
	adapter := a
	adapter.Adapter = "x"
	l := booted(DeliveryFenced, "e", "f")
	_, err := l.PlanLoad("e", adapter, 1, 1)
	assert.ErrorIs(t, err, ErrNoModel)
	for _, id := range []bundle.UpstreamID{"e", "f"} {
		l.ApplyReport(id, Report{Boot: "1", Sequence: 2, Residents: []Resident{resident(a)}})
	}
	_, err = l.PlanLoad("e", adapter, 1, 2)
	assert.NilError(t, err)
	_, err = l.PlanUnload("e", a, false, 3)
	assert.NilError(t, err)
	l.Engine("e").Items = l.Engine("e").Items[:1]
	_, err = l.PlanLoad("e", adapter, 1, 4)
	assert.ErrorIs(t, err, ErrNoModel)
}

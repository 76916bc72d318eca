package ledger

import (
	"testing"

	"gotest.tools/v3/assert"

	"savoryweir/internal/state/bundle"
)

func TestPendingOrderStaysChargedAfterHandover(t *testing.T) {
	a := modelSlot("a", "1")
	from, to := newReportedLedger(DeliveryFenced, "e"), &Ledger{}
	from.Base = 100
	mustPlanLoad(t, from, "e", a, from.FenceAt(7))
	from.StartHandover("e", "other-1", 2, from.FenceAt(8))
	assert.Assert(t, from.Engine("e") == nil)
	_, err := from.PlanLoad("e", a, 60, from.FenceAt(8))
	assert.ErrorIs(t, err, ErrUnknownEngine)
	assert.Assert(t, from.Handover("e", "other-2", 2) == nil)
	assert.Assert(t, from.Handover("e", "other-1", 3) == nil)

	to.AcceptHandover(*from.Handover("e", "other-1", 2), 5)
	assert.Equal(t, to.Engine("e").ChargedMemory(), bundle.MiB(60))
	assert.Equal(t, to.FenceAt(5), Fence(109)) // above every number that the other ledger gave
	_, err = to.PlanLoad("e", modelSlot("b", "1"), 60, to.FenceAt(5))
	assert.ErrorIs(t, err, ErrNoMemory)
	to.ApplyReport("e", Report{Boot: "1", Sequence: 2, Fence: to.FenceAt(5)})
	assert.Equal(t, to.Engine("e").ChargedMemory(), bundle.MiB(0))
}

func TestAcceptedHandoverDoesNotLowerFenceBase(t *testing.T) {
	l := &Ledger{Base: 50}
	l.AcceptHandover(Handover{Fence: 20}, 5)
	assert.Equal(t, l.Base, Fence(50))
	assert.Equal(t, l.FenceAt(0), Fence(0)) // the update that creates a ledger records no order
}

package placing

import (
	"testing"

	"gotest.tools/v3/assert"

	"savoryweir/internal/state/bundle"
	"savoryweir/internal/state/ledger"
)

// The other replica of a model is lost after an unload was planned. Resending that unload would
// remove the last ready replica, so a load with a higher fencing number is planned instead.
func TestUnloadOfLastReadyReplicaIsReplacedByLoad(t *testing.T) {
	slot := ledger.Slot{Model: "m", Version: "1"}
	resident := []ledger.Resident{{Slot: slot, Memory: 60, Ready: true}}
	l := &ledger.Ledger{}
	for _, id := range []bundle.UpstreamID{"e", "f"} {
		l.SetEngine(id, 100, ledger.DeliveryFenced)
		l.ApplyReport(id, ledger.Report{Boot: "1", Sequence: 1, Residents: resident})
	}
	_, err := l.PlanUnload("e", slot, false, 5)
	assert.NilError(t, err)
	scope := Scope{Models: []bundle.Model{{ID: "m", Version: "1"}}}

	resent, err := planResend(l, "e", *l.Engine("e").Item(slot), scope, 6)
	assert.NilError(t, err)
	assert.Equal(t, resent.Action, ledger.Unload)

	l.SetUnreachable("f")
	reversed, err := planResend(l, "e", *l.Engine("e").Item(slot), scope, 7)
	assert.NilError(t, err)
	assert.Equal(t, reversed.Action, ledger.Load)
	assert.Equal(t, l.ReadyReplicas("m"), 0)
	l.ApplyReport("e", ledger.Report{Boot: "1", Sequence: 2, Fence: 7, Residents: resident})
	assert.Equal(t, l.ReadyReplicas("m"), 1) // the engine now refuses the unload
}

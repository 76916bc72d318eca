package placing

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"savoryweir/internal/state/ledger"
)

// A lost unload is resent while it can have an effect: while the slot is in memory, or while
// the engine's fencing number has to rise above that of a lost load.
func TestLostUnloadIsOverdueOnlyWhileItHasAnEffect(t *testing.T) {
	const resend = 10 * time.Second
	start := time.Unix(0, 0)
	slot := ledger.Slot{Model: "m", Version: "1"}
	for name, tc := range map[string]struct {
		delivery ledger.Delivery
		item     ledger.Item
		overdue  bool
	}{
		"in memory, delivered once":       {ledger.DeliveryAtMostOnce, ledger.Item{Slot: slot, Resident: true, Unloads: []ledger.Fence{2}}, true},
		"in memory, copies":               {ledger.DeliveryAtLeastOnce, ledger.Item{Slot: slot, Resident: true, Unloads: []ledger.Fence{2}}, true},
		"lost load, delivered once":       {ledger.DeliveryAtMostOnce, ledger.Item{Slot: slot, Loads: []ledger.Fence{1}, Unloads: []ledger.Fence{2}}, false},
		"lost load, copies":               {ledger.DeliveryAtLeastOnce, ledger.Item{Slot: slot, Loads: []ledger.Fence{1}, Unloads: []ledger.Fence{2}}, false},
		"lost load, engine checks fences": {ledger.DeliveryFenced, ledger.Item{Slot: slot, Loads: []ledger.Fence{1}, Unloads: []ledger.Fence{2}}, true},
	} {
		t.Run(name, func(t *testing.T) {
			tracker := newTracker()
			l := &ledger.Ledger{Engines: []ledger.Engine{{ID: "e", Delivery: tc.delivery, Items: []ledger.Item{tc.item}}}}
			tracker.observe(start, l)
			tracker.observe(start.Add(resend), l)
			assert.Equal(t, len(tracker.overdue(start.Add(resend), resend)) > 0, tc.overdue)
		})
	}
}

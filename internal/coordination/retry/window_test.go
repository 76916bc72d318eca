package retry

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestNoWindowHoldsMoreRepeatsThanAllowed plays several instances with random load
// and checks each sliding window of the platform's rule.
func TestNoWindowHoldsMoreRepeatsThanAllowed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		settings := WindowSettings{Ratio: 0.2, Slack: 50, Window: 10 * time.Second}
		instances := rapid.IntRange(1, 9).Draw(t, "instances")
		windows := make([]*WindowBudget, instances)
		for i := range windows {
			windows[i] = NewWindowBudget(settings)
		}
		start := time.Unix(rapid.Int64Range(1, 1e9).Draw(t, "start"), 0)
		var requests, repeats []time.Duration
		now := time.Duration(0)
		for range 2000 {
			now += time.Duration(rapid.IntRange(1, 40).Draw(t, "gap")) * time.Millisecond
			w := windows[rapid.IntRange(0, instances-1).Draw(t, "instance")]
			if rapid.IntRange(0, 2).Draw(t, "kind") == 0 {
				w.RecordRequest(start.Add(now))
				requests = append(requests, now)
			}
			if w.Spend(start.Add(now), instances) {
				repeats = append(repeats, now)
			}
		}
		for i, from := range repeats {
			count := 0
			for _, at := range repeats[i:] {
				if at-from <= settings.Window {
					count++
				}
			}
			asked := 0
			for _, at := range requests {
				if at >= from && at-from <= settings.Window {
					asked++
				}
			}
			before := 0
			for _, at := range requests {
				if at < from && from-at <= settings.Window {
					before++
				}
			}
			if allowed := settings.Ratio*float64(max(asked, before)) + settings.Slack; float64(count) > allowed {
				t.Fatalf("%d repeats in a window, %.1f allowed", count, allowed)
			}
		}
	})
}

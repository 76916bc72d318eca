package retry

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestWindowBudgetLimitsRetriesInEverySlidingWindow runs several instances with random load
// and checks every sliding window against the platform's limit on retries.
func TestWindowBudgetLimitsRetriesInEverySlidingWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		settings := WindowSettings{Ratio: 0.2, Slack: 50, Window: 10 * time.Second}
		instances := rapid.IntRange(1, 9).Draw(t, "instances")
		windows := make([]*WindowBudget, instances)
		for i := range windows {
			windows[i] = NewWindowBudget(settings)
		}
		start := time.Unix(rapid.Int64Range(1, 1e9).Draw(t, "start"), 0)
		var requests, retries []time.Duration
		now := time.Duration(0)
		for range 2000 {
			now += time.Duration(rapid.IntRange(1, 40).Draw(t, "gap")) * time.Millisecond
			w := windows[rapid.IntRange(0, instances-1).Draw(t, "instance")]
			if rapid.IntRange(0, 2).Draw(t, "kind") == 0 {
				w.RecordRequest(start.Add(now))
				requests = append(requests, now)
			}
			if w.Spend(start.Add(now), instances) {
				retries = append(retries, now)
			}
		}
		for i, from := range retries {
			count := 0
			for _, at := range retries[i:] {
				if at-from <= settings.Window {
					count++
				}
			}
			requestsDuring := 0
			for _, at := range requests {
				if at >= from && at-from <= settings.Window {
					requestsDuring++
				}
			}
			requestsBefore := 0
			for _, at := range requests {
				if at < from && from-at <= settings.Window {
					requestsBefore++
				}
			}
			if allowed := settings.Ratio*float64(max(requestsDuring, requestsBefore)) + settings.Slack; float64(count) > allowed {
				t.Fatalf("%d retries in a window; want at most %.1f", count, allowed)
			}
		}
	})
}

package retry

import (
	"sort"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// fillWindow returns a budget with 100 requests of this moment.
func fillWindow(s WindowSettings, now time.Time) *WindowBudget {
	b := NewWindowBudget(s)
	for range 100 {
		b.RecordRequest(now)
	}
	return b
}

// Operators change the window by SIGHUP. Its counts were filed under numbers of the former window,
// so that all requests were forgotten and retries denied beside planned work.
func TestShorterWindowKeepsCountedRequests(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	s := WindowSettings{Ratio: 0.2, Slack: 1, Window: 10 * time.Second}
	b := fillWindow(s, now)
	s.Window = 5 * time.Second
	b.Configure(s)
	assert.Assert(t, b.Spend(now, 1))
}

// For the same cause, retries were forgotten and allowed again.
func TestShorterWindowKeepsCountedRetries(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	s := WindowSettings{Ratio: 0.2, Slack: 50, Window: 10 * time.Second}
	b := fillWindow(s, now)
	spent := 0
	for b.Spend(now, 1) {
		spent++
	}
	s.Window = 5 * time.Second
	b.Configure(s)
	for b.Spend(now, 1) {
		spent++
	}
	assert.Assert(t, float64(spent) <= 0.2*100+50, "%d retries", spent)
}

// countSince returns how many of the ascending times lie in the given duration before now.
func countSince(times []time.Time, now time.Time, d time.Duration) int {
	first := sort.Search(len(times), func(i int) bool { return now.Sub(times[i]) <= d })
	return len(times) - first
}

// TestShorterWindowsLimitRetries makes the window shorter several times under random load. Each
// retry is checked against the limit of the window of its moment.
func TestShorterWindowsLimitRetries(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := WindowSettings{Ratio: 0.2, Slack: 50, Window: 10 * time.Second}
		b := NewWindowBudget(s)
		now := time.Unix(rapid.Int64Range(1, 1e9).Draw(t, "start"), 0)
		var requests, retries []time.Time
		for range 1000 {
			now = now.Add(time.Duration(rapid.IntRange(1, 40).Draw(t, "gap")) * time.Millisecond)
			if rapid.IntRange(0, 200).Draw(t, "reload") == 0 && s.Window > time.Second {
				s.Window = time.Duration(rapid.Int64Range(int64(time.Second), int64(s.Window)).Draw(t, "window"))
				b.Configure(s)
			}
			if rapid.IntRange(0, 2).Draw(t, "kind") == 0 {
				b.RecordRequest(now)
				requests = append(requests, now)
			}
			if !b.Spend(now, 1) {
				continue
			}
			retries = append(retries, now)
			counted := countSince(requests, now, s.Window*windowBucketCount/(windowBucketCount-1))
			if n, allowed := countSince(retries, now, s.Window), s.Ratio*float64(counted)+s.Slack; float64(n) > allowed {
				t.Fatalf("%d retries in a window; want at most %.1f", n, allowed)
			}
		}
	})
}

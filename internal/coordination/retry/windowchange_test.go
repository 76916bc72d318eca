package retry

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
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

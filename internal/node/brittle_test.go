package node

import (
	"context"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// brittleUpstream runs few requests at a time and rejects others. It says how many rejections a second it
// endures.
type brittleUpstream struct {
	slots   int
	work    time.Duration
	endures int

	mu       sync.Mutex
	running  int
	served   int
	rejected []time.Time
}

func (u *brittleUpstream) serve(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Server-Brittle", strconv.Itoa(u.endures))
	u.mu.Lock()
	if u.running >= u.slots {
		u.rejected = append(u.rejected, time.Now())
		u.mu.Unlock()
		w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	u.running++
	u.served++
	u.mu.Unlock()
	time.Sleep(u.work)
	u.mu.Lock()
	u.running--
	u.mu.Unlock()
	respondSealed(w, r)
}

// mostRejected returns the largest number of rejections in a second since a time.
func (u *brittleUpstream) mostRejected(since time.Time) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return mostWithin(slices.DeleteFunc(slices.Clone(u.rejected), func(t time.Time) bool { return t.Before(since) }), time.Second)
}

// Each instance learned of a full upstream by its own rejections, the sum of which brought it down.
func TestBrittleUpstreamsAreNotOverrunByAllInstances(t *testing.T) {
	first := &brittleUpstream{slots: 2, work: 60 * time.Millisecond, endures: 4}
	second := &brittleUpstream{slots: 2, work: 60 * time.Millisecond, endures: 4}
	all := startLimitsFleet(t, 6, first.serve, second.serve)
	began := time.Now()
	ctx, cancel := context.WithTimeout(t.Context(), 8*time.Second)
	defer cancel()
	var o outcomes
	o.load(ctx, all, []float64{30, 20, 10, 10, 5, 5})
	for _, u := range []*brittleUpstream{first, second} {
		assert.Check(t, u.mostRejected(began.Add(stableTime)) <= u.endures, "%d requests were rejected in a second, %d endured", u.mostRejected(began.Add(stableTime)), u.endures)
	}
	t.Logf("%d served, %d refused after %v at most", o.served, o.refused, o.longestRefusal)
	assert.Check(t, o.served >= 150 && o.failed == 0, "%d served, %d failed", o.served, o.failed)
}

package node

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"savoryweir/internal/coordination/permits"
	"savoryweir/platform"
)

const (
	// limitWindow is the platform's window for the requests that reach an upstream with a limit.
	limitWindow = 4 * time.Second
	// passedOnFor is how long an instance must have passed on an answer with a limit for its requests to count.
	passedOnFor = 500 * time.Millisecond
)

// limitedUpstream names a limit in its answers while perSecond is positive, and records what reaches it.
type limitedUpstream struct {
	perSecond atomic.Value // float64

	mu       sync.Mutex
	arrivals []arrival
	passedOn map[string]time.Time // first answer with a limit that each instance passed on
}

type arrival struct {
	instance string
	at       time.Time
}

func newLimitedUpstream(perSecond float64) *limitedUpstream {
	u := &limitedUpstream{passedOn: make(map[string]time.Time)}
	u.perSecond.Store(perSecond)
	return u
}

// serve answers a request, whose ID begins with the name of the instance that it was sent to.
func (u *limitedUpstream) serve(w http.ResponseWriter, r *http.Request) {
	instance, _, _ := strings.Cut(r.Header.Get("Request-Id"), "/")
	perSecond := u.perSecond.Load().(float64)
	u.mu.Lock()
	u.arrivals = append(u.arrivals, arrival{instance, time.Now()})
	if _, ok := u.passedOn[instance]; !ok && perSecond > 0 {
		u.passedOn[instance] = time.Now()
	}
	u.mu.Unlock()
	if perSecond > 0 {
		w.Header().Set("Server-Limit", strconv.FormatFloat(perSecond, 'f', -1, 64))
	}
	respondSealed(w, r)
}

// counted returns the times of the arrivals from instances that had passed on a limit.
func (u *limitedUpstream) counted() []time.Time {
	u.mu.Lock()
	defer u.mu.Unlock()
	var times []time.Time
	for _, a := range u.arrivals {
		if told, ok := u.passedOn[a.instance]; ok && a.at.Sub(told) >= passedOnFor {
			times = append(times, a.at)
		}
	}
	return times
}

// since returns the number of all arrivals since a time.
func (u *limitedUpstream) since(t time.Time) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	n := 0
	for _, a := range u.arrivals {
		if a.at.After(t) {
			n++
		}
	}
	return n
}

// mostWithin returns the largest number of times in a window of a length.
func mostWithin(times []time.Time, window time.Duration) int {
	slices.SortFunc(times, time.Time.Compare)
	most := 0
	for n, from := range times {
		last := n
		for last < len(times) && times[last].Sub(from) < window {
			last++
		}
		most = max(most, last-n)
	}
	return most
}

// checkLimit checks each window against one and a half times the limit and five requests.
func (u *limitedUpstream) checkLimit(t *testing.T, perSecond float64) {
	t.Helper()
	most := mostWithin(u.counted(), limitWindow)
	assert.Check(t, float64(most) <= 1.5*perSecond*limitWindow.Seconds()+5, "an upstream with a limit of %g a second got %d requests in 4 s", perSecond, most)
}

// limitsConfig has a route of safe requests.
const limitsConfig = `{"version":1,"routes":[{"name":"r","host":"h","pathPrefix":"/a/","kind":"safe","timeoutMs":3000,"targetLatencyMs":300,"service":"s","maxAttempts":2}],` +
	`"services":[{"name":"s","healthPath":"/h","maxConns":99}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":65536,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}`

// startLimitsFleet starts instances before u1 and, unless it is nil, a second upstream.
func startLimitsFleet(t *testing.T, count int, first, second http.HandlerFunc) []*instance {
	t.Helper()
	c := startCluster(t, first)
	if second != nil {
		server := httptest.NewServer(second)
		t.Cleanup(server.Close)
		c.put(t, platform.KindUpstreams, "u2", fmt.Sprintf(`{"service":"s","address":%q,"zone":"z","slots":4,"state":"ready","born":1}`, server.Listener.Addr().String()))
	}
	c.put(t, platform.KindConfig, platform.NameConfig, limitsConfig)
	var all []*instance
	for n := range count {
		all = append(all, c.startInstance(t, fmt.Sprintf("i%d", n)))
	}
	t.Cleanup(func() { stopInstances(t, all) })
	for _, i := range all {
		eventually(t, "all instances and upstreams known", func() bool {
			return i.node.mesh.PeerCount() == count-1 && i.node.readinessError() == nil && len(i.node.registry.View().ByService("s")) > 0
		})
	}
	return all
}

// outcomes are what the callers of a fleet got.
type outcomes struct {
	mu             sync.Mutex
	served         int
	refused        int
	failed         int
	longestRefusal time.Duration
	longestRetry   time.Duration // longest Retry-After
}

// request sends one safe request to an instance and records its outcome.
func (o *outcomes) request(i *instance, id string) {
	began := time.Now()
	r, _ := http.NewRequest(http.MethodGet, "http://"+i.callersAddress+"/a/1", nil)
	r.Host = "h"
	r.Header.Set("Request-Id", id)
	r.Header.Set("Deadline-Ms", "3000")
	response, err := http.DefaultClient.Do(r)
	o.mu.Lock()
	defer o.mu.Unlock()
	if err != nil {
		o.failed++
		return
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	switch response.StatusCode {
	case http.StatusOK:
		o.served++
	case http.StatusServiceUnavailable:
		o.refused++
		o.longestRefusal = max(o.longestRefusal, time.Since(began))
		if seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64); err == nil {
			o.longestRetry = max(o.longestRetry, time.Duration(seconds*float64(time.Second)))
		}
	default:
		o.failed++
	}
}

// load sends each instance its requests per second until ctx ends.
func (o *outcomes) load(ctx context.Context, all []*instance, perSecond []float64) {
	var group sync.WaitGroup
	for n, i := range all {
		if perSecond[n] == 0 {
			continue
		}
		group.Go(func() {
			var requests sync.WaitGroup
			for k := 0; ctx.Err() == nil; k++ {
				requests.Go(func() { o.request(i, fmt.Sprintf("%s/%d", i.node.settings.Instance.ID, k)) })
				time.Sleep(time.Duration(float64(time.Second) / perSecond[n]))
			}
			requests.Wait()
		})
	}
	group.Wait()
}

// Each instance kept its own view of an upstream, so that all of them together sent more than it takes.
func TestUpstreamGetsNoMoreThanItsLimitFromAllInstances(t *testing.T) {
	limited := newLimitedUpstream(2)
	all := startLimitsFleet(t, 6, limited.serve, respondSealed)
	ctx, cancel := context.WithTimeout(t.Context(), 8*time.Second)
	defer cancel()
	var o outcomes
	o.load(ctx, all, []float64{30, 10, 5, 5, 2, 1})
	limited.checkLimit(t, 2)
	assert.Check(t, o.failed == 0 && o.refused == 0, "%d served, %d refused, %d failed although another upstream has room", o.served, o.refused, o.failed)
	assert.Check(t, len(limited.counted()) >= 8, "the limit is hardly used: %d requests", len(limited.counted()))
}

// Callers of the only upstream come to one instance, which needs more than its part of the limit.
func TestInstanceWithAllDemandUsesLimitOfOnlyUpstream(t *testing.T) {
	const perSecond, length = 4, 8
	limited := newLimitedUpstream(perSecond)
	all := startLimitsFleet(t, 6, limited.serve, nil)
	ctx, cancel := context.WithTimeout(t.Context(), length*time.Second)
	defer cancel()
	var o outcomes
	o.load(ctx, all, []float64{0, 20, 0, 0, 1, 0})
	limited.checkLimit(t, perSecond)
	t.Logf("%d served, %d refused after %v at most, Retry-After %v at most", o.served, o.refused, o.longestRefusal, o.longestRetry)
	assert.Check(t, o.failed == 0, "%d requests failed", o.failed)
	assert.Check(t, o.served >= perSecond*length/2, "%d requests served", o.served)
	assert.Check(t, o.longestRefusal < time.Second, "refused after %v", o.longestRefusal)
	assert.Check(t, o.longestRetry < 2*time.Second, "told to return after %v", o.longestRetry)
}

// One that names no limit any more is used like the others again, at all instances.
func TestUpstreamIsUsedFullyAfterItsLimitEnds(t *testing.T) {
	limited := newLimitedUpstream(1)
	all := startLimitsFleet(t, 5, limited.serve, respondSealed)
	ctx, cancel := context.WithTimeout(t.Context(), 9*time.Second)
	defer cancel()
	time.AfterFunc(4*time.Second, func() { limited.perSecond.Store(0.0) })
	var lifted time.Time
	time.AfterFunc(7*time.Second, func() { lifted = time.Now() })
	var o outcomes
	o.load(ctx, all, []float64{20, 20, 10, 10, 10})
	n := limited.since(lifted)
	assert.Check(t, n >= 35, "%d of 140 requests reached it in 2 s, 3 s after its limit had ended", n)
	assert.Check(t, o.failed == 0 && o.refused == 0, "%d served, %d refused, %d failed", o.served, o.refused, o.failed)
}

// The instance that grants the permits leaves; the others must neither stop nor exceed the limit.
func TestPermitsGoOnAfterOwnerLeaves(t *testing.T) {
	const perSecond = 4
	limited := newLimitedUpstream(perSecond)
	all := startLimitsFleet(t, 5, limited.serve, nil)
	var names []string
	for _, i := range all {
		names = append(names, i.node.settings.Instance.ID)
	}
	owner := slices.Index(names, permits.NewOwners(names[0]).Choose(time.Now(), "u1", names[1:]))
	perInstance := []float64{5, 5, 5, 5, 5}
	perInstance[owner] = 0
	ctx, cancel := context.WithTimeout(t.Context(), 12*time.Second)
	defer cancel()
	var stopped time.Time
	time.AfterFunc(4*time.Second, func() { stopped = time.Now(); all[owner].signals <- syscall.SIGTERM })
	var o outcomes
	o.load(ctx, all, perInstance)
	limited.checkLimit(t, perSecond)
	assert.Check(t, limited.since(stopped.Add(3*time.Second)) >= 2, "no permits after the owner has left")
	assert.Check(t, o.failed == 0, "%d served, %d refused, %d failed", o.served, o.refused, o.failed)
}

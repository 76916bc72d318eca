package gateway

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// crashingEngine returns a responder that responds after a while, streams with their first event at
// once, unless crashed is closed before.
func crashingEngine(crashed <-chan struct{}) responder {
	return func(u *testUpstream, r *http.Request, body []byte, conn net.Conn) bool {
		isStream, last := r.Header.Get("Model") != "", 0
		if isStream {
			_, _ = fmt.Sscan(r.Header.Get("Last-Event-Id"), &last)
			writeResponseHead(conn, r, http.StatusOK, "")
			_, _ = io.WriteString(conn, eventText(last+1, last+1))
		}
		select {
		case <-crashed:
			return resetConnection(nil, nil, nil, conn)
		case <-time.After(400 * time.Millisecond):
		}
		if !isStream {
			return respondWith(http.StatusOK, "ok")(u, r, body, conn)
		}
		_, _ = io.WriteString(conn, eventText(last+2, 4))
		return false
	}
}

// Two of three engines crash one after the other while configurations move the routes.
func TestRequestsAreAnsweredWhileEnginesCrashBesideConfigurations(t *testing.T) {
	var crashes [2]chan struct{}
	upstreams := []*testUpstream{startUpstream(t, "u3", crashingEngine(nil))}
	for i := range crashes {
		crashes[i] = make(chan struct{})
		upstreams = append(upstreams, startUpstream(t, fmt.Sprintf("u%d", i+1), crashingEngine(crashes[i])))
	}
	h := newHarness(t, upstreams...)
	original := *h.gateway.Config()
	original.Routes = testRoutes()
	for i := range original.Routes {
		original.Routes[i].MaxAttempts = 3
	}
	first := original
	h.gateway.ApplyConfig(&first)
	results := make(map[string][]result)
	var mu sync.Mutex
	var callers sync.WaitGroup
	const requests = 40
	for n := range requests {
		route := []string{"order", "read", "stream", "batch"}[n%4]
		callers.Go(func() {
			headers := []string{"Request-Id", fmt.Sprintf("r-%d", n), "Deadline-Ms", "3000"}
			if route == "stream" || route == "batch" {
				headers = append(headers, "Model", testModel, "Token-Count", "10,5")
			}
			got := h.do(t, "POST", fmt.Sprintf("/%s/%d", route, n), "", headers...)
			mu.Lock()
			defer mu.Unlock()
			results[route] = append(results[route], got)
		})
	}
	eventually(t, "all requests at engines", func() bool {
		count := 0
		for _, u := range upstreams {
			count += u.requestCount()
		}
		return count >= requests
	})
	for step := range 4 {
		time.Sleep(50 * time.Millisecond)
		if step%2 == 0 {
			moveRoutes(h)
			continue
		}
		close(crashes[step/2])
		_ = upstreams[1+step/2].listener.Close()
		original.Version += 2
		original.Limits.MaxBodyBytes /= 2
		next := original
		h.gateway.ApplyConfig(&next)
	}
	callers.Wait()
	outcomes := make(map[string]int)
	for route, all := range results {
		for _, got := range all {
			outcome := fmt.Sprint(route, " ", got.status)
			if got.err != nil {
				outcome += " cut"
			}
			outcomes[outcome]++
			switch {
			case route == "batch" && got.err != nil: // can't be continued
				continue
			case route == "order" && got.status == http.StatusBadGateway:
				assert.NilError(t, got.err)
				continue
			}
			assert.Check(t, got.err, route)
			assert.Check(t, got.status == http.StatusOK, "%s: %d %s", route, got.status, got.body)
			if route == "stream" || route == "batch" {
				assert.Check(t, got.body == eventText(1, 4), "%s: %q", route, got.body)
			}
		}
	}
	t.Log(outcomes)
	assert.Check(t, outcomes["order 502"] > 0 && outcomes["batch 200 cut"] > 0, "no engine crashed at work")
}

package node

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"savoryweir/platform"
)

// churnSteps are the splits of the routes in successive configurations; an empty one removes the routes.
var churnSteps = []string{
	`"service":"s"`, `"service":"s2"`, `"trafficSplit":[{"service":"s","weight":1},{"service":"s2","weight":3}]`, "", `"service":"s2"`,
}

// churnConfig returns a configuration whose routes, timeouts and limits differ from those of the
// versions next to it. Routes under /kept/ are never removed.
func churnConfig(version int) string {
	var routes []string
	target := churnSteps[version%len(churnSteps)]
	for _, kind := range []string{"unsafe", "safe", "stream"} {
		for _, host := range []string{"kept", "changed"} {
			to := target
			if host == "kept" && to == "" {
				to = churnSteps[0]
			}
			if to != "" {
				routes = append(routes, fmt.Sprintf(`{"name":"%s-%s","host":"h","pathPrefix":"/%s/%s/","kind":%q,"resumable":%v,"timeoutMs":%d,"targetLatencyMs":%d,"gapAimMs":300,%s,"maxAttempts":2}`,
					host, kind, host, kind, kind, kind == "stream", 2500+1000*(version%3), 1000+100*(version%2), to))
			}
		}
	}
	return fmt.Sprintf(`{"version":%d,"routes":[%s],"services":[{"name":"s","healthPath":"/h","maxConns":99},{"name":"s2","healthPath":"/h","maxConns":99}],`+
		`"limits":{"maxHeaderBytes":%d,"maxBodyBytes":%d,"headerTimeoutMs":%d,"idleTimeoutMs":%d}}`,
		version, strings.Join(routes, ","), 4096<<(version%3), 1024<<(version%4), 1000+500*(version%3), []int{400, 5000, 700, 15000}[version%4])
}

// churnCaller sends requests on its connection until stop is closed. Some bodies arrive in parts. ran
// holds the IDs of the requests that upstreams have run.
func (i *instance) churnCaller(t *testing.T, name int, stop <-chan struct{}, answered *[6]atomic.Int64, ran *sync.Map) {
	random := rand.New(rand.NewPCG(uint64(name), 2))
	var conn *keptConn
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		default:
		}
		if conn != nil && !conn.isOpen() {
			_ = conn.Close()
			conn = nil
		}
		isNew := conn == nil
		if isNew {
			var err error
			if conn, err = i.dialKept(); !assert.Check(t, err) {
				return
			}
		}
		path := fmt.Sprintf("/%s/%s/%s", []string{"kept", "changed"}[random.IntN(2)], []string{"unsafe", "safe", "stream"}[random.IntN(3)], []string{"fast", "slow"}[random.IntN(2)])
		pause := time.Duration(random.IntN(2)*random.IntN(400)) * time.Millisecond
		sent := time.Now()
		id := fmt.Sprintf("%d-%d", name, n)
		status, err := conn.sendInParts(path, id, pause)
		took := time.Since(sent)
		switch {
		case err == nil:
			answered[status/100].Add(1)
			isUnknown := status == http.StatusNotFound && strings.HasPrefix(path, "/changed/")
			_, hasRun := ran.Load(id)
			isRefused := status == http.StatusServiceUnavailable && !hasRun
			assert.Check(t, status == http.StatusOK && hasRun || isUnknown || isRefused, "%s got %d after %v, run by an upstream: %v", path, status, took, hasRun)
			if random.IntN(3) == 0 {
				_ = conn.Close()
				conn = nil
			}
			continue
		case isNew || took > pause+50*time.Millisecond: // not a connection that was closed while idle
			assert.Check(t, err, "%s on a new connection: %v, ended after %v, body paused for %v", path, isNew, took, pause)
		}
		answered[0].Add(1)
		_ = conn.Close()
		conn = nil
	}
}

// sendInParts sends a request whose body pauses in its middle, and returns the status of a whole response.
func (k *keptConn) sendInParts(path, id string, pause time.Duration) (int, error) {
	if _, err := fmt.Fprintf(k, "POST %s HTTP/1.1\r\nHost: h\r\nRequest-Id: %s\r\nDeadline-Ms: 2000\r\nContent-Length: 4\r\n\r\nab", path, id); err != nil {
		return 0, err
	}
	time.Sleep(pause)
	if _, err := io.WriteString(k, "cd"); err != nil {
		return 0, err
	}
	response, err := http.ReadResponse(k.reader, nil)
	if err != nil {
		return 0, err
	}
	body, err := io.ReadAll(response.Body)
	if err == nil && response.StatusCode == http.StatusOK && string(body) != "ran" && string(body) != "data: x\n\n" {
		err = errors.New("body is " + string(body))
	}
	return response.StatusCode, err
}

// Pairs of configurations move, split and remove routes and change all limits and timeouts beside SIGHUP.
func TestEveryRequestIsAnsweredWhileRoutesLimitsAndSettingsChange(t *testing.T) {
	var ran sync.Map
	engine := func(w http.ResponseWriter, r *http.Request) {
		ran.Store(r.Header.Get("Request-Id"), true)
		if strings.HasSuffix(r.URL.Path, "slow") {
			time.Sleep(300 * time.Millisecond)
		}
		if strings.Contains(r.URL.Path, "/stream/") {
			w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
			w.Header().Set("Response-Seal", "s")
			_, _ = io.WriteString(w, "data: x\n\n")
			return
		}
		respondSealed(w, r)
	}
	c := startCluster(t, engine)
	second := httptest.NewServer(http.HandlerFunc(engine))
	t.Cleanup(second.Close)
	c.put(t, platform.KindUpstreams, "u2", fmt.Sprintf(`{"service":"s2","address":%q,"zone":"z","slots":4,"state":"ready","born":1}`, second.Listener.Addr().String()))
	c.put(t, platform.KindConfig, platform.NameConfig, churnConfig(1))
	i := c.startInstance(t, "i1")
	defer i.terminate(t)
	eventually(t, "both upstreams and a configuration", func() bool { return i.node.readinessError() == nil && i.node.registry.View().Count() == 2 })
	text, err := os.ReadFile(i.settingsFile)
	assert.NilError(t, err)
	stop := make(chan struct{})
	var answered [6]atomic.Int64
	var callers sync.WaitGroup
	for name := range 24 {
		callers.Go(func() { i.churnCaller(t, name, stop, &answered, &ran) })
	}
	for step := range 15 {
		c.put(t, platform.KindConfig, platform.NameConfig, churnConfig(2*step+2))
		assert.Check(t, os.WriteFile(i.settingsFile, append(text, strings.Repeat("# changed\n", step%3)...), 0o600))
		i.signals <- syscall.SIGHUP
		c.put(t, platform.KindConfig, platform.NameConfig, churnConfig(2*step+3))
		time.Sleep(250 * time.Millisecond)
	}
	close(stop)
	callers.Wait()
	t.Logf("%d served, %d refused, %d without a route, %d closed while idle", answered[2].Load(), answered[5].Load(), answered[4].Load(), answered[0].Load())
	assert.Assert(t, answered[5].Load() < answered[2].Load()/10, "%d requests refused, %d served", answered[5].Load(), answered[2].Load())
	assert.Assert(t, answered[2].Load() > 100, "%d requests are too few to show anything", answered[2].Load())
}

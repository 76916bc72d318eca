package node

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"savoryweir/internal/logging"
	"savoryweir/internal/settings"
	"savoryweir/internal/standin/objectapi"
	"savoryweir/internal/state/object"
	"savoryweir/platform"
)

// cluster is a platform store with one upstream, which the tests start instances in front of.
type cluster struct {
	store    *objectapi.Memory
	storeURL string
	upstream *httptest.Server
	logs     io.Writer
}

func startCluster(t *testing.T, handler http.HandlerFunc) *cluster {
	t.Helper()
	c := &cluster{store: objectapi.New(time.Now, objectapi.Limits{}), logs: io.Discard}
	server := httptest.NewServer(objectapi.Handler(c.store))
	t.Cleanup(server.Close)
	c.storeURL = server.URL
	c.upstream = httptest.NewServer(handler)
	t.Cleanup(c.upstream.Close)
	c.put(t, platform.KindUpstreams, "u1", fmt.Sprintf(`{"service":"s","address":%q,"zone":"z","slots":4,"state":"ready","born":1}`, c.upstream.Listener.Addr().String()))
	return c
}

func (c *cluster) put(t *testing.T, kind object.Kind, name object.Name, data string) {
	t.Helper()
	old, err := c.store.Get(t.Context(), kind, name)
	if err != nil {
		_, err = c.store.Create(t.Context(), kind, name, []byte(data))
	} else {
		_, err = c.store.Update(t.Context(), kind, name, []byte(data), old.Version)
	}
	assert.NilError(t, err)
}

func (c *cluster) applyConfig(t *testing.T, version int, prefixes ...string) {
	t.Helper()
	var routes []string
	for _, p := range prefixes {
		routes = append(routes, fmt.Sprintf(`{"name":"r%s","host":"h","pathPrefix":"/%s/","kind":"unsafe","timeoutMs":5000,"targetLatencyMs":100,"service":"s","maxAttempts":1}`, p, p))
	}
	c.put(t, platform.KindConfig, platform.NameConfig, fmt.Sprintf(
		`{"version":%d,"routes":[%s],"services":[{"name":"s","healthPath":"/h","maxConns":9}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":65536,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}`,
		version, strings.Join(routes, ",")))
}

// instance is a running node with its settings file.
type instance struct {
	node           *Node
	callersAddress string
	signals        chan os.Signal
	runErr         chan error
	settingsFile   string
}

// freePort returns a port that is free for TCP and UDP.
func freePort(t *testing.T) int {
	t.Helper()
	for {
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		assert.NilError(t, err)
		port := l.Addr().(*net.TCPAddr).Port
		datagrams, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1), Port: port})
		_ = l.Close()
		if err == nil {
			_ = datagrams.Close()
			return port
		}
	}
}

func (c *cluster) startInstance(t *testing.T, id string) *instance {
	t.Helper()
	return c.startInstanceWith(t, id, func(*Node) {})
}

// startInstanceWith calls prepare before the instance runs. Another process may take a port
// between its choice and its use; the instance is then started again with other ports.
func (c *cluster) startInstanceWith(t *testing.T, id string, prepare func(*Node)) *instance {
	t.Helper()
	for {
		i, err := c.tryStartInstance(t, id, prepare)
		if err == nil {
			return i
		}
		assert.ErrorIs(t, err, syscall.EADDRINUSE)
	}
}

// tryStartInstance starts an instance and waits until it listens for callers.
func (c *cluster) tryStartInstance(t *testing.T, id string, prepare func(*Node)) (*instance, error) {
	t.Helper()
	i := &instance{signals: make(chan os.Signal, 4), runErr: make(chan error, 1), settingsFile: filepath.Join(t.TempDir(), "node.ini")}
	i.callersAddress = fmt.Sprintf("127.0.0.1:%d", freePort(t))
	i.writeSettings(t, c, id, "2s")
	var s Settings
	_, err := settings.Parse(settings.Program{Name: "test"}, &s, []string{"--settings=" + i.settingsFile})
	assert.NilError(t, err)
	logWriter := logging.NewAsyncWriter(c.logs)
	if i.node, err = New(s, logWriter); err != nil {
		return nil, err
	}
	prepare(i.node)
	go logWriter.Run(t.Context().Done())
	go func() { i.runErr <- i.node.Run(i.signals) }()
	for {
		select {
		case err := <-i.runErr:
			return nil, err
		case <-time.After(5 * time.Millisecond):
		}
		if conn, err := net.Dial("tcp4", i.callersAddress); err == nil {
			return i, conn.Close()
		}
	}
}

func (i *instance) writeSettings(t *testing.T, c *cluster, id, grace string) {
	t.Helper()
	port := freePort(t)
	if i.node != nil {
		port = i.node.settings.Mesh.Port
	}
	text := fmt.Sprintf("[instance]\nid = %s\nzone = %s\naddress = 127.0.0.1\n[callers]\naddress = %s\n[ready]\naddress = 127.0.0.1:%d\n[mesh]\nport = %d\n[operations]\nport = %d\n[store]\nurl = %s\n[bounds]\ngrace = %s\n[streams]\nnew-version-delay = 0s\n",
		id, c.zoneOf(id), i.callersAddress, freePort(t), port, freePort(t), c.storeURL, grace)
	assert.NilError(t, os.WriteFile(i.settingsFile, []byte(text), 0o600))
}

// zoneOf returns the availability zone of an instance, which may follow an @ in its ID.
func (c *cluster) zoneOf(id string) string {
	if _, zone, ok := strings.Cut(id, "@"); ok {
		return zone
	}
	return "z"
}

func (i *instance) send(path string) (int, string) {
	r, err := http.NewRequest(http.MethodPost, "http://"+i.callersAddress+path, strings.NewReader("x"))
	if err != nil {
		return 0, err.Error()
	}
	r.Host = "h"
	r.Header.Set("Request-Id", "r1")
	r.Header.Set("Deadline-Ms", "3000")
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, err.Error()
	}
	return response.StatusCode, string(body)
}

// startLargeFleet starts eight instances in two availability zones, which aggregate their
// loads, and waits until they know each other. They stop at the end of the test.
func (c *cluster) startLargeFleet(t *testing.T) []*instance {
	t.Helper()
	c.applyConfig(t, 1, "a")
	var all []*instance
	for n := range 8 {
		id := fmt.Sprintf("i%d@%s", n, []string{"y", "z"}[n%2])
		all = append(all, c.startInstanceWith(t, id, func(n *Node) { n.reporter.aggregator.minPeers = 4 }))
	}
	t.Cleanup(func() { stopInstances(t, all) })
	for _, i := range all {
		eventually(t, "all instances known", func() bool { return i.node.mesh.PeerCount() == len(all)-1 })
	}
	return all
}

// stopInstances stops instances at the same time.
func stopInstances(t *testing.T, all []*instance) {
	t.Helper()
	for _, i := range all {
		i.signals <- syscall.SIGTERM
	}
	for _, i := range all {
		assert.Check(t, <-i.runErr)
	}
}

func (i *instance) terminate(t *testing.T) {
	t.Helper()
	i.signals <- syscall.SIGTERM
	assert.NilError(t, <-i.runErr)
}

func respondSealed(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
	w.Header().Set("Response-Seal", "s")
	_, _ = io.WriteString(w, "ran")
}

func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); !condition(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("not observed within 10 seconds: %s", what)
		}
	}
}

// A configuration must take effect while the instance runs, an older version in the store must
// not replace it, and SIGTERM must not cut off a request in flight.
func TestInstanceAppliesNewerConfigAndDrainsOnSIGTERM(t *testing.T) {
	slow := make(chan struct{})
	arrived := make(chan struct{}, 1)
	c := startCluster(t, func(w http.ResponseWriter, r *http.Request) {
		if strings.HasPrefix(r.URL.Path, "/a/slow") {
			arrived <- struct{}{}
			<-slow
		}
		respondSealed(w, r)
	})
	i := c.startInstance(t, "i1")
	eventually(t, "503 without a configuration", func() bool { status, _ := i.send("/a/1"); return status == 503 })
	assert.ErrorIs(t, i.node.readinessError(), errNoConfig)
	c.applyConfig(t, 1, "a")
	eventually(t, "a response of the upstream", func() bool { status, body := i.send("/a/1"); return status == 200 && body == "ran" })
	assert.NilError(t, i.node.readinessError())
	c.applyConfig(t, 2, "a", "b")
	eventually(t, "a response on the new route", func() bool { status, _ := i.send("/b/1"); return status == 200 })
	c.applyConfig(t, 1, "a")
	time.Sleep(200 * time.Millisecond)
	status, _ := i.send("/b/1")
	assert.Equal(t, status, 200, "an older version replaced the configuration")

	answered := make(chan int, 1)
	go func() { status, _ := i.send("/a/slow"); answered <- status }()
	<-arrived
	i.signals <- syscall.SIGTERM
	eventually(t, "a failing readiness check", func() bool { return i.node.readinessError() != nil })
	close(slow)
	assert.Equal(t, <-answered, 200, "a request in flight was cut off")
	assert.NilError(t, <-i.runErr)
}

// A request that is still in flight at the end of the grace period must get a final response,
// so that its caller does not have to guess its outcome.
func TestEndOfGracePeriodAnswersRequestsInFlight(t *testing.T) {
	ended := make(chan struct{})
	defer close(ended)
	arrived := make(chan struct{}, 1)
	c := startCluster(t, func(_ http.ResponseWriter, r *http.Request) {
		arrived <- struct{}{}
		select {
		case <-ended:
		case <-r.Context().Done():
		}
	})
	c.applyConfig(t, 1, "a")
	i := c.startInstance(t, "i1")
	eventually(t, "a passing readiness check", func() bool { return i.node.readinessError() == nil })
	answered := make(chan int, 1)
	go func() { status, _ := i.send("/a/1"); answered <- status }()
	<-arrived
	began := time.Now()
	i.signals <- syscall.SIGTERM
	assert.NilError(t, <-i.runErr)
	assert.Equal(t, <-answered, http.StatusGatewayTimeout)
	assert.Assert(t, time.Since(began) < 2*time.Second, "the instance stopped after the end of the grace period")
}

// Operators change the bounds in the settings file with or without SIGHUP. Invalid settings must
// leave the bounds unchanged.
func TestChangedSettingsApplyWithAndWithoutSignal(t *testing.T) {
	c := startCluster(t, respondSealed)
	i := c.startInstance(t, "i1")
	defer i.terminate(t)
	assert.Equal(t, i.node.bounds.Load().Grace, 2*time.Second)
	i.writeSettings(t, c, "i1", "3s")
	i.signals <- syscall.SIGHUP
	eventually(t, "bounds reloaded by SIGHUP", func() bool { return i.node.bounds.Load().Grace == 3*time.Second })
	time.Sleep(20 * time.Millisecond) // the modification time of the file must differ
	i.writeSettings(t, c, "i1", "1500ms")
	eventually(t, "bounds reloaded without a signal", func() bool { return i.node.bounds.Load().Grace == 1500*time.Millisecond })
	assert.NilError(t, os.WriteFile(i.settingsFile, []byte("[bounds]\ngrace = soon\n"), 0o600))
	time.Sleep(1500 * time.Millisecond)
	assert.Equal(t, i.node.bounds.Load().Grace, 1500*time.Millisecond, "invalid settings changed the bounds")
}

// Instances that start together must discover each other, and only watcherCount of them may
// watch the store. A new configuration must still reach all of them, and exactly one of them
// must hold the lease.
func TestInstancesDiscoverEachOtherAndOnlyWatchersWatchStore(t *testing.T) {
	c := startCluster(t, respondSealed)
	c.applyConfig(t, 1, "a")
	var all []*instance
	for n := range 4 {
		all = append(all, c.startInstance(t, fmt.Sprintf("i%d", n)))
	}
	for _, i := range all {
		eventually(t, "three other live instances", func() bool { return i.node.mesh.AlivePeerCount(time.Now(), 3*time.Second) == 3 })
		eventually(t, "a response of the service", func() bool { status, _ := i.send("/a/1"); return status == 200 })
	}
	watching := func() int {
		n := 0
		for _, i := range all {
			if i.node.reporter.watchesStore(time.Now()) {
				n++
			}
		}
		return n
	}
	eventually(t, "watcherCount instances that watch the store", func() bool { return watching() == watcherCount })
	c.applyConfig(t, 2, "a", "b")
	for _, i := range all {
		eventually(t, "the new configuration at all instances", func() bool { return i.node.gateway.Config().Version == 2 })
	}
	holders := 0
	for _, i := range all {
		if _, ok := i.node.leaseManager.FencingToken(); ok {
			holders++
		}
	}
	assert.Equal(t, holders, 1)
	for _, i := range all {
		i.signals <- syscall.SIGTERM
	}
	for _, i := range all {
		assert.NilError(t, <-i.runErr)
	}
}

// blockedWriter blocks each write until the test ends.
type blockedWriter struct{ ended <-chan struct{} }

func (w blockedWriter) Write(p []byte) (int, error) {
	<-w.ended
	return len(p), nil
}

// When the reader of the log stops reading, writes to the log block. Requests must still
// succeed, and log lines are dropped instead.
func TestBlockedLogReaderDropsLinesWithoutFailingRequests(t *testing.T) {
	c := startCluster(t, respondSealed)
	c.logs = blockedWriter{t.Context().Done()}
	c.applyConfig(t, 1, "a")
	i := c.startInstance(t, "i1")
	defer i.terminate(t)
	eventually(t, "a response of the upstream", func() bool { status, _ := i.send("/a/1"); return status == 200 })
	for range 1500 {
		status, body := i.send("/a/1")
		assert.Equal(t, status, 200)
		assert.Equal(t, body, "ran")
	}
	assert.Assert(t, i.node.logWriter.Dropped() > 0)
}

func TestInstanceEntryRoundTripsThroughJSON(t *testing.T) {
	data, err := json.Marshal(object.Instance{ID: "i1", Address: "10.0.0.1:7380", Zone: "z", Role: object.RoleSavoryweir})
	assert.NilError(t, err)
	var back object.Instance
	assert.NilError(t, json.Unmarshal(data, &back))
	assert.Equal(t, back.Address, "10.0.0.1:7380")
}

// The store comes back from a copy made before the instance registered, with an older
// configuration and without an upstream. What it lost is written again, by the instance, the
// operator and the upstream; until then the instance serves as before.
func TestInstanceRegistersAgainAndKeepsServingAfterStoreComesBackFromOlderCopy(t *testing.T) {
	c := startCluster(t, respondSealed)
	c.applyConfig(t, 1, "a")
	c.store.Restore(c.store.Backup()) // begins the first era
	backup := c.store.Backup()
	c.applyConfig(t, 2, "a", "b")
	i := c.startInstance(t, "i1")
	defer i.terminate(t)
	registered := func() bool {
		_, err := c.store.Get(t.Context(), object.KindInstances, "i1")
		return err == nil
	}
	eventually(t, "the entry of the instance", registered)
	eventually(t, "a response on the new route", func() bool { status, _ := i.send("/b/1"); return status == 200 })
	c.store.SetFaults(objectapi.Faults{Outage: true})
	time.Sleep(500 * time.Millisecond)
	c.store.Restore(backup)
	assert.Assert(t, !registered())
	c.store.SetFaults(objectapi.Faults{})
	eventually(t, "the entry of the instance, written again", registered)
	status, _ := i.send("/b/1")
	assert.Equal(t, status, 200, "the older configuration replaced the one in force")
	c.applyConfig(t, 3, "a", "c")
	eventually(t, "a response on the route of the new era", func() bool { status, _ := i.send("/c/1"); return status == 200 })
}

// In a large fleet instances report to the aggregators of their availability zone alone. The
// loads of each instance must still reach all others, also after all aggregators of a zone
// have stopped without notice, and no load may be counted twice.
func TestLoadsReachAllInstancesThroughAggregators(t *testing.T) {
	const inFlight = 3
	release := make(chan struct{})
	c := startCluster(t, func(w http.ResponseWriter, r *http.Request) {
		<-release
		respondSealed(w, r)
	})
	all := c.startLargeFleet(t)
	var answers sync.WaitGroup
	defer answers.Wait()
	defer close(release)
	for _, i := range all[:2] { // one instance in each zone
		for range inFlight {
			answers.Go(func() {
				for status := 0; status != http.StatusOK; {
					status, _ = i.send("/a/1") // until the upstream answers; earlier tries end at their deadline
				}
			})
		}
	}
	loadSeen := func(i *instance) int { return i.node.tracker.EstimatedLoad("u1").Running }
	seesAll := func(i *instance) func() bool {
		return func() bool { return loadSeen(i) == 2*inFlight }
	}
	for _, i := range all {
		eventually(t, "the loads of both instances", seesAll(i))
	}
	var aggregators, others []*instance
	for _, i := range all[2:] {
		a := i.node.reporter.aggregator
		a.mu.Lock()
		members := len(a.aggregate.Members(time.Now()))
		a.mu.Unlock()
		if members > 1 {
			aggregators = append(aggregators, i)
		} else {
			others = append(others, i)
		}
	}
	assert.Assert(t, len(aggregators) > 0 && len(others) > 0)
	for _, i := range aggregators {
		i.node.reporter.aggregator.mu.Lock() // the process hangs
		defer i.node.reporter.aggregator.mu.Unlock()
	}
	time.Sleep(4 * time.Second) // longer than loads of the earlier aggregators are used
	for _, i := range others {
		eventually(t, "the loads of both instances through other aggregators", seesAll(i))
		for range 50 {
			assert.Assert(t, loadSeen(i) <= 2*inFlight, "%d requests are counted instead of %d", loadSeen(i), 2*inFlight)
			time.Sleep(2 * time.Millisecond)
		}
	}
}

// In a large fleet the link of one instance can't carry the changes of the store to each other
// instance: aggregators forward them. A change must reach all instances, and only a few of
// them may ask the store for it.
func TestChangesReachAllInstancesThroughAggregators(t *testing.T) {
	c := startCluster(t, respondSealed)
	all := c.startLargeFleet(t)
	time.Sleep(assumedWatcherPeriod + time.Second) // the watchers have settled
	before := c.store.Counts().Reads()
	const changes = 30
	for n := range changes {
		c.put(t, platform.KindUpstreams, "u2", fmt.Sprintf(`{"service":"s","address":"127.0.0.1:9","zone":"z","slots":%d,"state":"ready","born":1}`, n+1))
		time.Sleep(100 * time.Millisecond)
	}
	for _, i := range all {
		eventually(t, "the new upstream at all instances", func() bool { return i.node.registry.View().Get("u2") != nil })
	}
	reads := c.store.Counts().Reads() - before - changes // put itself reads once per change
	assert.Assert(t, reads < watcherCount*2*changes, "%d reads for %d changes at %d instances", reads, changes, len(all))
}

// callUntilRefused sends requests until connections are refused, each on a new connection
// unless keepAlive is set. It returns the number of responses with status 200 and of all.
func (i *instance) callUntilRefused(keepAlive bool) (served, answered int) {
	for {
		conn, err := net.Dial("tcp4", i.callersAddress)
		if err != nil {
			return served, answered // the port is closed
		}
		for reader := bufio.NewReader(conn); ; {
			if _, err = fmt.Fprintf(conn, "POST /a/1 HTTP/1.1\r\nHost: h\r\nRequest-Id: r\r\nDeadline-Ms: 3000\r\nContent-Length: 1\r\n\r\nx"); err != nil {
				break
			}
			response, err := http.ReadResponse(reader, nil)
			if err != nil {
				break
			}
			if _, err = io.Copy(io.Discard, response.Body); err != nil {
				break
			}
			answered++
			if response.StatusCode == http.StatusOK {
				served++
			}
			if !keepAlive || response.Close {
				break
			}
		}
		_ = conn.Close()
	}
}

// handledRequests returns how many requests the instance has read, by its metrics.
func (i *instance) handledRequests(t *testing.T) int {
	t.Helper()
	families, err := i.node.metrics.Registry.Gather()
	assert.NilError(t, err)
	handled := 0.0
	for _, f := range families {
		if f.GetName() == "savoryweir_node_requests_total" {
			for _, m := range f.GetMetric() {
				handled += m.GetCounter().GetValue()
			}
		}
	}
	return int(handled)
}

// An instance that stops while callers connect all the time must answer each request that it
// has read, and no request may run without its caller getting the response. Connections that
// the kernel has not handed over when the port closes are reset: their callers know that
// nothing was read.
func TestStopUnderLoadAnswersAllRequestsRead(t *testing.T) {
	for _, keepAlive := range []bool{false, true} {
		var ran atomic.Int64
		c := startCluster(t, func(w http.ResponseWriter, r *http.Request) {
			ran.Add(1)
			respondSealed(w, r)
		})
		c.applyConfig(t, 1, "a")
		i := c.startInstance(t, "i1")
		eventually(t, "a passing readiness check", func() bool { return i.node.readinessError() == nil })
		var served, answered atomic.Int64
		var callers sync.WaitGroup
		for range 32 {
			callers.Go(func() {
				s, a := i.callUntilRefused(keepAlive)
				served.Add(int64(s))
				answered.Add(int64(a))
			})
		}
		time.Sleep(300 * time.Millisecond)
		i.signals <- syscall.SIGTERM
		assert.NilError(t, <-i.runErr)
		callers.Wait()
		assert.Assert(t, served.Load() > 500, "%d requests are too few to show anything", served.Load())
		assert.Equal(t, served.Load(), ran.Load(), "keep-alive %v: requests ran without a response", keepAlive)
		assert.Equal(t, int(answered.Load()), i.handledRequests(t), "keep-alive %v: requests were read without a response", keepAlive)
	}
}

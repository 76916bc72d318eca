package node

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
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

// cluster is a store with instances before one plain service.
type cluster struct {
	store    *objectapi.Memory
	storeURL string
	upstream *httptest.Server
	logs     io.Writer
}

func startCluster(t *testing.T, serve http.HandlerFunc) *cluster {
	t.Helper()
	c := &cluster{store: objectapi.New(time.Now, objectapi.Limits{}), logs: io.Discard}
	server := httptest.NewServer(objectapi.Handler(c.store))
	t.Cleanup(server.Close)
	c.storeURL = server.URL
	c.upstream = httptest.NewServer(serve)
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

func (c *cluster) configure(t *testing.T, version int, prefixes ...string) {
	t.Helper()
	var routes []string
	for _, p := range prefixes {
		routes = append(routes, fmt.Sprintf(`{"name":"r%s","host":"h","pathPrefix":"/%s/","kind":"unsafe","timeoutMs":5000,"targetLatencyMs":100,"service":"s","maxAttempts":1}`, p, p))
	}
	c.put(t, platform.KindConfig, platform.NameConfig, fmt.Sprintf(
		`{"version":%d,"routes":[%s],"services":[{"name":"s","healthPath":"/h","maxConns":9}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":65536,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}`,
		version, strings.Join(routes, ",")))
}

// instance is a running node.
type instance struct {
	node    *Node
	callers string
	signals chan os.Signal
	ended   chan error
	file    string
}

func freePort(t *testing.T) int {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = l.Close() }()
	return l.Addr().(*net.TCPAddr).Port
}

func (c *cluster) start(t *testing.T, id string) *instance {
	t.Helper()
	i := &instance{signals: make(chan os.Signal, 4), ended: make(chan error, 1), file: filepath.Join(t.TempDir(), "node.ini")}
	i.callers = fmt.Sprintf("127.0.0.1:%d", freePort(t))
	i.write(t, c, id, "2s")
	var s Settings
	_, err := settings.Parse(settings.Program{Name: "test"}, &s, []string{"--settings=" + i.file})
	assert.NilError(t, err)
	lines := logging.NewAsyncWriter(c.logs)
	i.node, err = New(s, lines)
	assert.NilError(t, err)
	go lines.Run(t.Context().Done())
	go func() { i.ended <- i.node.Run(i.signals) }()
	return i
}

func (i *instance) write(t *testing.T, c *cluster, id, grace string) {
	t.Helper()
	port := freePort(t)
	if i.node != nil {
		port = i.node.settings.Mesh.Port
	}
	text := fmt.Sprintf("[instance]\nid = %s\nzone = z\naddress = 127.0.0.1\n[callers]\naddress = %s\n[ready]\naddress = 127.0.0.1:%d\n[mesh]\nport = %d\n[operations]\nport = %d\n[store]\nurl = %s\n[bounds]\ngrace = %s\n",
		id, i.callers, freePort(t), port, freePort(t), c.storeURL, grace)
	assert.NilError(t, os.WriteFile(i.file, []byte(text), 0o600))
}

func (i *instance) ask(path string) (int, string) {
	r, err := http.NewRequest(http.MethodPost, "http://"+i.callers+path, strings.NewReader("x"))
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

func (i *instance) stop(t *testing.T) {
	t.Helper()
	i.signals <- syscall.SIGTERM
	assert.NilError(t, <-i.ended)
}

func answerSealed(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
	w.Header().Set("Response-Seal", "s")
	_, _ = io.WriteString(w, "ran")
}

func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); !condition(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%s did not happen", what)
		}
	}
}

func TestAnInstanceFollowsConfigurationsAndDrains(t *testing.T) {
	slow := make(chan struct{})
	arrived := make(chan struct{}, 1)
	c := startCluster(t, func(w http.ResponseWriter, r *http.Request) {
		if strings.HasPrefix(r.URL.Path, "/a/slow") {
			arrived <- struct{}{}
			<-slow
		}
		answerSealed(w, r)
	})
	i := c.start(t, "i1")
	eventually(t, "a refusal without configuration", func() bool { status, _ := i.ask("/a/1"); return status == 503 })
	assert.ErrorIs(t, i.node.notReady(), errNoConfig)
	c.configure(t, 1, "a")
	eventually(t, "an answer", func() bool { status, body := i.ask("/a/1"); return status == 200 && body == "ran" })
	assert.NilError(t, i.node.notReady())
	c.configure(t, 2, "a", "b")
	eventually(t, "the new route", func() bool { status, _ := i.ask("/b/1"); return status == 200 })
	c.configure(t, 1, "a")
	time.Sleep(200 * time.Millisecond)
	status, _ := i.ask("/b/1")
	assert.Equal(t, status, 200, "a version falls back")

	answered := make(chan int, 1)
	go func() { status, _ := i.ask("/a/slow"); answered <- status }()
	<-arrived
	i.signals <- syscall.SIGTERM
	eventually(t, "not ready", func() bool { return i.node.notReady() != nil })
	close(slow)
	assert.Equal(t, <-answered, 200, "a request in flight is cut")
	assert.NilError(t, <-i.ended)
}

// A request that is still unanswered when the grace time ends gets a final answer, so
// that its caller knows where it stands.
func TestTheEndOfTheGraceTimeAnswersWhatIsLeft(t *testing.T) {
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
	c.configure(t, 1, "a")
	i := c.start(t, "i1")
	eventually(t, "readiness", func() bool { return i.node.notReady() == nil })
	answered := make(chan int, 1)
	go func() { status, _ := i.ask("/a/1"); answered <- status }()
	<-arrived
	began := time.Now()
	i.signals <- syscall.SIGTERM
	assert.NilError(t, <-i.ended)
	assert.Equal(t, <-answered, http.StatusGatewayTimeout)
	assert.Assert(t, time.Since(began) < 2*time.Second, "within the grace time")
}

func TestSettingsApplyWithAndWithoutASignal(t *testing.T) {
	c := startCluster(t, answerSealed)
	i := c.start(t, "i1")
	defer i.stop(t)
	assert.Equal(t, i.node.bounds.Load().Grace, 2*time.Second)
	i.write(t, c, "i1", "3s")
	i.signals <- syscall.SIGHUP
	eventually(t, "the bounds by signal", func() bool { return i.node.bounds.Load().Grace == 3*time.Second })
	time.Sleep(20 * time.Millisecond) // the file's time has to differ
	i.write(t, c, "i1", "1500ms")
	eventually(t, "the bounds by the file", func() bool { return i.node.bounds.Load().Grace == 1500*time.Millisecond })
	assert.NilError(t, os.WriteFile(i.file, []byte("[bounds]\ngrace = soon\n"), 0o600))
	time.Sleep(1500 * time.Millisecond)
	assert.Equal(t, i.node.bounds.Load().Grace, 1500*time.Millisecond, "faulty settings change nothing")
}

func TestInstancesFindEachOtherAndShareTheStoresCalls(t *testing.T) {
	c := startCluster(t, answerSealed)
	c.configure(t, 1, "a")
	var all []*instance
	for n := range 4 {
		all = append(all, c.start(t, fmt.Sprintf("i%d", n)))
	}
	for _, i := range all {
		eventually(t, "all instances", func() bool { return i.node.mesh.AlivePeerCount(time.Now()) == 3 })
		eventually(t, "the service", func() bool { status, _ := i.ask("/a/1"); return status == 200 })
	}
	watching := func() int {
		n := 0
		for _, i := range all {
			if i.node.reports.watches(time.Now()) {
				n++
			}
		}
		return n
	}
	eventually(t, "those that follow the store", func() bool { return watching() == watchers })
	c.configure(t, 2, "a", "b")
	for _, i := range all {
		eventually(t, "the new configuration", func() bool { return i.node.gateway.Config().Version == 2 })
	}
	holders := 0
	for _, i := range all {
		if _, ok := i.node.holder.FencingToken(); ok {
			holders++
		}
	}
	assert.Equal(t, holders, 1)
	for _, i := range all {
		i.signals <- syscall.SIGTERM
	}
	for _, i := range all {
		assert.NilError(t, <-i.ended)
	}
}

// stuckReader takes no line of the log until the test ends.
type stuckReader struct{ ended <-chan struct{} }

func (r stuckReader) Write(p []byte) (int, error) {
	<-r.ended
	return len(p), nil
}

func TestAStuckReaderOfTheLogCostsCallersNothing(t *testing.T) {
	c := startCluster(t, answerSealed)
	c.logs = stuckReader{t.Context().Done()}
	c.configure(t, 1, "a")
	i := c.start(t, "i1")
	defer i.stop(t)
	eventually(t, "an answer", func() bool { status, _ := i.ask("/a/1"); return status == 200 })
	for range 1500 {
		status, body := i.ask("/a/1")
		assert.Equal(t, status, 200)
		assert.Equal(t, body, "ran")
	}
	assert.Assert(t, i.node.lines.Dropped() > 0)
}

func TestEntriesOfInstancesAreReadable(t *testing.T) {
	data, err := json.Marshal(object.Instance{ID: "i1", Address: "10.0.0.1:7380", Zone: "z", Role: object.RoleSavoryweir})
	assert.NilError(t, err)
	var back object.Instance
	assert.NilError(t, json.Unmarshal(data, &back))
	assert.Equal(t, back.Address, "10.0.0.1:7380")
}

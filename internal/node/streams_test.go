package node

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"savoryweir/internal/state/object"
	"savoryweir/internal/state/streams"
	"savoryweir/platform"
)

// versionedEngine streams events: the first one of a new stream, and then nothing until the
// connection closes; the second one of a stream that is resumed, and its end.
type versionedEngine struct {
	server  *httptest.Server
	begun   atomic.Int64
	resumed atomic.Int64
}

func (e *versionedEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
	w.Header().Set("Response-Seal", "s")
	if r.Header.Get("Last-Event-Id") != "" {
		e.resumed.Add(1)
		_, _ = io.WriteString(w, "id: 2\ndata: y\n\n")
		return
	}
	e.begun.Add(1)
	_, _ = io.WriteString(w, "id: 1\ndata: x\n\n")
	_ = http.NewResponseController(w).Flush()
	<-r.Context().Done()
}

// streamCluster is a cluster with a resumable stream route to engines of two software versions.
type streamCluster struct {
	*cluster
	engines map[string]*versionedEngine // by version
}

func startStreamCluster(t *testing.T) *streamCluster {
	t.Helper()
	c := &streamCluster{cluster: startCluster(t, respondSealed), engines: make(map[string]*versionedEngine)}
	for _, version := range []string{"v1", "v2"} {
		e := &versionedEngine{}
		e.server = httptest.NewServer(e)
		t.Cleanup(e.server.Close)
		c.engines[version] = e
		c.register(t, version)
	}
	c.configureStreams(t, 1)
	return c
}

func (c *streamCluster) register(t *testing.T, version string) {
	t.Helper()
	c.put(t, platform.KindUpstreams, object.Name("engine-"+version), fmt.Sprintf(
		`{"service":"streams","address":%q,"zone":"z","slots":4,"state":"ready","born":1,"version":%q}`, c.engines[version].server.Listener.Addr().String(), version))
}

// remove deletes the entry of the engine of a version.
func (c *streamCluster) remove(t *testing.T, version string) {
	t.Helper()
	o, err := c.store.Get(t.Context(), platform.KindUpstreams, object.Name("engine-"+version))
	assert.NilError(t, err)
	assert.NilError(t, c.store.Delete(t.Context(), o.Kind, o.Name, o.Version))
}

func (c *streamCluster) configureStreams(t *testing.T, version int) {
	t.Helper()
	c.put(t, platform.KindConfig, platform.NameConfig, fmt.Sprintf(
		`{"version":%d,"routes":[{"name":"r","host":"h","pathPrefix":"/a/","kind":"stream","resumable":true,"timeoutMs":15000,"targetLatencyMs":1000,"gapAimMs":1000,"service":"streams","maxAttempts":2}],`+
			`"services":[{"name":"streams","healthPath":"/h","maxConns":9}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":65536,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}`, version))
}

// begin starts a stream at an instance and returns the version of its engine after the first
// event. The caller's connection stays open until the test ends.
func (c *streamCluster) begin(t *testing.T, i *instance, id string) string {
	t.Helper()
	before := c.engines["v1"].begun.Load()
	response := i.stream(t, id, nil)
	t.Cleanup(func() { _ = response.Body.Close() })
	assert.Equal(t, response.StatusCode, http.StatusOK)
	_, err := response.Body.Read(make([]byte, 1))
	assert.NilError(t, err)
	if c.engines["v1"].begun.Load() > before {
		return "v1"
	}
	return "v2"
}

// stream sends a request for a stream with additional headers.
func (i *instance) stream(t *testing.T, id string, headers map[string]string) *http.Response {
	t.Helper()
	r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+i.callersAddress+"/a/1", strings.NewReader("x"))
	assert.NilError(t, err)
	r.Host = "h"
	r.Header.Set("Request-Id", id)
	r.Header.Set("Deadline-Ms", "10000")
	for name, value := range headers {
		r.Header.Set(name, value)
	}
	response, err := http.DefaultClient.Do(r)
	assert.NilError(t, err)
	return response
}

// resume takes up a stream after its first event and returns the status of the response.
// resumed is the request that began the stream, or empty to leave it unnamed.
func (i *instance) resume(t *testing.T, id, resumed string) int {
	t.Helper()
	headers := map[string]string{"Last-Event-Id": "1"}
	if resumed != "" {
		headers["Resumes"] = resumed
	}
	response := i.stream(t, id, headers)
	defer func() { _ = response.Body.Close() }()
	_, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	return response.StatusCode
}

// assertResumed takes a stream up several times at an instance, which must send it to the
// engine of the given version each time.
func (c *streamCluster) assertResumed(t *testing.T, i *instance, resumed, version string) {
	t.Helper()
	const times = 8
	before := c.engines[version].resumed.Load()
	for n := range times {
		assert.Equal(t, i.resume(t, fmt.Sprintf("%s-%d", resumed, n), resumed), http.StatusOK)
	}
	assert.Equal(t, c.engines[version].resumed.Load()-before, int64(times), "streams of %s went on at the other version", version)
}

func awaitPeers(t *testing.T, instances ...*instance) {
	t.Helper()
	for _, i := range instances {
		eventually(t, "the other instances", func() bool { return i.node.mesh.PeerCount() == len(instances)-1 })
	}
}

func (c *streamCluster) awaitEngines(t *testing.T, count int, instances ...*instance) {
	t.Helper()
	for _, i := range instances {
		eventually(t, "the engines of all versions", func() bool {
			return i.node.gateway.Config() != nil && len(i.node.registry.View().Usable("streams", "", "")) == count
		})
	}
}

// The instance at which a stream began is gone when its caller takes the stream up elsewhere.
func TestStreamOfLostInstanceIsResumedAtItsSoftwareVersion(t *testing.T) {
	c := startStreamCluster(t)
	one, two := c.startInstance(t, "i1"), c.startInstance(t, "i2")
	defer two.terminate(t)
	c.awaitEngines(t, 2, one, two)
	awaitPeers(t, one, two)
	versions := make(map[string]string)
	for n := range 4 {
		id := fmt.Sprintf("s%d", n)
		versions[id] = c.begin(t, one, id)
	}
	one.terminate(t)
	for id, version := range versions {
		c.assertResumed(t, two, id, version)
	}
}

// A second version begins to serve only after a stream has begun.
func TestStreamBegunBeforeReleaseIsResumedAtItsSoftwareVersion(t *testing.T) {
	c := startStreamCluster(t)
	c.remove(t, "v2")
	one, two := c.startInstance(t, "i1"), c.startInstance(t, "i2")
	defer two.terminate(t)
	c.awaitEngines(t, 1, one, two)
	awaitPeers(t, one, two)
	assert.Equal(t, c.begin(t, one, "s"), "v1")
	c.register(t, "v2")
	c.awaitEngines(t, 2, one, two)
	one.terminate(t)
	c.assertResumed(t, two, "s", "v1")
}

// An instance that has just started knows of no stream; the others do.
func TestStartedInstanceAsksOthersForSoftwareVersionOfStream(t *testing.T) {
	c := startStreamCluster(t)
	one := c.startInstance(t, "i1")
	defer one.terminate(t)
	c.awaitEngines(t, 2, one)
	version := c.begin(t, one, "s")
	time.Sleep(3 * minReportInterval)
	two := c.startInstance(t, "i2")
	defer two.terminate(t)
	c.awaitEngines(t, 2, two)
	awaitPeers(t, one, two)
	c.assertResumed(t, two, "s", version)
}

func TestStreamIsResumedAtItsSoftwareVersionInLargeFleet(t *testing.T) {
	c := startStreamCluster(t)
	all := c.startLargeFleet(t)
	c.configureStreams(t, 2)
	for _, i := range all {
		eventually(t, "the configuration with streams", func() bool { return i.node.gateway.Config().Version == 2 })
	}
	c.awaitEngines(t, 2, all...)
	version := c.begin(t, all[0], "s")
	all[0].terminate(t)
	all[0].runErr <- nil // for the end of the fleet
	for _, i := range all[1:] {
		c.assertResumed(t, i, "s", version)
	}
}

// All instances are lost at once. A stream may go on if the store has recorded where it began, or if one version
// alone has served lately.
func TestStreamIsResumedAfterLossOfAllInstancesOnlyAtItsSoftwareVersion(t *testing.T) {
	const ok, refused = http.StatusOK, http.StatusServiceUnavailable
	for name, test := range map[string]struct {
		before, after  []string // versions that serve before and after the loss
		named, unnamed int      // status of take-ups that name the request which began the stream, or do not
	}{
		"one version":              {[]string{"v1"}, []string{"v1"}, ok, ok},
		"another version is gone":  {[]string{"v1", "v2"}, []string{"v1"}, ok, refused},
		"its version is gone":      {[]string{"v1", "v2"}, []string{"v2"}, refused, refused},
		"another version is new":   {[]string{"v1"}, []string{"v1", "v2"}, refused, refused},
		"several versions serve":   {[]string{"v1", "v2"}, []string{"v1", "v2"}, ok, refused},
		"replaced by another one":  {[]string{"v2"}, []string{"v1"}, refused, refused},
		"no instance before these": {nil, []string{"v1"}, ok, ok},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := startStreamCluster(t)
			c.serveOnly(t, test.before)
			stream := "s"
			if test.before != nil {
				one := c.startInstance(t, "i1")
				c.awaitEngines(t, len(test.before), one)
				for c.begin(t, one, stream) != test.before[0] {
					stream += "+"
				}
				c.awaitVersionRecord(t)
				if len(test.before) > 1 {
					c.awaitStreamRecord(t, stream)
				}
				one.terminate(t)
			}
			c.serveOnly(t, test.after)
			two := c.startInstance(t, "i1")
			defer two.terminate(t)
			c.awaitEngines(t, len(test.after), two)
			joined := c.engines["v2"].resumed.Load()
			assert.Equal(t, two.resume(t, "r", stream), test.named)
			assert.Equal(t, two.resume(t, "r2", ""), test.unnamed, "the request that began the stream is not named")
			time.Sleep(time.Second)
			assert.Equal(t, two.resume(t, "r3", stream), test.named)
			if test.before != nil && test.before[0] == "v1" {
				assert.Equal(t, c.engines["v2"].resumed.Load(), joined, "a stream of v1 went on at v2")
			}
		})
	}
}

// awaitVersionRecord waits for the record of the versions that serve, but no longer than it
// usually takes.
func (c *streamCluster) awaitVersionRecord(t *testing.T) {
	t.Helper()
	for range 60 {
		if list, err := c.store.List(t.Context(), "savoryweir-software-versions", ""); err == nil && len(list) > 0 {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// awaitStreamRecord waits until the store has recorded a stream.
func (c *streamCluster) awaitStreamRecord(t *testing.T, request string) {
	t.Helper()
	eventually(t, "the record of the stream", func() bool {
		list, err := c.store.List(t.Context(), kindStreamRecord, "")
		assert.NilError(t, err)
		for _, o := range list {
			begun, err := decodeStreamRecord(o.Data)
			assert.NilError(t, err)
			for _, ids := range begun {
				if slices.Contains(ids, streams.IDOf(request)) {
					return true
				}
			}
		}
		return false
	})
}

// serveOnly registers the engines of the given versions and removes the others.
func (c *streamCluster) serveOnly(t *testing.T, versions []string) {
	t.Helper()
	for _, version := range []string{"v1", "v2"} {
		_, err := c.store.Get(t.Context(), platform.KindUpstreams, object.Name("engine-"+version))
		listed, wanted := err == nil, strings.Contains(strings.Join(versions, " "), version)
		if listed && !wanted {
			c.remove(t, version)
		}
		if !listed && wanted {
			c.register(t, version)
		}
	}
}

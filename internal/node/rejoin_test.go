package node

import (
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"net/url"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"savoryweir/internal/coordination/restore"
	"savoryweir/internal/node/storewatch"
	"savoryweir/internal/standin/objectapi"
	"savoryweir/internal/state/object"
	"savoryweir/platform"
)

// recordedVersions returns the record of the versions that have served lately.
func (c *streamCluster) recordedVersions(t *testing.T) string {
	t.Helper()
	o, err := c.store.Get(t.Context(), kindSoftwareVersions, nameSoftwareVersions)
	if err != nil {
		return ""
	}
	return string(o.Data)
}

// beginAtNewVersion has v1 serve, calls prepare once that is recorded, lets v2 serve beside it, and
// begins a stream at v2. It returns the request that began it.
func (c *streamCluster) beginAtNewVersion(t *testing.T, i *instance, prepare func()) string {
	t.Helper()
	eventually(t, "the record of v1", func() bool { return strings.Contains(c.recordedVersions(t), "v1") })
	prepare()
	c.register(t, "v2")
	c.awaitEngines(t, 2, i)
	id := "s"
	for c.begin(t, i, id) != "v2" {
		id += "+"
	}
	eventually(t, "the record of v2", func() bool { return strings.Contains(c.recordedVersions(t), "v2") })
	return id
}

// beginAtNewVersionAfterBackup makes a copy of the store while v1 alone serves, and then begins a stream at v2.
func (c *streamCluster) beginAtNewVersionAfterBackup(t *testing.T, i *instance) (id string, backup objectapi.Backup) {
	t.Helper()
	id = c.beginAtNewVersion(t, i, func() { backup = c.store.Backup() })
	return id, backup
}

// assertNotJoinedAfterLossOf replaces the only instance, which must then refuse for a time to continue a stream of v2 at
// v1, the only version that serves.
func (c *streamCluster) assertNotJoinedAfterLossOf(t *testing.T, lost *instance, id string, d time.Duration) {
	t.Helper()
	lost.terminate(t)
	next := c.startInstance(t, "i1")
	defer next.terminate(t)
	c.awaitEngines(t, 1, next)
	assertRefused(t, next, id, d)
	assert.Equal(t, c.engines["v1"].resumed.Load(), int64(0))
}

// All instances are lost after v2 has gone. The store's stale reads are from before it came.
func TestStreamOfGoneVersionIsNotJoinedAfterStaleReadOfRecord(t *testing.T) {
	c := startStreamCluster(t)
	c.serveOnly(t, []string{"v1"})
	one := c.startInstance(t, "i1")
	c.awaitEngines(t, 1, one)
	id := c.beginAtNewVersion(t, one, func() { c.store.SetStale(true) })
	c.remove(t, "v2")
	c.assertNotJoinedAfterLossOf(t, one, id, rewriteDelay)
}

// The store comes back from a copy in which the record lacks v2; the engine of v2 is gone too.
func TestStreamOfGoneVersionIsNotJoinedAfterRestoreOfStore(t *testing.T) {
	c := startStreamCluster(t)
	c.serveOnly(t, []string{"v1"})
	one := c.startInstance(t, "i1")
	c.awaitEngines(t, 1, one)
	id, backup := c.beginAtNewVersionAfterBackup(t, one)
	c.store.Restore(backup)
	eventually(t, "the record of v2 in the restored store", func() bool { return strings.Contains(c.recordedVersions(t), "v2") })
	c.assertNotJoinedAfterLossOf(t, one, id, restore.RewriteTime+rewriteDelay)
}

// An instance that has just started can't list the upstreams, and hears of one of them from others. The
// record lacks v2, which has just come.
func TestStreamIsNotJoinedBeforeUpstreamsAreListed(t *testing.T) {
	c := startStreamCluster(t)
	c.put(t, kindSoftwareVersions, nameSoftwareVersions, `{"served":[{"service":"streams","version":"v1"}]}`)
	target, err := url.Parse(c.storeURL)
	assert.NilError(t, err)
	proxy := httputil.NewSingleHostReverseProxy(target)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasSuffix(r.URL.Path, string(platform.KindUpstreams)) {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		proxy.ServeHTTP(w, r)
	}))
	t.Cleanup(server.Close)
	c.storeURL = server.URL
	one := c.startInstance(t, "i1")
	defer one.terminate(t)
	entry, err := c.store.Get(t.Context(), platform.KindUpstreams, "engine-v1")
	assert.NilError(t, err)
	one.node.upstreamInformer.ReceiveChanges(storewatch.Changes{Next: entry.Version, Events: []object.Event{{Object: entry}}})
	eventually(t, "the configuration, the record and the upstream", func() bool {
		one.node.streams.mu.Lock()
		defer one.node.streams.mu.Unlock()
		return one.node.gateway.Config() != nil && one.node.streams.tracker.KnowsPast(time.Now()) && one.node.registry.View().Count() == 1
	})
	assert.Equal(t, one.resume(t, "r", "begun at v2"), http.StatusServiceUnavailable)
	assert.Equal(t, c.engines["v1"].resumed.Load(), int64(0))
}

package node

import (
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"net/url"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"savoryweir/internal/state/object"
	"savoryweir/platform"
)

// storeProxy stands between an instance and the store, and can hold watches of upstreams or refuse all calls.
type storeProxy struct {
	holdsWatches, refuses atomic.Bool
	upstreamLists         atomic.Int64
	refusedKind           object.Kind // set before instances start; empty for none
}

// startStoreProxy puts a proxy before the store for the instances that are started next.
func (c *cluster) startStoreProxy(t *testing.T) *storeProxy {
	t.Helper()
	target, err := url.Parse(c.storeURL)
	assert.NilError(t, err)
	proxy, p := httputil.NewSingleHostReverseProxy(target), &storeProxy{}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		isUpstreams, isWatch := strings.HasSuffix(r.URL.Path, string(platform.KindUpstreams)), r.URL.Query().Has("watch")
		switch {
		case p.refuses.Load(), p.refusedKind != "" && strings.Contains(r.URL.Path, string(p.refusedKind)):
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		case isUpstreams && isWatch:
			for p.holdsWatches.Load() {
				select {
				case <-r.Context().Done():
					return
				case <-time.After(5 * time.Millisecond):
				}
			}
		case isUpstreams:
			p.upstreamLists.Add(1)
		}
		proxy.ServeHTTP(w, r)
	}))
	t.Cleanup(server.Close)
	c.storeURL = server.URL
	return p
}

// startBehindProxy starts an instance with a proxy before the store, and waits until it takes up streams of v1, the only version
// that serves.
func startBehindProxy(t *testing.T) (*streamCluster, *storeProxy, *instance) {
	t.Helper()
	c := startStreamCluster(t)
	c.serveOnly(t, []string{"v1"})
	proxy := c.startStoreProxy(t)
	one := c.startInstance(t, "i1")
	c.awaitEngines(t, 1, one)
	eventually(t, "the record of versions", func() bool { return one.resume(t, "r0", "begun at v1") == http.StatusOK })
	return c, proxy, one
}

// An instance stood still, or its watches get no answer, while engines of another version joined. A stream that began there
// through another instance was taken up here and went on at the only version that was known.
func TestStreamIsNotJoinedAtInstanceThatIsOutOfStep(t *testing.T) {
	c, proxy, one := startBehindProxy(t)
	defer one.terminate(t)
	joined := c.engines["v1"].resumed.Load()
	proxy.holdsWatches.Store(true)
	time.Sleep(100 * time.Millisecond) // changes that a watch has found arrive
	c.register(t, "v2")
	time.Sleep(50 * time.Millisecond)
	assert.Equal(t, one.resume(t, "r1", "begun at v2"), http.StatusServiceUnavailable)
	assert.Equal(t, one.resume(t, "r2", ""), http.StatusServiceUnavailable, "the request that began the stream is not named")
	assert.Equal(t, c.engines["v1"].resumed.Load(), joined, "streams of v2 went on at v1")
}

// Another instance has seen newer entries than this one, and the store doesn't answer. Without the other instance nobody else
// can have begun a stream, and the loss of the store alone must not end streams.
func TestStreamsAreTakenUpWhileStoreIsAwayUnlessOthersAreAhead(t *testing.T) {
	_, proxy, one := startBehindProxy(t)
	defer one.terminate(t)
	proxy.refuses.Store(true)
	assert.Equal(t, one.resume(t, "r1", "begun at v1"), http.StatusOK)
	one.node.reporter.mu.Lock()
	one.node.reporter.newestPeerUpstream = one.node.upstreamInformer.NewestVersion() + 1
	one.node.reporter.mu.Unlock()
	assert.Equal(t, one.resume(t, "r2", "begun elsewhere"), http.StatusServiceUnavailable)
}

// Many callers take up streams at once, which costs a few calls to the store.
func TestTakeUpsShareCallsToStore(t *testing.T) {
	_, proxy, one := startBehindProxy(t)
	defer one.terminate(t)
	before, beganAt := proxy.upstreamLists.Load(), time.Now()
	const count = 60
	done := make(chan int, count)
	for range count {
		go func() { done <- one.resume(t, "r", "begun at v1") }()
	}
	for range count {
		assert.Equal(t, <-done, http.StatusOK)
	}
	most := 2 + int64(time.Since(beganAt)/minVersionCheckGap)
	assert.Assert(t, proxy.upstreamLists.Load()-before <= most, "%d lists", proxy.upstreamLists.Load()-before)
}

package node

import (
	"fmt"
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
	"savoryweir/internal/state/streams"
)

// beginAtEach begins streams at an instance until there is one of each version, and returns them by version.
func (c *streamCluster) beginAtEach(t *testing.T, i *instance, prefix string) map[string]string {
	t.Helper()
	begun := make(map[string]string)
	for n := 0; len(begun) < 2; n++ {
		id := fmt.Sprint(prefix, n)
		begun[c.begin(t, i, id)] = id
	}
	for _, id := range begun {
		c.awaitStreamRecord(t, id)
	}
	return begun
}

// assertTakenUp takes up one stream of each version.
func (c *streamCluster) assertTakenUp(t *testing.T, i *instance, begun map[string]string) {
	t.Helper()
	c.awaitEngines(t, 2, i)
	for version, id := range begun {
		c.assertResumed(t, i, id, version)
	}
}

// Instances are lost again and again. What the earlier ones have recorded must not be overwritten by the first
// streams of the next.
func TestStreamsAreResumedAfterSeveralLossesOfAllInstances(t *testing.T) {
	c := startStreamCluster(t)
	var all []map[string]string
	for n := range 3 {
		i := c.startInstance(t, "i1")
		c.awaitEngines(t, 2, i)
		for _, begun := range all {
			c.assertTakenUp(t, i, begun)
		}
		all = append(all, c.beginAtEach(t, i, fmt.Sprint("s", n, "-")))
		i.terminate(t)
	}
	last := c.startInstance(t, "i1")
	defer last.terminate(t)
	for _, begun := range all {
		c.assertTakenUp(t, last, begun)
	}
}

// The store comes back from a copy without the streams, while the instances that know them live.
func TestStreamsAreRecordedAgainAfterRestoreOfStore(t *testing.T) {
	c := startStreamCluster(t)
	one := c.startInstance(t, "i1")
	c.awaitEngines(t, 2, one)
	backup := c.store.Backup()
	begun := c.beginAtEach(t, one, "s")
	c.store.Restore(backup)
	for _, id := range begun {
		c.awaitStreamRecord(t, id)
	}
	one.terminate(t)
	two := c.startInstance(t, "i1")
	defer two.terminate(t)
	c.assertTakenUp(t, two, begun)
}

// The store refuses calls while streams begin. The instance no longer watches it then, so that it is no recorder for a while,
// with streams in hand that it has not written.
func TestStreamsBegunDuringOutageOfStoreAreRecordedAfterIt(t *testing.T) {
	c := startStreamCluster(t)
	proxy := c.startStoreProxy(t)
	one := c.startInstance(t, "i1")
	defer one.terminate(t)
	c.awaitEngines(t, 2, one)
	c.beginAtEach(t, one, "before")
	proxy.refuses.Store(true)
	for n := range 4 {
		c.begin(t, one, fmt.Sprint("during", n))
		time.Sleep(streamRecordInterval)
	}
	eventually(t, "the end of the instance's watches", func() bool { return !one.node.reporter.isStreamRecorder(time.Now()) })
	time.Sleep(2 * one.node.storeRetryDelay())
	proxy.refuses.Store(false)
	for n := range 4 {
		c.awaitStreamRecord(t, fmt.Sprint("during", n))
	}
}

// In a large fleet the aggregators record the streams of their availability zone.
func TestStreamsOfLargeFleetAreResumedAfterLossOfAllInstances(t *testing.T) {
	c := startStreamCluster(t)
	all := c.startLargeFleet(t)
	c.configureStreams(t, 2)
	for _, i := range all {
		eventually(t, "the configuration with streams", func() bool { return i.node.gateway.Config().Version == 2 })
	}
	c.awaitEngines(t, 2, all...)
	begun := c.beginAtEach(t, all[len(all)-1], "s")
	for _, i := range all {
		i.terminate(t)
		i.runErr <- nil // for the end of the fleet
	}
	next := c.startInstance(t, "i1")
	defer next.terminate(t)
	c.assertTakenUp(t, next, begun)
}

// A stream that is in no record is refused, also while the store can't be read, and its caller does not wait long.
func TestStreamThatIsNotRecordedIsRefusedInTime(t *testing.T) {
	c := startStreamCluster(t)
	target, err := url.Parse(c.storeURL)
	assert.NilError(t, err)
	proxy := httputil.NewSingleHostReverseProxy(target)
	var reads atomic.Int64
	isDown := atomic.Bool{}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.Contains(r.URL.Path, string(kindStreamRecord)) {
			reads.Add(1)
			if isDown.Load() {
				w.WriteHeader(http.StatusServiceUnavailable)
				return
			}
		}
		proxy.ServeHTTP(w, r)
	}))
	t.Cleanup(server.Close)
	c.storeURL = server.URL
	one := c.startInstance(t, "i1")
	defer one.terminate(t)
	c.awaitEngines(t, 2, one)
	for _, down := range []bool{true, false} {
		isDown.Store(down)
		time.Sleep(one.node.storeRetryDelay())
		before, beganAt := reads.Load(), time.Now()
		for n := range 4 {
			assert.Equal(t, one.resume(t, fmt.Sprint(down, n), "began nowhere"), http.StatusServiceUnavailable)
		}
		assert.Assert(t, reads.Load() > before)
		most := int64(time.Since(beganAt)/one.node.storeRetryDelay()+1) * maxRecordReads
		assert.Assert(t, reads.Load()-before <= most, "%d reads", reads.Load()-before)
	}
}

// A damaged segment costs its own streams alone.
func TestUnreadableSegmentHidesNoOthers(t *testing.T) {
	c := startStreamCluster(t)
	one := c.startInstance(t, "i1")
	c.awaitEngines(t, 2, one)
	begun := c.beginAtEach(t, one, "s")
	one.terminate(t)
	for name, data := range map[string]string{"i0.0": `{"streams":7}`, "odd": `{"streams":[{"service":"streams","version":"v1","ids":"AQI="},{}]}`, "i1.99": `null`, "i1.x.2": `{}`} {
		_, err := c.store.Create(t.Context(), kindStreamRecord, object.Name(name), []byte(data))
		assert.NilError(t, err)
	}
	two := c.startInstance(t, "i1")
	defer two.terminate(t)
	c.assertTakenUp(t, two, begun)
}

func FuzzStreamRecordDecodesWithoutPanic(f *testing.F) {
	data, err := encodeStreamRecord(map[streams.Origin][]streams.ID{{Service: "s", Version: "v"}: {1, 2}})
	assert.NilError(f, err)
	f.Add(data)
	f.Fuzz(func(t *testing.T, data []byte) {
		begun, err := decodeStreamRecord(data)
		if err != nil {
			return
		}
		again, err := encodeStreamRecord(begun)
		assert.NilError(t, err)
		decoded, err := decodeStreamRecord(again)
		assert.NilError(t, err)
		assert.Equal(t, len(decoded), len(begun))
	})
}

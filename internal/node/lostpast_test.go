package node

import (
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"savoryweir/internal/coordination/restore"
	"savoryweir/internal/standin/objectapi"
	"savoryweir/internal/state/streams"
)

// awaitPastKnown waits until an instance knows which versions have served lately.
func awaitPastKnown(t *testing.T, i *instance) {
	t.Helper()
	eventually(t, "the versions that have served", func() bool { return i.node.streams.past().knowsPast })
}

// assertUnknown takes a stream up. It must be refused, and the caller told when to return.
func assertUnknown(t *testing.T, i *instance, resumed string) {
	t.Helper()
	response := i.stream(t, "r", map[string]string{"Last-Event-Id": "1", "Resumes": resumed})
	assert.NilError(t, response.Body.Close())
	assert.Equal(t, response.StatusCode, http.StatusServiceUnavailable)
	seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
	assert.NilError(t, err)
	assert.Assert(t, seconds > 0 && seconds < 1.3*streams.Retention.Seconds(), "%f", seconds)
}

// Engines of v2 come after the copy of the store was made, begin streams and are gone before all instances are lost and the store
// comes back. Instances that started then took the copy for the past, and v1 for the only version: streams of v2 went on at v1.
func TestStreamOfVersionThatHasLeftIsNotJoinedAfterRestoreOfStoreAndLossOfAll(t *testing.T) {
	for name, test := range map[string]struct {
		copyBeforeStart bool
		drill           func(t *testing.T, c *streamCluster, one *instance, backup objectapi.Backup) *instance
	}{
		"killed as the store goes away": {false, func(t *testing.T, c *streamCluster, one *instance, backup objectapi.Backup) *instance {
			one.terminate(t)
			c.store.Restore(backup)
			return c.startInstance(t, "i1")
		}},
		"copy without any record": {true, func(t *testing.T, c *streamCluster, one *instance, backup objectapi.Backup) *instance {
			one.terminate(t)
			c.store.Restore(backup)
			return c.startInstance(t, "i1")
		}},
		"killed while the store is away": {false, func(t *testing.T, c *streamCluster, one *instance, backup objectapi.Backup) *instance {
			c.store.SetFaults(objectapi.Faults{Outage: true})
			one.terminate(t)
			next := c.startInstance(t, "i1")
			time.Sleep(500 * time.Millisecond)
			c.store.Restore(backup)
			c.store.SetFaults(objectapi.Faults{})
			return next
		}},
		"killed just after the return": {false, func(t *testing.T, c *streamCluster, one *instance, backup objectapi.Backup) *instance {
			c.store.Restore(backup)
			eventually(t, "the store's return", func() bool { return one.node.store.Era() == 1 })
			one.terminate(t)
			return c.startInstance(t, "i1")
		}},
		"the store comes back twice": {false, func(t *testing.T, c *streamCluster, one *instance, backup objectapi.Backup) *instance {
			one.terminate(t)
			c.store.Restore(backup)
			between := c.startInstance(t, "i1")
			eventually(t, "the record in the second era", func() bool { return strings.Contains(c.recordedVersions(t), `"era":1`) })
			second := c.store.Backup()
			between.terminate(t)
			c.store.Restore(second)
			return c.startInstance(t, "i1")
		}},
		"killed once more after the return": {false, func(t *testing.T, c *streamCluster, one *instance, backup objectapi.Backup) *instance {
			one.terminate(t)
			c.store.Restore(backup)
			between := c.startInstance(t, "i1")
			eventually(t, "the record in the second era", func() bool { return strings.Contains(c.recordedVersions(t), `"era":1`) })
			between.terminate(t)
			return c.startInstance(t, "i1")
		}},
		"one instance after another is killed": {false, func(t *testing.T, c *streamCluster, one *instance, backup objectapi.Backup) *instance {
			one.terminate(t)
			c.store.Restore(backup)
			second := c.startInstance(t, "i1")
			third := c.startInstance(t, "i2")
			awaitPeers(t, second, third)
			second.terminate(t)
			return third
		}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := startStreamCluster(t)
			c.serveOnly(t, []string{"v1"})
			empty := c.store.Backup()
			one := c.startInstance(t, "i1")
			c.awaitEngines(t, 1, one)
			id, backup := c.beginAtNewVersionAfterBackup(t, one)
			c.remove(t, "v2")
			c.awaitEngines(t, 1, one)
			if test.copyBeforeStart {
				backup = empty
			}
			next := test.drill(t, c, one, backup)
			defer next.terminate(t)
			c.awaitEngines(t, 1, next)
			assertRefused(t, next, id, restore.RewriteTime+rewriteDelay)
			assert.Equal(t, c.engines["v1"].resumed.Load(), int64(0), "a stream of v2 went on at v1")
		})
	}
}

// What nobody knows is refused for as long as callers may take it up, and no longer. Streams that begin meanwhile are known, also when
// all instances are lost once more.
func TestStreamsThatBeginAfterLossOfPastGoOn(t *testing.T) {
	c := startStreamCluster(t)
	c.serveOnly(t, []string{"v1"})
	c.store.Restore(c.store.Backup())
	one := c.startInstance(t, "i1")
	c.awaitEngines(t, 1, one)
	assert.Equal(t, c.begin(t, one, "new"), "v1")
	time.Sleep(restore.RewriteTime)
	assertUnknown(t, one, "from before")
	c.assertResumed(t, one, "new", "v1")
	c.awaitStreamRecord(t, "new")
	one.terminate(t)
	next := c.startInstance(t, "i1")
	defer next.terminate(t)
	c.awaitEngines(t, 1, next)
	c.assertResumed(t, next, "new", "v1")
	next.node.streams.mu.Lock()
	next.node.streams.tracker.LosePast(time.Now().Add(-streams.Retention))
	next.node.streams.mu.Unlock()
	eventually(t, "that any stream goes on", func() bool { return next.resume(t, "r", "of the only version") == http.StatusOK })
}

// An instance that has followed the store until it went away knows the past, and tells those that start after its return. They
// refused all streams, although one version alone had served.
func TestStreamsGoOnAfterRestoreOfStoreIfOneInstanceSurvives(t *testing.T) {
	c := startStreamCluster(t)
	c.serveOnly(t, []string{"v1"})
	one, lost := c.startInstance(t, "i1"), c.startInstance(t, "i2")
	defer one.terminate(t)
	c.awaitEngines(t, 1, one, lost)
	awaitPeers(t, one, lost)
	awaitPastKnown(t, one)
	backup := c.store.Backup()
	lost.terminate(t)
	c.store.SetFaults(objectapi.Faults{Outage: true})
	next := c.startInstance(t, "i2")
	defer next.terminate(t)
	time.Sleep(500 * time.Millisecond)
	c.store.Restore(backup)
	c.store.SetFaults(objectapi.Faults{})
	for _, i := range []*instance{one, next} {
		c.awaitEngines(t, 1, i)
		eventually(t, "that a stream goes on", func() bool { return i.resume(t, "r", "begun at v1") == http.StatusOK })
	}
}

// The instance that has survived knows a version that has left. Those that start after the store's return learn of it.
func TestStreamOfVersionThatHasLeftIsNotJoinedIfOneInstanceSurvives(t *testing.T) {
	c := startStreamCluster(t)
	c.serveOnly(t, []string{"v1"})
	one := c.startInstance(t, "i1")
	defer one.terminate(t)
	c.awaitEngines(t, 1, one)
	awaitPastKnown(t, one)
	_, backup := c.beginAtNewVersionAfterBackup(t, one)
	c.remove(t, "v2")
	c.store.Restore(backup)
	next := c.startInstance(t, "i2")
	defer next.terminate(t)
	c.awaitEngines(t, 1, next)
	awaitPastKnown(t, next)
	for _, i := range []*instance{one, next} {
		assertRefused(t, i, "begun at v2", restore.RewriteTime)
	}
	assert.Equal(t, c.engines["v1"].resumed.Load(), int64(0), "a stream of v2 went on at v1")
}

// The store came back from a copy long ago. The loss of all instances alone ends no streams, as the record of versions is of its
// present era.
func TestStreamsGoOnAfterLossOfAllInLaterEra(t *testing.T) {
	c := startStreamCluster(t)
	c.serveOnly(t, []string{"v1"})
	one := c.startInstance(t, "i1")
	c.awaitEngines(t, 1, one)
	awaitPastKnown(t, one)
	c.store.Restore(c.store.Backup())
	eventually(t, "the record in the second era", func() bool { return strings.Contains(c.recordedVersions(t), `"era":1,"knows_past":true`) })
	one.terminate(t)
	next := c.startInstance(t, "i1")
	defer next.terminate(t)
	c.awaitEngines(t, 1, next)
	eventually(t, "that a stream goes on", func() bool { return next.resume(t, "r", "begun at v1") == http.StatusOK })
}

// In a large fleet the aggregators hear of streams, and beacons tell the past.
func TestStreamOfVersionThatHasLeftIsNotJoinedInLargeFleetAfterRestoreOfStoreAndLossOfAll(t *testing.T) {
	c := startStreamCluster(t)
	c.serveOnly(t, []string{"v1"})
	all := c.startLargeFleet(t)
	c.configureStreams(t, 2)
	for _, i := range all {
		eventually(t, "the configuration with streams", func() bool { return i.node.gateway.Config().Version == 2 })
	}
	c.awaitEngines(t, 1, all...)
	id, backup := c.beginAtNewVersionAfterBackup(t, all[0])
	c.remove(t, "v2")
	for _, i := range all {
		i.terminate(t)
		i.runErr <- nil // for the end of the fleet
	}
	c.store.Restore(backup)
	next := c.startInstance(t, "i1")
	defer next.terminate(t)
	c.awaitEngines(t, 1, next)
	assertRefused(t, next, id, restore.RewriteTime+rewriteDelay)
	assert.Equal(t, c.engines["v1"].resumed.Load(), int64(0), "a stream of v2 went on at v1")
}

// All instances but one are lost in a large fleet. The one tells the others by its beacons what has served.
func TestStreamsGoOnInLargeFleetAfterRestoreOfStoreIfOneInstanceSurvives(t *testing.T) {
	c := startStreamCluster(t)
	c.serveOnly(t, []string{"v1"})
	all := c.startLargeFleet(t)
	c.configureStreams(t, 2)
	c.awaitEngines(t, 1, all...)
	awaitPastKnown(t, all[3])
	c.store.Restore(c.store.Backup())
	next := c.startInstanceWith(t, "i9@y", func(n *Node) { n.reporter.aggregator.minPeers = 4 })
	defer next.terminate(t)
	eventually(t, "the configuration with streams", func() bool { return next.node.gateway.Config() != nil && next.node.gateway.Config().Version == 2 })
	c.awaitEngines(t, 1, next)
	eventually(t, "that a stream goes on", func() bool { return next.resume(t, "r", "begun at v1") == http.StatusOK })
}

const testNewVersionDelay = 20 * time.Second

// withNewVersionDelay has new versions begin no streams while others have room, as instances do unless they are told otherwise.
func withNewVersionDelay(n *Node) { n.settings.Streams.NewVersionDelay = testNewVersionDelay }

// beginMany begins streams, and returns how many of them began at v2.
func (c *streamCluster) beginMany(t *testing.T, prefix string, instances ...*instance) (atNew int) {
	t.Helper()
	for n := range 12 {
		if c.begin(t, instances[n%len(instances)], prefix+strconv.Itoa(n)) == "v2" {
			atNew++
		}
	}
	return atNew
}

// All instances are lost beside a drill of the store, as in the cases above. As new versions begin no streams until copies of the store name
// them, the streams of v1 go on; they were all refused, for v2 might have begun them.
func TestStreamsGoOnAfterRestoreOfStoreAndLossOfAll(t *testing.T) {
	c := startStreamCluster(t)
	c.serveOnly(t, []string{"v1"})
	one, two := c.startInstanceWith(t, "i1", withNewVersionDelay), c.startInstanceWith(t, "i2", withNewVersionDelay)
	c.awaitEngines(t, 1, one, two)
	eventually(t, "the record of v1", func() bool { return strings.Contains(c.recordedVersions(t), "v1") })
	time.Sleep(time.Second) // the lease is renewed
	backup := c.store.Backup()
	c.register(t, "v2")
	c.awaitEngines(t, 2, one, two)
	third := c.startInstanceWith(t, "i3", withNewVersionDelay)
	c.awaitEngines(t, 2, third)
	awaitPastKnown(t, third)
	assert.Equal(t, c.beginMany(t, "s", one, two, third), 0)
	c.remove(t, "v2")
	stopInstances(t, []*instance{one, two, third})
	c.store.Restore(backup)
	next := c.startInstanceWith(t, "i1", withNewVersionDelay)
	defer next.terminate(t)
	c.awaitEngines(t, 1, next)
	assert.Equal(t, c.begin(t, next, "new"), "v1")
	eventually(t, "that a stream goes on", func() bool { return next.resume(t, "r", "s0") == http.StatusOK })
	for n := range 12 {
		c.assertResumed(t, next, "s"+strconv.Itoa(n), "v1")
	}
}

// A new version is used at once where no other one is there, and along with the others after a time.
func TestNewVersionBeginsStreamsWhereOthersAreGone(t *testing.T) {
	c := startStreamCluster(t)
	c.serveOnly(t, []string{"v1"})
	one := c.startInstanceWith(t, "i1", withNewVersionDelay)
	defer one.terminate(t)
	c.awaitEngines(t, 1, one)
	awaitPastKnown(t, one)
	c.register(t, "v2")
	c.awaitEngines(t, 2, one)
	assert.Equal(t, c.beginMany(t, "beside", one), 0)
	c.remove(t, "v1")
	c.awaitEngines(t, 1, one)
	assert.Equal(t, c.beginMany(t, "alone", one), 12)
	c.register(t, "v1")
	c.awaitEngines(t, 2, one)
	one.node.streams.mu.Lock()
	one.node.streams.tracker.LearnRecorded(time.Now(), one.node.streams.tracker.Served(time.Now()), nil) // both have served for long
	one.node.streams.mu.Unlock()
	eventually(t, "streams at both versions", func() bool {
		atNew := c.beginMany(t, strconv.FormatInt(time.Now().UnixNano(), 36), one)
		return atNew > 0 && atNew < 12
	})
}

// cutOffBeforeRestore has an instance run without word of the store's changes, as another one is lost, until the store comes back.
func cutOffBeforeRestore(t *testing.T, prepare func(*Node)) (*streamCluster, *instance) {
	t.Helper()
	c := startStreamCluster(t)
	c.serveOnly(t, []string{"v1"})
	proxy := c.startStoreProxy(t)
	one, lost := c.startInstanceWith(t, "i1", prepare), c.startInstanceWith(t, "i2", prepare)
	c.awaitEngines(t, 1, one, lost)
	awaitPeers(t, one, lost)
	awaitPastKnown(t, one)
	eventually(t, "the record of v1", func() bool { return strings.Contains(c.recordedVersions(t), "v1") })
	time.Sleep(time.Second) // the lease is renewed
	backup := c.store.Backup()
	lost.terminate(t)
	proxy.refuses.Store(true)
	eventually(t, "that nobody tells of changes", func() bool { return one.node.reporter.viewOfStore(time.Now()) == restore.ViewUnconfirmed })
	time.Sleep(3 * time.Second)
	c.store.Restore(backup)
	proxy.refuses.Store(false)
	eventually(t, "the store's return", func() bool { return one.node.store.Era() == 1 })
	return c, one
}

// An instance runs all the while, but had no word of the store's changes before the return. It took what it had seen for the past, although
// the instance that was lost may have begun streams at a version that has left.
func TestStreamIsNotJoinedAtInstanceCutOffBeforeRestoreOfStore(t *testing.T) {
	c, one := cutOffBeforeRestore(t, func(*Node) {})
	defer one.terminate(t)
	assertRefused(t, one, "begun at v2", restore.RewriteTime+rewriteDelay)
	assertUnknown(t, one, "begun at v2")
	assert.Equal(t, c.engines["v1"].resumed.Load(), int64(0), "a stream of v2 went on at v1")
}

// It refused all streams for a minute after the return, although the copy tells the past to instances that start.
func TestStreamsGoOnAtInstanceCutOffBeforeRestoreOfRecentCopy(t *testing.T) {
	_, one := cutOffBeforeRestore(t, withNewVersionDelay)
	defer one.terminate(t)
	eventually(t, "that a stream goes on", func() bool { return one.resume(t, "r", "begun at v1") == http.StatusOK })
}

// A lease record whose clock says that the copy is old: v2 may have begun streams since.
func TestStreamIsNotJoinedAfterRestoreOfOldCopyAndLossOfAll(t *testing.T) {
	c := startStreamCluster(t)
	c.serveOnly(t, []string{"v1"})
	one := c.startInstanceWith(t, "i1", withNewVersionDelay)
	c.awaitEngines(t, 1, one)
	eventually(t, "the record of v1", func() bool { return strings.Contains(c.recordedVersions(t), "v1") })
	backup := c.store.Backup()
	one.terminate(t)
	c.store.Restore(backup)
	o, err := c.store.Get(t.Context(), "savoryweir-leases", "orders")
	assert.NilError(t, err)
	at := time.Now().Add(-testNewVersionDelay).UnixMilli()
	_, err = c.store.Update(t.Context(), o.Kind, o.Name, []byte(`{"holder":"i1","nonce":"n","acted":true,"written_at":`+strconv.FormatInt(at, 10)+`}`), o.Version)
	assert.NilError(t, err)
	next := c.startInstanceWith(t, "i1", withNewVersionDelay)
	defer next.terminate(t)
	c.awaitEngines(t, 1, next)
	assertRefused(t, next, "begun at v2", restore.RewriteTime+rewriteDelay)
	assertUnknown(t, next, "begun at v2")
}

// No instance held the lease when v2 came, so that the record of versions lacks it; the record of streams has what began there. All instances
// are lost, and v2 leaves. An instance that started looked at the record of versions alone, and the stream went on at v1.
func TestRecordedStreamOfVersionThatIsNotInRecordOfVersionsIsNotJoined(t *testing.T) {
	c := startStreamCluster(t)
	c.serveOnly(t, []string{"v1"})
	c.put(t, kindSoftwareVersions, nameSoftwareVersions, `{"served":[{"service":"streams","version":"v1"}]}`)
	data, err := encodeStreamRecord(map[streams.Origin][]streams.ID{{Service: "streams", Version: "v2"}: {streams.IDOf("s")}})
	assert.NilError(t, err)
	c.put(t, kindStreamRecord, "i1.0", string(data))
	one := c.startInstance(t, "i1")
	defer one.terminate(t)
	c.awaitEngines(t, 1, one)
	assertRefused(t, one, "s", time.Second)
	assertRefused(t, one, "not recorded", time.Second)
	assert.Equal(t, c.engines["v1"].resumed.Load(), int64(0), "a stream of v2 went on at v1")
}

// Instances are killed one after another while the store can't be read. Each of those that had started was to ask the others for streams, of
// whom the last one that knew them was then killed too.
func TestStartedInstanceKnowsStreamsOfOthersThatAreLostLater(t *testing.T) {
	c := startStreamCluster(t)
	c.startStoreProxy(t).refusedKind = kindStreamRecord
	one := c.startInstance(t, "i1")
	c.awaitEngines(t, 2, one)
	begun := make(map[string]string)
	for n := 0; len(begun) < 2; n++ {
		id := "s" + strconv.Itoa(n)
		begun[c.begin(t, one, id)] = id
	}
	time.Sleep(5 * minReportInterval) // the streams have been announced
	next := c.startInstance(t, "i2")
	defer next.terminate(t)
	awaitPeers(t, one, next)
	time.Sleep(5 * minReportInterval)
	one.terminate(t)
	c.assertTakenUp(t, next, begun)
}

package node

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"savoryweir/internal/coordination/restore"
)

// rewriteDelay is the time after the store's return in which the operator and the upstreams write again what it lacks.
const rewriteDelay = time.Second

// assertRevoked sends requests with a key for a time. None may be served.
func assertRevoked(t *testing.T, key string, d time.Duration, instances ...*instance) {
	t.Helper()
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		for _, i := range instances {
			assert.Assert(t, i.sendKey(t, key) != http.StatusOK, "a key that was taken away works at %s", i.node.settings.Instance.ID)
		}
	}
}

// The store comes back from a copy that lacks the removal of a key. An instance that started then accepted the key until the operator
// had written again, although the others refused it.
func TestKeyTakenAwayStaysRefusedAtInstanceStartedAfterRestoreOfStore(t *testing.T) {
	c := startCluster(t, respondSealed)
	c.applyKeys(t, 1, "k1", "k2")
	all := []*instance{c.startInstanceWith(t, "i1", withRevoke), c.startInstanceWith(t, "i2", withRevoke)}
	for _, i := range all {
		i.awaitStatus(t, "k1", http.StatusOK)
	}
	backup := c.store.Backup()
	c.applyKeys(t, 2, "k2")
	acknowledged := time.Now()
	for _, i := range all {
		i.awaitStatus(t, "k1", http.StatusUnauthorized)
	}
	time.Sleep(time.Until(acknowledged.Add(testRevoke)))
	c.store.Restore(backup)
	started := c.startInstanceWith(t, "i3", withRevoke)
	defer stopInstances(t, append(all, started))
	assertRevoked(t, "k1", rewriteDelay, all[0], all[1], started)
	c.applyKeys(t, 2, "k2")
	started.awaitStatus(t, "k2", http.StatusOK)
	assertRevoked(t, "k1", restore.RewriteTime, all[0], all[1], started)
}

// All instances start after the store's return, so that nobody knows of the removal.
func TestKeyTakenAwayStaysRefusedIfAllInstancesStartAfterRestoreOfStore(t *testing.T) {
	c := startCluster(t, respondSealed)
	c.applyKeys(t, 1, "k1", "k2")
	former := c.startInstanceWith(t, "i1", withRevoke)
	former.awaitStatus(t, "k1", http.StatusOK)
	backup := c.store.Backup()
	c.applyKeys(t, 2, "k2")
	former.awaitStatus(t, "k1", http.StatusUnauthorized)
	former.terminate(t)
	c.store.Restore(backup)
	one := c.startInstanceWith(t, "i1", withRevoke)
	defer one.terminate(t)
	assertRevoked(t, "k1", rewriteDelay, one)
	c.applyKeys(t, 2, "k2")
	one.awaitStatus(t, "k2", http.StatusOK)
	assert.Equal(t, one.sendKey(t, "k1"), http.StatusUnauthorized)
}

// The removal of a key is acknowledged just before the store goes away, so that an instance that runs all the while has not seen it. The
// store's responses after its return counted as proof that the key holds.
func TestKeyTakenAwayJustBeforeRestoreOfStoreStaysRefusedAtRunningInstance(t *testing.T) {
	c := startCluster(t, respondSealed)
	c.applyKeys(t, 1, "k1", "k2")
	proxy := c.startStoreProxy(t)
	one := c.startInstanceWith(t, "i1", withRevoke)
	defer one.terminate(t)
	one.awaitStatus(t, "k1", http.StatusOK)
	backup := c.store.Backup()
	proxy.refuses.Store(true)
	time.Sleep(testRevoke / 2) // the watch that is under way ends
	c.applyKeys(t, 2, "k2")
	acknowledged := time.Now()
	c.store.Restore(backup)
	time.Sleep(time.Until(acknowledged.Add(testRevoke)))
	proxy.refuses.Store(false)
	eventually(t, "the store's return", func() bool { return one.node.store.Era() == 1 })
	assertRevoked(t, "k1", rewriteDelay, one)
	c.applyKeys(t, 2, "k2")
	one.awaitStatus(t, "k2", http.StatusOK)
	assert.Equal(t, one.sendKey(t, "k1"), http.StatusUnauthorized)
}

// The refusals last no longer than their reason: the proof from before the store's return holds, and an instance that starts after it
// takes over the others'.
func TestKeysWorkThroughRestoreOfStore(t *testing.T) {
	c := startCluster(t, respondSealed)
	c.applyKeys(t, 1, "k1")
	withLongRevoke := func(n *Node) {
		bounds := *n.bounds.Load()
		bounds.Revoke = 3 * restore.RewriteTime
		n.bounds.Store(&bounds)
	}
	one := c.startInstanceWith(t, "i1", withLongRevoke)
	one.awaitStatus(t, "k1", http.StatusOK)
	c.store.Restore(c.store.Backup())
	eventually(t, "the store's return", func() bool { return one.node.store.Era() == 1 })
	started := c.startInstanceWith(t, "i2", withLongRevoke)
	defer stopInstances(t, []*instance{one, started})
	started.awaitStatus(t, "k1", http.StatusOK)
	for end := time.Now().Add(restore.RewriteTime); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		assert.Equal(t, one.sendKey(t, "k1"), http.StatusOK)
		assert.Equal(t, started.sendKey(t, "k1"), http.StatusOK)
	}
}

// assertRefused takes a stream up again and again for a time. It must not go on.
func assertRefused(t *testing.T, i *instance, resumed string, d time.Duration) {
	t.Helper()
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		assert.Equal(t, i.resume(t, "r", resumed), http.StatusServiceUnavailable)
	}
}

// All instances are lost while the store goes away, and it comes back from a copy of before v2 joined. An instance that started then took
// v1 for the only version, before the engine of v2 had written its entry again, and streams of v2 went on at v1.
func TestStreamIsNotJoinedAtInstanceStartedAfterRestoreOfStore(t *testing.T) {
	c := startStreamCluster(t)
	c.serveOnly(t, []string{"v1"})
	one := c.startInstance(t, "i1")
	c.awaitEngines(t, 1, one)
	id, backup := c.beginAtNewVersionAfterBackup(t, one)
	one.terminate(t)
	c.store.Restore(backup)
	next := c.startInstance(t, "i1")
	defer next.terminate(t)
	c.awaitEngines(t, 1, next)
	assertRefused(t, next, id, rewriteDelay)
	c.register(t, "v2")
	assertRefused(t, next, id, restore.RewriteTime)
	assert.Equal(t, c.engines["v1"].resumed.Load(), int64(0))
}

// An instance runs all the while, but v2 joined just before the store went away, and the instance has not seen it.
func TestStreamIsNotJoinedAtRunningInstanceAfterRestoreOfStore(t *testing.T) {
	c, proxy, one := startBehindProxy(t)
	defer one.terminate(t)
	joined := c.engines["v1"].resumed.Load()
	backup := c.store.Backup()
	proxy.refuses.Store(true)
	proxy.holdsWatches.Store(true)
	time.Sleep(100 * time.Millisecond) // changes that a watch has found arrive
	c.register(t, "v2")
	c.store.Restore(backup)
	proxy.refuses.Store(false)
	proxy.holdsWatches.Store(false)
	eventually(t, "the store's return", func() bool { return one.node.store.Era() == 1 })
	assertRefused(t, one, "begun at v2", rewriteDelay)
	c.register(t, "v2")
	assertRefused(t, one, "begun at v2", restore.RewriteTime)
	assert.Equal(t, c.engines["v1"].resumed.Load(), joined)
}

// The store goes away again before the upstreams have written their entries. Its lists from between tell nothing, however long ago
// it came back.
func TestStreamIsNotJoinedIfStoreIsLostAgainSoonAfterRestore(t *testing.T) {
	c, proxy, one := startBehindProxy(t)
	defer one.terminate(t)
	joined := c.engines["v1"].resumed.Load()
	c.store.Restore(c.store.Backup())
	eventually(t, "the list of the copy", func() bool { return one.node.upstreamInformer.Version().Era() == 1 })
	proxy.refuses.Store(true)
	assertRefused(t, one, "begun at v2", restore.RewriteTime+rewriteDelay)
	assert.Equal(t, c.engines["v1"].resumed.Load(), joined)
	proxy.refuses.Store(false)
	eventually(t, "that a stream goes on", func() bool { return one.resume(t, "r", "s1") == http.StatusOK })
	eventually(t, "the entries of all upstreams", func() bool { return one.node.upstreamView.isComplete() })
	proxy.refuses.Store(true)
	assert.Equal(t, one.resume(t, "r", "s2"), http.StatusOK)
}

// The refusals last no longer than their reason, and callers are told when to come back.
func TestStreamsAreTakenUpSoonAfterRestoreOfStore(t *testing.T) {
	c, _, one := startBehindProxy(t)
	c.store.Restore(c.store.Backup())
	eventually(t, "the store's return", func() bool { return one.node.store.Era() == 1 })
	returned := time.Now()
	response := one.stream(t, "r", map[string]string{"Last-Event-Id": "1", "Resumes": "s1"})
	assert.NilError(t, response.Body.Close())
	assert.Equal(t, response.StatusCode, http.StatusServiceUnavailable)
	assert.Assert(t, response.Header.Get("Retry-After") != "")
	time.Sleep(time.Until(returned.Add(restore.RewriteTime)))
	assert.Equal(t, one.resume(t, "r", "s1"), http.StatusOK)
	started := c.startInstance(t, "i2")
	defer stopInstances(t, []*instance{one, started})
	eventually(t, "that the other instance tells when the store came back", func() bool {
		_, age := started.node.store.EraAge()
		return age > time.Since(started.node.startedAt)
	})
	eventually(t, "that a stream goes on", func() bool { return started.resume(t, "r", "s2") == http.StatusOK })
	for _, i := range []*instance{one, started} {
		eventually(t, "the entries of all upstreams", func() bool { return i.node.upstreamView.isComplete() })
	}
}

// The store comes back from a copy that lacks the entries of the other instances. An instance that started then took itself for the only
// one, and the whole of each quota for its share, beside those that it didn't know.
func TestInstanceStartedAfterRestoreOfStoreLendsNoShareBeforeOthersAreListed(t *testing.T) {
	c := startCluster(t, respondSealed)
	c.applyConfig(t, 1, "a")
	c.store.Restore(c.store.Backup()) // the entries of the others are not written again yet
	started := c.startInstance(t, "i1")
	defer started.terminate(t)
	eventually(t, "a list of the instances", func() bool { return started.node.peerLists.calledAt.Load() != 0 })
	for since := time.Now(); time.Since(since) < restore.RewriteTime/2; time.Sleep(10 * time.Millisecond) {
		assert.Assert(t, !started.node.knowsPeers())
	}
	eventually(t, "a complete list", started.node.knowsPeers)
}

// In a fleet of hundreds the instances wrote their entries again for longer than lists count as incomplete. Those that started meanwhile
// took a list without some of them for all, and lent shares of quotas beside them.
func TestInstancesAreListedAgainBeforeListsCountAsComplete(t *testing.T) {
	const targetInstances = 320
	assert.Assert(t, storeRewriteDelay(1) > 0)
	assert.Assert(t, storeRewriteDelay(8) >= 8*storeRewriteDelayPerInstance, "a small store is not called more than a hundred times a second")
	// An instance learns of the store's return by a report of another one at the latest.
	assert.Assert(t, idleReportInterval+storeRewriteDelay(targetInstances) < restore.RewriteTime)
}

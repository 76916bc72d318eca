package bundles

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus/testutil"
	"gotest.tools/v3/assert"

	"savoryweir/internal/errs"
	"savoryweir/internal/protocol/bundlefile"
	"savoryweir/internal/standin/objectapi"
	"savoryweir/internal/state/bundle"
)

// inForceWithin is the target for the time from the acceptance of a bundle until it is
// in force on all instances.
const inForceWithin = 10 * time.Second

// propagationTime is more than a watch, a fetch and two rounds of gossip take.
const propagationTime = 5 * time.Second

func TestApprovedBundleComesIntoForceOnAllInstances(t *testing.T) {
	withVirtualTime(t, func(t *testing.T, b *cluster) {
		watcher, other := b.start(true, objectapi.LinkFaults{}), b.start(false, objectapi.LinkFaults{})
		b.gossip(propagationTime, watcher, other)
		b.wantGeneration(0, watcher, other)
		b.approve(testBundle("1"), "anna", "babis")
		b.gossip(propagationTime, watcher, other)
		b.wantGeneration(1, watcher, other)
		before := b.objects.Counts().Reads()
		b.approve(testBundle("2"), "anna", "babis")
		approving := b.objects.Counts().Reads() - before
		b.gossip(propagationTime, watcher, other)
		b.wantGeneration(2, watcher, other)
		assert.Equal(t, watcher.Current().Bundle.Models[0].Version, "2")
		reads := b.objects.Counts().Reads() - before - approving
		t.Logf("reads of the store for one change: %d", reads)
	})
}

func TestBundleSpreadsDuringStoreOutageOnceAWatcherHasReadIt(t *testing.T) {
	withVirtualTime(t, func(t *testing.T, b *cluster) {
		all := []*instance{b.start(true, objectapi.LinkFaults{}), b.start(false, objectapi.LinkFaults{}), b.start(false, objectapi.LinkFaults{})}
		b.approve(testBundle("1"), "anna", "babis")
		b.gossip(propagationTime, all...)
		b.approve(testBundle("2"), "anna", "babis")
		time.Sleep(10 * time.Millisecond) // the watcher reads the pointer in this time
		b.objects.SetFaults(objectapi.Faults{Outage: true})
		b.gossip(propagationTime, all...)
		b.wantGeneration(2, all...)
		late := b.start(false, objectapi.LinkFaults{})
		b.gossip(propagationTime, append(all, late)...)
		b.wantGeneration(2, append(all, late)...)
	})
}

func TestInstanceStartedDuringStoreOutageFetchesBundleFromPeers(t *testing.T) {
	withVirtualTime(t, func(t *testing.T, b *cluster) {
		running := b.start(true, objectapi.LinkFaults{})
		b.approve(testBundle("1"), "anna", "babis")
		b.gossip(propagationTime, running)
		b.objects.SetFaults(objectapi.Faults{Outage: true})
		started := b.start(true, objectapi.LinkFaults{})
		b.gossip(propagationTime, running, started)
		b.wantGeneration(1, running, started)
	})
}

func TestRestartWithStaleStoreKeepsLatestGeneration(t *testing.T) {
	withVirtualTime(t, func(t *testing.T, b *cluster) {
		running := b.start(true, objectapi.LinkFaults{})
		b.approve(testBundle("1"), "anna", "babis")
		b.gossip(propagationTime, running)
		staleLink := b.start(false, objectapi.LinkFaults{}).link
		staleLink.SetFaults(objectapi.LinkFaults{Stale: true})
		b.approve(testBundle("2"), "anna", "babis")
		b.gossip(propagationTime, running)
		restarted := b.startOn(staleLink, false)
		time.Sleep(time.Second) // the instance reads the stale pointer before a peer answers
		restarted.Offer(running.Head(), running)
		restarted.OnPeersAnswered()
		time.Sleep(propagationTime)
		b.wantGeneration(2, restarted)
		assert.DeepEqual(t, restarted.generations(), []bundle.Generation{2})
		time.Sleep(3 * testSettings.PollInterval)
		assert.DeepEqual(t, restarted.generations(), []bundle.Generation{2})
	})
}

func TestStaleReadOfRunningInstanceIsIgnored(t *testing.T) {
	withVirtualTime(t, func(t *testing.T, b *cluster) {
		poller, watcher := b.start(false, objectapi.LinkFaults{}), b.start(true, objectapi.LinkFaults{})
		b.approve(testBundle("1"), "anna", "babis")
		b.gossip(propagationTime, poller, watcher)
		poller.link.SetFaults(objectapi.LinkFaults{Stale: true})
		b.approve(testBundle("2"), "anna", "babis")
		b.gossip(3*testSettings.PollInterval, poller, watcher)
		b.wantGeneration(2, poller, watcher)
		assert.DeepEqual(t, poller.generations(), []bundle.Generation{1, 2})
		assert.Assert(t, testutil.ToFloat64(poller.metrics.heads.WithLabelValues("older")) > 0)
	})
}

func TestBundleWithTooFewSignaturesIsRejectedEverywhere(t *testing.T) {
	withVirtualTime(t, func(t *testing.T, b *cluster) {
		watcher, other := b.start(true, objectapi.LinkFaults{}), b.start(false, objectapi.LinkFaults{})
		b.approve(testBundle("1"), "anna", "babis")
		b.gossip(propagationTime, watcher, other)
		head := b.approve(testBundle("2"), "anna")
		other.Offer(head, watcher)
		b.gossip(3*testSettings.PollInterval, watcher, other)
		b.wantGeneration(1, watcher, other)
		// An approval with too few signatures that follows a valid one must not hide it from a watcher.
		b.approve(testBundle("3"), "anna", "babis")
		b.approve(testBundle("4"), "anna")
		b.gossip(propagationTime, watcher, other)
		b.wantGeneration(3, watcher, other)
	})
}

// Replaces an operator's key while instances run. An approval that was rejected under
// the former keys must come into force, one signed with the removed key must not, and
// the bundle in force must stay.
func TestReplacedKeysApplyWithoutRestart(t *testing.T) {
	withVirtualTime(t, func(t *testing.T, b *cluster) {
		watchers := []*instance{b.start(true, objectapi.LinkFaults{}), b.start(true, objectapi.LinkFaults{})}
		b.approve(testBundle("1"), "anna", "babis")
		b.gossip(propagationTime, watchers...)
		b.approve(testBundle("2"), "anna", "clio")
		b.gossip(propagationTime, watchers...)
		b.wantGeneration(1, watchers...)
		b.keys.present.Store(policyOf("anna", "clio"))
		b.gossip(testSettings.WatchWait+propagationTime, watchers...) // watch calls in progress are not interrupted
		b.wantGeneration(2, watchers...)
		b.approve(testBundle("3"), "anna", "babis")
		b.gossip(propagationTime, watchers...)
		b.wantGeneration(2, watchers...)
	})
}

func TestInvalidContentIsRejected(t *testing.T) {
	withVirtualTime(t, func(t *testing.T, b *cluster) {
		watcher := b.start(true, objectapi.LinkFaults{})
		content := testBundle("1")
		content.Models[0].Memory = 11
		b.approve(content, "anna", "babis")
		time.Sleep(propagationTime)
		b.wantGeneration(0, watcher)
		assert.Equal(t, testutil.ToFloat64(watcher.metrics.refused), 1.0)
	})
}

func TestReconnectedInstanceSkipsToLatestGeneration(t *testing.T) {
	withVirtualTime(t, func(t *testing.T, b *cluster) {
		watcher, cut := b.start(true, objectapi.LinkFaults{}), b.start(false, objectapi.LinkFaults{})
		b.approve(testBundle("1"), "anna", "babis")
		b.gossip(propagationTime, watcher, cut)
		cut.link.SetFaults(objectapi.LinkFaults{Cut: true})
		for _, version := range []string{"2", "3", "4"} {
			b.approve(testBundle(version), "anna", "babis")
			b.gossip(propagationTime, watcher)
		}
		b.wantGeneration(1, cut)
		b.gossip(propagationTime, watcher, cut)
		b.wantGeneration(4, watcher, cut)
		assert.DeepEqual(t, cut.generations(), []bundle.Generation{1, 4})
	})
}

// All watchers have lost their link to the store, the other instances have not. The
// bundle must reach all instances through an instance that polls.
func TestBundleComesIntoForceWhenAllWatchersLoseTheStore(t *testing.T) {
	withVirtualTime(t, func(t *testing.T, b *cluster) {
		all := []*instance{b.start(true, objectapi.LinkFaults{Cut: true}), b.start(true, objectapi.LinkFaults{Cut: true})}
		for range 6 {
			all = append(all, b.start(false, objectapi.LinkFaults{}))
		}
		b.gossip(propagationTime, all...)
		b.approve(testBundle("1"), "anna", "babis")
		b.gossip(inForceWithin, all...)
		b.wantGeneration(1, all...)
	})
}

// An instance that polls and gets no heads from peers must find a new bundle within one
// and a half poll intervals.
func TestInstanceWithoutPeersFindsBundleByPolling(t *testing.T) {
	withVirtualTime(t, func(t *testing.T, b *cluster) {
		alone := b.start(false, objectapi.LinkFaults{})
		time.Sleep(propagationTime)
		b.approve(testBundle("1"), "anna", "babis")
		time.Sleep(3 * testSettings.PollInterval / 2)
		b.wantGeneration(1, alone)
	})
}

// hangingSource never answers, like a connection that has gone silent.
type hangingSource struct{ name errs.Peer }

func (s hangingSource) Peer() errs.Peer { return s.name }

func (hangingSource) FetchSections(ctx context.Context, _ []bundle.Hash) ([]bundlefile.Section, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

func TestFallbackSupersedesStalledRollout(t *testing.T) {
	withVirtualTime(t, func(t *testing.T, b *cluster) {
		watcher, slow := b.start(true, objectapi.LinkFaults{}), b.start(false, objectapi.LinkFaults{})
		b.approve(testBundle("1"), "anna", "babis")
		b.gossip(propagationTime, watcher, slow)
		slow.link.SetFaults(objectapi.LinkFaults{Cut: true})
		second := b.approve(testBundle("2"), "anna", "babis")
		slow.Offer(second, hangingSource{"silent"}) // the roll-out of generation 2 begins and stalls
		time.Sleep(time.Second)
		b.approve(testBundle("1"), "anna", "babis") // generation 3 has the content of generation 1
		time.Sleep(100 * time.Millisecond)          // the watcher reads the pointer in this time
		b.gossip(2*propagationTime, watcher, slow)
		b.wantGeneration(3, watcher, slow)
		assert.DeepEqual(t, slow.generations(), []bundle.Generation{1, 3})
		assert.Equal(t, slow.Current().Bundle.Models[0].Version, "1")
	})
}

// Ten peers offer the bundle and then stop answering. Waiting for each of them must not
// delay the bundle beyond the target.
func TestSilentPeersDelayBundleWithinTarget(t *testing.T) {
	withVirtualTime(t, func(t *testing.T, b *cluster) {
		i := b.start(false, objectapi.LinkFaults{})
		time.Sleep(propagationTime)
		head := b.approve(testBundle("1"), "anna", "babis")
		const peers = 10
		for n := range peers {
			i.Offer(head, hangingSource{errs.Peer(fmt.Sprint(n))})
		}
		time.Sleep(inForceWithin)
		b.wantGeneration(1, i)
	})
}

// slowSource returns one section a call, just before FetchTimeout expires.
type slowSource struct{ *instance }

func (s slowSource) FetchSections(ctx context.Context, hashes []bundle.Hash) ([]bundlefile.Section, error) {
	time.Sleep(testSettings.FetchTimeout - time.Millisecond)
	return s.instance.FetchSections(ctx, hashes[:1])
}

func TestSlowPeerDelaysBundleWithinTarget(t *testing.T) {
	withVirtualTime(t, func(t *testing.T, b *cluster) {
		holder, waiting := b.start(true, objectapi.LinkFaults{}), b.start(false, objectapi.LinkFaults{})
		time.Sleep(propagationTime)
		b.approve(targetBundle(), "anna", "babis")
		time.Sleep(time.Second)
		b.wantGeneration(1, holder)
		waiting.Offer(holder.Head(), slowSource{holder})
		time.Sleep(inForceWithin)
		b.wantGeneration(1, waiting)
	})
}

// forgingSource returns data that does not match the requested hashes.
type forgingSource struct{}

func (forgingSource) Peer() errs.Peer { return "forger" }

func (forgingSource) FetchSections(_ context.Context, hashes []bundle.Hash) ([]bundlefile.Section, error) {
	var sections []bundlefile.Section
	for _, hash := range hashes {
		sections = append(sections, bundlefile.Section{Hash: hash, Data: []byte("forged")})
	}
	return sections, nil
}

func TestForgedHeadsAndSectionsAreRejected(t *testing.T) {
	withVirtualTime(t, func(t *testing.T, b *cluster) {
		victim := b.start(false, objectapi.LinkFaults{})
		time.Sleep(propagationTime)
		victim.Offer(bundle.Head{Generation: 1 << 40, Approval: bundle.HashOf([]byte("none"))}, forgingSource{})
		genuine := b.approve(testBundle("1"), "anna", "babis")
		victim.Offer(genuine, forgingSource{})
		time.Sleep(propagationTime)
		b.wantGeneration(1, victim)
		// A valid approval must not be accepted for another generation.
		replayed := genuine
		replayed.Generation = 9
		victim.Offer(replayed, forgingSource{})
		time.Sleep(propagationTime)
		b.wantGeneration(1, victim)
		assert.Equal(t, testutil.ToFloat64(victim.metrics.refused), 1.0)
	})
}

func TestOnlyChangedSectionsAreFetched(t *testing.T) {
	withVirtualTime(t, func(t *testing.T, b *cluster) {
		watcher, other := b.start(true, objectapi.LinkFaults{}), b.start(false, objectapi.LinkFaults{})
		b.approve(testBundle("1"), "anna", "babis")
		b.gossip(propagationTime, watcher, other)
		whole := testutil.ToFloat64(other.metrics.fetched)
		b.approve(testBundle("2"), "anna", "babis")
		b.gossip(propagationTime, watcher, other)
		changed := testutil.ToFloat64(other.metrics.fetched) - whole
		current := other.Current()
		want := len(current.Approval.Data) + len(current.Manifest.Data)
		for _, s := range current.Sections {
			if string(s.Data[:6]) == "[model" {
				want += len(s.Data)
			}
		}
		assert.Equal(t, int(changed), want)
		t.Logf("whole bundle %d bytes, one change %d bytes, of which the approval %d", int(whole), want, len(current.Approval.Data))
	})
}

func TestInstancesDoNotOverloadStoreAfterLongOutage(t *testing.T) {
	withVirtualTime(t, func(t *testing.T, b *cluster) {
		var all []*instance
		const instances, watchers = 32, 3
		for i := range instances {
			all = append(all, b.start(i < watchers, objectapi.LinkFaults{}))
		}
		b.approve(testBundle("1"), "anna", "babis")
		b.gossip(propagationTime, all...)
		b.objects.SetFaults(objectapi.Faults{Outage: true})
		const outage = 10 * time.Minute
		before := b.objects.Counts().Reads()
		time.Sleep(outage)
		during := b.objects.Counts().Reads() - before
		b.objects.SetFaults(objectapi.Faults{})
		var busiest uint64
		for range 60 {
			before = b.objects.Counts().Reads()
			time.Sleep(time.Second)
			busiest = max(busiest, b.objects.Counts().Reads()-before)
		}
		t.Logf("%d instances: %d calls in %s of outage, at most %d in one second after it", instances, during, outage, busiest)
		assert.Assert(t, busiest <= instances/4, "more than a quarter of the instances call the store in the same second")
		b.approve(testBundle("2"), "anna", "babis")
		b.gossip(propagationTime, all...)
		b.wantGeneration(2, all...)
	})
}

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

// inForceWithin is the target for an accepted bundle to be in force everywhere.
const inForceWithin = 10 * time.Second

const spread = 5 * time.Second // more than enough for a watch, a fetch and two rounds between peers

func TestAcceptedBundleComesIntoForce(t *testing.T) {
	inBubble(t, func(t *testing.T, b *bench) {
		watcher, other := b.start(true, objectapi.LinkFaults{}), b.start(false, objectapi.LinkFaults{})
		b.gossip(spread, watcher, other)
		b.wantGeneration(0, watcher, other)
		b.approve(testBundle("1"), "anna", "babis")
		b.gossip(spread, watcher, other)
		b.wantGeneration(1, watcher, other)
		before := b.memory.Counts().Reads()
		b.approve(testBundle("2"), "anna", "babis")
		approving := b.memory.Counts().Reads() - before
		b.gossip(spread, watcher, other)
		b.wantGeneration(2, watcher, other)
		assert.Equal(t, watcher.Current().Bundle.Models[0].Version, "2")
		reads := b.memory.Counts().Reads() - before - approving
		t.Logf("reads of the store for one change: %d", reads)
	})
}

func TestStoreOutageRightAfterAcceptance(t *testing.T) {
	inBubble(t, func(t *testing.T, b *bench) {
		all := []*instance{b.start(true, objectapi.LinkFaults{}), b.start(false, objectapi.LinkFaults{}), b.start(false, objectapi.LinkFaults{})}
		b.approve(testBundle("1"), "anna", "babis")
		b.gossip(spread, all...)
		b.approve(testBundle("2"), "anna", "babis")
		time.Sleep(10 * time.Millisecond) // the watcher has read it
		b.memory.SetFaults(objectapi.Faults{Outage: true})
		b.gossip(spread, all...)
		b.wantGeneration(2, all...)
		late := b.start(false, objectapi.LinkFaults{})
		b.gossip(spread, append(all, late)...)
		b.wantGeneration(2, append(all, late)...)
	})
}

func TestStartWhileStoreIsDownTakesTheBundleFromPeers(t *testing.T) {
	inBubble(t, func(t *testing.T, b *bench) {
		running := b.start(true, objectapi.LinkFaults{})
		b.approve(testBundle("1"), "anna", "babis")
		b.gossip(spread, running)
		b.memory.SetFaults(objectapi.Faults{Outage: true})
		started := b.start(true, objectapi.LinkFaults{})
		b.gossip(spread, running, started)
		b.wantGeneration(1, running, started)
	})
}

func TestRestartWithStaleStoreNeverReverts(t *testing.T) {
	inBubble(t, func(t *testing.T, b *bench) {
		running := b.start(true, objectapi.LinkFaults{})
		b.approve(testBundle("1"), "anna", "babis")
		b.gossip(spread, running)
		staleLink := b.start(false, objectapi.LinkFaults{}).link
		staleLink.SetFaults(objectapi.LinkFaults{Stale: true})
		b.approve(testBundle("2"), "anna", "babis")
		b.gossip(spread, running)
		restarted := b.startOn(staleLink, false)
		time.Sleep(time.Second) // the stale pointer is read before a peer answers
		restarted.Offer(running.Head(), running)
		restarted.OnPeersAnswered()
		time.Sleep(spread)
		b.wantGeneration(2, restarted)
		assert.DeepEqual(t, restarted.generations(), []bundle.Generation{2})
		time.Sleep(3 * testSettings.PollInterval)
		assert.DeepEqual(t, restarted.generations(), []bundle.Generation{2})
	})
}

func TestStaleReadOfARunningWatcherIsIgnored(t *testing.T) {
	inBubble(t, func(t *testing.T, b *bench) {
		poller, watcher := b.start(false, objectapi.LinkFaults{}), b.start(true, objectapi.LinkFaults{})
		b.approve(testBundle("1"), "anna", "babis")
		b.gossip(spread, poller, watcher)
		poller.link.SetFaults(objectapi.LinkFaults{Stale: true})
		b.approve(testBundle("2"), "anna", "babis")
		b.gossip(3*testSettings.PollInterval, poller, watcher)
		b.wantGeneration(2, poller, watcher)
		assert.DeepEqual(t, poller.generations(), []bundle.Generation{1, 2})
		assert.Assert(t, testutil.ToFloat64(poller.metrics.heads.WithLabelValues("older")) > 0)
	})
}

func TestTooFewSignaturesAreInForceNowhere(t *testing.T) {
	inBubble(t, func(t *testing.T, b *bench) {
		watcher, other := b.start(true, objectapi.LinkFaults{}), b.start(false, objectapi.LinkFaults{})
		b.approve(testBundle("1"), "anna", "babis")
		b.gossip(spread, watcher, other)
		head := b.approve(testBundle("2"), "anna")
		other.Offer(head, watcher)
		b.gossip(3*testSettings.PollInterval, watcher, other)
		b.wantGeneration(1, watcher, other)
		// A badly signed approval right after does not hide a valid one from any watcher.
		b.approve(testBundle("3"), "anna", "babis")
		b.approve(testBundle("4"), "anna")
		b.gossip(spread, watcher, other)
		b.wantGeneration(3, watcher, other)
	})
}

// TestKeysAreReplacedWithoutARestart replaces an operator's key. An approval that
// was refused under the former keys comes into force, one under the removed key
// does not, and what is in force stays.
func TestKeysAreReplacedWithoutARestart(t *testing.T) {
	inBubble(t, func(t *testing.T, b *bench) {
		watchers := []*instance{b.start(true, objectapi.LinkFaults{}), b.start(true, objectapi.LinkFaults{})}
		b.approve(testBundle("1"), "anna", "babis")
		b.gossip(spread, watchers...)
		b.approve(testBundle("2"), "anna", "clio")
		b.gossip(spread, watchers...)
		b.wantGeneration(1, watchers...)
		b.keys.present.Store(policyOf("anna", "clio"))
		b.gossip(testSettings.WatchWait+spread, watchers...) // the watches under way go on
		b.wantGeneration(2, watchers...)
		b.approve(testBundle("3"), "anna", "babis")
		b.gossip(spread, watchers...)
		b.wantGeneration(2, watchers...)
	})
}

func TestBadContentIsInForceNowhere(t *testing.T) {
	inBubble(t, func(t *testing.T, b *bench) {
		watcher := b.start(true, objectapi.LinkFaults{})
		content := testBundle("1")
		content.Models[0].Memory = 11
		b.approve(content, "anna", "babis")
		time.Sleep(spread)
		b.wantGeneration(0, watcher)
		assert.Equal(t, testutil.ToFloat64(watcher.metrics.refused), 1.0)
	})
}

func TestInstanceCutOffAndBack(t *testing.T) {
	inBubble(t, func(t *testing.T, b *bench) {
		watcher, cut := b.start(true, objectapi.LinkFaults{}), b.start(false, objectapi.LinkFaults{})
		b.approve(testBundle("1"), "anna", "babis")
		b.gossip(spread, watcher, cut)
		cut.link.SetFaults(objectapi.LinkFaults{Cut: true})
		for _, version := range []string{"2", "3", "4"} {
			b.approve(testBundle(version), "anna", "babis")
			b.gossip(spread, watcher)
		}
		b.wantGeneration(1, cut)
		b.gossip(spread, watcher, cut)
		b.wantGeneration(4, watcher, cut)
		assert.DeepEqual(t, cut.generations(), []bundle.Generation{1, 4})
	})
}

// All watchers have lost their path to the store and the others have not.
func TestWatchersCutFromTheStore(t *testing.T) {
	inBubble(t, func(t *testing.T, b *bench) {
		all := []*instance{b.start(true, objectapi.LinkFaults{Cut: true}), b.start(true, objectapi.LinkFaults{Cut: true})}
		for range 6 {
			all = append(all, b.start(false, objectapi.LinkFaults{}))
		}
		b.gossip(spread, all...)
		b.approve(testBundle("1"), "anna", "babis")
		b.gossip(inForceWithin, all...)
		b.wantGeneration(1, all...)
	})
}

// A poller that hears no peer at all still finds the pointer within the poll interval.
func TestPollFindsThePointerWithoutPeers(t *testing.T) {
	inBubble(t, func(t *testing.T, b *bench) {
		alone := b.start(false, objectapi.LinkFaults{})
		time.Sleep(spread)
		b.approve(testBundle("1"), "anna", "babis")
		time.Sleep(3 * testSettings.PollInterval / 2)
		b.wantGeneration(1, alone)
	})
}

// hangingSource never answers, as a connection that went silent.
type hangingSource struct{ name errs.Peer }

func (s hangingSource) Peer() errs.Peer { return s.name }

func (hangingSource) FetchSections(ctx context.Context, _ []bundle.Hash) ([]bundlefile.Section, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

func TestFallbackDuringRollout(t *testing.T) {
	inBubble(t, func(t *testing.T, b *bench) {
		watcher, slow := b.start(true, objectapi.LinkFaults{}), b.start(false, objectapi.LinkFaults{})
		b.approve(testBundle("1"), "anna", "babis")
		b.gossip(spread, watcher, slow)
		slow.link.SetFaults(objectapi.LinkFaults{Cut: true})
		second := b.approve(testBundle("2"), "anna", "babis")
		slow.Offer(second, hangingSource{"silent"}) // the roll-out of generation 2 begins and stalls
		time.Sleep(time.Second)
		b.approve(testBundle("1"), "anna", "babis") // generation 3 has the content of generation 1
		time.Sleep(100 * time.Millisecond)          // the watcher has taken it
		b.gossip(2*spread, watcher, slow)
		b.wantGeneration(3, watcher, slow)
		assert.DeepEqual(t, slow.generations(), []bundle.Generation{1, 3})
		assert.Equal(t, slow.Current().Bundle.Models[0].Version, "1")
	})
}

// Ten peers told of the bundle and went silent right after.
func TestSilentPeersDelayABundleBySecondsOnly(t *testing.T) {
	inBubble(t, func(t *testing.T, b *bench) {
		i := b.start(false, objectapi.LinkFaults{})
		time.Sleep(spread)
		head := b.approve(testBundle("1"), "anna", "babis")
		const peers = 10
		for n := range peers {
			i.Offer(head, hangingSource{errs.Peer(fmt.Sprint(n))})
		}
		time.Sleep(inForceWithin)
		b.wantGeneration(1, i)
	})
}

// slowSource gives one section in a little less than the time that a peer has.
type slowSource struct{ *instance }

func (s slowSource) FetchSections(ctx context.Context, hashes []bundle.Hash) ([]bundlefile.Section, error) {
	time.Sleep(testSettings.FetchTimeout - time.Millisecond)
	return s.instance.FetchSections(ctx, hashes[:1])
}

func TestSlowPeersDelayABundleBySecondsOnly(t *testing.T) {
	inBubble(t, func(t *testing.T, b *bench) {
		holder, waiting := b.start(true, objectapi.LinkFaults{}), b.start(false, objectapi.LinkFaults{})
		time.Sleep(spread)
		b.approve(targetBundle(), "anna", "babis")
		time.Sleep(time.Second)
		b.wantGeneration(1, holder)
		waiting.Offer(holder.Head(), slowSource{holder})
		time.Sleep(inForceWithin)
		b.wantGeneration(1, waiting)
	})
}

// forgingSource answers with other data than asked for.
type forgingSource struct{}

func (forgingSource) Peer() errs.Peer { return "forger" }

func (forgingSource) FetchSections(_ context.Context, hashes []bundle.Hash) ([]bundlefile.Section, error) {
	var sections []bundlefile.Section
	for _, hash := range hashes {
		sections = append(sections, bundlefile.Section{Hash: hash, Data: []byte("forged")})
	}
	return sections, nil
}

func TestForgedHeadsAndSections(t *testing.T) {
	inBubble(t, func(t *testing.T, b *bench) {
		victim := b.start(false, objectapi.LinkFaults{})
		time.Sleep(spread)
		victim.Offer(bundle.Head{Generation: 1 << 40, Approval: bundle.HashOf([]byte("none"))}, forgingSource{})
		genuine := b.approve(testBundle("1"), "anna", "babis")
		victim.Offer(genuine, forgingSource{})
		time.Sleep(spread)
		b.wantGeneration(1, victim)
		// A valid approval does not vouch for another generation.
		replayed := genuine
		replayed.Generation = 9
		victim.Offer(replayed, forgingSource{})
		time.Sleep(spread)
		b.wantGeneration(1, victim)
		assert.Equal(t, testutil.ToFloat64(victim.metrics.refused), 1.0)
	})
}

func TestOnlyChangedSectionsTravel(t *testing.T) {
	inBubble(t, func(t *testing.T, b *bench) {
		watcher, other := b.start(true, objectapi.LinkFaults{}), b.start(false, objectapi.LinkFaults{})
		b.approve(testBundle("1"), "anna", "babis")
		b.gossip(spread, watcher, other)
		whole := testutil.ToFloat64(other.metrics.fetched)
		b.approve(testBundle("2"), "anna", "babis")
		b.gossip(spread, watcher, other)
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

func TestNoHerdAfterALongOutage(t *testing.T) {
	inBubble(t, func(t *testing.T, b *bench) {
		var all []*instance
		const instances, watchers = 32, 3
		for i := range instances {
			all = append(all, b.start(i < watchers, objectapi.LinkFaults{}))
		}
		b.approve(testBundle("1"), "anna", "babis")
		b.gossip(spread, all...)
		b.memory.SetFaults(objectapi.Faults{Outage: true})
		const outage = 10 * time.Minute
		before := b.memory.Counts().Reads()
		time.Sleep(outage)
		during := b.memory.Counts().Reads() - before
		b.memory.SetFaults(objectapi.Faults{})
		var busiest uint64
		for range 60 {
			before = b.memory.Counts().Reads()
			time.Sleep(time.Second)
			busiest = max(busiest, b.memory.Counts().Reads()-before)
		}
		t.Logf("%d instances: %d calls in %s of outage, at most %d in one second after it", instances, during, outage, busiest)
		assert.Assert(t, busiest <= instances/4, "a quarter of the instances or more call in the same second")
		b.approve(testBundle("2"), "anna", "babis")
		b.gossip(spread, all...)
		b.wantGeneration(2, all...)
	})
}

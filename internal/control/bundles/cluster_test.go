package bundles

import (
	"bytes"
	"context"
	"crypto/ed25519"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"savoryweir/internal/coordination/signoff"
	"savoryweir/internal/errs"
	"savoryweir/internal/protocol/bundlefile"
	"savoryweir/internal/standin/objectapi"
	"savoryweir/internal/state/approval"
	"savoryweir/internal/state/bundle"
	"savoryweir/internal/transport/bundlestore"
)

var testSettings = Settings{
	StartWait: 3 * time.Second, WatchWait: 5 * time.Second, PollInterval: 10 * time.Second,
	FetchTimeout: time.Second, StoreTimeout: 5 * time.Second, RetryMin: 200 * time.Millisecond, RetryMax: 5 * time.Second,
}

func operatorKey(name approval.Operator) approval.Key {
	return approval.Key{Operator: name, Private: ed25519.NewKeyFromSeed(bytes.Repeat([]byte{name[0]}, ed25519.SeedSize))}
}

// policyOf returns a policy that trusts the operators and requires two signatures.
func policyOf(operators ...approval.Operator) *approval.Policy {
	p := &approval.Policy{Deployment: "d", Required: 2, Keys: make(map[approval.Operator]ed25519.PublicKey)}
	for _, name := range operators {
		p.Keys[name] = operatorKey(name).Private.Public().(ed25519.PublicKey)
	}
	return p
}

// testBundle returns a valid bundle whose model has the given version.
func testBundle(version string) *bundle.Bundle {
	return &bundle.Bundle{
		Deployment: "d", Zones: []bundle.Zone{"z"},
		Services:  []bundle.Service{{Name: "s", Kind: bundle.KindGeneration, Deadline: time.Second}},
		Upstreams: []bundle.Upstream{{ID: "e", Service: "s", Address: "127.0.0.1:1", Zone: "z", Memory: 10, Accelerators: 1}},
		Models:    []bundle.Model{{ID: "m", Service: "s", Version: version, Memory: 4, MinReplicas: 1}},
	}
}

// replaceableKeys is a TrustedKeys whose policy a test can replace.
type replaceableKeys struct {
	present atomic.Pointer[approval.Policy]
}

func (k *replaceableKeys) Policy() *approval.Policy { return k.present.Load() }

// cluster is an object store with the operators' keys and some instances that use it.
type cluster struct {
	t         *testing.T
	keys      replaceableKeys
	objects   *objectapi.Memory
	store     *bundlestore.Store
	instances []*instance
}

// instance is one Manager with its link to the store and the generations that were
// observed in force.
type instance struct {
	*Manager
	name     string
	link     *objectapi.Link
	cancel   context.CancelFunc
	done     chan struct{}
	mu       sync.Mutex // guards observed
	observed []bundle.Generation
}

// Peer implements SectionSource, so that other instances can fetch from this one.
func (i *instance) Peer() errs.Peer { return errs.Peer(i.name) }

// FetchSections implements SectionSource. It returns at most two sections a call, since
// peers limit the number too.
func (i *instance) FetchSections(_ context.Context, hashes []bundle.Hash) ([]bundlefile.Section, error) {
	var found []bundlefile.Section
	for _, hash := range hashes[:min(len(hashes), 2)] {
		if section, ok := i.Section(hash); ok {
			found = append(found, section)
		}
	}
	return found, nil
}

func newCluster(t *testing.T) *cluster {
	objects := objectapi.New(time.Now, objectapi.Limits{})
	b := &cluster{t: t, objects: objects, store: bundlestore.New(objects)}
	b.keys.present.Store(policyOf("anna", "babis"))
	t.Cleanup(b.stop)
	return b
}

// start runs a new instance that has no bundle yet.
func (b *cluster) start(watching bool, faults objectapi.LinkFaults) *instance {
	link := objectapi.NewLink(b.objects)
	link.SetFaults(faults)
	return b.startOn(link, watching)
}

// startOn runs a new instance that uses the given link to the store.
func (b *cluster) startOn(link *objectapi.Link, watching bool) *instance {
	number := len(b.instances)
	i := &instance{name: fmt.Sprintf("i%d", number), link: link, done: make(chan struct{})}
	i.Manager = New(Options{
		Settings: testSettings, Keys: &b.keys, Store: link,
		Logger: zerolog.Nop(), Rand: rand.New(rand.NewPCG(1, uint64(number))),
	})
	i.SetWatching(watching)
	var ctx context.Context
	ctx, i.cancel = context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { assert.Check(b.t, i.Run(ctx)) })
	running.Go(func() { i.observe(ctx) })
	go func() { running.Wait(); close(i.done) }()
	b.instances = append(b.instances, i)
	return i
}

// observe records each generation that comes into force until ctx ends.
func (i *instance) observe(ctx context.Context) {
	for ctx.Err() == nil {
		changed := i.Changed()
		if head := i.Head(); head.Generation > 0 {
			i.mu.Lock()
			i.observed = append(i.observed, head.Generation)
			i.mu.Unlock()
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

// generations returns the observed generations without repetitions.
func (i *instance) generations() []bundle.Generation {
	i.mu.Lock()
	defer i.mu.Unlock()
	return slices.Compact(slices.Clone(i.observed))
}

// stop stops all instances and checks that none of them went back to an earlier
// generation.
func (b *cluster) stop() {
	for _, i := range b.instances {
		b.stopInstance(i)
	}
	b.instances = nil
}

// stopInstance stops one instance and checks that its generations only went up.
func (b *cluster) stopInstance(i *instance) {
	i.cancel()
	<-i.done
	assert.Check(b.t, slices.IsSorted(i.generations()), "%s reverted: %v", i.name, i.generations())
}

// approve signs the content with the keys of the given operators, moves the pointer to
// it and returns the new head.
func (b *cluster) approve(content *bundle.Bundle, signers ...approval.Operator) bundle.Head {
	b.t.Helper()
	ctx := context.Background()
	current, err := b.store.Pointer(ctx)
	assert.NilError(b.t, err)
	encoded, err := bundlefile.Encode(content)
	assert.NilError(b.t, err)
	assert.NilError(b.t, b.store.PutSections(ctx, encoded.All()))
	next := approval.Approval{
		Deployment: "d", Generation: current.Approval.Generation + 1, Manifest: encoded.Manifest.Hash,
		Action: approval.ActionApprove, Previous: current.Hash, ApprovedAt: time.Now(),
		Nonce: fmt.Sprint(current.Approval.Generation + 1),
	}
	for _, signer := range signers {
		next.Signatures = append(next.Signatures, signoff.SignContent(operatorKey(signer), "d", next.Manifest))
	}
	assert.NilError(b.t, b.store.AdvancePointer(ctx, current, signoff.Seal(operatorKey("anna"), next)))
	moved, err := b.store.Pointer(ctx)
	assert.NilError(b.t, err)
	return moved.Head()
}

// gossip offers the head of each instance to all others once a second, for the given
// time.
func (b *cluster) gossip(d time.Duration, among ...*instance) {
	for range int(d / time.Second) {
		for _, to := range among {
			for _, from := range among {
				if from != to {
					to.Offer(from.Head(), from)
				}
			}
		}
		time.Sleep(time.Second)
	}
}

// withVirtualTime runs a test with a new cluster under virtual time.
func withVirtualTime(t *testing.T, test func(t *testing.T, b *cluster)) {
	synctest.Test(t, func(t *testing.T) {
		b := newCluster(t)
		test(t, b)
		b.stop()
	})
}

// wantGeneration checks that the given generation is in force on the instances.
func (b *cluster) wantGeneration(want bundle.Generation, among ...*instance) {
	b.t.Helper()
	for _, i := range among {
		assert.Equal(b.t, i.Head().Generation, want, "%s", i.name)
		if want > 0 {
			assert.Equal(b.t, i.Current().Bundle.Generation, want)
		}
	}
}

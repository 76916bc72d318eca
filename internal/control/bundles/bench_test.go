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

// trusted is a policy that can be replaced.
type trusted struct {
	present atomic.Pointer[approval.Policy]
}

func (k *trusted) Policy() *approval.Policy { return k.present.Load() }

// bench is a store, an operator and some instances.
type bench struct {
	t         *testing.T
	keys      trusted
	memory    *objectapi.Memory
	store     *bundlestore.Store
	instances []*instance
}

// instance is one manager with its path to the store and the generations it had.
type instance struct {
	*Manager
	name   string
	link   *objectapi.Link
	cancel context.CancelFunc
	done   chan struct{}
	mu     sync.Mutex // guards seen
	seen   []bundle.Generation
}

// Peer and FetchSections make an instance a source for others.
func (i *instance) Peer() errs.Peer { return errs.Peer(i.name) }

// FetchSections gives few sections at once, as peers do.
func (i *instance) FetchSections(_ context.Context, hashes []bundle.Hash) ([]bundlefile.Section, error) {
	var found []bundlefile.Section
	for _, hash := range hashes[:min(len(hashes), 2)] {
		if section, ok := i.Section(hash); ok {
			found = append(found, section)
		}
	}
	return found, nil
}

func newTestBench(t *testing.T) *bench {
	memory := objectapi.New(time.Now, objectapi.Limits{})
	b := &bench{t: t, memory: memory, store: bundlestore.New(memory)}
	b.keys.present.Store(policyOf("anna", "babis"))
	t.Cleanup(b.stop)
	return b
}

// start runs a new instance without bundle.
func (b *bench) start(watching bool, faults objectapi.LinkFaults) *instance {
	link := objectapi.NewLink(b.memory)
	link.SetFaults(faults)
	return b.startOn(link, watching)
}

func (b *bench) startOn(link *objectapi.Link, watching bool) *instance {
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

// observe notes each generation that comes into force.
func (i *instance) observe(ctx context.Context) {
	for ctx.Err() == nil {
		changed := i.Changed()
		if head := i.Head(); head.Generation > 0 {
			i.mu.Lock()
			i.seen = append(i.seen, head.Generation)
			i.mu.Unlock()
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

func (i *instance) generations() []bundle.Generation {
	i.mu.Lock()
	defer i.mu.Unlock()
	return slices.Compact(slices.Clone(i.seen))
}

// stop ends all instances and checks that no generation ever went down.
func (b *bench) stop() {
	for _, i := range b.instances {
		b.stopInstance(i)
	}
	b.instances = nil
}

func (b *bench) stopInstance(i *instance) {
	i.cancel()
	<-i.done
	assert.Check(b.t, slices.IsSorted(i.generations()), "%s reverted: %v", i.name, i.generations())
}

// approve signs content by the given operators and moves the pointer.
func (b *bench) approve(content *bundle.Bundle, signers ...approval.Operator) bundle.Head {
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

// gossip tells every instance the heads of all others once a second, for the given time.
func (b *bench) gossip(d time.Duration, among ...*instance) {
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

// inBubble runs a test under virtual time.
func inBubble(t *testing.T, test func(t *testing.T, b *bench)) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestBench(t)
		test(t, b)
		b.stop()
	})
}

func (b *bench) wantGeneration(want bundle.Generation, among ...*instance) {
	b.t.Helper()
	for _, i := range among {
		assert.Equal(b.t, i.Head().Generation, want, "%s", i.name)
		if want > 0 {
			assert.Equal(b.t, i.Current().Bundle.Generation, want)
		}
	}
}

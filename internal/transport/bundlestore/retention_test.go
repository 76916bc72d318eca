package bundlestore

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"savoryweir/internal/protocol/approvalfile"
	"savoryweir/internal/protocol/bundlefile"
	"savoryweir/internal/standin/objectapi"
	"savoryweir/internal/state/approval"
	"savoryweir/internal/state/bundle"
	"savoryweir/internal/state/object"
)

const (
	keepGenerations = 10
	sweepSeeds      = 8
	approvalCount   = 120
	contentVariants = 12 // small, so that bundles are approved again after their sections were deleted
)

// sweepSimulation is an object store that operators write approvals to while instances
// sweep it. Before each write of an operator, sweepers read the store, plan deletions, or
// apply deletions that they planned earlier.
type sweepSimulation struct {
	*objectapi.Memory
	t        *testing.T
	random   *rand.Rand
	isPaused bool // set while sweepers run, so that they are not called recursively
	sweepers [3]*sweeper
}

// sweeper is an instance whose deletions reach the store with a delay.
type sweeper struct {
	*objectapi.Link
	pending []object.Object
}

// Delete records a deletion, which applyDeletions sends to the store.
func (s *sweeper) Delete(_ context.Context, kind object.Kind, name object.Name, expected object.Version) error {
	s.pending = append(s.pending, object.Object{Kind: kind, Name: name, Version: expected})
	return nil
}

// stepSweepers lets each sweeper take a random step.
func (w *sweepSimulation) stepSweepers() {
	if w.isPaused {
		return
	}
	w.isPaused = true
	defer func() { w.isPaused = false }()
	for _, s := range w.sweepers {
		switch w.random.IntN(6) {
		case 0:
			w.applyDeletions(s)
		case 1:
			w.planSweep(s)
		case 2:
			s.SetFaults(objectapi.LinkFaults{Stale: w.random.IntN(2) == 0})
		}
	}
}

// planSweep lets a sweeper read the store and record its deletions.
func (w *sweepSimulation) planSweep(s *sweeper) {
	store := New(s)
	floor, ok, err := store.Floor(w.t.Context(), keepGenerations)
	if err != nil || !ok {
		return // a stale read may return references to objects that were deleted meanwhile
	}
	for page := range SweepPages {
		_, err := store.SweepPage(w.t.Context(), floor, page)
		assert.NilError(w.t, err)
	}
	_, err = store.SweepHistory(w.t.Context(), floor)
	assert.NilError(w.t, err)
}

// applyDeletions sends the recorded deletions of a sweeper to the store.
func (w *sweepSimulation) applyDeletions(s *sweeper) {
	for _, o := range s.pending {
		err := w.Memory.Delete(w.t.Context(), o.Kind, o.Name, o.Version)
		assert.Assert(w.t, err == nil || errors.Is(err, object.ErrConflict) || errors.Is(err, object.ErrNotFound))
	}
	s.pending = nil
}

// Create implements object.Writer for operators, after a step of the sweepers.
func (w *sweepSimulation) Create(ctx context.Context, kind object.Kind, name object.Name, data []byte) (object.Version, error) {
	w.stepSweepers()
	return w.Memory.Create(ctx, kind, name, data)
}

// Update implements object.Writer for operators, after a step of the sweepers.
func (w *sweepSimulation) Update(ctx context.Context, kind object.Kind, name object.Name, data []byte, expected object.Version) (object.Version, error) {
	w.stepSweepers()
	return w.Memory.Update(ctx, kind, name, data, expected)
}

// newSweepSimulation returns a simulation with an empty store and a seeded random source.
func newSweepSimulation(t *testing.T, seed uint64) *sweepSimulation {
	w := &sweepSimulation{t: t, Memory: objectapi.New(time.Now, objectapi.Limits{}), random: rand.New(rand.NewPCG(seed, 0))}
	for i := range w.sweepers {
		w.sweepers[i] = &sweeper{Link: objectapi.NewLink(w.Memory)}
	}
	return w
}

// randomBundle returns one of the contentVariants bundles, which are approved repeatedly.
func (w *sweepSimulation) randomBundle() bundlefile.Encoded {
	version := fmt.Sprint(w.random.IntN(contentVariants))
	encoded, err := bundlefile.Encode(&bundle.Bundle{
		Deployment: "d", Zones: []bundle.Zone{"z"},
		Services:  []bundle.Service{{Name: "s", Kind: bundle.KindGeneration, Deadline: time.Second}},
		Upstreams: []bundle.Upstream{{ID: "e", Service: "s", Address: "127.0.0.1:1", Zone: "z", Memory: 10, Accelerators: 1}},
		Models:    []bundle.Model{{ID: "m", Service: "s", Version: version, Memory: 4, MinReplicas: 1}},
	})
	assert.NilError(w.t, err)
	return encoded
}

// approve follows the steps of savoryweirctl: it reads the pointer, writes the sections that
// the active bundle lacks, and advances the pointer.
func (w *sweepSimulation) approve(inForce bundlefile.Encoded, g bundle.Generation) bundlefile.Encoded {
	ctx, store := w.t.Context(), New(w)
	current, err := store.Pointer(ctx)
	assert.NilError(w.t, err)
	next := w.randomBundle()
	present := make(map[bundle.Hash]bool)
	for _, s := range inForce.All() {
		present[s.Hash] = true
	}
	var changed []bundlefile.Section
	for _, s := range next.All() {
		if !present[s.Hash] {
			changed = append(changed, s)
		}
	}
	assert.NilError(w.t, store.PutSections(ctx, changed))
	signature := approval.Signature{Operator: "anna", Value: []byte{1}}
	assert.NilError(w.t, store.PutSignature(ctx, next.Manifest.Hash, signature))
	a := newApproval(g, fmt.Sprint(g))
	a.Manifest = next.Manifest.Hash
	assert.NilError(w.t, store.AdvancePointer(ctx, current, a))
	return next
}

// checkKept checks that the bundles of all kept generations can be read.
func (w *sweepSimulation) checkKept(seed uint64) {
	w.t.Helper()
	store := New(w.Memory)
	kept, err := store.History(w.t.Context(), keepGenerations)
	assert.NilError(w.t, err)
	for _, a := range kept {
		_, err := store.Bundle(w.t.Context(), a.Manifest)
		assert.NilError(w.t, err, "seed %d, generation %d", seed, a.Generation)
	}
}

func TestConcurrentSweepsKeepContentOfKeptGenerations(t *testing.T) {
	for seed := range uint64(sweepSeeds) {
		w := newSweepSimulation(t, seed)
		var inForce bundlefile.Encoded
		for g := bundle.Generation(1); g <= approvalCount; g++ {
			inForce = w.approve(inForce, g)
			w.checkKept(seed)
		}
	}
}

func TestSweepDeletesUnneededObjects(t *testing.T) {
	w := newSweepSimulation(t, 1)
	w.isPaused = true
	var inForce bundlefile.Encoded
	for g := bundle.Generation(1); g <= approvalCount; g++ {
		inForce = w.approve(inForce, g)
	}
	for range 2 { // the second sweep deletes nothing
		s := w.sweepers[0]
		w.planSweep(s)
		w.applyDeletions(s)
		history, err := w.List(t.Context(), approvalfile.KindHistory, "")
		assert.NilError(t, err)
		assert.Equal(t, len(history), keepGenerations) // the pointer object holds one approval; one before the floor is kept for its version
	}
	w.checkKept(1)
	listed, err := New(w.Memory).History(t.Context(), approvalCount)
	assert.NilError(t, err)
	assert.Equal(t, len(listed), keepGenerations+1)
	used := make(map[object.Name]bool)
	for _, a := range listed {
		sections, err := New(w.Memory).sectionsOf(t.Context(), a.Manifest)
		if errors.Is(err, object.ErrNotFound) {
			continue // the bundle of the generation before the floor is deleted
		}
		assert.NilError(t, err)
		for hash := range sections {
			used[approvalfile.SectionName(hash)] = true
		}
	}
	sections, err := w.List(t.Context(), approvalfile.KindSection, "")
	assert.NilError(t, err)
	for _, o := range sections {
		assert.Assert(t, used[o.Name] || o.Version >= historyVersion(t, w, approvalCount-keepGenerations), "unneeded section %s was not deleted", o.Name)
	}
}

// historyVersion returns the object version of a generation's approval in the history.
func historyVersion(t *testing.T, w *sweepSimulation, g bundle.Generation) object.Version {
	t.Helper()
	o, err := w.Get(t.Context(), approvalfile.KindHistory, approvalfile.HistoryName(g))
	assert.NilError(t, err)
	return o.Version
}

func TestNoFloorWhileGenerationCountIsWithinLimit(t *testing.T) {
	w := newSweepSimulation(t, 1)
	var inForce bundlefile.Encoded
	for g := bundle.Generation(1); g <= keepGenerations+1; g++ {
		inForce = w.approve(inForce, g)
	}
	_, ok, err := New(w.Memory).Floor(t.Context(), keepGenerations)
	assert.NilError(t, err)
	assert.Assert(t, !ok)
}

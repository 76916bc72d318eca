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
	keep       = 10
	sweepSeeds = 8
	approvals  = 120
	contents   = 12 // few, so that content comes back after it was swept
)

// world is a store with operators who approve and instances that sweep. Before
// each write of an operator, sweepers read, decide, and delete what they decided on
// at some time before.
type world struct {
	*objectapi.Memory
	t        *testing.T
	random   *rand.Rand
	quiet    bool // while a sweeper itself writes
	sweepers [3]*sweeper
}

// sweeper is an instance whose deletions reach the store late.
type sweeper struct {
	*objectapi.Link
	late []object.Object
}

// Delete notes a deletion for later.
func (s *sweeper) Delete(_ context.Context, kind object.Kind, name object.Name, expected object.Version) error {
	s.late = append(s.late, object.Object{Kind: kind, Name: name, Version: expected})
	return nil
}

// disturb lets sweepers go on.
func (w *world) disturb() {
	if w.quiet {
		return
	}
	w.quiet = true
	defer func() { w.quiet = false }()
	for _, s := range w.sweepers {
		switch w.random.IntN(6) {
		case 0:
			w.flush(s)
		case 1:
			w.decide(s)
		case 2:
			s.SetFaults(objectapi.LinkFaults{Stale: w.random.IntN(2) == 0})
		}
	}
}

// decide lets a sweeper read the store and note what it deletes.
func (w *world) decide(s *sweeper) {
	store := New(s)
	floor, ok, err := store.Floor(w.t.Context(), keep)
	if err != nil || !ok {
		return // a stale read may miss objects that were deleted meanwhile
	}
	for page := range SweepPages {
		_, err := store.SweepPage(w.t.Context(), floor, page)
		assert.NilError(w.t, err)
	}
	_, err = store.SweepHistory(w.t.Context(), floor)
	assert.NilError(w.t, err)
}

// flush brings a sweeper's deletions to the store.
func (w *world) flush(s *sweeper) {
	for _, o := range s.late {
		err := w.Memory.Delete(w.t.Context(), o.Kind, o.Name, o.Version)
		assert.Assert(w.t, err == nil || errors.Is(err, object.ErrConflict) || errors.Is(err, object.ErrNotFound))
	}
	s.late = nil
}

// Create implements object.Writer for operators.
func (w *world) Create(ctx context.Context, kind object.Kind, name object.Name, data []byte) (object.Version, error) {
	w.disturb()
	return w.Memory.Create(ctx, kind, name, data)
}

// Update implements object.Writer for operators.
func (w *world) Update(ctx context.Context, kind object.Kind, name object.Name, data []byte, expected object.Version) (object.Version, error) {
	w.disturb()
	return w.Memory.Update(ctx, kind, name, data, expected)
}

func newWorld(t *testing.T, seed uint64) *world {
	w := &world{t: t, Memory: objectapi.New(time.Now, objectapi.Limits{}), random: rand.New(rand.NewPCG(seed, 0))}
	for i := range w.sweepers {
		w.sweepers[i] = &sweeper{Link: objectapi.NewLink(w.Memory)}
	}
	return w
}

// content returns one of the bundles that are approved again and again.
func (w *world) content() bundlefile.Encoded {
	version := fmt.Sprint(w.random.IntN(contents))
	encoded, err := bundlefile.Encode(&bundle.Bundle{
		Deployment: "d", Zones: []bundle.Zone{"z"},
		Services:  []bundle.Service{{Name: "s", Kind: bundle.KindGeneration, Deadline: time.Second}},
		Upstreams: []bundle.Upstream{{ID: "e", Service: "s", Address: "127.0.0.1:1", Zone: "z", Memory: 10, Accelerators: 1}},
		Models:    []bundle.Model{{ID: "m", Service: "s", Version: version, Memory: 4, MinReplicas: 1}},
	})
	assert.NilError(w.t, err)
	return encoded
}

// approve does what savoryweirctl does: it reads the pointer, writes the sections that
// the bundle in force lacks, and moves the pointer.
func (w *world) approve(inForce bundlefile.Encoded, g bundle.Generation) bundlefile.Encoded {
	ctx, store := w.t.Context(), New(w)
	current, err := store.Pointer(ctx)
	assert.NilError(w.t, err)
	next := w.content()
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
	a := attempt(g, fmt.Sprint(g))
	a.Manifest = next.Manifest.Hash
	assert.NilError(w.t, store.AdvancePointer(ctx, current, a))
	return next
}

// checkKept reads the content of all generations that are kept.
func (w *world) checkKept(seed uint64) {
	w.t.Helper()
	store := New(w.Memory)
	kept, err := store.History(w.t.Context(), keep)
	assert.NilError(w.t, err)
	for _, a := range kept {
		_, err := store.Bundle(w.t.Context(), a.Manifest)
		assert.NilError(w.t, err, "seed %d, generation %d", seed, a.Generation)
	}
}

func TestSweepsLeaveEveryKeptGeneration(t *testing.T) {
	for seed := range uint64(sweepSeeds) {
		w := newWorld(t, seed)
		var inForce bundlefile.Encoded
		for g := bundle.Generation(1); g <= approvals; g++ {
			inForce = w.approve(inForce, g)
			w.checkKept(seed)
		}
	}
}

func TestSweepsDeleteWhatIsNotKept(t *testing.T) {
	w := newWorld(t, 1)
	w.quiet = true
	var inForce bundlefile.Encoded
	for g := bundle.Generation(1); g <= approvals; g++ {
		inForce = w.approve(inForce, g)
	}
	for range 2 { // the second deletes nothing
		s := w.sweepers[0]
		w.decide(s)
		w.flush(s)
		history, err := w.List(t.Context(), approvalfile.KindHistory, "")
		assert.NilError(t, err)
		assert.Equal(t, len(history), keep) // the pointer has one, the floor needs one more
	}
	w.checkKept(1)
	listed, err := New(w.Memory).History(t.Context(), approvals)
	assert.NilError(t, err)
	assert.Equal(t, len(listed), keep+1)
	used := make(map[object.Name]bool)
	for _, a := range listed {
		sections, err := New(w.Memory).sectionsOf(t.Context(), a.Manifest)
		if errors.Is(err, object.ErrNotFound) {
			continue // that of the generation before the floor
		}
		assert.NilError(t, err)
		for hash := range sections {
			used[approvalfile.SectionName(hash)] = true
		}
	}
	sections, err := w.List(t.Context(), approvalfile.KindSection, "")
	assert.NilError(t, err)
	for _, o := range sections {
		assert.Assert(t, used[o.Name] || o.Version >= history(t, w, approvals-keep), "section %s is left", o.Name)
	}
}

// history returns the version of a generation's approval.
func history(t *testing.T, w *world, g bundle.Generation) object.Version {
	t.Helper()
	o, err := w.Get(t.Context(), approvalfile.KindHistory, approvalfile.HistoryName(g))
	assert.NilError(t, err)
	return o.Version
}

func TestFewGenerationsAreAllKept(t *testing.T) {
	w := newWorld(t, 1)
	var inForce bundlefile.Encoded
	for g := bundle.Generation(1); g <= keep+1; g++ {
		inForce = w.approve(inForce, g)
	}
	_, ok, err := New(w.Memory).Floor(t.Context(), keep)
	assert.NilError(t, err)
	assert.Assert(t, !ok)
}

package bundlestore

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"savoryweir/internal/protocol/bundlefile"
	"savoryweir/internal/standin/objectapi"
	"savoryweir/internal/state/approval"
	"savoryweir/internal/state/bundle"
	"savoryweir/internal/state/object"
)

// newApproval returns an approval whose manifest hash is derived from the nonce.
func newApproval(generation bundle.Generation, nonce string) approval.Approval {
	return approval.Approval{
		Deployment: "d", Generation: generation, Manifest: bundle.HashOf([]byte(nonce)),
		Action: approval.ActionApprove, Operator: "anna", ApprovedAt: time.UnixMilli(0), Nonce: nonce,
	}
}

// twoOperatorStore is an object store with one link and one bundle store for each of two
// operators.
type twoOperatorStore struct {
	memory *objectapi.Memory
	links  [2]*objectapi.Link
	stores [2]*Store
}

func newTwoOperatorStore() *twoOperatorStore {
	b := &twoOperatorStore{memory: objectapi.New(time.Now, objectapi.Limits{})}
	for i := range b.links {
		b.links[i] = objectapi.NewLink(b.memory)
		b.stores[i] = New(b.links[i])
	}
	return b
}

// pointer reads the current pointer without faults.
func (b *twoOperatorStore) pointer(t *testing.T) Pointer {
	t.Helper()
	p, err := New(b.memory).Pointer(t.Context())
	assert.NilError(t, err)
	return p
}

func TestAdvancePointerReportsOutcomeAfterLinkFaults(t *testing.T) {
	tests := []struct {
		name   string
		faults objectapi.LinkFaults
		// concurrentAfter is the time after which another operator approves the same
		// generation; 0 for no concurrent approval.
		concurrentAfter time.Duration
		want            string // part of the error text; empty for success
		wantNonce       string // nonce of generation 2 at the end; empty if it was not approved
	}{
		{name: "no fault", wantNonce: "mine"},
		{name: "response lost after the write", faults: objectapi.LinkFaults{LoseAnswers: 1}, wantNonce: "mine"},
		{name: "responses lost twice", faults: objectapi.LinkFaults{LoseAnswers: 2}, wantNonce: "mine"},
		{name: "write delayed", faults: objectapi.LinkFaults{LateWrites: 1, LateBy: 5 * time.Second}, wantNonce: "mine"},
		{name: "write delayed until after a concurrent approval", faults: objectapi.LinkFaults{LateWrites: 1, LateBy: time.Second}, concurrentAfter: 50 * time.Millisecond,
			want: "generation 2 was taken by anna's approve", wantNonce: "rival"},
		{name: "store unreachable", faults: objectapi.LinkFaults{Cut: true}, want: "store unavailable", wantNonce: ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newTwoOperatorStore()
				assert.NilError(t, b.stores[0].AdvancePointer(t.Context(), Pointer{}, newApproval(1, "first")))
				current := b.pointer(t)
				if test.concurrentAfter > 0 {
					go func() {
						time.Sleep(test.concurrentAfter)
						assert.Check(t, b.stores[1].AdvancePointer(context.Background(), current, newApproval(2, "rival")))
					}()
				}
				// The history of generation 1 is written first, so that the faults affect only the pointer.
				assert.NilError(t, b.stores[0].recordHistory(t.Context(), current))
				b.links[0].SetFaults(test.faults)
				link := existingHistory{b.links[0]}
				err := New(link).AdvancePointer(t.Context(), current, newApproval(2, "mine"))
				time.Sleep(time.Minute)
				if test.want == "" {
					assert.NilError(t, err)
				} else {
					assert.ErrorContains(t, err, test.want)
				}
				approved, err := New(b.memory).ApprovalOf(t.Context(), 2)
				if test.wantNonce == "" {
					assert.Assert(t, errors.Is(err, object.ErrNotFound))
					return
				}
				assert.NilError(t, err)
				assert.Equal(t, approved.Nonce, test.wantNonce)
			})
		})
	}
}

// existingHistory reports a conflict for writes of the history, which exists already, and
// so keeps the link's faults for the writes of the pointer.
type existingHistory struct{ *objectapi.Link }

func (s existingHistory) Create(ctx context.Context, kind object.Kind, name object.Name, data []byte) (object.Version, error) {
	if kind == "bundle-history" {
		return 0, object.ErrConflict
	}
	return s.Link.Create(ctx, kind, name, data)
}

func TestLostResponseIsResolvedAfterNextGenerationWasApproved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTwoOperatorStore()
		assert.NilError(t, b.stores[0].AdvancePointer(t.Context(), Pointer{}, newApproval(1, "first")))
		current := b.pointer(t)
		assert.NilError(t, b.stores[0].recordHistory(t.Context(), current))
		b.links[0].SetFaults(objectapi.LinkFaults{LoseAnswers: 1})
		intercepted := &afterWrite{existingHistory: existingHistory{b.links[0]}, then: func() {
			assert.NilError(t, b.stores[1].AdvancePointer(context.Background(), b.pointer(t), newApproval(3, "successor")))
		}}
		assert.NilError(t, New(intercepted).AdvancePointer(t.Context(), current, newApproval(2, "mine")))
		assert.Equal(t, b.pointer(t).Approval.Nonce, "successor")
	})
}

// afterWrite calls then once, after the first update of the pointer.
type afterWrite struct {
	existingHistory
	then func()
}

func (a *afterWrite) Update(ctx context.Context, kind object.Kind, name object.Name, data []byte, expected object.Version) (object.Version, error) {
	version, err := a.existingHistory.Update(ctx, kind, name, data, expected)
	if a.then != nil {
		then := a.then
		a.then = nil
		then()
	}
	return version, err
}

func TestOutcomeIsUnknownWhileStoreIsUnreachable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTwoOperatorStore()
		assert.NilError(t, b.stores[0].AdvancePointer(t.Context(), Pointer{}, newApproval(1, "first")))
		current := b.pointer(t)
		b.links[0].SetFaults(objectapi.LinkFaults{LoseAnswers: 1})
		intercepted := &afterWrite{existingHistory: existingHistory{b.links[0]}, then: func() {
			b.links[0].SetFaults(objectapi.LinkFaults{Cut: true})
		}}
		err := New(intercepted).AdvancePointer(t.Context(), current, newApproval(2, "mine"))
		var unknown *OutcomeUnknownError
		assert.Assert(t, errors.As(err, &unknown), "%v", err)
		assert.Equal(t, b.pointer(t).Approval.Nonce, "mine")
	})
}

func TestExactlyOneOfConcurrentApprovalsSucceeds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTwoOperatorStore()
		assert.NilError(t, b.stores[0].AdvancePointer(t.Context(), Pointer{}, newApproval(1, "first")))
		current := b.pointer(t)
		const operators = 8
		results := make([]error, operators)
		var running sync.WaitGroup
		for i := range operators {
			running.Go(func() {
				link := objectapi.NewLink(b.memory)
				link.SetFaults(objectapi.LinkFaults{Delay: time.Duration(i%3) * time.Millisecond, LoseAnswers: i % 2})
				results[i] = New(link).AdvancePointer(context.Background(), current, newApproval(2, fmt.Sprintf("n%d", i)))
			})
		}
		running.Wait()
		winner := b.pointer(t).Approval
		successes := 0
		for i, err := range results {
			var conflict *ConflictError
			switch {
			case err == nil:
				successes++
				assert.Equal(t, winner.Nonce, fmt.Sprintf("n%d", i))
			case errors.As(err, &conflict):
				assert.Equal(t, conflict.Winner.Nonce, winner.Nonce)
			default:
				t.Errorf("operator %d: %v", i, err)
			}
		}
		assert.Equal(t, successes, 1)
		assert.Equal(t, winner.Generation, bundle.Generation(2))
	})
}

func TestHistoryListsAllApprovalsLatestFirst(t *testing.T) {
	b := newTwoOperatorStore()
	for g := range bundle.Generation(3) {
		assert.NilError(t, b.stores[0].AdvancePointer(t.Context(), b.pointer(t), newApproval(g+1, fmt.Sprintf("n%d", g+1))))
	}
	history, err := b.stores[1].History(t.Context(), 10)
	assert.NilError(t, err)
	assert.Equal(t, len(history), 3)
	assert.Equal(t, history[0].Nonce, "n3")
	assert.Equal(t, history[2].Nonce, "n1")
	latest, err := b.stores[1].History(t.Context(), 2)
	assert.NilError(t, err)
	assert.Equal(t, len(latest), 2)
	first, err := b.stores[1].ApprovalOf(t.Context(), 1)
	assert.NilError(t, err)
	assert.Equal(t, first.Nonce, "n1")
}

func TestRepeatedSectionWriteSucceedsAndDamagedSectionIsRejected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTwoOperatorStore()
		section := bundlefile.NewSection([]byte("data"))
		b.links[0].SetFaults(objectapi.LinkFaults{LoseAnswers: 1})
		for range 2 {
			assert.NilError(t, b.stores[0].PutSections(t.Context(), []bundlefile.Section{section}))
		}
		data, err := b.stores[1].Section(t.Context(), section.Hash)
		assert.NilError(t, err)
		assert.Equal(t, string(data), "data")
		_, err = b.memory.Create(t.Context(), "bundle-sections", object.Name(bundle.HashOf([]byte("x")).String()), []byte("damaged"))
		assert.NilError(t, err)
		_, err = b.stores[1].Section(t.Context(), bundle.HashOf([]byte("x")))
		assert.ErrorContains(t, err, "does not match its hash")
	})
}

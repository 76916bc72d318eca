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

func attempt(generation bundle.Generation, nonce string) approval.Approval {
	return approval.Approval{
		Deployment: "d", Generation: generation, Manifest: bundle.HashOf([]byte(nonce)),
		Action: approval.ActionApprove, Operator: "anna", ApprovedAt: time.UnixMilli(0), Nonce: nonce,
	}
}

// bench is a store with two operators' paths to it.
type bench struct {
	memory *objectapi.Memory
	links  [2]*objectapi.Link
	stores [2]*Store
}

func newBench() *bench {
	b := &bench{memory: objectapi.New(time.Now, objectapi.Limits{})}
	for i := range b.links {
		b.links[i] = objectapi.NewLink(b.memory)
		b.stores[i] = New(b.links[i])
	}
	return b
}

func (b *bench) pointer(t *testing.T) Pointer {
	t.Helper()
	p, err := New(b.memory).Pointer(t.Context())
	assert.NilError(t, err)
	return p
}

func TestMoveOutcomes(t *testing.T) {
	tests := []struct {
		name   string
		faults objectapi.LinkFaults
		// rival moves the pointer while the attempt runs, after the given time.
		rivalAfter time.Duration
		want       string // part of the error, empty for success
		wantNonce  string // nonce of generation 2 at the end
	}{
		{name: "plain", wantNonce: "mine"},
		{name: "answer lost after the write", faults: objectapi.LinkFaults{LoseAnswers: 1}, wantNonce: "mine"},
		{name: "answers lost twice", faults: objectapi.LinkFaults{LoseAnswers: 2}, wantNonce: "mine"},
		{name: "write arrives late", faults: objectapi.LinkFaults{LateWrites: 1, LateBy: 5 * time.Second}, wantNonce: "mine"},
		{name: "late write meets a rival", faults: objectapi.LinkFaults{LateWrites: 1, LateBy: time.Second}, rivalAfter: 50 * time.Millisecond,
			want: "generation 2 was taken by anna's approve", wantNonce: "rival"},
		{name: "store cut", faults: objectapi.LinkFaults{Cut: true}, want: "store unavailable", wantNonce: ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newBench()
				assert.NilError(t, b.stores[0].AdvancePointer(t.Context(), Pointer{}, attempt(1, "first")))
				current := b.pointer(t)
				if test.rivalAfter > 0 {
					go func() {
						time.Sleep(test.rivalAfter)
						assert.Check(t, b.stores[1].AdvancePointer(context.Background(), current, attempt(2, "rival")))
					}()
				}
				// The history of generation 1 is written before, so that the faults meet the pointer.
				assert.NilError(t, b.stores[0].keepHistory(t.Context(), current))
				b.links[0].SetFaults(test.faults)
				skip := skipHistory{b.links[0]}
				err := New(skip).AdvancePointer(t.Context(), current, attempt(2, "mine"))
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

// skipHistory leaves out the write of the history, which is there already.
type skipHistory struct{ *objectapi.Link }

func (s skipHistory) Create(ctx context.Context, kind object.Kind, name object.Name, data []byte) (object.Version, error) {
	if kind == "bundle-history" {
		return 0, object.ErrConflict
	}
	return s.Link.Create(ctx, kind, name, data)
}

func TestLostAnswerIsRecognisedAfterASuccessor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench()
		assert.NilError(t, b.stores[0].AdvancePointer(t.Context(), Pointer{}, attempt(1, "first")))
		current := b.pointer(t)
		assert.NilError(t, b.stores[0].keepHistory(t.Context(), current))
		b.links[0].SetFaults(objectapi.LinkFaults{LoseAnswers: 1})
		slow := &afterWrite{skipHistory: skipHistory{b.links[0]}, then: func() {
			assert.NilError(t, b.stores[1].AdvancePointer(context.Background(), b.pointer(t), attempt(3, "successor")))
		}}
		assert.NilError(t, New(slow).AdvancePointer(t.Context(), current, attempt(2, "mine")))
		assert.Equal(t, b.pointer(t).Approval.Nonce, "successor")
	})
}

// afterWrite runs then once after an update of the pointer.
type afterWrite struct {
	skipHistory
	then func()
}

func (a *afterWrite) Update(ctx context.Context, kind object.Kind, name object.Name, data []byte, expected object.Version) (object.Version, error) {
	version, err := a.skipHistory.Update(ctx, kind, name, data, expected)
	if a.then != nil {
		then := a.then
		a.then = nil
		then()
	}
	return version, err
}

func TestOutcomeStaysUnknownWhileTheStoreIsSilent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench()
		assert.NilError(t, b.stores[0].AdvancePointer(t.Context(), Pointer{}, attempt(1, "first")))
		current := b.pointer(t)
		b.links[0].SetFaults(objectapi.LinkFaults{LoseAnswers: 1})
		silent := &afterWrite{skipHistory: skipHistory{b.links[0]}, then: func() {
			b.links[0].SetFaults(objectapi.LinkFaults{Cut: true})
		}}
		err := New(silent).AdvancePointer(t.Context(), current, attempt(2, "mine"))
		var unknown *OutcomeUnknownError
		assert.Assert(t, errors.As(err, &unknown), "%v", err)
		assert.Equal(t, b.pointer(t).Approval.Nonce, "mine")
	})
}

func TestOneOfManyRacingApprovalsWins(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench()
		assert.NilError(t, b.stores[0].AdvancePointer(t.Context(), Pointer{}, attempt(1, "first")))
		current := b.pointer(t)
		const operators = 8
		results := make([]error, operators)
		var running sync.WaitGroup
		for i := range operators {
			running.Go(func() {
				link := objectapi.NewLink(b.memory)
				link.SetFaults(objectapi.LinkFaults{Delay: time.Duration(i%3) * time.Millisecond, LoseAnswers: i % 2})
				results[i] = New(link).AdvancePointer(context.Background(), current, attempt(2, fmt.Sprintf("n%d", i)))
			})
		}
		running.Wait()
		winner := b.pointer(t).Approval
		won := 0
		for i, err := range results {
			var race *ConflictError
			switch {
			case err == nil:
				won++
				assert.Equal(t, winner.Nonce, fmt.Sprintf("n%d", i))
			case errors.As(err, &race):
				assert.Equal(t, race.Winner.Nonce, winner.Nonce)
			default:
				t.Errorf("operator %d: %v", i, err)
			}
		}
		assert.Equal(t, won, 1)
		assert.Equal(t, winner.Generation, bundle.Generation(2))
	})
}

func TestHistoryIsWholeAndInOrder(t *testing.T) {
	b := newBench()
	for g := range bundle.Generation(3) {
		assert.NilError(t, b.stores[0].AdvancePointer(t.Context(), b.pointer(t), attempt(g+1, fmt.Sprintf("n%d", g+1))))
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

func TestSectionsAreWrittenOnceAndChecked(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench()
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

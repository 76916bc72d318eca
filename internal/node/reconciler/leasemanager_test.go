package reconciler

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"savoryweir/internal/standin/objectapi"
)

// newTestHolder returns a holder whose clock is that of the test's bubble.
func newTestHolder(store LeaseStore, instance string) *LeaseManager {
	began := time.Now().Add(-time.Hour)
	clock := func() (time.Duration, error) { return time.Since(began), nil }
	retry := func() time.Duration { return 300 * time.Millisecond }
	return NewLeaseManager(store, zerolog.Nop(), clock, retry, LeaseSettings(3*time.Second), instance, instance+"-process")
}

func TestARenewedLeaseIsNotTakenByAnInstanceThatHearsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := objectapi.New(time.Now, objectapi.Limits{})
		first, second := newTestHolder(store, "a"), newTestHolder(store, "b")
		ctx, cancel := context.WithCancel(t.Context())
		go first.Run(ctx)
		time.Sleep(time.Second)
		go second.Run(ctx)
		time.Sleep(time.Minute)
		fence, acts := first.FencingToken()
		assert.Assert(t, acts && fence > 0)
		_, acts = second.FencingToken()
		assert.Assert(t, !acts, "two holders at once")
		cancel()
		synctest.Wait()
	})
}

func TestTurnsOfHoldersAreApartAndFencesRise(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := objectapi.New(time.Now, objectapi.Limits{})
		cut := objectapi.NewLink(store)
		first, second := newTestHolder(cut, "a"), newTestHolder(store, "b")
		ctx, cancel := context.WithCancel(t.Context())
		go first.Run(ctx)
		time.Sleep(2 * time.Second)
		go second.Run(ctx)
		time.Sleep(2 * time.Second)
		before, _ := first.FencingToken()
		cut.SetFaults(objectapi.LinkFaults{Cut: true})
		var lastOfFirst, firstOfSecond atomic.Int64
		for range 2000 {
			time.Sleep(10 * time.Millisecond)
			if _, acts := first.FencingToken(); acts {
				lastOfFirst.Store(time.Now().UnixMilli())
			}
			if _, acts := second.FencingToken(); acts {
				firstOfSecond.CompareAndSwap(0, time.Now().UnixMilli())
			}
		}
		after, acts := second.FencingToken()
		assert.Assert(t, acts, "nobody holds the lease")
		assert.Assert(t, after > before, "fence %d follows %d", after, before)
		gap := firstOfSecond.Load() - lastOfFirst.Load()
		assert.Assert(t, gap >= 3000, "the turns are %d ms apart", gap)
		cancel()
		synctest.Wait()
	})
}

func TestAReleasedLeaseIsTakenAfterTheTurnGapOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := objectapi.New(time.Now, objectapi.Limits{})
		first, second := newTestHolder(store, "a"), newTestHolder(store, "b")
		leaving, leave := context.WithCancel(t.Context())
		ctx, cancel := context.WithCancel(t.Context())
		go first.Run(leaving)
		time.Sleep(time.Second)
		go second.Run(ctx)
		time.Sleep(5 * time.Second)
		leave()
		began := time.Now()
		for {
			time.Sleep(10 * time.Millisecond)
			if _, acts := second.FencingToken(); acts {
				break
			}
			assert.Assert(t, time.Since(began) < 6*time.Second, "the lease is not taken")
		}
		assert.Assert(t, time.Since(began) >= 3*time.Second)
		cancel()
		synctest.Wait()
	})
}

func TestALostAnswerToARenewalDoesNotEndTheTerm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := objectapi.New(time.Now, objectapi.Limits{})
		holder := newTestHolder(store, "a")
		ctx, cancel := context.WithCancel(t.Context())
		go holder.Run(ctx)
		time.Sleep(2 * time.Second)
		before, _ := holder.FencingToken()
		store.SetFaults(objectapi.Faults{LoseAnswers: 1})
		time.Sleep(3 * time.Second)
		after, acts := holder.FencingToken()
		assert.Assert(t, acts)
		assert.Equal(t, after, before)
		cancel()
		synctest.Wait()
	})
}

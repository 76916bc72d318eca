package reconciler

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"savoryweir/internal/standin/objectapi"
)

// newTestLeaseManager returns a lease manager that uses the fake clock of the synctest
// bubble.
func newTestLeaseManager(store LeaseStore, instance string) *LeaseManager {
	start := time.Now().Add(-time.Hour)
	clock := func() (time.Duration, error) { return time.Since(start), nil }
	retry := func() time.Duration { return 300 * time.Millisecond }
	return NewLeaseManager(store, zerolog.Nop(), clock, retry, func() time.Duration { return 50 * time.Millisecond }, rand.N[time.Duration], LeaseSettings(3*time.Second), instance, instance+"-process")
}

func TestRenewedLeaseIsNotTakenByInstanceWithoutPeerMessages(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := objectapi.New(time.Now, objectapi.Limits{})
		first, second := newTestLeaseManager(store, "a"), newTestLeaseManager(store, "b")
		ctx, cancel := context.WithCancel(t.Context())
		go first.Run(ctx)
		time.Sleep(time.Second)
		go second.Run(ctx)
		time.Sleep(time.Minute)
		fence, mayAct := first.FencingToken()
		assert.Assert(t, mayAct && fence > 0)
		_, mayAct = second.FencingToken()
		assert.Assert(t, !mayAct, "two instances may send orders at the same time")
		cancel()
		synctest.Wait()
	})
}

func TestSuccessiveHoldersKeepTurnGapAndFencingTokensIncrease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := objectapi.New(time.Now, objectapi.Limits{})
		link := objectapi.NewLink(store)
		first, second := newTestLeaseManager(link, "a"), newTestLeaseManager(store, "b")
		ctx, cancel := context.WithCancel(t.Context())
		go first.Run(ctx)
		time.Sleep(2 * time.Second)
		go second.Run(ctx)
		time.Sleep(2 * time.Second)
		before, _ := first.FencingToken()
		link.SetFaults(objectapi.LinkFaults{Cut: true})
		var lastActOfFirst, firstActOfSecond atomic.Int64
		for range 2000 {
			time.Sleep(10 * time.Millisecond)
			if _, mayAct := first.FencingToken(); mayAct {
				lastActOfFirst.Store(time.Now().UnixMilli())
			}
			if _, mayAct := second.FencingToken(); mayAct {
				firstActOfSecond.CompareAndSwap(0, time.Now().UnixMilli())
			}
		}
		after, mayAct := second.FencingToken()
		assert.Assert(t, mayAct, "no instance holds the lease")
		assert.Assert(t, after > before, "fencing token %d does not exceed its predecessor %d", after, before)
		gap := firstActOfSecond.Load() - lastActOfFirst.Load()
		assert.Assert(t, gap >= 3000, "only %d ms between the last term and the next", gap)
		cancel()
		synctest.Wait()
	})
}

func TestReleasedLeaseIsTakenOnlyAfterTurnGap(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := objectapi.New(time.Now, objectapi.Limits{})
		first, second := newTestLeaseManager(store, "a"), newTestLeaseManager(store, "b")
		firstCtx, stopFirst := context.WithCancel(t.Context())
		ctx, cancel := context.WithCancel(t.Context())
		go first.Run(firstCtx)
		time.Sleep(time.Second)
		go second.Run(ctx)
		time.Sleep(5 * time.Second)
		stopFirst()
		start := time.Now()
		for {
			time.Sleep(10 * time.Millisecond)
			if _, mayAct := second.FencingToken(); mayAct {
				break
			}
			assert.Assert(t, time.Since(start) < 6*time.Second, "the released lease was not acquired")
		}
		assert.Assert(t, time.Since(start) >= 3*time.Second)
		cancel()
		synctest.Wait()
	})
}

func TestLostRenewalResponseKeepsFencingToken(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := objectapi.New(time.Now, objectapi.Limits{})
		manager := newTestLeaseManager(store, "a")
		ctx, cancel := context.WithCancel(t.Context())
		go manager.Run(ctx)
		time.Sleep(2 * time.Second)
		before, _ := manager.FencingToken()
		store.SetFaults(objectapi.Faults{LoseAnswers: 1})
		time.Sleep(3 * time.Second)
		after, mayAct := manager.FencingToken()
		assert.Assert(t, mayAct)
		assert.Equal(t, after, before)
		cancel()
		synctest.Wait()
	})
}

// What a read answers was true when the store served it, not when it was requested: the holder
// may have renewed or released the lease in between.
func TestTurnGapIsKeptWhenReadOfRecordTakesLong(t *testing.T) {
	const step = 10 * time.Millisecond
	for name, test := range map[string]struct {
		readDelay      time.Duration
		holderStopsAt  time.Duration // after the successor has requested the read
		expectTakeover bool
	}{
		"suspended beside a live holder":           {readDelay: 10 * time.Second, holderStopsAt: time.Hour},
		"suspended until a holder released":        {readDelay: 10 * time.Second, holderStopsAt: 10*time.Second - step, expectTakeover: true},
		"slow store, released just before it read": {readDelay: 2 * time.Second, holderStopsAt: 2*time.Second - step, expectTakeover: true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := objectapi.New(time.Now, objectapi.Limits{})
				link := objectapi.NewLink(store)
				first, second := newTestLeaseManager(store, "a"), newTestLeaseManager(link, "b")
				ctx, cancel := context.WithCancel(t.Context())
				defer synctest.Wait()
				defer cancel()
				firstCtx, stopFirst := context.WithCancel(ctx)
				go first.Run(firstCtx)
				time.Sleep(5 * time.Second)

				link.SetFaults(objectapi.LinkFaults{Delay: test.readDelay})
				go second.Run(ctx)
				synctest.Wait() // the read has been requested
				link.SetFaults(objectapi.LinkFaults{})
				time.AfterFunc(test.holderStopsAt, stopFirst)
				var lastActOfFirst time.Time
				takenOver := false
				for start := time.Now(); time.Since(start) < 20*time.Second; time.Sleep(step) {
					synctest.Wait()
					if _, mayAct := first.FencingToken(); mayAct {
						assert.Assert(t, !takenOver, "both instances act")
						lastActOfFirst = time.Now()
					}
					if _, mayAct := second.FencingToken(); mayAct {
						takenOver = true
						gap := time.Since(lastActOfFirst)
						assert.Assert(t, gap >= 3*time.Second, "the successor acts %v after the holder, %v after it requested the read", gap, time.Since(start))
					}
				}
				assert.Equal(t, takenOver, test.expectTakeover)
			})
		})
	}
}

// Orders of a former holder may still be carried out. That there was none was concluded from a store that had come back from a copy of
// before it, and from the response to the acquisition, which may be lost: the unload of an adapter that was under way was then taken for a new
// one, so that the engine could be ordered to load above its room.
func TestFormerHolderIsAssumedUnlessStoreHasNeverHadOne(t *testing.T) {
	for name, test := range map[string]struct {
		prepare func(t *testing.T, store *objectapi.Memory)
		want    bool
	}{
		"first holder":  {func(*testing.T, *objectapi.Memory) {}, false},
		"there was one": {func(t *testing.T, store *objectapi.Memory) { holdForSeconds(t, store) }, true},
		"copy of before the first one": {func(t *testing.T, store *objectapi.Memory) {
			backup := store.Backup()
			holdForSeconds(t, store)
			store.Restore(backup)
		}, true},
		"response to the acquisition is lost": {func(t *testing.T, store *objectapi.Memory) {
			holdForSeconds(t, store)
			store.SetFaults(objectapi.Faults{LoseAnswers: 1})
		}, true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := objectapi.New(time.Now, objectapi.Limits{})
				test.prepare(t, store)
				manager := newTestLeaseManager(store, "b")
				ctx, cancel := context.WithCancel(t.Context())
				go manager.Run(ctx)
				time.Sleep(15 * time.Second)
				_, mayAct := manager.FencingToken()
				assert.Assert(t, mayAct)
				assert.Equal(t, manager.HadHolder(), test.want)
				cancel()
				synctest.Wait()
			})
		})
	}
}

// holdForSeconds has an instance hold the lease for some seconds.
func holdForSeconds(t *testing.T, store *objectapi.Memory) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	go newTestLeaseManager(store, "a").Run(ctx)
	time.Sleep(8 * time.Second)
	cancel()
	synctest.Wait()
}

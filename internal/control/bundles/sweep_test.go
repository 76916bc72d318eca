package bundles

import (
	"context"
	"errors"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"savoryweir/internal/coordination/retention"
	"savoryweir/internal/transport/bundlestore"
)

var errStore = errors.New("store is down")

// countingStore is a SweepStore that counts the sweeps of each page.
type countingStore struct {
	down    bool
	pages   [bundlestore.SweepPages]int
	history int
}

func (s *countingStore) Floor(context.Context, int) (retention.Floor, bool, error) {
	return retention.Floor{}, true, nil
}

func (s *countingStore) SweepPage(_ context.Context, _ retention.Floor, page int) (int, error) {
	if s.down {
		return 0, errStore
	}
	s.pages[page]++
	return 0, nil
}

func (s *countingStore) SweepHistory(context.Context, retention.Floor) (int, error) {
	s.history++
	return 0, nil
}

// sweepFor runs a Sweeper on the store for the given time.
func sweepFor(t *testing.T, d time.Duration, store *countingStore, assigned bool) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), d)
	defer cancel()
	s := NewSweeper(SweepOptions{
		Settings: Settings{SweepWait: 30 * time.Second}, Store: store, ShouldSweep: func() bool { return assigned },
		Logger: zerolog.Nop(), Rand: rand.New(rand.NewPCG(1, 0)),
	})
	assert.NilError(t, s.Run(ctx))
}

func TestSweepCoversAllPagesEvenly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &countingStore{}
		sweepFor(t, 24*time.Hour, store, true)
		for page, times := range store.pages {
			assert.Assert(t, times >= 10 && times <= 12, "page %d: %d times", page, times) // 2,880 pages a day
		}
		assert.Equal(t, store.history, store.pages[0])
	})
}

func TestFailedPageIsSweptAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &countingStore{down: true}
		sweepFor(t, time.Hour, store, true)
		store.down = false
		sweepFor(t, bundlestore.SweepPages*time.Minute, store, true)
		for page, times := range store.pages {
			assert.Assert(t, times > 0, "page %d", page)
		}
	})
}

func TestUnassignedInstanceDoesNotSweep(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &countingStore{}
		sweepFor(t, 24*time.Hour, store, false)
		assert.Equal(t, *store, countingStore{})
	})
}

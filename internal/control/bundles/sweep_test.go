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

// swept counts the parts that were swept.
type swept struct {
	down    bool
	pages   [bundlestore.SweepPages]int
	history int
}

func (s *swept) Floor(context.Context, int) (retention.Floor, bool, error) {
	return retention.Floor{}, true, nil
}

func (s *swept) SweepPage(_ context.Context, _ retention.Floor, page int) (int, error) {
	if s.down {
		return 0, errStore
	}
	s.pages[page]++
	return 0, nil
}

func (s *swept) SweepHistory(context.Context, retention.Floor) (int, error) {
	s.history++
	return 0, nil
}

// sweepFor runs a sweeper over the store for a time.
func sweepFor(t *testing.T, d time.Duration, store *swept, carries bool) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), d)
	defer cancel()
	s := NewSweeper(SweepOptions{
		Settings: Settings{SweepWait: 30 * time.Second}, Store: store, ShouldSweep: func() bool { return carries },
		Logger: zerolog.Nop(), Rand: rand.New(rand.NewPCG(1, 0)),
	})
	assert.NilError(t, s.Run(ctx))
}

func TestSweepComesToEveryPart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &swept{}
		sweepFor(t, 24*time.Hour, store, true)
		for page, times := range store.pages {
			assert.Assert(t, times >= 10 && times <= 12, "page %d: %d times", page, times) // 2,880 parts a day
		}
		assert.Equal(t, store.history, store.pages[0])
	})
}

func TestFailedPartIsSweptAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &swept{down: true}
		sweepFor(t, time.Hour, store, true)
		store.down = false
		sweepFor(t, bundlestore.SweepPages*time.Minute, store, true)
		for page, times := range store.pages {
			assert.Assert(t, times > 0, "page %d", page)
		}
	})
}

func TestOneInstanceSweeps(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &swept{}
		sweepFor(t, 24*time.Hour, store, false)
		assert.Equal(t, *store, swept{})
	})
}

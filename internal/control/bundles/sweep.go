package bundles

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"savoryweir/internal/coordination/retention"
	"savoryweir/internal/pause"
	"savoryweir/internal/transport/bundlestore"
)

// SweepStore is the part of the bundle store that a Sweeper uses.
type SweepStore interface {
	Floor(ctx context.Context, keep int) (retention.Floor, bool, error)
	SweepPage(ctx context.Context, floor retention.Floor, page int) (int, error)
	SweepHistory(ctx context.Context, floor retention.Floor) (int, error)
}

// SweepOptions are the dependencies and settings of a Sweeper.
type SweepOptions struct {
	Settings Settings
	Store    SweepStore
	// ShouldSweep reports whether this instance is the one that sweeps the store.
	// Two instances that sweep at the same time do no harm.
	ShouldSweep func() bool
	Logger      zerolog.Logger
	Metrics     prometheus.Registerer
	Rand        *rand.Rand
}

// Sweeper deletes content from the store that none of the kept generations needs. It
// sweeps one page at a time to limit the calls and the bytes that it transfers.
type Sweeper struct {
	SweepOptions
	deleted prometheus.Counter
}

// NewSweeper returns a Sweeper and registers its metric. Run starts it.
func NewSweeper(o SweepOptions) *Sweeper {
	s := &Sweeper{SweepOptions: o, deleted: prometheus.NewCounter(prometheus.CounterOpts{
		Name: "savoryweir_bundle_deleted_objects_total",
		Help: "Sections, signatures and approvals of former generations deleted from the store.",
	})}
	if o.Metrics != nil {
		o.Metrics.MustRegister(s.deleted)
	}
	return s
}

// Run sweeps until ctx ends. It starts at a random page because instances are often
// replaced before a sweep of all pages is complete.
func (s *Sweeper) Run(ctx context.Context) error {
	for page := s.Rand.IntN(bundlestore.SweepPages); pause.For(ctx, s.wait()); {
		if !s.ShouldSweep() {
			continue
		}
		if err := s.sweep(ctx, page); err != nil {
			s.Logger.Debug().Err(err).Msg("Former bundles not deleted; the store call failed.")
			continue
		}
		page = (page + 1) % bundlestore.SweepPages
	}
	return nil
}

// wait returns the time to the next page, random around a mean of SweepWait.
func (s *Sweeper) wait() time.Duration {
	return s.Settings.SweepWait/2 + time.Duration(s.Rand.Int64N(int64(s.Settings.SweepWait)))
}

// sweep deletes the unneeded content of one page, and with page 0 also the unneeded
// history.
func (s *Sweeper) sweep(ctx context.Context, page int) error {
	floor, ok, err := s.Store.Floor(ctx, s.Settings.KeepGenerations)
	if err != nil || !ok {
		return err
	}
	deleted, err := s.Store.SweepPage(ctx, floor, page)
	s.deleted.Add(float64(deleted))
	if err != nil || page != 0 {
		return err
	}
	deleted, err = s.Store.SweepHistory(ctx, floor)
	s.deleted.Add(float64(deleted))
	return err
}

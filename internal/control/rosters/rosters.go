// Package rosters keeps the rosters of the services at an instance: which engine belongs
// to which placement cell. Every instance watches them; one plans them.
package rosters

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"savoryweir/internal/coordination/membership"
	"savoryweir/internal/coordination/rosterplan"
	"savoryweir/internal/errs"
	"savoryweir/internal/pause"
	"savoryweir/internal/protocol/rosterfile"
	"savoryweir/internal/state/bundle"
	"savoryweir/internal/state/member"
	"savoryweir/internal/state/object"
	"savoryweir/internal/state/roster"
)

const (
	watchWait    = 30 * time.Second // of one waiting call
	callMargin   = 5 * time.Second  // beyond the wait
	retryMin     = time.Second
	retryMax     = 30 * time.Second
	planInterval = time.Second
	planTimeout  = 10 * time.Second
)

// ClusterState is what the rest of the control process knows.
type ClusterState interface {
	// Bundle returns the bundle in force, or nil before the first.
	Bundle() *bundle.Bundle
	// Members returns the usable members, this one included.
	Members() []member.Member
}

// Options are the parts that a Keeper uses.
type Options struct {
	Settings rosterplan.Settings
	Self     member.ID
	Store    object.Store
	Inputs   ClusterState
	Log      zerolog.Logger
	Random   *rand.Rand // used by the watching goroutine only
}

// Controller knows the rosters.
type Controller struct {
	Options
	planner *Planner

	mu    sync.Mutex // guards known
	known map[bundle.ServiceName]roster.Stored
}

// New returns a keeper that knows no roster. Run makes it work.
func New(o Options) *Controller {
	return &Controller{Options: o, planner: NewPlanner(o.Store, o.Settings), known: make(map[bundle.ServiceName]roster.Stored)}
}

// Roster returns the latest known roster of a service. It must not be changed. It may lag:
// nothing but the pace of hand-overs depends on it.
func (k *Controller) Roster(service bundle.ServiceName) (roster.Stored, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	r, ok := k.known[service]
	return r, ok
}

func (k *Controller) put(service bundle.ServiceName, r roster.Stored) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if r.Version > k.known[service].Version {
		k.known[service] = r
	}
}

// Run watches and plans until ctx ends.
func (k *Controller) Run(ctx context.Context) error {
	var group errgroup.Group
	group.Go(func() error { return k.watch(ctx) })
	group.Go(func() error { return k.plan(ctx) })
	return group.Wait()
}

// watch follows all rosters by waiting calls, which cost bytes only when one changes.
func (k *Controller) watch(ctx context.Context) error {
	var after object.Version
	retry := retryMin
	for ctx.Err() == nil {
		calling, cancel := context.WithTimeout(ctx, watchWait+callMargin)
		events, next, err := k.Store.Watch(calling, Kind, after, watchWait)
		cancel()
		if err != nil {
			k.Log.Debug().Err(errs.Wrap(err, "watch rosters", storePeer)).Msg("Rosters were not read.")
			pause.For(ctx, retry/2+time.Duration(k.Random.Int64N(int64(retry))))
			retry = min(2*retry, retryMax)
			continue
		}
		after, retry = next, retryMin
		for _, e := range events {
			k.take(e)
		}
	}
	return nil
}

func (k *Controller) take(e object.Event) {
	if e.Deleted {
		return
	}
	r, err := rosterfile.Decode(e.Object.Data)
	if err != nil {
		k.Log.Warn().Err(err).Str("service", string(e.Object.Name)).Msg("Roster was not understood.")
		return
	}
	k.put(bundle.ServiceName(e.Object.Name), roster.Stored{Roster: r, Version: e.Object.Version})
}

// plan plans the rosters that fall to this instance, again and again.
func (k *Controller) plan(ctx context.Context) error {
	for pause.For(ctx, planInterval) {
		b := k.Inputs.Bundle()
		if b == nil {
			continue
		}
		for _, s := range b.Services {
			task := "placement-roster/" + string(s.Name)
			if s.Kind == bundle.KindGeneration && membership.IsAssigned(k.Self, task, 1, k.Inputs.Members()) {
				k.planService(ctx, b, s.Name)
			}
		}
	}
	return nil
}

func (k *Controller) planService(ctx context.Context, b *bundle.Bundle, service bundle.ServiceName) {
	ctx, cancel := context.WithTimeout(ctx, planTimeout)
	defer cancel()
	current, _ := k.Roster(service)
	next, written, err := k.planner.Plan(ctx, service, b.UpstreamsOf(service), current)
	if err != nil && !errors.Is(err, object.ErrConflict) {
		k.Log.Warn().Err(err).Str("service", string(service)).Msg("Roster was not planned.")
	}
	if written {
		k.put(service, next)
		k.Log.Info().Str("service", string(service)).Int("cells", next.Cells).Msg("Roster was written.")
	}
}

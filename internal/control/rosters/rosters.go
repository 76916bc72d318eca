// Package rosters keeps the rosters of the services up to date at an instance. A roster
// assigns the engines of a service to placement cells. Every instance watches all rosters,
// and one instance plans the roster of each service.
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
	watchWait    = 30 * time.Second // how long the store may hold one watch call
	callMargin   = 5 * time.Second  // time beyond watchWait until the call is canceled
	retryMin     = time.Second
	retryMax     = 30 * time.Second
	planInterval = time.Second
	planTimeout  = 10 * time.Second
)

// ClusterState gives access to what the rest of the control process knows.
type ClusterState interface {
	// Bundle returns the bundle in force, or nil before the first.
	Bundle() *bundle.Bundle
	// Members returns the usable members, this one included.
	Members() []member.Member
}

// Options are the settings and dependencies of a Controller.
type Options struct {
	Settings rosterplan.Settings
	Self     member.ID
	Store    object.Store
	Inputs   ClusterState
	Log      zerolog.Logger
	Random   *rand.Rand // used by the watching goroutine only
}

// Controller watches the rosters and plans those that are assigned to this instance.
type Controller struct {
	Options
	planner *Planner

	mu    sync.Mutex // guards known
	known map[bundle.ServiceName]roster.Stored
}

// New returns a controller that knows no roster. It does nothing until Run is called.
func New(o Options) *Controller {
	return &Controller{Options: o, planner: NewPlanner(o.Store, o.Settings), known: make(map[bundle.ServiceName]roster.Stored)}
}

// Roster returns the latest known roster of a service. Callers must not change it. It may be out
// of date, which only slows down handovers.
func (c *Controller) Roster(service bundle.ServiceName) (roster.Stored, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r, ok := c.known[service]
	return r, ok
}

func (c *Controller) storeIfNewer(service bundle.ServiceName, r roster.Stored) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if r.Version > c.known[service].Version {
		c.known[service] = r
	}
}

// Run watches and plans rosters until ctx ends.
func (c *Controller) Run(ctx context.Context) error {
	var group errgroup.Group
	group.Go(func() error { return c.watch(ctx) })
	group.Go(func() error { return c.planPeriodically(ctx) })
	return group.Wait()
}

// watch watches all rosters with long polls, which transfer data only when a roster changes.
func (c *Controller) watch(ctx context.Context) error {
	var after object.Version
	retry := retryMin
	for ctx.Err() == nil {
		calling, cancel := context.WithTimeout(ctx, watchWait+callMargin)
		events, next, err := c.Store.Watch(calling, Kind, after, watchWait)
		cancel()
		if err != nil {
			c.Log.Debug().Err(errs.Wrap(err, "watch rosters", storePeer)).Msg("rosters not read; the watch is retried")
			pause.For(ctx, retry/2+time.Duration(c.Random.Int64N(int64(retry))))
			retry = min(2*retry, retryMax)
			continue
		}
		after, retry = next, retryMin
		for _, e := range events {
			c.applyEvent(e)
		}
	}
	return nil
}

func (c *Controller) applyEvent(e object.Event) {
	if e.Deleted {
		return
	}
	r, err := rosterfile.Decode(e.Object.Data)
	if err != nil {
		c.Log.Warn().Err(err).Str("service", string(e.Object.Name)).Msg("roster ignored; it could not be decoded")
		return
	}
	c.storeIfNewer(bundle.ServiceName(e.Object.Name), roster.Stored{Roster: r, Version: e.Object.Version})
}

// planPeriodically plans the rosters that are assigned to this instance once per planInterval.
func (c *Controller) planPeriodically(ctx context.Context) error {
	for pause.For(ctx, planInterval) {
		b := c.Inputs.Bundle()
		if b == nil {
			continue
		}
		for _, s := range b.Services {
			task := "placement-roster/" + string(s.Name)
			if s.Kind == bundle.KindGeneration && membership.IsAssigned(c.Self, task, 1, c.Inputs.Members()) {
				c.planService(ctx, b, s.Name)
			}
		}
	}
	return nil
}

func (c *Controller) planService(ctx context.Context, b *bundle.Bundle, service bundle.ServiceName) {
	ctx, cancel := context.WithTimeout(ctx, planTimeout)
	defer cancel()
	current, _ := c.Roster(service)
	next, written, err := c.planner.Plan(ctx, service, b.UpstreamsOf(service), current)
	if err != nil && !errors.Is(err, object.ErrConflict) {
		c.Log.Warn().Err(err).Str("service", string(service)).Msg("new roster not written")
	}
	if written {
		c.storeIfNewer(service, next)
		c.Log.Info().Str("service", string(service)).Int("cells", next.Cells).Msg("new roster written")
	}
}

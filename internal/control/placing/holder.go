package placing

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"savoryweir/internal/coordination/placement"
	"savoryweir/internal/protocol/ledgerfile"
	"savoryweir/internal/state/bundle"
	"savoryweir/internal/state/member"
	"savoryweir/internal/state/news"
	"savoryweir/internal/state/object"
	"savoryweir/internal/state/replica"
	"savoryweir/internal/state/roster"
)

// ClusterState is what the rest of the control process knows.
type ClusterState interface {
	// Bundle returns the bundle in force, or nil before the first.
	Bundle() *bundle.Bundle
	// Members returns the usable members, this one included.
	Members() []member.Member
	// Leaving returns the upstreams that take no new work.
	Leaving() []bundle.UpstreamID
	// Demand returns the present traffic over all entries of the models.
	Demand(now time.Time) []Demand
	// Roster returns the assignment of a service's engines, if there is one yet.
	Roster(service bundle.ServiceName) (roster.Stored, bool)
}

// Publisher tells the entries which replicas a cell has.
type Publisher interface {
	// Cell returns the latest known replicas of a cell.
	Cell(id news.CellID) (replica.Cell, bool)
	// Publish replaces them.
	Publish(ctx context.Context, c replica.Cell) error
}

// Options are the parts that a Holder uses.
type Options struct {
	Settings  Settings
	Self      member.ID
	Store     object.Store
	Engines   EngineConnector
	Inputs    ClusterState
	Publisher Publisher
	Log       zerolog.Logger
	Random    *rand.Rand // used by the holder's goroutine only
}

// Holder holds the cells that fall to this instance.
type Holder struct {
	Options
	cells       map[object.Name]*Cell
	assignments map[bundle.ServiceName]knownAssignment
}

// NewHolder returns a holder without cells. Run makes it work.
func NewHolder(o Options) *Holder {
	return &Holder{Options: o, cells: make(map[object.Name]*Cell), assignments: make(map[bundle.ServiceName]knownAssignment)}
}

// Run takes a step of each cell that falls to this instance, again and again, until ctx ends.
func (h *Holder) Run(ctx context.Context) error {
	ticker := time.NewTicker(h.Settings.Interval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			h.step(ctx)
		case <-ctx.Done():
			h.releaseExcept(nil)
			return nil
		}
	}
}

// step works on all cells of this instance side by side.
func (h *Holder) step(ctx context.Context) {
	b := h.Inputs.Bundle()
	if b == nil {
		return
	}
	now := time.Now()
	members := h.Inputs.Members()
	scopes := h.ownScopes(now, b, members)
	h.releaseExcept(scopes)
	var group errgroup.Group
	for _, scope := range scopes {
		cell := h.cell(scope.Name)
		group.Go(func() error {
			h.stepCell(ctx, now, cell, scope)
			return nil
		})
	}
	_ = group.Wait() // each cell logs its own faults
}

func (h *Holder) stepCell(ctx context.Context, now time.Time, cell *Cell, scope Scope) {
	if err := cell.Reconcile(ctx, now, scope); err != nil {
		h.Log.Warn().Err(err).Str("cell", string(scope.Name)).Msg("Placement step failed.")
		return
	}
	if cell.Ledger() == nil || cell.Ledger().Holder != string(h.Self) {
		return
	}
	if err := h.publish(ctx, now, cell.Replicas(scope), scope.Name); err != nil {
		h.Log.Warn().Err(err).Str("cell", string(scope.Name)).Msg("Replicas were not published.")
	}
}

// publish tells the entries of the replicas when they differ from those that are known.
func (h *Holder) publish(ctx context.Context, now time.Time, replicas []Replica, name object.Name) error {
	id := news.CellID(name)
	next := replica.Cell{Head: news.CellHead{Cell: id}, Replicas: toEntries(replicas)}
	known, ok := h.Publisher.Cell(id)
	if ok && slices.Equal(known.Replicas, next.Replicas) {
		return nil
	}
	// The time keeps versions rising over holders that did not hear of one another.
	next.Head.Version = max(known.Head.Version+1, uint64(now.UnixMilli()))
	return h.Publisher.Publish(ctx, next)
}

// toEntries returns the replicas as entries see them, sorted: a slot is ready if any version
// of it is. Those that are not ready are left out, since no request goes to them.
func toEntries(replicas []Replica) []replica.Replica {
	var entries []replica.Replica
	for _, r := range replicas {
		if !r.Ready {
			continue
		}
		e := replica.Replica{Upstream: r.Upstream, Model: r.Slot.Model, Adapter: r.Slot.Adapter, Ready: true}
		entries = append(entries, e)
	}
	replica.Sort(entries)
	return slices.Compact(entries)
}

func (h *Holder) cell(name object.Name) *Cell {
	if c, ok := h.cells[name]; ok {
		return c
	}
	c := NewCell(string(h.Self), h.Settings, h.Store, h.Engines, placement.NewCostAware(h.Settings.Policy), h.Random.Uint64)
	h.cells[name] = c
	return c
}

// releaseExcept drops the cells that do not fall to this instance any more. The
// leases lapse by themselves, or end with this instance's membership.
func (h *Holder) releaseExcept(scopes []Scope) {
	for name, c := range h.cells {
		held := slices.ContainsFunc(scopes, func(s Scope) bool { return s.Name == name })
		if !held {
			c.closeSessions()
			delete(h.cells, name)
		}
	}
}

// ownScopes returns the scopes of the cells that fall to this instance.
func (h *Holder) ownScopes(now time.Time, b *bundle.Bundle, members []member.Member) []Scope {
	demand := h.Inputs.Demand(now)
	leaving := h.Inputs.Leaving()
	alive := func(instance string) bool {
		return slices.ContainsFunc(members, func(m member.Member) bool { return string(m.ID) == instance })
	}
	rates := h.rates(b)
	var own []Scope
	for _, s := range h.scopes(b, members) {
		s.Demand, s.Leaving, s.IsInstanceAlive, s.LoadLimits = demand, leaving, alive, rates
		s.IsPublishedReady = h.isReadyInNews
		own = append(own, s)
	}
	return own
}

// rates splits the weight store's limits evenly over the cells.
func (h *Holder) rates(b *bundle.Bundle) placement.LoadLimits {
	cells := 0
	for _, s := range b.Services {
		if r, ok := h.Inputs.Roster(s.Name); ok && s.Kind == bundle.KindGeneration {
			cells += r.Cells
		}
	}
	cells = max(cells, 1)
	return placement.LoadLimits{
		ModelLoads:   max(h.Settings.LoadsAtOnce/cells, 1),
		AdapterLoads: max(h.Settings.AdaptersInTransit/cells, 1),
	}
}

// isReadyInNews reports whether a cell has published a model as ready.
func (h *Holder) isReadyInNews(cell object.Name, id bundle.ModelID) bool {
	known, ok := h.Publisher.Cell(news.CellID(cell))
	return ok && slices.ContainsFunc(known.Replicas, func(r replica.Replica) bool {
		return r.Model == id && r.Adapter == "" && r.Ready
	})
}

// OwnerTask names the task of holding a cell, by which its owner is chosen.
func OwnerTask(name object.Name) string { return "placement-cell/" + string(name) }

// CellName returns the name of a service's cell.
func CellName(service bundle.ServiceName, index int) object.Name {
	return ledgerfile.Name(service, index)
}

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

// ClusterState gives access to what the rest of the control process knows.
type ClusterState interface {
	// Bundle returns the bundle in force, or nil before the first.
	Bundle() *bundle.Bundle
	// Members returns the usable members, this one included.
	Members() []member.Member
	// Leaving returns the upstreams that must get no new work.
	Leaving() []bundle.UpstreamID
	// Demand returns the current traffic of the models, summed over all entries.
	Demand(now time.Time) []Demand
	// Roster returns the assignment of a service's engines to cells, or false if there is none yet.
	Roster(service bundle.ServiceName) (roster.Stored, bool)
}

// Publisher publishes to the entries which replicas a cell has.
type Publisher interface {
	// Cell returns the latest known replicas of a cell.
	Cell(id news.CellID) (replica.Cell, bool)
	// Publish replaces the published replicas of a cell.
	Publish(ctx context.Context, c replica.Cell) error
}

// Options are the settings and dependencies of a Holder.
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

// Holder manages the cells that are assigned to this instance.
type Holder struct {
	Options
	cells       map[object.Name]*Cell
	assignments map[bundle.ServiceName]cachedAssignment
}

// NewHolder returns a holder without cells. It does nothing until Run is called.
func NewHolder(o Options) *Holder {
	return &Holder{Options: o, cells: make(map[object.Name]*Cell), assignments: make(map[bundle.ServiceName]cachedAssignment)}
}

// Run reconciles the cells that are assigned to this instance once per interval until ctx ends.
func (h *Holder) Run(ctx context.Context) error {
	ticker := time.NewTicker(h.Settings.Interval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			h.reconcile(ctx)
		case <-ctx.Done():
			h.dropExcept(nil)
			return nil
		}
	}
}

// reconcile reconciles all cells of this instance concurrently.
func (h *Holder) reconcile(ctx context.Context) {
	b := h.Inputs.Bundle()
	if b == nil {
		return
	}
	now := time.Now()
	members := h.Inputs.Members()
	scopes := h.ownScopes(now, b, members)
	h.dropExcept(scopes)
	var group errgroup.Group
	for _, scope := range scopes {
		cell := h.cell(scope.Name)
		group.Go(func() error {
			h.reconcileCell(ctx, now, cell, scope)
			return nil
		})
	}
	_ = group.Wait() // each cell logs its own errors
}

func (h *Holder) reconcileCell(ctx context.Context, now time.Time, cell *Cell, scope Scope) {
	if err := cell.Reconcile(ctx, now, scope); err != nil {
		h.Log.Warn().Err(err).Str("cell", string(scope.Name)).Msg("placement cell not reconciled")
		return
	}
	if cell.Ledger() == nil || cell.Ledger().Holder != string(h.Self) {
		return
	}
	if err := h.publish(ctx, now, cell.Replicas(scope), scope.Name); err != nil {
		h.Log.Warn().Err(err).Str("cell", string(scope.Name)).Msg("replicas of the cell not published")
	}
}

// publish publishes the replicas if they differ from those last published.
func (h *Holder) publish(ctx context.Context, now time.Time, replicas []Replica, name object.Name) error {
	id := news.CellID(name)
	next := replica.Cell{Head: news.CellHead{Cell: id}, Replicas: readyReplicas(replicas)}
	known, ok := h.Publisher.Cell(id)
	if ok && slices.Equal(known.Replicas, next.Replicas) {
		return nil
	}
	// The clock keeps versions increasing across holders that do not know of each other's versions.
	next.Head.Version = max(known.Head.Version+1, uint64(now.UnixMilli()))
	return h.Publisher.Publish(ctx, next)
}

// readyReplicas returns the replicas in the form that entries use, sorted. A slot is ready if any
// version of it is ready. Replicas that are not ready are left out because they get no requests.
func readyReplicas(replicas []Replica) []replica.Replica {
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

// dropExcept drops the cells that are no longer assigned to this instance. Their leases expire,
// or end with this instance's membership.
func (h *Holder) dropExcept(scopes []Scope) {
	for name, c := range h.cells {
		held := slices.ContainsFunc(scopes, func(s Scope) bool { return s.Name == name })
		if !held {
			c.closeSessions()
			delete(h.cells, name)
		}
	}
}

// ownScopes returns the scopes of the cells that are assigned to this instance.
func (h *Holder) ownScopes(now time.Time, b *bundle.Bundle, members []member.Member) []Scope {
	demand := h.Inputs.Demand(now)
	leaving := h.Inputs.Leaving()
	alive := func(instance string) bool {
		return slices.ContainsFunc(members, func(m member.Member) bool { return string(m.ID) == instance })
	}
	loadLimits := h.loadLimits(b)
	var own []Scope
	for _, s := range h.scopes(b, members) {
		s.Demand, s.Leaving, s.IsInstanceAlive, s.LoadLimits = demand, leaving, alive, loadLimits
		s.IsPublishedReady = h.isPublishedReady
		own = append(own, s)
	}
	return own
}

// loadLimits splits the weight store's limits evenly over the cells.
func (h *Holder) loadLimits(b *bundle.Bundle) placement.LoadLimits {
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

// isPublishedReady reports whether a cell has published a model as ready.
func (h *Holder) isPublishedReady(cell object.Name, id bundle.ModelID) bool {
	known, ok := h.Publisher.Cell(news.CellID(cell))
	return ok && slices.ContainsFunc(known.Replicas, func(r replica.Replica) bool {
		return r.Model == id && r.Adapter == "" && r.Ready
	})
}

// OwnerTask returns the name of the task of holding a cell, from which the cell's owner is chosen.
func OwnerTask(name object.Name) string { return "placement-cell/" + string(name) }

// CellName returns the name of a service's cell.
func CellName(service bundle.ServiceName, index int) object.Name {
	return ledgerfile.Name(service, index)
}

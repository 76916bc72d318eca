package placing

import (
	"errors"
	"slices"
	"time"

	"savoryweir/internal/coordination/placement"
	"savoryweir/internal/state/bundle"
	"savoryweir/internal/state/ledger"
)

// plan decides on loads and unloads and records their orders, and the orders to resend, in the ledger.
func (c *Cell) plan(now time.Time, l *ledger.Ledger, scope Scope, fence ledger.Fence) []ledger.Order {
	if fence == 0 {
		return nil // the first write only creates the ledger
	}
	orders := c.resend(now, l, scope, fence)
	for _, a := range c.policy.Decide(now, c.snapshot(now, l, scope)) {
		order, err := planAction(l, a, scope, fence)
		if err == nil {
			orders = append(orders, order)
		}
	}
	return orders
}

func planAction(l *ledger.Ledger, a placement.Action, scope Scope, fence ledger.Fence) (ledger.Order, error) {
	if a.Action == ledger.Load {
		return l.PlanLoad(a.Engine, a.Slot, a.Memory, fence)
	}
	return l.PlanUnload(a.Engine, a.Slot, a.Retired && !scope.isRetained(a.Slot.Model), fence)
}

// resend records the orders again that are overdue and returns them.
func (c *Cell) resend(now time.Time, l *ledger.Ledger, scope Scope, fence ledger.Fence) []ledger.Order {
	var orders []ledger.Order
	for _, key := range c.tracker.overdue(now, c.settings.Resend) {
		e := l.Engine(key.engine)
		if e == nil || !scope.acceptsOrders(key.engine) {
			continue
		}
		item := e.Item(key.slot)
		if item == nil {
			continue
		}
		order, err := planResend(l, key.engine, *item, scope, fence)
		if err == nil {
			orders = append(orders, order)
			c.tracker.recordResend(key, now)
		}
	}
	return orders
}

// planResend repeats an order or plans its reverse if it is no longer wanted. It reverses a load
// of a slot that the bundle does not list, and an unload of what has become the last ready replica.
func planResend(l *ledger.Ledger, id bundle.UpstreamID, item ledger.Item, scope Scope, fence ledger.Fence) (ledger.Order, error) {
	retired := !scope.listsModel(item.Slot.Model) && !scope.isRetained(item.Slot.Model)
	if len(item.Unloads) == 0 && !retired && scope.isCurrentVersion(item.Slot) {
		return l.PlanLoad(id, item.Slot, item.Memory, fence)
	}
	order, err := l.PlanUnload(id, item.Slot, retired, fence)
	if errors.Is(err, ledger.ErrLastReplica) {
		return l.PlanLoad(id, item.Slot, item.Memory, fence)
	}
	return order, err
}

func (s Scope) listsModel(id bundle.ModelID) bool {
	return slices.ContainsFunc(s.Models, func(m bundle.Model) bool { return m.ID == id })
}

// isRetained reports whether a model is foreign and must not be unloaded yet.
func (s Scope) isRetained(id bundle.ModelID) bool { return slices.Contains(s.retained, id) }

func (s Scope) isCurrentVersion(slot ledger.Slot) bool {
	return slices.ContainsFunc(s.Models, func(m bundle.Model) bool {
		return m.ID == slot.Model && m.Version == slot.Version
	})
}

func (s Scope) acceptsOrders(id bundle.UpstreamID) bool {
	listed := slices.ContainsFunc(s.Upstreams, func(u bundle.Upstream) bool { return u.ID == id })
	return listed && !slices.Contains(s.Leaving, id)
}

// snapshot returns the policy's input.
func (c *Cell) snapshot(now time.Time, l *ledger.Ledger, scope Scope) placement.Snapshot {
	s := placement.Snapshot{Limits: scope.LoadLimits, Protected: scope.retained}
	for _, u := range scope.Upstreams {
		e := l.Engine(u.ID)
		s.Engines = append(s.Engines, placement.Engine{
			ID: u.ID, Zone: u.Zone, Memory: u.Memory, Allocated: e.ChargedMemory(), Compute: 1,
			Usable:       scope.acceptsOrders(u.ID) && !e.Unreachable && e.Boot != "",
			Unresponsive: e.Unreachable && scope.acceptsOrders(u.ID) && now.Sub(c.lastReportAt[u.ID]) < c.settings.LostAfter,
			FreesMemory:  e.Delivery != ledger.DeliveryAtLeastOnce,
			Replicas:     snapshotItems(e),
		})
	}
	demand := c.modelDemand(now, scope, s.Engines)
	for i, m := range scope.Models {
		s.Models = append(s.Models, placement.Model{Model: m, Demand: demand[i]})
	}
	for _, a := range scope.Adapters {
		s.Adapters = append(s.Adapters, placement.Adapter{Adapter: a, Demand: adapterDemand(scope, a.ID)})
	}
	return s
}

func snapshotItems(e *ledger.Engine) []placement.Replica {
	var items []placement.Replica
	for _, i := range e.Items {
		item := placement.Replica{Slot: i.Slot, Memory: i.Memory, State: itemState(i)}
		if !i.Charged() {
			item.Memory = 0 // an unload may be in progress, but it frees no memory
		}
		items = append(items, item)
	}
	return items
}

func itemState(i ledger.Item) placement.State {
	switch {
	case len(i.Unloads) > 0:
		return placement.Unloading
	case i.Ready:
		return placement.Ready
	default:
		return placement.Pending
	}
}

// modelDemand returns the demand of each model of the scope, in numbers of engines.
func (c *Cell) modelDemand(now time.Time, scope Scope, engines []placement.Engine) []float64 {
	traffic := make([]placement.Traffic, 0, len(scope.Models))
	for _, m := range scope.Models {
		traffic = append(traffic, scope.traffic(m.ID))
	}
	compute := 0.0
	for _, e := range engines {
		if e.Usable {
			compute += e.Compute
		}
	}
	return c.estimator.Demand(now, traffic, compute)
}

// traffic returns the sum of a model's traffic with and without adapters.
func (s Scope) traffic(id bundle.ModelID) placement.Traffic {
	sum := placement.Traffic{Model: id}
	for _, d := range s.Demand {
		if d.Model != id {
			continue
		}
		sum.Requests += d.RequestsPerSecond
		sum.Completed += d.CompletedPerSecond
		sum.Tokens += d.TokensPerSecond
	}
	return sum
}

func adapterDemand(scope Scope, id bundle.AdapterID) float64 {
	requests := 0.0
	for _, d := range scope.Demand {
		if d.Adapter == id {
			requests += d.RequestsPerSecond
		}
	}
	return requests
}

// Replicas returns the replicas on the cell's engines, for the entries. An outdated version of a
// model is listed only while no replica of the version in force is ready.
func (c *Cell) Replicas(scope Scope) []Replica {
	if c.lastLedger == nil {
		return nil
	}
	engines := slices.Clone(c.lastLedger.Engines)
	for _, h := range c.lastLedger.Outgoing {
		engines = append(engines, h.Engine) // listed here until the other cell has adopted and published it
	}
	var all []Replica
	for _, e := range engines {
		if e.Unreachable || !scope.acceptsOrders(e.ID) {
			continue
		}
		for _, i := range e.Items {
			all = append(all, Replica{Upstream: e.ID, Slot: i.Slot, Ready: i.Ready && len(i.Unloads) == 0})
		}
	}
	return slices.DeleteFunc(all, func(r Replica) bool {
		return !scope.isCurrentVersion(r.Slot) && hasReadyVersion(all, scope, r.Slot.Model)
	})
}

func hasReadyVersion(all []Replica, scope Scope, id bundle.ModelID) bool {
	return slices.ContainsFunc(all, func(r Replica) bool {
		return r.Ready && r.Slot.Model == id && scope.isCurrentVersion(r.Slot)
	})
}

package control

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"savoryweir/internal/coordination/membership"
	"savoryweir/internal/pause"
	"savoryweir/internal/state/bundle"
	"savoryweir/internal/state/member"
	"savoryweir/internal/state/news"
	"savoryweir/internal/state/object"
	"savoryweir/internal/state/status"
	"savoryweir/internal/transport/operations"
)

// storeReading is the name of the task of reading the platform's list of instances and
// watching the bundle pointer, which is assigned to a few instances.
const storeReading = "store-reading"

// storeSweep is the name of the task of deleting former bundles from the store, which is
// assigned to one instance.
const storeSweep = "store-sweep"

// listCallTimeout is the timeout of one read of the platform's list of instances.
const listCallTimeout = 2 * time.Second

var errNoBundle = errors.New("no bundle is in force")

// runNotifier notifies the entry processes whenever the members, the cells or the bundle
// in force change. It also assigns the watch of the bundle pointer when the members
// change.
func (p *Process) runNotifier(ctx context.Context) error {
	bundleChanged := p.bundles.Changed()
	for {
		select {
		case <-p.peers.Changed():
			p.bundles.SetWatching(p.readsStore())
		case <-p.cells.Changed():
		case <-bundleChanged:
			bundleChanged = p.bundles.Changed()
		case <-ctx.Done():
			return nil
		}
		p.view.Notify()
	}
}

// readsStore reports whether this instance is assigned the task of reading the store.
func (p *Process) readsStore() bool {
	return membership.IsAssigned(p.peers.Self.ID, storeReading, p.settings.Peers.ListReaders, p.peers.Snapshot().Usable())
}

// sweepsStore reports whether this instance is assigned the task of deleting former
// bundles from the store.
func (p *Process) sweepsStore() bool {
	return membership.IsAssigned(p.peers.Self.ID, storeSweep, 1, p.peers.Snapshot().Usable())
}

// runHeads announces each bundle that comes into force on this instance to the peers.
func (p *Process) runHeads(ctx context.Context) error {
	for {
		changed := p.bundles.Changed()
		if head := p.bundles.Head(); head.Generation > 0 {
			if err := p.peers.SetHead(ctx, head); err != nil {
				return nil
			}
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil
		}
	}
}

// runInstanceList reads the platform's list of instances every ListInterval while this
// instance is assigned the task. At the start this is the case because no other members
// are known yet.
func (p *Process) runInstanceList(ctx context.Context) error {
	for {
		if p.readsStore() {
			p.readInstanceList(ctx)
		}
		if !pause.For(ctx, p.settings.Peers.ListInterval) {
			return nil
		}
	}
}

// readInstanceList reads the platform's list once and passes it to the peers service.
func (p *Process) readInstanceList(ctx context.Context) {
	reading, cancel := context.WithTimeout(ctx, listCallTimeout)
	defer cancel()
	list, err := p.store.Instances(reading)
	if err != nil {
		p.log.Debug().Err(err).Msg("Instance list not read; the call failed.")
		return
	}
	members, leaving := p.splitInstanceList(list, time.Now())
	// The calls fail only when the process stops or the read has used up its time; the next
	// read repeats them.
	_ = p.peers.AddInstances(reading, members)
	_ = p.peers.Offer(reading, news.Batch{Leaving: leaving})
}

// splitInstanceList splits the platform's list into control processes and changes of
// upstreams. The list lags behind, so an upstream counts as returned only if the list has
// shown it as leaving before and does not any more.
func (p *Process) splitInstanceList(list []object.Instance, now time.Time) ([]member.Member, []news.UpstreamLeaving) {
	var members []member.Member
	var changes []news.UpstreamLeaving
	for _, i := range list {
		id := bundle.UpstreamID(i.ID)
		switch {
		case i.Role == object.RoleSavoryweir && !i.Leaving:
			members = append(members, member.Member{ID: member.ID(i.ID), Address: i.Address, Zone: bundle.Zone(i.Zone)})
		case i.Role == object.RoleUpstream && i.Leaving:
			p.listedLeaving[id] = true
			changes = append(changes, news.UpstreamLeaving{Upstream: id, Since: now})
		case i.Role == object.RoleUpstream && p.listedLeaving[id]:
			delete(p.listedLeaving, id)
			changes = append(changes, news.UpstreamLeaving{Upstream: id, Since: now, Returned: true})
		}
	}
	return members, changes
}

// operationsHandler returns the HTTP handler for the operations port.
func (p *Process) operationsHandler() http.Handler {
	return operations.Handler(operations.Options{
		Metrics: p.registry,
		Ready:   p.ready,
		Status:  p.status,
		Events:  p.recorder.Events,
	})
}

// Describe sends the descriptors of all metrics. The generator of the reference pages uses
// it.
func (p *Process) Describe(descs chan<- *prometheus.Desc) { p.registry.Describe(descs) }

// ready returns an error until a bundle is in force.
func (p *Process) ready() error {
	if p.bundles.Current() == nil {
		return errNoBundle
	}
	return nil
}

// status returns the status for the operations port.
func (p *Process) status() status.Status {
	head := p.bundles.Head()
	s := status.Status{
		Process:    "control",
		Instance:   p.settings.Instance.ID,
		Zone:       p.settings.Instance.Zone,
		Generation: head.Generation,
	}
	if head.Generation > 0 {
		s.Manifest = head.Manifest.String()
	}
	for _, r := range p.peers.Snapshot().Members {
		s.Members = append(s.Members, status.Member{ID: string(r.ID), Zone: string(r.Zone), State: r.State.String()})
	}
	return s
}

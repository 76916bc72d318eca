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

// storeReading names the task of reading the platform's list and watching the
// bundle pointer, which a few instances carry for all.
const storeReading = "store-reading"

// storeSweep names the task of deleting former bundles, which one instance carries.
const storeSweep = "store-sweep"

// listCallTimeout bounds one read of the platform's list.
const listCallTimeout = 2 * time.Second

var errNoBundle = errors.New("no bundle is in force")

// runNotifier tells the entry when any part of its view has changed.
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

// readsStore reports whether this instance is one of those that read the store for all.
func (p *Process) readsStore() bool {
	return membership.IsAssigned(p.peers.Self.ID, storeReading, p.settings.Peers.ListReaders, p.peers.Snapshot().Usable())
}

// sweepsStore reports whether this instance deletes former bundles from the store.
func (p *Process) sweepsStore() bool {
	return membership.IsAssigned(p.peers.Self.ID, storeSweep, 1, p.peers.Snapshot().Usable())
}

// runHeads tells the peers of each bundle that comes into force here.
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

// runInstanceList reads the platform's list at the start and, if this instance
// carries the task, again and again.
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

func (p *Process) readInstanceList(ctx context.Context) {
	reading, cancel := context.WithTimeout(ctx, listCallTimeout)
	defer cancel()
	list, err := p.store.Instances(reading)
	if err != nil {
		p.log.Debug().Err(err).Msg("Instance list was not read.")
		return
	}
	members, leaving := p.sortList(list, time.Now())
	// Both calls fail only at the end of the process.
	_ = p.peers.AddInstances(reading, members)
	_ = p.peers.Offer(reading, news.Batch{Leaving: leaving})
}

// sortList splits the platform's list into instances of the system and changes
// of upstreams. The list lags, so only an upstream that it has shown as leaving
// before, and shows no longer so, has returned.
func (p *Process) sortList(list []object.Instance, now time.Time) ([]member.Member, []news.UpstreamLeaving) {
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

func (p *Process) operationsHandler() http.Handler {
	return operations.Handler(operations.Options{
		Metrics: p.registry,
		Ready:   p.ready,
		Status:  p.status,
		Events:  p.recorder.Events,
	})
}

// Describe sends the descriptors of all metrics, for the reference pages.
func (p *Process) Describe(descs chan<- *prometheus.Desc) { p.registry.Describe(descs) }

func (p *Process) ready() error {
	if p.bundles.Current() == nil {
		return errNoBundle
	}
	return nil
}

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

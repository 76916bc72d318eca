package control

import (
	"context"
	"sync/atomic"
	"time"

	pb "savoryweir/api/savoryweir/v1"
	"savoryweir/internal/control/bundles"
	"savoryweir/internal/control/cells"
	"savoryweir/internal/control/demandflow"
	"savoryweir/internal/control/peers"
	"savoryweir/internal/control/placing"
	"savoryweir/internal/control/rosters"
	"savoryweir/internal/coordination/claims"
	"savoryweir/internal/coordination/membership"
	"savoryweir/internal/protocol/bundlefile"
	"savoryweir/internal/state/bundle"
	"savoryweir/internal/state/demand"
	"savoryweir/internal/state/member"
	"savoryweir/internal/state/news"
	"savoryweir/internal/state/replica"
	"savoryweir/internal/state/roster"
	"savoryweir/internal/transport/engineclient"
	"savoryweir/internal/transport/peerconn"
	"savoryweir/internal/transport/tlsconf"
)

// bundleView adapts the bundle manager to view.Bundles.
type bundleView struct{ bundles *bundles.Manager }

// InForce implements view.Bundles.
func (b bundleView) InForce() (bundle.Head, []bundlefile.Section) {
	current := b.bundles.Current()
	if current == nil {
		return bundle.Head{}, nil
	}
	return current.Head, current.All()
}

// claimMembers provides the usable members to the claims service. It caches the result
// for the last snapshot.
type claimMembers struct {
	peers *peers.Service
	last  atomic.Pointer[claimMemberCache]
}

// claimMemberCache holds the converted members of one snapshot.
type claimMemberCache struct {
	snapshot *peers.Snapshot
	members  []claims.Member
}

// Members returns the usable members, including this instance. It converts the members
// again only when the snapshot has changed.
func (c *claimMembers) Members() []claims.Member {
	snapshot := c.peers.Snapshot()
	if last := c.last.Load(); last != nil && last.snapshot == snapshot {
		return last.members
	}
	current := &claimMemberCache{snapshot: snapshot}
	for _, m := range snapshot.Usable() {
		current.members = append(current.members, claimMember(m))
	}
	c.last.Store(current)
	return current.members
}

// claimMember converts a member. The result identifies the process by its start and not
// by its full incarnation, because a claimant that has refuted a suspicion, which raises
// the incarnation, still holds its claims.
func claimMember(m member.Member) claims.Member {
	return claims.Member{ID: string(m.ID), Address: m.Address, Incarnation: m.Incarnation.Boot()}
}

// ordersDialer provides clients for the Orders service of other control processes.
type ordersDialer struct{ pool *peerconn.Pool }

// Orders returns a client for the control process at address.
func (d ordersDialer) Orders(address string) (pb.OrdersClient, error) {
	conn, err := d.pool.Get(address)
	if err != nil {
		return nil, err
	}
	return pb.NewOrdersClient(conn), nil
}

// localDemand passes the demand reports of the local entry process to the aggregator. It
// implements view.DemandSink.
type localDemand struct{ flow *demandflow.Aggregator }

// OnDemand implements view.DemandSink.
func (l localDemand) OnDemand(report demand.Report) { l.flow.AddLocal(report) }

// placingInputs implements placing.ClusterState, rosters.ClusterState and demandflow.OwnerLookup.
type placingInputs struct {
	peers   *peers.Service
	bundles *bundles.Manager
	flow    *demandflow.Aggregator
	rosters *rosters.Controller
}

// Bundle implements placing.ClusterState.
func (p placingInputs) Bundle() *bundle.Bundle {
	current := p.bundles.Current()
	if current == nil {
		return nil
	}
	return current.Bundle
}

// Members implements placing.ClusterState.
func (p placingInputs) Members() []member.Member { return p.peers.Snapshot().Usable() }

// Leaving implements placing.ClusterState.
func (p placingInputs) Leaving() []bundle.UpstreamID {
	return p.peers.Snapshot().News.LeavingUpstreams()
}

// Demand implements placing.ClusterState.
func (p placingInputs) Demand(now time.Time) []placing.Demand { return p.flow.Demand(now) }

// Roster implements placing.ClusterState.
func (p placingInputs) Roster(service bundle.ServiceName) (roster.Stored, bool) {
	return p.rosters.Roster(service)
}

// Owner implements demandflow.OwnerLookup.
func (p placingInputs) Owner(id bundle.ModelID) (member.Member, bool) {
	b := p.Bundle()
	if b == nil {
		return member.Member{}, false
	}
	m, ok := b.Model(id)
	if !ok {
		return member.Member{}, false
	}
	r, ok := p.rosters.Roster(m.Service)
	if !ok {
		return member.Member{}, false
	}
	name := placing.CellName(m.Service, r.HomeCell(id))
	ranked := membership.RankForTask(placing.OwnerTask(name), p.Members())
	if len(ranked) == 0 {
		return member.Member{}, false
	}
	return ranked[0], true
}

// cellPublisher implements placing.Publisher.
type cellPublisher struct {
	cells *cells.Store
	peers *peers.Service
}

// Cell implements placing.Publisher.
func (p cellPublisher) Cell(id news.CellID) (replica.Cell, bool) { return p.cells.Cell(id) }

// Publish implements placing.Publisher.
func (p cellPublisher) Publish(ctx context.Context, c replica.Cell) error {
	return p.cells.Publish(ctx, c, p.peers)
}

// engines implements placing.EngineConnector. The identity is nil when TLS is off.
type engines struct{ identity *tlsconf.Source }

// Open implements placing.EngineConnector.
func (e engines) Open(ctx context.Context, upstream bundle.Upstream) (placing.Session, error) {
	return engineclient.Dial(ctx, upstream, e.identity)
}

package control

import (
	pb "savoryweir/api/savoryweir/v1"
	"savoryweir/internal/control/bundles"
	"savoryweir/internal/control/peers"
	"savoryweir/internal/coordination/claims"
	"savoryweir/internal/protocol/bundlefile"
	"savoryweir/internal/state/bundle"
	"savoryweir/internal/state/demand"
	"savoryweir/internal/state/member"
	"savoryweir/internal/transport/peerconn"
)

// bundleView implements view.Bundles.
type bundleView struct{ bundles *bundles.Manager }

// InForce implements view.Bundles.
func (b bundleView) InForce() (bundle.Head, []bundlefile.Section) {
	current := b.bundles.Current()
	if current == nil {
		return bundle.Head{}, nil
	}
	return current.Head, current.All()
}

// claimMembers implements the claims part's view of the members.
type claimMembers struct{ peers *peers.Service }

// Members returns the usable members, this instance included.
func (c claimMembers) Members() []claims.Member {
	var members []claims.Member
	for _, m := range c.peers.Snapshot().Usable() {
		members = append(members, claimMember(m))
	}
	return members
}

func claimMember(m member.Member) claims.Member {
	return claims.Member{ID: string(m.ID), Address: m.Address, Incarnation: m.Incarnation}
}

// ordersDialer returns clients of the claims part of other control processes.
type ordersDialer struct{ pool *peerconn.Pool }

// Orders returns a client for the control process at address.
func (d ordersDialer) Orders(address string) (pb.OrdersClient, error) {
	conn, err := d.pool.Get(address)
	if err != nil {
		return nil, err
	}
	return pb.NewOrdersClient(conn), nil
}

// discardDemand drops demand reports.
type discardDemand struct{}

// OnDemand drops the report.
func (discardDemand) OnDemand(demand.Report) {}

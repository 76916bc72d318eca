package control

import (
	"context"

	pb "savoryweir/api/savoryweir/v1"
	"savoryweir/internal/control/bundles"
	"savoryweir/internal/control/peers"
	"savoryweir/internal/coordination/claims"
	"savoryweir/internal/errs"
	"savoryweir/internal/protocol/bundlefile"
	"savoryweir/internal/state/bundle"
	"savoryweir/internal/state/demand"
	"savoryweir/internal/state/member"
	"savoryweir/internal/transport/peerconn"
)

// headListener hands bundle heads heard from peers to the bundles part. It
// implements peers.HeadListener.
type headListener struct {
	bundles *bundles.Manager
	peers   *peers.Service
}

// OfferHead implements peers.HeadListener.
func (l *headListener) OfferHead(head bundle.Head, source member.Member) {
	l.bundles.Offer(head, peerSections{peers: l.peers, source: source})
}

// PeersHeard implements peers.HeadListener.
func (l *headListener) PeersHeard() { l.bundles.PeersHeard() }

// peerSections fetches bundle sections from one peer. It implements bundles.SectionSource.
type peerSections struct {
	peers  *peers.Service
	source member.Member
}

// Peer implements bundles.SectionSource.
func (p peerSections) Peer() errs.Peer { return errs.Peer(p.source.ID) }

// FetchSections implements bundles.SectionSource.
func (p peerSections) FetchSections(ctx context.Context, hashes []bundle.Hash) ([]bundlefile.Section, error) {
	return p.peers.FetchSectionsFrom(ctx, p.source, hashes)
}

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

package control

import (
	"math/rand/v2"
	"time"

	"github.com/rs/zerolog"

	"savoryweir/internal/control/bundles"
	"savoryweir/internal/control/cells"
	"savoryweir/internal/control/claims"
	"savoryweir/internal/control/demandflow"
	"savoryweir/internal/control/peers"
	"savoryweir/internal/control/placing"
	"savoryweir/internal/control/rosters"
	"savoryweir/internal/control/view"
	"savoryweir/internal/coordination/rosterplan"
	"savoryweir/internal/logging"
	"savoryweir/internal/state/bundle"
	"savoryweir/internal/state/hlc"
	"savoryweir/internal/state/member"
	"savoryweir/internal/transport/bundlestore"
	"savoryweir/internal/transport/trustedkeys"
)

// build creates the components of the process and connects them.
func (p *Process) build(root zerolog.Logger, clock *hlc.Clock, keys *trustedkeys.Source) {
	s := p.settings
	self := member.Member{
		ID:          member.ID(s.Instance.ID),
		Address:     p.peerListener.Addr().String(),
		Zone:        bundle.Zone(s.Instance.Zone),
		Incarnation: member.NewIncarnation(time.Now()),
	}
	p.flow = demandflow.New(s.Demand, self.ID, logging.WithComponent(root, partPlacing))
	p.cells = cells.New(logging.WithComponent(root, partCells))
	p.bundles = bundles.New(bundles.Options{
		Settings: s.Bundles,
		Keys:     keys,
		Store:    p.store,
		Recorder: p.recorder,
		Logger:   logging.WithComponent(root, partBundles),
		Metrics:  p.registry,
		Rand:     newRandom(),
	})
	p.sweeper = bundles.NewSweeper(bundles.SweepOptions{
		Settings:    s.Bundles,
		Store:       bundlestore.New(p.store),
		ShouldSweep: p.sweepsStore,
		Logger:      logging.WithComponent(root, partBundles),
		Metrics:     p.registry,
		Rand:        newRandom(),
	})
	p.peers = peers.New(peers.Options{
		Membership: s.Membership,
		Gossip:     s.Spread,
		Seeds:      s.Peers.Seeds,
		Self:       self,
		Pool:       p.pool,
		Clock:      clock,
		Recorder:   p.recorder,
		Log:        logging.WithComponent(root, partPeers),
		Random:     newRandom(),
		Heads:      p.bundles,
		Sections:   p.bundles,
		Cells:      p.cells,
		Demand:     p.flow,
	})
	p.bundles.SetPeerFetcher(p.peers)
	p.claims = claims.New(claims.Options{
		Settings:   s.Orders,
		Self:       claimMember(self),
		Members:    &claimMembers{peers: p.peers},
		Dialer:     ordersDialer{pool: p.pool},
		Store:      p.store,
		Recorder:   p.recorder,
		Logger:     logging.WithComponent(root, partOrders),
		Registerer: p.registry,
		Random:     newRandom(),
	})
	p.view = view.New(view.Options{
		Instance: s.Instance.ID,
		Clock:    clock,
		Bundles:  bundleView{bundles: p.bundles},
		Peers:    p.peers,
		Cells:    p.cells,
		Demand:   localDemand{flow: p.flow},

		Heartbeat: s.Local.Heartbeat,
	})
	p.rosters = rosters.New(rosters.Options{
		Settings: rosterplan.Settings{CellSize: s.Placement.CellSize, CellCount: s.Placement.CellsPerService},
		Self:     self.ID,
		Store:    p.store,
		Inputs:   p.placingInputs(),
		Log:      logging.WithComponent(root, partPlacing),
		Random:   newRandom(),
	})
	p.holder = placing.NewHolder(placing.Options{
		Settings:  s.Placement,
		Self:      self.ID,
		Store:     p.store,
		Engines:   engines{identity: p.engineIdentity},
		Inputs:    p.placingInputs(),
		Publisher: cellPublisher{cells: p.cells, peers: p.peers},
		Log:       logging.WithComponent(root, partPlacing),
		Random:    newRandom(),
	})
}

// placingInputs returns the inputs that placement, rosters and demand reports share.
func (p *Process) placingInputs() placingInputs {
	return placingInputs{peers: p.peers, bundles: p.bundles, flow: p.flow, rosters: p.rosters}
}

// newRandom returns a randomly seeded generator. It must be used by one goroutine only.
func newRandom() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }

package control

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"
	"google.golang.org/grpc"

	pb "savoryweir/api/savoryweir/v1"
	"savoryweir/internal/control/bundles"
	"savoryweir/internal/control/cells"
	"savoryweir/internal/control/claims"
	"savoryweir/internal/control/demandflow"
	"savoryweir/internal/control/peers"
	"savoryweir/internal/control/placing"
	"savoryweir/internal/control/rosters"
	"savoryweir/internal/control/view"
	"savoryweir/internal/coordination/rosterplan"
	"savoryweir/internal/errs"
	"savoryweir/internal/logging"
	"savoryweir/internal/state/bundle"
	"savoryweir/internal/state/hlc"
	"savoryweir/internal/state/member"
	"savoryweir/internal/state/timeline"
	"savoryweir/internal/transport/bundlestore"
	"savoryweir/internal/transport/operations"
	"savoryweir/internal/transport/peerconn"
	"savoryweir/internal/transport/storeclient"
	"savoryweir/internal/transport/tlsconf"
	"savoryweir/internal/transport/trustedkeys"
)

// Parts are the prefixes of the log lines.
const (
	partControl logging.Part = "control"
	partPeers   logging.Part = "peers"
	partBundles logging.Part = "bundles"
	partCells   logging.Part = "cells"
	partOrders  logging.Part = "orders"
	partPlacing logging.Part = "placement"
)

// Times of the end of the process.
const (
	leaveTimeout = time.Second
	stopTimeout  = 2 * time.Second
	stepListen   = errs.Step("listen")
	stepTLS      = errs.Step("read TLS files")
)

// Process is one control process.
type Process struct {
	settings Settings
	log      zerolog.Logger
	registry *prometheus.Registry
	recorder *timeline.Recorder
	store    *storeclient.Client
	pool     *peerconn.Pool

	peers   *peers.Service
	cells   *cells.Store
	rosters *rosters.Keeper
	bundles *bundles.Manager
	sweeper *bundles.Sweeper
	claims  *claims.Service
	view    *view.Service
	flow    *demandflow.Flow
	holder  *placing.Holder

	engineIdentity *tlsconf.Source // nil when TLS towards engines is off

	// listedLeaving are the upstreams that the platform's list has shown as
	// leaving. Owned by the goroutine of runInstanceList.
	listedLeaving map[bundle.UpstreamID]bool

	peerServer, localServer     *grpc.Server
	peerListener, localListener net.Listener
	operationsListener          net.Listener
}

// New builds a control process and opens its ports. Run starts it.
func New(s Settings, root zerolog.Logger) (*Process, error) {
	keys, err := trustedkeys.Open(s.Bundles.TrustedKeys, logging.For(root, partBundles))
	if err != nil {
		return nil, err
	}
	store, err := storeclient.New(s.Store)
	if err != nil {
		return nil, err
	}
	credentials, err := peerconn.Credentials(s.Peers.TLS)
	if err != nil {
		return nil, errs.Wrap(err, stepTLS, errs.Self)
	}
	clock := hlc.New(time.Now)
	counter := &peerconn.Counter{}
	p := &Process{
		settings: s,
		log:      logging.For(root, partControl),
		registry: newRegistry(counter),
		recorder: timeline.NewRecorder(clock, "control", s.Instance.ID, s.Instance.Zone, s.Operations.TimelineEvents),
		store:    store,
		pool:     peerconn.NewPool(credentials, counter),

		listedLeaving: make(map[bundle.UpstreamID]bool),
	}
	if s.Engines.TLS.Enabled() {
		if p.engineIdentity, err = tlsconf.NewSource(s.Engines.TLS); err != nil {
			return nil, errs.Wrap(err, stepTLS, errs.Self)
		}
	}
	if err := p.listen(counter); err != nil {
		return nil, err
	}
	p.build(root, clock, keys)
	p.peerServer = grpc.NewServer(peerconn.ServerOptions(credentials)...)
	pb.RegisterPeerServer(p.peerServer, p.peers)
	pb.RegisterOrdersServer(p.peerServer, p.claims)
	pb.RegisterLocalServer(p.peerServer, p.view.ForGuests(s.Peers.GuestViews))
	p.localServer = grpc.NewServer(peerconn.ServerOptions(nil)...)
	pb.RegisterLocalServer(p.localServer, p.view)
	pb.RegisterOrdersServer(p.localServer, p.claims)
	return p, nil
}

func newRegistry(counter *peerconn.Counter) *prometheus.Registry {
	registry := prometheus.NewRegistry()
	registry.MustRegister(
		collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
		prometheus.NewCounterFunc(prometheus.CounterOpts{
			Name: "savoryweir_control_peer_sent_bytes_total", Help: "Bytes sent to other control processes.",
		}, func() float64 { return float64(counter.Sent()) }),
		prometheus.NewCounterFunc(prometheus.CounterOpts{
			Name: "savoryweir_control_peer_received_bytes_total", Help: "Bytes received from other control processes.",
		}, func() float64 { return float64(counter.Received()) }),
	)
	return registry
}

func (p *Process) listen(counter *peerconn.Counter) error {
	peerAddress := net.JoinHostPort(p.settings.Instance.Address, strconv.Itoa(p.settings.Peers.Port))
	var err error
	if p.peerListener, err = net.Listen("tcp", peerAddress); err != nil {
		return errs.Wrap(err, stepListen, errs.Peer(peerAddress))
	}
	p.peerListener = counter.Listen(p.peerListener)
	if p.localListener, err = net.Listen("tcp", p.settings.Local.Address); err != nil {
		return errs.Wrap(err, stepListen, errs.Peer(p.settings.Local.Address))
	}
	plain, err := net.Listen("tcp", p.settings.Operations.Address)
	if err != nil {
		return errs.Wrap(err, stepListen, errs.Peer(p.settings.Operations.Address))
	}
	p.operationsListener, err = tlsconf.Listen(plain, p.settings.Operations.TLS)
	return errs.Wrap(err, stepTLS, errs.Self)
}

func (p *Process) build(root zerolog.Logger, clock *hlc.Clock, keys *trustedkeys.Source) {
	s := p.settings
	self := member.Member{
		ID:          member.ID(s.Instance.ID),
		Address:     p.peerListener.Addr().String(),
		Zone:        bundle.Zone(s.Instance.Zone),
		Incarnation: member.NewIncarnation(time.Now()),
	}
	p.flow = demandflow.New(s.Demand, self.ID, logging.For(root, partPlacing))
	p.cells = cells.New(logging.For(root, partCells))
	p.bundles = bundles.New(bundles.Options{
		Settings: s.Bundles,
		Keys:     keys,
		Store:    p.store,
		Recorder: p.recorder,
		Logger:   logging.For(root, partBundles),
		Metrics:  p.registry,
		Rand:     newRandom(),
	})
	p.sweeper = bundles.NewSweeper(bundles.SweepOptions{
		Settings: s.Bundles,
		Store:    bundlestore.New(p.store),
		Carries:  p.sweepsStore,
		Logger:   logging.For(root, partBundles),
		Metrics:  p.registry,
		Rand:     newRandom(),
	})
	p.peers = peers.New(peers.Options{
		Membership: s.Membership,
		Spread:     s.Spread,
		Seeds:      s.Peers.Seeds,
		Self:       self,
		Pool:       p.pool,
		Clock:      clock,
		Recorder:   p.recorder,
		Log:        logging.For(root, partPeers),
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
		Logger:     logging.For(root, partOrders),
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
		Settings: rosterplan.Settings{Size: s.Placement.CellSize, Cells: s.Placement.CellsPerService},
		Self:     self.ID,
		Store:    p.store,
		Inputs:   p.placingInputs(),
		Log:      logging.For(root, partPlacing),
		Random:   newRandom(),
	})
	p.holder = placing.NewHolder(placing.Options{
		Settings:  s.Placement,
		Self:      self.ID,
		Store:     p.store,
		Engines:   engines{identity: p.engineIdentity},
		Inputs:    p.placingInputs(),
		Publisher: cellPublisher{cells: p.cells, peers: p.peers},
		Log:       logging.For(root, partPlacing),
		Random:    newRandom(),
	})
}

func (p *Process) placingInputs() placingInputs {
	return placingInputs{peers: p.peers, bundles: p.bundles, flow: p.flow, rosters: p.rosters}
}

// newRandom returns a generator for one goroutine, seeded by the system.
func newRandom() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }

// Run works until ctx ends. Then it leaves the membership and closes its ports.
func (p *Process) Run(ctx context.Context) error {
	p.recorder.Record(timeline.Event{Kind: timeline.KindProcessStarted})
	p.log.Info().Str("peers", p.peerListener.Addr().String()).Str("local", p.localListener.Addr().String()).
		Str("operations", p.operationsListener.Addr().String()).Msg("Control started.")
	working, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	group, working := errgroup.WithContext(working)
	group.Go(func() error { return p.peers.Run(working) })
	group.Go(func() error { return p.cells.Run(working, p.peers, p.peers) })
	group.Go(func() error { return p.bundles.Run(working) })
	group.Go(func() error { return p.sweeper.Run(working) })
	group.Go(func() error { return p.claims.Run(working) })
	group.Go(func() error { return p.rosters.Run(working) })
	group.Go(func() error { return p.holder.Run(working) })
	group.Go(func() error { return p.flow.Run(working, p.placingInputs(), p.peers) })
	group.Go(func() error { return p.runNotifier(working) })
	group.Go(func() error { return p.runHeads(working) })
	group.Go(func() error { return p.runInstanceList(working) })
	group.Go(func() error { return serveGRPC(p.peerServer, p.peerListener) })
	group.Go(func() error { return serveGRPC(p.localServer, p.localListener) })
	group.Go(func() error {
		return operations.Serve(working, p.operationsListener, p.operationsHandler(), stopTimeout)
	})
	select {
	case <-ctx.Done():
	case <-working.Done():
	}
	p.drain(working)
	p.leave(working)
	stop()
	p.peerServer.Stop()
	p.localServer.Stop()
	err := group.Wait()
	p.pool.Close()
	p.log.Info().Msg("Control stopped.")
	return err
}

// drain goes on for the entry until it has stopped or had time to, and then
// waits until the results of all its orders are durable.
func (p *Process) drain(working context.Context) {
	p.recorder.Record(timeline.Event{Kind: timeline.KindProcessStopping})
	p.view.WaitUnwatched(working, p.settings.Shutdown.EntryWait)
	draining, cancel := context.WithTimeout(working, p.settings.Shutdown.DrainTime)
	defer cancel()
	if err := p.claims.Drain(draining); err != nil {
		p.log.Warn().Int("orders", p.claims.Held()).Msg("Stopped with orders in progress.")
	}
}

// leave tells the peers that this instance stops.
func (p *Process) leave(working context.Context) {
	leaving, cancel := context.WithTimeout(working, leaveTimeout)
	defer cancel()
	if err := p.peers.Leave(leaving); err != nil {
		p.log.Warn().Err(err).Msg("Peers were not told of the leave.")
	}
}

func serveGRPC(server *grpc.Server, listener net.Listener) error {
	err := server.Serve(listener)
	if errors.Is(err, grpc.ErrServerStopped) {
		return nil
	}
	return err
}

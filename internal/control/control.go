package control

import (
	"net"
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/rs/zerolog"
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
	"savoryweir/internal/errs"
	"savoryweir/internal/logging"
	"savoryweir/internal/state/bundle"
	"savoryweir/internal/state/hlc"
	"savoryweir/internal/state/timeline"
	"savoryweir/internal/transport/peerconn"
	"savoryweir/internal/transport/storeclient"
	"savoryweir/internal/transport/tlsconf"
	"savoryweir/internal/transport/trustedkeys"
)

// Component names in log lines.
const (
	partControl logging.Component = "control"
	partPeers   logging.Component = "peers"
	partBundles logging.Component = "bundles"
	partCells   logging.Component = "cells"
	partOrders  logging.Component = "orders"
	partPlacing logging.Component = "placement"
)

// Timeouts at shutdown and steps of errors.
const (
	leaveTimeout = time.Second
	stopTimeout  = 2 * time.Second
	stepListen   = errs.Step("listen")
	stepTLS      = errs.Step("read TLS files")
)

// Process is the control process of one instance.
type Process struct {
	settings Settings
	log      zerolog.Logger
	registry *prometheus.Registry
	recorder *timeline.Recorder
	store    *storeclient.Client
	pool     *peerconn.Pool

	peers   *peers.Service
	cells   *cells.Store
	rosters *rosters.Controller
	bundles *bundles.Manager
	sweeper *bundles.Sweeper
	claims  *claims.Service
	view    *view.Service
	flow    *demandflow.Aggregator
	holder  *placing.Holder

	engineIdentity *tlsconf.Source // nil when TLS towards engines is off

	// listedLeaving holds the upstreams that the platform's list has shown as
	// leaving. Only the goroutine of runInstanceList uses it.
	listedLeaving map[bundle.UpstreamID]bool

	peerServer, localServer     *grpc.Server
	peerListener, localListener net.Listener
	operationsListener          net.Listener
}

// New creates a control process and opens its ports. Run starts it.
func New(s Settings, root zerolog.Logger) (*Process, error) {
	keys, err := trustedkeys.Open(s.Bundles.TrustedKeys, logging.WithComponent(root, partBundles))
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
	counter := &peerconn.ByteCounter{}
	p := &Process{
		settings: s,
		log:      logging.WithComponent(root, partControl),
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
	pb.RegisterLocalServer(p.peerServer, p.view.NewRemoteServer(s.Peers.RemoteViews))
	p.localServer = grpc.NewServer(peerconn.ServerOptions(nil)...)
	pb.RegisterLocalServer(p.localServer, p.view)
	pb.RegisterOrdersServer(p.localServer, p.claims)
	return p, nil
}

// newRegistry returns a registry with the metrics of the Go runtime, the process and the
// traffic between peers.
func newRegistry(counter *peerconn.ByteCounter) *prometheus.Registry {
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

// listen opens the ports for peers, the local entry process and operators.
func (p *Process) listen(counter *peerconn.ByteCounter) error {
	peerAddress := net.JoinHostPort(p.settings.Instance.Address, strconv.Itoa(p.settings.Peers.Port))
	var err error
	if p.peerListener, err = net.Listen("tcp", peerAddress); err != nil {
		return errs.Wrap(err, stepListen, errs.Peer(peerAddress))
	}
	p.peerListener = counter.WrapListener(p.peerListener)
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

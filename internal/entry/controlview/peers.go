package controlview

import (
	pb "savoryweir/api/savoryweir/v1"
	"savoryweir/internal/errs"
	"savoryweir/internal/transport/peerconn"
	"savoryweir/internal/transport/tlsconf"
)

const stepTLS errs.Step = "read TLS files"

// PeerDialer implements Dialer with a pool of gRPC connections.
type PeerDialer struct{ pool *peerconn.Pool }

// NewPeerDialer returns a PeerDialer. It fails if the TLS files can't be loaded.
func NewPeerDialer(s tlsconf.Settings) (PeerDialer, error) {
	credentials, err := peerconn.Credentials(s)
	if err != nil {
		return PeerDialer{}, errs.Wrap(err, stepTLS, errs.Self)
	}
	return PeerDialer{pool: peerconn.NewPool(credentials, &peerconn.ByteCounter{})}, nil
}

// Client implements Dialer.
func (p PeerDialer) Client(address string) (pb.LocalClient, error) {
	conn, err := p.pool.Get(address)
	if err != nil {
		return nil, errs.Wrap(err, stepWatchView, errs.Peer(address))
	}
	return pb.NewLocalClient(conn), nil
}

// Drop implements Dialer.
func (p PeerDialer) Drop(address string) { p.pool.Drop(address) }

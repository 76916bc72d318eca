package controlview

import (
	pb "savoryweir/api/savoryweir/v1"
	"savoryweir/internal/errs"
	"savoryweir/internal/transport/peerconn"
	"savoryweir/internal/transport/tlsconf"
)

const stepTLS errs.Step = "read TLS files"

// Peers connects to the control processes of other instances. It implements Dialer.
type Peers struct{ pool *peerconn.Pool }

// NewPeers fails when the TLS files can't be used.
func NewPeers(s tlsconf.Settings) (Peers, error) {
	credentials, err := peerconn.Credentials(s)
	if err != nil {
		return Peers{}, errs.Wrap(err, stepTLS, errs.Self)
	}
	return Peers{pool: peerconn.NewPool(credentials, &peerconn.Counter{})}, nil
}

// Views implements Dialer.
func (p Peers) Views(address string) (pb.LocalClient, error) {
	conn, err := p.pool.Get(address)
	if err != nil {
		return nil, errs.Wrap(err, stepWatchView, errs.Peer(address))
	}
	return pb.NewLocalClient(conn), nil
}

// Drop implements Dialer.
func (p Peers) Drop(address string) { p.pool.Drop(address) }

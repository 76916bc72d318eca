package peerconn

import (
	"context"
	"net"

	"google.golang.org/grpc/credentials"

	"savoryweir/internal/transport/tlsconf"
)

// Credentials returns TLS credentials that take the present certificates for
// each handshake, so that they can be replaced without a restart. They are nil
// when TLS is off.
func Credentials(s tlsconf.Settings) (credentials.TransportCredentials, error) {
	if !s.Enabled() {
		return nil, nil
	}
	source, err := tlsconf.NewSource(s)
	if err != nil {
		return nil, err
	}
	return &reloading{source: source}, nil
}

// reloading implements credentials.TransportCredentials.
type reloading struct{ source *tlsconf.Source }

func (r *reloading) present() credentials.TransportCredentials {
	return credentials.NewTLS(r.source.ClientConfig(""))
}

// ClientHandshake implements credentials.TransportCredentials.
func (r *reloading) ClientHandshake(ctx context.Context, authority string, conn net.Conn) (net.Conn, credentials.AuthInfo, error) {
	return r.present().ClientHandshake(ctx, authority, conn)
}

// ServerHandshake implements credentials.TransportCredentials.
func (r *reloading) ServerHandshake(conn net.Conn) (net.Conn, credentials.AuthInfo, error) {
	return credentials.NewTLS(r.source.ServerConfig()).ServerHandshake(conn)
}

// Info implements credentials.TransportCredentials.
func (r *reloading) Info() credentials.ProtocolInfo { return r.present().Info() }

// Clone implements credentials.TransportCredentials.
func (r *reloading) Clone() credentials.TransportCredentials { return &reloading{source: r.source} }

// OverrideServerName implements credentials.TransportCredentials. The name is
// always that of the address.
func (r *reloading) OverrideServerName(string) error { return nil }

package peerconn

import (
	"context"
	"net"

	"google.golang.org/grpc/credentials"

	"savoryweir/internal/transport/tlsconf"
)

// Credentials returns TLS credentials that use the current certificate files for each
// handshake, so that certificates can be replaced without a restart. It returns nil if TLS
// is disabled.
func Credentials(s tlsconf.Settings) (credentials.TransportCredentials, error) {
	if !s.Enabled() {
		return nil, nil
	}
	source, err := tlsconf.NewSource(s)
	if err != nil {
		return nil, err
	}
	return &reloadingTLS{source: source}, nil
}

// reloadingTLS implements credentials.TransportCredentials with the current
// certificates of a source.
type reloadingTLS struct{ source *tlsconf.Source }

// current returns client credentials with the current certificates.
func (r *reloadingTLS) current() credentials.TransportCredentials {
	return credentials.NewTLS(r.source.ClientConfig(""))
}

// ClientHandshake implements credentials.TransportCredentials.
func (r *reloadingTLS) ClientHandshake(ctx context.Context, authority string, conn net.Conn) (net.Conn, credentials.AuthInfo, error) {
	return r.current().ClientHandshake(ctx, authority, conn)
}

// ServerHandshake implements credentials.TransportCredentials.
func (r *reloadingTLS) ServerHandshake(conn net.Conn) (net.Conn, credentials.AuthInfo, error) {
	return credentials.NewTLS(r.source.ServerConfig()).ServerHandshake(conn)
}

// Info implements credentials.TransportCredentials.
func (r *reloadingTLS) Info() credentials.ProtocolInfo { return r.current().Info() }

// Clone implements credentials.TransportCredentials.
func (r *reloadingTLS) Clone() credentials.TransportCredentials { return &reloadingTLS{source: r.source} }

// OverrideServerName implements credentials.TransportCredentials. It
// ignores the name, because the server name is always taken from the address.
func (r *reloadingTLS) OverrideServerName(string) error { return nil }

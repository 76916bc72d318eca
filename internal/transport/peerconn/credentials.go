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
	return &tlsSource{source: source}, nil
}

// tlsSource implements credentials.TransportCredentials with the current
// certificates of a source.
type tlsSource struct{ source *tlsconf.Source }

// current returns client credentials with the current certificates.
func (r *tlsSource) current() credentials.TransportCredentials {
	return credentials.NewTLS(r.source.ClientConfig(""))
}

// ClientHandshake implements credentials.TransportCredentials.
func (r *tlsSource) ClientHandshake(ctx context.Context, authority string, conn net.Conn) (net.Conn, credentials.AuthInfo, error) {
	return r.current().ClientHandshake(ctx, authority, conn)
}

// ServerHandshake implements credentials.TransportCredentials.
func (r *tlsSource) ServerHandshake(conn net.Conn) (net.Conn, credentials.AuthInfo, error) {
	return credentials.NewTLS(r.source.ServerConfig()).ServerHandshake(conn)
}

// Info implements credentials.TransportCredentials.
func (r *tlsSource) Info() credentials.ProtocolInfo { return r.current().Info() }

// Clone implements credentials.TransportCredentials.
func (r *tlsSource) Clone() credentials.TransportCredentials { return &tlsSource{source: r.source} }

// OverrideServerName implements credentials.TransportCredentials. It
// ignores the name, because the server name is always taken from the address.
func (r *tlsSource) OverrideServerName(string) error { return nil }

package peerconn

import (
	"context"
	"net"
	"testing"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/health"
	healthpb "google.golang.org/grpc/health/grpc_health_v1"
	"gotest.tools/v3/assert"

	"savoryweir/internal/standin/certs"
	"savoryweir/internal/transport/tlsconf"
)

// newIdentity writes the certificate files of a new authority and returns their settings.
func newIdentity(t *testing.T, serial int64) (tlsconf.Settings, certs.Files) {
	t.Helper()
	files := certs.In(t.TempDir())
	assert.NilError(t, files.Write(serial))
	return tlsconf.Settings{Certificate: files.Certificate, Key: files.Key, CA: files.Authority}, files
}

func newCredentials(t *testing.T, s tlsconf.Settings) credentials.TransportCredentials {
	t.Helper()
	c, err := Credentials(s)
	assert.NilError(t, err)
	return c
}

// startServer starts a gRPC health server with the credentials and returns its address.
func startServer(t *testing.T, c credentials.TransportCredentials, counter *ByteCounter) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server := grpc.NewServer(ServerOptions(c)...)
	healthpb.RegisterHealthServer(server, health.NewServer())
	go func() { _ = server.Serve(counter.WrapListener(listener)) }()
	t.Cleanup(server.Stop)
	return listener.Addr().String()
}

// checkHealth makes one health check call on a new connection.
func checkHealth(t *testing.T, address string, c credentials.TransportCredentials, counter *ByteCounter) error {
	t.Helper()
	pool := NewPool(c, counter)
	defer pool.Close()
	conn, err := pool.Get(address)
	assert.NilError(t, err)
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	_, err = healthpb.NewHealthClient(conn).Check(ctx, &healthpb.HealthCheckRequest{})
	return err
}

func TestPeerWithoutTrustedCertificateIsRefused(t *testing.T) {
	settings, _ := newIdentity(t, 1)
	address := startServer(t, newCredentials(t, settings), &ByteCounter{})
	untrusted, _ := newIdentity(t, 2)
	withoutCertificate := tlsconf.Settings{CA: settings.CA}
	assert.NilError(t, checkHealth(t, address, newCredentials(t, settings), &ByteCounter{}))
	for name, c := range map[string]credentials.TransportCredentials{
		"plain TCP":                        nil,
		"no certificate":                   newCredentials(t, withoutCertificate),
		"certificate of another authority": newCredentials(t, untrusted),
	} {
		assert.Assert(t, checkHealth(t, address, c, &ByteCounter{}) != nil, name)
	}
}

func TestReplacedCertificatesAreUsedForNewHandshakes(t *testing.T) {
	settings, files := newIdentity(t, 1)
	c := newCredentials(t, settings)
	address := startServer(t, c, &ByteCounter{})
	assert.NilError(t, checkHealth(t, address, c, &ByteCounter{}))
	previous, _ := newIdentity(t, 2)
	assert.NilError(t, files.Write(3))
	assert.NilError(t, checkHealth(t, address, c, &ByteCounter{}))
	assert.Assert(t, checkHealth(t, address, newCredentials(t, previous), &ByteCounter{}) != nil)
}

func TestSentAndReceivedBytesAreCounted(t *testing.T) {
	var server, client ByteCounter
	address := startServer(t, nil, &server)
	assert.NilError(t, checkHealth(t, address, nil, &client))
	assert.Assert(t, client.Sent() > 0 && client.Received() > 0)
	assert.Assert(t, server.Sent() > 0 && server.Received() > 0)
}

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

// identity writes new certificate files and returns their settings.
func identity(t *testing.T, serial int64) (tlsconf.Settings, certs.Files) {
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

// serve starts a server with the credentials and returns its address.
func serve(t *testing.T, c credentials.TransportCredentials, count *ByteCounter) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server := grpc.NewServer(ServerOptions(c)...)
	healthpb.RegisterHealthServer(server, health.NewServer())
	go func() { _ = server.Serve(count.WrapListener(listener)) }()
	t.Cleanup(server.Stop)
	return listener.Addr().String()
}

// call makes one call on a new connection.
func call(t *testing.T, address string, c credentials.TransportCredentials, count *ByteCounter) error {
	t.Helper()
	pool := NewPool(c, count)
	defer pool.Close()
	conn, err := pool.Get(address)
	assert.NilError(t, err)
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	_, err = healthpb.NewHealthClient(conn).Check(ctx, &healthpb.HealthCheckRequest{})
	return err
}

func TestPeersWithoutAValidIdentityAreRefused(t *testing.T) {
	settings, _ := identity(t, 1)
	address := serve(t, newCredentials(t, settings), &ByteCounter{})
	stranger, _ := identity(t, 2)
	anonymous := tlsconf.Settings{CA: settings.CA}
	assert.NilError(t, call(t, address, newCredentials(t, settings), &ByteCounter{}))
	for name, c := range map[string]credentials.TransportCredentials{
		"plain text":     nil,
		"no certificate": newCredentials(t, anonymous),
		"other identity": newCredentials(t, stranger),
	} {
		assert.Assert(t, call(t, address, c, &ByteCounter{}) != nil, name)
	}
}

func TestCertificatesAreTakenAnewForEachHandshake(t *testing.T) {
	settings, files := identity(t, 1)
	c := newCredentials(t, settings)
	address := serve(t, c, &ByteCounter{})
	assert.NilError(t, call(t, address, c, &ByteCounter{}))
	former, _ := identity(t, 2)
	assert.NilError(t, files.Write(3))
	assert.NilError(t, call(t, address, c, &ByteCounter{}))
	assert.Assert(t, call(t, address, newCredentials(t, former), &ByteCounter{}) != nil)
}

func TestBytesAreCountedBothWays(t *testing.T) {
	var server, client ByteCounter
	address := serve(t, nil, &server)
	assert.NilError(t, call(t, address, nil, &client))
	assert.Assert(t, client.Sent() > 0 && client.Received() > 0)
	assert.Assert(t, server.Sent() > 0 && server.Received() > 0)
}

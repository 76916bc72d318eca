package tlsconf

import (
	"crypto/tls"
	"net"
	"os"
	"testing"

	"gotest.tools/v3/assert"

	"savoryweir/internal/standin/certs"
)

// identity is a self-signed certificate in files. The certificate is its own authority.
type identity struct {
	settings Settings
	files    certs.Files
}

func newIdentity(t *testing.T) identity {
	f := certs.In(t.TempDir())
	return identity{Settings{Certificate: f.Certificate, Key: f.Key, CA: f.Authority}, f}
}

func (i identity) write(t *testing.T, serial int64) {
	t.Helper()
	assert.NilError(t, i.files.Write(serial))
}

// handshake performs a TLS handshake and returns the serial number of the server's
// certificate.
func handshake(t *testing.T, server, client *Source) (int64, error) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer listener.Close()
	served := make(chan error, 1)
	go func() { served <- accept(listener, server) }()
	conn, err := tls.Dial("tcp", listener.Addr().String(), client.ClientConfig("127.0.0.1"))
	if err != nil {
		<-served
		return 0, err
	}
	defer conn.Close()
	if err := <-served; err != nil {
		return 0, err
	}
	return conn.ConnectionState().PeerCertificates[0].SerialNumber.Int64(), nil
}

func accept(listener net.Listener, server *Source) error {
	conn, err := listener.Accept()
	if err != nil {
		return err
	}
	defer conn.Close()
	return tls.Server(conn, server.ServerConfig()).Handshake()
}

func TestChangedFilesAreReloaded(t *testing.T) {
	id := newIdentity(t)
	id.write(t, 1)
	source, err := NewSource(id.settings)
	assert.NilError(t, err)
	serial, err := handshake(t, source, source)
	assert.NilError(t, err)
	assert.Equal(t, serial, int64(1))
	id.write(t, 2)
	serial, err = handshake(t, source, source)
	assert.NilError(t, err)
	assert.Equal(t, serial, int64(2))
}

func TestInvalidFileKeepsPreviousCertificateInUse(t *testing.T) {
	id := newIdentity(t)
	id.write(t, 1)
	source, err := NewSource(id.settings)
	assert.NilError(t, err)
	assert.NilError(t, os.WriteFile(id.settings.Certificate, []byte("broken"), 0o600))
	serial, err := handshake(t, source, source)
	assert.NilError(t, err)
	assert.Equal(t, serial, int64(1))
	assert.Assert(t, source.LastError() != nil)
}

func TestClientWithoutValidCertificateIsRefused(t *testing.T) {
	trusted, other := newIdentity(t), newIdentity(t)
	trusted.write(t, 1)
	other.write(t, 2)
	server, err := NewSource(trusted.settings)
	assert.NilError(t, err)
	other.settings.CA = trusted.settings.CA
	untrusted, err := NewSource(other.settings)
	assert.NilError(t, err)
	_, err = handshake(t, server, untrusted)
	assert.Assert(t, err != nil)
	anonymous, err := NewSource(Settings{CA: trusted.settings.CA})
	assert.NilError(t, err)
	_, err = handshake(t, server, anonymous)
	assert.Assert(t, err != nil)
}

func TestMissingFileIsReported(t *testing.T) {
	_, err := NewSource(Settings{CA: "/nowhere"})
	assert.ErrorContains(t, err, "read TLS authorities")
}

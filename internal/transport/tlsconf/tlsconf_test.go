package tlsconf

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// identity is a self-signed certificate in files.
type identity struct{ settings Settings }

func writePEM(t *testing.T, path, kind string, data []byte) {
	t.Helper()
	assert.NilError(t, os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: data}), 0o600))
}

// write replaces the files by a new certificate with the serial number given.
func (i identity) write(t *testing.T, serial int64) {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(serial), Subject: pkix.Name{CommonName: "test"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}, IsCA: true, BasicConstraintsValid: true,
	}
	certificate, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	assert.NilError(t, err)
	private, err := x509.MarshalECPrivateKey(key)
	assert.NilError(t, err)
	writePEM(t, i.settings.Certificate, "CERTIFICATE", certificate)
	writePEM(t, i.settings.Key, "EC PRIVATE KEY", private)
	writePEM(t, i.settings.CA, "CERTIFICATE", certificate)
	stamp := time.Unix(1_700_000_000+serial, 0)
	for _, path := range []string{i.settings.Certificate, i.settings.Key, i.settings.CA} {
		assert.NilError(t, os.Chtimes(path, stamp, stamp))
	}
}

func newIdentity(t *testing.T) identity {
	directory := t.TempDir()
	return identity{Settings{
		Certificate: filepath.Join(directory, "cert.pem"), Key: filepath.Join(directory, "key.pem"), CA: filepath.Join(directory, "ca.pem"),
	}}
}

// handshake returns the serial number of the server's certificate.
func handshake(t *testing.T, server, client *Source) (int64, error) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer listener.Close()
	served := make(chan error, 1)
	go func() { served <- accept(listener, server) }()
	conn, err := tls.Dial("tcp", listener.Addr().String(), client.Client("127.0.0.1"))
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
	return tls.Server(conn, server.Server()).Handshake()
}

func TestFilesAreReadAgainWhenTheyChange(t *testing.T) {
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

func TestBrokenFilesLeaveTheFormerOnesInUse(t *testing.T) {
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

func TestPeerWithoutValidIdentityIsRefused(t *testing.T) {
	ours, theirs := newIdentity(t), newIdentity(t)
	ours.write(t, 1)
	theirs.write(t, 2)
	server, err := NewSource(ours.settings)
	assert.NilError(t, err)
	theirs.settings.CA = ours.settings.CA
	stranger, err := NewSource(theirs.settings)
	assert.NilError(t, err)
	_, err = handshake(t, server, stranger)
	assert.Assert(t, err != nil)
	anonymous, err := NewSource(Settings{CA: ours.settings.CA})
	assert.NilError(t, err)
	_, err = handshake(t, server, anonymous)
	assert.Assert(t, err != nil)
}

func TestMissingFileIsAFault(t *testing.T) {
	_, err := NewSource(Settings{CA: "/nowhere"})
	assert.ErrorContains(t, err, "read TLS authorities")
}

// Package certs writes self-signed certificates for tests.
package certs

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"time"
)

const validity = time.Hour

// Files are the files of one identity. The authority is the certificate itself.
type Files struct{ Certificate, Key, Authority string }

// In returns the names of an identity's files in a folder.
func In(directory string) Files {
	return Files{
		Certificate: filepath.Join(directory, "cert.pem"),
		Key:         filepath.Join(directory, "key.pem"),
		Authority:   filepath.Join(directory, "ca.pem"),
	}
}

// Write replaces the files by a new identity for 127.0.0.1 with the serial number given.
func (f Files) Write(serial int64) error {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return err
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(serial), Subject: pkix.Name{CommonName: "test"},
		NotBefore: time.Now().Add(-validity), NotAfter: time.Now().Add(validity),
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}, IsCA: true, BasicConstraintsValid: true,
	}
	certificate, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return err
	}
	private, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		return err
	}
	for _, part := range []struct {
		path, kind string
		data       []byte
	}{{f.Certificate, "CERTIFICATE", certificate}, {f.Key, "EC PRIVATE KEY", private}, {f.Authority, "CERTIFICATE", certificate}} {
		text := pem.EncodeToMemory(&pem.Block{Type: part.kind, Bytes: part.data})
		if err := os.WriteFile(part.path, text, 0o600); err != nil {
			return err
		}
		// Distinct times of change, however fast the tests are.
		stamp := time.Unix(1_700_000_000+serial, 0)
		if err := os.Chtimes(part.path, stamp, stamp); err != nil {
			return err
		}
	}
	return nil
}

// Package tlsconf builds TLS configurations from certificate files. It reloads the
// files when they change, so that certificates can be replaced without a restart.
package tlsconf

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"net"
	"os"
	"sync"
	"time"

	"savoryweir/internal/errs"
)

// Settings holds the paths of the files for one side of TLS connections. TLS is off if
// all of them are empty.
type Settings struct {
	Certificate string `help:"PEM file with the certificate chain."`
	Key         string `help:"PEM file with the private key."`
	CA          string `help:"PEM file with the certificates of the authorities that are trusted to sign peer certificates."`
}

// Enabled reports whether TLS is on.
func (s Settings) Enabled() bool { return s.Certificate != "" || s.Key != "" || s.CA != "" }

const (
	stepReadKeyPair errs.Step = "read TLS key pair"
	stepReadCA      errs.Step = "read TLS authorities"
)

var errNoCertificate = errors.New("the file contains no PEM certificate")

// Source provides the current certificates. It is safe for concurrent use.
type Source struct {
	settings Settings

	mu       sync.Mutex // guards the fields below
	modTimes [3]time.Time
	pair     *tls.Certificate
	pool     *x509.CertPool
	lastErr  error
}

// NewSource reads the files. It returns an error if they can't be used.
func NewSource(s Settings) (*Source, error) {
	source := &Source{settings: s}
	if err := source.load(); err != nil {
		return nil, err
	}
	source.modTimes = source.fileModTimes()
	return source, nil
}

// ServerConfig returns a server configuration that uses the current files for each
// handshake. If Settings.CA is set, clients must present a valid certificate.
func (s *Source) ServerConfig() *tls.Config {
	return &tls.Config{
		MinVersion:         tls.VersionTLS12,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) { return s.currentServerConfig(), nil },
	}
}

// currentServerConfig returns the configuration for one handshake of a server.
func (s *Source) currentServerConfig() *tls.Config {
	pair, pool := s.current()
	config := &tls.Config{MinVersion: tls.VersionTLS12, NextProtos: []string{"h2", "http/1.1"}}
	if pair != nil {
		config.Certificates = []tls.Certificate{*pair}
	}
	if pool != nil {
		config.ClientCAs = pool
		config.ClientAuth = tls.RequireAndVerifyClientCert
	}
	return config
}

// ClientConfig returns a client configuration with the current files for one connection
// to serverName.
func (s *Source) ClientConfig(serverName string) *tls.Config {
	pair, pool := s.current()
	config := &tls.Config{MinVersion: tls.VersionTLS12, ServerName: serverName, RootCAs: pool}
	if pair != nil {
		config.Certificates = []tls.Certificate{*pair}
	}
	return config
}

// Listen returns a TLS listener on top of l that uses the current files for each
// handshake. It returns l itself if TLS is off, and closes l if it returns an error.
func Listen(l net.Listener, s Settings) (net.Listener, error) {
	if !s.Enabled() {
		return l, nil
	}
	source, err := NewSource(s)
	if err != nil {
		return nil, errors.Join(err, l.Close())
	}
	return tls.NewListener(l, source.ServerConfig()), nil
}

// DialFunc opens a connection to an address.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// WrapDial returns a DialFunc that opens a connection by dial and performs a TLS
// handshake with the current files. It offers the given ALPN protocols to the server in
// order of preference, and no ALPN if there are none.
func (s *Source) WrapDial(dial DialFunc, protocols ...string) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		raw, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		host, _, err := net.SplitHostPort(address)
		if err != nil {
			return nil, errors.Join(err, raw.Close())
		}
		config := s.ClientConfig(host)
		config.NextProtos = protocols
		conn := tls.Client(raw, config)
		if err := conn.HandshakeContext(ctx); err != nil {
			return nil, errors.Join(err, raw.Close())
		}
		return conn, nil
	}
}

// LastError returns the error of the last reload, or nil if it succeeded. After a failed
// reload the certificates of the previous files stay in use.
func (s *Source) LastError() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lastErr
}

// current returns the key pair and the certificate pool. It reloads the files first if
// their modification times have changed.
func (s *Source) current() (*tls.Certificate, *x509.CertPool) {
	modTimes := s.fileModTimes()
	s.mu.Lock()
	defer s.mu.Unlock()
	if modTimes != s.modTimes {
		s.lastErr = s.load()
		if s.lastErr == nil {
			s.modTimes = modTimes
		}
	}
	return s.pair, s.pool
}

// fileModTimes returns the modification times of the files. They are zero for files
// that are not set or can't be read.
func (s *Source) fileModTimes() [3]time.Time {
	var modTimes [3]time.Time
	for i, path := range []string{s.settings.Certificate, s.settings.Key, s.settings.CA} {
		if path == "" {
			continue
		}
		if info, err := os.Stat(path); err == nil {
			modTimes[i] = info.ModTime()
		}
	}
	return modTimes
}

// load reads the files. It replaces the key pair and the pool only if both could be read.
func (s *Source) load() error {
	var pair *tls.Certificate
	if s.settings.Certificate != "" || s.settings.Key != "" {
		read, err := tls.LoadX509KeyPair(s.settings.Certificate, s.settings.Key)
		if err != nil {
			return errs.Wrap(err, stepReadKeyPair, errs.Self)
		}
		pair = &read
	}
	var pool *x509.CertPool
	if s.settings.CA != "" {
		data, err := os.ReadFile(s.settings.CA)
		if err != nil {
			return errs.Wrap(err, stepReadCA, errs.Self)
		}
		pool = x509.NewCertPool()
		if !pool.AppendCertsFromPEM(data) {
			return errs.Wrap(errNoCertificate, stepReadCA, errs.Self)
		}
	}
	s.pair, s.pool = pair, pool
	return nil
}

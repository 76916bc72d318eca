// Package tlsconf builds TLS configurations from files and reads the files
// again when they change, so that certificates are replaced without a restart.
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

// Settings names the files of one side of TLS connections. TLS is off when all are empty.
type Settings struct {
	Certificate string `help:"PEM file with the certificate chain."`
	Key         string `help:"PEM file with the private key."`
	CA          string `help:"PEM file with the authorities whose certificates are accepted from the other side."`
}

// Enabled reports whether TLS is on.
func (s Settings) Enabled() bool { return s.Certificate != "" || s.Key != "" || s.CA != "" }

// Steps of errors.
const (
	stepReadKeyPair errs.Step = "read TLS key pair"
	stepReadCA      errs.Step = "read TLS authorities"
)

var errNoAuthority = errors.New("the file holds no certificate")

// Source holds the present certificates. It is safe for concurrent use.
type Source struct {
	settings Settings

	mu      sync.Mutex // guards the fields below
	stamps  [3]time.Time
	pair    *tls.Certificate
	pool    *x509.CertPool
	lastErr error
}

// NewSource reads the files once and fails if they can't be used.
func NewSource(s Settings) (*Source, error) {
	source := &Source{settings: s}
	if err := source.load(); err != nil {
		return nil, err
	}
	source.stamps = source.modified()
	return source, nil
}

// ServerConfig returns a configuration that takes the present files for each handshake.
// Callers must show a certificate when an authority is set.
func (s *Source) ServerConfig() *tls.Config {
	return &tls.Config{
		MinVersion:         tls.VersionTLS12,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) { return s.serverNow(), nil },
	}
}

func (s *Source) serverNow() *tls.Config {
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

// ClientConfig returns a configuration with the present files for one connection to serverName.
func (s *Source) ClientConfig(serverName string) *tls.Config {
	pair, pool := s.current()
	config := &tls.Config{MinVersion: tls.VersionTLS12, ServerName: serverName, RootCAs: pool}
	if pair != nil {
		config.Certificates = []tls.Certificate{*pair}
	}
	return config
}

// Listen returns a listener whose connections take the present files for each
// handshake. It returns l itself when TLS is off, and closes l when it fails.
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

// WrapDial adds a handshake with the present files to dial. Protocols are offered to
// the server, in order of preference; none offers nothing.
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

// LastError returns why the last reload failed, or nil. The former files stay in use.
func (s *Source) LastError() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lastErr
}

func (s *Source) current() (*tls.Certificate, *x509.CertPool) {
	stamps := s.modified()
	s.mu.Lock()
	defer s.mu.Unlock()
	if stamps != s.stamps {
		s.lastErr = s.load()
		if s.lastErr == nil {
			s.stamps = stamps
		}
	}
	return s.pair, s.pool
}

func (s *Source) modified() [3]time.Time {
	var stamps [3]time.Time
	for i, path := range []string{s.settings.Certificate, s.settings.Key, s.settings.CA} {
		if path == "" {
			continue
		}
		if info, err := os.Stat(path); err == nil {
			stamps[i] = info.ModTime()
		}
	}
	return stamps
}

// load replaces the pair and the pool only when both could be read.
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
			return errs.Wrap(errNoAuthority, stepReadCA, errs.Self)
		}
	}
	s.pair, s.pool = pair, pool
	return nil
}

// Package upstreamhttp sends requests to upstreams over net/http and tells
// whether any byte of a failed request may have left.
package upstreamhttp

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"time"

	"savoryweir/internal/errs"
	"savoryweir/internal/transport/tlsconf"
)

// Protocol is the version of HTTP that upstreams speak.
type Protocol string

// The protocols.
const (
	// ProtocolHTTP1 is HTTP/1.1, one request at a time on a connection.
	ProtocolHTTP1 Protocol = "http1"
	// ProtocolH2C is HTTP/2 without TLS, or over TLS when that is on.
	ProtocolH2C Protocol = "h2c"
)

// Settings describes the connections to upstreams.
type Settings struct {
	Protocol       Protocol      // how generation requests and reads are sent
	ConnectTimeout time.Duration // time to open a connection
	PingAfter      time.Duration // silence after which an HTTP/2 connection is pinged
	PingTimeout    time.Duration // time to the answer of a ping
	TLS            *tlsconf.Source
}

const (
	maxIdlePerUpstream = 256
	idleConnTimeout    = 60 * time.Second
	maxHeaderBytes     = 64 << 10
	writeBufferBytes   = 8 << 10
)

const stepProbe errs.Step = "probe upstream"

const (
	probePath  = "/healthz"
	schemeHTTP = "http"
	schemeTLS  = "https"
)

var errProbeStatus = errors.New("upstream answered the probe with a server error")

// Client sends requests to upstreams.
type Client struct {
	scheme   string
	exact    bool
	transfer *http.Transport
	probe    *http.Transport  // opens a connection for each request
	dial     tlsconf.DialFunc // opens a connection, with TLS when that is on
}

// NewClient returns a client. Close it to close its idle connections.
func NewClient(s Settings) *Client {
	probe := newTransport(s)
	probe.DisableKeepAlives = true
	client := &Client{
		scheme: schemeHTTP, exact: s.Protocol != ProtocolH2C, transfer: newTransport(s), probe: probe, dial: probe.DialContext,
	}
	if s.TLS != nil {
		client.scheme = schemeTLS
		client.dial = probe.DialTLSContext
	}
	return client
}

func newTransport(s Settings) *http.Transport {
	dialer := &net.Dialer{Timeout: s.ConnectTimeout}
	protocols := new(http.Protocols)
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &trackedConn{Conn: conn}, nil
	}
	transport := &http.Transport{
		DialContext:            dial,
		DisableCompression:     true,
		MaxIdleConnsPerHost:    maxIdlePerUpstream,
		IdleConnTimeout:        idleConnTimeout,
		MaxResponseHeaderBytes: maxHeaderBytes,
		WriteBufferSize:        writeBufferBytes,
		Protocols:              protocols,
		HTTP2:                  &http.HTTP2Config{SendPingTimeout: s.PingAfter, PingTimeout: s.PingTimeout},
	}
	switch {
	case s.Protocol != ProtocolH2C:
		protocols.SetHTTP1(true)
	case s.TLS != nil:
		protocols.SetHTTP2(true)
	default:
		protocols.SetUnencryptedHTTP2(true)
	}
	if s.TLS != nil {
		transport.DialTLSContext = s.TLS.WrapDial(dial, offered(s.Protocol)...)
	}
	return transport
}

// offered returns the protocols that a TLS handshake offers to the upstream.
func offered(p Protocol) []string {
	if p == ProtocolH2C {
		return []string{"h2"}
	}
	return nil
}

// Request is one request to an upstream.
type Request struct {
	Method  string
	Address string // IP address and port
	Path    string // with the query
	Header  http.Header
	Body    []byte
	// AtMostOnce forbids the library to send the request again by itself.
	AtMostOnce bool
	// NewConnection sends the request on a new connection.
	NewConnection bool
}

// onceReader hides the type of the body, so that net/http can't send it again.
type onceReader struct{ io.Reader }

// Do sends the request and returns the answer's head. The returned Sent is never nil.
func (c *Client) Do(ctx context.Context, r Request) (*http.Response, *SendTracker, error) {
	sent := &SendTracker{exact: c.exact}
	ctx = httptrace.WithClientTrace(ctx, sent.trace())
	url := c.scheme + "://" + r.Address + r.Path
	var body io.Reader = bytes.NewReader(r.Body)
	if r.AtMostOnce {
		body = onceReader{body}
	}
	request, err := http.NewRequestWithContext(ctx, r.Method, url, body)
	if err != nil {
		return nil, sent, err
	}
	request.Header = r.Header
	request.ContentLength = int64(len(r.Body))
	transport := c.transfer
	if r.NewConnection {
		transport = c.probe
	}
	response, err := transport.RoundTrip(request)
	return response, sent, err
}

// Probe asks an upstream over a new connection whether it is alive.
func (c *Client) Probe(ctx context.Context, address string) error {
	url := c.scheme + "://" + address + probePath
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return errs.Wrap(err, stepProbe, errs.Peer(address))
	}
	response, err := c.probe.RoundTrip(request)
	if err != nil {
		return errs.Wrap(err, stepProbe, errs.Peer(address))
	}
	_ = response.Body.Close()
	if response.StatusCode >= http.StatusInternalServerError {
		return errs.Wrap(errProbeStatus, stepProbe, errs.Peer(address))
	}
	return nil
}

// CloseIdle closes the connections that carry no request.
func (c *Client) CloseIdle() {
	c.transfer.CloseIdleConnections()
	c.probe.CloseIdleConnections()
}

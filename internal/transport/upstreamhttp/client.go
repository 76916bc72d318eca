// Package upstreamhttp sends requests to upstreams over net/http and reports
// whether any byte of a failed request may have been sent.
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
	"savoryweir/internal/transport/checkedhttp"
	"savoryweir/internal/transport/tlsconf"
)

// Protocol is the HTTP version that upstreams support.
type Protocol string

// The supported protocols.
const (
	// ProtocolHTTP1 is HTTP/1.1 with one request at a time on each connection.
	ProtocolHTTP1 Protocol = "http1"
	// ProtocolH2C is HTTP/2 without TLS, or over TLS if TLS is enabled.
	ProtocolH2C Protocol = "h2c"
)

// Settings configures the connections to upstreams.
type Settings struct {
	Protocol       Protocol      // HTTP version of generation requests and reads
	ConnectTimeout time.Duration // time limit for opening a connection
	PingAfter      time.Duration // time without received frames after which an HTTP/2 connection is pinged
	PingTimeout    time.Duration // time limit for the response to a ping, and for that to a probe
	TLS            *tlsconf.Source
}

const (
	maxIdlePerUpstream = 256
	idleConnTimeout    = 60 * time.Second
	maxPingTimeout     = 60 * time.Second // bounds a ping whose upstream does not answer probes either
	maxHeaderBytes     = 64 << 10
	writeBufferBytes   = 8 << 10
)

const stepProbe errs.Step = "probe upstream"

const (
	probePath  = "/healthz"
	schemeHTTP = "http"
	schemeTLS  = "https"
)

var errProbeStatus = errors.New("upstream responded to the probe with a server error")

// Client sends requests to upstreams.
type Client struct {
	scheme            string
	oneRequestPerConn bool
	pooled            *http.Transport
	unpooled          *http.Transport  // opens a new connection for each request
	dial              tlsconf.DialFunc // opens a connection, over TLS if TLS is enabled
}

// NewClient returns a client. CloseIdle closes its idle connections.
func NewClient(s Settings) *Client {
	client := &Client{scheme: schemeHTTP, oneRequestPerConn: s.Protocol != ProtocolH2C, dial: newDial(s, nil)}
	if s.TLS != nil {
		client.scheme = schemeTLS
	}
	dial := newDial(s, client.monitor(s))
	client.pooled, client.unpooled = newTransport(s, dial), newTransport(s, dial)
	client.unpooled.DisableKeepAlives = true
	return client
}

// monitor returns the function that starts to monitor a connection, or nil over HTTP/1.
func (c *Client) monitor(s Settings) func(conn *trackedConn, address string) {
	if c.oneRequestPerConn {
		return nil
	}
	return func(conn *trackedConn, address string) {
		conn.monitor = newConnMonitor(s, func(ctx context.Context) error { return c.Probe(ctx, address) })
		go conn.monitor.run(func() { _ = conn.Conn.Close() })
	}
}

// newDial returns a DialFunc that opens a trackedConn, over TLS if TLS is enabled, and calls
// monitor with it unless that is nil.
func newDial(s Settings, monitor func(conn *trackedConn, address string)) tlsconf.DialFunc {
	dialer := &net.Dialer{Timeout: s.ConnectTimeout}
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		tracked := &trackedConn{Conn: conn}
		if monitor != nil {
			monitor(tracked, address)
		}
		return tracked, nil
	}
	if s.TLS != nil {
		return s.TLS.WrapDial(dial, alpnProtocols(s.Protocol)...)
	}
	return dial
}

func newTransport(s Settings, dial tlsconf.DialFunc) *http.Transport {
	protocols := new(http.Protocols)
	transport := &http.Transport{
		DisableCompression:     true,
		MaxIdleConnsPerHost:    maxIdlePerUpstream,
		IdleConnTimeout:        idleConnTimeout,
		MaxResponseHeaderBytes: maxHeaderBytes,
		WriteBufferSize:        writeBufferBytes,
		Protocols:              protocols,
		HTTP2:                  &http.HTTP2Config{SendPingTimeout: s.PingAfter, PingTimeout: maxPingTimeout},
	}
	switch {
	case s.Protocol != ProtocolH2C:
		protocols.SetHTTP1(true)
		dial = checkedhttp.WrapDial(dial)
	case s.TLS != nil:
		protocols.SetHTTP2(true)
	default:
		protocols.SetUnencryptedHTTP2(true)
	}
	if s.TLS != nil {
		transport.DialTLSContext = dial
	} else {
		transport.DialContext = dial
	}
	return transport
}

// alpnProtocols returns the ALPN protocols that a TLS handshake offers to the upstream.
func alpnProtocols(p Protocol) []string {
	if p == ProtocolH2C {
		return []string{"h2"}
	}
	return nil
}

// Request is one request to an upstream.
type Request struct {
	Method  string
	Address string // IP address and port
	Path    string // path and query
	Header  http.Header
	Body    []byte
	// AtMostOnce keeps net/http from sending the request again by itself.
	AtMostOnce bool
	// NewConnection makes Do send the request on a new connection.
	NewConnection bool
}

// nonReplayableReader hides the concrete type of the body, so that net/http cannot rewind
// the body and send the request again.
type nonReplayableReader struct{ io.Reader }

// Do sends the request and returns the response after its headers. The returned
// SendTracker is never nil.
func (c *Client) Do(ctx context.Context, r Request) (*http.Response, *SendTracker, error) {
	tracker := &SendTracker{oneRequestPerConn: c.oneRequestPerConn}
	ctx = httptrace.WithClientTrace(ctx, tracker.trace())
	url := c.scheme + "://" + r.Address + r.Path
	var body io.Reader = bytes.NewReader(r.Body)
	if r.AtMostOnce {
		body = nonReplayableReader{body}
	}
	request, err := http.NewRequestWithContext(ctx, r.Method, url, body)
	if err != nil {
		return nil, tracker, err
	}
	request.Header = r.Header
	request.ContentLength = int64(len(r.Body))
	transport := c.pooled
	if r.NewConnection {
		transport = c.unpooled
	}
	response, err := checkedhttp.Transport{Base: transport}.RoundTrip(request)
	return response, tracker, err
}

// Probe checks the health of an upstream over a new connection. A response with a status
// of 500 or above is an error.
func (c *Client) Probe(ctx context.Context, address string) error {
	url := c.scheme + "://" + address + probePath
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return errs.Wrap(err, stepProbe, errs.Peer(address))
	}
	response, err := checkedhttp.Transport{Base: c.unpooled}.RoundTrip(request)
	if err != nil {
		return errs.Wrap(err, stepProbe, errs.Peer(address))
	}
	_ = response.Body.Close()
	if response.StatusCode >= http.StatusInternalServerError {
		return errs.Wrap(errProbeStatus, stepProbe, errs.Peer(address))
	}
	return nil
}

// CloseIdle closes the idle connections.
func (c *Client) CloseIdle() {
	c.pooled.CloseIdleConnections()
	c.unpooled.CloseIdleConnections()
}

// Package checkedhttp makes net/http reject responses that violate HTTP, see package responsehead, or that were reset
// before their end, see package eofcheck. A client needs both parts: connections that are opened by WrapDial, and a
// Transport around that of net/http.
package checkedhttp

import (
	"cmp"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"syscall"

	"savoryweir/internal/protocol/responsehead"
	"savoryweir/internal/transport/eofcheck"
	"savoryweir/internal/transport/tlsconf"
)

// Conn is a connection on which requests are sent by HTTP/1. It checks the heads of the responses, and that a response
// without a length ends in an orderly way.
type Conn struct {
	net.Conn

	mu       sync.Mutex // guards the fields below
	checker  responsehead.Checker
	hasBegun bool // some of the present request was written
}

// NewConn returns a connection that checks what is read from another one.
func NewConn(c net.Conn) *Conn { return &Conn{Conn: eofcheck.New(c)} }

// WrapDial returns a DialFunc that checks the connections that dial opens. They must not be used for HTTP/2.
func WrapDial(dial tlsconf.DialFunc) tlsconf.DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return NewConn(c), nil
	}
}

// NetConn returns the connection that is checked.
func (c *Conn) NetConn() net.Conn { return c.Conn }

// ExpectResponse states that the next bytes written begin a request, and the next bytes read its response.
func (c *Conn) ExpectResponse() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.checker.Expect()
	c.hasBegun = false
}

// Err returns an error if a response had a malformed head.
func (c *Conn) Err() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.checker.Err()
}

// Read implements net.Conn. A malformed head doesn't make it fail: net/http would send a request again whose
// response can't be read at all.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.checker.Observe(p[:n])
	return n, err
}

// Write implements net.Conn. It fails after a malformed head, as net/http may use the connection again before the
// Transport closes it. If the server resets the connection within a request, the rest of the request is dropped instead:
// net/http would not read the response that the server may have sent before. Without one, the read fails.
func (c *Conn) Write(p []byte) (int, error) {
	if err := c.Err(); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	isReset := errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
	if isReset && (c.hasBegun || n > 0) {
		return len(p), nil
	}
	c.hasBegun = c.hasBegun || n > 0
	return n, err
}

// Transport rejects responses that the transport Base of net/http accepts although they violate HTTP.
type Transport struct{ Base http.RoundTripper }

// RoundTrip implements http.RoundTripper.
func (t Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	var used atomic.Pointer[Conn] // nil for HTTP/2
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if c, ok := info.Conn.(*Conn); ok {
			c.ExpectResponse()
			used.Store(c)
		}
	}}
	response, err := t.Base.RoundTrip(r.WithContext(httptrace.WithClientTrace(r.Context(), trace)))
	if c := used.Load(); c != nil && c.Err() != nil {
		discard(response)
		_ = c.Close()
		return nil, c.Err()
	}
	if err != nil {
		return nil, err
	}
	if err := responsehead.CheckStatus(response.StatusCode); err != nil { // of HTTP/2
		discard(response)
		return nil, err
	}
	response.Body = body{ReadCloser: response.Body, response: response}
	return response, nil
}

// discard closes the body of a response, which may be nil.
func discard(response *http.Response) {
	if response != nil {
		_ = response.Body.Close()
	}
}

// body is the body of a response. It ends with an error instead of io.EOF if the trailer is malformed.
type body struct {
	io.ReadCloser
	response *http.Response
}

// Read implements io.Reader.
func (b body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		err = cmp.Or(responsehead.CheckTrailer(b.response.Trailer), err)
	}
	return n, err
}

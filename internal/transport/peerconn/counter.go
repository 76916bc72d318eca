package peerconn

import (
	"net"
	"sync/atomic"

	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
)

// ByteCounter counts the bytes that a process sends to and receives from its peers. It is safe
// for concurrent use.
type ByteCounter struct {
	sent     atomic.Uint64
	received atomic.Uint64
}

// Sent returns the number of bytes written to peers.
func (c *ByteCounter) Sent() uint64 { return c.sent.Load() }

// Received returns the number of bytes read from peers.
func (c *ByteCounter) Received() uint64 { return c.received.Load() }

func (c *ByteCounter) wrapConn(conn net.Conn) net.Conn { return &countedConn{Conn: conn, counter: c} }

// WrapListener returns a listener that counts the bytes of its connections.
func (c *ByteCounter) WrapListener(l net.Listener) net.Listener {
	return &countedListener{Listener: l, counter: c}
}

type countedListener struct {
	net.Listener
	counter *ByteCounter
}

// Accept implements net.Listener.
func (l *countedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.counter.wrapConn(conn), nil
}

type countedConn struct {
	net.Conn
	counter *ByteCounter
}

// Read implements net.Conn.
func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.counter.received.Add(uint64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.counter.sent.Add(uint64(n))
	return n, err
}

// connectParams returns the reconnection backoff and the connect timeout of a connection.
func connectParams() grpc.ConnectParams {
	backoffConfig := backoff.DefaultConfig
	backoffConfig.MaxDelay = maxReconnectDelay
	return grpc.ConnectParams{Backoff: backoffConfig, MinConnectTimeout: dialTimeout}
}

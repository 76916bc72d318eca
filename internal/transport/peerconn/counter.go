package peerconn

import (
	"net"
	"sync/atomic"

	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
)

// ByteCounter counts the bytes of control traffic of a process, both ways.
type ByteCounter struct {
	sent     atomic.Uint64
	received atomic.Uint64
}

// Sent returns the bytes written to peers.
func (c *ByteCounter) Sent() uint64 { return c.sent.Load() }

// Received returns the bytes read from peers.
func (c *ByteCounter) Received() uint64 { return c.received.Load() }

func (c *ByteCounter) wrap(conn net.Conn) net.Conn { return &countedConn{Conn: conn, counter: c} }

// WrapListener returns a listener whose connections are counted.
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
	return l.counter.wrap(conn), nil
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

func connectParams() grpc.ConnectParams {
	delays := backoff.DefaultConfig
	delays.MaxDelay = maxReconnectDelay
	return grpc.ConnectParams{Backoff: delays, MinConnectTimeout: dialTimeout}
}

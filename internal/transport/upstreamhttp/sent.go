package upstreamhttp

import (
	"errors"
	"net"
	"net/http/httptrace"
	"sync"
)

var errSealed = errors.New("connection was sealed before the request was written")

// trackedConn counts the started writes and rejects further writes once it is sealed.
type trackedConn struct {
	net.Conn
	monitor *connMonitor // nil over HTTP/1

	mu     sync.Mutex // guards writes and sealed
	writes uint64
	sealed bool
}

// NetConn returns the connection whose writes are counted.
func (c *trackedConn) NetConn() net.Conn { return c.Conn }

// Write implements net.Conn.
func (c *trackedConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	if c.sealed {
		c.mu.Unlock()
		return 0, errSealed
	}
	c.writes++
	c.mu.Unlock()
	return c.Conn.Write(p)
}

// Read implements net.Conn.
func (c *trackedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 && c.monitor != nil {
		c.monitor.recordReceived()
	}
	return n, err
}

// Close implements net.Conn.
func (c *trackedConn) Close() error {
	if c.monitor != nil {
		c.monitor.stop()
	}
	return c.Conn.Close()
}

func (c *trackedConn) writeCount() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writes
}

// sealIfUnwritten makes the connection reject all further writes if no write has started
// since the write count was mark. Otherwise it returns true and changes nothing.
func (c *trackedConn) sealIfUnwritten(mark uint64) (written bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writes != mark {
		return true
	}
	c.sealed = true
	return false
}

// asTrackedConn returns the trackedConn that conn is or wraps, as TLS does, or nil.
func asTrackedConn(conn net.Conn) *trackedConn {
	switch c := conn.(type) {
	case *trackedConn:
		return c
	case interface{ NetConn() net.Conn }:
		return asTrackedConn(c.NetConn())
	default:
		return nil
	}
}

// SendTracker records whether any byte of one request may have been sent.
type SendTracker struct {
	oneRequestPerConn bool // each connection carries one request at a time

	mu        sync.Mutex // guards marks and untracked
	marks     []connMark
	untracked bool // the request was assigned a connection that is not a trackedConn
}

// connMark is a connection with its write count when the request was assigned to it.
type connMark struct {
	conn   *trackedConn
	writes uint64
}

func (s *SendTracker) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{GotConn: s.gotConn}
}

func (s *SendTracker) gotConn(info httptrace.GotConnInfo) {
	s.mu.Lock()
	defer s.mu.Unlock()
	conn := asTrackedConn(info.Conn)
	if conn == nil {
		s.untracked = true
		return
	}
	s.marks = append(s.marks, connMark{conn, conn.writeCount()})
}

// MaybeSent reports whether a byte of the request may have been sent. If it returns
// false, the connections are sealed, so that no byte is sent afterwards either. It must be
// called only after the request failed. For untracked connections and for connections that
// several requests share it always returns true.
func (s *SendTracker) MaybeSent() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.untracked || !s.oneRequestPerConn {
		return true
	}
	for _, mark := range s.marks {
		if mark.conn.sealIfUnwritten(mark.writes) {
			return true
		}
	}
	return false
}

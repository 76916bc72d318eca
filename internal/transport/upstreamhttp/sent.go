package upstreamhttp

import (
	"crypto/tls"
	"errors"
	"net"
	"net/http/httptrace"
	"sync"
)

var errSealed = errors.New("connection was given up before the request was written")

// trackedConn counts the writes that have begun, and refuses writes once sealed.
type trackedConn struct {
	net.Conn

	mu     sync.Mutex // guards writes and sealed
	writes uint64
	sealed bool
}

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

func (c *trackedConn) begun() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writes
}

// sealUnless refuses all further writes if none has begun since mark.
func (c *trackedConn) sealUnless(mark uint64) (begun bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writes != mark {
		return true
	}
	c.sealed = true
	return false
}

// tracked returns the tracked connection below conn, or nil.
func tracked(conn net.Conn) *trackedConn {
	switch c := conn.(type) {
	case *trackedConn:
		return c
	case *tls.Conn:
		return tracked(c.NetConn())
	default:
		return nil
	}
}

// SendTracker tells whether any byte of one request may have left this process.
type SendTracker struct {
	exact bool // connections carry one request at a time

	mu    sync.Mutex // guards marks and lost
	marks []connMark
	lost  bool // a connection could not be tracked
}

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
	conn := tracked(info.Conn)
	if conn == nil {
		s.lost = true
		return
	}
	s.marks = append(s.marks, connMark{conn, conn.begun()})
}

// MaybeSent reports whether a byte of the request may have left. When it
// returns false, no byte leaves afterwards either. Call it after the request failed.
func (s *SendTracker) MaybeSent() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lost || !s.exact {
		return true
	}
	for _, mark := range s.marks {
		if mark.conn.sealUnless(mark.writes) {
			return true
		}
	}
	return false
}

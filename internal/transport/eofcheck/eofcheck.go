// Package eofcheck makes a TCP connection return io.EOF only if the peer has ended its bytes in an orderly way. The
// kernel reports a reset once: if a write that waits for room takes the report, the read that follows gets the end of the
// file, and a message that ends with its connection looks complete.
package eofcheck

import (
	"cmp"
	"errors"
	"io"
	"net"
	"sync"
	"syscall"

	"golang.org/x/sys/unix"

	"savoryweir/internal/transport/tcpinfo"
)

// Conn is a connection whose reads return the error that the kernel has reported to a write.
type Conn struct {
	net.Conn

	mu       sync.Mutex // guards the fields below
	writes   int        // in progress
	writeEnd *sync.Cond // signals the end of a write
	breakErr error      // with which the connection broke before the peer had ended its bytes
}

// New returns a connection that checks the end of another one. All bytes must be written through it.
func New(c net.Conn) *Conn {
	checked := &Conn{Conn: c}
	checked.writeEnd = sync.NewCond(&checked.mu)
	return checked
}

// NetConn returns the connection that is checked.
func (c *Conn) NetConn() net.Conn { return c.Conn }

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err == nil {
		return n, nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.record(err)
	if err != io.EOF {
		return n, err
	}
	for c.writes > 0 && isGone(c.Conn) { // such a write returns at once
		c.writeEnd.Wait()
	}
	return n, cmp.Or(c.breakErr, err)
}

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	c.writes++
	c.mu.Unlock()
	n, err := c.Conn.Write(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writes--
	c.record(err)
	c.writeEnd.Broadcast()
	return n, err
}

// record keeps the first error that the kernel has reported for the connection. It reports EPIPE for a reset that came
// after the end of the peer's bytes, and for each call after the first report. The caller holds c.mu.
func (c *Conn) record(err error) {
	errno, isReported := errors.AsType[syscall.Errno](err)
	if isReported && errno != syscall.EPIPE && c.breakErr == nil {
		c.breakErr = err
	}
}

// isGone reports whether a connection was reset or has timed out. A connection on which the peer has only ended its own
// bytes is not gone: a write may go on.
func isGone(c net.Conn) bool {
	info, err := tcpinfo.Get(c)
	return err == nil && info.State == unix.BPF_TCP_CLOSE
}

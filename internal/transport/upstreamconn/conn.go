package upstreamconn

import (
	"bufio"
	"errors"
	"io"
	"net"
	"syscall"
	"time"
)

const (
	readBufferBytes = 4 << 10
	// maxHeadBytes bounds the head of an answer.
	maxHeadBytes = 64 << 10
)

var errHeadTooLong = errors.New("the head of the answer is too long")

// conn is one connection to an upstream. One request at a time uses it.
type conn struct {
	net.Conn
	reader    *bufio.Reader
	head      headLimit
	idleSince time.Time
	keepFor   time.Duration // idle time within which it may be used again
}

// headLimit bounds how much is read while the head of an answer is awaited.
type headLimit struct {
	from io.Reader
	left int // negative for no limit
}

func (l *headLimit) Read(p []byte) (int, error) {
	if l.left < 0 {
		return l.from.Read(p)
	}
	if l.left == 0 {
		return 0, errHeadTooLong
	}
	n, err := l.from.Read(p[:min(len(p), l.left)])
	l.left -= n
	return n, err
}

func newConn(c net.Conn) *conn {
	k := &conn{Conn: c, head: headLimit{from: c}}
	k.reader = bufio.NewReaderSize(&k.head, readBufferBytes)
	return k
}

// isQuiet reports whether an idle connection is open and has nothing to read.
// Whatever an upstream sends between two requests belongs to neither of them.
func (c *conn) isQuiet() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	source, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := source.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, readErr := syscall.Read(int(fd), one[:])
		quiet = errors.Is(readErr, syscall.EAGAIN)
		return true
	})
	return err == nil && quiet
}

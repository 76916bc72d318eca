package upstreamconn

import (
	"bufio"
	"errors"
	"io"
	"net"
	"syscall"
	"time"

	"savoryweir/internal/protocol/responsehead"
	"savoryweir/internal/transport/eofcheck"
	"savoryweir/internal/transport/tcpinfo"
)

const (
	readBufferBytes = 4 << 10
	// maxHeadBytes bounds the status line and headers of a response, together with the
	// informational responses before it.
	maxHeadBytes = 64 << 10
)

var errHeadTooLarge = errors.New("response head exceeds the size limit")

// conn is one connection to an upstream. It serves one request at a time.
type conn struct {
	*eofcheck.Conn
	reader      *bufio.Reader
	head        headReader
	idleSince   time.Time
	idleTimeout time.Duration // idle time within which the connection may be reused
}

// headReader bounds the number of bytes that are read up to the end of a response's
// head, and checks them.
type headReader struct {
	source    io.Reader
	remaining int // bytes; negative for no limit
	checker   responsehead.Checker
	err       error // with which the connection ended within a head
}

// begin states that the next bytes are those of a response.
func (r *headReader) begin() {
	r.remaining = maxHeadBytes
	r.checker.Expect()
}

// fault returns why a head could not be read, where err is the error of net/http, nil if there was none. net/http
// takes the beginning of a line for the line if the connection ends there.
func (r *headReader) fault(err error) error {
	switch {
	case r.checker.Err() != nil:
		return r.checker.Err()
	case err != nil && r.err == io.EOF:
		return io.ErrUnexpectedEOF
	case err != nil && r.err != nil:
		return r.err
	default:
		return err
	}
}

// end states that the head of the final response has been read.
func (r *headReader) end() { r.remaining = -1 }

// Read implements io.Reader. It returns errHeadTooLarge once the limit is reached.
func (r *headReader) Read(p []byte) (int, error) {
	if r.remaining < 0 {
		return r.source.Read(p)
	}
	if r.remaining == 0 {
		return 0, errHeadTooLarge
	}
	n, err := r.source.Read(p[:min(len(p), r.remaining)])
	r.remaining -= n
	r.checker.Observe(p[:n])
	r.err = err
	return n, err
}

func newConn(raw net.Conn) *conn {
	checked := eofcheck.New(raw)
	c := &conn{Conn: checked, head: headReader{source: checked}}
	c.reader = bufio.NewReaderSize(&c.head, readBufferBytes)
	return c
}

// isReusable reports whether an idle connection is open and has nothing to read. Data
// that an upstream sends between two requests belongs to neither of them, so a
// connection with such data can't be reused.
func (c *conn) isReusable() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	source, ok := c.NetConn().(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := source.SyscallConn()
	if err != nil {
		return false
	}
	wouldBlock := false
	err = raw.Read(func(fd uintptr) bool {
		var buffer [1]byte
		_, readErr := syscall.Read(int(fd), buffer[:])
		wouldBlock = errors.Is(readErr, syscall.EAGAIN)
		return true
	})
	return err == nil && wouldBlock
}

// isAcknowledged reports whether the peer has acknowledged all bytes that were written, as far as the kernel tells.
func (c *conn) isAcknowledged() bool {
	info, err := tcpinfo.Get(c)
	return err != nil || info.Unacked == 0 && info.Notsent_bytes == 0
}

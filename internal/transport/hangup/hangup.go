// Package hangup tells whether the peer of a TCP connection has closed it, also while bytes that the
// peer sent before are still unread.
package hangup

import (
	"context"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

type connKey struct{}

// NewContext returns a context that carries the connection of a request. It has the form of
// http.Server.ConnContext.
func NewContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// IsSeen reports whether the peer has closed the connection that ctx carries. It returns false if ctx
// carries none.
func IsSeen(ctx context.Context) bool {
	c, ok := ctx.Value(connKey{}).(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return true // closed by this process
	}
	isClosed := false
	err = raw.Control(func(fd uintptr) { isClosed = isClosedByPeer(int(fd)) })
	return err != nil || isClosed
}

// isClosedByPeer reports whether the end of the peer's bytes, or a reset, has arrived at a socket.
func isClosedByPeer(fd int) bool {
	info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
	if err != nil {
		return false
	}
	switch info.State {
	case unix.BPF_TCP_CLOSE_WAIT, unix.BPF_TCP_LAST_ACK, unix.BPF_TCP_CLOSING, unix.BPF_TCP_CLOSE:
		return true
	default:
		return false
	}
}

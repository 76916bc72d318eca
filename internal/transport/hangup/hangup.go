// Package hangup tells whether the peer of a TCP connection has closed it, also while bytes that the
// peer sent before are still unread, and lets this end break it off.
package hangup

import (
	"context"
	"net"
	"syscall"

	"golang.org/x/sys/unix"

	"savoryweir/internal/transport/tcpinfo"
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

// ResetOnClose makes the close of the connection that ctx carries a reset, so that the peer does not take it for the
// orderly end of what was sent.
func ResetOnClose(ctx context.Context) {
	c, ok := ctx.Value(connKey{}).(net.Conn)
	if !ok {
		return
	}
	raw, err := tcpinfo.Raw(c)
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) {
		_ = unix.SetsockoptLinger(int(fd), unix.SOL_SOCKET, unix.SO_LINGER, &unix.Linger{Onoff: 1})
	})
}

// Package sockbuf limits the memory in which the kernel keeps the bytes that a process has not read yet. By default a
// peer that sends without end fills several megabytes a connection.
package sockbuf

import (
	"syscall"

	"golang.org/x/sys/unix"
)

// receiveBytes is the requested size of a receive buffer, which the kernel doubles. Within a region it carries some tens
// of megabytes a second.
const receiveBytes = 64 << 10

// LimitReceive limits the receive buffer of a socket before it connects or listens; accepted connections inherit the
// limit. It is the Control function of a net.Dialer or net.ListenConfig. A socket without the option works all the same.
func LimitReceive(_, _ string, raw syscall.RawConn) error {
	return raw.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, receiveBytes)
	})
}

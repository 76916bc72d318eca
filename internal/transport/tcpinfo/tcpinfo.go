// Package tcpinfo reads what the kernel knows of a TCP connection.
package tcpinfo

import (
	"errors"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// ErrNoSocket is the error for a connection that is not one of the kernel's.
var ErrNoSocket = errors.New("connection has no socket")

// Raw returns the socket of a connection, or of the one that it wraps, as TLS does.
func Raw(c net.Conn) (syscall.RawConn, error) {
	for {
		if source, ok := c.(syscall.Conn); ok {
			return source.SyscallConn()
		}
		wrapper, ok := c.(interface{ NetConn() net.Conn })
		if !ok {
			return nil, ErrNoSocket
		}
		c = wrapper.NetConn()
	}
}

// Get returns the state of a connection.
func Get(c net.Conn) (*unix.TCPInfo, error) {
	raw, err := Raw(c)
	if err != nil {
		return nil, err
	}
	var info *unix.TCPInfo
	var infoErr error
	err = raw.Control(func(fd uintptr) {
		info, infoErr = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	})
	return info, errors.Join(err, infoErr)
}

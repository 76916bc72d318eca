// Package keepalive opens TCP connections that detect an unresponsive peer within
// seconds.
package keepalive

import (
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// probeIdleTime is the idle time after which a connection is probed. The connection
	// is closed after three unanswered probes, so that an unresponsive peer is detected
	// within two seconds, the shortest time within which a configuration change must be
	// in force.
	probeIdleTime = time.Second
	probeInterval = 300 * time.Millisecond
	probeCount    = 3
	// userTimeout is how long sent bytes may stay unacknowledged before the connection
	// is closed. It is longer than the retransmission of two consecutive lost packets
	// takes on a link within a region.
	userTimeout = 2 * time.Second
)

// Dialer returns a dialer with the given timeout for opening a connection. Its
// connections are probed while idle, and are closed if probes or sent bytes stay
// unacknowledged.
func Dialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout:         timeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probeIdleTime, Interval: probeInterval, Count: probeCount},
		Control:         limitUserTimeout,
	}
}

// limitUserTimeout limits the time for which bytes that are sent on a socket may stay unacknowledged. It is the Control
// function of a Dialer.
func limitUserTimeout(_, _ string, raw syscall.RawConn) error {
	return setUserTimeout(raw, userTimeout)
}

// setUserTimeout sets TCP_USER_TIMEOUT on a socket, 0 for the kernel's default.
func setUserTimeout(raw syscall.RawConn, timeout time.Duration) error {
	var optionErr error
	err := raw.Control(func(fd uintptr) {
		optionErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
	})
	return errors.Join(err, optionErr)
}

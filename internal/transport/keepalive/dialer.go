// Package watchfulconn opens TCP connections that notice within seconds when the
// other end has gone silent.
package keepalive

import (
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// idleBeforeProbe is the silence after which a connection is probed. Three
	// missed probes end it, so that a silent peer is noticed within two seconds,
	// the shortest time within which a change of configuration has to be in force.
	idleBeforeProbe = time.Second
	probeInterval   = 300 * time.Millisecond
	probeCount      = 3
	// unackedTimeout ends a connection whose sent bytes are not acknowledged. It is
	// above the retransmission of two lost packets in a row on a regional link.
	unackedTimeout = 2 * time.Second
)

// Dialer returns a dialer whose connections are probed while idle and end when
// sent bytes stay unacknowledged.
func Dialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout:         timeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: idleBeforeProbe, Interval: probeInterval, Count: probeCount},
		Control:         limitUnacked,
	}
}

func limitUnacked(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
	})
	return errors.Join(err, failed)
}

package keepalive

import (
	"net"
	"time"

	"golang.org/x/sys/unix"

	"savoryweir/internal/transport/tcpinfo"
)

// pathCheckInterval is the time between two looks at a connection whose peer may read slowly.
const pathCheckInterval = 250 * time.Millisecond

// AllowSlowReader lets the peer of a connection of a Dialer leave sent bytes unread for any time, until stop is called.
// The kernel's limit on unacknowledged bytes, TCP_USER_TIMEOUT, counts the time for which the peer's receive window is
// closed as well. It is lifted, and the connection is closed if its path is seen not to respond.
func AllowSlowReader(c net.Conn) (stop func()) {
	if err := limitUnacknowledged(c, 0); err != nil {
		return func() {}
	}
	done := make(chan struct{})
	go closeIfUnresponsive(c, done)
	return func() {
		close(done)
		_ = limitUnacknowledged(c, userTimeout)
	}
}

// limitUnacknowledged sets the kernel's limit on the time for which sent bytes may stay unacknowledged, 0 for none.
func limitUnacknowledged(c net.Conn, limit time.Duration) error {
	raw, err := tcpinfo.Raw(c)
	if err != nil {
		return err
	}
	return setUserTimeout(raw, limit)
}

// closeIfUnresponsive watches a connection until done is closed.
func closeIfUnresponsive(c net.Conn, done <-chan struct{}) {
	ticker := time.NewTicker(pathCheckInterval)
	defer ticker.Stop()
	path := pathWatch{respondedAt: time.Now()}
	for {
		select {
		case <-done:
			return
		case <-ticker.C:
		}
		info, err := tcpinfo.Get(c)
		if err != nil {
			return
		}
		if path.isUnresponsive(time.Now(), info) {
			_ = c.Close()
			return
		}
	}
}

// pathWatch tells a path that doesn't respond from a peer that reads slowly.
type pathWatch struct {
	respondedAt time.Time // when nothing was outstanding last
}

// isUnresponsive reports whether bytes that the peer had room for have stayed unacknowledged for userTimeout. Nothing is
// awaited from a peer that has ended its own bytes, of which some may still have to be read.
func (w *pathWatch) isUnresponsive(now time.Time, info *unix.TCPInfo) bool {
	if info.Unacked == 0 || info.Snd_wnd == 0 || info.State != unix.BPF_TCP_ESTABLISHED {
		w.respondedAt = now
		return false
	}
	sinceAck := time.Duration(info.Last_ack_recv) * time.Millisecond
	return min(now.Sub(w.respondedAt), sinceAck) >= userTimeout
}

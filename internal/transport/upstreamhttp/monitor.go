package upstreamhttp

import (
	"context"
	"sync/atomic"
	"time"

	"savoryweir/internal/pause"
)

// connMonitor closes an HTTP/2 connection that has gone silent although its upstream answers on
// a new one. The pings of net/http make each live connection receive something; the answer on a
// new connection tells a dead connection from an upstream that is stopped for a while, whose
// connection and the requests on it stay.
type connMonitor struct {
	silence  time.Duration // time without received bytes after which the upstream is probed
	timeout  time.Duration // time limit for the answer to a probe, and for a ping after it
	probe    func(context.Context) error
	received atomic.Int64 // time of the last received bytes, in Unix nanoseconds
	ctx      context.Context
	stop     context.CancelFunc
}

func newConnMonitor(s Settings, probe func(context.Context) error) *connMonitor {
	m := &connMonitor{silence: s.PingAfter + s.PingTimeout, timeout: s.PingTimeout, probe: probe}
	m.ctx, m.stop = context.WithCancel(context.Background())
	m.recordReceived()
	return m
}

func (m *connMonitor) recordReceived() { m.received.Store(time.Now().UnixNano()) }

// run calls closeConn once the connection is dead. It returns when stop is called.
func (m *connMonitor) run(closeConn func()) {
	for m.ctx.Err() == nil {
		received := m.received.Load()
		if wait := m.silence - time.Since(time.Unix(0, received)); wait > 0 {
			pause.For(m.ctx, wait)
			continue
		}
		if m.isDead(received) {
			closeConn()
			return
		}
	}
}

// isDead reports whether the connection receives nothing while the upstream answers a probe.
func (m *connMonitor) isDead(received int64) bool {
	ctx, cancel := context.WithTimeout(m.ctx, m.timeout)
	defer cancel()
	err := m.probe(ctx)
	// An upstream that has just gone on may answer the probe first.
	pause.For(m.ctx, m.timeout)
	return err == nil && m.received.Load() == received
}

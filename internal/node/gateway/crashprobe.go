package gateway

import (
	"context"
	"sync"
	"time"

	"savoryweir/internal/state/fleet"
)

const (
	// crashProbeDelay is the time between a broken connection and the attempt to open another one.
	// A process that ends may close its connections before its port.
	crashProbeDelay = 20 * time.Millisecond
	// crashProbeTTL is how long the result of a probe holds. All connections that a crash breaks
	// have broken by then, and the upstream has not started again.
	crashProbeTTL = 500 * time.Millisecond
	// crashProbeLimit is the number of results from which expired ones are removed.
	crashProbeLimit = 64
)

// crashProbes tell crashed upstreams from broken connections by opening another connection. They
// are safe for concurrent use.
type crashProbes struct {
	isReachable func(ctx context.Context, address string) bool

	mu     sync.Mutex // guards probes
	probes map[fleet.UpstreamID]*crashProbe
}

type crashProbe struct {
	startedAt  time.Time
	done       chan struct{} // closed when hasCrashed is set
	hasCrashed bool
}

func newCrashProbes(isReachable func(ctx context.Context, address string) bool) *crashProbes {
	return &crashProbes{isReachable: isReachable, probes: make(map[fleet.UpstreamID]*crashProbe)}
}

// hasCrashed reports whether an upstream that has broken a connection accepts no other one.
// Several calls at a time share a probe.
func (c *crashProbes) hasCrashed(u *fleet.Upstream) bool {
	now := time.Now()
	c.mu.Lock()
	p := c.probes[u.ID]
	isNew := p == nil || now.Sub(p.startedAt) > crashProbeTTL
	if isNew {
		p = &crashProbe{startedAt: now, done: make(chan struct{})}
		c.removeExpired(now)
		c.probes[u.ID] = p
	}
	c.mu.Unlock()
	if isNew {
		time.Sleep(crashProbeDelay)
		p.hasCrashed = !c.isReachable(context.Background(), u.Address)
		close(p.done)
	}
	<-p.done
	return p.hasCrashed
}

// removeExpired removes expired results. The caller holds c.mu.
func (c *crashProbes) removeExpired(now time.Time) {
	if len(c.probes) < crashProbeLimit {
		return
	}
	for id, p := range c.probes {
		if now.Sub(p.startedAt) > crashProbeTTL {
			delete(c.probes, id)
		}
	}
}

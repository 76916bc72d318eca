package gateway

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"savoryweir/internal/protocol/responsehead"
	"savoryweir/internal/state/fleet"
	"savoryweir/internal/transport/upstreamconn"
	"savoryweir/platform"
)

const (
	// crashProbeDelay is the time between a broken connection and the probe. A process that ends may
	// close its connections before its port.
	crashProbeDelay = 20 * time.Millisecond
	// crashProbeTimeout is how long the probe waits for a response.
	crashProbeTimeout = 250 * time.Millisecond
	// crashProbeTTL is how long the result of a probe holds. All connections that a crash breaks
	// have broken by then, and the upstream has not started again.
	crashProbeTTL = 500 * time.Millisecond
	// crashProbeLimit is the number of results from which expired ones are removed.
	crashProbeLimit = 64
)

// crashProbes tell crashed upstreams from broken connections by a request to the upstream. They
// are safe for concurrent use.
type crashProbes struct {
	isGone func(*fleet.Upstream) bool

	mu     sync.Mutex // guards probes
	probes map[fleet.UpstreamID]*crashProbe
}

type crashProbe struct {
	startedAt  time.Time
	done       chan struct{} // closed when hasCrashed is set
	hasCrashed bool
}

func newCrashProbes(isGone func(*fleet.Upstream) bool) *crashProbes {
	return &crashProbes{isGone: isGone, probes: make(map[fleet.UpstreamID]*crashProbe)}
}

// hasCrashed reports whether an upstream that has broken a connection is gone. Several calls at a
// time share a probe.
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
		p.hasCrashed = c.isGone(u)
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

// isGone reports whether an upstream refuses or breaks the connection of a request for its report,
// or another one has its address. An upstream that sends nothing may only be silent, one that sends a
// malformed response runs, and if this instance reaches no other upstream either, its own path has failed.
func (g *Gateway) isGone(u *fleet.Upstream) bool {
	if g.IsPaused(u) {
		return false
	}
	ctx, cancel := context.WithTimeout(context.Background(), crashProbeTimeout)
	defer cancel()
	x, err := g.Pool.Do(ctx, upstreamconn.Request{
		Address: u.Address, Method: http.MethodGet, Target: platform.ReportPath, Host: u.Address, Header: platform.OrderHeaders(string(u.ID)),
		AtMostOnce: true, // an older idle connection may break for other reasons
	})
	if err != nil {
		return ctx.Err() == nil && !errors.Is(err, responsehead.ErrMalformed) && g.reach.reachesAnyBut(ctx, u.Address)
	}
	defer x.Close()
	g.ObserveResponse(u, x.Response.StatusCode, x.Response.Header)
	return x.Response.StatusCode == http.StatusMisdirectedRequest
}

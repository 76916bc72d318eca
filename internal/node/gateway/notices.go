package gateway

import (
	"net/http"
	"sync"
	"time"

	"savoryweir/internal/coordination/dispatch"
	"savoryweir/internal/coordination/permits"
	"savoryweir/internal/state/fleet"
	"savoryweir/platform"
)

// pauses holds the pauses that upstreams have asked this instance for. It is safe for
// concurrent use.
type pauses struct {
	bootTime func() time.Duration // clock that includes suspended time

	mu      sync.Mutex // guards tracker
	tracker *dispatch.PauseTracker
}

func newPauses(bootTime func() time.Duration) *pauses {
	return &pauses{bootTime: bootTime, tracker: dispatch.NewPauseTracker()}
}

func (p *pauses) record(u *fleet.Upstream, d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.bootTime()
	p.tracker.RemoveExpired(now)
	p.tracker.Record(u, now+d)
}

// available returns the upstreams that are not paused or, if all are, the time until the
// first pause ends.
func (p *pauses) available(upstreams []*fleet.Upstream) ([]*fleet.Upstream, time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.tracker.Available(p.bootTime(), upstreams)
}

// IsPaused reports whether an upstream has asked this instance to send nothing now.
func (g *Gateway) IsPaused(u *fleet.Upstream) bool {
	_, wait := g.pauses.available([]*fleet.Upstream{u})
	return wait > 0
}

// ObserveResponse records what the head of a response says about its upstream: that it is
// leaving, that it wants no requests for a time, only so many per second, or can reject only so
// many. The other instances are informed.
func (g *Gateway) ObserveResponse(u *fleet.Upstream, status int, h http.Header) {
	notice := platform.DecodeUpstreamNotice(status, h)
	if notice.Limit > 0 {
		g.Permits.Impose(u, permits.TermRate, notice.Limit)
	}
	if notice.Rejections > 0 {
		g.Permits.Impose(u, permits.TermRejections, notice.Rejections)
	}
	if notice.Leaving && g.Registry.MarkLeaving(u.ID, u.StartedAt) {
		g.Log.Info().Str("event", "upstream.leaving").Str("upstream", string(u.ID)).Str("address", u.Address).Int("status", status).
			Msg("upstream says that it is leaving; no more requests are sent to it")
		g.BroadcastLeaving(u)
	}
	if notice.Pause > 0 {
		g.pauses.record(u, notice.Pause)
		g.Log.Info().Str("event", "upstream.paused").Str("upstream", string(u.ID)).Str("address", u.Address).Dur("pause", notice.Pause).
			Msg("upstream refused a request and asks for a pause")
		g.BroadcastPause(u, notice.Pause)
	}
}

const reasonPaused = "upstreams asked for a pause"

// refusePaused ends a request whose upstreams have all asked for a pause. The caller is told
// to retry when the first pause ends.
func (c *call) refusePaused(wait time.Duration) {
	if !c.firstByteAt.IsZero() {
		c.abortStream(reasonPaused)
	}
	c.refuse(http.StatusServiceUnavailable, wait, reasonPaused)
}

package gateway

import (
	"sync"
	"time"

	"savoryweir/internal/state/fleet"
)

// upstreamLimits holds the limits that upstreams name in their responses. It is safe for
// concurrent use.
type upstreamLimits struct {
	mu     sync.Mutex // guards limits
	limits map[fleet.UpstreamID]namedLimit
}

// namedLimit is the limit of one upstream incarnation.
type namedLimit struct {
	startedAt time.Time // start of the incarnation
	perSecond float64
}

func newUpstreamLimits() *upstreamLimits {
	return &upstreamLimits{limits: make(map[fleet.UpstreamID]namedLimit)}
}

// record records the limit in a response, zero if it names none, and returns the one before.
func (l *upstreamLimits) record(u *fleet.Upstream, perSecond float64) (before float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if known := l.limits[u.ID]; known.startedAt.Equal(u.StartedAt) {
		before = known.perSecond
	}
	if perSecond > 0 {
		l.limits[u.ID] = namedLimit{startedAt: u.StartedAt, perSecond: perSecond}
	} else {
		delete(l.limits, u.ID)
	}
	return before
}

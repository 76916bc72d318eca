package gateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"os"
	"sync"
	"time"

	"savoryweir/internal/coordination/reachability"
	"savoryweir/internal/pause"
	"savoryweir/internal/state/fleet"
	"savoryweir/internal/transport/upstreamconn"
)

const (
	// reachCheckInterval is the interval at which upstreams out of reach are checked for due probes.
	reachCheckInterval = 100 * time.Millisecond
	// probesPerCheck bounds the probes that start at a time.
	probesPerCheck = 4
	// probeResetTime is how long a probe waits for a reset, by which a path may refuse a connection after it has opened.
	probeResetTime = 50 * time.Millisecond
	// confirmations is the number of other upstreams asked whether this instance reaches any.
	confirmations = 4
)

// upstreamReach tracks which upstreams this instance can connect to. It is safe for concurrent use.
type upstreamReach struct {
	pool *upstreamconn.Pool
	// known returns the addresses of all upstreams.
	known func() []string
	// onChange is called when the instance has been cut off from its upstreams, or no longer is.
	onChange func(isCut bool)

	mu       sync.Mutex // guards the fields below
	tracker  *reachability.Tracker
	suspects map[string]bool // addresses to probe soon
}

func newUpstreamReach(pool *upstreamconn.Pool, known func() []string, onChange func(isCut bool)) *upstreamReach {
	return &upstreamReach{pool: pool, known: known, onChange: onChange, tracker: reachability.NewTracker(), suspects: make(map[string]bool)}
}

// observe records the result of an exchange with an upstream.
func (r *upstreamReach) observe(address string, result upstreamconn.Reach) {
	switch result {
	case upstreamconn.BrokenEarly: // the upstream itself may have closed the connection
		r.mu.Lock()
		defer r.mu.Unlock()
		r.suspects[address] = true
	case upstreamconn.NotConnected:
		known := len(r.known())
		r.update(func(t *reachability.Tracker) { t.RecordFailed(time.Now(), address, known) })
	default:
		r.update(func(t *reachability.Tracker) { t.RecordReached(time.Now(), address) })
	}
}

func (r *upstreamReach) update(change func(*reachability.Tracker)) {
	r.mu.Lock()
	_, before := r.tracker.CutSince()
	change(r.tracker)
	_, after := r.tracker.CutSince()
	r.mu.Unlock()
	if before != after {
		r.onChange(after)
	}
}

// cutFor returns for how long the instance has been cut off from its upstreams, and whether it is.
func (r *upstreamReach) cutFor() (time.Duration, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	since, isCut := r.tracker.CutSince()
	return time.Since(since), isCut
}

// reachable returns the upstreams that are within reach, or to which a connection is open.
func (r *upstreamReach) reachable(upstreams []*fleet.Upstream) []*fleet.Upstream {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.tracker.HasFailures() {
		return upstreams
	}
	var within []*fleet.Upstream
	for _, u := range upstreams {
		if r.tracker.IsReachable(u.Address) || r.pool.HasIdle(u.Address) {
			within = append(within, u)
		}
	}
	return within
}

// run probes upstreams that are out of reach until ctx ends.
func (r *upstreamReach) run(ctx context.Context) {
	for pause.For(ctx, reachCheckInterval) {
		for _, address := range r.dueProbes() {
			go r.probe(ctx, address)
		}
	}
}

func (r *upstreamReach) dueProbes() []string {
	known := r.known()
	var due []string
	r.mu.Lock()
	for address := range r.suspects {
		due = append(due, address)
	}
	clear(r.suspects)
	r.mu.Unlock()
	rand.Shuffle(len(known), func(i, j int) { known[i], known[j] = known[j], known[i] })
	r.update(func(t *reachability.Tracker) {
		if t.HasFailures() {
			due = append(due, t.DueProbes(time.Now(), known, probesPerCheck)...)
		}
	})
	return due
}

// probe records whether a connection to an address opens and is not reset at once.
func (r *upstreamReach) probe(ctx context.Context, address string) {
	result := upstreamconn.Reached
	if !r.opens(ctx, address, probeResetTime) {
		result = upstreamconn.NotConnected
	}
	if ctx.Err() == nil {
		r.observe(address, result)
	}
}

// opens reports whether a connection to an address opens and stays open for a time.
func (r *upstreamReach) opens(ctx context.Context, address string, stays time.Duration) bool {
	conn, err := r.pool.Dial(ctx, address)
	if err != nil {
		return false
	}
	defer func() { _ = conn.Close() }()
	if stays == 0 {
		return true
	}
	_ = conn.SetReadDeadline(time.Now().Add(stays))
	_, err = conn.Read(make([]byte, 1))
	var timeout net.Error
	return err == nil || errors.Is(err, os.ErrDeadlineExceeded) || errors.As(err, &timeout) && timeout.Timeout()
}

// reachesAnyBut reports whether a connection to some upstream other than the one at an address opens,
// or none is known. Otherwise the failure of that one may be a failure of this instance's own path.
func (r *upstreamReach) reachesAnyBut(ctx context.Context, address string) bool {
	if _, isCut := r.cutFor(); isCut {
		return false
	}
	known := r.known()
	rand.Shuffle(len(known), func(i, j int) { known[i], known[j] = known[j], known[i] })
	asked := 0
	for _, other := range known {
		if other == address {
			continue
		}
		if r.opens(ctx, other, 0) {
			return true
		}
		if asked++; asked == confirmations {
			break
		}
	}
	return asked == 0
}

// IsCutOff reports whether this instance can't open connections to its upstreams.
func (g *Gateway) IsCutOff() bool {
	_, isCut := g.reach.cutFor()
	return isCut
}

// CutOffFor returns for how long this instance has been cut off from its upstreams, zero if it is not.
func (g *Gateway) CutOffFor() time.Duration {
	if d, isCut := g.reach.cutFor(); isCut {
		return d
	}
	return 0
}

// ProbeUpstreams probes upstreams that are out of reach until ctx ends.
func (g *Gateway) ProbeUpstreams(ctx context.Context) { g.reach.run(ctx) }

// upstreamAddresses returns the addresses of all upstreams that are not draining.
func (g *Gateway) upstreamAddresses() []string { return g.Registry.View().Addresses() }

func (g *Gateway) logReach(isCut bool) {
	g.Log.Warn().Str("event", "upstreams.reach").Bool("cut_off", isCut).Msg("instance is cut off from its upstreams, or no longer is")
}

package gateway

import (
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"

	"savoryweir/internal/coordination/quarantine"
	"savoryweir/internal/state/fleet"
)

// crashGuard holds the crashes of upstreams and what is quarantined for them. It is safe for
// concurrent use.
type crashGuard struct {
	mu       sync.Mutex
	detector *quarantine.Detector
}

func newCrashGuard() *crashGuard {
	return &crashGuard{detector: quarantine.New(time.Now(), rand.N[time.Duration])}
}

// fingerprint returns a hash of the host, method, request URI and body, by which the
// same request is recognized when it is sent again.
func (c *call) fingerprint() uint64 {
	digest := xxhash.New()
	_, _ = digest.WriteString(c.request.Host + "\x00" + c.request.Method + "\x00" + c.requestURI + "\x00")
	_, _ = digest.Write(c.body)
	return digest.Sum64()
}

// findTraits sets by what the request may be quarantined.
func (c *call) findTraits() {
	c.traits = quarantine.Traits{Content: quarantine.Trait(c.fingerprint())}
	for _, p := range c.sharedParts() {
		c.traits.Parts = append(c.traits.Parts, quarantine.Trait(p.ID))
	}
}

// reportCrash records an error of an upstream that may have been executing the request, here and
// at the other instances. Only a closed connection counts. The content of the request is reported
// at once, the parts of its prompt if the upstream turns out to be gone.
func (c *call) reportCrash(tracked *trackedRequest, err error) {
	connectionClosed := errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
	if !connectionClosed || tracked.tracker == nil || c.gateway.IsCutOff() {
		return // a forwarded request is judged by the other instance; a lost path breaks connections, too
	}
	tracked.recordFault()
	g, u, traits := c.gateway, tracked.upstream, c.traits
	g.publishBroken(quarantine.BrokenRequest{Upstream: u.ID, Content: traits.Content})
	if len(traits.Parts) > 0 {
		go func() {
			if g.crashProbes.hasCrashed(u) {
				g.publishBroken(g.crashGuard.describe(u.ID, traits))
			}
		}()
	}
}

// publishBroken records that an upstream broke off a request and tells the other instances.
func (g *Gateway) publishBroken(broken quarantine.BrokenRequest) {
	g.RecordBroken(broken)
	g.BroadcastBroken(broken)
}

// describe returns what is known of the traits of a request that a crash broke off.
func (g *crashGuard) describe(upstream fleet.UpstreamID, traits quarantine.Traits) quarantine.BrokenRequest {
	g.mu.Lock()
	defer g.mu.Unlock()
	broken := quarantine.BrokenRequest{Upstream: upstream, Content: traits.Content}
	for _, trait := range traits.Parts {
		broken.Parts = append(broken.Parts, quarantine.Part{Trait: trait, CompletedAt: g.detector.PartCompletedAt(trait)})
	}
	return broken
}

// RecordBroken records that an upstream closed the connection while processing a request of this
// or of another instance.
func (g *Gateway) RecordBroken(broken quarantine.BrokenRequest) {
	g.crashGuard.mu.Lock()
	defer g.crashGuard.mu.Unlock()
	now := time.Now()
	g.crashGuard.detector.RecordBroken(now, broken)
	g.judgeCrashes(now)
}

// judgeCrashes quarantines what the crashes are due to. The caller holds the lock of the crash guard.
func (g *Gateway) judgeCrashes(now time.Time) {
	for _, f := range g.crashGuard.detector.Judge(now) {
		g.Log.Warn().Str("event", "request.blocked").Stringer("trait", f.Trait).Bool("part", f.IsPart).Int("crashes", f.Crashes).Dur("term", f.Until.Sub(now)).
			Msg("requests with this content or part of a prompt are blocked; several upstreams crashed while processing them")
	}
}

// admit returns for how long the request is blocked when it arrives, zero if it is not.
func (c *call) admit() time.Duration {
	g := c.gateway
	g.crashGuard.mu.Lock()
	defer g.crashGuard.mu.Unlock()
	now := time.Now()
	g.judgeCrashes(now)
	return g.crashGuard.detector.Admit(now, c.traits)
}

// blockedFor returns for how long the request must not be sent to a further upstream, zero if it
// may be sent. That may change while it waits for a load or for the result of an attempt.
func (c *call) blockedFor() time.Duration {
	g := c.gateway
	g.crashGuard.mu.Lock()
	defer g.crashGuard.mu.Unlock()
	now := time.Now()
	g.judgeCrashes(now)
	return g.crashGuard.detector.Blocked(now, c.traits)
}

func (c *call) isBlocked() bool { return c.blockedFor() > 0 }

// refuseBlocked ends a request that is blocked. The caller is told when that ends.
func (c *call) refuseBlocked(wait time.Duration) {
	const reason = "crashed several upstreams"
	if !c.firstByteAt.IsZero() {
		c.abortStream(reason)
	}
	c.refuse(http.StatusServiceUnavailable, wait, reason)
}

// recordCompleted records that an upstream has processed the request to its end. If that shows
// that the request was blocked wrongly, the other instances are told. A response whose end is that
// of its connection shows nothing: the upstream may have crashed.
func (c *call) recordCompleted(response *http.Response) {
	g := c.gateway
	if response.StatusCode >= http.StatusMultipleChoices || !isFramed(response) {
		return
	}
	g.crashGuard.mu.Lock()
	released := g.crashGuard.detector.RecordCompleted(time.Now(), c.traits)
	g.crashGuard.mu.Unlock()
	for _, trait := range released {
		g.Log.Info().Str("event", "request.released").Str("request", c.params.ID).Stringer("trait", trait).Msg("request completed; what it was blocked for is released")
		g.BroadcastRelease(trait)
	}
}

// Release ends the quarantine of a trait after another instance has seen a request with it complete.
func (g *Gateway) Release(trait quarantine.Trait) {
	g.crashGuard.mu.Lock()
	defer g.crashGuard.mu.Unlock()
	g.crashGuard.detector.Release(time.Now(), trait)
}

// Quarantined returns the traits whose requests are blocked, with the time left.
func (g *Gateway) Quarantined() map[quarantine.Trait]time.Duration {
	g.crashGuard.mu.Lock()
	defer g.crashGuard.mu.Unlock()
	return g.crashGuard.detector.Quarantined(time.Now())
}

// AdoptQuarantine blocks requests with a trait because another instance does.
func (g *Gateway) AdoptQuarantine(trait quarantine.Trait, left time.Duration) {
	g.crashGuard.mu.Lock()
	defer g.crashGuard.mu.Unlock()
	if g.crashGuard.detector.Adopt(time.Now(), trait, left) {
		g.Log.Info().Str("event", "request.block_adopted").Stringer("trait", trait).Dur("term", left).Msg("requests with this content or part of a prompt are blocked, as at another instance")
	}
}

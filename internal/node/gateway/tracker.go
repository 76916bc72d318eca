package gateway

import (
	"math/rand/v2"
	"sync"
	"time"

	"savoryweir/internal/coordination/dispatch"
	"savoryweir/internal/state/fleet"
	"savoryweir/internal/state/loads"
	"savoryweir/internal/state/prefixcache"
	"savoryweir/platform"
)

// loadFreshness is the age beyond which another instance's loads count no more:
// three of its slowest reports.
const loadFreshness = 3 * time.Second

// UpstreamTracker keeps what upstreams have in flight and how they answer. It is safe for
// concurrent use.
type UpstreamTracker struct {
	now func() time.Time

	mu     sync.Mutex // guards all below
	random *rand.Rand
	book   *loads.Tracker
	paces  *loads.ResponsivenessTracker
	sound  *loads.FailureTracker
	born   map[fleet.UpstreamID]time.Time // incarnations that the above is about
	speeds *dispatch.LatencyEstimator
	cached *prefixcache.Cache
}

// NewUpstreamTracker returns a tracker without upstreams.
func NewUpstreamTracker(now func() time.Time, random *rand.Rand) *UpstreamTracker {
	return &UpstreamTracker{
		now: now, random: random, book: loads.NewTracker(loadFreshness), paces: loads.NewResponsivenessTracker(),
		sound: loads.NewFailureTracker(loadFreshness), born: make(map[fleet.UpstreamID]time.Time),
		speeds: dispatch.NewLatencyEstimator(), cached: prefixcache.New(),
	}
}

// RecordPeerStats records what another instance has in flight, and how upstreams served it.
func (t *UpstreamTracker) RecordPeerStats(instance string, l map[fleet.UpstreamID]loads.Load, outcomes map[fleet.UpstreamID]loads.OutcomeCounts) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	t.book.SetRemote(now, instance, l)
	t.sound.SetRemote(now, instance, outcomes)
}

// LocalStats returns what this instance has in flight, and how upstreams served it.
func (t *UpstreamTracker) LocalStats() (map[fleet.UpstreamID]loads.Load, map[fleet.UpstreamID]loads.OutcomeCounts) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.book.Local(), t.sound.Local(t.now())
}

// Prune forgets all but the incarnations that are listed.
func (t *UpstreamTracker) Prune(listed func(fleet.UpstreamID) (born time.Time, ok bool)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, born := range t.born {
		if now, ok := listed(id); !ok || !now.Equal(born) {
			t.forget(id)
		}
	}
}

// forget drops what is known of an incarnation. The caller holds t.mu.
func (t *UpstreamTracker) forget(id fleet.UpstreamID) {
	t.sound.Forget(id)
	t.paces.Forget(id)
	t.cached.Forget(id)
	delete(t.born, id)
}

// PrefillTokensPerSecond returns the prompt tokens that an engine of a service reads in a
// second, for models with weights of a size.
func (t *UpstreamTracker) PrefillTokensPerSecond(service string, weightsMB float64) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.speeds.Estimate(dispatch.ModelClass{Service: service, WeightsMB: weightsMB}).TokensPerMs * 1000
}

// FailureRatio returns the share of requests that an upstream fails.
func (t *UpstreamTracker) FailureRatio(id fleet.UpstreamID) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.sound.FailureRate(t.now(), id)
}

// choose picks an upstream out of those given and opens a flight on it.
func (t *UpstreamTracker) choose(c *call, from []*fleet.Upstream, zone string) (*flight, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	class := c.modelClass()
	need := dispatch.Request{PromptTokens: c.wire.PromptTokens, Rank: loads.PriorityRank(c.route.Priority), NotRepeatable: !c.route.IsRepeatable(), Latency: t.speeds.Estimate(class)}
	chain := prefixChain(c.wire)
	candidates := make([]dispatch.Candidate, 0, len(from))
	for _, u := range from {
		t.meet(u)
		candidates = append(candidates, dispatch.Candidate{
			Upstream: u, Load: t.book.Total(now, u.ID), Responsiveness: t.paces.Get(now, u.ID),
			CachedTokens: t.cached.CachedTokens(u.ID, chain), FailureRate: t.sound.FailureRate(now, u.ID), SameZone: u.Zone == zone,
		})
	}
	choice, ok := dispatch.Choose(now, candidates, need, t.random)
	if !ok {
		return nil, false
	}
	f := &flight{tracker: t, upstream: choice.Upstream, class: class, rank: need.Rank, chain: chain, expected: choice.ExpectedTTFB, began: now,
		ahead: choice.Load.PendingPrefillUpTo(need.Rank), running: choice.Load.Running, slow: choice.Responsiveness.Slowdown, fails: choice.FailureRate}
	if c.route.Kind == fleet.KindStream {
		f.tokens = max(need.PromptTokens-choice.CachedTokens, 1)
		f.reading = max(need.Latency.PrefillTime(f.tokens), time.Microsecond)
	}
	return f, true
}

// meet drops what is known of an earlier incarnation of an upstream.
func (t *UpstreamTracker) meet(u *fleet.Upstream) {
	born, known := t.born[u.ID]
	if known && born.Equal(u.StartedAt) {
		return
	}
	if known {
		t.forget(u.ID)
	}
	t.born[u.ID] = u.StartedAt
}

func prefixChain(r platform.Request) []prefixcache.Part {
	chain := make([]prefixcache.Part, 0, len(r.Parts))
	seed := prefixcache.InitialKey(r.Model, r.Adapter)
	for _, p := range r.Parts {
		seed = prefixcache.NextKey(seed, p.ID)
		chain = append(chain, prefixcache.Part{Key: seed, Tokens: p.Tokens})
	}
	return chain
}

// flight is one request at one upstream.
type flight struct {
	tracker  *UpstreamTracker
	upstream *fleet.Upstream
	class    dispatch.ModelClass
	rank     int
	tokens   int           // prompt tokens to read, zero for plain services
	reading  time.Duration // counted as unread, zero for plain services
	chain    []prefixcache.Part
	expected time.Duration
	ahead    time.Duration // reading time of others at the start
	running  int           // requests in flight at the start
	slow     float64
	fails    float64 // share of requests that the upstream fails
	began    time.Time
	started  bool // the first byte of the answer has come
	open     bool
}

// begin counts the request as in flight.
func (f *flight) begin() {
	t := f.tracker
	t.mu.Lock()
	defer t.mu.Unlock()
	f.began, f.open = t.now(), true
	t.book.UpdateLocal(f.upstream.ID, func(l *loads.Load) {
		if f.reading > 0 {
			l.PendingPrefill[f.rank] += f.reading
		} else {
			l.Running++
		}
	})
}

// answered records the first byte of a sound answer.
func (f *flight) answered() {
	t := f.tracker
	t.mu.Lock()
	defer t.mu.Unlock()
	if f.started {
		return
	}
	now := t.now()
	took := now.Sub(f.began)
	f.started = true
	t.sound.Record(now, f.upstream.ID, true)
	t.paces.RecordAnswer(now, f.upstream.ID, took, f.expected)
	t.learn(f, took)
	if f.reading > 0 {
		t.book.UpdateLocal(f.upstream.ID, func(l *loads.Load) {
			l.PendingPrefill[f.rank] -= f.reading
			l.Running++
		})
		t.cached.Add(f.upstream.ID, f.chain)
	}
}

// learn adjusts the speed of a service by one measured request.
func (t *UpstreamTracker) learn(f *flight, took time.Duration) {
	if f.reading > 0 {
		t.speeds.ObservePrompt(f.class, dispatch.PromptSample{UncachedTokens: f.tokens, PrefillAhead: f.ahead, TimeToFirstEvent: took})
		return
	}
	t.speeds.ObservePlain(f.class.Service, f.running, took)
}

// failed records that the upstream did not serve the request.
func (f *flight) failed() {
	t := f.tracker
	t.mu.Lock()
	defer t.mu.Unlock()
	t.paces.RecordFailure(t.now(), f.upstream.ID)
}

// erred records a failure of the upstream's own: an answer that says so, or a connection
// that it refused or ended. It is not avoided for one, as that may be the request's
// doing. Answers that are late are no such failures: overload would spread from one
// upstream to the next.
func (f *flight) erred() {
	t := f.tracker
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sound.Record(t.now(), f.upstream.ID, false)
}

// end closes the flight.
func (f *flight) end() {
	t := f.tracker
	t.mu.Lock()
	defer t.mu.Unlock()
	if !f.open {
		return
	}
	f.open = false
	t.book.UpdateLocal(f.upstream.ID, func(l *loads.Load) {
		if f.reading > 0 && !f.started {
			l.PendingPrefill[f.rank] -= f.reading
		} else {
			l.Running--
		}
	})
}

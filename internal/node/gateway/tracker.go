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

// loadFreshness is the age at which the statistics of another instance are no longer used:
// three of its longest report intervals.
const loadFreshness = 3 * time.Second

// UpstreamTracker tracks the requests in flight at each upstream, how fast and how
// reliably it responds and which prompt prefixes it is likely to have cached. It is safe
// for concurrent use.
type UpstreamTracker struct {
	now func() time.Time

	mu               sync.Mutex // guards all below
	random           *rand.Rand
	inFlight         *loads.Tracker
	responsiveness   *loads.ResponsivenessTracker
	failures         *loads.FailureTracker
	pace             *loads.PaceTracker
	tellsPace        map[string]bool                // services whose engines tell how long work takes
	incarnations     map[fleet.UpstreamID]time.Time // start time of the upstream incarnation that the statistics are about
	latencyEstimator *dispatch.LatencyEstimator
	prefixCache      *prefixcache.Cache
}

// NewUpstreamTracker returns a tracker that knows no upstreams.
func NewUpstreamTracker(now func() time.Time, random *rand.Rand) *UpstreamTracker {
	return &UpstreamTracker{
		pace: loads.NewPaceTracker(), tellsPace: make(map[string]bool),
		now: now, random: random, inFlight: loads.NewTracker(loadFreshness), responsiveness: loads.NewResponsivenessTracker(),
		failures: loads.NewFailureTracker(loadFreshness), incarnations: make(map[fleet.UpstreamID]time.Time),
		latencyEstimator: dispatch.NewLatencyEstimator(), prefixCache: prefixcache.New(),
	}
}

// RecordPeerStats replaces the statistics of another instance: its requests in flight and
// their recent outcomes, by upstream.
func (t *UpstreamTracker) RecordPeerStats(instance string, l map[fleet.UpstreamID]loads.Load, outcomes map[fleet.UpstreamID]loads.OutcomeCounts) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	t.inFlight.SetRemote(now, instance, l)
	t.failures.SetRemote(now, instance, outcomes)
}

// RecordFleetStats replaces the statistics of all other instances by their sum.
func (t *UpstreamTracker) RecordFleetStats(s loads.Stats) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	t.inFlight.ReplaceRemote(now, s.Loads)
	t.failures.ReplaceRemote(now, s.Outcomes, s.Instances)
}

// RecordPeerPause records that an upstream asked another instance for a pause. The upstream is
// avoided for that time, but not excluded.
func (t *UpstreamTracker) RecordPeerPause(id fleet.UpstreamID, d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.responsiveness.AvoidFor(t.now(), id, d)
}

// EstimatedLoad returns the estimated load of an upstream over all instances.
func (t *UpstreamTracker) EstimatedLoad(id fleet.UpstreamID) loads.Load {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.inFlight.Total(t.now(), id)
}

// LocalStats returns the statistics of this instance: its requests in flight and their
// recent outcomes, by upstream.
func (t *UpstreamTracker) LocalStats() (map[fleet.UpstreamID]loads.Load, map[fleet.UpstreamID]loads.OutcomeCounts) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	t.pace.Update(now, t.inFlight)
	return t.inFlight.Local(now), t.failures.Local(now)
}

// Prune removes what has been measured of upstreams that are not listed, or are listed with
// another start time because they have restarted.
func (t *UpstreamTracker) Prune(listed func(fleet.UpstreamID) (born time.Time, ok bool)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, born := range t.incarnations {
		if now, ok := listed(id); !ok || !now.Equal(born) {
			t.forget(id)
		}
	}
}

// forget removes what has been measured of an upstream incarnation. Its requests in flight
// remain counted until they end. The caller holds t.mu.
func (t *UpstreamTracker) forget(id fleet.UpstreamID) {
	t.failures.Forget(id)
	t.responsiveness.Forget(id)
	t.prefixCache.Forget(id)
	t.pace.Forget(id)
	delete(t.incarnations, id)
}

// PrefillTokensPerSecond returns the prefill rate of the engines of a service in tokens per
// second, for models with weights of the given size.
func (t *UpstreamTracker) PrefillTokensPerSecond(service string, weightsMB float64) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.latencyEstimator.Estimate(dispatch.ModelClass{Service: service, WeightsMB: weightsMB}).TokensPerMs * 1000
}

// Slowness returns how long work takes at an upstream on average, as it tells: 1 is as usual, and is
// returned if it is unknown.
func (t *UpstreamTracker) Slowness(id fleet.UpstreamID) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.pace.Slowness(id)
}

// FailureRate returns the share of requests, 0 to 1, that an upstream fails.
func (t *UpstreamTracker) FailureRate(id fleet.UpstreamID) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.failures.FailureRate(t.now(), id)
}

// choose chooses one of the eligible upstreams for a request and returns the tracked
// request, which is not counted as in flight before its start. It returns false if no
// upstream is eligible.
func (t *UpstreamTracker) choose(c *call, eligible []*fleet.Upstream, zone string) (*trackedRequest, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	class := c.modelClass()
	request := dispatch.Request{PromptTokens: c.params.PromptTokens, Rank: c.rank(), NotRepeatable: !c.route.IsRepeatable(), Latency: t.latencyEstimator.Estimate(class)}
	hasGap := c.engineClass != nil && c.route.Kind == fleet.KindStream && c.route.TargetEventGap > 0 && c.engineClass.EventTokens > 0
	if hasGap && t.tellsPace[c.service] {
		p := c.patience()
		request.Targets = dispatch.StreamTargets{FirstEvent: p.Target, EventGap: c.route.TargetEventGap, Remaining: p.Remaining, EventTokens: c.engineClass.EventTokens, Events: c.expectedOutputTokens() / max(c.engineClass.EventTokens, 1)}
	}
	chain := buildPrefixChain(c.params)
	candidates := make([]dispatch.Candidate, 0, len(eligible))
	for _, u := range eligible {
		t.observeIncarnation(u)
		load := t.inFlight.Total(now, u.ID)
		candidates = append(candidates, dispatch.Candidate{
			Upstream: u, Load: load, Pace: t.pace.Present(u.ID, load), Responsiveness: t.responsiveness.Get(now, u.ID),
			CachedTokens: t.prefixCache.CachedTokens(u.ID, chain), FailureRate: t.failures.FailureRate(now, u.ID), SameZone: u.Zone == zone,
		})
	}
	choice, ok := dispatch.Choose(now, candidates, request, t.random)
	if !ok {
		return nil, false
	}
	tracked := &trackedRequest{tracker: t, upstream: choice.Upstream, modelClass: class, priorityRank: request.Rank, prefixChain: chain, expectedTTFB: choice.ExpectedTTFB, startedAt: now,
		pendingPrefillAhead: choice.Load.PendingPrefillUpTo(request.Rank), runningAtStart: choice.Load.Running, slowdown: choice.Pace * choice.Responsiveness.Slowdown, lateness: choice.Responsiveness.Slowdown, failureRate: choice.FailureRate, outlook: choice.Outlook, pace: choice.Pace}
	tracked.hasGap = hasGap
	if c.route.Kind == fleet.KindStream {
		tracked.uncachedTokens = max(request.PromptTokens-choice.CachedTokens, 1)
		tracked.prefillTime = max(request.Latency.PrefillTime(tracked.uncachedTokens), time.Microsecond)
	}
	return tracked, true
}

// observeIncarnation removes what has been measured of an earlier incarnation of an
// upstream. The caller holds t.mu.
func (t *UpstreamTracker) observeIncarnation(u *fleet.Upstream) {
	born, known := t.incarnations[u.ID]
	if known && born.Equal(u.StartedAt) {
		return
	}
	if known {
		t.forget(u.ID)
	}
	t.incarnations[u.ID] = u.StartedAt
}

// buildPrefixChain returns the parts of the prompt, each under a key that also covers the
// parts before it, the model and the adapter.
func buildPrefixChain(r platform.Request) []prefixcache.Part {
	chain := make([]prefixcache.Part, 0, len(r.Parts))
	seed := prefixcache.InitialKey(r.Model, r.Adapter)
	for _, p := range r.Parts {
		seed = prefixcache.NextKey(seed, p.ID)
		chain = append(chain, prefixcache.Part{Key: seed, Tokens: p.Tokens})
	}
	return chain
}

// trackedRequest is one attempt of a request at one upstream, as the tracker counts it.
type trackedRequest struct {
	tracker             *UpstreamTracker // nil for a request that is forwarded to another instance, which counts it
	upstream            *fleet.Upstream
	modelClass          dispatch.ModelClass
	priorityRank        int
	uncachedTokens      int           // prompt tokens to prefill, zero unless the response is a stream
	prefillTime         time.Duration // counted as pending prefill, zero unless the response is a stream
	prefixChain         []prefixcache.Part
	expectedTTFB        time.Duration
	pendingPrefillAhead time.Duration // pending prefill time of other requests at the start
	runningAtStart      int           // running requests at the start
	slowdown            float64       // how long work is expected to take, 1 is as usual
	lateness            float64       // part of slowdown by which first events were later than the upstream's own pace tells
	pace                float64       // how long work takes at the upstream, as it tells: 1 is as usual
	outlook             dispatch.Outlook
	hasGap              bool    // the caller of the stream expects its events in time
	failureRate         float64 // share of requests that the upstream fails, 0 to 1
	startedAt           time.Time
	firstByteSeen       bool // the first byte of the response has arrived
	isInFlight          bool
}

// start counts the request as in flight: as pending prefill if it has a prefill time, else
// as running.
func (r *trackedRequest) start() {
	t := r.tracker
	if t == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	r.startedAt, r.isInFlight = t.now(), true
	if r.countsForPace() && t.tellsPace[r.modelClass.Service] {
		t.inFlight.AddPrefill(r.startedAt, r.upstream.ID, r.prefillTime)
	}
	t.inFlight.UpdateLocal(r.upstream.ID, func(l *loads.Load) {
		if r.prefillTime > 0 {
			l.PendingPrefill[r.priorityRank] += r.prefillTime
		} else {
			l.Running++
		}
	})
}

// recordFirstByte records the first byte of a successful response. Only the first call has
// an effect.
func (r *trackedRequest) recordFirstByte() {
	t := r.tracker
	if t == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if r.firstByteSeen {
		return
	}
	now := t.now()
	took := now.Sub(r.startedAt)
	r.firstByteSeen = true
	t.failures.Record(now, r.upstream.ID, true)
	t.responsiveness.RecordAnswer(now, r.upstream.ID, took, r.expectedTTFB)
	t.recordLatency(r, took)
	if r.prefillTime > 0 {
		t.inFlight.UpdateLocal(r.upstream.ID, func(l *loads.Load) {
			l.PendingPrefill[r.priorityRank] -= r.prefillTime
			l.Running++
		})
		t.prefixCache.Add(r.upstream.ID, r.prefixChain)
	}
}

// recordLatency adjusts the latency estimate of a service by one measured request.
func (t *UpstreamTracker) recordLatency(r *trackedRequest, took time.Duration) {
	if r.prefillTime > 0 {
		t.latencyEstimator.ObservePrompt(r.modelClass, dispatch.PromptSample{UncachedTokens: r.uncachedTokens, PrefillAhead: r.pendingPrefillAhead, TimeToFirstEvent: time.Duration(float64(took) / r.pace)})
		return
	}
	t.latencyEstimator.ObservePlain(r.modelClass.Service, r.runningAtStart, took)
}

// countsForPace reports whether the request is a stream whose caller expects events in time.
func (r *trackedRequest) countsForPace() bool { return r.prefillTime > 0 && r.hasGap }

// recordPace records how long work takes at the upstream, as it told in a response. Zero says that it
// did not tell.
func (r *trackedRequest) recordPace(told float64) {
	t := r.tracker
	if t == nil || told <= 0 || !r.countsForPace() {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.tellsPace[r.modelClass.Service] = true
	t.inFlight.AddPace(t.now(), r.upstream.ID, told)
	r.pace = loads.BoundPace(told)
}

// recordUnserved records that the upstream did not serve the request, so that it is avoided
// for a time.
func (r *trackedRequest) recordUnserved() {
	t := r.tracker
	if t == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.responsiveness.RecordFailure(t.now(), r.upstream.ID)
}

// recordFault counts a failure of the upstream itself: an error response, or a connection
// that it refused or closed. A single failure does not make the upstream avoided, because
// the request may be its cause. Late responses do not count as failures, because overload
// would then spread from one upstream to the next.
func (r *trackedRequest) recordFault() {
	t := r.tracker
	if t == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.failures.Record(t.now(), r.upstream.ID, false)
}

// finish removes the request from the requests in flight. Only the first call after start
// has an effect.
func (r *trackedRequest) finish() {
	t := r.tracker
	if t == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if !r.isInFlight {
		return
	}
	r.isInFlight = false
	t.inFlight.UpdateLocal(r.upstream.ID, func(l *loads.Load) {
		if r.prefillTime > 0 && !r.firstByteSeen {
			l.PendingPrefill[r.priorityRank] -= r.prefillTime
		} else {
			l.Running--
		}
	})
}

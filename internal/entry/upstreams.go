package entry

import (
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"savoryweir/internal/coordination/admission"
	"savoryweir/internal/coordination/bulkhead"
	"savoryweir/internal/coordination/limit"
	"savoryweir/internal/coordination/progress"
	"savoryweir/internal/coordination/routing"
	"savoryweir/internal/coordination/suspect"
	"savoryweir/internal/protocol/httpapi"
	"savoryweir/internal/state/bundle"
)

// flight is one request in progress at an upstream.
type flight struct {
	upstream bundle.Upstream
	call     *call
	started  time.Time
	fresh    bool            // the request goes on a new connection
	beside   int             // requests at the upstream when this one was sent
	stream   *followedStream // nil until the answer of a stream begins
}

// upstreamState is what this entry knows of one upstream.
type upstreamState struct {
	flights      map[*flight]struct{}
	limiter      *limit.Limiter
	meter        *progress.Meter
	load         routing.Load
	sent         int       // requests since load
	leavingSince time.Time // zero while the upstream takes new work
	leavingUntil time.Time // as its own answers tell
	downSince    time.Time // zero while the upstream is up
	diedAt       time.Time // last end of the upstream's process
	address      string

	watched      bool          // a sentinel connection is open or being opened
	watchReady   chan struct{} // closed once the opening has ended
	watchedSince time.Time     // zero while no sentinel connection is open
	processEnded time.Time     // when the last sentinel connection broke
}

// upstreamTable tracks all upstreams and picks one for each request. Its methods
// in lower layers of calls expect mu to be held where they say so.
type upstreamTable struct {
	settings Settings
	picker   routing.Picker
	views    ViewSource
	random   *rand.Rand

	mu       sync.Mutex // guards all below
	states   map[bundle.UpstreamID]*upstreamState
	services map[bundle.ServiceName]*serviceState
	suspects *suspect.Registry
	bulkhead *bulkhead.Bulkhead
	nextID   admission.RequestID
}

func newUpstreamTable(s Settings, views ViewSource) *upstreamTable {
	suspects := suspect.DefaultSettings()
	suspects.RecordTTL = s.Upstreams.SuspectFor
	return &upstreamTable{
		settings: s,
		views:    views,
		bulkhead: bulkhead.New(bulkhead.Settings{Reserved: s.Callers.Reserved, Shared: s.Callers.Shared}),
		picker: routing.NewHashedPair(routing.HashedPairSettings{
			SettleTime:     s.Upstreams.Settle,
			Overbook:       s.Upstreams.Overbook,
			SendFactor:     routing.DefaultHashedPairSettings("").SendFactor,
			PrefixAffinity: s.Upstreams.PrefixBonus,
			Zone:           bundle.Zone(s.Instance.Zone),
			ZonePenalty:    s.Upstreams.ZonePenalty,
		}),
		random:   rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		states:   make(map[bundle.UpstreamID]*upstreamState),
		services: make(map[bundle.ServiceName]*serviceState),
		suspects: suspect.New(suspects),
	}
}

// state returns the state of an upstream. The caller holds mu.
func (t *upstreamTable) state(id bundle.UpstreamID) *upstreamState {
	u, ok := t.states[id]
	if !ok {
		limits := limit.DefaultSettings()
		limits.Max = t.settings.Upstreams.MaxInFlight
		limits.Initial = min(limits.Initial, limits.Max)
		u = &upstreamState{flights: make(map[*flight]struct{}), limiter: limit.New(limits), meter: progress.New(progress.DefaultSettings())}
		t.states[id] = u
	}
	return u
}

// candidates describes the upstreams that can run the call. The configuration is
// that of the call's own view; replicas and leaving upstreams are the latest
// known, so that a waiting request finds a model that was loaded meanwhile. The caller holds mu.
func (t *upstreamTable) candidates(now time.Time, c *call) []routing.Candidate {
	live := t.views.View()
	var found []routing.Candidate
	if c.request.Model == "" {
		for _, u := range c.view.upstreams[c.service.Name] {
			found = append(found, t.candidate(now, c, live, u))
		}
		return found
	}
	for _, id := range live.hosts[c.request.Model] {
		if u, ok := c.view.byID[id]; ok {
			found = append(found, t.candidate(now, c, live, u))
		}
	}
	return found
}

func (t *upstreamTable) candidate(now time.Time, c *call, live *View, u bundle.Upstream) routing.Candidate {
	state := t.state(u.ID)
	state.address = u.Address
	status := t.service(c).detector.Status(now, u.ID)
	leaving := live.leaving[u.ID] || now.Before(state.leavingUntil)
	state.setLeaving(now, leaving)
	return routing.Candidate{
		Upstream:        u.ID,
		Zone:            u.Zone,
		InFlight:        len(state.flights),
		Limit:           state.limiter.Limit(),
		BatchSize:       u.Batch,
		Reported:        state.load,
		SentSinceReport: state.sent,
		HasModel:        true,
		HasAdapter:      c.request.Adapter == "" || live.Serves(u.ID, c.request.Model, c.request.Adapter),
		Ejected:         status.Ejected || !state.downSince.IsZero(),
		RecoveryShare:   status.RecoveryShare,
		TimePerToken:    state.meter.PerToken(now),
		Leaving:         leaving,
		DownSince:       state.goneSince(),
	}
}

func (u *upstreamState) setLeaving(now time.Time, leaving bool) {
	switch {
	case !leaving:
		u.leavingSince = time.Time{}
	case u.leavingSince.IsZero():
		u.leavingSince = now
	}
}

// goneSince returns since when the upstream is down or leaves, zero when neither.
func (u *upstreamState) goneSince() time.Time {
	if u.downSince.IsZero() || !u.leavingSince.IsZero() && u.leavingSince.Before(u.downSince) {
		return u.leavingSince
	}
	return u.downSince
}

// observe reads what an upstream tells of itself in an answer. It reports
// whether the upstream has begun to leave.
func (t *upstreamTable) observe(now time.Time, id bundle.UpstreamID, h http.Header) bool {
	running, errRunning := strconv.Atoi(h.Get(httpapi.HeaderLoadRunning))
	waiting, errWaiting := strconv.Atoi(h.Get(httpapi.HeaderLoadWaiting))
	leaving := h.Get(httpapi.HeaderLeaving) == "true"
	t.mu.Lock()
	defer t.mu.Unlock()
	state := t.state(id)
	if errRunning == nil && errWaiting == nil {
		state.load = routing.Load{Running: running, Waiting: waiting, ReportedAt: now}
		state.sent = 0
	}
	state.downSince = time.Time{}
	if !leaving {
		return false
	}
	fresh := now.After(state.leavingUntil)
	state.leavingUntil = now.Add(t.settings.Upstreams.LeavingFor)
	return fresh
}

// setDown notes that an upstream could not be reached.
func (t *upstreamTable) setDown(now time.Time, id bundle.UpstreamID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if state := t.state(id); state.downSince.IsZero() {
		state.downSince = now
	}
}

// setUp notes that a probe reached an upstream.
func (t *upstreamTable) setUp(id bundle.UpstreamID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.state(id).downSince = time.Time{}
}

// downUpstream is an upstream that is to be probed.
type downUpstream struct {
	id      bundle.UpstreamID
	address string
}

// down returns the upstreams that could not be reached lately.
func (t *upstreamTable) down() []downUpstream {
	t.mu.Lock()
	defer t.mu.Unlock()
	var found []downUpstream
	for id, state := range t.states {
		if !state.downSince.IsZero() && state.address != "" {
			found = append(found, downUpstream{id, state.address})
		}
	}
	return found
}

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

// attempt is one send of a call to an upstream, while it is in progress.
type attempt struct {
	upstream        bundle.Upstream
	call            *call
	started         time.Time
	newConnection   bool            // the request must use a new connection
	inFlightAtStart int             // other attempts at the upstream when this one started
	stream          *streamProgress // nil until the answer begins, and for plain calls
	continuation    continuation
}

// upstreamState is the state of one upstream as this entry knows it.
type upstreamState struct {
	attempts        map[*attempt]struct{}
	limiter         *limit.Limiter
	meter           *progress.Meter
	load            routing.Load
	sentSinceReport int       // attempts started since load was reported
	leavingSince    time.Time // zero while the upstream accepts new requests
	leavingUntil    time.Time // end of the time for which the upstream's own announcement to leave is kept
	downSince       time.Time // zero while the upstream is up
	processEndedAt  time.Time // last end of the upstream's process
	address         string

	sentinelActive    bool          // a sentinel connection is open or being opened
	sentinelReady     chan struct{} // closed once the connection is open or could not be opened
	sentinelOpenSince time.Time     // zero while no sentinel connection is open
	sentinelBrokenAt  time.Time     // when the last sentinel connection broke
}

// upstreamTable tracks the state of all upstreams and services and picks an upstream for each
// request. Methods that expect mu to be held say so in their comments.
type upstreamTable struct {
	settings Settings
	picker   routing.Picker
	views    ViewSource
	random   *rand.Rand

	mu       sync.Mutex // guards the fields below
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

// state returns the state of an upstream and creates it if needed. The caller holds mu.
func (t *upstreamTable) state(id bundle.UpstreamID) *upstreamState {
	u, ok := t.states[id]
	if !ok {
		limits := limit.DefaultSettings()
		limits.Max = t.settings.Upstreams.MaxInFlight
		limits.Initial = min(limits.Initial, limits.Max)
		u = &upstreamState{attempts: make(map[*attempt]struct{}), limiter: limit.New(limits), meter: progress.New(progress.DefaultSettings())}
		t.states[id] = u
	}
	return u
}

// candidates returns the upstreams that can run the call. Their configuration is that of the call's
// own view. Replicas and leaving upstreams come from the latest view, so that a waiting request finds
// a model that was loaded meanwhile. The caller holds mu.
func (t *upstreamTable) candidates(now time.Time, c *call) []routing.Candidate {
	latest := t.views.View()
	var found []routing.Candidate
	if c.request.Model == "" {
		for _, u := range c.view.upstreams[c.service.Name] {
			found = append(found, t.candidate(now, c, latest, u))
		}
		return found
	}
	for _, id := range latest.hosts[c.request.Model] {
		if u, ok := c.view.byID[id]; ok {
			found = append(found, t.candidate(now, c, latest, u))
		}
	}
	return found
}

// candidate returns the routing state of one upstream for the call. The caller holds mu.
func (t *upstreamTable) candidate(now time.Time, c *call, latest *View, u bundle.Upstream) routing.Candidate {
	state := t.state(u.ID)
	state.address = u.Address
	status := t.service(c).detector.Status(now, u.ID)
	leaving := latest.leaving[u.ID] || now.Before(state.leavingUntil)
	state.setLeaving(now, leaving)
	return routing.Candidate{
		Upstream:        u.ID,
		Zone:            u.Zone,
		InFlight:        len(state.attempts),
		Limit:           state.limiter.Limit(),
		BatchSize:       u.Batch,
		Reported:        state.load,
		SentSinceReport: state.sentSinceReport,
		HasModel:        true,
		HasAdapter:      c.request.Adapter == "" || latest.Serves(u.ID, c.request.Model, c.request.Adapter),
		Ejected:         status.Ejected || !state.downSince.IsZero(),
		RecoveryShare:   status.RecoveryShare,
		TimePerToken:    state.meter.PerToken(now),
		Leaving:         leaving,
		DownSince:       state.unavailableSince(),
	}
}

// setLeaving records since when the upstream is leaving.
func (u *upstreamState) setLeaving(now time.Time, leaving bool) {
	switch {
	case !leaving:
		u.leavingSince = time.Time{}
	case u.leavingSince.IsZero():
		u.leavingSince = now
	}
}

// unavailableSince returns the time since which the upstream is down or leaving, or zero if it is neither.
func (u *upstreamState) unavailableSince() time.Time {
	if u.downSince.IsZero() || !u.leavingSince.IsZero() && u.leavingSince.Before(u.downSince) {
		return u.leavingSince
	}
	return u.downSince
}

// observe updates the state of an upstream from the headers of an answer. It reports whether the
// upstream newly announced that it is leaving.
func (t *upstreamTable) observe(now time.Time, id bundle.UpstreamID, h http.Header) bool {
	running, errRunning := strconv.Atoi(h.Get(httpapi.HeaderLoadRunning))
	waiting, errWaiting := strconv.Atoi(h.Get(httpapi.HeaderLoadWaiting))
	leaving := h.Get(httpapi.HeaderLeaving) == "true"
	t.mu.Lock()
	defer t.mu.Unlock()
	state := t.state(id)
	if errRunning == nil && errWaiting == nil {
		state.load = routing.Load{Running: running, Waiting: waiting, ReportedAt: now}
		state.sentSinceReport = 0
	}
	state.downSince = time.Time{}
	if !leaving {
		return false
	}
	startedLeaving := now.After(state.leavingUntil)
	state.leavingUntil = now.Add(t.settings.Upstreams.LeavingFor)
	return startedLeaving
}

// setDown records that an upstream could not be reached.
func (t *upstreamTable) setDown(now time.Time, id bundle.UpstreamID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if state := t.state(id); state.downSince.IsZero() {
		state.downSince = now
	}
}

// setUp records that a probe reached an upstream.
func (t *upstreamTable) setUp(id bundle.UpstreamID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.state(id).downSince = time.Time{}
}

// probeTarget is an upstream to be probed.
type probeTarget struct {
	id      bundle.UpstreamID
	address string
}

// downUpstreams returns the upstreams that could not be reached and have not answered since.
func (t *upstreamTable) downUpstreams() []probeTarget {
	t.mu.Lock()
	defer t.mu.Unlock()
	var targets []probeTarget
	for id, state := range t.states {
		if !state.downSince.IsZero() && state.address != "" {
			targets = append(targets, probeTarget{id, state.address})
		}
	}
	return targets
}

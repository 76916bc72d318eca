package entry

import (
	"errors"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"savoryweir/internal/coordination/routing"
	"savoryweir/internal/protocol/httpapi"
	"savoryweir/internal/state/bundle"
)

// flight is one request in progress at an upstream.
type flight struct {
	upstream bundle.Upstream
	started  time.Time
	suspect  bool // an upstream died under the request before
	fresh    bool // the request goes on a new connection
}

// upstreamState is what this entry knows of one upstream.
type upstreamState struct {
	flights      map[*flight]struct{}
	load         routing.Load
	failures     int // in a row
	ejectedUntil time.Time
	leavingUntil time.Time
	watched      bool      // a sentinel connection is open or being opened
	watchedSince time.Time // zero while no sentinel connection is open
	processEnded time.Time // when the last sentinel connection broke
}

func (u *upstreamState) holdsSuspect() bool {
	for f := range u.flights {
		if f.suspect {
			return true
		}
	}
	return false
}

// upstreamTable tracks all upstreams and picks one for each request.
type upstreamTable struct {
	settings UpstreamSettings
	picker   routing.Picker

	mu     sync.Mutex // guards states and freed
	states map[bundle.UpstreamID]*upstreamState
	freed  chan struct{} // closed when a request ends
}

func newUpstreamTable(s UpstreamSettings) *upstreamTable {
	return &upstreamTable{
		settings: s,
		picker:   routing.PowerOfTwo{Rand: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))},
		states:   make(map[bundle.UpstreamID]*upstreamState),
		freed:    make(chan struct{}),
	}
}

// state returns the state of an upstream. The caller holds mu.
func (t *upstreamTable) state(id bundle.UpstreamID) *upstreamState {
	u, ok := t.states[id]
	if !ok {
		u = &upstreamState{flights: make(map[*flight]struct{})}
		t.states[id] = u
	}
	return u
}

// acquire picks an upstream and counts the request there. When it returns
// routing.ErrNoUpstream, the channel is closed after the next request has ended.
func (t *upstreamTable) acquire(now time.Time, c *call, suspect bool) (*flight, <-chan struct{}, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	candidates := t.candidates(now, c, suspect)
	id, err := t.pick(now, c, candidates)
	if errors.Is(err, routing.ErrNoUpstream) && allEjected(candidates) {
		candidates = withoutEjection(candidates)
		id, err = t.pick(now, c, candidates)
	}
	if errors.Is(err, routing.ErrNoUpstream) && len(c.request.Excluded) > len(c.deadUpstreams) {
		c.request.Excluded = slices.Clone(c.deadUpstreams)
		id, err = t.pick(now, c, candidates)
	}
	if err != nil {
		return nil, t.freed, err
	}
	upstreams := c.view.upstreams[c.service.Name]
	i := slices.IndexFunc(upstreams, func(u bundle.Upstream) bool { return u.ID == id })
	f := &flight{upstream: upstreams[i], started: now, suspect: suspect, fresh: id == c.sameUpstream}
	c.sameUpstream = ""
	t.state(id).flights[f] = struct{}{}
	return f, nil, nil
}

// pick prefers the upstream whose connection broke under the call, so that the
// connection alone is replaced.
func (t *upstreamTable) pick(now time.Time, c *call, candidates []routing.Candidate) (bundle.UpstreamID, error) {
	for _, usable := range routing.Usable(c.request, candidates) {
		if usable.Upstream == c.sameUpstream {
			return usable.Upstream, nil
		}
	}
	return t.picker.Pick(now, c.request, candidates)
}

// candidates describes the upstreams of the call's service. The caller holds mu.
func (t *upstreamTable) candidates(now time.Time, c *call, suspect bool) []routing.Candidate {
	upstreams := c.view.upstreams[c.service.Name]
	found := make([]routing.Candidate, 0, len(upstreams))
	for _, u := range upstreams {
		if c.request.Model != "" && !c.view.Serves(u.ID, c.request.Model, "") {
			continue
		}
		state := t.state(u.ID)
		found = append(found, routing.Candidate{
			Upstream:   u.ID,
			Zone:       u.Zone,
			InFlight:   len(state.flights),
			Limit:      t.settings.MaxInFlight,
			Reported:   state.load,
			HasModel:   true,
			HasAdapter: c.request.Adapter == "" || c.view.Serves(u.ID, c.request.Model, c.request.Adapter),
			Ejected:    now.Before(state.ejectedUntil) || suspect && state.holdsSuspect(),
			Leaving:    c.view.leaving[u.ID] || now.Before(state.leavingUntil),
		})
	}
	return found
}

func allEjected(candidates []routing.Candidate) bool {
	return !slices.ContainsFunc(candidates, func(c routing.Candidate) bool { return !c.Ejected && !c.Leaving })
}

func withoutEjection(candidates []routing.Candidate) []routing.Candidate {
	kept := slices.Clone(candidates)
	for i := range kept {
		kept[i].Ejected = false
	}
	return kept
}

// release ends a request at its upstream and wakes the waiting requests.
func (t *upstreamTable) release(f *flight) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.state(f.upstream.ID).flights, f)
	close(t.freed)
	t.freed = make(chan struct{})
}

// succeeded notes an answer that was whole.
func (t *upstreamTable) succeeded(id bundle.UpstreamID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.state(id).failures = 0
}

// failed notes a fault of an upstream and reports whether it was ejected for it.
func (t *upstreamTable) failed(now time.Time, id bundle.UpstreamID, dead bool) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	state := t.state(id)
	state.failures++
	if !dead && state.failures < t.settings.EjectAfter {
		return false
	}
	state.failures = 0
	fresh := now.After(state.ejectedUntil)
	state.ejectedUntil = now.Add(t.settings.EjectFor)
	return fresh
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
		state.load = routing.Load{Running: running, Waiting: waiting, SeenAt: now}
	}
	if !leaving {
		return false
	}
	fresh := now.After(state.leavingUntil)
	state.leavingUntil = now.Add(t.settings.LeavingFor)
	return fresh
}

// loads returns the reports that were seen after a time.
func (t *upstreamTable) loads(after time.Time) []UpstreamLoad {
	t.mu.Lock()
	defer t.mu.Unlock()
	var found []UpstreamLoad
	for id, state := range t.states {
		if state.load.SeenAt.After(after) {
			found = append(found, UpstreamLoad{id, state.load.Running, state.load.Waiting, state.load.SeenAt})
		}
	}
	return found
}

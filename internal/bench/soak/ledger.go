package soak

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"savoryweir/internal/standin/upstream"
)

// Promise names what the system promises; the platform's rules have the same content.
type Promise string

// The promises that are checked.
const (
	PromiseWhole     Promise = "a success is the whole answer to this request"
	PromiseOnce      Promise = "what may not be repeated runs once at most"
	PromiseNotRun    Promise = "a request that is said not to have run has not run"
	PromiseUnchanged Promise = "upstreams run only what callers sent"
	PromiseOrder     Promise = "events come in order, and a stream that broke off does not look complete"
	PromiseInTime    Promise = "the final answer comes in the time of the route"
	PromiseGraceful  Promise = "a shutdown cuts no request in flight"
	PromiseAnswered  Promise = "a request that was read gets its answer or a refusal beside a change of the configuration"
	PromiseConfig    Promise = "a configuration is in force within its bound and stays"
	PromiseDrain     Promise = "an upstream that leaves gets no more requests"
	PromiseRepeats   Promise = "repeats keep to their budget"
	PromiseOneHolder Promise = "one instance at a time gives orders, with rising fences"
	PromiseMemory    Promise = "no order overloads an engine"
	PromiseAlive     Promise = "processes end by signals only, and in their grace time"
	PromiseRecovery  Promise = "service is back soon after the last fault"
	PromiseContained Promise = "a request that breaks whatever runs it is contained"

	PromiseOneVersion Promise = "engines of one version write all events of a stream"
	PromiseTakenUp    Promise = "streams that are taken up again go on"

	PromiseCut   Promise = "instances that reach no upstream serve callers nearly as often as the others"
	PromiseFalls Promise = "brittle engines are not brought down by requests that they must reject"
	PromiseLeft  Promise = "upstreams do not work for callers that have left"
	PromiseLimit Promise = "an upstream gets no more requests than the limit that it names"

	PromisePartContained Promise = "requests with a part of a prompt that crashes engines are contained"
	PromiseSoundBegin    Promise = "sound requests that share other parts with crashing ones begin"
)

// Violation is one broken promise.
type Violation struct {
	Promise Promise
	At      time.Duration // since the start of the run
	Text    string
}

// sent is one request of a caller.
type sent struct {
	id          string
	path        string
	service     string
	instance    int
	repeatable  bool
	fingerprint string
	at          time.Time
	deadline    time.Duration

	crashing  bool // its prompt holds the crashing part
	isStream  bool
	firstPart string // of the prompt
	resumable bool   // a stream that may be taken up
	resumes   string // first request of the stream that this one takes up; empty for a new one
	after     int    // last event that the caller held before
	held      int    // last event that it holds now
	ended     time.Time
	left      time.Time     // when the caller left before the end of the response; zero if it did not
	work      time.Duration // that an upstream needs for it
	status    int           // zero without an answer
	err       error         // of a request without a whole answer
	served    bool
}

// ledger holds what callers and upstreams saw. It is safe for concurrent use and
// implements upstream.Journal.
type ledger struct {
	began        time.Time
	disturbances *disturbances

	mu         sync.Mutex // guards all below
	sent       map[string]*sent
	runs       map[string][]upstream.Run
	written    map[string][]written // by request
	services   map[string]*service  // by incarnation
	orders     []upstream.Order
	limited    map[string][]limitedArrival
	arrived    map[string][]time.Time // at upstreams, by request
	stopped    map[upstream.Run]time.Time
	falls      []fall
	crashes    []time.Time // by the crashing part
	violations []Violation
}

func newLedger(d *disturbances) *ledger {
	return &ledger{
		began: time.Now(), disturbances: d, sent: make(map[string]*sent), runs: make(map[string][]upstream.Run),
		written: make(map[string][]written), services: make(map[string]*service), limited: make(map[string][]limitedArrival),
		arrived: make(map[string][]time.Time), stopped: make(map[upstream.Run]time.Time),
	}
}

func (l *ledger) since(t time.Time) time.Duration { return t.Sub(l.began) }

func (l *ledger) violate(p Promise, at time.Time, format string, arguments ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.violations = append(l.violations, Violation{Promise: p, At: l.since(at), Text: fmt.Sprintf(format, arguments...)})
}

// Sent records that a caller is about to send a request.
func (l *ledger) Sent(s *sent) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sent[s.id] = s
}

// Ended records how a request ended.
func (l *ledger) Ended(s *sent, status int, served bool, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s.ended, s.status, s.served, s.err = time.Now(), status, served, err
}

// Ran implements upstream.Journal.
func (l *ledger) Ran(r upstream.Run) {
	l.mu.Lock()
	known, ok := l.sent[r.Request]
	l.runs[r.Request] = append(l.runs[r.Request], r)
	n := len(l.runs[r.Request])
	l.mu.Unlock()
	switch {
	case !ok:
		l.violate(PromiseUnchanged, r.Began, "%s ran request %q that nobody sent", r.Upstream, r.Request)
	case known.fingerprint != r.Fingerprint:
		l.violate(PromiseUnchanged, r.Began, "%s ran request %s changed", r.Upstream, r.Request)
	case n > 1 && !known.repeatable:
		l.violate(PromiseOnce, r.Began, "request %s ran %d times, last at %s", r.Request, n, r.Upstream)
	}
}

// Crashed implements upstream.Journal.
func (l *ledger) Crashed(upstream.Run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	l.crashes = append(l.crashes, now)
	l.disturbances.add(span{subject: atCrashed, kind: unplanned, from: now, to: now.Add(engineRestart)})
}

// Ordered implements upstream.Journal.
func (l *ledger) Ordered(o upstream.Order) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.orders = append(l.orders, o)
}

// Overloaded implements upstream.Journal.
func (l *ledger) Overloaded(id string) {
	l.violate(PromiseMemory, time.Now(), "%s was ordered to hold more models than fit", id)
}

// all returns the requests by time, with what ran and was ordered.
func (l *ledger) all() ([]*sent, map[string][]upstream.Run, []upstream.Order) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var list []*sent
	for _, s := range l.sent {
		list = append(list, s)
	}
	slices.SortFunc(list, func(a, b *sent) int { return a.at.Compare(b.at) })
	return list, l.runs, slices.Clone(l.orders)
}

// found returns the violations by time.
func (l *ledger) found() []Violation {
	l.mu.Lock()
	defer l.mu.Unlock()
	found := slices.Clone(l.violations)
	slices.SortStableFunc(found, func(a, b Violation) int { return int(a.At - b.At) })
	return found
}

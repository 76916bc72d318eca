package claims

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"savoryweir/internal/state/order"
)

// told is what a caller was told about one request.
type told string

const (
	toldRan     told = "ran"
	toldNotRun  told = "not_run"
	toldUnknown told = "unknown"
	toldRunning told = "running"
	toldRefused told = "refused" // the key belongs to another order
	toldNothing told = "nothing" // the caller left or the entry died
)

// attempt is one request of one caller.
type attempt struct {
	id   int
	key  string
	body string
	told told
	late bool // told not_run although an earlier attempt of the order had run
}

// model checks a history: what the upstream ran against what callers were told.
type model struct {
	mu         sync.Mutex // guards the rest
	attempts   []*attempt
	runs       map[string][]int         // attempts that ran, by key
	inFlight   map[*node]map[string]int // unfinished requests by entry and key
	cut        map[string]bool          // keys in flight at a killed instance
	slowest    time.Duration            // longest time until a refused claim was answered
	full       int                      // keys refused at the end by a full journal
	violations []string
}

func newModel() *model {
	return &model{
		runs:     make(map[string][]int),
		inFlight: make(map[*node]map[string]int),
		cut:      make(map[string]bool),
	}
}

func (m *model) newAttempt(key, body string) *attempt {
	m.mu.Lock()
	defer m.mu.Unlock()
	a := &attempt{id: len(m.attempts) + 1, key: key, body: body, told: toldNothing}
	m.attempts = append(m.attempts, a)
	return a
}

// run records that the upstream ran an order.
func (m *model) run(a *attempt) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.runs[a.key] = append(m.runs[a.key], a.id)
	if n := len(m.runs[a.key]); n > 1 {
		m.violations = append(m.violations, fmt.Sprintf("key %s ran %d times: attempts %v", a.key, n, m.runs[a.key]))
	}
}

func (m *model) ran(a *attempt) bool {
	for _, id := range m.runs[a.key] {
		if id == a.id {
			return true
		}
	}
	return false
}

func (m *model) enter(n *node, key string, by int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.inFlight[n] == nil {
		m.inFlight[n] = make(map[string]int)
	}
	m.inFlight[n][key] += by
	if m.inFlight[n][key] == 0 {
		delete(m.inFlight[n], key)
	}
}

// killed notes the orders in flight at an instance that is killed.
func (m *model) killed(n *node) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for key := range m.inFlight[n] {
		m.cut[key] = true
	}
	delete(m.inFlight, n)
}

func (m *model) violate(format string, args ...any) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.add(format, args...)
}

// add notes a violation. The caller holds the lock.
func (m *model) add(format string, args ...any) {
	m.violations = append(m.violations, fmt.Sprintf(format, args...))
}

// tell records what a caller was told.
func (m *model) tell(a *attempt, t told) {
	m.mu.Lock()
	defer m.mu.Unlock()
	a.told = t
}

// sent returns all attempts so far.
func (m *model) sent() []*attempt {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.attempts
}

// runsOf returns the attempts of a key that ran.
func (m *model) runsOf(key string) []int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.runs[key]
}

// history lists what the callers of a key were told.
func (m *model) history(key string) []told {
	m.mu.Lock()
	defer m.mu.Unlock()
	var list []told
	for _, a := range m.attempts {
		if a.key == key {
			list = append(list, a.told)
		}
	}
	return list
}

// check compares what callers were told with what ran.
func (m *model) check() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, a := range m.attempts {
		switch {
		case a.told == toldNotRun && m.ran(a):
			m.add("attempt %d of key %s was told not_run and ran", a.id, a.key)
		case a.told == toldRan && len(m.runs[a.key]) == 0:
			m.add("attempt %d of key %s was told ran and did not run", a.id, a.key)
		case a.told == toldRefused && m.ran(a):
			m.add("attempt %d of key %s was refused and ran", a.id, a.key)
		}
	}
}

// upstream runs orders. It goes on when the entry is killed.
type upstream struct {
	cluster *cluster
	model   *model
}

type upstreamAnswer int

const (
	upstreamRan upstreamAnswer = iota
	upstreamRefused
)

// send starts an order at the upstream.
func (u *upstream) send(a *attempt) <-chan upstreamAnswer {
	answer := make(chan upstreamAnswer, 1)
	refuse := u.cluster.float() < 0.05
	before := time.Duration(u.cluster.intN(int(300 * time.Millisecond)))
	after := time.Duration(u.cluster.intN(int(300 * time.Millisecond)))
	if u.cluster.float() < 0.05 {
		after += 15 * time.Second // longer than the caller waits
	}
	u.cluster.goRun(func() {
		time.Sleep(before)
		if refuse {
			answer <- upstreamRefused
			return
		}
		u.model.run(a)
		time.Sleep(after)
		answer <- upstreamRan
	})
	return answer
}

const callerPatience = 10 * time.Second

// request sends an attempt to an entry and waits as long as a caller does.
func (u *upstream) request(n *node, a *attempt) told {
	n.mu.Lock()
	entry := n.entry
	n.mu.Unlock()
	if entry.Err() != nil {
		return toldNothing
	}
	answer := make(chan told, 1)
	u.cluster.goRun(func() { answer <- u.serve(entry, n, a) })
	select {
	case t := <-answer:
		u.model.tell(a, t)
		return t
	case <-time.After(callerPatience):
	case <-entry.Done():
	}
	return toldNothing
}

// serve is what an entry does with an order. It ends unfinished when the entry is killed.
func (u *upstream) serve(entry context.Context, n *node, a *attempt) told {
	u.model.enter(n, a.key, 1)
	claim := testClaim(a.key, a.body)
	claim.Deadline = time.Now().Add(callerPatience)
	start := time.Now()
	answer, err := n.clientNow().Claim(entry, claim)
	if entry.Err() != nil {
		return toldNothing
	}
	finished := func(t told) told {
		u.cluster.goRun(func() { u.leave(entry, n, a) })
		return t
	}
	var unavailable *order.UnavailableError
	if errors.As(err, &unavailable) {
		u.model.refused(a, time.Since(start))
		return finished(toldNotRun)
	}
	switch answer.State {
	case order.ClaimMismatch:
		return finished(toldRefused)
	case order.ClaimRunning:
		return finished(toldRunning)
	case order.ClaimFinished:
		return finished(told(answer.Result.Outcome))
	}
	n.awaitThaw()
	if entry.Err() != nil {
		return toldNothing
	}
	return u.forward(entry, n, a, claim, answer.Token)
}

func (m *model) refused(a *attempt, after time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.slowest = max(m.slowest, after)
	a.late = len(m.runs[a.key]) > 0
}

// lateRefusals counts requests that were told not_run after an earlier request
// of the same order had run.
func (m *model) lateRefusals() (n int) {
	for _, a := range m.attempts {
		if a.late {
			n++
		}
	}
	return n
}

func (u *upstream) forward(entry context.Context, n *node, a *attempt, claim order.Claim, token string) told {
	result, t := order.Result{Outcome: order.OutcomeNotRun}, toldNotRun
	select {
	case <-entry.Done():
		return toldNothing
	case got := <-u.send(a):
		if got == upstreamRan {
			result, t = order.Result{Outcome: order.OutcomeRan, Status: 201, Body: []byte(strconv.Itoa(a.id))}, toldRan
		}
	}
	u.cluster.goRun(func() {
		_ = n.clientNow().Finish(entry, claim, token, result)
		u.leave(entry, n, a)
	})
	return t
}

// leave ends an order's time at an entry, once nothing of it waits there.
func (u *upstream) leave(entry context.Context, n *node, a *attempt) {
	for n.clientNow().Backlog() > 0 && entry.Err() == nil {
		time.Sleep(50 * time.Millisecond)
	}
	if entry.Err() == nil {
		u.model.enter(n, a.key, -1)
	}
}

// verify asks for every key after all faults have ended.
func (u *upstream) verify(t *testing.T, n *node) (unknown int) {
	t.Helper()
	seen := make(map[string]bool)
	for _, a := range u.model.sent() {
		if seen[a.key] {
			continue
		}
		seen[a.key] = true
		if u.verifyKey(n, a.key, "book") {
			unknown++
		}
	}
	return unknown
}

// verifyKey asks under the body that the key belongs to.
func (u *upstream) verifyKey(n *node, key, body string) (unknown bool) {
	claim := testClaim(key, body)
	answer, err := n.clientNow().Claim(context.Background(), claim)
	runs := u.model.runsOf(key)
	switch {
	case answer.State == order.ClaimMismatch && body == "book":
		return u.verifyKey(n, key, "cancel")
	case len(runs) > 0 && u.model.attempts[runs[0]-1].body != body:
		u.model.violate("key %s ran with a body that it does not belong to", key)
	case err != nil && len(runs) == 0 && strings.Contains(err.Error(), string(refusalFull)):
		u.model.full++
	case err != nil:
		u.model.violate("key %s: %v after all faults ended", key, err)
	case answer.State == order.ClaimGranted:
		if len(runs) > 0 {
			u.model.violate("key %s ran as attempt %v and was granted again", key, runs)
		}
		_ = n.clientNow().Finish(context.Background(), claim, answer.Token, order.Result{Outcome: order.OutcomeNotRun})
	case answer.State == order.ClaimFinished && answer.Result.Outcome == order.OutcomeUnknown:
		if !u.model.cut[key] {
			u.model.violate("key %s ends unknown without a killed claimant, ran: %v, told: %v", key, runs, u.model.history(key))
		}
		return true
	case answer.State == order.ClaimFinished:
		if len(runs) != 1 || string(answer.Result.Body) != strconv.Itoa(runs[0]) {
			u.model.violate("key %s: recorded answer %q, ran %v", key, answer.Result.Body, runs)
		}
	default:
		u.model.violate("key %s ends %s", key, answer.State)
	}
	return false
}

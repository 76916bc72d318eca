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

// callerOutcome is the outcome of one request as its caller was told.
type callerOutcome string

const (
	outcomeRan     callerOutcome = "ran"
	outcomeNotRun  callerOutcome = "not_run"
	outcomeUnknown callerOutcome = "unknown"
	outcomeRunning callerOutcome = "running"
	outcomeRefused callerOutcome = "refused" // the key belongs to another order
	outcomeNone    callerOutcome = "nothing" // the caller stopped waiting or the entry was killed
)

// attempt is one request of one caller.
type attempt struct {
	id              int
	key             string
	body            string
	outcome         callerOutcome
	refusedAfterRun bool // answered not_run although an earlier attempt of the order had run
}

// model checks a history. It compares what the upstream ran with what the callers
// were told.
type model struct {
	mu                  sync.Mutex // guards the rest
	attempts            []*attempt
	runs                map[string][]int         // attempts that ran, by key
	inFlight            map[*node]map[string]int // unfinished requests by entry and key
	inFlightAtKill      map[string]bool          // keys in flight at a killed instance
	slowestRefusal      time.Duration            // longest time until a claim was refused
	journalFullRefusals int                      // keys refused in verify by a full journal
	violations          []string
}

func newModel() *model {
	return &model{
		runs:           make(map[string][]int),
		inFlight:       make(map[*node]map[string]int),
		inFlightAtKill: make(map[string]bool),
	}
}

func (m *model) newAttempt(key, body string) *attempt {
	m.mu.Lock()
	defer m.mu.Unlock()
	a := &attempt{id: len(m.attempts) + 1, key: key, body: body, outcome: outcomeNone}
	m.attempts = append(m.attempts, a)
	return a
}

// recordRun records that the upstream ran an order.
func (m *model) recordRun(a *attempt) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.runs[a.key] = append(m.runs[a.key], a.id)
	if n := len(m.runs[a.key]); n > 1 {
		m.violations = append(m.violations, fmt.Sprintf("key %s ran %d times: attempts %v", a.key, n, m.runs[a.key]))
	}
}

// hasRun reports whether the upstream ran an attempt. The caller holds the lock.
func (m *model) hasRun(a *attempt) bool {
	for _, id := range m.runs[a.key] {
		if id == a.id {
			return true
		}
	}
	return false
}

// addInFlight changes the number of unfinished requests for a key at an instance.
func (m *model) addInFlight(n *node, key string, by int) {
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

// recordKill records the orders that are in flight at an instance when it is killed.
func (m *model) recordKill(n *node) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for key := range m.inFlight[n] {
		m.inFlightAtKill[key] = true
	}
	delete(m.inFlight, n)
}

func (m *model) recordViolation(format string, args ...any) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.addViolation(format, args...)
}

// addViolation records a violation. The caller holds the lock.
func (m *model) addViolation(format string, args ...any) {
	m.violations = append(m.violations, fmt.Sprintf(format, args...))
}

// recordOutcome records what a caller was told.
func (m *model) recordOutcome(a *attempt, t callerOutcome) {
	m.mu.Lock()
	defer m.mu.Unlock()
	a.outcome = t
}

// allAttempts returns all attempts so far.
func (m *model) allAttempts() []*attempt {
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

// outcomesOf returns what the callers of a key were told.
func (m *model) outcomesOf(key string) []callerOutcome {
	m.mu.Lock()
	defer m.mu.Unlock()
	var list []callerOutcome
	for _, a := range m.attempts {
		if a.key == key {
			list = append(list, a.outcome)
		}
	}
	return list
}

// check records a violation for each caller that was told something else than what ran.
func (m *model) check() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, a := range m.attempts {
		switch {
		case a.outcome == outcomeNotRun && m.hasRun(a):
			m.addViolation("attempt %d of key %s was answered not_run, but ran", a.id, a.key)
		case a.outcome == outcomeRan && len(m.runs[a.key]) == 0:
			m.addViolation("attempt %d of key %s was answered ran, but the order did not run", a.id, a.key)
		case a.outcome == outcomeRefused && m.hasRun(a):
			m.addViolation("attempt %d of key %s was refused, but ran", a.id, a.key)
		}
	}
}

// upstream runs orders. It finishes an order even if the entry is killed meanwhile.
type upstream struct {
	cluster *cluster
	model   *model
}

type upstreamAnswer int

const (
	upstreamRan upstreamAnswer = iota
	upstreamRefused
)

// startOrder starts an order at the upstream. The result arrives on the returned
// channel.
func (u *upstream) startOrder(a *attempt) <-chan upstreamAnswer {
	answer := make(chan upstreamAnswer, 1)
	refuse := u.cluster.randomFloat() < 0.05
	before := time.Duration(u.cluster.randomIntN(int(300 * time.Millisecond)))
	after := time.Duration(u.cluster.randomIntN(int(300 * time.Millisecond)))
	if u.cluster.randomFloat() < 0.05 {
		after += 15 * time.Second // longer than callerTimeout
	}
	u.cluster.goRun(func() {
		time.Sleep(before)
		if refuse {
			answer <- upstreamRefused
			return
		}
		u.model.recordRun(a)
		time.Sleep(after)
		answer <- upstreamRan
	})
	return answer
}

const callerTimeout = 10 * time.Second

// request sends an attempt to an entry and waits for the outcome until the caller
// times out or the entry is killed.
func (u *upstream) request(n *node, a *attempt) callerOutcome {
	n.mu.Lock()
	entry := n.entryContext
	n.mu.Unlock()
	if entry.Err() != nil {
		return outcomeNone
	}
	answer := make(chan callerOutcome, 1)
	u.cluster.goRun(func() { answer <- u.serve(entry, n, a) })
	select {
	case t := <-answer:
		u.model.recordOutcome(a, t)
		return t
	case <-time.After(callerTimeout):
	case <-entry.Done():
	}
	return outcomeNone
}

// serve handles an order as an entry does: it claims the order, forwards it and sends
// the result. It returns outcomeNone when the entry is killed meanwhile.
func (u *upstream) serve(entry context.Context, n *node, a *attempt) callerOutcome {
	u.model.addInFlight(n, a.key, 1)
	claim := testClaim(a.key, a.body)
	claim.Deadline = time.Now().Add(callerTimeout)
	start := time.Now()
	answer, err := n.currentClient().Claim(entry, claim)
	if entry.Err() != nil {
		return outcomeNone
	}
	finished := func(t callerOutcome) callerOutcome {
		u.cluster.goRun(func() { u.removeInFlightWhenDelivered(entry, n, a) })
		return t
	}
	var unavailable *order.UnavailableError
	if errors.As(err, &unavailable) {
		u.model.recordRefusal(a, time.Since(start))
		return finished(outcomeNotRun)
	}
	switch answer.State {
	case order.ClaimMismatch:
		return finished(outcomeRefused)
	case order.ClaimRunning:
		return finished(outcomeRunning)
	case order.ClaimFinished:
		return finished(callerOutcome(answer.Result.Outcome))
	}
	n.awaitThaw()
	if entry.Err() != nil {
		return outcomeNone
	}
	return u.forward(entry, n, a, claim, answer.Token)
}

// recordRefusal records that an attempt was refused after a time, and whether its
// order had run before.
func (m *model) recordRefusal(a *attempt, after time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.slowestRefusal = max(m.slowestRefusal, after)
	a.refusedAfterRun = len(m.runs[a.key]) > 0
}

// refusalsAfterRun returns the number of requests that were answered not_run after an
// earlier request of the same order had run.
func (m *model) refusalsAfterRun() (n int) {
	for _, a := range m.attempts {
		if a.refusedAfterRun {
			n++
		}
	}
	return n
}

// forward runs a granted order at the upstream, and sends its result in the background.
func (u *upstream) forward(entry context.Context, n *node, a *attempt, claim order.Claim, token string) callerOutcome {
	result, t := order.Result{Outcome: order.OutcomeNotRun}, outcomeNotRun
	select {
	case <-entry.Done():
		return outcomeNone
	case got := <-u.startOrder(a):
		if got == upstreamRan {
			result, t = order.Result{Outcome: order.OutcomeRan, Status: 201, Body: []byte(strconv.Itoa(a.id))}, outcomeRan
		}
	}
	u.cluster.goRun(func() {
		_ = n.currentClient().Finish(entry, claim, token, result)
		u.removeInFlightWhenDelivered(entry, n, a)
	})
	return t
}

// removeInFlightWhenDelivered removes an order from the unfinished requests of an
// entry as soon as the entry has delivered all its results.
func (u *upstream) removeInFlightWhenDelivered(entry context.Context, n *node, a *attempt) {
	for n.currentClient().Backlog() > 0 && entry.Err() == nil {
		time.Sleep(50 * time.Millisecond)
	}
	if entry.Err() == nil {
		u.model.addInFlight(n, a.key, -1)
	}
}

// verify claims every key again after all faults have ended, and compares the answers
// with what ran. It returns the number of unknown outcomes.
func (u *upstream) verify(t *testing.T, n *node) (unknown int) {
	t.Helper()
	seen := make(map[string]bool)
	for _, a := range u.model.allAttempts() {
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

// verifyKey verifies one key with the given body, or with the other body if the key
// belongs to that one.
func (u *upstream) verifyKey(n *node, key, body string) (unknown bool) {
	claim := testClaim(key, body)
	answer, err := n.currentClient().Claim(context.Background(), claim)
	runs := u.model.runsOf(key)
	switch {
	case answer.State == order.ClaimMismatch && body == "book":
		return u.verifyKey(n, key, "cancel")
	case len(runs) > 0 && u.model.attempts[runs[0]-1].body != body:
		u.model.recordViolation("key %s ran with a body that it does not belong to", key)
	case err != nil && len(runs) == 0 && strings.Contains(err.Error(), string(refusalJournalFull)):
		u.model.journalFullRefusals++
	case err != nil:
		u.model.recordViolation("key %s: %v after all faults ended", key, err)
	case answer.State == order.ClaimGranted:
		if len(runs) > 0 {
			u.model.recordViolation("key %s ran as attempt %v and was granted again", key, runs)
		}
		_ = n.currentClient().Finish(context.Background(), claim, answer.Token, order.Result{Outcome: order.OutcomeNotRun})
	case answer.State == order.ClaimFinished && answer.Result.Outcome == order.OutcomeUnknown:
		if !u.model.inFlightAtKill[key] {
			u.model.recordViolation("key %s has an unknown outcome although no claimant was killed, ran: %v, answers: %v", key, runs, u.model.outcomesOf(key))
		}
		return true
	case answer.State == order.ClaimFinished:
		if len(runs) != 1 || string(answer.Result.Body) != strconv.Itoa(runs[0]) {
			u.model.recordViolation("key %s: recorded answer %q, ran %v", key, answer.Result.Body, runs)
		}
	default:
		u.model.recordViolation("key %s has the state %s after all faults ended", key, answer.State)
	}
	return false
}

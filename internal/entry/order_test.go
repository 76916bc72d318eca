package entry

import (
	"context"
	"crypto/sha256"
	"encoding/base64"
	"errors"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"savoryweir/internal/protocol/httpapi"
	"savoryweir/internal/standin/service"
	"savoryweir/internal/state/bundle"
	"savoryweir/internal/state/order"
)

func contains(text, part string) bool { return strings.Contains(text, part) }

// counterSum returns the sum of a counter over all label values.
func counterSum(t *testing.T, e *testEntry, name string) float64 {
	t.Helper()
	families, err := e.metrics.registry.Gather()
	assert.NilError(t, err)
	sum := 0.0
	for _, family := range families {
		if family.GetName() != metricsNamespace+"_"+name {
			continue
		}
		for _, m := range family.GetMetric() {
			sum += m.GetCounter().GetValue()
		}
	}
	return sum
}

func idempotencyKey(k string) header { return header{httpapi.HeaderIdempotencyKey, k} }

// For each fault of the service, the outcome that the caller is told must agree with the number of
// runs. A resend with the key must run the order only if it has not run.
func TestReportedOutcomeMatchesOrderRuns(t *testing.T) {
	for _, test := range []struct {
		name    string
		fault   service.Fault
		change  func(*Settings)
		headers []header
		outcome order.Outcome
		runs    int
	}{
		{name: "answered", outcome: order.OutcomeRan, runs: 1},
		{name: "refused", fault: service.Fault{Kind: service.FaultRefuse}, outcome: order.OutcomeNotRun},
		{name: "connection broken after the run", fault: service.Fault{Kind: service.FaultRunThenCut}, outcome: order.OutcomeUnknown, runs: 1},
		{name: "connection broken within the answer", fault: service.Fault{Kind: service.FaultCutAnswer}, outcome: order.OutcomeUnknown, runs: 1},
		{name: "answer with the id of another request", fault: service.Fault{Kind: service.FaultCrossed}, outcome: order.OutcomeUnknown, runs: 1},
		{name: "no answer", fault: service.Fault{Kind: service.FaultHang}, outcome: order.OutcomeUnknown},
		{name: "answered with an error status", fault: service.Fault{Kind: service.FaultFail}, outcome: order.OutcomeRan},
		{
			name: "answered after the caller disconnected", fault: service.Fault{Kind: service.FaultSlow, DelayMillis: 300},
			headers: []header{{httpapi.HeaderDeadline, "100"}}, outcome: order.OutcomeUnknown, runs: 1,
		},
	} {
		for _, keyed := range []bool{true, false} {
			name := test.name + ", without key"
			headers := test.headers
			if keyed {
				name = test.name + ", with key"
				headers = append([]header{idempotencyKey("o1")}, headers...)
			}
			t.Run(name, func(t *testing.T) {
				t.Parallel()
				upstream1, upstream2 := startService(t, "s1"), startService(t, "s2")
				claims := newMemoryClaims()
				e := startEntry(t, &sharedView{data: viewWithUpstreams(upstream1, upstream2)}, claims, nil)
				if test.fault.Kind != "" {
					upstream1.service.Inject(test.fault)
					upstream2.service.Inject(test.fault)
				}
				got := e.sendOrder("o1", headers...)
				outcome := order.Outcome(got.header.Get(httpapi.HeaderOutcome))
				assert.Equal(t, outcome, test.outcome, got.body)
				runs := test.runs
				waitForRuns(t, e, runs, upstream1, upstream2)
				upstream1.service.ClearFaults()
				upstream2.service.ClearFaults()
				if !keyed {
					return
				}
				resend := e.sendOrder("o1", idempotencyKey("o1"))
				if test.outcome == order.OutcomeNotRun {
					assert.Equal(t, resend.header.Get(httpapi.HeaderOutcome), "ran", resend.body)
					runs++
				}
				waitForRuns(t, e, runs, upstream1, upstream2)
			})
		}
	}
}

// waitForRuns waits until no order is in progress and asserts the number of runs of order o1.
func waitForRuns(t *testing.T, e *testEntry, runs int, nodes ...*testUpstream) {
	t.Helper()
	eventually(t, "no order is in progress", func() bool {
		_, background := e.drain.inProgress()
		return background == 0
	})
	sum := func() int {
		n := 0
		for _, node := range nodes {
			n += node.service.RunsOf("o1")
		}
		return n
	}
	eventually(t, "the order ran as often as expected", func() bool { return sum() >= runs })
	assert.Equal(t, sum(), runs)
}

func TestOrderSentToTwoEntriesRunsOnce(t *testing.T) {
	upstream1, upstream2 := startService(t, "s1"), startService(t, "s2")
	views, claims := &sharedView{data: viewWithUpstreams(upstream1, upstream2)}, newMemoryClaims()
	entries := []*testEntry{startEntry(t, views, claims, nil), startEntry(t, views, claims, nil)}
	upstream1.service.Inject(service.Fault{Kind: service.FaultSlow, DelayMillis: 50})
	var group sync.WaitGroup
	for i := range 12 {
		group.Go(func() {
			got := entries[i%2].sendOrder("o1", idempotencyKey("o1"))
			assert.Check(t, got.status == http.StatusOK, got.body)
		})
	}
	group.Wait()
	assert.Equal(t, upstream1.service.RunsOf("o1")+upstream2.service.RunsOf("o1"), 1)
}

func TestIdempotencyKeyOfAnotherOrderIsRejected(t *testing.T) {
	upstream1 := startService(t, "s1")
	e := startEntry(t, &sharedView{data: viewWithUpstreams(upstream1)}, newMemoryClaims(), nil)
	assert.Equal(t, e.sendOrder("o1", idempotencyKey("k")).status, http.StatusOK)
	got := e.sendOrder("o2", idempotencyKey("k"))
	assert.Equal(t, got.status, http.StatusUnprocessableEntity)
	assert.Equal(t, got.failure(t).Code, httpapi.CodeKeyReused)
	assert.Equal(t, upstream1.service.RunsOf("k"), 1)
}

// Only the caller's first attempt may be told that the order did not run. A later send, or one
// without an attempt number, may follow a send that ran.
func TestOrderIsNotSentWhileClaimsAreUnavailable(t *testing.T) {
	upstream1 := startService(t, "s1")
	claims := newMemoryClaims()
	claims.claimErr = &order.UnavailableError{RetryAfter: 3 * time.Second, Cause: errors.New("store outage")}
	e := startEntry(t, &sharedView{data: viewWithUpstreams(upstream1)}, claims, nil)
	got := e.sendOrder("o1", idempotencyKey("o1"), header{httpapi.HeaderAttempt, "1"})
	assert.Equal(t, got.status, http.StatusServiceUnavailable)
	assert.Equal(t, got.header.Get("Retry-After"), "3")
	assert.Equal(t, got.failure(t).Outcome, order.OutcomeNotRun)
	resend := e.sendOrder("o1", idempotencyKey("o1"), header{httpapi.HeaderAttempt, "2"})
	assert.Equal(t, resend.failure(t).Outcome, order.OutcomeUnknown, "an earlier send may have run")
	uncounted := e.sendOrder("o1", idempotencyKey("o1"))
	assert.Equal(t, uncounted.failure(t).Outcome, order.OutcomeUnknown, "this may be a resend")
	assert.Equal(t, upstream1.service.RunsOf("o1"), 0)
}

// The claim is recorded but its answer does not arrive, so the entry does not know that it was granted.
func TestOrderIsNotSentWhenClaimAnswerIsLost(t *testing.T) {
	upstream1 := startService(t, "s1")
	claims := newMemoryClaims()
	claims.loseAnswers = true
	e := startEntry(t, &sharedView{data: viewWithUpstreams(upstream1)}, claims, nil)
	got := e.sendOrder("o1", idempotencyKey("o1"), header{httpapi.HeaderAttempt, "1"})
	assert.Equal(t, got.failure(t).Outcome, order.OutcomeNotRun)
	assert.Equal(t, upstream1.service.RunsOf("o1"), 0)
}

// An upstream that can't be reached received no byte, so the order may be sent to the other one.
func TestOrderIsSentToAnotherUpstreamWhenNoByteWasSent(t *testing.T) {
	upstream1 := startService(t, "s1")
	unreachable := &testUpstream{id: "s2", address: closedAddress(t)}
	e := startEntry(t, &sharedView{data: viewWithUpstreams(unreachable, upstream1)}, newMemoryClaims(), nil)
	for range 8 {
		assert.Equal(t, e.sendOrder("o1", idempotencyKey("o1")).status, http.StatusOK)
	}
	assert.Equal(t, upstream1.service.RunsOf("o1"), 1)
}

func TestOutcomeIsNotRunWhenNoUpstreamIsReachable(t *testing.T) {
	unreachable := &testUpstream{id: "s2", address: closedAddress(t)}
	e := startEntry(t, &sharedView{data: viewWithUpstreams(unreachable)}, newMemoryClaims(), func(s *Settings) { s.Queue.MaxWait = 50 * time.Millisecond })
	got := e.sendOrder("o1", idempotencyKey("o1"))
	assert.Equal(t, got.failure(t).Outcome, order.OutcomeNotRun, got.body)
	assert.Assert(t, got.header.Get("Retry-After") != "")
}

// closedAddress returns a local address on which nothing listens.
func closedAddress(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer listener.Close()
	return listener.Addr().String()
}

// An upstream could resolve these paths to an order, while the entry would treat them as reads.
func TestAmbiguousOrderPathsAreRejected(t *testing.T) {
	upstream1 := startService(t, "s1")
	e := startEntry(t, &sharedView{data: viewWithUpstreams(upstream1)}, newMemoryClaims(), nil)
	for _, path := range []string{"//orders/new", "/x/../orders/new", "/%6frders%2Fnew", "/./orders/new", "/orders;x/new"} {
		got := e.do(http.MethodPost, "/services/booking"+path, "o1")
		assert.Equal(t, got.status, http.StatusBadRequest, path)
		assert.Equal(t, got.failure(t).Outcome, order.OutcomeNotRun)
	}
	assert.Equal(t, len(upstream1.service.AllRuns())+upstream1.service.Reads(), 0)
}

func TestIsOrderPathMatchesPrefixes(t *testing.T) {
	s := bundle.Service{OrderPaths: []string{"/orders/"}}
	for path, expected := range map[string]bool{
		"/orders/1": true, "/orders": true, "/orders/": true, "/ORDERS/1": true, "/order": false, "/ordersheet": false, "/status": false,
	} {
		assert.Equal(t, isOrderPath(s, path), expected, path)
	}
}

// A resend of an order whose answer was too long to record must get an explicit failure, and no
// empty body that could be taken for the answer.
func TestResendIsAnsweredWithGoneWhenAnswerWasNotStored(t *testing.T) {
	hash := sha256.Sum256([]byte("a long answer"))
	claims := newMemoryClaims()
	claims.claims["o1"] = &claimState{finished: true, result: order.Result{
		Outcome: order.OutcomeRan, Status: http.StatusCreated, ContentType: "text/plain", BodyOmitted: true, BodyHash: hash[:],
	}}
	upstream1 := startService(t, "s1")
	e := startEntry(t, &sharedView{data: viewWithUpstreams(upstream1)}, claims, nil)
	claims.ignoreFingerprint = true
	got := e.sendOrder("o1", idempotencyKey("o1"))
	assert.Equal(t, got.status, http.StatusGone, got.body)
	assert.Equal(t, got.failure(t).Code, httpapi.CodeAnswerNotKept)
	assert.Equal(t, got.header.Get(httpapi.HeaderOutcome), "ran")
	assert.Equal(t, got.header.Get(httpapi.HeaderReplayed), "true")
	assert.Equal(t, got.header.Get(httpapi.HeaderReplayedStatus), "201")
	assert.Equal(t, got.header.Get(httpapi.HeaderReplayedDigest), "sha-256=:"+base64.StdEncoding.EncodeToString(hash[:])+":")
	assert.Equal(t, upstream1.service.RunsOf("o1"), 0)
}

// deadlineClaims records until when the entry waits for a claim.
type deadlineClaims struct {
	*memoryClaims
	waitDeadline, deadline time.Time
}

func (d *deadlineClaims) Claim(ctx context.Context, c order.Claim) (order.Answer, error) {
	d.waitDeadline, _ = ctx.Deadline()
	d.deadline = c.Deadline
	return d.memoryClaims.Claim(ctx, c)
}

// An entry must wait for a claim as long as its caller waits. The duration of a single claim request
// is bounded by the claims client alone.
func TestClaimWaitsUntilCallersDeadline(t *testing.T) {
	claims := &deadlineClaims{memoryClaims: newMemoryClaims()}
	e := startEntry(t, &sharedView{data: viewWithUpstreams(startService(t, "s1"))}, claims, nil)
	got := e.sendOrder("o1", idempotencyKey("o1"), header{httpapi.HeaderDeadline, "60000"})
	assert.Equal(t, got.status, http.StatusOK)
	assert.Assert(t, claims.waitDeadline.Equal(claims.deadline), "entry waits until %v, caller until %v", claims.waitDeadline, claims.deadline)
}
